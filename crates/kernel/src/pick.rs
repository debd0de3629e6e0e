//! Pick: which endpoint an entry node sends a request to.

use rand::Rng;

use crate::{members::Phase, view::Endpoint};

/// Picks one of the ready endpoints, or none if no one is ready.
pub fn pick<'a>(rng: &mut impl Rng, endpoints: &'a [Endpoint]) -> Option<&'a Endpoint> {
    let ready: Vec<&Endpoint> = endpoints
        .iter()
        .filter(|it| it.phase == Phase::Ready)
        .collect();
    if ready.is_empty() {
        return None;
    }
    Some(ready[rng.random_range(0..ready.len())])
}

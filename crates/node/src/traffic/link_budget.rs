//! Bandwidth of the host's link, reserved for request bodies to the upstream beside this node.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use axum::body::Body;
use http_body::Body as _;
use laburnum_kernel::{
    admission::link::{LinkGate, UNGATED_MAX_BYTES, UNKNOWN_LENGTH_BYTES},
    refusal::Refusal,
};

/// Bandwidth budget of the link, shared by the traffic threads; cheap to clone.
#[derive(Clone, Debug)]
pub struct LinkBudget(Arc<Mutex<LinkGate>>);

/// Reserved bandwidth for a body. Dropped when the body has arrived or is no longer expected.
#[derive(Debug)]
pub struct Reservation {
    link: LinkBudget,
    bytes: u64,
}

impl LinkBudget {
    /// Creates the budget of a link of `mbps` Mbit/s.
    pub fn new(mbps: f64) -> LinkBudget {
        LinkBudget(Arc::new(Mutex::new(LinkGate::new(mbps))))
    }

    /// Reserves bandwidth for `body` if it can arrive within `longest` ms.
    pub fn reserve(&self, body: &Body, longest: u64) -> Result<Reservation, Refusal> {
        let bytes = length(body);
        self.lock().enter(bytes, longest)?;
        Ok(Reservation {
            link: self.clone(),
            bytes,
        })
    }

    fn lock(&self) -> MutexGuard<'_, LinkGate> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.link.lock().leave(self.bytes);
    }
}

/// Returns whether `body` is so long that a host with a slow link must not read it before its request is
/// admitted.
pub fn is_large(body: &Body) -> bool {
    length(body) > UNGATED_MAX_BYTES
}

fn length(body: &Body) -> u64 {
    body.size_hint().exact().unwrap_or(UNKNOWN_LENGTH_BYTES)
}

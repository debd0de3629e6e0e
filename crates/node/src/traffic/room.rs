//! Room on the host's link for the bodies of requests to the upstream beside this node.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use axum::body::Body;
use http_body::Body as _;
use laburnum_kernel::{
    admission::link::{LinkGate, SMALL, UNKNOWN},
    refusal::Refusal,
};

/// The link's gate, shared by the traffic threads; cheap to clone.
#[derive(Clone, Debug)]
pub struct Link(Arc<Mutex<LinkGate>>);

/// A body's room on the link. Dropping it says that the body has arrived or is no longer expected.
#[derive(Debug)]
pub struct Room {
    link: Link,
    bytes: u64,
}

impl Link {
    /// A link of `mbps` Mbit/s.
    pub fn new(mbps: f64) -> Link {
        Link(Arc::new(Mutex::new(LinkGate::new(mbps))))
    }

    /// Room for `body` if it arrives within `longest` ms.
    pub fn enter(&self, body: &Body, longest: u64) -> Result<Room, Refusal> {
        let bytes = length(body);
        self.lock().enter(bytes, longest)?;
        Ok(Room {
            link: self.clone(),
            bytes,
        })
    }

    fn lock(&self) -> MutexGuard<'_, LinkGate> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.link.lock().leave(self.bytes);
    }
}

/// Whether `body` is so long that a host with a slow link reads it only if it is going to be of use.
pub fn large(body: &Body) -> bool {
    length(body) > SMALL
}

fn length(body: &Body) -> u64 {
    body.size_hint().exact().unwrap_or(UNKNOWN)
}

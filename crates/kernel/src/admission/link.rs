//! Admission of large request bodies by the bandwidth of the host's link.
//!
//! On a slow link, bodies that arrive faster than it carries queue up in the network, where no order, deadline or refusal
//! reaches them. They delay short requests and answers by seconds, and acknowledgements for so long that live connections
//! time out. So a body that exceeds the backlog is refused before it is read.

use crate::refusal::{Reason, Refusal};

/// Maximum length of bodies that bypass the gate, in bytes: a few packets, like the header of any request.
pub const UNGATED_MAX_BYTES: u64 = 8 * 1024;
/// Length assumed for a body of unknown length, in bytes: the longest that is buffered whole.
pub const UNKNOWN_LENGTH_BYTES: u64 = 64 * 1024;
/// Share of the link for bodies. The rest carries short requests, answers and control traffic.
const SHARE: f64 = 0.7;
/// Maximum time in which all admitted bodies must be able to arrive, in ms: about five bodies of 60 KB at 7 Mbit/s. Twice
/// as much serves less under load, and half refuses more uploads on a calm day.
const BACKLOG_MS: u64 = 500;
/// Flow-control window of a stream, as transfer time on the link, in ms: a few round trips within a region, so that an
/// admitted body arrives at full speed.
const WINDOW_MS: f64 = 2.4;
/// Smallest window, in bytes: a packet or two.
const WINDOW_MIN: f64 = 2.0 * 1024.0;

/// Returns the bytes that a link of `mbps` Mbit/s carries per ms.
pub fn bytes_per_ms(mbps: f64) -> f64 {
    mbps * 125.0
}

/// Returns the flow-control window of one stream on a link of `mbps` Mbit/s, in bytes.
///
/// A sender transmits this much of a body before it learns that the body is refused. Callers retry refused bodies, so a
/// large window lets them fill the link that the admitted ones leave free.
pub fn stream_window(mbps: f64) -> u32 {
    (bytes_per_ms(mbps) * WINDOW_MS).max(WINDOW_MIN) as u32
}

/// Limits the admitted bodies of one link.
#[derive(Debug)]
pub struct LinkGate {
    /// Bandwidth for bodies, in bytes per ms.
    bytes_per_ms: f64,
    /// Admitted bytes that have not arrived yet.
    pending: u64,
}

impl LinkGate {
    /// Creates the gate of a link of `mbps` Mbit/s.
    pub fn new(mbps: f64) -> LinkGate {
        LinkGate {
            bytes_per_ms: (bytes_per_ms(mbps) * SHARE).max(1.0),
            pending: 0,
        }
    }

    /// Admits a body of `bytes` if it can arrive, after those admitted before, within `max_ms`. A body on an idle link
    /// is always admitted.
    pub fn enter(&mut self, bytes: u64, max_ms: u64) -> Result<(), Refusal> {
        let max_ms = max_ms.min(BACKLOG_MS);
        let arrival = self.transfer_ms(self.pending + bytes);
        if self.pending > 0 && arrival > max_ms {
            return Err(Refusal::after(Reason::LinkFull, arrival - max_ms));
        }
        self.pending += bytes;
        Ok(())
    }

    /// Releases an admitted body of `bytes` that has arrived or is no longer expected.
    pub fn leave(&mut self, bytes: u64) {
        self.pending = self.pending.saturating_sub(bytes);
    }

    /// Returns the number of admitted bytes that have not arrived yet.
    pub fn due(&self) -> u64 {
        self.pending
    }

    fn transfer_ms(&self, bytes: u64) -> u64 {
        (bytes as f64 / self.bytes_per_ms) as u64
    }
}

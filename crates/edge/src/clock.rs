//! The clock of a process: the system's time, or one that tests advance.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{SystemTime, UNIX_EPOCH},
};

use laburnum_kernel::Ms;
use rustix::time::{ClockId, clock_gettime};

/// A clock in milliseconds that never runs backwards. Clones share one source of time.
#[derive(Clone, Debug)]
pub struct Clock(Arc<Source>);

#[derive(Debug)]
enum Source {
    /// Wall clock at start plus the time since.
    System { epoch: Ms, start: Ms },
    /// Set by [`Clock::advance`].
    Manual(AtomicU64),
}

impl Clock {
    /// Creates a clock that reads the wall clock once and adds the time since, so that a change of the wall clock
    /// does not move it. Unlike a monotonic clock it counts the time for which the host was suspended.
    pub fn system() -> Clock {
        let epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |it| it.as_millis() as u64);
        Clock(Arc::new(Source::System {
            epoch: Ms(epoch),
            start: uptime(),
        }))
    }

    /// Creates a clock that only [`Clock::advance`] moves.
    pub fn manual(now: Ms) -> Clock {
        Clock(Arc::new(Source::Manual(AtomicU64::new(now.0))))
    }

    /// Returns the current time.
    pub fn now(&self) -> Ms {
        match &*self.0 {
            Source::System { epoch, start } => *epoch + uptime().since(*start),
            Source::Manual(now) => Ms(now.load(Ordering::SeqCst)),
        }
    }

    /// Moves a manual clock forward; has no effect on a system clock.
    pub fn advance(&self, millis: u64) {
        if let Source::Manual(now) = &*self.0 {
            now.fetch_add(millis, Ordering::SeqCst);
        }
    }
}

/// Returns the time since the host started, suspensions included.
fn uptime() -> Ms {
    let time = clock_gettime(ClockId::Boottime);
    Ms(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
}

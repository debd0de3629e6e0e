//! The clock of a process: the system's time, or one that tests advance.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use laburnum_kernel::Ms;

/// A clock in milliseconds that never runs backwards. Clones share one source of time.
#[derive(Clone, Debug)]
pub struct Clock(Arc<Source>);

#[derive(Debug)]
enum Source {
    /// Wall clock at start plus monotonic time since.
    System { epoch: Ms, start: Instant },
    /// Set by [`Clock::advance`].
    Manual(AtomicU64),
}

impl Clock {
    /// Creates a clock that reads the wall clock once and adds monotonic time, so that a change of the wall clock
    /// does not move it.
    pub fn system() -> Clock {
        let epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |it| it.as_millis() as u64);
        Clock(Arc::new(Source::System {
            epoch: Ms(epoch),
            start: Instant::now(),
        }))
    }

    /// Creates a clock that only [`Clock::advance`] moves.
    pub fn manual(now: Ms) -> Clock {
        Clock(Arc::new(Source::Manual(AtomicU64::new(now.0))))
    }

    /// Returns the current time.
    pub fn now(&self) -> Ms {
        match &*self.0 {
            Source::System { epoch, start } => *epoch + start.elapsed().as_millis() as u64,
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

//! Observes the upstream beside the node while its build is rolled out.

use std::sync::{Mutex, MutexGuard, PoisonError};

use laburnum_kernel::{
    Ms,
    members::Evidence,
    rollout::{Answer, Judge},
};

/// Observation of the upstream beside the node; idle unless its build is being rolled out.
#[derive(Debug, Default)]
pub struct Trial(Mutex<Option<State>>);

#[derive(Debug)]
struct State {
    judge: Judge,
    reported: Evidence,
}

impl Trial {
    /// Starts the observation, unless it runs, and returns what it shows if that changed.
    pub fn run(&self, now: Ms) -> Option<Evidence> {
        let mut state = self.lock();
        let state = state.get_or_insert_with(|| State {
            judge: Judge::new(now),
            reported: Evidence::Unknown,
        });
        let evidence = state.judge.evidence(now);
        let changed = evidence != state.reported;
        state.reported = evidence;
        changed.then_some(evidence)
    }

    /// Ends the observation.
    pub fn end(&self) {
        *self.lock() = None;
    }

    /// Records an answer of the upstream beside the node.
    pub fn observe(&self, now: Ms, it: Answer) {
        if let Some(state) = self.lock().as_mut() {
            state.judge.observe(now, it);
        }
    }

    /// Records an answer of another upstream of its service, of the build in service.
    pub fn observe_baseline(&self, now: Ms, it: Answer) {
        if let Some(state) = self.lock().as_mut() {
            state.judge.observe_baseline(now, it);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<State>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

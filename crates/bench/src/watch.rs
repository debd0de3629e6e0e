//! Background monitor of a running fleet: polls every node's view and the platform's read counter.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use laburnum_kernel::{Seq, View};
use laburnum_node::control::Control;
use laburnum_standin::FaultyPlatform;
use tokio::task::JoinHandle;

/// Poll interval, in ms.
const POLL_MS: u64 = 20;

/// Number of polls in a second.
const POLLS_PER_SECOND: usize = 50;

/// A running monitor; it runs until [`Watch::close`].
#[derive(Debug)]
pub struct Watch {
    state: Arc<Mutex<State>>,
    task: JoinHandle<()>,
}

/// Results of a monitor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// Number of polls of a node whose view went back, or was ready below a position at which it was ready before.
    pub steps_back: u64,
    /// Number of views with a route to an absent service, counted once per node and position.
    pub dangling: u64,
    /// Highest number of platform reads in one second.
    pub reads_peak: u64,
}

#[derive(Debug, Default)]
struct State {
    nodes: Vec<Watched>,
    findings: Findings,
    /// Platform's read counter at each poll of the last second.
    reads: VecDeque<u64>,
}

/// Monitor state of one place of the fleet.
#[derive(Debug)]
struct Watched {
    control: Control,
    /// Position of the current process at the last poll.
    process_seq: Seq,
    /// Highest position at which any process of this place was ready; a restarted one must not be ready
    /// below it.
    ready_seq: Seq,
}

impl Watch {
    /// Starts a monitor of these nodes, given in the order of their places.
    pub fn start(controls: impl Iterator<Item = Control>, platform: FaultyPlatform) -> Watch {
        let nodes = controls.map(|control| Watched {
            control,
            process_seq: Seq::default(),
            ready_seq: Seq::default(),
        });
        let state = Arc::new(Mutex::new(State {
            nodes: nodes.collect(),
            ..State::default()
        }));
        let shared = state.clone();
        let task = tokio::spawn(async move {
            loop {
                lock(&shared).poll(&platform);
                tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
            }
        });
        Watch { state, task }
    }

    /// Monitors the restarted node at `idx` as a new process.
    pub fn set_restarted(&self, idx: usize, control: Control) {
        let node = &mut lock(&self.state).nodes[idx];
        node.control = control;
        node.process_seq = Seq::default();
    }

    /// Returns the results so far.
    pub fn findings(&self) -> Findings {
        lock(&self.state).findings
    }

    /// Resets the peak of reads, to measure the next case.
    pub fn reset_peak(&self) {
        let state = &mut *lock(&self.state);
        state.findings.reads_peak = 0;
        state.reads.clear();
    }

    /// Stops the monitor and returns its results.
    pub fn close(self) -> Findings {
        self.task.abort();
        self.findings()
    }
}

impl Findings {
    /// Returns the number of violations of an invariant.
    pub fn violations(&self) -> u64 {
        self.steps_back + self.dangling
    }
}

impl State {
    fn poll(&mut self, platform: &FaultyPlatform) {
        for node in &mut self.nodes {
            node.poll(&mut self.findings);
        }
        let stats = platform.stats();
        self.reads.push_back(stats.reads);
        if self.reads.len() > POLLS_PER_SECOND {
            self.reads.pop_front();
        }
        let first = self.reads.front().copied().unwrap_or(stats.reads);
        self.findings.reads_peak = self.findings.reads_peak.max(stats.reads - first);
    }
}

impl Watched {
    fn poll(&mut self, findings: &mut Findings) {
        let view = self.control.view();
        if view.seq < self.process_seq || (view.ready && view.seq < self.ready_seq) {
            findings.steps_back += 1;
        }
        if view.seq != self.process_seq && has_dangling_route(&view) {
            findings.dangling += 1;
        }
        self.process_seq = view.seq;
        if view.ready {
            self.ready_seq = self.ready_seq.max(view.seq);
        }
    }
}

/// Returns whether a route of the view names a service that the view lacks.
pub fn has_dangling_route(view: &View) -> bool {
    let mut uses = view.services.values().flat_map(|it| it.document.uses());
    uses.any(|it| !view.services.contains_key(it))
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

//! Looks at every node's view while a fleet runs, and at what the platform serves.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use laburnum_kernel::{Seq, View};
use laburnum_node::control::Control;
use laburnum_standin::Faulty;
use tokio::task::JoinHandle;

/// Interval between two looks, in ms.
const LOOK_MS: u64 = 20;

/// Looks that make a second.
const LOOKS_PER_SECOND: usize = 50;

/// A running watch. It ends when it is closed.
#[derive(Debug)]
pub struct Watch {
    state: Arc<Mutex<State>>,
    task: JoinHandle<()>,
}

/// What a watch found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// Views that went back, counted once a look.
    pub steps_back: u64,
    /// Views with a route to an absent service, counted once a position of a node.
    pub dangling: u64,
    /// Most reads of the platform in one second.
    pub reads_peak: u64,
}

#[derive(Debug, Default)]
struct State {
    nodes: Vec<Watched>,
    findings: Findings,
    /// The platform's reads at each look of the last second.
    reads: VecDeque<u64>,
}

/// One place of the fleet.
#[derive(Debug)]
struct Watched {
    control: Control,
    /// Position that this process showed.
    process: Seq,
    /// Highest position that any process here served at; a restarted one must not serve below it.
    served: Seq,
}

impl Watch {
    /// Watches these nodes, in the order of their places.
    pub fn start(controls: impl Iterator<Item = Control>, platform: Faulty) -> Watch {
        let nodes = controls.map(|control| Watched {
            control,
            process: Seq::default(),
            served: Seq::default(),
        });
        let state = Arc::new(Mutex::new(State {
            nodes: nodes.collect(),
            ..State::default()
        }));
        let shared = state.clone();
        let task = tokio::spawn(async move {
            loop {
                lock(&shared).look(&platform);
                tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
            }
        });
        Watch { state, task }
    }

    /// The node at `idx` is a new process from now on.
    pub fn restarted(&self, idx: usize, control: Control) {
        let node = &mut lock(&self.state).nodes[idx];
        node.control = control;
        node.process = Seq::default();
    }

    /// What was found so far.
    pub fn findings(&self) -> Findings {
        lock(&self.state).findings
    }

    /// Forgets the peak of reads, to find that of the next part of the run.
    pub fn reset_peak(&self) {
        let state = &mut *lock(&self.state);
        state.findings.reads_peak = 0;
        state.reads.clear();
    }

    /// Ends the watch.
    pub fn close(self) -> Findings {
        self.task.abort();
        self.findings()
    }
}

impl Findings {
    /// Promises broken.
    pub fn breaks(&self) -> u64 {
        self.steps_back + self.dangling
    }
}

impl State {
    fn look(&mut self, platform: &Faulty) {
        for node in &mut self.nodes {
            node.look(&mut self.findings);
        }
        let stats = platform.stats();
        self.reads.push_back(stats.reads);
        if self.reads.len() > LOOKS_PER_SECOND {
            self.reads.pop_front();
        }
        let first = self.reads.front().copied().unwrap_or(stats.reads);
        self.findings.reads_peak = self.findings.reads_peak.max(stats.reads - first);
    }
}

impl Watched {
    fn look(&mut self, findings: &mut Findings) {
        let view = self.control.view();
        if view.seq < self.process || (view.ready && view.seq < self.served) {
            findings.steps_back += 1;
        }
        if view.seq != self.process && dangles(&view) {
            findings.dangling += 1;
        }
        self.process = view.seq;
        if view.ready {
            self.served = self.served.max(view.seq);
        }
    }
}

/// Whether a route of the view names a service that it lacks.
pub fn dangles(view: &View) -> bool {
    let mut uses = view.services.values().flat_map(|it| it.document.uses());
    uses.any(|it| !view.services.contains_key(it))
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

//! Per-service state of an entry: endpoint statistics and retry budgets.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
};

use arc_swap::ArcSwap;
use laburnum_kernel::{
    Ms, Name, NodeId, View,
    admission::{
        Load,
        kinds::Kind,
        ranks::{Outlook, RankedRequest},
    },
    document::Class,
    members::Discovery,
    pick::{Choice, Lane, Outcome, Picker, Place, placement::Placement},
    retry::{Bound, Budget, Entries},
    settings::Origin,
    standing::{Report, Standing, Standings},
    view::ServiceView,
};

/// State of the services that callers asked for, created on the first request.
#[derive(Debug)]
pub struct Services {
    own: NodeId,
    place: Place,
    origin: Origin,
    /// Bound on the retries of all nodes together, if there is one.
    retries: Option<Bound>,
    services: RwLock<HashMap<Name, Arc<Service>>>,
    /// What owners reported of upstreams that limit their requests or leave.
    standings: Mutex<Standings>,
    /// Latest view and its generation.
    current: ArcSwap<Current>,
}

/// A view and its generation number. They are swapped together.
#[derive(Debug, Default)]
struct Current {
    view: Arc<View>,
    generation: u64,
}

/// State of one service.
#[derive(Debug)]
pub struct Service {
    state: Mutex<State>,
}

/// State of one service, behind its lock.
#[derive(Debug)]
pub struct State {
    /// Chooses endpoints.
    pub chooser: Chooser,
    /// Budget for retries.
    pub budget: Budget,
    generation: u64,
}

/// Policy that chooses endpoints.
#[derive(Debug)]
pub enum Chooser {
    /// Chooses by traffic class; used with submitted documents.
    Picker(Picker),
    /// Chooses by priority and latency goal; used with an imported configuration.
    Placement(Placement),
}

/// Load information that an owner sends along with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feedback {
    /// No information.
    Nothing,
    /// Load of the upstream.
    Load(Load),
    /// Expected waiting times of further requests.
    Outlook(Outlook),
}

impl Chooser {
    /// Chooses an endpoint for the request `ranked` of `class` that has already failed at `tried`.
    pub fn choose(&self, now: Ms, class: Class, ranked: RankedRequest, tried: &[NodeId]) -> Choice {
        match self {
            Chooser::Picker(it) => it.pick(now, &mut rand::rng(), class, tried),
            Chooser::Placement(it) => it.place(now, &mut rand::rng(), ranked, tried),
        }
    }

    /// Returns the number of endpoints that can be chosen.
    pub fn count(&self) -> usize {
        match self {
            Chooser::Picker(it) => it.len(),
            Chooser::Placement(it) => it.len(),
        }
    }

    /// Records what the upstream of `node` says about itself.
    pub fn record_standing(&mut self, now: Ms, node: NodeId, standing: Standing) {
        match self {
            // It learns of full and leaving endpoints by their refusals.
            Chooser::Picker(_) => {}
            Chooser::Placement(it) => it.record_standing(now, node, standing),
        }
    }

    fn started(&mut self, now: Ms, node: NodeId, kind: Kind) {
        match self {
            Chooser::Picker(it) => it.started(now, node),
            Chooser::Placement(it) => {
                it.started(now, node);
                it.expect_answer(node, kind);
            }
        }
    }

    fn record_outlook(&mut self, now: Ms, node: NodeId, outlook: Outlook) {
        match self {
            Chooser::Picker(_) => {}
            Chooser::Placement(it) => it.record_outlook(now, node, outlook),
        }
    }

    fn record_size(&mut self, now: Ms, kind: Kind, bytes: u64) {
        match self {
            Chooser::Picker(_) => {}
            Chooser::Placement(it) => it.record_size(now, kind, bytes),
        }
    }

    fn finished(&mut self, now: Ms, flight: &InFlight) {
        let InFlight {
            node,
            class,
            lane,
            outcome,
            feedback,
            ..
        } = *flight;
        match (self, feedback) {
            (Chooser::Picker(it), Feedback::Load(load)) => {
                it.finished(now, node, class, outcome, Some(load));
            }
            (Chooser::Picker(it), _) => it.finished(now, node, class, outcome, None),
            (Chooser::Placement(it), _) => it.finished(now, node, lane, outcome),
        }
    }
}

impl Services {
    /// Creates the empty state of the entry `own` at `place`, whose retries share `retries` with all others.
    pub fn new(own: NodeId, place: Place, origin: Origin, retries: Option<Bound>) -> Services {
        Services {
            own,
            place,
            origin,
            retries,
            services: RwLock::default(),
            standings: Mutex::default(),
            current: ArcSwap::default(),
        }
    }

    /// Returns the state of service `name`, updated to `view`.
    pub fn get(&self, now: Ms, view: &Arc<View>, name: &Name, it: &ServiceView) -> Arc<Service> {
        let generation = self.generation(view);
        let service = self.find_or_insert(now, name, it);
        let mut state = service.lock();
        if state.generation != generation {
            state.generation = generation;
            let ramp = it.document.warmup.ramp;
            match &mut state.chooser {
                Chooser::Picker(picker) => picker.refresh(now, &it.endpoints, ramp),
                Chooser::Placement(placement) => placement.refresh(&it.endpoints),
            }
            state.budget.set_percent(it.document.retry.budget);
            state.budget.set_entries(now, entries(view));
        }
        drop(state);
        service
    }

    /// Returns what this entry remembers of the upstream beside `owner`, if it limits its requests or leaves.
    pub fn standing(&self, owner: NodeId) -> Option<Report> {
        self.standings().of(owner)
    }

    /// Remembers what `owner` reported of its upstream.
    pub fn record_standing(&self, owner: NodeId, report: Report) {
        self.standings().record(owner, report);
    }

    fn standings(&self) -> MutexGuard<'_, Standings> {
        self.standings
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn find_or_insert(&self, now: Ms, name: &Name, it: &ServiceView) -> Arc<Service> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(service) = services.get(name) {
            return service.clone();
        }
        drop(services);
        let mut services = self
            .services
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let service = services.entry(name.clone()).or_insert_with(|| {
            let state = State {
                chooser: match self.origin {
                    Origin::Submitted => Chooser::Picker(Picker::new(self.place.clone())),
                    Origin::Imported => {
                        Chooser::Placement(Placement::new(self.own, self.place.clone()))
                    }
                },
                budget: match self.retries {
                    Some(bound) => Budget::bounded(now, bound, Entries::Unknown),
                    None => Budget::new(now, it.document.retry.budget),
                },
                generation: 0,
            };
            Arc::new(Service {
                state: Mutex::new(state),
            })
        });
        service.clone()
    }

    /// Returns the generation number of `view`, a new one for each new view.
    ///
    /// Only one view is held for all services, so that idle services do not keep old views in memory. View and
    /// number are swapped together: a request that combined the new view with the old number would skip the
    /// update of its service and find no endpoint.
    fn generation(&self, view: &Arc<View>) -> u64 {
        loop {
            let current = self.current.load_full();
            if Arc::ptr_eq(&current.view, view) {
                return current.generation;
            }
            let next = Arc::new(Current {
                view: view.clone(),
                generation: current.generation + 1,
            });
            let generation = next.generation;
            let before = self.current.compare_and_swap(&current, next);
            if Arc::ptr_eq(&before, &current) {
                self.remove_deleted(view);
                return generation;
            }
        }
    }

    fn remove_deleted(&self, view: &View) {
        let mut services = self
            .services
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        services.retain(|name, _| view.services.contains_key(name));
    }
}

/// Returns the number of nodes with an upstream; each is an entry.
fn entries(view: &View) -> Entries {
    let known: usize = view.services.values().map(|it| it.endpoints.len()).sum();
    match view.discovery {
        Discovery::Searching => Entries::Unknown,
        Discovery::Unanswered { contacts } => Entries::Count(known.max(1 + contacts)),
        Discovery::Alone | Discovery::Joined { .. } => Entries::Count(known),
    }
}

impl Service {
    /// Locks the state. Hold the lock for one decision only.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One attempt in flight. Dropping it reports its outcome to the chooser; without [`InFlight::answered`] or
/// [`InFlight::ended`] the outcome is cancelled.
#[derive(Debug)]
pub struct InFlight {
    service: Arc<Service>,
    clock: laburnum_edge::Clock,
    node: NodeId,
    class: Class,
    lane: Lane,
    started: Ms,
    outcome: Outcome,
    feedback: Feedback,
}

impl InFlight {
    /// Records that an attempt at `node` starts now.
    pub fn start(
        clock: &laburnum_edge::Clock,
        service: Arc<Service>,
        node: NodeId,
        class: Class,
        kind: Kind,
    ) -> InFlight {
        let started = clock.now();
        service.lock().chooser.started(started, node, kind);
        InFlight {
            service,
            clock: clock.clone(),
            node,
            class,
            lane: Lane::of(class, kind),
            started,
            outcome: Outcome::Cancelled,
            feedback: Feedback::Nothing,
        }
    }

    /// Sets the load information that came with the answer.
    pub fn set_feedback(&mut self, feedback: Feedback) {
        self.feedback = feedback;
        if let Feedback::Outlook(outlook) = feedback {
            let now = self.clock.now();
            let mut state = self.service.lock();
            state.chooser.record_outlook(now, self.node, outlook);
        }
    }

    /// Records the size of the answer, in bytes.
    pub fn record_size(&self, bytes: u64) {
        if let Lane::Kind(kind) = self.lane {
            let now = self.clock.now();
            self.service.lock().chooser.record_size(now, kind, bytes);
        }
    }

    /// Records that the whole answer arrived.
    pub fn answered(mut self) {
        let latency = self.clock.now().since(self.started);
        self.outcome = Outcome::Answered { latency };
        self.service.lock().budget.success();
    }

    /// Records another outcome.
    pub fn ended(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.clock.now();
        let mut state = self.service.lock();
        state.chooser.finished(now, self);
    }
}

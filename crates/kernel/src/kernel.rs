//! The kernel: its state, its plug-ins and the step that runs them.

use std::collections::VecDeque;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    accept::Accept,
    clock::Ms,
    drain::Drain,
    event::{Action, Event, Message, Notice, Reply, TICK_MS},
    guard::Guard,
    id::{CallId, NodeId, Token},
    import::Import,
    log::{Log, Recovery},
    members::Members,
    once::Once,
    platform::{ObjectOp, TableOp},
    quota::Quotas,
    restore::Restore,
    rollout::Rollouts,
    settings::{Origin, Settings},
    spread::Spread,
    utils::hash64,
    view::Publisher,
};

/// A plug-in of the kernel, registered by its module with `inventory::submit!`.
pub struct Plugin {
    /// Name, unique among the plug-ins.
    pub name: &'static str,
    /// Plug-ins handle each event in ascending order.
    pub order: u8,
    /// Origins of configuration for which it is active.
    pub scope: Scope,
    /// Handles an event or a notice.
    pub handle: fn(&mut Context<'_>, &mut State, &Event),
}

inventory::collect!(Plugin);

/// Origins of configuration for which a plug-in is active.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All origins.
    Any,
    /// [`Origin::Submitted`] only.
    Submitted,
    /// [`Origin::Imported`] only.
    Imported,
}

impl Scope {
    fn covers(self, origin: Origin) -> bool {
        match (self, origin) {
            (Scope::Any, _) => true,
            (Scope::Submitted, it) => it == Origin::Submitted,
            (Scope::Imported, it) => it == Origin::Imported,
        }
    }
}

/// The state of all plug-ins. Each may read the others' and changes them only through functions of
/// their modules.
pub struct State {
    /// The applied configuration log.
    pub log: Log,
    /// Recovery from the log in the table.
    pub recovery: Recovery,
    /// Configuration imported from an external source.
    pub import: Import,
    /// Submissions to the table.
    pub accept: Accept,
    /// Distribution of configuration to the nodes.
    pub spread: Spread,
    /// Membership.
    pub members: Members,
    /// Detection of a restored platform store.
    pub restore: Restore,
    /// Quotas of customers.
    pub quotas: Quotas,
    /// Roll-outs of builds.
    pub rollouts: Rollouts,
    /// Claims of requests that run at most once.
    pub once: Once,
    /// Quarantine of requests that crash their upstream.
    pub guard: Guard,
    /// Shutdown of this node.
    pub drain: Drain,
    /// The view that traffic threads read.
    pub publisher: Publisher,
}

/// Context in which a plug-in handles one event.
pub struct Context<'a> {
    /// Time of the event.
    pub now: Ms,
    /// Settings of this kernel.
    pub settings: &'a Settings,
    /// Seeded generator of this plug-in alone; draws of one plug-in don't affect another.
    pub rng: &'a mut ChaCha8Rng,
    out: &'a mut Vec<Action>,
    notices: &'a mut VecDeque<Notice>,
    calls: &'a mut u64,
}

impl Context<'_> {
    /// Emits an action.
    pub fn act(&mut self, action: Action) {
        self.out.push(action);
    }

    /// Asks the external source for a newer version.
    pub fn check_source(&mut self) {
        self.act(Action::CheckSource);
    }

    /// Sends `message` over the link.
    pub fn send(&mut self, to: NodeId, message: Message) {
        self.act(Action::Send { to, message });
    }

    /// Answers a call.
    pub fn reply(&mut self, token: Token, reply: Reply) {
        self.act(Action::Reply { token, reply });
    }

    /// Starts an operation on the table; the answer arrives as [`Event::Table`] with the returned
    /// id.
    pub fn table(&mut self, op: TableOp) -> CallId {
        let call = self.next_call();
        self.act(Action::Table { call, op });
        call
    }

    /// Starts an operation on the object store; the answer arrives as [`Event::Object`] with the
    /// returned id.
    pub fn object(&mut self, op: ObjectOp) -> CallId {
        let call = self.next_call();
        self.act(Action::Object { call, op });
        call
    }

    /// Writes a log line.
    pub fn log(&mut self, event: &'static str, pairs: Vec<(&'static str, String)>) {
        self.act(Action::Log { event, pairs });
    }

    /// Notifies all plug-ins after the current event, unless the same notice waits already.
    pub fn raise(&mut self, notice: Notice) {
        if !self.notices.contains(&notice) {
            self.notices.push_back(notice);
        }
    }

    fn next_call(&mut self) -> CallId {
        *self.calls += 1;
        CallId(*self.calls)
    }
}

/// The deterministic state machine of one node.
pub struct Kernel {
    settings: Settings,
    state: State,
    plugins: Vec<(&'static Plugin, ChaCha8Rng)>,
    calls: u64,
    last: Ms,
}

/// Gap between two events, in ms, above which the process is taken to have been paused.
pub const PAUSE_MS: u64 = 20 * TICK_MS;

impl Kernel {
    /// Creates a kernel. `seed` fixes its random choices.
    pub fn new(settings: Settings, seed: u64) -> Kernel {
        let mut plugins: Vec<&'static Plugin> = inventory::iter::<Plugin>
            .into_iter()
            .filter(|it| it.scope.covers(settings.origin))
            .collect();
        plugins.sort_by_key(|it| (it.order, it.name));
        Kernel {
            state: State {
                log: Log::default(),
                recovery: Recovery::default(),
                import: Import::default(),
                accept: Accept::default(),
                spread: Spread::new(&settings),
                members: Members::new(&settings),
                restore: Restore::default(),
                quotas: Quotas::default(),
                rollouts: Rollouts::default(),
                once: Once::default(),
                guard: Guard::default(),
                drain: Drain::default(),
                publisher: Publisher::default(),
            },
            plugins: plugins.into_iter().map(|it| (it, rng(seed, it))).collect(),
            settings,
            calls: 0,
            last: Ms(0),
        }
    }

    /// Handles one event and appends the actions that the driver has to carry out to `out`.
    ///
    /// `now` never runs backwards: an earlier time counts as the time of the previous event.
    pub fn step(&mut self, now: Ms, event: Event, out: &mut Vec<Action>) {
        let lost = now.since(self.last);
        let paused = self.last != Ms(0) && lost > PAUSE_MS;
        self.last = self.last.max(now);
        let mut notices = VecDeque::new();
        // Leases and views may have expired during a pause. The plug-ins are notified before the
        // event, so none acts on an expired lease.
        if paused {
            notices.push_back(Notice::Paused { lost });
            self.drain_notices(&mut notices, out);
        }
        self.dispatch(&event, &mut notices, out);
        self.drain_notices(&mut notices, out);
    }

    /// Returns the state, for drivers that check or show it.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the kernel's settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    fn drain_notices(&mut self, notices: &mut VecDeque<Notice>, out: &mut Vec<Action>) {
        while let Some(notice) = notices.pop_front() {
            self.dispatch(&Event::Notice(notice), notices, out);
        }
    }

    fn dispatch(&mut self, event: &Event, notices: &mut VecDeque<Notice>, out: &mut Vec<Action>) {
        for (plugin, rng) in &mut self.plugins {
            let mut cx = Context {
                now: self.last,
                settings: &self.settings,
                rng,
                out,
                notices,
                calls: &mut self.calls,
            };
            (plugin.handle)(&mut cx, &mut self.state, event);
        }
    }
}

fn rng(seed: u64, plugin: &Plugin) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(hash64(&[&seed.to_le_bytes(), plugin.name.as_bytes()]))
}

//! The control thread: owns the kernel and the link, and carries out the kernel's actions.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, Sender, channel},
    },
    thread::JoinHandle,
};

use arc_swap::ArcSwap;
use laburnum_edge::{
    Clock, Incoming, Link, LinkError, Platform,
    link::{Keys, Traffic, Waker, ZmqLink},
};
use laburnum_kernel::{
    Action, Call, Event, Kernel, Ms, Reply, Seq, Settings, Token, View,
    event::TICK_MS,
    import,
    members::{Phase, Reach},
    spread,
};
use tokio::{
    runtime::Handle,
    sync::{Notify, oneshot},
};

use crate::logs;

/// Handle of the control thread; cheap to clone.
#[derive(Clone, Debug)]
pub struct Control {
    queue: Sender<Command>,
    waker: Waker,
    view: Arc<ArcSwap<View>>,
    stats: Arc<ArcSwap<Stats>>,
    tokens: Arc<AtomicU64>,
    /// See [`Control::known_since`].
    known_since: Arc<AtomicU64>,
    /// Notified when the external source is to be checked for a newer version.
    checks: Arc<Notify>,
    /// Notified when this node starts or stops being a watcher of the external source.
    watcher_changes: Arc<Notify>,
}

/// Statistics of the control thread since it started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Link traffic by kind of message.
    pub traffic: Traffic,
    /// Statistics of the distribution of configuration.
    pub spread: spread::Stats,
    /// Highest log position known from any node.
    pub highest_seq: Seq,
    /// Number of alive nodes by reach and phase.
    pub members: BTreeMap<(Reach, Phase), u64>,
    /// Submissions that wait to be committed.
    pub accepting: usize,
    /// Outcomes that are not stored yet.
    pub unsettled: usize,
    /// State of the external configuration source.
    pub source: import::Source,
    /// Number of times that the source stopped answering.
    pub losses: u64,
    /// Time since the source last answered, in ms.
    pub silence: u64,
    /// Age of the configuration: time since the version in force was last confirmed as the newest, in ms.
    pub age: u64,
    /// Time for which the version in force was not surely the newest, or since the start if it never was, in ms.
    pub unknown: u64,
    /// Buckets of customers whose quotas this node counts.
    pub buckets: usize,
    /// Number of times that the platform's store was restored to an older copy.
    pub restores: u64,
}

/// Minimum time between two log lines about refused frames, in ms.
const REFUSALS_MS: u64 = 10_000;
/// Interval at which [`Control::stats`] is refreshed, in ms.
pub const STATS_MS: u64 = 1_000;

#[derive(Debug)]
enum Command {
    Event(Event),
    Call(Token, Call, oneshot::Sender<Reply>),
    Close,
}

/// The control thread has ended: the process is shutting down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the node is shutting down; ask another node")]
pub struct Closed;

impl Control {
    /// Sends a call to the kernel and waits for its reply.
    pub async fn call(&self, call: Call) -> Result<Reply, Closed> {
        let token = Token(self.tokens.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = oneshot::channel();
        self.push(Command::Call(token, call, sender))?;
        receiver.await.map_err(|_| Closed)
    }

    /// Sends an event to the kernel.
    pub fn send_event(&self, event: Event) -> Result<(), Closed> {
        self.push(Command::Event(event))
    }

    /// Waits until the external source is to be checked for a newer version.
    pub async fn check_requested(&self) {
        self.checks.notified().await;
    }

    /// Waits until this node may have started or stopped being a watcher of the external source.
    pub async fn watcher_changed(&self) {
        self.watcher_changes.notified().await;
    }

    /// Returns the newest view.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Returns the latest time at which the configuration in force was surely the newest; zero if never.
    ///
    /// It may belong to a newer version than a view that was read before: read it first.
    pub fn known_since(&self) -> Ms {
        Ms(self.known_since.load(Ordering::Acquire))
    }

    /// Returns the statistics, at most about [`STATS_MS`] old.
    pub fn stats(&self) -> Arc<Stats> {
        self.stats.load_full()
    }

    fn push(&self, command: Command) -> Result<(), Closed> {
        self.queue.send(command).map_err(|_| Closed)?;
        self.waker.wake();
        Ok(())
    }
}

/// The running control thread.
#[derive(Debug)]
pub struct ControlThread {
    control: Control,
    thread: JoinHandle<()>,
}

impl ControlThread {
    /// Binds the link and starts the thread. Platform calls run on `runtime`.
    pub fn start(
        settings: Settings,
        keys: Keys,
        clock: Clock,
        platform: Arc<dyn Platform>,
        runtime: Handle,
    ) -> Result<ControlThread, LinkError> {
        let (link, waker) = ZmqLink::bind(settings.node, keys, clock.clone())?;
        let (queue, commands) = channel();
        let control = Control {
            queue,
            waker,
            view: Arc::default(),
            stats: Arc::default(),
            tokens: Arc::default(),
            known_since: Arc::default(),
            checks: Arc::default(),
            watcher_changes: Arc::default(),
        };
        let seed = settings.incarnation ^ u64::from(settings.node.0.port());
        let driver = Driver {
            kernel: Kernel::new(settings, seed),
            link,
            clock,
            platform,
            runtime,
            control: control.clone(),
            waiting: HashMap::new(),
            next: Next::Run,
            refusals: Refusals::default(),
        };
        let thread = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || driver.run(&commands))
            .map_err(LinkError::Wake)?;
        Ok(ControlThread { control, thread })
    }

    /// Returns a handle of the thread.
    pub fn control(&self) -> &Control {
        &self.control
    }

    /// Returns whether the kernel has left the fleet and the thread has ended.
    pub fn exited(&self) -> bool {
        self.thread.is_finished()
    }

    /// Stops the thread and closes its sockets.
    pub fn close(self) {
        if self.control.push(Command::Close).is_ok() {
            let _ = self.thread.join();
        }
    }
}

struct Driver {
    kernel: Kernel,
    link: ZmqLink,
    clock: Clock,
    platform: Arc<dyn Platform>,
    runtime: Handle,
    control: Control,
    waiting: HashMap<Token, oneshot::Sender<Reply>>,
    next: Next,
    refusals: Refusals,
}

/// State of the last log line about refused frames.
#[derive(Debug, Default)]
struct Refusals {
    count: u64,
    logged: Option<Ms>,
}

/// Whether the control loop continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Run,
    Close,
}

impl Driver {
    fn run(mut self, commands: &Receiver<Command>) {
        self.step(Event::Start);
        let mut ticked = self.clock.now();
        let mut counted = ticked;
        loop {
            let due = TICK_MS.saturating_sub(self.clock.now().since(ticked));
            for incoming in self.link.wait(due) {
                self.step(match incoming {
                    Incoming::Message { from, message } => Event::Message { from, message },
                    Incoming::Probe { from, packet } => Event::Probe { from, packet },
                });
            }
            if let Next::Close = self.drain_commands(commands) {
                return self.link.close();
            }
            if self.clock.now().since(ticked) >= TICK_MS {
                ticked = self.clock.now();
                self.step(Event::Tick);
            }
            if self.clock.now().since(counted) >= STATS_MS {
                counted = self.clock.now();
                self.update_stats();
                self.log_refusals(counted);
            }
            if self.next == Next::Close {
                return self.link.close();
            }
        }
    }

    fn update_stats(&self) {
        let state = self.kernel.state();
        let mut members = BTreeMap::new();
        for (record, reach) in state.members.alive_with_reach() {
            *members.entry((reach, record.phase)).or_default() += 1;
        }
        let stats = Stats {
            traffic: self.link.traffic().clone(),
            spread: state.spread.stats(),
            highest_seq: state.spread.heard(),
            members,
            accepting: state.accept.waiting(),
            unsettled: state.once.unsettled(),
            source: state.import.source(),
            losses: state.import.losses(),
            silence: state.import.silence(self.clock.now()),
            age: state.import.age(self.clock.now()),
            unknown: state.import.unknown(self.clock.now()),
            buckets: state.quotas.held(),
            restores: state.restore.restores(),
        };
        self.control.stats.store(Arc::new(stats));
    }

    /// Logs refused frames, at most once per [`REFUSALS_MS`], so that a flood of frames does not flood the log.
    fn log_refusals(&mut self, now: Ms) {
        let traffic = self.link.traffic();
        let (strange, replayed) = (traffic.strange, traffic.replayed);
        let is_due = self
            .refusals
            .logged
            .is_none_or(|it| now.since(it) >= REFUSALS_MS);
        if strange + replayed == self.refusals.count || !is_due {
            return;
        }
        self.refusals = Refusals {
            count: strange + replayed,
            logged: Some(now),
        };
        let pairs = [
            ("strange", strange.to_string()),
            ("replayed", replayed.to_string()),
        ];
        logs::event("link-refused", &pairs);
    }

    fn drain_commands(&mut self, commands: &Receiver<Command>) -> Next {
        while let Ok(command) = commands.try_recv() {
            match command {
                Command::Event(event) => self.step(event),
                Command::Call(token, call, sender) => {
                    self.waiting.insert(token, sender);
                    self.step(Event::Call { token, call });
                }
                Command::Close => return Next::Close,
            }
        }
        Next::Run
    }

    fn publish(&mut self, view: Arc<View>) {
        let turn = view.turn;
        let before = self.control.view.swap(view);
        if before.turn != turn {
            self.control.watcher_changes.notify_one();
        }
    }

    fn step(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.kernel.step(self.clock.now(), event, &mut actions);
        // Views are published before replies are sent: the recipient of a reply may read the view at once and
        // must see the state that the reply refers to. The sort is stable.
        actions.sort_by_key(|it| !matches!(it, Action::Publish(_)));
        for action in actions {
            self.execute(action);
        }
        // After the view, so that a reader of both never takes an old view for a confirmed one.
        let known_since = self.kernel.state().import.known_since();
        let published = &self.control.known_since;
        published.store(known_since.0, Ordering::Release);
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { to, message } => self.link.send(to, &message),
            Action::Probe { to, packet } => self.link.probe(to, &packet),
            Action::Table { call, op } => {
                let (platform, control) = (self.platform.clone(), self.control.clone());
                self.runtime.spawn(async move {
                    let answer = platform.table(op).await;
                    // The era must arrive before the answer that belongs to it.
                    let _ = platform.era().map(|it| control.send_event(Event::Era(it)));
                    // A closed control thread no longer waits for the answer.
                    let _ = control.send_event(Event::Table { call, answer });
                });
            }
            Action::Object { call, op } => {
                let (platform, control) = (self.platform.clone(), self.control.clone());
                self.runtime.spawn(async move {
                    let answer = platform.object(op).await;
                    let _ = platform.era().map(|it| control.send_event(Event::Era(it)));
                    let _ = control.send_event(Event::Object { call, answer });
                });
            }
            Action::Reply { token, reply } => {
                if let Some(sender) = self.waiting.remove(&token) {
                    // The caller may have stopped waiting.
                    let _ = sender.send(reply);
                }
            }
            Action::CheckSource => self.control.checks.notify_one(),
            Action::Exit => self.next = Next::Close,
            Action::Publish(view) => self.publish(view),
            Action::Log { event, pairs } => logs::event(event, &pairs),
        }
    }
}

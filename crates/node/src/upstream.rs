//! The upstream beside this node: its announcement, its connections and its health.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use axum::body::Body;
use http::{Request, StatusCode, header};
use laburnum_edge::Clock;
use laburnum_kernel::{
    Call, Event, Ms, Name,
    event::UpstreamEvent,
    guard::{self, Fingerprint},
    health::{Health, Observation},
    id::Build,
    instance::{Instances, Start, Verdict},
    members::Phase,
    standing::StartTag,
};
use serde::Deserialize;
use tokio::{
    sync::{Notify, watch},
    time::{Instant, MissedTickBehavior, interval, timeout},
};

mod leaving;

pub(crate) use leaving::LEAVING_MAX;
use leaving::Records;
pub use leaving::{Receipt, Saved, WeakUpstream};

use crate::{
    control::{Closed, Control},
    logs,
    traffic::{
        body,
        pool::{Pool, PoolSettings, Sent, Unavailable},
    },
};

/// Interval between two health checks of the upstream.
const POLL: Duration = Duration::from_secs(1);
/// Timeout of a health check.
const POLL_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a health check that a request waits for.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum time between two answers that count as signs of life, in ms.
const SERVED_INTERVAL: u64 = 100;
/// Maximum length of a health report, in bytes.
const REPORT_MAX: u64 = 4096;
/// Time in ms for which a completely answered request is not suspected of a crash: a request that crashes the
/// upstream is never answered, while popular ones are answered all the time.
const ANSWERED_WINDOW: u64 = 30_000;
/// Maximum number of remembered answered requests; about 50 KB.
const ANSWERED_MAX: usize = 2_048;
/// Time by which the clock of an upstream may be ahead, in ms: a day.
const BORN_AHEAD_MAX: u64 = 24 * 60 * 60 * 1_000;
/// Requests lost within this time before the upstream was found dead count as in flight when it died, in ms.
const CRASH_WINDOW: u64 = 2_000;

/// The upstream beside this node; cheap to clone.
#[derive(Clone, Debug)]
pub struct Upstream(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    control: Control,
    clock: Clock,
    settings: PoolSettings,
    polling: Polling,
    instances: Mutex<Instances>,
    /// What is kept in the table for the node's next process.
    saved: watch::Sender<Saved>,
    /// Starts whose leaving is in the table.
    recorded: watch::Sender<Vec<Start>>,
    records: Mutex<Records>,
    active: ArcSwapOption<ActiveUpstream>,
    health: Mutex<Option<Health>>,
    running: Mutex<Requests>,
    runs: AtomicU64,
    /// Triggers a health check at once.
    poll_requested: Arc<Notify>,
    /// Time at which an answer last counted as a sign of life, in ms.
    last_answer: AtomicU64,
}

/// An announced upstream.
#[derive(Debug)]
pub struct ActiveUpstream {
    /// Service that it provides.
    pub service: Name,
    /// Number of requests that it handles at once.
    pub slots: u16,
    /// Version of its software.
    pub build: Build,
    /// Instance id of the present start, if the upstream reports one.
    pub instance: Option<Arc<str>>,
    /// Identifies the present start between nodes, if the upstream reports an instance.
    pub start: Option<StartTag>,
    /// Connections to the upstream.
    pub pool: Arc<Pool>,
    /// Whether this start said that it leaves.
    leaving: Arc<AtomicBool>,
}

/// Requests in flight, requests whose connection broke recently, and requests answered recently.
#[derive(Debug, Default)]
struct Requests {
    fingerprints: HashMap<u64, Fingerprint>,
    lost: Vec<(Ms, Fingerprint)>,
    answered: HashMap<Fingerprint, Ms>,
}

/// One request in flight at the upstream. Dropping it means that the request ended without a broken connection.
#[derive(Debug)]
pub struct Run {
    upstream: Upstream,
    number: u64,
    fingerprint: Fingerprint,
}

/// Announcement of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Service that the upstream provides.
    pub service: Name,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Number of requests that it handles at once.
    pub slots: u16,
    /// Version of its software.
    pub build: Build,
    /// Phase of the upstream.
    pub phase: Phase,
}

/// Announcement of one start of the upstream, repeated while it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The start of the upstream.
    pub start: Start,
    /// Sequence number; increases with each heartbeat of one instance.
    pub sequence: u64,
    /// Contents of the announcement.
    pub announcement: Announcement,
}

/// Why a call of an upstream is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadCall {
    /// The address has port 0.
    #[error("no upstream listens at port 0: announce the port that it listens at")]
    Port,
    /// The upstream handles no request.
    #[error("an upstream with 0 slots takes no request: announce at least 1")]
    Slots,
    /// The start is in the future.
    #[error("born {0} is in the future: announce the time of the start in Unix ms")]
    Born(u64),
}

/// Whether the node polls the upstream's health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Polling {
    /// Polls every second.
    #[default]
    Steady,
    /// Does not poll: health is taken from heartbeats and answers. After a broken connection one is opened, to
    /// detect a crash.
    Never,
}

/// Answer of the upstream to `GET /health`.
#[derive(Clone, Debug, Deserialize)]
struct Report {
    phase: ReportedPhase,
    #[serde(default)]
    slots: Option<u16>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum ReportedPhase {
    Warming,
    Ready,
    Draining,
}

impl Heartbeat {
    /// Returns the contents without the sequence number.
    pub fn content(&self) -> (&Start, &Announcement) {
        (&self.start, &self.announcement)
    }
}

impl Upstream {
    /// Creates the state without an upstream. Must be called inside a tokio runtime; polling ends when
    /// `control` does.
    pub fn start(
        control: Control,
        clock: Clock,
        settings: PoolSettings,
        polling: Polling,
    ) -> Upstream {
        let upstream = Upstream(Arc::new(Shared {
            control,
            clock,
            settings,
            polling,
            instances: Mutex::default(),
            saved: watch::Sender::default(),
            recorded: watch::Sender::default(),
            records: Mutex::new(Records::Off),
            active: ArcSwapOption::empty(),
            health: Mutex::default(),
            running: Mutex::default(),
            runs: AtomicU64::new(0),
            poll_requested: Arc::default(),
            last_answer: AtomicU64::new(0),
        }));
        tokio::spawn(poll_loop(
            Arc::downgrade(&upstream.0),
            upstream.0.poll_requested.clone(),
        ));
        upstream
    }

    /// Applies an announcement, new or repeated.
    pub fn announce(&self, it: Announcement) -> Result<(), Closed> {
        let phase = self.known_phase(it.phase);
        self.apply(Announcement { phase, ..it }, None)
    }

    /// Checks the fields of a heartbeat that its types do not bound.
    pub fn check_heartbeat(&self, it: &Heartbeat) -> Result<(), BadCall> {
        let announcement = &it.announcement;
        if announcement.address.port() == 0 {
            return Err(BadCall::Port);
        }
        if announcement.slots == 0 {
            return Err(BadCall::Slots);
        }
        self.check_start(&it.start)
    }

    /// Checks that a start is not born in the future: all later starts of its id would count as earlier ones.
    pub fn check_start(&self, start: &Start) -> Result<(), BadCall> {
        let latest = self.0.clock.now() + BORN_AHEAD_MAX;
        match start.born <= latest.0 {
            true => Ok(()),
            false => Err(BadCall::Born(start.born)),
        }
    }

    /// Applies a heartbeat. Late and repeated ones, and those of a replaced process, are ignored.
    pub fn heartbeat(&self, mut it: Heartbeat) -> Result<Receipt, Closed> {
        it.start = lock(&self.0.instances).resolve(it.start);
        let draining = it.announcement.phase == Phase::Draining;
        match draining || self.is_admitted(&it) {
            true => self.handle_heartbeat(it),
            false => Ok(Receipt::Now),
        }
    }

    fn handle_heartbeat(&self, mut it: Heartbeat) -> Result<Receipt, Closed> {
        let draining = it.announcement.phase == Phase::Draining;
        let now = self.0.clock.now();
        // Held until the verdict is applied: a deregistration that came in between would be undone.
        let mut instances = lock(&self.0.instances);
        if draining {
            instances.mark_leaving(&it.start);
        }
        if instances.is_leaving(&it.start) {
            it.announcement.phase = Phase::Draining;
        }
        let verdict = instances.heartbeat(now, &it.start, it.sequence);
        match verdict {
            Verdict::Stale => log_ignored(&it),
            Verdict::Present => self.apply_heartbeat(&it)?,
            // The successor must not inherit the phase of its predecessor: an upstream that drains never
            // becomes ready again.
            Verdict::Successor => {
                let pairs = [
                    ("id", it.start.id.to_string()),
                    ("born", it.start.born.to_string()),
                ];
                logs::event("upstream-instance", &pairs);
                self.withdraw()?;
                self.apply_heartbeat(&it)?;
            }
        }
        drop(instances);
        Ok(match draining {
            true => self.record_leaving(&it.start, "heartbeat"),
            false => Receipt::Now,
        })
    }

    fn apply_heartbeat(&self, it: &Heartbeat) -> Result<(), Closed> {
        if it.announcement.phase == Phase::Ready {
            self.0.saved.send_if_modified(|saved| {
                let same = saved.ready.as_ref().map(Heartbeat::content) == Some(it.content());
                if !same {
                    saved.ready = Some(it.clone());
                }
                !same
            });
        }
        self.apply(it.announcement.clone(), Some(&it.start))
    }

    /// Applies the heartbeat that the node's previous process saved, unless the upstream has announced itself
    /// since. The caller has made sure that its start has not left.
    pub fn recall(&self, it: Heartbeat) -> Result<(), Closed> {
        if self.active().is_some() {
            return Ok(());
        }
        if let Err(bad) = self.check_heartbeat(&it) {
            logs::event("heartbeat-refused", &[("why", bad.to_string())]);
            return Ok(());
        }
        logs::event("upstream-recalled", &[("id", it.start.id.to_string())]);
        self.handle_heartbeat(it).map(drop)
    }

    /// Returns whether requests may be sent to `upstream`: it is the present one and did not say that it leaves.
    pub fn takes_requests(&self, upstream: &ActiveUpstream) -> bool {
        !upstream.is_leaving() && self.is_present(upstream)
    }

    fn is_present(&self, upstream: &ActiveUpstream) -> bool {
        self.active()
            .is_some_and(|it| Arc::ptr_eq(&it.leaving, &upstream.leaving))
    }

    /// Returns the phase of an upstream without an instance that announces `phase`.
    fn known_phase(&self, phase: Phase) -> Phase {
        match self.active() {
            Some(it) if it.start.is_none() && it.is_leaving() => Phase::Draining,
            _ => phase,
        }
    }

    /// Handles an answer of another instance at the upstream's address: nothing is sent there until the next
    /// announcement.
    pub fn withdraw_replaced(&self) {
        logs::event("upstream", &[("state", "replaced".to_owned())]);
        // A closed control thread needs no update.
        let _ = self.withdraw();
    }

    fn apply(&self, it: Announcement, start: Option<&Start>) -> Result<(), Closed> {
        let shared = &self.0;
        let instance = start.map(|it| it.id.clone());
        let now = shared.clock.now();
        let same = shared.active.load().as_ref().is_some_and(|active| {
            active.pool.address() == it.address
                && active.service == it.service
                && active.instance == instance
        });
        let event = match same {
            true => self.update_health(now, Observation::Report(it.phase)),
            false => {
                *lock(&shared.health) = Some(Health::new(now, it.phase));
                Some(event_of(it.phase))
            }
        };
        let phase = self.phase();
        let (pool, leaving) = match shared.active.load().as_ref() {
            Some(active) if same => (active.pool.clone(), active.leaving.clone()),
            _ => {
                let pool = Pool::new(it.address, shared.settings.clone());
                (Arc::new(pool), Arc::default())
            }
        };
        // Requests that wait for this start are not sent any more.
        if start.is_some() && it.phase == Phase::Draining {
            leaving.store(true, Ordering::SeqCst);
        }
        let active = ActiveUpstream {
            service: it.service.clone(),
            slots: it.slots,
            build: it.build.clone(),
            instance,
            start: start.map(StartTag::from),
            pool,
            leaving,
        };
        shared.active.store(Some(Arc::new(active)));
        let announced = UpstreamEvent::Announced {
            service: it.service,
            slots: it.slots,
            build: it.build,
            phase,
        };
        shared.control.send_event(Event::Upstream(announced))?;
        match event {
            Some(event) => shared.control.send_event(Event::Upstream(event)),
            None => Ok(()),
        }
    }

    /// Withdraws the upstream's announcement. Requests in progress keep their connections.
    pub fn withdraw(&self) -> Result<(), Closed> {
        self.0.active.store(None);
        *lock(&self.0.health) = None;
        self.0
            .saved
            .send_if_modified(|saved| saved.ready.take().is_some());
        self.0
            .control
            .send_event(Event::Upstream(UpstreamEvent::Gone))
    }

    /// Returns the announced upstream, if any.
    pub fn active(&self) -> Option<Arc<ActiveUpstream>> {
        self.0.active.load_full()
    }

    /// Counts a request as in flight until the run is dropped or lost.
    pub fn begin(&self, fingerprint: Fingerprint) -> Run {
        let number = self.0.runs.fetch_add(1, Ordering::Relaxed);
        lock(&self.0.running)
            .fingerprints
            .insert(number, fingerprint);
        Run {
            upstream: self.clone(),
            number,
            fingerprint,
        }
    }

    /// Returns the number of requests in flight.
    pub fn running(&self) -> usize {
        lock(&self.0.running).fingerprints.len()
    }

    /// Returns the phase that the node attributes to the upstream.
    fn phase(&self) -> Phase {
        let health = lock(&self.0.health);
        health.as_ref().map_or(Phase::Warming, Health::phase)
    }

    /// Applies an observation of the upstream's health.
    pub fn observe(&self, observation: Observation) {
        let now = self.0.clock.now();
        let Some(event) = self.update_health(now, observation) else {
            return;
        };
        let pairs = [
            ("sign", format!("{observation:?}").to_lowercase()),
            ("became", format!("{event:?}").to_lowercase()),
        ];
        logs::event("upstream", &pairs);
        if event == UpstreamEvent::Gone {
            self.0.active.store(None);
            *lock(&self.0.health) = None;
        }
        // A closed control thread needs no update.
        let _ = self.0.control.send_event(Event::Upstream(event));
    }

    /// Counts an answer as a sign of life.
    pub fn observe_answer(&self) {
        let now = self.0.clock.now();
        let last = Ms(self.0.last_answer.load(Ordering::Relaxed));
        if now.since(last) >= SERVED_INTERVAL {
            self.0.last_answer.store(now.0, Ordering::Relaxed);
            self.observe(Observation::Served);
        }
    }

    /// Returns whether the upstream answers a health check on a new connection now; with [`Polling::Never`],
    /// whether it accepts the connection.
    pub async fn probe(&self) -> bool {
        let Some(active) = self.active() else {
            return false;
        };
        if self.0.polling == Polling::Never {
            return active.pool.open_unpooled().await.is_ok();
        }
        let polled = timeout(PROBE_TIMEOUT, fetch_report(&active.pool)).await;
        matches!(polled, Ok(PollResult::Report(_)))
    }

    /// Remembers a completely answered request, so that it is not suspected of a crash.
    pub fn remember_answered(&self, fingerprint: Fingerprint) {
        let now = self.0.clock.now();
        let mut running = lock(&self.0.running);
        if running.answered.len() >= ANSWERED_MAX {
            running
                .answered
                .retain(|_, at| now.since(*at) <= ANSWERED_WINDOW / 2);
        }
        if running.answered.len() < ANSWERED_MAX {
            running.answered.insert(fingerprint, now);
        }
    }

    /// Triggers a health check at once, such as after a broken connection.
    pub fn request_poll(&self) {
        self.0.poll_requested.notify_one();
    }

    /// Sends a call to the guard without waiting for its reply.
    pub fn notify_guard(&self, call: guard::Call) {
        let control = self.0.control.clone();
        tokio::spawn(async move {
            // A closed control thread has stopped; the call is not needed.
            let _ = control.call(Call::Guard(call)).await;
        });
    }

    fn update_health(&self, now: Ms, observation: Observation) -> Option<UpstreamEvent> {
        lock(&self.0.health).as_mut()?.observe(now, observation)
    }

    /// Handles a dead upstream: the requests that were in flight are suspected of having crashed it.
    fn report_crash(&self) {
        let now = self.0.clock.now();
        let mut running = lock(&self.0.running);
        let lost = std::mem::take(&mut running.lost);
        let mut prints: Vec<Fingerprint> = lost
            .into_iter()
            .filter(|(at, _)| now.since(*at) <= CRASH_WINDOW)
            .map(|(_, fingerprint)| fingerprint)
            .collect();
        prints.extend(running.fingerprints.values());
        // Identical reads share a fingerprint. Suspecting those that were just answered would restrict the most
        // popular requests across the whole fleet when several upstreams crash at once.
        let answered = |it: &Fingerprint| running.answered.get(it).copied();
        prints.retain(|it| answered(it).is_none_or(|at| now.since(at) > ANSWERED_WINDOW));
        drop(running);
        prints.sort_unstable();
        prints.dedup();
        if let Some(active) = self.active() {
            active.pool.purge();
        }
        if prints.is_empty() {
            return;
        }
        logs::event(
            "upstream-crashed",
            &[("suspects", prints.len().to_string())],
        );
        self.notify_guard(guard::Call::Crashed { prints });
    }

    async fn check(&self, active: &ActiveUpstream) {
        if self.0.polling == Polling::Never {
            if let Err(Unavailable::Refused) = active.pool.open_unpooled().await {
                self.observe(Observation::Refused);
                self.report_crash();
            }
            return;
        }
        let polled = timeout(POLL_TIMEOUT, fetch_report(&active.pool)).await;
        match polled {
            Ok(PollResult::Report(report)) => self.apply_report(active, &report),
            Ok(PollResult::Refused) => {
                self.observe(Observation::Refused);
                self.report_crash();
            }
            Ok(PollResult::Unclear) => self.observe(Observation::Unclear),
            Ok(PollResult::Late) | Err(_) => self.observe(Observation::Late),
        }
    }

    fn apply_report(&self, active: &ActiveUpstream, report: &Report) {
        if let Some(slots) = report.slots.filter(|it| *it != active.slots && *it > 0) {
            let next = ActiveUpstream {
                service: active.service.clone(),
                slots,
                build: active.build.clone(),
                instance: active.instance.clone(),
                start: active.start,
                pool: active.pool.clone(),
                leaving: active.leaving.clone(),
            };
            self.0.active.store(Some(Arc::new(next)));
            let announced = UpstreamEvent::Announced {
                service: active.service.clone(),
                slots,
                build: active.build.clone(),
                phase: self.phase(),
            };
            let _ = self.0.control.send_event(Event::Upstream(announced));
        }
        self.observe(Observation::Report(match report.phase {
            ReportedPhase::Warming => Phase::Warming,
            ReportedPhase::Ready => Phase::Ready,
            ReportedPhase::Draining => Phase::Draining,
        }));
    }
}

impl ActiveUpstream {
    /// Returns whether this start said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }
}

impl Run {
    /// Returns the request's fingerprint.
    pub fn fingerprint(&self) -> Fingerprint {
        self.fingerprint
    }

    /// Records that the request's connection broke: it becomes a suspect if the upstream is found dead.
    pub fn lost(self) {
        let now = self.upstream.0.clock.now();
        let mut running = lock(&self.upstream.0.running);
        running
            .lost
            .retain(|(at, _)| now.since(*at) <= CRASH_WINDOW);
        running.lost.push((now, self.fingerprint));
        drop(running);
        if self.upstream.0.polling == Polling::Steady {
            self.upstream.observe(Observation::Lost);
        }
        self.upstream.request_poll();
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        lock(&self.upstream.0.running)
            .fingerprints
            .remove(&self.number);
    }
}

/// Result of a health check.
enum PollResult {
    Report(Report),
    Refused,
    Unclear,
    Late,
}

async fn poll_loop(shared: Weak<Shared>, requested: Arc<Notify>) {
    let mut ticks = interval(POLL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let Some(upstream) = shared.upgrade().map(Upstream) else {
            return;
        };
        if let Some(active) = upstream.active() {
            upstream.check(&active).await;
        }
        let polling = upstream.0.polling;
        drop(upstream);
        tokio::select! {
            _ = ticks.tick(), if polling == Polling::Steady => {}
            () = requested.notified() => {}
        }
    }
}

/// Checks the upstream's health on a new connection, because a pooled one may be dead.
async fn fetch_report(pool: &Arc<Pool>) -> PollResult {
    let deadline = Instant::now() + POLL_TIMEOUT;
    let mut lease = match pool.open_unpooled().await {
        Ok(lease) => lease,
        Err(Unavailable::Refused) => return PollResult::Refused,
        Err(Unavailable::Late) => return PollResult::Late,
    };
    let request = Request::get("/health")
        .header(header::HOST, pool.address().to_string())
        .body(Body::empty());
    let Ok(request) = request else {
        return PollResult::Unclear;
    };
    let answer = match lease.send(request).await {
        Sent::Answered(answer) => answer,
        Sent::Broken(_) => return PollResult::Unclear,
        Sent::Unsent(_) | Sent::Lost | Sent::Silent => return PollResult::Late,
    };
    if answer.status() != StatusCode::OK {
        return PollResult::Unclear;
    }
    let Ok(bytes) = body::collect(answer.into_body(), REPORT_MAX, deadline).await else {
        return PollResult::Unclear;
    };
    match serde_json::from_slice(&bytes) {
        Ok(report) => PollResult::Report(report),
        Err(_) => PollResult::Unclear,
    }
}

/// Logs a heartbeat that was late or repeated, or of a start that left or was replaced.
fn log_ignored(it: &Heartbeat) {
    let pairs = [
        ("id", it.start.id.to_string()),
        ("born", it.start.born.to_string()),
        ("sequence", it.sequence.to_string()),
    ];
    logs::event("heartbeat-ignored", &pairs);
}

fn event_of(phase: Phase) -> UpstreamEvent {
    match phase {
        Phase::Warming => UpstreamEvent::Warming,
        Phase::Ready => UpstreamEvent::Ready,
        Phase::Draining => UpstreamEvent::Draining,
        Phase::Gone => UpstreamEvent::Gone,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

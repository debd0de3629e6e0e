//! The upstream beside this node: its announcement, its connections and its health.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicU64, Ordering},
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
    health::{Health, Sign},
    instance::{Instances, Start, Verdict},
    members::Phase,
};
use serde::Deserialize;
use tokio::{
    sync::{Notify, watch},
    time::{Instant, MissedTickBehavior, interval, timeout},
};

use crate::{
    control::{Closed, Control},
    logs,
    traffic::{
        body,
        pool::{Pool, PoolSettings, Sent, Unavailable},
    },
};

/// Interval between two questions for the upstream's health.
const POLL: Duration = Duration::from_secs(1);
/// Longest wait for the answer to one.
const POLL_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest wait for it while a request waits for the result.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Shortest time between two answers that count as signs of life, in ms.
const SERVED_INTERVAL: u64 = 100;
/// Longest answer to one, in bytes.
const REPORT_MAX: u64 = 4096;
/// A request that was answered whole within so long is not taken for one that crashes its upstream, in ms: popular
/// ones come many times a second, one that crashes its upstream is never answered.
const ANSWERED_WINDOW: u64 = 30_000;
/// Answered requests remembered; some 50 KB.
const ANSWERED_MAX: usize = 2_048;
/// Requests lost within so long before the upstream was found dead count as in flight at its death, in ms.
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
    /// The heartbeat that tells of the present start, while it takes work: what a next process may go by.
    kept: watch::Sender<Option<Heartbeat>>,
    present: ArcSwapOption<Present>,
    health: Mutex<Option<Health>>,
    running: Mutex<Running>,
    runs: AtomicU64,
    /// Asks for a poll at once.
    poll: Arc<Notify>,
    /// When an answer last counted as a sign of life, in ms.
    served: AtomicU64,
}

/// An announced upstream.
#[derive(Debug)]
pub struct Present {
    /// What it serves.
    pub service: Name,
    /// Requests that it handles at once.
    pub slots: u16,
    /// Which start of it, if it tells.
    pub instance: Option<Arc<str>>,
    /// Connections to it.
    pub pool: Arc<Pool>,
}

/// Requests in flight, those whose connection broke lately, and those that were answered lately.
#[derive(Debug, Default)]
struct Running {
    prints: HashMap<u64, Fingerprint>,
    lost: Vec<(Ms, Fingerprint)>,
    answered: HashMap<Fingerprint, Ms>,
}

/// One request in flight at the upstream; dropping it says that it ended in peace.
#[derive(Debug)]
pub struct Run {
    upstream: Upstream,
    number: u64,
    print: Fingerprint,
}

/// An announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// What the upstream serves.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests that it handles at once.
    pub slots: u16,
    /// Its phase.
    pub phase: Phase,
}

/// An announcement of one start of the upstream, repeated for as long as it lives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Which start of the upstream.
    pub start: Start,
    /// Grows with each heartbeat of one instance.
    pub sequence: u64,
    /// What it announces.
    pub announcement: Announcement,
}

/// Whether the upstream is asked for its health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Polling {
    /// Every second.
    #[default]
    Steady,
    /// Never: its heartbeats and answers tell. After a broken connection one is opened, to see a crash.
    Never,
}

/// What `GET /health` of an upstream answers.
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
    /// What it says beyond its place in the sequence.
    pub fn said(&self) -> (&Start, &Announcement) {
        (&self.start, &self.announcement)
    }
}

impl Upstream {
    /// No upstream yet. Must be called inside a tokio runtime; polling ends when `control` does.
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
            kept: watch::Sender::new(None),
            present: ArcSwapOption::empty(),
            health: Mutex::default(),
            running: Mutex::default(),
            runs: AtomicU64::new(0),
            poll: Arc::default(),
            served: AtomicU64::new(0),
        }));
        tokio::spawn(poll(Arc::downgrade(&upstream.0), upstream.0.poll.clone()));
        upstream
    }

    /// The upstream announced itself, anew or again.
    pub fn announce(&self, it: Announcement) -> Result<(), Closed> {
        self.take(it, None)
    }

    /// The upstream says that it lives. Late heartbeats of a process that was replaced are ignored.
    pub fn heartbeat(&self, it: Heartbeat) -> Result<(), Closed> {
        let now = self.0.clock.now();
        let verdict = lock(&self.0.instances).heartbeat(now, &it.start, it.sequence);
        match verdict {
            Verdict::Stale => return Ok(()),
            Verdict::Present => {}
            // The phase of the one before must not bind its successor: what drains never gets ready again.
            Verdict::Successor => {
                let pairs = [
                    ("id", it.start.id.to_string()),
                    ("born", it.start.born.to_string()),
                ];
                logs::event("upstream-instance", &pairs);
                self.withdraw()?;
            }
        }
        self.keep(&it);
        self.take(it.announcement, Some(it.start.id))
    }

    /// Takes up what an earlier process heard, unless the upstream was heard of since.
    pub fn recall(&self, it: Heartbeat) -> Result<(), Closed> {
        if self.present().is_some() {
            return Ok(());
        }
        logs::event("upstream-recalled", &[("id", it.start.id.to_string())]);
        self.heartbeat(it)
    }

    /// What a next process may go by, and when it changes.
    pub fn kept(&self) -> watch::Receiver<Option<Heartbeat>> {
        self.0.kept.subscribe()
    }

    fn keep(&self, it: &Heartbeat) {
        let ready = it.announcement.phase == Phase::Ready;
        self.0.kept.send_if_modified(|kept| {
            let same = kept.as_ref().map(Heartbeat::said) == Some(it.said());
            if same || (kept.is_none() && !ready) {
                return false;
            }
            *kept = ready.then(|| it.clone());
            true
        });
    }

    /// This start takes its announcement back; requests in progress keep their connections.
    pub fn leave(&self, start: &Start) -> Result<(), Closed> {
        match lock(&self.0.instances).leave(start) {
            Verdict::Present => self.withdraw(),
            Verdict::Successor | Verdict::Stale => Ok(()),
        }
    }

    /// The address answers for another instance: nothing goes there until that one announces itself.
    pub fn replaced(&self) {
        logs::event("upstream", &[("state", "replaced".to_owned())]);
        // A closed control thread needs no news.
        let _ = self.withdraw();
    }

    fn take(&self, it: Announcement, instance: Option<Arc<str>>) -> Result<(), Closed> {
        let shared = &self.0;
        let now = shared.clock.now();
        let same = shared.present.load().as_ref().is_some_and(|present| {
            present.pool.address() == it.address
                && present.service == it.service
                && present.instance == instance
        });
        let event = match same {
            true => self.observe_quietly(now, Sign::Report(it.phase)),
            false => {
                *lock(&shared.health) = Some(Health::new(now, it.phase));
                Some(event_of(it.phase))
            }
        };
        let pool = match shared.present.load().as_ref() {
            Some(present) if same => present.pool.clone(),
            _ => Arc::new(Pool::new(it.address, shared.settings.clone())),
        };
        let present = Present {
            service: it.service.clone(),
            slots: it.slots,
            instance,
            pool,
        };
        shared.present.store(Some(Arc::new(present)));
        let announced = UpstreamEvent::Announced {
            service: it.service,
            slots: it.slots,
        };
        shared.control.tell(Event::Upstream(announced))?;
        match event {
            Some(event) => shared.control.tell(Event::Upstream(event)),
            None => Ok(()),
        }
    }

    /// The upstream takes its announcement back. Requests in progress keep their connections.
    pub fn withdraw(&self) -> Result<(), Closed> {
        self.0.present.store(None);
        *lock(&self.0.health) = None;
        self.0.kept.send_if_modified(|kept| kept.take().is_some());
        self.0.control.tell(Event::Upstream(UpstreamEvent::Gone))
    }

    /// The announced upstream, if any.
    pub fn present(&self) -> Option<Arc<Present>> {
        self.0.present.load_full()
    }

    /// Counts a request as in flight until the run is dropped or lost.
    pub fn begin(&self, print: Fingerprint) -> Run {
        let number = self.0.runs.fetch_add(1, Ordering::Relaxed);
        lock(&self.0.running).prints.insert(number, print);
        Run {
            upstream: self.clone(),
            number,
            print,
        }
    }

    /// Requests in flight.
    pub fn running(&self) -> usize {
        lock(&self.0.running).prints.len()
    }

    /// Takes a sign of the upstream's health.
    pub fn observe(&self, sign: Sign) {
        let now = self.0.clock.now();
        let Some(event) = self.observe_quietly(now, sign) else {
            return;
        };
        let pairs = [
            ("sign", format!("{sign:?}").to_lowercase()),
            ("became", format!("{event:?}").to_lowercase()),
        ];
        logs::event("upstream", &pairs);
        if event == UpstreamEvent::Gone {
            self.0.present.store(None);
            *lock(&self.0.health) = None;
        }
        // A closed control thread needs no news.
        let _ = self.0.control.tell(Event::Upstream(event));
    }

    /// An answer arrived.
    pub fn served(&self) {
        let now = self.0.clock.now();
        let last = Ms(self.0.served.load(Ordering::Relaxed));
        if now.since(last) >= SERVED_INTERVAL {
            self.0.served.store(now.0, Ordering::Relaxed);
            self.observe(Sign::Served);
        }
    }

    /// Whether the upstream tells its health over a new connection right now.
    pub async fn probe(&self) -> bool {
        let Some(present) = self.present() else {
            return false;
        };
        if self.0.polling == Polling::Never {
            return present.pool.open_aside().await.is_ok();
        }
        let asked = timeout(PROBE_TIMEOUT, report(&present.pool)).await;
        matches!(asked, Ok(Polled::Report(_)))
    }

    /// The request was answered whole: its like is not what crashes the upstream.
    pub fn answered(&self, print: Fingerprint) {
        let now = self.0.clock.now();
        let mut running = lock(&self.0.running);
        if running.answered.len() >= ANSWERED_MAX {
            running
                .answered
                .retain(|_, at| now.since(*at) <= ANSWERED_WINDOW / 2);
        }
        if running.answered.len() < ANSWERED_MAX {
            running.answered.insert(print, now);
        }
    }

    /// Has the upstream looked at at once, such as after a broken connection.
    pub fn suspect(&self) {
        self.0.poll.notify_one();
    }

    /// Tells the guard without waiting for its reply.
    pub fn tell(&self, call: guard::Call) {
        let control = self.0.control.clone();
        tokio::spawn(async move {
            // A closed control thread has nobody left to warn.
            let _ = control.call(Call::Guard(call)).await;
        });
    }

    fn observe_quietly(&self, now: Ms, sign: Sign) -> Option<UpstreamEvent> {
        lock(&self.0.health).as_mut()?.observe(now, sign)
    }

    /// Nothing listens any more: what was in flight is under suspicion of having crashed the upstream.
    fn crashed(&self) {
        let now = self.0.clock.now();
        let mut running = lock(&self.0.running);
        let lost = std::mem::take(&mut running.lost);
        let mut prints: Vec<Fingerprint> = lost
            .into_iter()
            .filter(|(at, _)| now.since(*at) <= CRASH_WINDOW)
            .map(|(_, print)| print)
            .collect();
        prints.extend(running.prints.values());
        // Reads of the same thing are one request to the guard. Were those under suspicion that were answered a
        // moment ago, a crash of several upstreams at once would have the most popular ones run one at a time,
        // or not at all, on the whole fleet.
        let answered = |it: &Fingerprint| running.answered.get(it).copied();
        prints.retain(|it| answered(it).is_none_or(|at| now.since(at) > ANSWERED_WINDOW));
        drop(running);
        prints.sort_unstable();
        prints.dedup();
        if let Some(present) = self.present() {
            present.pool.purge();
        }
        if prints.is_empty() {
            return;
        }
        logs::event(
            "upstream-crashed",
            &[("suspects", prints.len().to_string())],
        );
        self.tell(guard::Call::Crashed { prints });
    }

    async fn poll(&self, present: &Present) {
        if self.0.polling == Polling::Never {
            if let Err(Unavailable::Refused) = present.pool.open_aside().await {
                self.observe(Sign::Refused);
                self.crashed();
            }
            return;
        }
        let asked = timeout(POLL_TIMEOUT, report(&present.pool)).await;
        match asked {
            Ok(Polled::Report(report)) => self.reported(present, &report),
            Ok(Polled::Refused) => {
                self.observe(Sign::Refused);
                self.crashed();
            }
            Ok(Polled::Unclear) => self.observe(Sign::Unclear),
            Ok(Polled::Late) | Err(_) => self.observe(Sign::Late),
        }
    }

    fn reported(&self, present: &Present, report: &Report) {
        if let Some(slots) = report.slots.filter(|it| *it != present.slots && *it > 0) {
            let next = Present {
                service: present.service.clone(),
                slots,
                instance: present.instance.clone(),
                pool: present.pool.clone(),
            };
            self.0.present.store(Some(Arc::new(next)));
            let announced = UpstreamEvent::Announced {
                service: present.service.clone(),
                slots,
            };
            let _ = self.0.control.tell(Event::Upstream(announced));
        }
        self.observe(Sign::Report(match report.phase {
            ReportedPhase::Warming => Phase::Warming,
            ReportedPhase::Ready => Phase::Ready,
            ReportedPhase::Draining => Phase::Draining,
        }));
    }
}

impl Run {
    /// The request's fingerprint.
    pub fn print(&self) -> Fingerprint {
        self.print
    }

    /// Its connection broke: if the upstream is found dead, the request is a suspect.
    pub fn lost(self) {
        let now = self.upstream.0.clock.now();
        let mut running = lock(&self.upstream.0.running);
        running
            .lost
            .retain(|(at, _)| now.since(*at) <= CRASH_WINDOW);
        running.lost.push((now, self.print));
        drop(running);
        if self.upstream.0.polling == Polling::Steady {
            self.upstream.observe(Sign::Lost);
        }
        self.upstream.suspect();
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        lock(&self.upstream.0.running).prints.remove(&self.number);
    }
}

/// What a question for the upstream's health met.
enum Polled {
    Report(Report),
    Refused,
    Unclear,
    Late,
}

async fn poll(shared: Weak<Shared>, asked: Arc<Notify>) {
    let mut ticks = interval(POLL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let Some(upstream) = shared.upgrade().map(Upstream) else {
            return;
        };
        if let Some(present) = upstream.present() {
            upstream.poll(&present).await;
        }
        let polling = upstream.0.polling;
        drop(upstream);
        tokio::select! {
            _ = ticks.tick(), if polling == Polling::Steady => {}
            () = asked.notified() => {}
        }
    }
}

/// Asks over a connection of its own: one of the pool may be the very one that went silent.
async fn report(pool: &Arc<Pool>) -> Polled {
    let deadline = Instant::now() + POLL_TIMEOUT;
    let mut lease = match pool.open_aside().await {
        Ok(lease) => lease,
        Err(Unavailable::Refused) => return Polled::Refused,
        Err(Unavailable::Late) => return Polled::Late,
    };
    let request = Request::get("/health")
        .header(header::HOST, pool.address().to_string())
        .body(Body::empty());
    let Ok(request) = request else {
        return Polled::Unclear;
    };
    let Sent::Answered(answer) = lease.send(request).await else {
        return Polled::Late;
    };
    if answer.status() != StatusCode::OK {
        return Polled::Unclear;
    }
    let Ok(bytes) = body::collect(answer.into_body(), REPORT_MAX, deadline).await else {
        return Polled::Unclear;
    };
    match serde_json::from_slice(&bytes) {
        Ok(report) => Polled::Report(report),
        Err(_) => Polled::Unclear,
    }
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

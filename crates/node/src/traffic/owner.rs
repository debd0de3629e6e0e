//! Owner side: admits requests to the upstream beside this node and reports their outcome.

use std::{
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use axum::body::Body;
use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri, header,
};
use http_body::Body as _;
use laburnum_kernel::{
    Ms, Name, View,
    admission::{
        Finish,
        answers::AnswerRequest,
        kinds::Kind,
        ranks::{RankedRequest, WaitLimit, rank_of},
    },
    document::{Class, Repeat},
    guard::Fingerprint,
    health::Observation,
    members::Phase,
    refusal::{Reason, Refusal},
    retry::{Deadline, Tree},
    routing,
    settings::Origin,
    standing::{Report, Standing},
    view::ServiceView,
};
use tokio::time::{Instant, timeout, timeout_at};

use crate::upstream::ActiveUpstream;

use super::{
    Traffic,
    answer::{Answer, RunningRequest, Suspect, deadline_missed},
    answer_link::Promised,
    body::{self, BodyFault, Bounded, End, ReclaimableBody},
    denial::Denial,
    dialect::Dialect,
    gate::{GateStatus, Slot, SlotRequest, UpstreamState},
    headers::{
        self, ATTEMPT, BUDGET, DEADLINE, GOAL, KIND, LINK, LOAD, NEVER, OUTLOOK, PRIORITY, QUEUE,
        REPEAT, REQUEST, SERVICE, SHORT, STANDING,
    },
    link_budget::{self, Reservation},
    pool::{Lease, Sent, Unavailable, Usage},
    report,
    services::Feedback,
};

/// Largest body that is read whole before the request is processed, in bytes.
const WHOLE_MAX: u64 = 64 * 1024;
/// Maximum number of connections tried for one request; another is tried only if the last one was closed before
/// a byte was written, or was abandoned.
const CONNECTIONS_MAX: usize = 4;
/// Retry delay for an upstream that drains, in ms: long enough for its new phase to reach the entries.
pub(super) const DRAINING_MS: u64 = 2_000;
/// Retry delay while another suspect request runs, in ms: about as long as one request takes.
const SUSPECT_MS: u64 = 200;
/// Retry delay for an upstream that is not ready, in ms.
const NOT_READY_MS: u64 = 200;

/// Parameters of a request that the entry sends in header fields.
struct EntryParams {
    service: Name,
    deadline: Deadline,
    tree: Tree,
    /// Priority and latency goal, if the route sets them.
    ranked: Option<RankedRequest>,
    repeat: Repeat,
}

/// Conditions under which a request runs here.
struct Terms {
    class: Class,
    repeat: Repeat,
    deadline: Deadline,
}

/// A request that is ready to be sent to the upstream.
pub(super) struct Job {
    pub(super) upstream: Arc<ActiveUpstream>,
    pub(super) class: Class,
    /// Priority and latency goal; the lowest priority and the deadline if the route sets none.
    pub(super) ranked: RankedRequest,
    pub(super) repeat: Repeat,
    pub(super) deadline: Deadline,
    /// Maximum length of the answer's body, in bytes.
    pub(super) limit: u64,
    pub(super) fingerprint: Fingerprint,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) payload: Payload,
    /// Bandwidth of the link for the answer, if the route sets a priority.
    pub(super) promised: Option<Promised>,
}

/// Body of the request.
pub(super) enum Payload {
    /// Read whole.
    Whole(Bytes),
    /// Still arriving; the flag is set if it breaks.
    Streamed(ReclaimableBody, Arc<AtomicBool>),
}

/// Time window in which a job may run at the upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Window {
    /// After this time the job is no longer started.
    pub(super) start: Ms,
    /// Time until which its answer is awaited.
    pub(super) end: Instant,
}

/// Counts a request or settlement as in progress until dropped.
pub(super) struct OwnedGuard(Traffic);

impl Drop for OwnedGuard {
    fn drop(&mut self) {
        self.0.0.owned.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Traffic {
    /// Forwards one request from an entry to the upstream beside this node.
    pub(super) async fn handle_forwarded(&self, request: Request<Body>) -> Response<Body> {
        let number = request.headers().get(REQUEST).cloned();
        let id = self.0.dialect.id(request.headers());
        let remembered = request.headers().contains_key(STANDING);
        let started = self.now();
        let owned = self.count_owned();
        let result = self.serve(request, &owned).await;
        let mut response = match result {
            Ok(response) => response,
            Err(denial) => {
                let response = denial.response();
                self.log_unserved(id, started, &response);
                response
            }
        };
        let headers = response.headers_mut();
        let GateStatus { feedback, report } = self.0.gate.status();
        match feedback {
            Feedback::Load(load) => headers::insert_text(headers, LOAD, &load.to_string()),
            Feedback::Outlook(it) => {
                headers::insert_text(headers, OUTLOOK, &it.to_string());
                let link = self.0.answers.outlook();
                if link.rate > 0 {
                    headers::insert_text(headers, LINK, &link.to_string());
                }
            }
            Feedback::Nothing => {}
        }
        // An entry that remembers a limit is also told that there is none any more.
        if let Some(report) = report.filter(|it| remembered || it.standing != Standing::default()) {
            headers::insert_text(headers, STANDING, &report.to_string());
        }
        if let Some(number) = number {
            headers.insert(REQUEST, number);
        }
        response
    }

    /// Logs a request that was not served here.
    fn log_unserved(&self, id: Option<HeaderValue>, started: Ms, response: &Response<Body>) {
        if self.0.origin == Origin::Submitted {
            return;
        }
        let now = self.now();
        let gauges = self.0.gate.gauges();
        let active = self.0.upstream.active();
        let instance = active.as_ref().and_then(|it| it.instance.as_deref());
        let unserved = report::UnservedRequest {
            id: id.as_ref(),
            instance: instance.unwrap_or_default(),
            load: [gauges.running, gauges.waiting, gauges.limit],
            limit: self.0.gate.standing().limit,
            link: self.0.answers.pending_ms(),
            took: now.since(started),
            status: response.status(),
            headers: response.headers(),
        };
        self.0.request_log.log_unserved(now, &unserved);
    }

    /// Updates the admission gate from `view`.
    pub(super) fn update_gate(&self, view: &View) {
        let Some(own) = &view.own else {
            return self.0.gate.update(UpstreamState {
                phase: Phase::Gone,
                slots: 1,
                queue: 0,
                start: None,
            });
        };
        let queue = view.services.get(&own.service);
        let active = self.0.upstream.active();
        let leaving = active.as_ref().filter(|it| it.is_leaving());
        let phase = match self.draining() || leaving.is_some() {
            true => Phase::Draining,
            false => own.phase,
        };
        self.0.gate.update(UpstreamState {
            phase,
            slots: own.slots,
            queue: queue.map_or(0, |it| it.document.limits.queue as usize),
            start: active.as_ref().and_then(|it| it.start),
        });
        // Entries are told with each answer, and tell it to the next process of this node.
        if let Some(start) = leaving.and_then(|it| it.start) {
            self.0.gate.adopt(Report {
                start,
                standing: Standing {
                    limit: None,
                    leaving: true,
                },
            });
        }
    }

    pub(super) fn count_owned(&self) -> OwnedGuard {
        self.0.owned.fetch_add(1, Ordering::SeqCst);
        OwnedGuard(self.clone())
    }

    async fn serve(
        &self,
        request: Request<Body>,
        _owned: &OwnedGuard,
    ) -> Result<Response<Body>, Denial> {
        if self.draining() {
            return Err(Denial::Refused(Refusal::after(
                Reason::Draining,
                DRAINING_MS,
            )));
        }
        let mut job = self.build_job(request).await?;
        match (job.repeat, self.0.origin) {
            (Repeat::Never, Origin::Submitted) => self.run_once(job).await,
            // Callers of imported routes give each attempt a new id, and the system never resends a request
            // that may have run, so a claim would only add two writes.
            (Repeat::Idempotent, _) | (Repeat::Never, Origin::Imported) => {
                let promised = job.promised.take();
                let slot = self.admit(&job).await?;
                let window = Window {
                    start: job.deadline.at(),
                    end: self.instant(job.deadline),
                };
                let response = match self.exchange(job, slot, window).await? {
                    Answer::Whole(parts, bytes) => Response::from_parts(parts, Body::from(bytes)),
                    Answer::Streamed(response) => response,
                };
                Ok(match promised {
                    Some(it) => it.attach(response),
                    None => response,
                })
            }
        }
    }

    async fn build_job(&self, request: Request<Body>) -> Result<Job, Denial> {
        let (parts, incoming) = request.into_parts();
        let params = self.parse_entry_params(&parts.headers)?;
        let view = self.view();
        self.update_gate(&view);
        // Just after its start a node may hold an older configuration than the one its callers have already
        // seen in force.
        if !view.ready {
            return Err(not_ready());
        }
        let upstream = self.0.upstream.active().ok_or_else(not_ready)?;
        let found = view.services.get(&params.service);
        let (Some(found), true) = (found, upstream.service == params.service) else {
            return Err(not_ready());
        };
        let terms = match self.0.origin {
            Origin::Submitted => self.document_terms(&params, found, &parts)?,
            Origin::Imported => Terms {
                class: routing::class_of(params.ranked.map_or(u8::MAX, |it| it.priority)),
                repeat: params.repeat,
                deadline: params.deadline,
            },
        };
        self.adopt_remembered(&upstream, &parts.headers)?;
        let Terms {
            class,
            repeat,
            deadline,
        } = terms;
        let limit = found.document.limits.body;
        let claimed = match self.0.origin {
            Origin::Submitted => repeat,
            Origin::Imported => Repeat::Idempotent,
        };
        // Before the body is read, which a refused request would send for nothing.
        let promised = self.promise_answer(params.ranked)?;
        let reserved = self.reserve_link(&incoming, params.ranked)?;
        let payload = read_body(incoming, claimed, limit, self.instant(deadline), reserved).await?;
        let mut headers = parts.headers;
        let path = parts.uri.path_and_query().map_or("/", |it| it.as_str());
        // Neither the caller nor the idempotency key is part of the fingerprint: a retry under a new key would
        // crash the upstream just the same.
        let fingerprint = Fingerprint::of(
            &params.service,
            parts.method.as_str(),
            path,
            "",
            &payload.digest(),
        );
        if view.quarantined.is_held(fingerprint) {
            return Err(Denial::Refused(Refusal::new(Reason::Quarantined)));
        }
        let uri = path.parse().unwrap_or_default();
        let host = parts.uri.authority().map_or("", |it| it.as_str());
        headers::strip_hop(&mut headers);
        headers::strip_internal(&mut headers);
        headers::insert_text(&mut headers, header::HOST, host);
        match &self.0.dialect {
            Dialect::Own => headers::insert_text(&mut headers, BUDGET, &params.tree.to_string()),
            Dialect::Foreign(fields) => {
                if let Some(instance) = &upstream.instance {
                    headers::insert_text(&mut headers, fields.expected.clone(), instance);
                }
            }
        }
        Ok(Job {
            upstream,
            class,
            ranked: params.ranked.unwrap_or(RankedRequest {
                priority: u8::MAX,
                goal: deadline.at(),
                deadline: deadline.at(),
                queue: WaitLimit::Full,
                kind: Kind::default(),
            }),
            repeat,
            deadline,
            limit,
            fingerprint,
            method: parts.method,
            uri,
            headers,
            payload,
            promised,
        })
    }

    /// Promises bandwidth of the link for the answer, if its expected size is large.
    fn promise_answer(&self, ranked: Option<RankedRequest>) -> Result<Option<Promised>, Denial> {
        let Some(ranked) = ranked else {
            return Ok(None);
        };
        // The time to run only matters to large answers, and looks at all waiting requests.
        let run = match self.0.answers.is_large(ranked.kind) {
            true => self.0.gate.expected_run(ranked),
            false => 0,
        };
        let request = AnswerRequest {
            kind: ranked.kind,
            run,
            goal: ranked.goal,
            deadline: ranked.deadline,
        };
        let promised = self.0.answers.promise(request);
        promised.map(Some).map_err(Denial::Refused)
    }

    /// Reserves bandwidth of the link for a large body, so that no body is read for a request that would be
    /// rejected afterwards.
    fn reserve_link(
        &self,
        body: &Body,
        ranked: Option<RankedRequest>,
    ) -> Result<Option<Reservation>, Denial> {
        let Some(ranked) = ranked.filter(|_| link_budget::is_large(body)) else {
            return Ok(None);
        };
        self.0.gate.check(ranked).map_err(Denial::Refused)?;
        let now = self.now();
        let run = match self.0.gate.feedback() {
            Feedback::Outlook(it) => u64::from(it.service[rank_of(ranked.priority)]),
            Feedback::Load(_) | Feedback::Nothing => 0,
        };
        let timely = ranked.goal.since(now).saturating_sub(run);
        let longest = match timely {
            0 => ranked.deadline.since(now).saturating_sub(run),
            it => it,
        };
        let reserved = self.0.link.reserve(body, longest);
        reserved.map(Some).map_err(Denial::Refused)
    }

    /// Combines the limits of the service's document with the parameters from the entry.
    fn document_terms(
        &self,
        params: &EntryParams,
        found: &ServiceView,
        parts: &http::request::Parts,
    ) -> Result<Terms, Denial> {
        let document = &found.document;
        let Some(route) = document.route(parts.method.as_str(), parts.uri.path()) else {
            // The entry's document is of another version; another owner may have the same one.
            return Err(not_ready());
        };
        Ok(Terms {
            class: route.class,
            // While an update is being distributed the two nodes may hold different documents: the stricter one
            // applies.
            repeat: match (params.repeat, route.repeat) {
                (Repeat::Idempotent, Repeat::Idempotent) => Repeat::Idempotent,
                _ => Repeat::Never,
            },
            deadline: params
                .deadline
                .min(Deadline::after(self.now(), route.deadline)),
        })
    }

    fn parse_entry_params(&self, headers: &HeaderMap) -> Result<EntryParams, Denial> {
        let text = |name: HeaderName| headers.get(&name).and_then(|it| it.to_str().ok());
        let service = text(SERVICE).and_then(|it| it.parse().ok());
        let tree = text(BUDGET).and_then(|it| it.parse().ok());
        let left = headers::number(headers, &DEADLINE).ok().flatten();
        let attempt = headers::number(headers, &ATTEMPT).ok().flatten();
        let priority = headers::number(headers, &PRIORITY).ok().flatten();
        let goal = headers::number(headers, &GOAL).ok().flatten();
        let kind = headers::number(headers, &KIND).ok().flatten();
        let now = self.now();
        match (service, tree, left, attempt) {
            (Some(service), Some(tree), Some(left), Some(_)) => Ok(EntryParams {
                service,
                deadline: Deadline::after(now, left),
                tree,
                ranked: priority.zip(goal).map(|(priority, goal)| RankedRequest {
                    priority: u8::try_from(priority).unwrap_or(u8::MAX),
                    goal: now + goal,
                    deadline: now + left,
                    queue: match headers.get(QUEUE) {
                        Some(it) if *it == SHORT => WaitLimit::Short,
                        _ => WaitLimit::Full,
                    },
                    kind: Kind(
                        kind.and_then(|it| u32::try_from(it).ok())
                            .unwrap_or_default(),
                    ),
                }),
                repeat: match headers.get(REPEAT) {
                    Some(it) if *it == NEVER => Repeat::Never,
                    _ => Repeat::Idempotent,
                },
            }),
            _ => {
                let why = "this port only serves other nodes; send requests to the caller port of any node";
                Err(Denial::bad(StatusCode::BAD_REQUEST, "not-a-node", why))
            }
        }
    }

    /// Waits for a slot of the upstream.
    pub(super) async fn admit(&self, job: &Job) -> Result<Slot, Denial> {
        let request = SlotRequest {
            class: job.class,
            ranked: job.ranked,
        };
        self.0.gate.acquire(request).await.map_err(Denial::Refused)
    }

    /// Sends the job to the upstream and returns its answer, within `window`.
    pub(super) async fn exchange(
        &self,
        job: Job,
        slot: Slot,
        window: Window,
    ) -> Result<Answer, Denial> {
        let mut abandoned = 0;
        let result = self
            .try_connections(job, slot, window, &mut abandoned)
            .await;
        match abandoned {
            0 => result,
            // The upstream may still run the request that was sent on an abandoned connection.
            _ => result.map_err(Denial::after_unknown_attempt),
        }
    }

    /// As [`Traffic::exchange`]; counts in `abandoned` the connections on which the job was sent and abandoned.
    async fn try_connections(
        &self,
        job: Job,
        slot: Slot,
        window: Window,
        abandoned: &mut usize,
    ) -> Result<Answer, Denial> {
        let limit = window.end;
        let suspect = self.suspect_permit(&job, limit).await?;
        let pool = job.upstream.pool.clone();
        let mut run = RunningRequest {
            tracked: None,
            started: self.now(),
            run: self.0.upstream.begin(job.fingerprint),
            slot,
            suspect,
        };
        let mut request = self.upstream_request(&job, job.payload.body());
        let identity = self.0.dialect.identity(&job.headers);
        let mut leased = pool.lease(identity, limit).await;
        for _ in 0..CONNECTIONS_MAX {
            let mut lease = match leased {
                Ok(lease) => lease,
                Err(fault) => return Err(self.no_connection(run.slot, fault)),
            };
            // The upstream may have left during the waits above, and another one may follow it at this host.
            if !self.0.upstream.takes_requests(&job.upstream) {
                lease.return_unused();
                run.slot.finish(Finish::Unsent);
                return Err(left(&job.upstream));
            }
            // The claim may have expired during the waits above, and a second attempt may hold it by now.
            if self.now() >= window.start {
                lease.return_unused();
                run.slot.finish(Finish::Unsent);
                return Err(expired(&job));
            }
            self.0.counts.count_sent();
            run.tracked.get_or_insert_with(|| {
                let id = self.0.dialect.id(&job.headers);
                self.0.calls.begin(id.as_ref(), job.ranked)
            });
            match self.await_answer(&job, &mut lease, request, limit).await {
                Sent::Answered(answer) => {
                    return self.receive_answer(&job, run, lease, answer, limit).await;
                }
                Sent::Unsent(unsent) => request = unsent,
                Sent::Broken(fault) => return Err(self.answer_broken(run, fault)),
                Sent::Lost => return Err(self.connection_lost(&job.payload, run)),
                Sent::Silent if Instant::now() >= limit => return Err(deadline_missed(run.slot)),
                Sent::Silent => {
                    lease.abandon();
                    *abandoned += 1;
                    request = self.upstream_request(&job, job.payload.body());
                }
            }
            leased = pool.lease_fresh(identity, limit).await;
        }
        run.slot.finish(Finish::Failed);
        Err(not_ready())
    }

    /// Obtains the permit to run if the request is suspected of a crash. Suspects run one at a time, so that a
    /// second crash identifies the cause.
    async fn suspect_permit(&self, job: &Job, limit: Instant) -> Result<Option<Suspect>, Denial> {
        if !self.view().quarantined.is_suspect(job.fingerprint) {
            return Ok(None);
        }
        let suspects = self.0.suspects.clone();
        if self.0.origin == Origin::Imported {
            // Rejected at once, so that the entry can retry elsewhere before the deadline.
            return match suspects.try_acquire_owned() {
                Ok(permit) => Ok(Some(Suspect {
                    fingerprint: job.fingerprint,
                    _permit: permit,
                })),
                Err(_) => {
                    let refusal = Refusal::after(Reason::Overloaded, SUSPECT_MS);
                    Err(Denial::Refused(refusal))
                }
            };
        }
        let permit = suspects.acquire_owned();
        match timeout_at(limit, permit).await {
            Ok(Ok(permit)) => Ok(Some(Suspect {
                fingerprint: job.fingerprint,
                _permit: permit,
            })),
            _ => Err(Denial::Refused(Refusal::new(Reason::Expired))),
        }
    }

    /// Waits for the header of the answer; returns [`Sent::Silent`] at `limit`, or earlier if the connection is to
    /// be abandoned.
    ///
    /// A connection is only abandoned if it was reused, the request is idempotent and buffered, and the
    /// upstream answers a probe on a new connection, so that a slow upstream keeps its work. With an imported
    /// configuration none is abandoned: the TCP user timeout detects dead connections, and a second run of a
    /// slow request would take a second slot.
    async fn await_answer(
        &self,
        job: &Job,
        lease: &mut Lease,
        request: Request<Body>,
        limit: Instant,
    ) -> Sent {
        let left = limit.saturating_duration_since(Instant::now());
        let may_abandon = self.0.origin == Origin::Submitted
            && lease.usage() == Usage::Reused
            && job.repeat == Repeat::Idempotent
            && matches!(job.payload, Payload::Whole(_));
        let silence = match may_abandon {
            true => job.upstream.pool.silence_limit(left).min(left),
            false => left,
        };
        let mut sending = pin!(lease.send(request));
        if let Ok(sent) = timeout(silence, &mut sending).await {
            return sent;
        }
        if silence < left {
            tokio::select! {
                biased;
                sent = &mut sending => return sent,
                alive = self.0.upstream.probe() => if alive {
                    return Sent::Silent;
                }
            }
        }
        timeout_at(limit, sending).await.unwrap_or(Sent::Silent)
    }

    fn no_connection(&self, slot: Slot, fault: Unavailable) -> Denial {
        match fault {
            Unavailable::Refused => {
                slot.finish(Finish::Unsent);
                self.0.upstream.observe(Observation::Refused);
                self.0.upstream.request_poll();
                not_ready()
            }
            Unavailable::Late => {
                slot.finish(Finish::Overloaded);
                Denial::Refused(Refusal::after(Reason::Overloaded, NOT_READY_MS))
            }
        }
    }

    fn upstream_request(&self, job: &Job, body: Body) -> Request<Body> {
        let mut request = Request::new(body);
        *request.method_mut() = job.method.clone();
        *request.uri_mut() = job.uri.clone();
        *request.headers_mut() = job.headers.clone();
        let left = job.deadline.left(self.now());
        request
            .headers_mut()
            .insert(self.0.dialect.deadline(), left.into());
        request
    }
}

impl Payload {
    /// Returns the BLAKE3 hash of a buffered body; a streamed body counts as empty.
    fn digest(&self) -> [u8; 32] {
        match self {
            Payload::Whole(bytes) => *blake3::hash(bytes).as_bytes(),
            Payload::Streamed(..) => *blake3::hash(&[]).as_bytes(),
        }
    }

    /// Returns the body to send. A streamed body can be sent only once.
    fn body(&self) -> Body {
        match self {
            Payload::Whole(bytes) => Body::from(bytes.clone()),
            Payload::Streamed(body, _) => Body::new(body.clone()),
        }
    }
}

/// Reads the body whole if it is short or the request runs at most once; otherwise returns it as a stream.
///
/// A request that runs at most once is claimed only when its whole body is here: a caller that disconnects in
/// the middle of the body would otherwise use up its key although nothing ran.
async fn read_body(
    incoming: Body,
    repeat: Repeat,
    limit: u64,
    deadline: Instant,
    reserved: Option<Reservation>,
) -> Result<Payload, Denial> {
    let hint = incoming.size_hint();
    let short = hint.upper().is_some_and(|it| it <= WHOLE_MAX);
    if short || repeat == Repeat::Never {
        let bytes = body::collect(incoming, limit, deadline).await;
        return bytes.map(Payload::Whole).map_err(Denial::from_body_fault);
    }
    if hint.lower() > limit {
        return Err(Denial::from_body_fault(BodyFault::TooLong));
    }
    let broken = Arc::new(AtomicBool::new(false));
    let broken_flag = broken.clone();
    let body = Bounded::new(incoming, limit, deadline, move |end| {
        let is_whole = matches!(end, End::Whole(_));
        broken_flag.store(!is_whole, Ordering::SeqCst);
        drop(reserved);
    });
    Ok(Payload::Streamed(
        ReclaimableBody::new(Body::new(body)),
        broken,
    ))
}

/// Returns the denial for a job whose start time passed before any byte of it was sent.
fn expired(job: &Job) -> Denial {
    let reason = match job.repeat {
        Repeat::Never => Reason::NoClaim,
        Repeat::Idempotent => Reason::Expired,
    };
    Denial::Refused(Refusal::new(reason))
}

/// Returns the denial for a job whose upstream left or was replaced before any byte of it was sent.
fn left(upstream: &ActiveUpstream) -> Denial {
    match upstream.is_leaving() {
        true => Denial::Refused(Refusal::after(Reason::Draining, DRAINING_MS)),
        false => not_ready(),
    }
}

fn not_ready() -> Denial {
    Denial::Refused(Refusal::after(Reason::NotReady, NOT_READY_MS))
}

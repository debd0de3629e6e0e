//! The owner: admits requests to the upstream beside this node and says what became of them.

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
        kinds::Kind,
        ranks::{Order, Queue, rank_of},
    },
    document::{Class, Repeat},
    guard::Fingerprint,
    health::Sign,
    members::Phase,
    refusal::{Reason, Refusal},
    retry::{Deadline, Tree},
    routing,
    settings::Origin,
    view::ServiceView,
};
use tokio::time::{Instant, timeout, timeout_at};

use crate::upstream::Present;

use super::{
    Traffic,
    answer::{Answer, Running, Suspect, late},
    body::{self, BodyFault, Bounded, End, Intact},
    denial::Denial,
    dialect::Dialect,
    gate::{Ask, Slot, Standing},
    headers::{
        self, ATTEMPT, BUDGET, DEADLINE, GOAL, KIND, LOAD, NEVER, OUTLOOK, PRIORITY, QUEUE, REPEAT,
        REQUEST, SERVICE, SHORT,
    },
    pool::{Lease, Sent, Unavailable, Usage},
    report,
    room::{self, Room},
    services::Told,
};

/// Bodies of up to this many bytes are read whole before anything is done with them.
const WHOLE_MAX: u64 = 64 * 1024;
/// Connections tried for one request as long as none took a byte of it.
const CONNECTIONS_MAX: usize = 4;
/// When to come back to an upstream that drains, in ms: long enough for its new phase to spread.
const DRAINING_MS: u64 = 2_000;
/// When to come back while another request under suspicion runs, in ms: about as long as one runs.
const SUSPECT_MS: u64 = 200;
/// When to come back to an upstream that is not ready, in ms.
const NOT_READY_MS: u64 = 200;

/// What an entry says of a request.
struct Asked {
    service: Name,
    deadline: Deadline,
    tree: Tree,
    /// Rank under load and time until the answer is late, if the route gives them.
    order: Option<Order>,
    repeat: Repeat,
}

/// On what terms a request runs here.
struct Terms {
    class: Class,
    repeat: Repeat,
    deadline: Deadline,
}

/// A request on its way to the upstream.
pub(super) struct Job {
    pub(super) present: Arc<Present>,
    pub(super) class: Class,
    /// Rank under load and time until the answer is late; the last rank and the deadline if the route gives none.
    pub(super) order: Order,
    pub(super) repeat: Repeat,
    pub(super) deadline: Deadline,
    /// Longest body of the answer, in bytes.
    pub(super) limit: u64,
    pub(super) print: Fingerprint,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) payload: Payload,
}

/// The request's body.
pub(super) enum Payload {
    /// It is at hand.
    Whole(Bytes),
    /// It is arriving; the flag says that it broke on its way.
    Streamed(Intact, Arc<AtomicBool>),
}

/// When a job may be at the upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Window {
    /// From then on no first byte of it goes out.
    pub(super) start: Ms,
    /// Until then its answer is waited for.
    pub(super) end: Instant,
}

/// Counts a request as in progress.
pub(super) struct Owned(Traffic);

impl Drop for Owned {
    fn drop(&mut self) {
        self.0.0.owned.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Traffic {
    /// Carries one request from an entry to the upstream beside this node.
    pub(super) async fn own(&self, request: Request<Body>) -> Response<Body> {
        let number = request.headers().get(REQUEST).cloned();
        let id = self.0.dialect.id(request.headers());
        let started = self.now();
        let owned = self.owned_guard();
        let result = self.serve(request, &owned).await;
        let mut response = match result {
            Ok(response) => response,
            Err(denial) => {
                let response = denial.response();
                self.tell_owned(id, started, &response);
                response
            }
        };
        let headers = response.headers_mut();
        match self.0.gate.told() {
            Told::Load(load) => headers::insert_text(headers, LOAD, &load.to_string()),
            Told::Outlook(it) => headers::insert_text(headers, OUTLOOK, &it.to_string()),
            Told::Nothing => {}
        }
        if let Some(number) = number {
            headers.insert(REQUEST, number);
        }
        response
    }

    /// Logs a request that is not served here.
    fn tell_owned(&self, id: Option<HeaderValue>, started: Ms, response: &Response<Body>) {
        if self.0.origin == Origin::Submitted {
            return;
        }
        let now = self.now();
        let gauges = self.0.gate.gauges();
        let present = self.0.upstream.present();
        let instance = present.as_ref().and_then(|it| it.instance.as_deref());
        let owned = report::Owned {
            id: id.as_ref(),
            instance: instance.unwrap_or_default(),
            load: [gauges.running, gauges.waiting, gauges.limit],
            took: now.since(started),
            status: response.status(),
            headers: response.headers(),
        };
        self.0.reports.owned(now, &owned);
    }

    /// Brings the gate up to what `view` says of the upstream.
    pub(super) fn follow(&self, view: &View) {
        let Some(own) = &view.own else {
            return self.0.gate.follow(Standing {
                phase: Phase::Gone,
                slots: 1,
                queue: 0,
            });
        };
        let queue = view.services.get(&own.service);
        let phase = match self.draining() {
            true => Phase::Draining,
            false => own.phase,
        };
        self.0.gate.follow(Standing {
            phase,
            slots: own.slots,
            queue: queue.map_or(0, |it| it.document.limits.queue as usize),
        });
    }

    pub(super) fn owned_guard(&self) -> Owned {
        self.0.owned.fetch_add(1, Ordering::SeqCst);
        Owned(self.clone())
    }

    async fn serve(
        &self,
        request: Request<Body>,
        _owned: &Owned,
    ) -> Result<Response<Body>, Denial> {
        if self.draining() {
            return Err(Denial::Refused(Refusal::after(
                Reason::Draining,
                DRAINING_MS,
            )));
        }
        let job = self.job(request).await?;
        match (job.repeat, self.0.origin) {
            (Repeat::Never, Origin::Submitted) => self.run_once(job).await,
            // A caller of an imported route names each attempt anew, so only the system itself could run one
            // twice; it never sends again what may have run. A claim would add nothing but two writes.
            (Repeat::Idempotent, _) | (Repeat::Never, Origin::Imported) => {
                let slot = self.admit(&job).await?;
                let window = Window {
                    start: job.deadline.at(),
                    end: self.instant(job.deadline),
                };
                match self.exchange(job, slot, window).await? {
                    Answer::Whole(parts, bytes) => {
                        Ok(Response::from_parts(parts, Body::from(bytes)))
                    }
                    Answer::Streamed(response) => Ok(response),
                }
            }
        }
    }

    async fn job(&self, request: Request<Body>) -> Result<Job, Denial> {
        let (parts, incoming) = request.into_parts();
        let asked = self.asked(&parts.headers)?;
        let view = self.view();
        self.follow(&view);
        // A node that just started may hold an older configuration than its callers have seen in force.
        if !view.ready {
            return Err(not_ready());
        }
        let present = self.0.upstream.present().ok_or_else(not_ready)?;
        let found = view.services.get(&asked.service);
        let (Some(found), true) = (found, present.service == asked.service) else {
            return Err(not_ready());
        };
        let terms = match self.0.origin {
            Origin::Submitted => self.terms(&asked, found, &parts)?,
            Origin::Imported => Terms {
                class: routing::class_of(asked.order.map_or(u8::MAX, |it| it.priority)),
                repeat: asked.repeat,
                deadline: asked.deadline,
            },
        };
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
        let room = self.room(&incoming, asked.order)?;
        let payload = read(incoming, claimed, limit, self.instant(deadline), room).await?;
        let mut headers = parts.headers;
        let path = parts.uri.path_and_query().map_or("/", |it| it.as_str());
        // Callers are not told apart, and the idempotency key is left out: a retry under a new key is the same
        // request to an upstream that it crashes.
        let print = Fingerprint::of(
            &asked.service,
            parts.method.as_str(),
            path,
            "",
            &payload.digest(),
        );
        if view.quarantined.holds(print) {
            return Err(Denial::Refused(Refusal::new(Reason::Quarantined)));
        }
        let uri = path.parse().unwrap_or_default();
        let host = parts.uri.authority().map_or("", |it| it.as_str());
        headers::strip_hop(&mut headers);
        headers::strip_internal(&mut headers);
        headers::insert_text(&mut headers, header::HOST, host);
        match &self.0.dialect {
            Dialect::Own => headers::insert_text(&mut headers, BUDGET, &asked.tree.to_string()),
            Dialect::Foreign(fields) => {
                if let Some(instance) = &present.instance {
                    headers::insert_text(&mut headers, fields.expected.clone(), instance);
                }
            }
        }
        Ok(Job {
            present,
            class,
            order: asked.order.unwrap_or(Order {
                priority: u8::MAX,
                goal: deadline.at(),
                deadline: deadline.at(),
                queue: Queue::Full,
                kind: Kind::default(),
            }),
            repeat,
            deadline,
            limit,
            print,
            method: parts.method,
            uri,
            headers,
            payload,
        })
    }

    /// Room on the link for a long body, so that none is read for a request that would be refused afterwards.
    fn room(&self, body: &Body, order: Option<Order>) -> Result<Option<Room>, Denial> {
        let Some(order) = order.filter(|_| room::large(body)) else {
            return Ok(None);
        };
        self.0.gate.check(order).map_err(Denial::Refused)?;
        let now = self.now();
        let run = match self.0.gate.told() {
            Told::Outlook(it) => u64::from(it.service[rank_of(order.priority)]),
            Told::Load(_) | Told::Nothing => 0,
        };
        let timely = order.goal.since(now).saturating_sub(run);
        let longest = match timely {
            0 => order.deadline.since(now).saturating_sub(run),
            it => it,
        };
        let room = self.0.link.enter(body, longest);
        room.map(Some).map_err(Denial::Refused)
    }

    /// What the service's document says of the request, next to what the entry says.
    fn terms(
        &self,
        asked: &Asked,
        found: &ServiceView,
        parts: &http::request::Parts,
    ) -> Result<Terms, Denial> {
        let document = &found.document;
        let Some(route) = document.route(parts.method.as_str(), parts.uri.path()) else {
            // The entry knows a newer or an older document; another owner may know the same.
            return Err(not_ready());
        };
        Ok(Terms {
            class: route.class,
            // While a change spreads the two nodes may hold different documents: the stricter one counts.
            repeat: match (asked.repeat, route.repeat) {
                (Repeat::Idempotent, Repeat::Idempotent) => Repeat::Idempotent,
                _ => Repeat::Never,
            },
            deadline: asked
                .deadline
                .min(Deadline::after(self.now(), route.deadline)),
        })
    }

    fn asked(&self, headers: &HeaderMap) -> Result<Asked, Denial> {
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
            (Some(service), Some(tree), Some(left), Some(_)) => Ok(Asked {
                service,
                deadline: Deadline::after(now, left),
                tree,
                order: priority.zip(goal).map(|(priority, goal)| Order {
                    priority: u8::try_from(priority).unwrap_or(u8::MAX),
                    goal: now + goal,
                    deadline: now + left,
                    queue: match headers.get(QUEUE) {
                        Some(it) if *it == SHORT => Queue::Short,
                        _ => Queue::Full,
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
                let why = "this port is for nodes: send requests to the caller port of any node";
                Err(Denial::bad(StatusCode::BAD_REQUEST, "not-a-node", why))
            }
        }
    }

    /// Waits for a slot of the upstream.
    pub(super) async fn admit(&self, job: &Job) -> Result<Slot, Denial> {
        let ask = Ask {
            class: job.class,
            order: job.order,
        };
        self.0.gate.enter(ask).await.map_err(Denial::Refused)
    }

    /// Sends the job to the upstream and takes its answer within `window`.
    pub(super) async fn exchange(
        &self,
        job: Job,
        slot: Slot,
        window: Window,
    ) -> Result<Answer, Denial> {
        let mut given_up = 0;
        let result = self.converse(job, slot, window, &mut given_up).await;
        match given_up {
            0 => result,
            // The upstream may still run what went out on a connection that was given up.
            _ => result.map_err(Denial::doubted),
        }
    }

    /// As [`Traffic::exchange`]; counts in `given_up` the connections on which the job was given up.
    async fn converse(
        &self,
        job: Job,
        slot: Slot,
        window: Window,
        given_up: &mut usize,
    ) -> Result<Answer, Denial> {
        let limit = window.end;
        let suspect = self.turn(&job, limit).await?;
        let pool = job.present.pool.clone();
        let run = Running {
            run: self.0.upstream.begin(job.print),
            slot,
            suspect,
        };
        let mut request = self.request_of(&job, job.payload.body());
        let mut leased = pool.lease(limit).await;
        for _ in 0..CONNECTIONS_MAX {
            let mut lease = match leased {
                Ok(lease) => lease,
                Err(fault) => return Err(self.unavailable(run.slot, fault)),
            };
            // The waits for a suspect's turn and a connection may have outlasted the right to run: a claim
            // may have been given back by then, and a second attempt may hold it.
            if self.now() >= window.start {
                lease.unused();
                return Err(expired(&job));
            }
            match self.wait(&job, &mut lease, request, limit).await {
                Sent::Answered(answer) => {
                    return self.answer(&job, run, lease, answer, limit).await;
                }
                Sent::Unsent(unsent) => request = unsent,
                Sent::Lost => return Err(self.lost(&job.payload, run)),
                Sent::Silent if Instant::now() >= limit => return Err(late(run.slot)),
                Sent::Silent => {
                    lease.suspect();
                    *given_up += 1;
                    request = self.request_of(&job, job.payload.body());
                }
            }
            leased = pool.lease_fresh(limit).await;
        }
        run.slot.finish(Finish::Failed);
        Err(not_ready())
    }

    /// Waits until a suspect may run: one at a time, so that a second crash tells it from bystanders.
    async fn turn(&self, job: &Job, limit: Instant) -> Result<Option<Suspect>, Denial> {
        if !self.view().quarantined.suspects(job.print) {
            return Ok(None);
        }
        let suspects = self.0.suspects.clone();
        if self.0.origin == Origin::Imported {
            // Whoever waits for another suspect's end would be told only at the deadline that it was in vain.
            return match suspects.try_acquire_owned() {
                Ok(turn) => Ok(Some(Suspect {
                    print: job.print,
                    _turn: turn,
                })),
                Err(_) => {
                    let refusal = Refusal::after(Reason::Overloaded, SUSPECT_MS);
                    Err(Denial::Refused(refusal))
                }
            };
        }
        let turn = suspects.acquire_owned();
        match timeout_at(limit, turn).await {
            Ok(Ok(turn)) => Ok(Some(Suspect {
                print: job.print,
                _turn: turn,
            })),
            _ => Err(Denial::Refused(Refusal::new(Reason::Expired))),
        }
    }

    /// Waits for the header of the answer, and finds out whether a silent connection is to be given up.
    ///
    /// Only a reused connection is doubted, only for a request that may be sent again, and only while the
    /// upstream answers on a new one: a slow upstream keeps its work. With an imported configuration it is not
    /// doubted at all: the connection itself tells when its bytes are not acknowledged, and a second run of a
    /// slow request takes a second slot of an upstream that is short of them.
    async fn wait(
        &self,
        job: &Job,
        lease: &mut Lease,
        request: Request<Body>,
        limit: Instant,
    ) -> Sent {
        let left = limit.saturating_duration_since(Instant::now());
        let doubtful = self.0.origin == Origin::Submitted
            && lease.usage() == Usage::Reused
            && job.repeat == Repeat::Idempotent
            && matches!(job.payload, Payload::Whole(_));
        let patience = match doubtful {
            true => job.present.pool.silence(left).min(left),
            false => left,
        };
        let mut sending = pin!(lease.send(request));
        if let Ok(sent) = timeout(patience, &mut sending).await {
            return sent;
        }
        if patience < left {
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

    fn unavailable(&self, slot: Slot, fault: Unavailable) -> Denial {
        match fault {
            Unavailable::Refused => {
                slot.finish(Finish::Failed);
                self.0.upstream.observe(Sign::Refused);
                self.0.upstream.suspect();
                not_ready()
            }
            Unavailable::Late => {
                slot.finish(Finish::Overloaded);
                Denial::Refused(Refusal::after(Reason::Overloaded, NOT_READY_MS))
            }
        }
    }

    fn request_of(&self, job: &Job, body: Body) -> Request<Body> {
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
    /// BLAKE3 hash of a body that is at hand; a streamed one counts as empty.
    fn digest(&self) -> [u8; 32] {
        match self {
            Payload::Whole(bytes) => *blake3::hash(bytes).as_bytes(),
            Payload::Streamed(..) => *blake3::hash(&[]).as_bytes(),
        }
    }

    /// The body to send. A streamed one can be sent once.
    fn body(&self) -> Body {
        match self {
            Payload::Whole(bytes) => Body::from(bytes.clone()),
            Payload::Streamed(body, _) => Body::new(body.clone()),
        }
    }
}

/// Reads the body whole if it is short or the request runs at most once.
///
/// A request that runs at most once is claimed only when all of it is here: a caller that leaves in the
/// middle of its body would otherwise use up its key with a run that never was.
async fn read(
    incoming: Body,
    repeat: Repeat,
    limit: u64,
    deadline: Instant,
    room: Option<Room>,
) -> Result<Payload, Denial> {
    let hint = incoming.size_hint();
    let short = hint.upper().is_some_and(|it| it <= WHOLE_MAX);
    if short || repeat == Repeat::Never {
        let bytes = body::collect(incoming, limit, deadline).await;
        return bytes.map(Payload::Whole).map_err(Denial::of_body);
    }
    if hint.lower() > limit {
        return Err(Denial::of_body(BodyFault::TooLong));
    }
    let broken = Arc::new(AtomicBool::new(false));
    let noted = broken.clone();
    let body = Bounded::new(incoming, limit, deadline, move |end| {
        noted.store(end != End::Whole, Ordering::SeqCst);
        drop(room);
    });
    Ok(Payload::Streamed(Intact::new(Body::new(body)), broken))
}

/// The job's right to run ended before a byte of it went out.
fn expired(job: &Job) -> Denial {
    let reason = match job.repeat {
        Repeat::Never => Reason::NoClaim,
        Repeat::Idempotent => Reason::Expired,
    };
    Denial::Refused(Refusal::new(reason))
}

fn not_ready() -> Denial {
    Denial::Refused(Refusal::after(Reason::NotReady, NOT_READY_MS))
}

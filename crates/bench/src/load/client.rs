//! The callers: through the nodes, or straight to the upstreams with blind retries.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use laburnum_kernel::document::Class;
use tokio::{sync::oneshot, time::timeout};

use super::{
    arrivals::{Arrival, Kind},
    judge::{Answer, Echo, Outcome},
    preset::{ARCHIVE, Preset},
};

/// Attempts of the baseline: one and three blind retries.
pub const BLIND_ATTEMPTS: u32 = 4;

/// Where callers send requests.
#[derive(Clone, Debug)]
pub enum Way {
    /// To these entry nodes in turn.
    Nodes(Vec<SocketAddr>),
    /// To the upstreams of each service in turn, again after a quarter of the deadline or a failure. An
    /// attempt given up is not cancelled, as a server does not notice that its caller left while it works.
    Direct(Vec<Vec<SocketAddr>>),
}

/// All callers of one run; cheap to clone.
#[derive(Clone)]
pub struct Callers(Arc<Shared>);

struct Shared {
    preset: Preset,
    way: Way,
    client: Client<HttpConnector, Full<Bytes>>,
    turn: AtomicUsize,
    retries: AtomicU64,
}

/// A request as it goes out, once or several times.
#[derive(Clone, Debug)]
struct Ask {
    method: Method,
    service: &'static str,
    path: String,
    body: String,
    id: String,
    key: Option<String>,
    kind: Kind,
}

impl Callers {
    /// Callers that go `way`.
    pub fn new(preset: Preset, way: Way) -> Callers {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Callers(Arc::new(Shared {
            preset,
            way,
            client: Client::builder(TokioExecutor::new()).build(connector),
            turn: AtomicUsize::new(0),
            retries: AtomicU64::new(0),
        }))
    }

    /// Attempts beyond each request's first that the callers made themselves.
    pub fn retries(&self) -> u64 {
        self.0.retries.load(Ordering::Relaxed)
    }

    /// Sends one request and waits for its end.
    pub async fn ask(&self, arrival: Arrival) -> Answer {
        let ask = Ask::new(self.0.preset, arrival);
        let deadline = Duration::from_millis(self.0.preset.deadline(class(arrival.kind)));
        match &self.0.way {
            Way::Nodes(entries) => {
                let address = entries[self.0.turn.fetch_add(1, Ordering::Relaxed) % entries.len()];
                // The nodes answer by the deadline; a caller that waits twice as long sees that they do.
                let answer = timeout(deadline * 2, self.send(&ask, address)).await;
                answer.unwrap_or_else(|_| ask.missing())
            }
            Way::Direct(groups) => self.blindly(&ask, &groups[arrival.service], deadline).await,
        }
    }

    async fn blindly(&self, ask: &Ask, group: &[SocketAddr], deadline: Duration) -> Answer {
        let mut last = ask.missing();
        for attempt in 0..BLIND_ATTEMPTS {
            if attempt > 0 {
                self.0.retries.fetch_add(1, Ordering::Relaxed);
            }
            let address = group[self.0.turn.fetch_add(1, Ordering::Relaxed) % group.len()];
            let (sender, receiver) = oneshot::channel();
            let (callers, sent) = (self.clone(), ask.clone());
            tokio::spawn(async move {
                // Nobody waits any more after a timeout.
                let _ = sender.send(callers.send(&sent, address).await);
            });
            match timeout(deadline / BLIND_ATTEMPTS, receiver).await {
                Ok(Ok(answer)) if answer.outcome == Outcome::Ran => return answer,
                Ok(Ok(answer)) => last = answer,
                _ => last = ask.missing(),
            }
        }
        last
    }

    async fn send(&self, ask: &Ask, address: SocketAddr) -> Answer {
        let Some(request) = ask.request(address) else {
            return ask.missing();
        };
        match self.0.client.request(request).await {
            Ok(response) => ask.answer(response).await,
            Err(_) => ask.missing(),
        }
    }
}

/// The class that a kind of request belongs to.
pub fn class(kind: Kind) -> Class {
    match kind {
        Kind::Interactive | Kind::Poison => Class::Interactive,
        Kind::Exact | Kind::Again => Class::Exact,
        Kind::Background => Class::Background,
    }
}

/// The end of a request that got no answer.
pub fn missing(preset: Preset, arrival: Arrival) -> Answer {
    Ask::new(preset, arrival).missing()
}

impl Ask {
    fn new(preset: Preset, arrival: Arrival) -> Ask {
        let service = preset.services()[arrival.service];
        let number = arrival.number;
        let (method, base, body, key) = match arrival.kind {
            Kind::Interactive => (Method::GET, service.reads, String::new(), None),
            Kind::Background => (Method::GET, ARCHIVE, String::new(), None),
            Kind::Poison => (Method::GET, service.reads, String::new(), None),
            Kind::Exact | Kind::Again => {
                let key = format!("key-{number}");
                (
                    Method::POST,
                    service.filings,
                    format!("filing {number}"),
                    Some(key),
                )
            }
        };
        let (path, id) = match arrival.kind {
            Kind::Poison => (format!("{base}/poison"), format!("poison-{number}")),
            Kind::Again => (format!("{base}/{number}"), format!("again-{number}")),
            _ => (format!("{base}/{number}"), format!("first-{number}")),
        };
        Ask {
            method,
            service: service.name,
            path,
            body,
            id,
            key,
            kind: arrival.kind,
        }
    }

    fn request(&self, address: SocketAddr) -> Option<Request<Full<Bytes>>> {
        let mut builder = Request::builder()
            .method(self.method.clone())
            .uri(format!("http://{address}{}", self.path))
            .header(header::HOST, self.service)
            .header("x-request-id", &self.id);
        if let Some(key) = &self.key {
            builder = builder.header("idempotency-key", key);
        }
        if self.kind == Kind::Poison {
            builder = builder.header("x-crash", "1");
        }
        builder.body(Full::new(Bytes::from(self.body.clone()))).ok()
    }

    async fn answer(&self, response: Response<Incoming>) -> Answer {
        let status = response.status();
        let said = response.headers().get("laburnum-outcome");
        let outcome = match said.map(|it| it.as_bytes()) {
            Some(b"not-run") => Outcome::NotRun,
            Some(b"unknown") => Outcome::Unknown,
            // Upstreams asked directly do not say.
            Some(b"ran") | None if status == StatusCode::OK => Outcome::Ran,
            _ => Outcome::Unknown,
        };
        let Ok(body) = response.into_body().collect().await else {
            return self.missing();
        };
        let own = format!("{} {} {}\n", self.method, self.path, self.body);
        let echo = match outcome {
            Outcome::Ran if body.to_bytes() == own.as_bytes() => Echo::Own,
            Outcome::Ran => Echo::Foreign,
            _ => Echo::None,
        };
        Answer {
            request: self.id.clone(),
            outcome,
            echo,
        }
    }

    fn missing(&self) -> Answer {
        Answer {
            request: self.id.clone(),
            outcome: Outcome::Missing,
            echo: Echo::None,
        }
    }
}

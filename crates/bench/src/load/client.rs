//! HTTP callers: through the nodes, or directly to the upstreams with blind retries.

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

/// Maximum attempts of the baseline: the first and three blind retries.
pub const BLIND_ATTEMPTS: u32 = 4;

/// Where callers send requests.
#[derive(Clone, Debug)]
pub enum Destination {
    /// These entry nodes, round robin.
    Nodes(Vec<SocketAddr>),
    /// The upstreams of each service, round robin, with a retry after a failure or a quarter of the deadline.
    /// Attempts that time out are not cancelled, since a busy server does not notice that its caller left.
    Direct(Vec<Vec<SocketAddr>>),
}

/// The callers of one run; cheap to clone.
#[derive(Clone)]
pub struct Callers(Arc<Shared>);

struct Shared {
    preset: Preset,
    destination: Destination,
    client: Client<HttpConnector, Full<Bytes>>,
    next_address: AtomicUsize,
    retries: AtomicU64,
}

/// A request to send, possibly several times.
#[derive(Clone, Debug)]
struct OutgoingRequest {
    method: Method,
    service: &'static str,
    path: String,
    body: String,
    id: String,
    key: Option<String>,
    kind: Kind,
}

impl Callers {
    /// Returns callers of `destination`.
    pub fn new(preset: Preset, destination: Destination) -> Callers {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Callers(Arc::new(Shared {
            preset,
            destination,
            client: Client::builder(TokioExecutor::new()).build(connector),
            next_address: AtomicUsize::new(0),
            retries: AtomicU64::new(0),
        }))
    }

    /// Returns the number of retries made by the callers.
    pub fn retries(&self) -> u64 {
        self.0.retries.load(Ordering::Relaxed)
    }

    /// Sends one request and returns its answer.
    pub async fn call(&self, arrival: Arrival) -> Answer {
        let request = OutgoingRequest::new(self.0.preset, arrival);
        let deadline = Duration::from_millis(self.0.preset.deadline(class(arrival.kind)));
        match &self.0.destination {
            Destination::Nodes(entries) => {
                let address =
                    entries[self.0.next_address.fetch_add(1, Ordering::Relaxed) % entries.len()];
                // Wait longer than the deadline to see whether the nodes answer by it.
                let answer = timeout(deadline * 2, self.send(&request, address)).await;
                answer.unwrap_or_else(|_| request.missing_answer())
            }
            Destination::Direct(groups) => {
                self.call_with_retries(&request, &groups[arrival.service], deadline)
                    .await
            }
        }
    }

    async fn call_with_retries(
        &self,
        request: &OutgoingRequest,
        group: &[SocketAddr],
        deadline: Duration,
    ) -> Answer {
        let mut last = request.missing_answer();
        for attempt in 0..BLIND_ATTEMPTS {
            if attempt > 0 {
                self.0.retries.fetch_add(1, Ordering::Relaxed);
            }
            let address = group[self.0.next_address.fetch_add(1, Ordering::Relaxed) % group.len()];
            let (sender, receiver) = oneshot::channel();
            let (callers, sent) = (self.clone(), request.clone());
            tokio::spawn(async move {
                // The receiver is gone after a timeout.
                let _ = sender.send(callers.send(&sent, address).await);
            });
            match timeout(deadline / BLIND_ATTEMPTS, receiver).await {
                Ok(Ok(answer)) if answer.outcome == Outcome::Ran => return answer,
                Ok(Ok(answer)) => last = answer,
                _ => last = request.missing_answer(),
            }
        }
        last
    }

    async fn send(&self, request: &OutgoingRequest, address: SocketAddr) -> Answer {
        let Some(message) = request.to_http(address) else {
            return request.missing_answer();
        };
        match self.0.client.request(message).await {
            Ok(response) => request.read_answer(response).await,
            Err(_) => request.missing_answer(),
        }
    }
}

/// Returns the class of a kind of request.
pub fn class(kind: Kind) -> Class {
    match kind {
        Kind::Interactive | Kind::Poison => Class::Interactive,
        Kind::Exact | Kind::Repeat => Class::Exact,
        Kind::Background => Class::Background,
    }
}

/// Returns the answer record of a request that got no answer.
pub fn missing_answer(preset: Preset, arrival: Arrival) -> Answer {
    OutgoingRequest::new(preset, arrival).missing_answer()
}

impl OutgoingRequest {
    fn new(preset: Preset, arrival: Arrival) -> OutgoingRequest {
        let service = preset.services()[arrival.service];
        let number = arrival.number;
        let (method, base, body, key) = match arrival.kind {
            Kind::Interactive => (Method::GET, service.reads, String::new(), None),
            Kind::Background => (Method::GET, ARCHIVE, String::new(), None),
            Kind::Poison => (Method::GET, service.reads, String::new(), None),
            Kind::Exact | Kind::Repeat => {
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
            Kind::Repeat => (format!("{base}/{number}"), format!("again-{number}")),
            _ => (format!("{base}/{number}"), format!("first-{number}")),
        };
        OutgoingRequest {
            method,
            service: service.name,
            path,
            body,
            id,
            key,
            kind: arrival.kind,
        }
    }

    fn to_http(&self, address: SocketAddr) -> Option<Request<Full<Bytes>>> {
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

    async fn read_answer(&self, response: Response<Incoming>) -> Answer {
        let status = response.status();
        let outcome_header = response.headers().get("laburnum-outcome");
        let outcome = match outcome_header.map(|it| it.as_bytes()) {
            Some(b"not-run") => Outcome::NotRun,
            Some(b"unknown") => Outcome::Unknown,
            // Upstreams called directly send no outcome header.
            Some(b"ran") | None if status == StatusCode::OK => Outcome::Ran,
            _ => Outcome::Unknown,
        };
        let Ok(body) = response.into_body().collect().await else {
            return self.missing_answer();
        };
        let expected_body = format!("{} {} {}\n", self.method, self.path, self.body);
        let echo = match outcome {
            Outcome::Ran if body.to_bytes() == expected_body.as_bytes() => Echo::Own,
            Outcome::Ran => Echo::Foreign,
            _ => Echo::None,
        };
        Answer {
            request: self.id.clone(),
            outcome,
            echo,
        }
    }

    fn missing_answer(&self) -> Answer {
        Answer {
            request: self.id.clone(),
            outcome: Outcome::Missing,
            echo: Echo::None,
        }
    }
}

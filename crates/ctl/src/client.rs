//! HTTP client of the operators' API of a node.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::TokioExecutor,
};
use laburnum_edge::{
    Token,
    answer::{self, SendError},
    api::{
        AuditBody, ErrorBody, LiftBody, ListBody, QuarantinesBody, ResolveBody, ServiceBody,
        StatusBody, SubmitAnswer, SubmitBody, UnknownBody,
    },
};
use laburnum_kernel::{Name, Seq, SubmitId};
use serde::{Serialize, de::DeserializeOwned};

use crate::{cli::Target, report::Outcome};

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a whole exchange; longer than the node's own timeouts.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum length of an answer, in bytes.
const ANSWER_MAX: usize = 64 << 20;

/// A client of one node.
#[derive(Clone, Debug)]
pub struct Client {
    node: SocketAddr,
    token: Option<Token>,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

/// Why a call gave no result.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// Connecting failed; nothing was sent.
    #[error("cannot reach the node at {node}: {why}; start it, or name another with --node")]
    Connect { node: SocketAddr, why: String },
    /// The connection failed before the answer was complete, or the answer was too long; the request may have run.
    #[error(
        "the connection to the node at {node} failed before its answer was complete: {why}; retry, or name another node with --node"
    )]
    Lost { node: SocketAddr, why: String },
    /// The request was sent, but no answer came within the timeout.
    #[error(
        "the node at {node} did not answer within {seconds} s; retry, or name another node with --node"
    )]
    Timeout { node: SocketAddr, seconds: u64 },
    /// The node answered with an error.
    #[error("{error}")]
    Refused { status: StatusCode, error: String },
    /// The answer is not of this API.
    #[error(
        "{node} answered {status} with a body that is not of the admin API; check that --node is a node's admin address"
    )]
    UnexpectedAnswer {
        node: SocketAddr,
        status: StatusCode,
    },
}

impl ClientError {
    /// Returns the outcome of a command that fails with this error.
    pub fn outcome(&self) -> Outcome {
        match self {
            ClientError::Refused { status, .. } if status.is_client_error() => Outcome::Refused,
            _ => Outcome::Unavailable,
        }
    }

    /// Returns whether the request certainly never reached the node.
    pub fn is_unsent(&self) -> bool {
        matches!(self, ClientError::Connect { .. })
    }
}

/// A complete answer.
struct Answer {
    status: StatusCode,
    bytes: Bytes,
}

impl Client {
    /// Returns a client of the node that `target` names.
    pub fn new(target: Target) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Client {
            node: target.address,
            token: target.token,
            http: legacy::Client::builder(TokioExecutor::new()).build(connector),
            timeout: ANSWER_TIMEOUT,
        }
    }

    /// Submits a change.
    pub async fn submit(&self, body: &SubmitBody) -> Result<SubmitAnswer, ClientError> {
        self.verdict(self.send(Method::POST, "/v1/submissions", body).await?)
    }

    /// Returns the outcome of a submission.
    pub async fn outcome(&self, id: SubmitId) -> Result<SubmitAnswer, ClientError> {
        self.verdict(self.fetch(&format!("/v1/submissions/{id}")).await?)
    }

    /// Returns the services in force at the node.
    pub async fn list(&self) -> Result<ListBody, ClientError> {
        self.get("/v1/services").await
    }

    /// Returns one service with its document.
    pub async fn service(&self, name: &Name) -> Result<ServiceBody, ClientError> {
        self.get(&format!("/v1/services/{name}")).await
    }

    /// Returns accepted changes of all services.
    pub async fn audit(&self, after: Seq, limit: u32) -> Result<AuditBody, ClientError> {
        self.get(&format!("/v1/audit?after={after}&limit={limit}"))
            .await
    }

    /// Returns accepted changes of one service.
    pub async fn history(
        &self,
        service: &Name,
        after: Seq,
        limit: u32,
    ) -> Result<AuditBody, ClientError> {
        let path = format!("/v1/audit?service={service}&after={after}&limit={limit}");
        self.get(&path).await
    }

    /// Returns the log positions that the nodes reported.
    pub async fn status(&self) -> Result<StatusBody, ClientError> {
        self.get("/v1/status").await
    }

    /// Returns the quarantined requests.
    pub async fn quarantines(&self) -> Result<QuarantinesBody, ClientError> {
        self.get("/v1/quarantines").await
    }

    /// Lifts a quarantine.
    pub async fn lift(&self, print: &str, body: &LiftBody) -> Result<(), ClientError> {
        let path = format!("/v1/quarantines/{print}/lift");
        self.check_status(self.send(Method::POST, &path, body).await?)
    }

    /// Returns the requests of unknown outcome.
    pub async fn unknown(&self) -> Result<UnknownBody, ClientError> {
        self.get("/v1/unknown").await
    }

    /// Records the outcome of a request whose outcome is unknown.
    pub async fn resolve(&self, body: &ResolveBody) -> Result<(), ClientError> {
        self.check_status(self.send(Method::POST, "/v1/unknown/resolve", body).await?)
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let answer = self.fetch(path).await?;
        match answer.status.is_success() {
            true => {
                serde_json::from_slice(&answer.bytes).map_err(|_| self.unexpected_answer(&answer))
            }
            false => Err(self.refused_error(&answer)),
        }
    }

    /// Reads a verdict; error statuses may carry one, too.
    fn verdict(&self, answer: Answer) -> Result<SubmitAnswer, ClientError> {
        serde_json::from_slice(&answer.bytes).map_err(|_| self.refused_error(&answer))
    }

    fn check_status(&self, answer: Answer) -> Result<(), ClientError> {
        match answer.status.is_success() {
            true => Ok(()),
            false => Err(self.refused_error(&answer)),
        }
    }

    fn refused_error(&self, answer: &Answer) -> ClientError {
        match serde_json::from_slice::<ErrorBody>(&answer.bytes) {
            Ok(body) => ClientError::Refused {
                status: answer.status,
                error: body.error,
            },
            Err(_) => self.unexpected_answer(answer),
        }
    }

    fn unexpected_answer(&self, answer: &Answer) -> ClientError {
        ClientError::UnexpectedAnswer {
            node: self.node,
            status: answer.status,
        }
    }

    async fn fetch(&self, path: &str) -> Result<Answer, ClientError> {
        self.exchange(self.request(Method::GET, path, Bytes::new()))
            .await
    }

    async fn send<T: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: &T,
    ) -> Result<Answer, ClientError> {
        let body = serde_json::to_vec(body).expect("the API's bodies have string keys only");
        self.exchange(self.request(method, path, Bytes::from(body)))
            .await
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> Request<Full<Bytes>> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.node))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .expect("names, ids and numbers make a valid path");
        if let Some(token) = &self.token {
            let value = token.authorization();
            request.headers_mut().insert(header::AUTHORIZATION, value);
        }
        request
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Answer, ClientError> {
        match tokio::time::timeout(self.timeout, self.receive(request)).await {
            Ok(answer) => answer,
            Err(_) => Err(ClientError::Timeout {
                node: self.node,
                seconds: self.timeout.as_secs(),
            }),
        }
    }

    /// Sends `request` and receives the whole answer, without a timeout.
    async fn receive(&self, request: Request<Full<Bytes>>) -> Result<Answer, ClientError> {
        let node = self.node;
        let answer = answer::send(&self.http, request).await;
        let answer = answer.map_err(|error| match &error {
            SendError::Connect(it) => ClientError::Connect {
                node,
                why: root_cause(it),
            },
            SendError::Lost(it) => ClientError::Lost {
                node,
                why: root_cause(it),
            },
            SendError::Head(_) => ClientError::Lost {
                node,
                why: error.to_string(),
            },
        })?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), ANSWER_MAX).collect().await;
        let bytes = body.map_err(|error| ClientError::Lost {
            node,
            why: error.to_string(),
        })?;
        let bytes = bytes.to_bytes();
        Ok(Answer { status, bytes })
    }
}

/// Returns the message of the innermost cause; the outer ones only say "client error".
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}

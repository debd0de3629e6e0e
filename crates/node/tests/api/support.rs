//! Starts a node with its HTTP API and sends requests to it.

pub use laburnum_standin::ports::free_address;
use std::{net::SocketAddr, sync::Arc};

use axum::body::Body;
use http::{Method, Request, StatusCode, header};
use http_body_util::BodyExt;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use laburnum_edge::{
    Clock, LinkError, MemoryPlatform, Platform,
    api::{ErrorBody, SubmitAnswer, VerdictBody},
};
use laburnum_node::{
    Config, Node,
    admin::{Admin, Bounds},
    node::StartError,
};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

pub const REGISTRY: &str = include_str!("../../../../examples/nile/court-registry.toml");
pub const SUBMISSIONS: &str = "/v1/submissions";

/// A node, and its API on an additional port with limits set by the test.
pub struct TestNode {
    pub node: Node,
    pub admin: Admin,
    pub address: SocketAddr,
}

pub struct ApiAnswer {
    pub status: StatusCode,
    pub body: Vec<u8>,
}

impl TestNode {
    pub async fn start(platform: Arc<dyn Platform>, bounds: Bounds) -> TestNode {
        let node = start_node(platform).await;
        let admin = Admin {
            bounds,
            ..Admin::new(
                node.control().clone(),
                node.upstream().clone(),
                node.metrics().clone(),
            )
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let router = admin.clone().router();
        tokio::spawn(async move { axum::serve(listener, router).await });
        TestNode {
            node,
            admin,
            address,
        }
    }

    pub async fn with_defaults() -> TestNode {
        TestNode::start(Arc::new(MemoryPlatform::default()), Bounds::default()).await
    }

    pub async fn send_request(
        &self,
        request: http::request::Builder,
        body: impl Into<Body>,
    ) -> ApiAnswer {
        let client: Client<HttpConnector, Body> =
            Client::builder(TokioExecutor::new()).build(HttpConnector::new());
        let request = request.body(body.into()).expect("a request");
        let answer = client.request(request).await.expect("an answer");
        let status = answer.status();
        let body = answer.into_body().collect().await.expect("a whole body");
        let body = body.to_bytes().to_vec();
        ApiAnswer { status, body }
    }

    pub fn request(&self, method: Method, path: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
    }

    pub async fn get(&self, path: &str) -> ApiAnswer {
        self.send_request(self.request(Method::GET, path), "").await
    }

    pub async fn submit(&self, body: &Value) -> ApiAnswer {
        self.send(Method::POST, SUBMISSIONS, body.to_string()).await
    }

    pub async fn send(&self, method: Method, path: &str, body: String) -> ApiAnswer {
        let request = self.request(method, path);
        let request = request.header(header::CONTENT_TYPE, "application/json");
        self.send_request(request, body).await
    }

    /// Sends `text` verbatim and reads until the node closes the connection or `end` was received.
    pub async fn send_raw(&self, text: &str, end: &str) -> String {
        let mut stream = TcpStream::connect(self.address).await.expect("connected");
        stream.write_all(text.as_bytes()).await.expect("sent");
        let mut answer = Vec::new();
        let mut chunk = [0; 1024];
        while !String::from_utf8_lossy(&answer).contains(end) {
            match stream.read(&mut chunk).await {
                Ok(0) | Err(_) => break,
                Ok(count) => answer.extend_from_slice(&chunk[..count]),
            }
        }
        String::from_utf8_lossy(&answer).into_owned()
    }

    pub async fn close(self) {
        self.node.close().await;
    }
}

impl ApiAnswer {
    pub fn error(&self) -> String {
        let body: ErrorBody = serde_json::from_slice(&self.body).expect("an error body");
        body.error
    }

    pub fn verdict(&self) -> VerdictBody {
        let body: SubmitAnswer = serde_json::from_slice(&self.body).expect("a verdict");
        body.verdict
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("JSON")
    }
}

/// Starts a node on free ports; retries with other ports if a concurrent test binds one of them first.
pub async fn start_node(platform: Arc<dyn Platform>) -> Node {
    loop {
        let config = Config {
            caller: free_address(),
            control: free_address(),
            traffic: free_address(),
            admin: free_address(),
            ..Config::default()
        };
        match Node::start(config, Clock::system(), platform.clone()).await {
            Ok(node) => return node,
            Err(
                StartError::Bind { .. }
                | StartError::Link(LinkError::Bind { .. } | LinkError::Probe { .. }),
            ) => {}
            Err(error) => panic!("{error}"),
        }
    }
}

pub fn put_body(id: &str, service: &str, base: u64, text: &str) -> Value {
    json!({
        "id": id, "service": service, "base": base, "edit": {"put": {"text": text}},
        "author": "amal", "reason": "first version",
    })
}

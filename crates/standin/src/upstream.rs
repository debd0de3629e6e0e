//! A stand-in upstream.

use std::net::SocketAddr;

use axum::{Router, body::Bytes, http::Method, http::Uri};
use tokio::{net::TcpListener, task::JoinHandle};

/// A running upstream that answers every request with what it was asked.
#[derive(Debug)]
pub struct Upstream {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Upstream {
    /// Listens on `address`; port zero picks a free one.
    pub async fn start(address: SocketAddr) -> std::io::Result<Upstream> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let router = Router::new().fallback(echo);
        let task = tokio::spawn(async move {
            let _ = axum::serve(listener, router).await;
        });
        Ok(Upstream { address, task })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops it at once.
    pub fn close(self) {
        self.task.abort();
    }
}

async fn echo(method: Method, uri: Uri, body: Bytes) -> String {
    format!("{method} {uri} {}\n", String::from_utf8_lossy(&body))
}

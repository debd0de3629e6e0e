//! Connections to other nodes.

use std::net::{Ipv4Addr, SocketAddr, TcpStream};

use axum::body::Body;
use http::Request;
use laburnum_node::traffic::peers::{Peers, Sent};
use socket2::{Domain, Socket, Type};
use tokio::{
    task::JoinSet,
    time::{Duration, Instant},
};

/// Number of requests that wait for one connection.
const WAITING: usize = 10;
/// Upper bound for one connection attempt.
const ONE_ATTEMPT: Duration = Duration::from_millis(800);

/// Creates a socket that accepts no connection, because its queue is full.
fn unresponsive_socket() -> (Socket, Vec<TcpStream>, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(&any.into()).expect("an address");
    socket.listen(0).expect("a queue");
    let address = socket.local_addr().expect("an address");
    let address = address.as_socket().expect("an IP address");
    let mut queued = Vec::new();
    while let Ok(it) = TcpStream::connect_timeout(&address, std::time::Duration::from_millis(50)) {
        queued.push(it);
    }
    (socket, queued, address)
}

/// Requests that wait for a connection to an unreachable node share one attempt instead of trying in turn. The
/// paused clock of the runtime advances when all tasks are idle.
#[tokio::test(start_paused = true)]
async fn waiting_requests_share_a_failed_connect() {
    let (_socket, _queued, address) = unresponsive_socket();
    let peers = std::sync::Arc::new(Peers::default());
    let start = Instant::now();
    let mut sending = JoinSet::new();
    for _ in 0..WAITING {
        let peers = peers.clone();
        sending.spawn(async move {
            let deadline = Instant::now() + Duration::from_secs(30);
            let request = Request::new(Body::empty());
            matches!(peers.send(address, request, deadline).await, Sent::Unsent)
        });
    }
    while let Some(unsent) = sending.join_next().await {
        assert!(unsent.expect("no panic"));
    }
    assert!(start.elapsed() < ONE_ATTEMPT, "{:?}", start.elapsed());
}

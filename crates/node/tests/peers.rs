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

/// Requests that wait for one connection.
const WAITING: usize = 10;
/// Time for which one attempt to connect may hang, and some.
const ONE_ATTEMPT: Duration = Duration::from_millis(800);

/// A socket that takes no connection: its queue is full.
fn deaf() -> (Socket, Vec<TcpStream>, SocketAddr) {
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

/// A node loses power or is cut off: connections to it hang. Ten requests wait for the same one to open. Each tried
/// anew in its turn, and the tenth was held for five seconds before it could go elsewhere. One attempt is enough for
/// all that waited for it. Time is the runtime's own, which runs as soon as nobody has anything to do.
#[tokio::test(start_paused = true)]
async fn requests_that_wait_for_a_deaf_node_give_up_together() {
    let (_socket, _queued, address) = deaf();
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

//! Connections that this node opens, set up so that a dead path shows.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Longest time for which bytes sent may go without an acknowledgement.
///
/// Something between the two ends may lose track of a connection, or the other host may lose power: nothing comes
/// back, not even a reset, and a request would wait until its deadline. Within a region a round trip takes a
/// few ms and the first three repeats of a lost packet about 1.4 s in all; links that lose a packet in thirty need
/// one repeat at most.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_000);
/// Silence after which an idle connection is probed, and the pause between probes.
const KEEP_ALIVE: Duration = Duration::from_secs(1);
/// Probes without an answer after which it is given up.
const KEEP_ALIVE_RETRIES: u32 = 2;

/// Connects to `address`.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEP_ALIVE)
        .with_interval(KEEP_ALIVE)
        .with_retries(KEEP_ALIVE_RETRIES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    Ok(stream)
}

//! Opens TCP connections that detect a dead path.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time for which sent bytes may stay unacknowledged before the connection fails.
///
/// A dead host or a lost connection sends nothing back, not even a reset, and a request would wait until its
/// deadline. The value leaves time for a retransmission on a lossy link.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Idle time before a keep-alive probe, and the interval of probes.
const KEEP_ALIVE: Duration = Duration::from_secs(1);
/// Unanswered probes after which the connection fails.
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
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))?;
    Ok(stream)
}

//! Unused ports for programs under test.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    ops::Range,
    sync::atomic::{AtomicU32, Ordering},
};

/// Port range below the ephemeral ports of outgoing connections, so that it does not collide with them.
const PORTS: Range<u32> = 10_000..32_000;
/// Distance between the first ports of processes with consecutive ids, so that parallel tests start far apart.
const STRIDE: u32 = 97;

/// Returns a loopback address that is unbound for TCP and UDP, a different one at each call within a process.
///
/// # Panics
///
/// Panics if all ports of the range are taken.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let span = PORTS.end - PORTS.start;
    let first = std::process::id().wrapping_mul(STRIDE);
    let addresses = (0..span).map(|_| {
        let offset = NEXT.fetch_add(1, Ordering::SeqCst);
        let port = PORTS.start + first.wrapping_add(offset) % span;
        SocketAddr::from((Ipv4Addr::LOCALHOST, port as u16))
    });
    let mut unused = addresses
        .filter(|it| TcpListener::bind(it).is_ok())
        .filter(|it| UdpSocket::bind(it).is_ok());
    unused
        .next()
        .expect("a free port; end programs that listen between 10000 and 32000")
}

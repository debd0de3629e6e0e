//! Ports for programs under test.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    ops::Range,
    sync::atomic::{AtomicU32, Ordering},
};

/// Below the ports that the system gives to outgoing connections, so that no connection of another test has one.
const PORTS: Range<u32> = 10_000..32_000;
/// Distance between the first ports of processes whose ids follow one another, so that tests that run side by side
/// meet late.
const STRIDE: u32 = 97;

/// A loopback address that nothing listens at, by TCP or UDP, and that this process has not been given before.
///
/// # Panics
///
/// If all ports of the range are taken.
pub fn free() -> SocketAddr {
    static GIVEN: AtomicU32 = AtomicU32::new(0);
    let span = PORTS.end - PORTS.start;
    let first = std::process::id().wrapping_mul(STRIDE);
    let addresses = (0..span).map(|_| {
        let given = GIVEN.fetch_add(1, Ordering::SeqCst);
        let port = PORTS.start + first.wrapping_add(given) % span;
        SocketAddr::from((Ipv4Addr::LOCALHOST, port as u16))
    });
    let mut unused = addresses
        .filter(|it| TcpListener::bind(it).is_ok())
        .filter(|it| UdpSocket::bind(it).is_ok());
    unused
        .next()
        .expect("a free port; end programs that listen between 10000 and 32000")
}

//! Unused ports for programs under test.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    ops::Range,
    sync::{Mutex, PoisonError},
};

/// Port range below the ephemeral ports of outgoing connections, so that it does not collide with them.
const PORTS: Range<u16> = 10_000..32_000;
/// Number of ports that a process reserves at a time. Blocks start at its multiples.
pub const BLOCK: u16 = 50;

/// A reserved block of ports.
struct Block {
    /// Listens on the block's first port for as long as the process runs, so that no other process reserves the block.
    _reservation: TcpListener,
    unused: Range<u16>,
}

/// Returns a loopback address that is unbound for TCP and UDP, a different one at each call and in each process.
///
/// # Panics
///
/// Panics if all ports of the range are taken.
pub fn free_address() -> SocketAddr {
    static BLOCKS: Mutex<Vec<Block>> = Mutex::new(Vec::new());
    let mut blocks = BLOCKS.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let unused = blocks.last_mut().and_then(|it| it.unused.next());
        match unused.map(loopback) {
            Some(it) if is_unbound(it) => return it,
            Some(_) => {}
            None => blocks.push(reserve_block()),
        }
    }
}

/// Reserves a block of ports that no other process has reserved.
fn reserve_block() -> Block {
    let count = (PORTS.end - PORTS.start) / BLOCK;
    // Processes that start together try different blocks first.
    let first = (std::process::id() % u32::from(count)) as u16;
    let blocks = (0..count).map(|it| PORTS.start + (first + it) % count * BLOCK);
    let mut reserved = blocks.filter_map(|start| {
        Some(Block {
            _reservation: TcpListener::bind(loopback(start)).ok()?,
            unused: start + 1..start + BLOCK,
        })
    });
    reserved
        .next()
        .expect("a free block of ports; end programs that listen between 10000 and 32000")
}

fn is_unbound(address: SocketAddr) -> bool {
    TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

//! The link between nodes: framed messages over TCP and probe datagrams over UDP.
//!
//! [`ZmqLink`] binds one ROUTER socket and opens one DEALER socket to each peer that it sends to. libzmq's
//! sockets block and belong to one thread: the control thread polls them beside the probe socket and a
//! wake-up socket.

use std::{
    collections::HashMap,
    io::{ErrorKind, Read, Write},
    net::UdpSocket,
    os::{fd::AsRawFd, unix::net::UnixStream},
    sync::Arc,
};

use laburnum_kernel::{Message, NodeId, members::Packet};
use serde::{Deserialize, Serialize};

/// What arrived over the link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Incoming {
    /// A message over TCP.
    Message { from: NodeId, message: Message },
    /// A probe over UDP.
    Probe { from: NodeId, packet: Packet },
}

/// Node to node. Sends never block; what cannot be sent is dropped and counted.
pub trait Link {
    /// Sends a message; delivery is not promised.
    fn send(&mut self, to: NodeId, message: &Message);

    /// Sends a probe; delivery is not promised.
    fn probe(&mut self, to: NodeId, packet: &Packet);

    /// Waits up to `timeout` ms for something to arrive or for a wake-up.
    fn wait(&mut self, timeout: u64) -> Vec<Incoming>;

    /// Bytes sent and received so far.
    fn traffic(&self) -> Traffic;
}

/// Bytes over the link since the process started, frames and headers of this layer included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
    /// Messages not sent, or received and refused.
    pub dropped: u64,
}

/// The link's sockets cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The TCP socket cannot be bound.
    #[error("cannot bind the control address {address} over TCP: {source}; choose a free one")]
    Bind { address: NodeId, source: zmq::Error },
    /// The UDP socket cannot be bound.
    #[error("cannot bind the control address {address} over UDP: {source}; choose a free one")]
    Probe {
        address: NodeId,
        source: std::io::Error,
    },
    /// A socket of libzmq cannot be made.
    #[error("cannot make a socket: {0}; raise the limit of open files")]
    Socket(#[from] zmq::Error),
    /// The wake-up socket cannot be made.
    #[error("cannot make the wake-up socket: {0}; raise the limit of open files")]
    Wake(#[from] std::io::Error),
}

/// The largest frame, in bytes. A larger one closes the connection that it comes from.
///
/// Without this bound a stranger's 9-byte header that names 2^40 bytes makes the process allocate
/// them and abort; libzmq refuses such a frame from its header alone.
pub const FRAME_MAX: usize = 64 * 1024;

/// The largest datagram, in bytes; fits an Ethernet frame.
pub const PROBE_MAX: usize = 1400;

/// Most open connections to peers; the one unused longest is closed first.
pub const PEERS_MAX: usize = 64;

const QUEUE_MAX: i32 = 256;
const HEARTBEAT_MS: i32 = 2_000;

#[derive(Serialize, Deserialize)]
struct Frame<T> {
    from: NodeId,
    body: T,
}

/// Wakes a [`ZmqLink`] from another thread.
#[derive(Clone, Debug)]
pub struct Waker(Arc<UnixStream>);

impl Waker {
    /// Makes a present or the next [`Link::wait`] return at once.
    pub fn wake(&self) {
        // A full pipe already holds a wake-up.
        let _ = (&*self.0).write(&[1]);
    }
}

/// The link over libzmq and UDP.
pub struct ZmqLink {
    own: NodeId,
    context: zmq::Context,
    router: zmq::Socket,
    udp: UdpSocket,
    wake: UnixStream,
    peers: HashMap<NodeId, Peer>,
    clock: u64,
    traffic: Traffic,
}

struct Peer {
    socket: zmq::Socket,
    used: u64,
}

impl ZmqLink {
    /// Binds the TCP and the UDP socket of `own`.
    pub fn bind(own: NodeId) -> Result<(ZmqLink, Waker), LinkError> {
        let context = zmq::Context::new();
        let router = context.socket(zmq::ROUTER)?;
        router.set_linger(0)?;
        router.set_maxmsgsize(FRAME_MAX as i64)?;
        router.set_rcvhwm(QUEUE_MAX)?;
        router.set_heartbeat_ivl(HEARTBEAT_MS)?;
        router.set_heartbeat_timeout(2 * HEARTBEAT_MS)?;
        router
            .bind(&format!("tcp://{own}"))
            .map_err(|source| LinkError::Bind {
                address: own,
                source,
            })?;
        let udp = bind_udp(own).map_err(|source| LinkError::Probe {
            address: own,
            source,
        })?;
        let (wake, waker) = UnixStream::pair()?;
        wake.set_nonblocking(true)?;
        waker.set_nonblocking(true)?;
        let link = ZmqLink {
            own,
            context,
            router,
            udp,
            wake,
            peers: HashMap::new(),
            clock: 0,
            traffic: Traffic::default(),
        };
        Ok((link, Waker(Arc::new(waker))))
    }

    /// Closes every socket.
    pub fn close(self) {
        drop(self);
    }

    fn peer(&mut self, to: NodeId) -> Result<&Peer, zmq::Error> {
        self.clock += 1;
        let used = self.clock;
        if !self.peers.contains_key(&to) {
            self.make_room();
            let socket = self.context.socket(zmq::DEALER)?;
            socket.set_linger(0)?;
            socket.set_sndhwm(QUEUE_MAX)?;
            socket.set_heartbeat_ivl(HEARTBEAT_MS)?;
            socket.set_heartbeat_timeout(2 * HEARTBEAT_MS)?;
            socket.connect(&format!("tcp://{to}"))?;
            self.peers.insert(to, Peer { socket, used });
        }
        let peer = self.peers.get_mut(&to).ok_or(zmq::Error::ENOTSOCK)?;
        peer.used = used;
        Ok(peer)
    }

    fn make_room(&mut self) {
        if self.peers.len() < PEERS_MAX {
            return;
        }
        let oldest = self.peers.iter().min_by_key(|(_, it)| it.used);
        if let Some(id) = oldest.map(|(id, _)| *id) {
            self.peers.remove(&id);
        }
    }

    fn drain_router(&mut self, incoming: &mut Vec<Incoming>) {
        while let Ok(parts) = self.router.recv_multipart(zmq::DONTWAIT) {
            let bytes = parts.last().map_or(&[][..], Vec::as_slice);
            self.traffic.received += bytes.len() as u64;
            match postcard::from_bytes::<Frame<Message>>(bytes) {
                Ok(frame) => incoming.push(Incoming::Message {
                    from: frame.from,
                    message: frame.body,
                }),
                Err(_) => self.traffic.dropped += 1,
            }
        }
    }

    fn drain_udp(&mut self, incoming: &mut Vec<Incoming>) {
        let mut buffer = [0; PROBE_MAX];
        loop {
            match self.udp.recv_from(&mut buffer) {
                Ok((len, _)) => {
                    self.traffic.received += len as u64;
                    match postcard::from_bytes::<Frame<Packet>>(&buffer[..len]) {
                        Ok(frame) => incoming.push(Incoming::Probe {
                            from: frame.from,
                            packet: frame.body,
                        }),
                        Err(_) => self.traffic.dropped += 1,
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // A refused datagram of ours shows up as an error of the socket; the next read goes on.
                Err(_) => self.traffic.dropped += 1,
            }
        }
    }

    fn drain_wake(&mut self) {
        let mut buffer = [0; 64];
        while matches!(self.wake.read(&mut buffer), Ok(len) if len == buffer.len()) {}
    }
}

fn bind_udp(own: NodeId) -> std::io::Result<UdpSocket> {
    let udp = UdpSocket::bind(own.0)?;
    udp.set_nonblocking(true)?;
    Ok(udp)
}

impl Link for ZmqLink {
    fn send(&mut self, to: NodeId, message: &Message) {
        let frame = Frame {
            from: self.own,
            body: message,
        };
        let Ok(bytes) = postcard::to_stdvec(&frame) else {
            self.traffic.dropped += 1;
            return;
        };
        let len = bytes.len();
        let sent = len <= FRAME_MAX
            && self
                .peer(to)
                .and_then(|it| it.socket.send(bytes, zmq::DONTWAIT))
                .is_ok();
        match sent {
            true => self.traffic.sent += len as u64,
            false => self.traffic.dropped += 1,
        }
    }

    fn probe(&mut self, to: NodeId, packet: &Packet) {
        let frame = Frame {
            from: self.own,
            body: packet,
        };
        let bytes = postcard::to_stdvec(&frame).unwrap_or_default();
        let fits = !bytes.is_empty() && bytes.len() <= PROBE_MAX;
        match fits && self.udp.send_to(&bytes, to.0).is_ok() {
            true => self.traffic.sent += bytes.len() as u64,
            false => self.traffic.dropped += 1,
        }
    }

    fn wait(&mut self, timeout: u64) -> Vec<Incoming> {
        let mut items = [
            self.router.as_poll_item(zmq::POLLIN),
            zmq::PollItem::from_fd(self.udp.as_raw_fd(), zmq::POLLIN),
            zmq::PollItem::from_fd(self.wake.as_raw_fd(), zmq::POLLIN),
        ];
        let _ = zmq::poll(&mut items, timeout as i64);
        let mut incoming = Vec::new();
        self.drain_wake();
        self.drain_router(&mut incoming);
        self.drain_udp(&mut incoming);
        incoming
    }

    fn traffic(&self) -> Traffic {
        self.traffic
    }
}

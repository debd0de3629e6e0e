//! The link over libzmq and UDP.
//!
//! [`ZmqLink`] binds one ROUTER socket and opens one DEALER socket to each peer that it sends to. libzmq sockets
//! belong to one thread: the control thread polls them together with the probe socket and a wake-up socket.

use std::{
    collections::HashMap,
    io::{ErrorKind, Read, Write},
    net::UdpSocket,
    os::{fd::AsRawFd, unix::net::UnixStream},
    sync::Arc,
};

use laburnum_kernel::{Message, Ms, NodeId, members::Packet};
use serde::{Serialize, de::DeserializeOwned};

use super::{
    DATAGRAM_HEADER, FRAME_HEADER, Incoming, Keys, Kind, Link, LinkError, Traffic,
    frame::{self, Channel, FRAME_MAX, Frame, FrameError, PROBE_MAX},
    replay::{Freshness, ReplayFilter},
};
use crate::clock::Clock;

/// Maximum number of open connections to peers; the least recently used one is closed first.
pub const PEERS_MAX: usize = 64;

/// Maximum number of frames queued per peer; further ones are dropped.
const QUEUE_MAX: i32 = 256;
/// Interval of the heartbeats that the opener of a connection sends, in ms. The other end only answers them, which
/// halves the traffic of an idle connection.
const HEARTBEAT_MS: i32 = 2_000;
/// Time without a heartbeat or an answer to it after which either end closes the connection, in ms.
const HEARTBEAT_TIMEOUT_MS: i32 = 2 * HEARTBEAT_MS;
/// Time after which an unused connection is closed, in ms: its heartbeats soon cost more than opening it again.
pub const IDLE_TIMEOUT_MS: u64 = 8_000;
/// Interval between searches for idle connections, in ms.
pub const SWEEP_INTERVAL_MS: u64 = 1_000;
/// Delay before the first reconnect to an unreachable peer, in ms; doubles up to [`RECONNECT_MAX_MS`].
const RECONNECT_MS: i32 = 100;
const RECONNECT_MAX_MS: i32 = 5_000;
/// Maximum number of frames received from a socket in one call of [`Link::wait`], so that a flood of frames cannot
/// block the control thread's ticks.
const RECEIVE_MAX: usize = 256;

/// Wakes a [`ZmqLink`] from another thread.
#[derive(Clone, Debug)]
pub struct Waker(Arc<UnixStream>);

impl Waker {
    /// Makes the current or the next [`Link::wait`] return at once.
    pub fn wake(&self) {
        // Fails if the socket's buffer is full, which means that a wake-up is already pending.
        let _ = (&*self.0).write(&[1]);
    }
}

/// The link over libzmq and UDP.
pub struct ZmqLink {
    own: NodeId,
    keys: Keys,
    clock: Clock,
    started: u64,
    context: zmq::Context,
    router: zmq::Socket,
    udp: UdpSocket,
    wake: UnixStream,
    peers: HashMap<NodeId, Peer>,
    /// Time of the last search for idle connections.
    last_sweep: Ms,
    messages: ChannelState,
    probes: ChannelState,
    traffic: Traffic,
}

struct Peer {
    socket: zmq::Socket,
    last_used: Ms,
}

#[derive(Default)]
struct ChannelState {
    sent: u64,
    replay: ReplayFilter,
}

impl ZmqLink {
    /// Binds the TCP and the UDP socket of the address `own`.
    pub fn bind(own: NodeId, keys: Keys, clock: Clock) -> Result<(ZmqLink, Waker), LinkError> {
        let context = zmq::Context::new();
        let router = bind_router(&context, own)?;
        let udp = bind_udp(own).map_err(|source| LinkError::Probe {
            address: own,
            source,
        })?;
        let (wake, waker) = UnixStream::pair()?;
        wake.set_nonblocking(true)?;
        waker.set_nonblocking(true)?;
        let link = ZmqLink {
            own,
            keys,
            started: clock.now().0,
            clock,
            context,
            router,
            udp,
            wake,
            peers: HashMap::new(),
            last_sweep: Ms(0),
            messages: ChannelState::default(),
            probes: ChannelState::default(),
            traffic: Traffic::default(),
        };
        Ok((link, Waker(Arc::new(waker))))
    }

    /// Closes all sockets.
    pub fn close(self) {
        drop(self);
    }

    /// Returns the number of open connections to peers, at most [`PEERS_MAX`].
    pub fn peers(&self) -> usize {
        self.peers.len()
    }

    fn peer_or_connect(&mut self, to: NodeId) -> Result<&Peer, zmq::Error> {
        let last_used = self.clock.now();
        if !self.peers.contains_key(&to) {
            self.evict_peer_if_full();
            let socket = connect_dealer(&self.context, to)?;
            self.peers.insert(to, Peer { socket, last_used });
        }
        let peer = self.peers.get_mut(&to).ok_or(zmq::Error::ENOTSOCK)?;
        peer.last_used = last_used;
        Ok(peer)
    }

    fn evict_peer_if_full(&mut self) {
        if self.peers.len() < PEERS_MAX {
            return;
        }
        let oldest = self.peers.iter().min_by_key(|(_, it)| it.last_used);
        if let Some(id) = oldest.map(|(id, _)| *id) {
            self.peers.remove(&id);
        }
    }

    fn close_idle(&mut self) {
        let now = self.clock.now();
        if now.since(self.last_sweep) >= SWEEP_INTERVAL_MS {
            self.last_sweep = now;
            self.peers
                .retain(|_, it| now.since(it.last_used) < IDLE_TIMEOUT_MS);
        }
    }

    fn seal<T: Serialize>(
        &mut self,
        channel: Channel,
        to: NodeId,
        body: T,
    ) -> Result<Vec<u8>, FrameError> {
        let state = match channel {
            Channel::Message => &mut self.messages,
            Channel::Probe => &mut self.probes,
        };
        state.sent += 1;
        let frame = Frame {
            from: self.own,
            started: self.started,
            counter: state.sent,
            body,
        };
        frame::seal(&self.keys, channel, to, &frame)
    }

    fn open<T: DeserializeOwned>(&mut self, channel: Channel, bytes: &[u8]) -> Option<(NodeId, T)> {
        let Ok(frame) = frame::open::<T>(&self.keys, channel, self.own, bytes) else {
            self.traffic.strange += 1;
            return None;
        };
        let state = match channel {
            Channel::Message => &mut self.messages,
            Channel::Probe => &mut self.probes,
        };
        let now = self.clock.now();
        let freshness = state
            .replay
            .check(now, frame.from, frame.started, frame.counter);
        if freshness == Freshness::Replayed {
            self.traffic.replayed += 1;
            return None;
        }
        self.traffic.accepted += 1;
        Some((frame.from, frame.body))
    }

    fn receive_messages(&mut self, incoming: &mut Vec<Incoming>) {
        for _ in 0..RECEIVE_MAX {
            let Ok(parts) = self.router.recv_multipart(zmq::DONTWAIT) else {
                return;
            };
            // The first part is the connection's identity; a valid message has exactly one more part.
            let [_, bytes] = &parts[..] else {
                self.traffic.strange += 1;
                continue;
            };
            if let Some((from, message)) = self.open::<Message>(Channel::Message, bytes) {
                let kind = Kind::of(&message);
                self.traffic.received[kind as usize] += bytes.len() as u64 + FRAME_HEADER;
                incoming.push(Incoming::Message { from, message });
            }
        }
    }

    fn receive_probes(&mut self, incoming: &mut Vec<Incoming>) {
        // One byte longer than allowed, to detect datagrams that are too large.
        let mut buffer = [0; PROBE_MAX + 1];
        for _ in 0..RECEIVE_MAX {
            match self.udp.recv_from(&mut buffer) {
                Ok((len, _)) if len > PROBE_MAX => self.traffic.strange += 1,
                Ok((len, _)) => {
                    if let Some((from, packet)) = self.open(Channel::Probe, &buffer[..len]) {
                        self.traffic.received[Kind::Probe as usize] += len as u64 + DATAGRAM_HEADER;
                        incoming.push(Incoming::Probe { from, packet });
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // Such as the ICMP error for an earlier datagram to a closed port; the next read proceeds.
                Err(_) => {}
            }
        }
    }

    fn drain_wakeups(&mut self) {
        let mut buffer = [0; 64];
        while matches!(self.wake.read(&mut buffer), Ok(len) if len == buffer.len()) {}
    }
}

fn bind_router(context: &zmq::Context, own: NodeId) -> Result<zmq::Socket, LinkError> {
    let router = context.socket(zmq::ROUTER)?;
    router.set_linger(0)?;
    router.set_ipv6(own.0.is_ipv6())?;
    router.set_maxmsgsize(FRAME_MAX as i64)?;
    router.set_rcvhwm(QUEUE_MAX)?;
    router
        .bind(&format!("tcp://{own}"))
        .map_err(|source| LinkError::Bind {
            address: own,
            source,
        })?;
    Ok(router)
}

fn bind_udp(own: NodeId) -> std::io::Result<UdpSocket> {
    let udp = UdpSocket::bind(own.0)?;
    udp.set_nonblocking(true)?;
    Ok(udp)
}

fn connect_dealer(context: &zmq::Context, to: NodeId) -> Result<zmq::Socket, zmq::Error> {
    let socket = context.socket(zmq::DEALER)?;
    socket.set_linger(0)?;
    socket.set_ipv6(to.0.is_ipv6())?;
    socket.set_sndhwm(QUEUE_MAX)?;
    // Peers never send over this connection; anything that arrives is bounded and never read.
    socket.set_rcvhwm(1)?;
    socket.set_maxmsgsize(FRAME_MAX as i64)?;
    socket.set_heartbeat_ivl(HEARTBEAT_MS)?;
    socket.set_heartbeat_timeout(HEARTBEAT_TIMEOUT_MS)?;
    socket.set_heartbeat_ttl(HEARTBEAT_TIMEOUT_MS)?;
    socket.set_reconnect_ivl(RECONNECT_MS)?;
    socket.set_reconnect_ivl_max(RECONNECT_MAX_MS)?;
    socket.connect(&format!("tcp://{to}"))?;
    Ok(socket)
}

impl Link for ZmqLink {
    fn send(&mut self, to: NodeId, message: &Message) {
        let Ok(bytes) = self.seal(Channel::Message, to, message) else {
            self.traffic.unsent += 1;
            return;
        };
        let len = bytes.len() as u64;
        let sent = self
            .peer_or_connect(to)
            .and_then(|it| it.socket.send(bytes, zmq::DONTWAIT));
        match sent {
            Ok(()) => self.traffic.sent[Kind::of(message) as usize] += len + FRAME_HEADER,
            Err(_) => self.traffic.unsent += 1,
        }
    }

    fn probe(&mut self, to: NodeId, packet: &Packet) {
        let Ok(bytes) = self.seal(Channel::Probe, to, packet) else {
            self.traffic.unsent += 1;
            return;
        };
        match self.udp.send_to(&bytes, to.0) {
            Ok(len) => self.traffic.sent[Kind::Probe as usize] += len as u64 + DATAGRAM_HEADER,
            Err(_) => self.traffic.unsent += 1,
        }
    }

    fn wait(&mut self, timeout: u64) -> Vec<Incoming> {
        let mut items = [
            self.router.as_poll_item(zmq::POLLIN),
            zmq::PollItem::from_fd(self.udp.as_raw_fd(), zmq::POLLIN),
            zmq::PollItem::from_fd(self.wake.as_raw_fd(), zmq::POLLIN),
        ];
        // An interrupted poll only returns early; the caller waits again.
        let _ = zmq::poll(&mut items, timeout as i64);
        let mut incoming = Vec::new();
        self.close_idle();
        self.drain_wakeups();
        self.receive_messages(&mut incoming);
        self.receive_probes(&mut incoming);
        incoming
    }

    fn traffic(&self) -> &Traffic {
        &self.traffic
    }
}

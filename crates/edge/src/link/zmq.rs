//! The link over libzmq and UDP.
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

use laburnum_kernel::{Message, Ms, NodeId, members::Packet};
use serde::{Serialize, de::DeserializeOwned};

use super::{
    DATAGRAM_HEADER, FRAME_HEADER, Incoming, Keys, Kind, Link, LinkError, Traffic,
    frame::{self, Channel, FRAME_MAX, Frame, FrameError, PROBE_MAX},
    replay::{Replay, Seen},
};
use crate::clock::Clock;

/// Most open connections to peers; the one unused longest is closed first.
pub const PEERS_MAX: usize = 64;

/// Frames queued a peer before further ones are dropped.
const QUEUE_MAX: i32 = 256;
/// Interval in which whoever opened a connection asks whether it still works, in ms. The other end only answers, and
/// closes it after [`SILENT_MS`] without a question: were both to ask, each open connection would take twice as much.
const HEARTBEAT_MS: i32 = 2_000;
/// Silence after which either end gives a connection up, in ms.
const SILENT_MS: i32 = 2 * HEARTBEAT_MS;
/// Connections unused for so long are closed, in ms. Questions and answers on one that idles take some 100 bytes a
/// second; opening it again takes about 700.
pub const IDLE_MS: u64 = 8_000;
/// Interval in which idle connections are looked for, in ms.
pub const SWEEP_MS: u64 = 1_000;
/// A peer that is gone is tried again after this, doubling up to [`RECONNECT_MAX_MS`].
const RECONNECT_MS: i32 = 100;
const RECONNECT_MAX_MS: i32 = 5_000;
/// Frames taken in one go, so that a flood of them cannot keep the control thread from its ticks.
const TAKE_MAX: usize = 256;

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
    keys: Keys,
    clock: Clock,
    started: u64,
    context: zmq::Context,
    router: zmq::Socket,
    udp: UdpSocket,
    wake: UnixStream,
    peers: HashMap<NodeId, Peer>,
    /// When idle connections were last looked for.
    swept: Ms,
    messages: Counters,
    probes: Counters,
    traffic: Traffic,
}

struct Peer {
    socket: zmq::Socket,
    used: Ms,
}

#[derive(Default)]
struct Counters {
    sent: u64,
    replay: Replay,
}

impl ZmqLink {
    /// Binds the TCP and the UDP socket of `own`.
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
            swept: Ms(0),
            messages: Counters::default(),
            probes: Counters::default(),
            traffic: Traffic::default(),
        };
        Ok((link, Waker(Arc::new(waker))))
    }

    /// Closes every socket.
    pub fn close(self) {
        drop(self);
    }

    /// Open connections to peers, at most [`PEERS_MAX`].
    pub fn peers(&self) -> usize {
        self.peers.len()
    }

    fn peer(&mut self, to: NodeId) -> Result<&Peer, zmq::Error> {
        let used = self.clock.now();
        if !self.peers.contains_key(&to) {
            self.make_room();
            let socket = dial(&self.context, to)?;
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

    fn close_idle(&mut self) {
        let now = self.clock.now();
        if now.since(self.swept) >= SWEEP_MS {
            self.swept = now;
            self.peers.retain(|_, it| now.since(it.used) < IDLE_MS);
        }
    }

    fn seal<T: Serialize>(
        &mut self,
        channel: Channel,
        to: NodeId,
        body: T,
    ) -> Result<Vec<u8>, FrameError> {
        let counters = match channel {
            Channel::Message => &mut self.messages,
            Channel::Probe => &mut self.probes,
        };
        counters.sent += 1;
        let frame = Frame {
            from: self.own,
            started: self.started,
            counter: counters.sent,
            body,
        };
        frame::seal(&self.keys, channel, to, &frame)
    }

    fn open<T: DeserializeOwned>(&mut self, channel: Channel, bytes: &[u8]) -> Option<(NodeId, T)> {
        let Ok(frame) = frame::open::<T>(&self.keys, channel, self.own, bytes) else {
            self.traffic.strange += 1;
            return None;
        };
        let counters = match channel {
            Channel::Message => &mut self.messages,
            Channel::Probe => &mut self.probes,
        };
        let now = self.clock.now();
        let seen = counters
            .replay
            .check(now, frame.from, frame.started, frame.counter);
        if seen == Seen::Replayed {
            self.traffic.replayed += 1;
            return None;
        }
        self.traffic.accepted += 1;
        Some((frame.from, frame.body))
    }

    fn take_messages(&mut self, incoming: &mut Vec<Incoming>) {
        for _ in 0..TAKE_MAX {
            let Ok(parts) = self.router.recv_multipart(zmq::DONTWAIT) else {
                return;
            };
            // The first part is the connection's identity; a frame of ours is exactly one more.
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

    fn take_probes(&mut self, incoming: &mut Vec<Incoming>) {
        // One byte more than allowed, so that a larger datagram is seen to be too large.
        let mut buffer = [0; PROBE_MAX + 1];
        for _ in 0..TAKE_MAX {
            match self.udp.recv_from(&mut buffer) {
                Ok((len, _)) if len > PROBE_MAX => self.traffic.strange += 1,
                Ok((len, _)) => {
                    if let Some((from, packet)) = self.open(Channel::Probe, &buffer[..len]) {
                        self.traffic.received[Kind::Probe as usize] += len as u64 + DATAGRAM_HEADER;
                        incoming.push(Incoming::Probe { from, packet });
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // A datagram of ours that a closed port refused shows up here; the next read goes on.
                Err(_) => {}
            }
        }
    }

    fn drain_wake(&mut self) {
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

fn dial(context: &zmq::Context, to: NodeId) -> Result<zmq::Socket, zmq::Error> {
    let socket = context.socket(zmq::DEALER)?;
    socket.set_linger(0)?;
    socket.set_ipv6(to.0.is_ipv6())?;
    socket.set_sndhwm(QUEUE_MAX)?;
    // Nobody sends towards a DEALER of ours; whatever comes is bounded and never read.
    socket.set_rcvhwm(1)?;
    socket.set_maxmsgsize(FRAME_MAX as i64)?;
    socket.set_heartbeat_ivl(HEARTBEAT_MS)?;
    socket.set_heartbeat_timeout(SILENT_MS)?;
    socket.set_heartbeat_ttl(SILENT_MS)?;
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
            .peer(to)
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
        // An interrupted poll is an early return; the caller waits again.
        let _ = zmq::poll(&mut items, timeout as i64);
        let mut incoming = Vec::new();
        self.close_idle();
        self.drain_wake();
        self.take_messages(&mut incoming);
        self.take_probes(&mut incoming);
        incoming
    }

    fn traffic(&self) -> &Traffic {
        &self.traffic
    }
}

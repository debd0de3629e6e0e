//! Tests of the link over loopback sockets: authentication, replay protection, size limits and idle connections.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
};

use laburnum_edge::{
    Clock, Incoming, Link,
    link::{
        IDLE_TIMEOUT_MS, Key, Keys, SWEEP_INTERVAL_MS, ZmqLink,
        frame::{self, Channel, FRAME_MAX, Frame, FrameError},
        replay::{Freshness, ReplayFilter, SENDER_EXPIRY_MS},
    },
};
use laburnum_kernel::{Message, Ms, NodeId, SubmitId, accept};
use proptest::prelude::*;
use test_case::test_case;

fn node(port: u16) -> NodeId {
    NodeId(SocketAddr::from(([127, 0, 0, 1], port)))
}

fn free_address() -> NodeId {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    NodeId(listener.local_addr().expect("an address"))
}

fn key(byte: u8) -> Key {
    Key::new([byte; 32])
}

fn message(text: &str) -> Message {
    Message::Accept(accept::Message::Verdict {
        id: SubmitId(7),
        verdict: accept::Verdict::Unavailable {
            why: text.to_owned(),
        },
    })
}

fn link(own: NodeId, keys: Keys) -> ZmqLink {
    ZmqLink::bind(own, keys, Clock::system())
        .expect("the link binds")
        .0
}

/// Waits for one message, sending none.
fn receive_one(link: &mut ZmqLink) -> Incoming {
    loop {
        if let Some(incoming) = link.wait(1_000).into_iter().next() {
            return incoming;
        }
    }
}

/// Waits until the link has rejected `count` frames that failed authentication.
fn wait_for_rejected(link: &mut ZmqLink, count: u64) {
    while link.traffic().strange < count {
        assert!(
            link.wait(1_000).is_empty(),
            "an unauthenticated frame was accepted"
        );
    }
}

/// Guards against unused connections that stay open: their heartbeats would dominate the traffic of an idle node.
#[test]
fn idle_connections_are_closed() {
    let clock = Clock::manual(Ms(1_000));
    let (own, one, other) = (free_address(), free_address(), free_address());
    let mut sender = ZmqLink::bind(own, Keys::default(), clock.clone());
    let sender = &mut sender.as_mut().expect("the link binds").0;
    sender.send(one, &message("hello"));
    sender.send(other, &message("hello"));
    clock.advance(IDLE_TIMEOUT_MS - 1);
    sender.send(other, &message("hello"));
    sender.wait(0);
    assert_eq!(sender.peers(), 2);
    clock.advance(SWEEP_INTERVAL_MS);
    sender.wait(0);
    assert_eq!(sender.peers(), 1, "the recently used connection stays open");
}

#[test]
fn message_arrives_whole_with_its_sender() {
    let (lhs, rhs) = (free_address(), free_address());
    let mut sender = link(lhs, Keys::default());
    let mut receiver = link(rhs, Keys::default());
    sender.send(rhs, &message("hello"));
    let wanted = Incoming::Message {
        from: lhs,
        message: message("hello"),
    };
    assert_eq!(receive_one(&mut receiver), wanted);
    assert_eq!(
        sender.traffic().sent_total(),
        receiver.traffic().received_total()
    );
}

/// Guards against lost messages between a node that already seals with the new key and one that still seals with
/// the old one.
#[test]
fn two_keys_are_accepted_during_rotation() {
    let (lhs, rhs, third) = (free_address(), free_address(), free_address());
    let mut new = link(lhs, Keys::new(key(2)).accepting(key(1)));
    let mut old = link(rhs, Keys::new(key(1)).accepting(key(2)));
    let mut outsider = link(third, Keys::new(key(3)));
    new.send(rhs, &message("new to old"));
    assert!(matches!(receive_one(&mut old), Incoming::Message { from, .. } if from == lhs));
    old.send(lhs, &message("old to new"));
    assert!(matches!(receive_one(&mut new), Incoming::Message { from, .. } if from == rhs));
    outsider.send(lhs, &message("stranger"));
    wait_for_rejected(&mut new, 1);
}

/// Guards against a frame header that announces an oversized frame and makes the process allocate it. libzmq closes
/// the connection by itself if a huge allocation fails, so the smallest length above the limit is tested too.
#[test_case(1 << 40; "a terabyte")]
#[test_case(FRAME_MAX as u64 + 1; "one byte too many")]
fn oversized_frame_header_closes_its_connection(claimed: u64) {
    let (own, peer) = (free_address(), free_address());
    let mut receiver = link(own, Keys::default());
    let mut outsider = TcpStream::connect(own.0).expect("connects");
    // Greeting of ZMTP 3.0 with the NULL mechanism, then a READY command of a DEALER.
    let mut greeting = vec![0xff, 0, 0, 0, 0, 0, 0, 0, 1, 0x7f, 3, 0];
    greeting.extend_from_slice(b"NULL");
    greeting.resize(64, 0);
    outsider.write_all(&greeting).expect("writes");
    let ready = b"\x04\x1c\x05READY\x0bSocket-Type\x00\x00\x00\x06DEALER";
    outsider.write_all(ready).expect("writes");
    let mut claim = vec![0x02];
    claim.extend_from_slice(&claimed.to_be_bytes());
    outsider.write_all(&claim).expect("writes");
    let mut rest = Vec::new();
    // Returns when the other side closes the connection.
    let _ = outsider.read_to_end(&mut rest);
    // An open connection would receive a heartbeat before it is closed.
    assert!(!rest.windows(4).any(|it| it == b"PING"), "still open");
    let mut sender = link(peer, Keys::default());
    sender.send(own, &message("next"));
    assert!(matches!(receive_one(&mut receiver), Incoming::Message { from, .. } if from == peer));
}

/// Guards against datagrams without a valid tag, short, full-sized or oversized, that reach the kernel.
#[test]
fn invalid_datagrams_are_counted_and_dropped() {
    let own = free_address();
    let mut receiver = link(own, Keys::new(key(1)));
    let socket = UdpSocket::bind("127.0.0.1:0").expect("binds");
    socket.send_to(&[0; 3], own.0).expect("sends");
    socket.send_to(&[7; 1400], own.0).expect("sends");
    socket.send_to(&[7; 3000], own.0).expect("sends");
    wait_for_rejected(&mut receiver, 3);
}

#[test]
fn oversized_message_is_dropped_and_counted() {
    let (lhs, rhs) = (free_address(), free_address());
    let mut sender = link(lhs, Keys::default());
    sender.send(rhs, &message(&"x".repeat(FRAME_MAX)));
    assert_eq!(sender.traffic().unsent, 1);
    assert_eq!(sender.traffic().sent_total(), 0);
}

fn frame(counter: u64) -> Frame<String> {
    Frame {
        from: node(1),
        started: 5,
        counter,
        body: "body".to_owned(),
    }
}

#[test_case(Channel::Probe, node(2), key(1), FrameError::BadTag; "other channel")]
#[test_case(Channel::Message, node(3), key(1), FrameError::BadTag; "other receiver")]
#[test_case(Channel::Message, node(2), key(9), FrameError::BadTag; "other key")]
fn frame_opens_only_at_its_receiver(channel: Channel, own: NodeId, with: Key, error: FrameError) {
    let keys = Keys::new(key(1));
    let bytes = frame::seal(&keys, Channel::Message, node(2), &frame(1)).expect("seals");
    let opened = frame::open::<String>(&keys, Channel::Message, node(2), &bytes);
    assert_eq!(opened, Ok(frame(1)));
    let opened = frame::open::<String>(&Keys::new(with), channel, own, &bytes);
    assert_eq!(opened, Err(error));
}

#[test_case(&[1, 2, 3], &[]; "in order")]
#[test_case(&[3, 1, 2], &[]; "reordered within the window")]
#[test_case(&[1, 1], &[1]; "doubled")]
#[test_case(&[100, 36], &[1]; "older than the window")]
#[test_case(&[100, 37, 37], &[2]; "edge of the window, then doubled")]
#[test_case(&[1, 1_000_000, 1], &[2]; "long gap, then an old one")]
fn replayed_counters_are_rejected(counters: &[u64], refused: &[usize]) {
    let mut replay = ReplayFilter::default();
    for (idx, counter) in counters.iter().enumerate() {
        let seen = replay.check(Ms(1), node(1), 5, *counter);
        let wanted = match refused.contains(&idx) {
            true => Freshness::Replayed,
            false => Freshness::New,
        };
        assert_eq!(seen, wanted, "counter {counter}");
    }
}

/// Guards against locking out for good a host that restarts with its clock set back: its frames look like a replay.
#[test]
fn earlier_start_is_rejected_until_expiry() {
    let mut replay = ReplayFilter::default();
    assert_eq!(replay.check(Ms(1), node(1), 50, 9), Freshness::New);
    assert_eq!(replay.check(Ms(2), node(1), 40, 1), Freshness::Replayed);
    assert_eq!(replay.check(Ms(3), node(1), 60, 1), Freshness::New);
    let later = Ms(3) + SENDER_EXPIRY_MS;
    assert_eq!(replay.check(later, node(1), 40, 1), Freshness::New);
}

proptest! {
    #[test]
    fn damaged_frame_never_opens(at in 0_usize..64, bit in 0_u8..8) {
        let keys = Keys::new(key(1));
        let mut bytes = frame::seal(&keys, Channel::Message, node(2), &frame(1)).expect("seals");
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        let opened = frame::open::<String>(&keys, Channel::Message, node(2), &bytes);
        prop_assert_eq!(opened, Err(FrameError::BadTag));
    }

    #[test]
    fn sealed_noise_does_not_panic(noise in proptest::collection::vec(any::<u8>(), 0..300)) {
        let keys = Keys::new(key(1));
        let body = Frame { from: node(1), started: 1, counter: 1, body: noise };
        let bytes = frame::seal(&keys, Channel::Message, node(2), &body).expect("seals");
        // The body is a byte string: decoding it as a message may fail but must not panic.
        let _ = frame::open::<Message>(&keys, Channel::Message, node(2), &bytes);
    }
}

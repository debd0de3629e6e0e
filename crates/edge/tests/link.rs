//! Contract of the link: sealed frames, strangers, replays, bounds; over real sockets on loopback.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
};

use laburnum_edge::{
    Clock, Incoming, Link,
    link::{
        IDLE_MS, Key, Keys, SWEEP_MS, ZmqLink,
        frame::{self, Channel, FRAME_MAX, Frame, FrameError},
        replay::{FORGET_MS, Replay, Seen},
    },
};
use laburnum_kernel::{Message, Ms, NodeId, SubmitId, accept};
use proptest::prelude::*;
use test_case::test_case;

fn node(port: u16) -> NodeId {
    NodeId(SocketAddr::from(([127, 0, 0, 1], port)))
}

fn free() -> NodeId {
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
fn next(link: &mut ZmqLink) -> Incoming {
    loop {
        if let Some(incoming) = link.wait(1_000).into_iter().next() {
            return incoming;
        }
    }
}

/// Waits until the link has refused `count` frames as strange.
fn until_strange(link: &mut ZmqLink, count: u64) {
    while link.traffic().strange < count {
        assert!(link.wait(1_000).is_empty(), "a stranger's frame was taken");
    }
}

/// A node of a large fleet speaks with other members now and then, another one each time. Each connection that stays open
/// takes questions and answers for ever; over some dozen of them that is most of what an idle node sends.
#[test]
fn connections_that_nobody_uses_are_closed() {
    let clock = Clock::manual(Ms(1_000));
    let (own, one, other) = (free(), free(), free());
    let mut sender = ZmqLink::bind(own, Keys::default(), clock.clone());
    let sender = &mut sender.as_mut().expect("the link binds").0;
    sender.send(one, &message("hello"));
    sender.send(other, &message("hello"));
    clock.advance(IDLE_MS - 1);
    sender.send(other, &message("hello"));
    sender.wait(0);
    assert_eq!(sender.peers(), 2);
    clock.advance(SWEEP_MS);
    sender.wait(0);
    assert_eq!(sender.peers(), 1, "the one used of late stays");
}

#[test]
fn messages_arrive_whole_and_name_their_sender() {
    let (lhs, rhs) = (free(), free());
    let mut sender = link(lhs, Keys::default());
    let mut receiver = link(rhs, Keys::default());
    sender.send(rhs, &message("hello"));
    let wanted = Incoming::Message {
        from: lhs,
        message: message("hello"),
    };
    assert_eq!(next(&mut receiver), wanted);
    assert_eq!(
        sender.traffic().sent_total(),
        receiver.traffic().received_total()
    );
}

/// Rotation: the sender already seals with the new key while the receiver still seals with the old one.
/// Both accept both, so nothing is lost in either direction; a third node with neither key is refused.
#[test]
fn two_keys_are_accepted_during_rotation() {
    let (lhs, rhs, third) = (free(), free(), free());
    let mut new = link(lhs, Keys::new(key(2)).accepting(key(1)));
    let mut old = link(rhs, Keys::new(key(1)).accepting(key(2)));
    let mut stranger = link(third, Keys::new(key(3)));
    new.send(rhs, &message("new to old"));
    assert!(matches!(next(&mut old), Incoming::Message { from, .. } if from == lhs));
    old.send(lhs, &message("old to new"));
    assert!(matches!(next(&mut new), Incoming::Message { from, .. } if from == rhs));
    stranger.send(lhs, &message("stranger"));
    until_strange(&mut new, 1);
}

/// A stranger connects, claims a frame of 2^40 bytes in nine bytes and waits. Without a bound the process
/// allocates them and may abort; where that allocation fails libzmq hangs up by itself, so a claim of one
/// byte too many is tried too. The connection is closed at once and the next peer is served.
#[test_case(1 << 40; "a terabyte")]
#[test_case(FRAME_MAX as u64 + 1; "one byte too many")]
fn frame_header_beyond_the_bound_closes_only_its_connection(claimed: u64) {
    let (own, peer) = (free(), free());
    let mut receiver = link(own, Keys::default());
    let mut stranger = TcpStream::connect(own.0).expect("connects");
    // Greeting of ZMTP 3.0 with the NULL mechanism, then a READY command of a DEALER.
    let mut greeting = vec![0xff, 0, 0, 0, 0, 0, 0, 0, 1, 0x7f, 3, 0];
    greeting.extend_from_slice(b"NULL");
    greeting.resize(64, 0);
    stranger.write_all(&greeting).expect("writes");
    let ready = b"\x04\x1c\x05READY\x0bSocket-Type\x00\x00\x00\x06DEALER";
    stranger.write_all(ready).expect("writes");
    let mut claim = vec![0x02];
    claim.extend_from_slice(&claimed.to_be_bytes());
    stranger.write_all(&claim).expect("writes");
    let mut rest = Vec::new();
    // Ends when the other side closes.
    let _ = stranger.read_to_end(&mut rest);
    // A connection that stays open is asked for a sign of life before it is given up.
    assert!(!rest.windows(4).any(|it| it == b"PING"), "still open");
    let mut sender = link(peer, Keys::default());
    sender.send(own, &message("next"));
    assert!(matches!(next(&mut receiver), Incoming::Message { from, .. } if from == peer));
}

/// A stranger sends datagrams of noise, and one of a right size with a wrong tag. Each is counted and none
/// reaches the kernel.
#[test]
fn strange_datagrams_are_counted_and_dropped() {
    let own = free();
    let mut receiver = link(own, Keys::new(key(1)));
    let socket = UdpSocket::bind("127.0.0.1:0").expect("binds");
    socket.send_to(&[0; 3], own.0).expect("sends");
    socket.send_to(&[7; 1400], own.0).expect("sends");
    socket.send_to(&[7; 3000], own.0).expect("sends");
    until_strange(&mut receiver, 3);
}

#[test]
fn oversized_message_is_dropped_and_counted() {
    let (lhs, rhs) = (free(), free());
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

#[test_case(Channel::Probe, node(2), key(1), FrameError::Strange; "other channel")]
#[test_case(Channel::Message, node(3), key(1), FrameError::Strange; "other receiver")]
#[test_case(Channel::Message, node(2), key(9), FrameError::Strange; "other key")]
fn frame_opens_only_where_it_was_meant_to(
    channel: Channel,
    own: NodeId,
    with: Key,
    error: FrameError,
) {
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
fn replay_window(counters: &[u64], refused: &[usize]) {
    let mut replay = Replay::default();
    for (idx, counter) in counters.iter().enumerate() {
        let seen = replay.check(Ms(1), node(1), 5, *counter);
        let wanted = match refused.contains(&idx) {
            true => Seen::Replayed,
            false => Seen::New,
        };
        assert_eq!(seen, wanted, "counter {counter}");
    }
}

/// A host restarts with its clock set back: its frames look like a replay of an earlier process. They are
/// refused until the peer forgets the later one, and then taken, so the host is not shut out for good.
#[test]
fn earlier_start_is_refused_until_forgotten() {
    let mut replay = Replay::default();
    assert_eq!(replay.check(Ms(1), node(1), 50, 9), Seen::New);
    assert_eq!(replay.check(Ms(2), node(1), 40, 1), Seen::Replayed);
    assert_eq!(replay.check(Ms(3), node(1), 60, 1), Seen::New);
    let later = Ms(3) + FORGET_MS;
    assert_eq!(replay.check(later, node(1), 40, 1), Seen::New);
}

proptest! {
    #[test]
    fn damaged_frames_never_open(at in 0_usize..64, bit in 0_u8..8) {
        let keys = Keys::new(key(1));
        let mut bytes = frame::seal(&keys, Channel::Message, node(2), &frame(1)).expect("seals");
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        let opened = frame::open::<String>(&keys, Channel::Message, node(2), &bytes);
        prop_assert_eq!(opened, Err(FrameError::Strange));
    }

    #[test]
    fn noise_sealed_with_the_key_is_malformed_or_reads(noise in proptest::collection::vec(any::<u8>(), 0..300)) {
        let keys = Keys::new(key(1));
        let body = Frame { from: node(1), started: 1, counter: 1, body: noise };
        let bytes = frame::seal(&keys, Channel::Message, node(2), &body).expect("seals");
        // The body is a byte string, not a message: reading it as one must fail or stop, never panic.
        let _ = frame::open::<Message>(&keys, Channel::Message, node(2), &bytes);
    }
}

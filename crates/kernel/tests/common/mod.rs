//! A simulated network between kernels, with faults. The same seed and script always give the same
//! run.

#![allow(dead_code, reason = "each test file uses its own part")]

mod views;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use laburnum_edge::MemoryPlatform;
use laburnum_kernel::{Action, Event, Kernel, Ms, NodeId, Settings, members::Packet};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time between two ticks of each kernel, in ms.
const TICK: u64 = 50;

/// Maximum length of the body of a datagram and of a message, in bytes.
const DATAGRAM_MAX: usize = 1_192;
const MESSAGE_MAX: usize = 60 * 1024;

/// State of a path: a percentage of datagrams is lost, or nothing arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    Lossy(u32),
    Cut,
}

/// Kernels and the events in flight between them.
pub struct Net {
    pub now: Ms,
    pub nodes: BTreeMap<NodeId, Kernel>,
    pub logs: Vec<(Ms, NodeId, &'static str, String)>,
    pub exited: BTreeSet<NodeId>,
    pub table: MemoryPlatform,
    pub bytes: BTreeMap<NodeId, u64>,
    pub duplicate: u32,
    pub delay: u64,
    /// All datagrams sent.
    pub packets: Vec<(Ms, NodeId, NodeId, Packet)>,
    paths: BTreeMap<(NodeId, NodeId), Path>,
    paused: BTreeMap<NodeId, Vec<Event>>,
    in_flight: BTreeMap<(Ms, u64), (NodeId, Event)>,
    sent: u64,
    rng: ChaCha8Rng,
}

/// Returns the id of the node with this number.
pub fn id(number: usize) -> NodeId {
    let [hi, lo] = (number as u16).to_be_bytes();
    NodeId(SocketAddr::from(([10, 0, hi, lo], 7101)))
}

/// Returns settings of node `number` in `zone`, whose first contact is node 0.
pub fn settings(number: usize, zone: &str) -> Settings {
    Settings {
        node: id(number),
        incarnation: 1_000,
        zone: zone.parse().expect("a zone"),
        region: "r".parse().expect("a region"),
        peers: vec![id(0)],
        ..Settings::default()
    }
}

impl Net {
    /// Creates a network without nodes; `seed` fixes every random choice.
    pub fn new(seed: u64) -> Net {
        Net {
            now: Ms(1_000_000),
            nodes: BTreeMap::new(),
            logs: Vec::new(),
            exited: BTreeSet::new(),
            table: MemoryPlatform::default(),
            bytes: BTreeMap::new(),
            duplicate: 0,
            delay: 2,
            packets: Vec::new(),
            paths: BTreeMap::new(),
            paused: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            sent: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Starts node `idx` in `zones[idx]` for each zone, and runs for 20 s, in which all join.
    pub fn settled(seed: u64, zones: &[&str]) -> Net {
        let mut net = Net::new(seed);
        for (number, zone) in zones.iter().enumerate() {
            net.start(settings(number, zone));
        }
        net.run(20_000);
        net
    }

    /// Starts or restarts a node.
    pub fn start(&mut self, settings: Settings) {
        let node = settings.node;
        let seed = self.rng.random();
        self.nodes.insert(node, Kernel::new(settings, seed));
        self.step(node, Event::Start);
    }

    /// Kills a node's process.
    pub fn kill(&mut self, number: usize) {
        self.nodes.remove(&id(number));
    }

    /// Pauses a process until [`Net::resume`]; events that arrive meanwhile are queued.
    pub fn pause(&mut self, number: usize) {
        self.paused.insert(id(number), Vec::new());
    }

    pub fn resume(&mut self, number: usize) {
        for event in self.paused.remove(&id(number)).unwrap_or_default() {
            self.step(id(number), event);
        }
    }

    /// Sets the path from one node to another.
    pub fn path(&mut self, from: usize, to: usize, path: Path) {
        self.paths.insert((id(from), id(to)), path);
    }

    /// Partitions `group` from all other nodes, in both directions.
    pub fn cut(&mut self, group: &[usize]) {
        let inside = |it: &NodeId| group.iter().any(|number| id(*number) == *it);
        let all: Vec<NodeId> = self.nodes.keys().copied().collect();
        for from in &all {
            for to in all.iter().filter(|to| inside(from) != inside(to)) {
                self.paths.insert((*from, *to), Path::Cut);
            }
        }
    }

    pub fn heal(&mut self) {
        self.paths.clear();
    }

    /// Runs for `millis` ms.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            let next = self.now + TICK;
            while let Some(entry) = self.in_flight.first_entry() {
                if entry.key().0 > next {
                    break;
                }
                let ((at, _), (to, event)) = entry.remove_entry();
                self.now = self.now.max(at);
                self.step(to, event);
            }
            self.now = next;
            for node in self.nodes.keys().copied().collect::<Vec<_>>() {
                if !self.paused.contains_key(&node) {
                    self.step(node, Event::Tick);
                }
            }
        }
    }

    /// Passes an event to a node.
    pub fn step(&mut self, node: NodeId, event: Event) {
        if let Some(waiting) = self.paused.get_mut(&node) {
            return waiting.push(event);
        }
        let Some(kernel) = self.nodes.get_mut(&node) else {
            return;
        };
        let mut actions = Vec::new();
        kernel.step(self.now, event, &mut actions);
        for action in actions {
            self.act(node, action);
        }
    }

    fn act(&mut self, node: NodeId, action: Action) {
        match action {
            Action::Send { to, message } => {
                self.count(node, &message, MESSAGE_MAX);
                if self.paths.get(&(node, to)) != Some(&Path::Cut) {
                    let from = node;
                    self.schedule(to, self.delay, Event::Message { from, message });
                }
            }
            Action::Probe { to, packet } => self.datagram(node, to, packet),
            Action::Table { call, op } => {
                let answer = self.table.table_now(&op);
                self.schedule(node, 10, Event::Table { call, answer });
            }
            Action::Log { event, pairs } => {
                let text: Vec<String> = pairs.iter().map(|(k, v)| format!("{k}={v}")).collect();
                self.logs.push((self.now, node, event, text.join(" ")));
            }
            Action::Exit => {
                self.exited.insert(node);
                self.nodes.remove(&node);
            }
            Action::Object { .. }
            | Action::Reply { .. }
            | Action::CheckSource
            | Action::Publish(_) => {}
        }
    }

    fn datagram(&mut self, from: NodeId, to: NodeId, packet: Packet) {
        self.count(from, &packet, DATAGRAM_MAX);
        self.packets.push((self.now, from, to, packet.clone()));
        let lost = match self.paths.get(&(from, to)) {
            Some(Path::Cut) => 100,
            Some(Path::Lossy(percent)) => *percent,
            None => 0,
        };
        if self.rng.random_range(0..100) < lost {
            return;
        }
        for _ in 0..1 + u32::from(self.rng.random_range(0..100) < self.duplicate) {
            let delay = self.rng.random_range(1..=self.delay);
            let packet = packet.clone();
            self.schedule(to, delay, Event::Probe { from, packet });
        }
    }

    /// Counts the bytes that `node` sent, with 28 bytes of packet headers and 8 of the link's, and
    /// checks the length.
    fn count<T: serde::Serialize>(&mut self, node: NodeId, body: &T, max: usize) {
        let len = postcard::to_stdvec(body).expect("it encodes").len();
        assert!(len <= max, "{len} bytes in one frame");
        *self.bytes.entry(node).or_default() += len as u64 + 36;
    }

    fn schedule(&mut self, to: NodeId, delay: u64, event: Event) {
        self.sent += 1;
        let key = (self.now + delay, self.sent);
        self.in_flight.insert(key, (to, event));
    }
}

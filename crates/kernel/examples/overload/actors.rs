//! Entries and owners of a simulation.

use std::{
    collections::{HashMap, VecDeque},
    net::{Ipv4Addr, SocketAddr},
};

use laburnum_kernel::{
    Ms, Name, NodeId,
    admission::{Admission, AdmissionSettings, Permit, Ticket},
    id::Build,
    members::{Exposure, Phase},
    pick::{Picker, Place},
    retry::Budget,
    view::Endpoint,
};

use crate::scenario::{Scenario, Upstreams};

/// Warm-up of a restarted endpoint, in ms.
const RAMP_MS: u64 = 5_000;

/// An entry node.
pub struct Entry {
    pub picker: Picker,
    pub budget: Budget,
    pub zone: usize,
    /// Round robin position of the baseline policy.
    pub turn: usize,
}

/// A node and the upstream beside it.
pub struct Owner {
    pub admission: Admission,
    pub node: NodeId,
    pub zone: usize,
    /// Factor on the service time.
    pub slowdown: f64,
    pub processors: Option<f64>,
    pub silent: bool,
    pub running: usize,
    pub waiting: HashMap<Ticket, (usize, u32)>,
    pub permits: HashMap<(usize, u32), Permit>,
    pub backlog: VecDeque<(usize, u32)>,
}

impl Owner {
    pub fn new(scenario: &Scenario, settings: &AdmissionSettings, idx: usize) -> Owner {
        let mut admission = Admission::new(settings.clone(), scenario.slots);
        admission.set_phase(Ms(0), Phase::Ready, &mut Vec::new());
        let slow = scenario.upstreams == Upstreams::Slow && idx.is_multiple_of(3);
        let oversold = scenario.upstreams == Upstreams::Oversold;
        let port = u16::try_from(idx).expect("few endpoints");
        Owner {
            admission,
            node: NodeId(SocketAddr::from((Ipv4Addr::LOCALHOST, port))),
            zone: idx % scenario.zones,
            slowdown: if slow { 3.0 } else { 1.0 },
            processors: oversold.then(|| f64::from(scenario.slots) / 3.0),
            silent: scenario.upstreams == Upstreams::Silent && idx == 0,
            running: 0,
            waiting: HashMap::new(),
            permits: HashMap::new(),
            backlog: VecDeque::new(),
        }
    }

    /// Returns the maximum throughput per slot relative to an ordinary upstream.
    pub fn capacity(&self) -> f64 {
        let share = if self.processors.is_some() {
            1.0 / 3.0
        } else {
            1.0
        };
        share / self.slowdown
    }

    pub fn endpoint(&self, slots: u16) -> Endpoint {
        Endpoint {
            reach: Default::default(),
            node: self.node,
            incarnation: 1,
            traffic: self.node.0,
            region: name("region"),
            zone: name(&format!("zone-{}", self.zone)),
            phase: Phase::Ready,
            slots,
            build: Build::default(),
            exposure: Exposure::Full,
        }
    }
}

impl Entry {
    pub fn new(zone: usize, turn: usize, endpoints: &[Endpoint]) -> Entry {
        let place = Place {
            region: name("region"),
            zone: name(&format!("zone-{zone}")),
        };
        let mut picker = Picker::new(place);
        picker.refresh(Ms(0), endpoints, RAMP_MS);
        Entry {
            picker,
            budget: Budget::new(Ms(0), 10),
            zone,
            turn,
        }
    }
}

fn name(text: &str) -> Name {
    text.parse().expect("a literal name is valid")
}

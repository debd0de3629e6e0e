//! The entries and owners of a run.

use std::{
    collections::{HashMap, VecDeque},
    net::{Ipv4Addr, SocketAddr},
};

use laburnum_kernel::{
    Ms, Name, NodeId,
    admission::{Admission, AdmissionSettings, Permit, Ticket},
    members::Phase,
    pick::{Picker, Place},
    retry::Budget,
    view::Endpoint,
};

use crate::scenario::{Scenario, Upstreams};

/// Time over which entries give a restarted endpoint its full share, in ms.
const RAMP: u64 = 5_000;

/// An entry node.
pub struct Entry {
    pub picker: Picker,
    pub budget: Budget,
    pub zone: usize,
    pub turn: usize,
}

/// A node and the upstream beside it.
pub struct Owner {
    pub admission: Admission,
    pub node: NodeId,
    pub zone: usize,
    pub factor: f64,
    pub processors: Option<f64>,
    pub silent: bool,
    pub running: usize,
    pub waiting: HashMap<Ticket, (usize, u32)>,
    pub permits: HashMap<(usize, u32), Permit>,
    pub backlog: VecDeque<(usize, u32)>,
}

impl Owner {
    pub fn new(scenario: &Scenario, settings: &AdmissionSettings, at: usize) -> Owner {
        let mut admission = Admission::new(settings.clone(), scenario.slots);
        admission.set_phase(Ms(0), Phase::Ready, &mut Vec::new());
        let slow = scenario.upstreams == Upstreams::Slow && at.is_multiple_of(3);
        let oversold = scenario.upstreams == Upstreams::Oversold;
        let port = u16::try_from(at).expect("few endpoints");
        Owner {
            admission,
            node: NodeId(SocketAddr::from((Ipv4Addr::LOCALHOST, port))),
            zone: at % scenario.zones,
            factor: if slow { 3.0 } else { 1.0 },
            processors: oversold.then(|| f64::from(scenario.slots) / 3.0),
            silent: scenario.upstreams == Upstreams::Silent && at == 0,
            running: 0,
            waiting: HashMap::new(),
            permits: HashMap::new(),
            backlog: VecDeque::new(),
        }
    }

    /// Work done at best, as a share of that of ordinary slots.
    pub fn capacity(&self) -> f64 {
        let share = if self.processors.is_some() {
            1.0 / 3.0
        } else {
            1.0
        };
        share / self.factor
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
        picker.refresh(Ms(0), endpoints, RAMP);
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

//! What a kernel is told once, at start.

use std::net::{Ipv4Addr, SocketAddr};

use crate::{
    drain::NOTICE_MS,
    id::{Name, NodeId},
    import::Watch,
    once::OnceSettings,
};

/// Settings of one kernel. The driver has checked them.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This node's control address, which is also its identity.
    pub node: NodeId,
    /// Start of this process in milliseconds since the epoch; grows with each restart.
    pub incarnation: u64,
    /// Where other nodes send this one requests.
    pub traffic: SocketAddr,
    /// Region of this node.
    pub region: Name,
    /// Availability zone of this node.
    pub zone: Name,
    /// Control addresses of nodes to contact first. Default: none.
    pub peers: Vec<NodeId>,
    /// Where the configuration comes from. Default: submitted.
    pub origin: Origin,
    /// Whether this node watches an external source. Default: always.
    pub watch: Watch,
    /// How submissions are taken. Default: [`AcceptSettings::default`].
    pub accept: AcceptSettings,
    /// How configuration spreads. Default: [`SpreadSettings::default`].
    pub spread: SpreadSettings,
    /// How claims are kept. Default: [`OnceSettings::default`].
    pub once: OnceSettings,
    /// Shortest time from a stop to the exit, in ms. Default: [`NOTICE_MS`].
    pub notice: u64,
}

/// Where the configuration comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Origin {
    /// Operators submit documents to the nodes, which keep them as a log in the platform's table.
    #[default]
    Submitted,
    /// An external source holds it whole and versioned; the nodes follow it.
    Imported,
}

/// How submissions are taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptSettings {
    /// How long a committer gathers submissions into one transaction, in ms; at most
    /// [`WINDOW_MAX`](crate::accept::WINDOW_MAX). Two to one service within it conflict. Default: 20.
    pub window: u64,
}

impl Default for AcceptSettings {
    fn default() -> AcceptSettings {
        AcceptSettings { window: 20 }
    }
}

/// How configuration spreads, and the baselines it is measured against.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpreadSettings {
    /// Which mechanism carries changes to the nodes. Default: relays.
    pub mode: SpreadMode,
    /// Whether changes travel as deltas. Default: deltas.
    pub form: SpreadForm,
    /// How long a committer or relay gathers accepted changes before passing them on, in ms. Default: 20.
    pub window: u64,
    /// Control bytes a second this node may send, averaged over a minute. Default: 2048.
    pub budget: u64,
    /// Bytes a second of long answers to nodes that lag far behind, averaged over a minute. Default: 16384.
    pub catchup: u64,
    /// Such answers given at once; further askers are refused. Default: 2.
    pub slots: usize,
    /// Mean time between two comparisons with a random peer, in ms. Default: 2000.
    pub repair: u64,
    /// Relays in each availability zone. Default: 2.
    pub relays: usize,
    /// Most nodes that one node pushes to. Default: 4.
    pub degree: usize,
}

/// Which mechanism carries changes to the nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpreadMode {
    /// Relays in each availability zone read the table and push down a tree, with repair.
    Relays,
    /// Every node polls the table; a baseline.
    Poll,
}

/// The form in which changes travel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpreadForm {
    /// The difference to the revision before.
    Delta,
    /// The full document; a baseline.
    Full,
}

impl SpreadSettings {
    /// Favours convergence time: a short window and frequent comparisons.
    pub fn nile() -> SpreadSettings {
        SpreadSettings::default()
    }

    /// Favours control bytes: a long window, so that changes which arrive together travel together.
    pub fn cascadia() -> SpreadSettings {
        SpreadSettings {
            window: 2_000,
            repair: 4_000,
            ..SpreadSettings::default()
        }
    }
}

impl Default for SpreadSettings {
    fn default() -> SpreadSettings {
        SpreadSettings {
            mode: SpreadMode::Relays,
            form: SpreadForm::Delta,
            window: 20,
            budget: 2048,
            catchup: 16 * 1024,
            slots: 2,
            repair: 2_000,
            relays: 2,
            degree: 4,
        }
    }
}

impl Default for Settings {
    fn default() -> Settings {
        let loopback = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let name = |text: &str| text.parse().expect("a literal name is valid");
        Settings {
            node: NodeId(loopback(7101)),
            incarnation: 1,
            traffic: loopback(7100),
            region: name("local"),
            zone: name("local-a"),
            peers: Vec::new(),
            origin: Origin::default(),
            watch: Watch::default(),
            accept: AcceptSettings::default(),
            spread: SpreadSettings::default(),
            once: OnceSettings::default(),
            notice: NOTICE_MS,
        }
    }
}

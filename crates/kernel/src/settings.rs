//! Settings that a kernel gets at its start.

use std::net::{Ipv4Addr, SocketAddr};

use crate::{
    drain::NOTICE_MS,
    id::{Name, NodeId},
    import::Watch,
    once::OnceSettings,
    quota::QuotaSettings,
};

/// Settings of one kernel, already checked by the driver.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This node's control address, which is also its identity.
    pub node: NodeId,
    /// Start of this process in ms since the epoch; grows with each restart.
    pub incarnation: u64,
    /// Address for requests from other nodes.
    pub traffic: SocketAddr,
    /// Region of this node.
    pub region: Name,
    /// Availability zone of this node.
    pub zone: Name,
    /// Control addresses of the nodes to contact first. Default: none.
    pub peers: Vec<NodeId>,
    /// Origin of the configuration. Default: submitted.
    pub origin: Origin,
    /// When this node watches an external source. Default: always.
    pub watch: Watch,
    /// Submissions. Default: [`AcceptSettings::default`].
    pub accept: AcceptSettings,
    /// Distribution of configuration. Default: [`SpreadSettings::default`].
    pub spread: SpreadSettings,
    /// Claims. Default: [`OnceSettings::default`].
    pub once: OnceSettings,
    /// Tolerance of customers' quotas. Default: [`QuotaSettings::default`].
    pub quota: QuotaSettings,
    /// Minimum time from a stop until a node with an upstream leaves, in ms. Default: [`NOTICE_MS`].
    pub notice: u64,
}

/// Origin of the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Origin {
    /// Operators submit documents to the nodes, which keep them as a log in the platform's table.
    #[default]
    Submitted,
    /// An external source holds the configuration as complete versions, which the nodes import.
    Imported,
}

/// Settings of submissions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptSettings {
    /// How long a committer batches submissions into one transaction, in ms; at most
    /// [`WINDOW_MAX`](crate::accept::WINDOW_MAX). Two submissions to one service within it
    /// conflict. Default: 20.
    pub window: u64,
}

impl Default for AcceptSettings {
    fn default() -> AcceptSettings {
        AcceptSettings { window: 20 }
    }
}

/// Settings of the distribution of configuration. Some variants are baselines for measurements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpreadSettings {
    /// Mechanism that distributes changes. Default: relays.
    pub mode: SpreadMode,
    /// Form in which changes are sent. Default: deltas.
    pub form: SpreadForm,
    /// How long a committer or relay batches accepted changes before it sends them on, in ms.
    /// Default: 20.
    pub window: u64,
    /// Budget of control traffic that this node sends, in bytes per second averaged over a minute.
    /// Default: 2048.
    pub budget: u64,
    /// Budget of answers to pulls, in bytes per second averaged over a minute. Default: 16384.
    pub catchup: u64,
    /// Maximum number of concurrent answers too long for one message; further ones are refused.
    /// Default: 2.
    pub slots: usize,
    /// Mean time between two comparisons with a random peer, in ms. Default: 2000.
    pub repair: u64,
    /// Number of relays in each availability zone. Default: 2.
    pub relays: usize,
    /// Maximum number of children of a node in a push tree. Default: 4.
    pub degree: usize,
}

/// Mechanism that distributes changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpreadMode {
    /// Relays in each availability zone read the table and push changes down a tree; comparisons
    /// with peers repair losses.
    Relays,
    /// Every node polls the table; a baseline.
    Poll,
}

/// Form in which changes are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpreadForm {
    /// The difference from a text that the receiver holds, or the full document if that is shorter.
    Delta,
    /// The full document; a baseline.
    Full,
}

impl SpreadSettings {
    /// Preset with a short convergence time: a short window and frequent comparisons.
    pub fn nile() -> SpreadSettings {
        SpreadSettings::default()
    }

    /// Preset with little control traffic: a long window, so that changes close in time are sent
    /// together, and rare comparisons.
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
            quota: QuotaSettings::default(),
            notice: NOTICE_MS,
        }
    }
}

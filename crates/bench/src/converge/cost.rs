//! Control bytes between two moments.

use std::time::Instant;

use laburnum_edge::link::Kind;
use serde::Serialize;

use crate::fleet::Fleet;

/// Counters of every place at one moment. A place that is down counts nothing.
#[derive(Clone, Debug)]
pub struct Reading {
    taken: Instant,
    nodes: Vec<Node>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Node {
    link: u64,
    spread: u64,
    read: u64,
    written: u64,
}

/// Bytes a second of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Cost {
    /// Seconds measured.
    pub seconds: f64,
    /// Sent over the link, mean of the nodes.
    pub link_mean: f64,
    /// Sent over the link by the node that sent most.
    pub link_worst: f64,
    /// The same, as an average over one minute.
    pub link_worst_minute: f64,
    /// Of `link_mean`, that which carries configuration.
    pub spread_mean: f64,
    /// Read from the platform, mean of the nodes.
    pub read_mean: f64,
    /// Written to the platform, mean of the nodes: acceptance, whatever then spreads it.
    pub written_mean: f64,
}

const MINUTE_S: f64 = 60.0;

impl Reading {
    /// The counters now; those of the link may be a second old.
    pub fn take(fleet: &Fleet) -> Reading {
        let spread = Kind::ALL.iter().position(|it| *it == Kind::Spread);
        let nodes = (0..fleet.len()).map(|idx| {
            let stats = fleet.node(idx).map(|it| it.control().stats());
            let sent = stats.map(|it| it.traffic.sent).unwrap_or_default();
            Node {
                link: sent.iter().sum(),
                spread: spread.map_or(0, |it| sent[it]),
                read: fleet.metered(idx).read(),
                written: fleet.metered(idx).written(),
            }
        });
        Reading {
            taken: Instant::now(),
            nodes: nodes.collect(),
        }
    }

    /// What was spent from `self` to `later`. A process that started between counts from zero.
    pub fn until(&self, later: &Reading) -> Cost {
        let seconds = later
            .taken
            .duration_since(self.taken)
            .as_secs_f64()
            .max(f64::MIN_POSITIVE);
        let pairs = || self.nodes.iter().zip(&later.nodes);
        let spent = |read: fn(&Node) -> u64| {
            let spent = pairs().map(|(lhs, rhs)| match read(rhs).checked_sub(read(lhs)) {
                Some(it) => it,
                None => read(rhs),
            });
            spent.map(|it| it as f64).collect::<Vec<_>>()
        };
        let mean = |it: Vec<f64>| it.iter().sum::<f64>() / it.len().max(1) as f64 / seconds;
        let link = spent(|it| it.link);
        let worst = link.iter().copied().fold(0.0, f64::max);
        Cost {
            seconds,
            link_mean: mean(link),
            link_worst: worst / seconds,
            link_worst_minute: worst / seconds.max(MINUTE_S),
            spread_mean: mean(spent(|it| it.spread)),
            read_mean: mean(spent(|it| it.read)),
            written_mean: mean(spent(|it| it.written)),
        }
    }
}

impl Cost {
    /// Bytes of a node for each of `changes`, of what carries configuration to the nodes: the link's spread
    /// messages and the platform's reads.
    pub fn spreading(&self, changes: usize) -> f64 {
        (self.spread_mean + self.read_mean) * self.seconds / changes.max(1) as f64
    }
}

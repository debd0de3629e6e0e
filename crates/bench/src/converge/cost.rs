//! Control traffic of the fleet between two readings.

use std::time::Instant;

use laburnum_edge::link::Kind;
use serde::Serialize;

use crate::fleet::Fleet;

/// Byte counters of every place at one time; the link counters of a place that is down are zero.
#[derive(Clone, Debug)]
pub struct Reading {
    taken: Instant,
    nodes: Vec<Counters>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counters {
    link: u64,
    spread: u64,
    read: u64,
    written: u64,
}

/// Control traffic in bytes per second and node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Cost {
    /// Duration of the measurement in seconds.
    pub seconds: f64,
    /// Sent over the link, mean over the nodes.
    pub link_mean: f64,
    /// Sent over the link by the node that sent most.
    pub link_worst: f64,
    /// The same, averaged over at least one minute.
    pub link_worst_minute: f64,
    /// Part of `link_mean` that distributes configuration.
    pub spread_mean: f64,
    /// Exchanged with the platform by reads, mean over the nodes.
    pub read_mean: f64,
    /// Exchanged with the platform by writes, mean over the nodes.
    pub written_mean: f64,
}

const MINUTE_S: f64 = 60.0;

impl Reading {
    /// Reads the counters; those of the link may be a second old.
    pub fn take(fleet: &Fleet) -> Reading {
        let spread = Kind::ALL.iter().position(|it| *it == Kind::Spread);
        let nodes = (0..fleet.len()).map(|idx| {
            let stats = fleet.node(idx).map(|it| it.control().stats());
            let sent = stats.map(|it| it.traffic.sent).unwrap_or_default();
            Counters {
                link: sent.iter().sum(),
                spread: spread.map_or(0, |it| sent[it]),
                read: fleet.metered(idx).read_bytes(),
                written: fleet.metered(idx).written_bytes(),
            }
        });
        Reading {
            taken: Instant::now(),
            nodes: nodes.collect(),
        }
    }

    /// Returns the cost between `self` and `later`. Counters of a node restarted in between start at zero.
    pub fn cost_until(&self, later: &Reading) -> Cost {
        let seconds = later
            .taken
            .duration_since(self.taken)
            .as_secs_f64()
            .max(f64::MIN_POSITIVE);
        let pairs = || self.nodes.iter().zip(&later.nodes);
        let spent = |read: fn(&Counters) -> u64| {
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
    /// Returns the bytes per node and change that distribute configuration: the link's spread messages and
    /// the platform's reads.
    pub fn bytes_per_change(&self, changes: usize) -> f64 {
        (self.spread_mean + self.read_mean) * self.seconds / changes.max(1) as f64
    }
}

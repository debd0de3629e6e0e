//! Since when the version held was surely the newest, by a bound that no delay makes younger.
//!
//! A key that was taken away must stop working everywhere after a fixed time, also at a node that
//! was paused, cut off, or reads messages late. The age in a [`Confirmation`] counts from its
//! sending, so a delayed message would make an old confirmation look recent. Here every time is
//! one of this node's own clock: when it asked the source, or a time that an exchange with a peer
//! proves to lie before. A peer dates its statements by its own clock; each answered query shows
//! which reading of that clock came after the query was sent.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Confirmation;
use crate::{clock::Ms, id::NodeId};

/// Dates what a node knows by its own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dated {
    /// The sender's clock when it sent this.
    pub clock: Ms,
    /// Incarnation of the sender; clocks of two processes are not comparable.
    pub process: u64,
    /// When the receiver sent the query that this answers, by the receiver's clock.
    pub query: Option<Ms>,
    /// What the sender surely knows, with its age at `clock`.
    pub known: Confirmation,
}

/// What this node surely knows about its version.
#[derive(Debug, Default)]
pub(super) struct Knowledge {
    /// The version held.
    held: u64,
    /// Latest time at which that version was surely the newest.
    since: Ms,
    /// The newest version known, if it is not held yet, and when it was the newest.
    missing: Option<(u64, Ms)>,
    peers: BTreeMap<NodeId, PeerClock>,
}

/// Lower bound of the own time at a reading of a peer's clock.
#[derive(Clone, Copy, Debug)]
struct PeerClock {
    process: u64,
    /// Own time minus the peer's, in ms: it may be below zero.
    offset: i64,
}

/// Number of peers whose clocks are remembered; a node queries only a few.
const PEERS_MAX: usize = 64;

impl Knowledge {
    /// Returns the latest time at which the version held was surely the newest; zero if never.
    pub fn since(&self) -> Ms {
        self.since
    }

    /// Returns what this node can tell others.
    pub fn latest(&self, now: Ms) -> Confirmation {
        Confirmation {
            version: self.held,
            age: now.since(self.since),
        }
    }

    /// Records that `version` was applied.
    pub fn record_applied(&mut self, version: u64) {
        self.held = version;
        // A version contains all that earlier ones revoked, so it was up to date whenever one of those was the newest.
        if let Some((_, at)) = self.missing.take_if(|it| it.0 <= version) {
            self.since = self.since.max(at);
        }
    }

    /// Records that the source held nothing newer than `version` at some time after `at`.
    pub fn record_confirmed(&mut self, at: Ms, version: u64) {
        if version == self.held {
            self.since = self.since.max(at);
        } else if version > self.held {
            let newer = (version, at);
            self.missing = self.missing.max(Some(newer));
        }
        // A lower version comes from a source that was restored to an older copy, or from long ago.
    }

    /// Records what `from` knows.
    pub fn record_peer(&mut self, from: NodeId, dated: &Dated) {
        if let Some(query) = dated.query {
            self.record_exchange(from, dated, query);
        }
        let Some(clock) = self.peers.get(&from) else {
            return;
        };
        if clock.process != dated.process {
            return;
        }
        let told = dated.clock.0 as i64 - dated.known.age as i64;
        let at = Ms(told.saturating_add(clock.offset).max(0) as u64);
        self.record_confirmed(at, dated.known.version);
    }

    fn record_exchange(&mut self, from: NodeId, dated: &Dated, query: Ms) {
        if self.peers.len() >= PEERS_MAX && !self.peers.contains_key(&from) {
            self.peers.clear();
        }
        let measured = PeerClock {
            process: dated.process,
            offset: query.0 as i64 - dated.clock.0 as i64,
        };
        let known = self.peers.entry(from).or_insert(measured);
        match known.process == measured.process {
            true => known.offset = known.offset.max(measured.offset),
            false => *known = measured,
        }
    }
}

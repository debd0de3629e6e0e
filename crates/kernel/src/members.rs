//! Members: who is there, and in which phase.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{
    event::{self, Event, Notice, UpstreamEvent},
    id::{Name, NodeId},
    kernel::{Context, Plugin, State},
    settings::Settings,
};

inventory::submit! { Plugin { name: "members", order: 10, handle } }

/// What one node tells of itself. Only its owner changes it; a higher (incarnation, version) wins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The node.
    pub id: NodeId,
    /// Start of its process; grows with each restart and each refutation.
    pub incarnation: u64,
    /// Grows with each change of the record within an incarnation.
    pub version: u64,
    /// Phase of the upstream beside it.
    pub phase: Phase,
    /// Where other nodes send it requests.
    pub traffic: SocketAddr,
    /// Region.
    pub region: Name,
    /// Availability zone.
    pub zone: Name,
    /// The service of the upstream beside it, if one announced itself.
    pub offer: Option<Offer>,
}

/// What the upstream beside a node serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The service.
    pub service: Name,
    /// Requests that it handles at once.
    pub slots: u16,
}

/// Phase of the upstream beside a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Not ready for work yet.
    Warming,
    /// Takes work.
    Ready,
    /// Takes no new work.
    Draining,
    /// Left.
    Gone,
}

/// A probe datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Packet {
    /// Are you there? Carries records that changed lately.
    Ping { number: u64, records: Vec<Record> },
    /// Yes.
    Ack { number: u64, records: Vec<Record> },
}

/// Member records exchanged in bulk over the link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Here is all I know; tell me what you know.
    Join { records: Vec<Record> },
    /// What I know.
    Records { records: Vec<Record> },
}

/// Who is there.
#[derive(Debug)]
pub struct Members {
    own: Record,
    others: BTreeMap<NodeId, Record>,
}

impl Members {
    /// Knows only this node.
    pub fn new(settings: &Settings) -> Members {
        Members {
            own: Record {
                id: settings.node,
                incarnation: settings.incarnation,
                version: 0,
                phase: Phase::Warming,
                traffic: settings.traffic,
                region: settings.region.clone(),
                zone: settings.zone.clone(),
                offer: None,
            },
            others: BTreeMap::new(),
        }
    }

    /// This node's record.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// Every member that has not left, this node first.
    pub fn alive(&self) -> impl Iterator<Item = &Record> {
        std::iter::once(&self.own)
            .chain(self.others.values())
            .filter(|it| it.phase != Phase::Gone)
    }

    /// Members that may do work for others: relay, commit, own buckets.
    pub fn ready(&self) -> impl Iterator<Item = &Record> {
        self.alive().filter(|it| it.phase != Phase::Draining)
    }

    fn learn(&mut self, record: &Record) -> bool {
        if record.id == self.own.id {
            return false;
        }
        let known = self.others.get(&record.id);
        let newer = known
            .is_none_or(|it| (it.incarnation, it.version) < (record.incarnation, record.version));
        if newer {
            self.others.insert(record.id, record.clone());
        }
        newer
    }

    fn everyone(&self) -> Vec<Record> {
        self.alive().cloned().collect()
    }
}

fn handle(cx: &mut Context<'_>, state: &mut State, event: &Event) {
    match event {
        Event::Start => join(cx, state),
        Event::Message {
            from,
            message: event::Message::Members(message),
        } => received(cx, state, *from, message),
        Event::Upstream(it) => upstream(cx, state, it),
        Event::Notice(Notice::Own) => join(cx, state),
        _ => {}
    }
}

fn join(cx: &mut Context<'_>, state: &mut State) {
    let mut targets = cx.settings.peers.clone();
    targets.extend(state.members.others.keys());
    targets.sort_unstable();
    targets.dedup();
    let records = state.members.everyone();
    for to in targets.into_iter().filter(|it| *it != cx.settings.node) {
        let records = records.clone();
        cx.send(to, event::Message::Members(Message::Join { records }));
    }
}

fn received(cx: &mut Context<'_>, state: &mut State, from: NodeId, message: &Message) {
    let (Message::Join { records } | Message::Records { records }) = message;
    let mut changed = false;
    for record in records {
        changed |= state.members.learn(record);
    }
    if changed {
        cx.raise(Notice::Members);
    }
    if matches!(message, Message::Join { .. }) {
        let records = state.members.everyone();
        cx.send(from, event::Message::Members(Message::Records { records }));
    }
}

fn upstream(cx: &mut Context<'_>, state: &mut State, event: &UpstreamEvent) {
    let own = &mut state.members.own;
    match event {
        UpstreamEvent::Announced { service, slots } => {
            own.offer = Some(Offer {
                service: service.clone(),
                slots: *slots,
            });
        }
        UpstreamEvent::Ready => own.phase = Phase::Ready,
        UpstreamEvent::Warming => own.phase = Phase::Warming,
        UpstreamEvent::Draining => own.phase = Phase::Draining,
        UpstreamEvent::Gone => own.offer = None,
    }
    own.version += 1;
    cx.raise(Notice::Own);
    cx.raise(Notice::Members);
}

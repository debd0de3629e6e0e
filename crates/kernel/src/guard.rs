//! Quarantine of requests that crash their upstream.
//!
//! A node whose upstream crashed reports the fingerprints of the requests in flight to the nodes of the service. After
//! one crash these are suspects; one that was in flight in a second crash is quarantined on all nodes for
//! [`QUARANTINE_MS`]. Quarantines spread by gossip and anti-entropy.

mod gossip;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{
    clock::Ms,
    event::{self, Event, Notice, UpstreamEvent},
    id::{Name, NodeId, Token},
    kernel::{Context, Plugin, Scope, State},
    utils::hash64,
};

inventory::submit! { Plugin { name: "guard", order: 60, scope: Scope::Any, handle } }

/// Duration of a quarantine, and time for which a crash counts, in ms.
pub const QUARANTINE_MS: u64 = 10 * 60 * 1_000;

/// Maximum number of fingerprints per crash; further ones are dropped.
pub const PRINTS_MAX: usize = 64;

/// Maximum number of stored crashes; the oldest are dropped first.
pub const CRASHES_MAX: usize = 128;

/// Maximum number of stored records; those that expire first are dropped first.
pub const RECORDS_MAX: usize = 128;

/// Number of crashes after which a request is quarantined. A crash takes down other requests with the one that caused it:
/// quarantining on the first would let one request have all those refused that it met.
const CRASHES_TO_QUARANTINE: usize = 2;

/// Hash of a request, the same on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Returns the fingerprint of a request to `service`. `path` includes the query; `caller` is the caller's name, or
    /// empty where callers are not distinguished; `body` is the BLAKE3 hash of the whole body.
    ///
    /// The idempotency key is left out, as a caller may send the same request again under a new key.
    pub fn of(
        service: &Name,
        method: &str,
        path: &str,
        caller: &str,
        body: &[u8; 32],
    ) -> Fingerprint {
        let parts = [service.as_str(), method, path, caller].map(str::as_bytes);
        let [service, method, path, caller] = parts;
        Fingerprint(hash64(&[service, method, path, caller, body]))
    }
}

/// A crash of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The node beside the upstream.
    pub node: NodeId,
    /// Time of the crash by that node's clock; identifies the crash together with the node.
    pub time: Ms,
    /// Fingerprints of the requests in flight, at most [`PRINTS_MAX`].
    pub prints: Vec<Fingerprint>,
}

/// Quarantine record of one request; the one with the higher (time, state) wins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Fingerprint of the request.
    pub print: Fingerprint,
    /// Service whose upstreams it crashes.
    pub service: Name,
    /// Time at which it was quarantined or lifted; the record expires [`QUARANTINE_MS`] later.
    pub time: Ms,
    /// Whether it is quarantined or lifted.
    pub state: QuarantineState,
}

/// State of a quarantine record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum QuarantineState {
    /// The request is refused as not run.
    Held,
    /// An operator lifted the quarantine; earlier crashes no longer count.
    Lifted,
}

/// Fingerprints of quarantined requests and suspects; part of the view.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Quarantined {
    held: BTreeSet<Fingerprint>,
    suspects: BTreeSet<Fingerprint>,
}

impl Quarantined {
    /// Returns whether no request is quarantined or suspect.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty() && self.suspects.is_empty()
    }

    /// Returns the number of quarantined requests.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Returns whether the request is quarantined and must be refused as not run.
    pub fn is_held(&self, print: Fingerprint) -> bool {
        self.held.contains(&print)
    }

    /// Returns whether the request was in flight in a crash. An owner runs at most one suspect at a time, so that a
    /// second crash identifies the cause.
    pub fn is_suspect(&self, print: Fingerprint) -> bool {
        self.suspects.contains(&print)
    }
}

/// Message between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Crashes of the service's upstreams, sent to the nodes of the service.
    Crashes { service: Name, crashes: Vec<Crash> },
    /// The request ran without a crash at `time`.
    Survived { print: Fingerprint, time: Ms },
    /// Quarantine records, sent to any node.
    Records { records: Vec<Record> },
    /// Digest of all records of the sender, which asks for the receiver's records if its digest differs.
    Digest { digest: u64 },
}

/// Call from a traffic thread or an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// The upstream crashed with these requests in flight; their outcomes are unknown.
    Crashed { prints: Vec<Fingerprint> },
    /// A suspect ran without a crash.
    Survived { print: Fingerprint },
    /// Lists the records of quarantined and lifted requests.
    List,
    /// Ends a quarantine on all nodes.
    Lift {
        print: Fingerprint,
        author: String,
        note: String,
    },
}

/// Reply to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Reply to [`Call::Crashed`] and [`Call::Survived`].
    Noted,
    /// Reply to [`Call::List`].
    Listed(Vec<Record>),
    /// Reply to [`Call::Lift`].
    Lifted,
    /// Reply to [`Call::Lift`]: this node has no such quarantine.
    Absent,
}

/// State of the plug-in.
#[derive(Debug, Default)]
pub struct Guard {
    /// Crashes of this node's service, by time and node.
    crashes: BTreeMap<(Ms, NodeId), Vec<Fingerprint>>,
    /// Times up to which crashes no longer count, of requests that ran without a crash.
    survived: BTreeMap<Fingerprint, Ms>,
    records: BTreeMap<Fingerprint, Record>,
    /// Last service announced by the upstream beside this node. Kept after the upstream is gone, as its crash is often
    /// reported later.
    service: Option<Name>,
    gossip: gossip::GossipState,
}

impl Guard {
    /// Returns the current quarantines and suspects for the view.
    pub fn quarantined(&self) -> Arc<Quarantined> {
        let held = self
            .records
            .values()
            .filter(|it| it.state == QuarantineState::Held);
        let inflight = self
            .crashes
            .iter()
            .flat_map(|((time, _), prints)| prints.iter().map(|it| (*time, *it)));
        Arc::new(Quarantined {
            held: held.map(|it| it.print).collect(),
            suspects: inflight
                .filter(|(time, print)| Some(*time) > self.cleared_until(*print))
                .map(|(_, print)| print)
                .collect(),
        })
    }

    /// Returns the number of stored crashes.
    pub fn crashes(&self) -> usize {
        self.crashes.len()
    }

    /// Returns the time up to which crashes do not count against `print`.
    fn cleared_until(&self, print: Fingerprint) -> Option<Ms> {
        let record = self.records.get(&print);
        let lifted = record.filter(|it| it.state == QuarantineState::Lifted);
        let survived = self.survived.get(&print).copied();
        lifted.map(|it| it.time).max(survived)
    }

    /// Returns the crashes that count against `print`, oldest first.
    fn counted_crashes(&self, print: Fingerprint) -> Vec<(Ms, NodeId)> {
        let cleared = self.cleared_until(print);
        self.crashes
            .iter()
            .filter(|((time, _), prints)| Some(*time) > cleared && prints.contains(&print))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Stores a crash; returns whether it is new.
    fn insert_crash(&mut self, crash: &Crash) -> bool {
        let mut prints = crash.prints.clone();
        prints.truncate(PRINTS_MAX);
        prints.sort_unstable();
        prints.dedup();
        let id = (crash.time, crash.node);
        let is_new = self.crashes.insert(id, prints).is_none();
        while self.crashes.len() > CRASHES_MAX {
            self.crashes.pop_first();
        }
        is_new
    }

    /// Stores a record if it is newer than the stored one; returns whether it did.
    fn merge(&mut self, record: &Record) -> bool {
        let held = self.records.get(&record.print);
        if held.is_some_and(|it| (it.time, it.state) >= (record.time, record.state)) {
            return false;
        }
        self.records.insert(record.print, record.clone());
        if self.records.len() > RECORDS_MAX {
            let oldest = self.records.values().min_by_key(|it| it.time);
            if let Some(print) = oldest.map(|it| it.print) {
                self.records.remove(&print);
            }
        }
        true
    }

    /// Drops entries older than [`QUARANTINE_MS`]; returns whether any crash or record was dropped.
    fn expire(&mut self, now: Ms) -> bool {
        let is_recent = |time: Ms| now.since(time) <= QUARANTINE_MS;
        let before = (self.crashes.len(), self.records.len());
        self.crashes.retain(|(time, _), _| is_recent(*time));
        self.records.retain(|_, it| is_recent(it.time));
        self.survived.retain(|_, time| is_recent(*time));
        before != (self.crashes.len(), self.records.len())
    }
}

fn handle(cx: &mut Context<'_>, state: &mut State, event: &Event) {
    match event {
        Event::Call {
            token,
            call: event::Call::Guard(call),
        } => handle_call(cx, state, *token, call),
        Event::Message {
            from,
            message: event::Message::Guard(message),
        } => handle_message(cx, state, *from, message),
        Event::Upstream(UpstreamEvent::Announced { service, .. }) => {
            state.guard.service = Some(service.clone());
        }
        Event::Tick => {
            if state.guard.expire(cx.now) {
                cx.raise(Notice::Quarantine);
            }
            gossip::run_anti_entropy(cx, state);
        }
        _ => {}
    }
}

fn handle_call(cx: &mut Context<'_>, state: &mut State, token: Token, call: &Call) {
    let reply = match call {
        Call::Crashed { prints } => {
            report_crash(cx, state, prints);
            Reply::Noted
        }
        Call::Survived { print } => {
            if let Some(service) = state.guard.service.clone() {
                record_survival(cx, state, *print, cx.now);
                let (print, time) = (*print, cx.now);
                gossip::send_to_service(cx, state, &service, &Message::Survived { print, time });
            }
            Reply::Noted
        }
        Call::List => Reply::Listed(state.guard.records.values().cloned().collect()),
        Call::Lift {
            print,
            author,
            note,
        } => lift(cx, state, *print, author, note),
    };
    cx.reply(token, event::Reply::Guard(reply));
}

fn handle_message(cx: &mut Context<'_>, state: &mut State, from: NodeId, message: &Message) {
    match message {
        Message::Crashes { service, crashes } if state.guard.service.as_ref() == Some(service) => {
            for crash in crashes.iter().take(CRASHES_MAX) {
                record_crash(cx, state, service, crash);
            }
        }
        Message::Crashes { .. } => {}
        Message::Survived { print, time } => record_survival(cx, state, *print, *time),
        Message::Records { records } => {
            let current = |it: &&Record| is_current(cx.now, it.time);
            let records = records.iter().take(RECORDS_MAX).filter(current);
            let updates: Vec<Record> = records
                .filter(|it| state.guard.merge(it))
                .cloned()
                .collect();
            gossip::gossip_records(cx, state, updates);
        }
        Message::Digest { digest } => gossip::compare_digest(cx, state, from, *digest),
    }
}

fn report_crash(cx: &mut Context<'_>, state: &mut State, prints: &[Fingerprint]) {
    let Some(service) = state.guard.service.clone() else {
        return;
    };
    let crash = Crash {
        node: cx.settings.node,
        time: cx.now,
        prints: prints.iter().take(PRINTS_MAX).copied().collect(),
    };
    let pairs = vec![
        ("service", service.to_string()),
        ("inflight", prints.len().to_string()),
    ];
    cx.log("upstream-crash-counted", pairs);
    record_crash(cx, state, &service, &crash);
    let crashes = vec![crash];
    let message = Message::Crashes {
        service: service.clone(),
        crashes,
    };
    gossip::send_to_service(cx, state, &service, &message);
}

/// Records a crash and quarantines requests that were in flight in enough crashes.
///
/// One crash is not enough, as most of the requests in flight did not cause it.
fn record_crash(cx: &mut Context<'_>, state: &mut State, service: &Name, crash: &Crash) {
    let guard = &mut state.guard;
    if !is_current(cx.now, crash.time) || !guard.insert_crash(crash) {
        return;
    }
    cx.raise(Notice::Quarantine);
    let mut updates = Vec::new();
    for print in crash.prints.iter().take(PRINTS_MAX) {
        let counted = guard.counted_crashes(*print);
        let newest = counted.last().map(|it| it.0);
        let (Some(time), true) = (newest, counted.len() >= CRASHES_TO_QUARANTINE) else {
            continue;
        };
        let record = Record {
            print: *print,
            service: service.clone(),
            time,
            state: QuarantineState::Held,
        };
        if guard.merge(&record) {
            let pairs = vec![
                ("service", service.to_string()),
                ("print", format!("{:016x}", print.0)),
            ];
            cx.log("request-quarantined", pairs);
            updates.push(record);
        }
    }
    gossip::gossip_records(cx, state, updates);
}

fn record_survival(cx: &mut Context<'_>, state: &mut State, print: Fingerprint, time: Ms) {
    let guard = &mut state.guard;
    if guard.counted_crashes(print).is_empty() {
        return;
    }
    let known = guard.survived.entry(print).or_insert(time);
    *known = time.max(*known);
    cx.raise(Notice::Quarantine);
}

fn lift(
    cx: &mut Context<'_>,
    state: &mut State,
    print: Fingerprint,
    author: &str,
    note: &str,
) -> Reply {
    let held = state.guard.records.get(&print);
    let Some(held) = held.filter(|it| it.state == QuarantineState::Held) else {
        return Reply::Absent;
    };
    let record = Record {
        time: held.time.max(cx.now),
        state: QuarantineState::Lifted,
        ..held.clone()
    };
    let pairs = vec![
        ("service", record.service.to_string()),
        ("print", format!("{:016x}", print.0)),
        ("author", author.to_owned()),
        ("note", note.to_owned()),
    ];
    cx.log("quarantine-lifted", pairs);
    state.guard.merge(&record);
    gossip::gossip_records(cx, state, vec![record]);
    Reply::Lifted
}

/// Returns whether `time` is neither expired nor, from a wrong clock, too far in the future.
fn is_current(now: Ms, time: Ms) -> bool {
    now.since(time) <= QUARANTINE_MS && time.since(now) <= QUARANTINE_MS
}

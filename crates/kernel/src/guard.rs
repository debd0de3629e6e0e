//! Guard: requests that crash their upstream are quarantined.
//!
//! A node whose upstream died reports the digests of what was in flight to the other nodes of the service.
//! After one crash they are suspects, which an owner runs one at a time; one that is in flight in a second
//! crash is quarantined for [`HOLD_MS`], everywhere. Quarantines spread by gossip with periodic repair.

mod spread;

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

/// How long a request stays quarantined, and for how long a crash counts, in ms.
pub const HOLD_MS: u64 = 10 * 60 * 1_000;

/// Most digests of one crash; an upstream with more in flight reports the first of them.
pub const PRINTS_MAX: usize = 64;

/// Most crashes that a node remembers; the oldest go first.
pub const CRASHES_MAX: usize = 128;

/// Most quarantines that a node remembers; those that end soonest go first.
pub const RECORDS_MAX: usize = 128;

/// Crashes that put a request into quarantine.
const CRASHES: usize = 2;

/// Digest of a request, the same at every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// The digest of a request to `service`. `path` includes the query; `caller` names the caller, or is empty
    /// where callers are not told apart; `body` is the BLAKE3 hash of the whole body.
    ///
    /// The idempotency key is no part of it: a caller whose request crashed an upstream is told that the
    /// outcome is unknown, and may well send the same request under a new key.
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

/// One death of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The node beside the upstream.
    pub node: NodeId,
    /// When, by that node's clock; with the node it names the crash.
    pub time: Ms,
    /// What was in flight, each once.
    pub prints: Vec<Fingerprint>,
}

/// What holds for one request; the one with the higher (time, state) wins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request.
    pub print: Fingerprint,
    /// The service that it crashes.
    pub service: Name,
    /// When it was quarantined or lifted; it is forgotten [`HOLD_MS`] later.
    pub time: Ms,
    /// Which of the two.
    pub state: Hold,
}

/// Whether a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Hold {
    /// It is refused as not run.
    Held,
    /// An operator lifted the quarantine: earlier crashes no longer count.
    Lifted,
}

/// What traffic threads need to know; part of the view.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Quarantined {
    held: BTreeSet<Fingerprint>,
    suspects: BTreeSet<Fingerprint>,
}

impl Quarantined {
    /// Whether every request can be let through unseen.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty() && self.suspects.is_empty()
    }

    /// Requests that are refused as not run.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Whether the request is to be refused as not run.
    pub fn holds(&self, print: Fingerprint) -> bool {
        self.held.contains(&print)
    }

    /// Whether the request was in flight in one crash: an owner runs at most one such request at a time,
    /// so that a second crash tells the culprit from those that happened to be there.
    pub fn suspects(&self, print: Fingerprint) -> bool {
        self.suspects.contains(&print)
    }
}

/// Between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Crashes of the service's upstreams, to the nodes of the service.
    Crashes { service: Name, crashes: Vec<Crash> },
    /// These requests ran without a crash after `time`.
    Survived { print: Fingerprint, time: Ms },
    /// Quarantines, to anyone.
    Records { records: Vec<Record> },
    /// The digest of all my quarantines: send me yours if it differs.
    Digest { digest: u64 },
}

/// What a traffic thread or an operator asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// The upstream died with these requests in flight; the outcome of each is unknown.
    Crashed { prints: Vec<Fingerprint> },
    /// A suspect ran and the upstream lives.
    Survived { print: Fingerprint },
    /// Which requests are quarantined or were lifted lately?
    List,
    /// Ends a quarantine everywhere.
    Lift {
        print: Fingerprint,
        author: String,
        note: String,
    },
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// To [`Call::Crashed`] and [`Call::Survived`].
    Noted,
    /// To [`Call::List`].
    Listed(Vec<Record>),
    /// To [`Call::Lift`].
    Lifted,
    /// To [`Call::Lift`]: this node knows of no such quarantine.
    Absent,
}

/// State of the plug-in.
#[derive(Debug, Default)]
pub struct Guard {
    /// Crashes of this node's service, by time and node.
    crashes: BTreeMap<(Ms, NodeId), Vec<Fingerprint>>,
    /// Requests that ran without a crash; crashes before that time no longer count.
    survived: BTreeMap<Fingerprint, Ms>,
    records: BTreeMap<Fingerprint, Record>,
    /// The service of the upstream beside this node, also after it died: a death is often noticed, and the
    /// announcement taken back, before the crash is told.
    service: Option<Name>,
    spread: spread::Spread,
}

impl Guard {
    /// The present quarantines, for the view.
    pub fn quarantined(&self) -> Arc<Quarantined> {
        let held = self.records.values().filter(|it| it.state == Hold::Held);
        let inflight = self
            .crashes
            .iter()
            .flat_map(|((time, _), prints)| prints.iter().map(|it| (*time, *it)));
        Arc::new(Quarantined {
            held: held.map(|it| it.print).collect(),
            suspects: inflight
                .filter(|(time, print)| Some(*time) > self.cleared(*print))
                .map(|(_, print)| print)
                .collect(),
        })
    }

    /// Number of crashes that are remembered.
    pub fn crashes(&self) -> usize {
        self.crashes.len()
    }

    /// Crashes up to this time do not count against `print`.
    fn cleared(&self, print: Fingerprint) -> Option<Ms> {
        let record = self.records.get(&print);
        let lifted = record.filter(|it| it.state == Hold::Lifted);
        let survived = self.survived.get(&print).copied();
        lifted.map(|it| it.time).max(survived)
    }

    /// The crashes that count against `print`, oldest first.
    fn counted(&self, print: Fingerprint) -> Vec<(Ms, NodeId)> {
        let cleared = self.cleared(print);
        self.crashes
            .iter()
            .filter(|((time, _), prints)| Some(*time) > cleared && prints.contains(&print))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Learns of a crash; whether it is news.
    fn learn(&mut self, crash: &Crash) -> bool {
        let mut prints = crash.prints.clone();
        prints.truncate(PRINTS_MAX);
        prints.sort_unstable();
        prints.dedup();
        let id = (crash.time, crash.node);
        let news = self.crashes.insert(id, prints).is_none();
        while self.crashes.len() > CRASHES_MAX {
            self.crashes.pop_first();
        }
        news
    }

    /// Takes in a record if it is newer than the one held; whether it was.
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

    /// Forgets what is older than [`HOLD_MS`]; whether anything was.
    fn expire(&mut self, now: Ms) -> bool {
        let young = |time: Ms| now.since(time) <= HOLD_MS;
        let before = (self.crashes.len(), self.records.len());
        self.crashes.retain(|(time, _), _| young(*time));
        self.records.retain(|_, it| young(it.time));
        self.survived.retain(|_, time| young(*time));
        before != (self.crashes.len(), self.records.len())
    }
}

fn handle(cx: &mut Context<'_>, state: &mut State, event: &Event) {
    match event {
        Event::Call {
            token,
            call: event::Call::Guard(call),
        } => called(cx, state, *token, call),
        Event::Message {
            from,
            message: event::Message::Guard(message),
        } => received(cx, state, *from, message),
        Event::Upstream(UpstreamEvent::Announced { service, .. }) => {
            state.guard.service = Some(service.clone());
        }
        Event::Tick => {
            if state.guard.expire(cx.now) {
                cx.raise(Notice::Quarantine);
            }
            spread::repair(cx, state);
        }
        _ => {}
    }
}

fn called(cx: &mut Context<'_>, state: &mut State, token: Token, call: &Call) {
    let said = match call {
        Call::Crashed { prints } => {
            crashed(cx, state, prints);
            Reply::Noted
        }
        Call::Survived { print } => {
            if let Some(service) = state.guard.service.clone() {
                survived(cx, state, *print, cx.now);
                let (print, time) = (*print, cx.now);
                spread::tell_service(cx, state, &service, &Message::Survived { print, time });
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
    cx.reply(token, event::Reply::Guard(said));
}

fn received(cx: &mut Context<'_>, state: &mut State, from: NodeId, message: &Message) {
    match message {
        Message::Crashes { service, crashes } if state.guard.service.as_ref() == Some(service) => {
            for crash in crashes.iter().take(CRASHES_MAX) {
                count(cx, state, service, crash);
            }
        }
        Message::Crashes { .. } => {}
        Message::Survived { print, time } => survived(cx, state, *print, *time),
        Message::Records { records } => {
            let current = |it: &&Record| current(cx.now, it.time);
            let records = records.iter().take(RECORDS_MAX).filter(current);
            let news: Vec<Record> = records
                .filter(|it| state.guard.merge(it))
                .cloned()
                .collect();
            spread::pass_on(cx, state, news);
        }
        Message::Digest { digest } => spread::compare(cx, state, from, *digest),
    }
}

fn crashed(cx: &mut Context<'_>, state: &mut State, prints: &[Fingerprint]) {
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
    count(cx, state, &service, &crash);
    let crashes = vec![crash];
    let message = Message::Crashes {
        service: service.clone(),
        crashes,
    };
    spread::tell_service(cx, state, &service, &message);
}

/// Counts a crash and quarantines what was in flight in enough of them.
///
/// A crash takes down bystanders with the culprit; quarantining on the first would let one request have
/// every other that it met refused. The culprit is the one that comes back and crashes again.
fn count(cx: &mut Context<'_>, state: &mut State, service: &Name, crash: &Crash) {
    let guard = &mut state.guard;
    if !current(cx.now, crash.time) || !guard.learn(crash) {
        return;
    }
    cx.raise(Notice::Quarantine);
    let mut news = Vec::new();
    for print in crash.prints.iter().take(PRINTS_MAX) {
        let counted = guard.counted(*print);
        let newest = counted.last().map(|it| it.0);
        let (Some(time), true) = (newest, counted.len() >= CRASHES) else {
            continue;
        };
        let record = Record {
            print: *print,
            service: service.clone(),
            time,
            state: Hold::Held,
        };
        if guard.merge(&record) {
            let pairs = vec![
                ("service", service.to_string()),
                ("print", format!("{:016x}", print.0)),
            ];
            cx.log("request-quarantined", pairs);
            news.push(record);
        }
    }
    spread::pass_on(cx, state, news);
}

fn survived(cx: &mut Context<'_>, state: &mut State, print: Fingerprint, time: Ms) {
    let guard = &mut state.guard;
    if guard.counted(print).is_empty() {
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
    let Some(held) = held.filter(|it| it.state == Hold::Held) else {
        return Reply::Absent;
    };
    let record = Record {
        time: held.time.max(cx.now),
        state: Hold::Lifted,
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
    spread::pass_on(cx, state, vec![record]);
    Reply::Lifted
}

/// Whether `time` is neither too old nor, from a clock that is wrong, too far ahead to be forgotten in time.
fn current(now: Ms, time: Ms) -> bool {
    now.since(time) <= HOLD_MS && time.since(now) <= HOLD_MS
}

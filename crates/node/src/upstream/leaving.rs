//! Upstreams that leave: what is kept in the table of them, and how their calls are acknowledged.

use std::{
    sync::{Arc, Weak, atomic::Ordering},
    time::Duration,
};

use laburnum_kernel::{
    health::Observation,
    instance::{Start, Verdict},
    members::Phase,
};
use tokio::{sync::watch, time::timeout};

use super::{ActiveUpstream, Heartbeat, Shared, Upstream, lock};
use crate::{control::Closed, logs};

/// Longest time for which a call waits until the leaving of its upstream is in the table: upstreams give up after 1 s.
const RECORD_WAIT: Duration = Duration::from_millis(800);
/// Sequence number of the first heartbeat of a start, which has not left before that.
const FIRST_SEQUENCE: u64 = 1;
/// Maximum number of starts that leave and are kept for the next process.
pub(crate) const LEAVING_MAX: usize = 32;

/// What a node keeps in the table about its upstream, for its next process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Saved {
    /// Last heartbeat of the present start while it is ready.
    pub ready: Option<Heartbeat>,
    /// Starts that leave, oldest first.
    pub leaving: Vec<Start>,
    /// Calls of upstreams that wait until their leaving is in the table. Each of them makes a failed write due again.
    pub calls: u64,
    /// Whether a heartbeat is held back until the records are read.
    pub is_asked: bool,
}

/// Whether this process has read what earlier processes of its node recorded.
#[derive(Debug)]
pub(super) enum Records {
    /// Nothing is recorded.
    Off,
    /// It has.
    Read,
    /// Not yet. The heartbeat of a start that has not just begun is held back: it may be a late one of an upstream that
    /// left.
    Unread(Option<Heartbeat>),
}

/// How a call of the upstream is to be acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// At once.
    Now,
    /// Once [`Upstream::recorded`] confirms that the leaving of this start outlives the process.
    Recorded(Start),
}

/// A handle that does not keep the upstream's state alive.
#[derive(Clone, Debug)]
pub struct WeakUpstream(Weak<Shared>);

impl WeakUpstream {
    /// Returns the upstream, unless its last handle was dropped.
    pub fn upgrade(&self) -> Option<Upstream> {
        self.0.upgrade().map(Upstream)
    }
}

impl Upstream {
    /// Returns whether the ready upstream of a heartbeat may be used.
    ///
    /// Until the table was read, a heartbeat may be a late one of an upstream whose leaving an earlier process
    /// acknowledged. A live upstream sends another one soon. The table is only read when it matters, so that a fleet that
    /// starts for the first time does not read it at all.
    pub(super) fn is_admitted(&self, it: &Heartbeat) -> bool {
        let mut records = lock(&self.0.records);
        let Records::Unread(held) = &mut *records else {
            return true;
        };
        let is_present = lock(&self.0.instances).present() == Some(&it.start);
        if is_present || it.sequence <= FIRST_SEQUENCE {
            return true;
        }
        self.0
            .saved
            .send_if_modified(|saved| !std::mem::replace(&mut saved.is_asked, true));
        match held {
            Some(held) if held.start == it.start => held.sequence < it.sequence,
            _ => {
                *held = Some(it.clone());
                false
            }
        }
    }

    /// Holds first heartbeats back until [`Upstream::apply_records`] tells what earlier processes acknowledged.
    pub fn await_records(&self) {
        *lock(&self.0.records) = Records::Unread(None);
    }

    /// Applies what the table says: the leaving of these starts was acknowledged.
    pub fn apply_records(&self, left: &[Start]) -> Result<(), Closed> {
        self.note_recorded(left);
        let present = {
            let mut instances = lock(&self.0.instances);
            left.iter().for_each(|it| instances.mark_leaving(it));
            let present = instances.present().cloned();
            present.filter(|it| instances.is_leaving(it))
        };
        for it in left {
            self.keep_leaving(it);
        }
        if let Some(it) = present {
            log_leaving(&it, "table");
            self.leave(&it)?;
        }
        let records = std::mem::replace(&mut *lock(&self.0.records), Records::Read);
        match records {
            Records::Unread(Some(held)) => self.heartbeat(held).map(drop),
            Records::Unread(None) | Records::Read | Records::Off => Ok(()),
        }
    }

    /// Records that `upstream` said in an answer that it leaves. From then on it counts as draining, whatever phase its
    /// announcements tell: some upstreams never announce that they leave.
    pub fn mark_leaving(&self, upstream: &ActiveUpstream) {
        let is_marked = upstream.leaving.swap(true, Ordering::SeqCst);
        if is_marked || !self.is_present(upstream) {
            return;
        }
        let present = {
            let mut instances = lock(&self.0.instances);
            let present = instances.present().cloned();
            let present = present.filter(|it| Some(&it.id) == upstream.instance.as_ref());
            present.inspect(|it| instances.mark_leaving(it))
        };
        if let Some(it) = present {
            self.record_leaving(&it, "answer");
        }
        self.observe(Observation::Report(Phase::Draining));
    }

    /// Withdraws the announcement of this start; requests in progress keep their connections.
    pub fn leave(&self, start: &Start) -> Result<Receipt, Closed> {
        let mut instances = lock(&self.0.instances);
        let present = instances.present().filter(|it| it.id == start.id);
        let born = match (start.born, present) {
            (0, Some(it)) => it.born,
            // An upstream that starts again under this id is born later.
            (0, None) => self.0.clock.now().0,
            (born, _) => born,
        };
        let start = Start {
            id: start.id.clone(),
            born,
        };
        if instances.leave(&start) == Verdict::Present {
            self.withdraw()?;
        }
        drop(instances);
        Ok(self.record_leaving(&start, "deregistration"))
    }

    /// Returns a receiver of what to keep for the node's next process.
    pub fn saved(&self) -> watch::Receiver<Saved> {
        self.0.saved.subscribe()
    }

    /// Returns a handle that does not keep the state alive.
    pub fn downgrade(&self) -> WeakUpstream {
        WeakUpstream(Arc::downgrade(&self.0))
    }

    /// Notes that the leaving of these starts is in the table.
    pub fn note_recorded(&self, starts: &[Start]) {
        self.0.recorded.send_modify(|recorded| {
            for it in starts {
                push_bounded(recorded, it);
            }
        });
    }

    /// Waits until the leaving of `start` is in the table; returns false if it is not in time.
    ///
    /// An acknowledgement that only this process remembers ends with the process: the next one would send requests to the
    /// upstream again.
    pub async fn recorded(&self, start: &Start) -> bool {
        let mut recorded = self.0.recorded.subscribe();
        let waiting = recorded.wait_for(|it| it.contains(start));
        matches!(timeout(RECORD_WAIT, waiting).await, Ok(Ok(_)))
    }

    /// Has the leaving of `start` written to the table, if anything is recorded there.
    pub(super) fn record_leaving(&self, start: &Start, told: &str) -> Receipt {
        if self.keep_leaving(start) {
            log_leaving(start, told);
        }
        match &*lock(&self.0.records) {
            Records::Off => Receipt::Now,
            Records::Unread(_) | Records::Read => Receipt::Recorded(start.clone()),
        }
    }

    /// Adds `start` to what is kept; returns whether it was news.
    fn keep_leaving(&self, start: &Start) -> bool {
        let mut is_news = false;
        self.0.saved.send_modify(|saved| {
            let leaves = |it: &Heartbeat| it.start.id == start.id && it.start.born <= start.born;
            saved.ready.take_if(|it| leaves(it));
            is_news = push_bounded(&mut saved.leaving, start);
            saved.calls += 1;
        });
        is_news
    }
}

/// Adds `start` to a bounded list, unless it is there; returns whether it was not.
fn push_bounded(starts: &mut Vec<Start>, start: &Start) -> bool {
    if starts.contains(start) {
        return false;
    }
    if starts.len() == LEAVING_MAX {
        starts.remove(0);
    }
    starts.push(start.clone());
    true
}

/// Logs that a start of the upstream said that it leaves, and how.
fn log_leaving(start: &Start, told: &str) {
    let pairs = [
        ("state", "leaving".to_owned()),
        ("id", start.id.to_string()),
        ("born", start.born.to_string()),
        ("told", told.to_owned()),
    ];
    logs::event("upstream", &pairs);
}

//! Spread: accepted configuration on its way to every node.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    event::{self, Event, Notice},
    id::{NodeId, Seq},
    kernel::{Context, Plugin, State},
    log::{Applied, Batch},
};

inventory::submit! { Plugin { name: "spread", order: 30, handle } }

/// Between nodes that spread configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// These batches follow one another.
    Push { batches: Vec<Arc<Batch>> },
    /// I hold the log up to `seq`: send what follows.
    Pull { seq: Seq },
}

/// Who holds which sequence number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Last batch applied by the node asked.
    pub seq: Seq,
    /// Nodes alive, in the view of the node asked.
    pub nodes: usize,
    /// Nodes known to lag, with what they hold.
    pub behind: Vec<(NodeId, Seq)>,
}

/// Configuration on its way.
#[derive(Debug, Default)]
pub struct Spread {}

fn handle(cx: &mut Context<'_>, state: &mut State, event: &Event) {
    match event {
        Event::Message {
            from,
            message: event::Message::Spread(message),
        } => received(cx, state, *from, message),
        Event::Notice(Notice::Accepted { seq }) => push(cx, state, *seq),
        Event::Notice(Notice::Members) => pull(cx, state),
        Event::Call {
            token,
            call: event::Call::Status,
        } => {
            let status = Status {
                seq: state.log.seq(),
                nodes: state.members.alive().count(),
                behind: Vec::new(),
            };
            cx.reply(*token, event::Reply::Status(status));
        }
        _ => {}
    }
}

fn received(cx: &mut Context<'_>, state: &mut State, from: NodeId, message: &Message) {
    match message {
        Message::Push { batches } => {
            for batch in batches {
                if state.log.apply(batch.clone()) == Applied::Gap {
                    let seq = state.log.seq();
                    cx.send(from, event::Message::Spread(Message::Pull { seq }));
                    break;
                }
            }
            let seq = state.log.seq();
            cx.raise(Notice::Applied { seq });
        }
        Message::Pull { seq } => {
            if let Some(batches) = state.log.after(*seq)
                && !batches.is_empty()
            {
                cx.send(from, event::Message::Spread(Message::Push { batches }));
            }
        }
    }
}

fn push(cx: &mut Context<'_>, state: &mut State, seq: Seq) {
    let Some(batches) = state.log.after(Seq(seq.0 - 1)) else {
        return;
    };
    let own = cx.settings.node;
    let others: Vec<NodeId> = state.members.alive().map(|it| it.id).collect();
    for to in others.into_iter().filter(|it| *it != own) {
        let batches = batches.clone();
        cx.send(to, event::Message::Spread(Message::Push { batches }));
    }
}

fn pull(cx: &mut Context<'_>, state: &mut State) {
    let own = cx.settings.node;
    let seq = state.log.seq();
    let peer = state.members.alive().map(|it| it.id).find(|it| *it != own);
    if let Some(to) = peer {
        cx.send(to, event::Message::Spread(Message::Pull { seq }));
    }
}

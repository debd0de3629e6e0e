//! What was sent, answered and run, in the order of time.

use std::{
    fmt::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone, Debug)]
pub struct Event {
    /// Time since the start of the case, in ms.
    pub at: u64,
    pub what: &'static str,
    /// Id of the attempt, if it concerns one.
    pub id: String,
    /// Host, endpoint or client.
    pub by: String,
    pub text: String,
}

/// The events of a case; clones share them.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    events: Arc<Mutex<Vec<Event>>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            started: Instant::now(),
            events: Arc::default(),
        }
    }

    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn add(&self, what: &'static str, id: &str, by: &str, text: &str) -> u64 {
        let mut events = self.events.lock().expect("the record's lock");
        let at = self.now();
        events.push(Event {
            at,
            what,
            id: id.to_owned(),
            by: by.to_owned(),
            text: text.to_owned(),
        });
        at
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.lock().expect("the record's lock").clone()
    }

    /// The record as text, a line an event.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for it in self.events() {
            let _ = writeln!(text, "{:>7} ms  {:<9} {:<14} {:<24} {}", it.at, it.what, it.id, it.by, it.text);
        }
        text
    }
}

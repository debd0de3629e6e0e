//! Sends a schedule on time and gathers the answers.

use std::{
    collections::BTreeMap,
    thread,
    time::{Duration, Instant},
};

use tokio::{runtime::Handle, sync::mpsc, time::timeout_at};

use super::{
    arrivals::Arrival,
    client::{Callers, class, missing},
    judge::{Answer, Outcome},
    preset::Preset,
    tally::Sample,
};

/// One answered request.
#[derive(Clone, Debug)]
pub struct Ended {
    /// Its times.
    pub sample: Sample,
    /// What its caller saw.
    pub answer: Answer,
}

/// Sends every arrival when it is due and waits for the answers until `grace` after the last.
///
/// A thread of its own keeps the time, since the runtime's timer is only exact to a millisecond.
pub async fn run(
    preset: Preset,
    callers: &Callers,
    arrivals: Vec<Arrival>,
    grace: Duration,
) -> Vec<Ended> {
    let start = Instant::now();
    let last = arrivals.last().map_or(0, |it| it.due);
    let end = start + Duration::from_micros(last) + grace;
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let (handle, callers) = (Handle::current(), callers.clone());
    // Whatever is not answered by the end has no answer.
    let mut waiting: BTreeMap<usize, Arrival> = arrivals.iter().copied().enumerate().collect();
    let sending = thread::spawn(move || {
        for (idx, arrival) in arrivals.into_iter().enumerate() {
            let due = start + Duration::from_micros(arrival.due);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let (callers, sender) = (callers.clone(), sender.clone());
            handle.spawn(async move {
                let answer = callers.ask(arrival).await;
                // The run is over if nobody gathers.
                let _ = sender.send((idx, since(start), answer));
            });
        }
    });
    let mut ended = Vec::new();
    while let Ok(Some((idx, done, answer))) = timeout_at(end.into(), receiver.recv()).await {
        if let Some(arrival) = waiting.remove(&idx) {
            ended.push(Ended {
                sample: sample(preset, arrival, done, answer.outcome),
                answer,
            });
        }
    }
    // It sent the last arrival long ago, or the channel would be open.
    let _ = sending.join();
    let missing = waiting.into_values().map(|arrival| Ended {
        sample: sample(preset, arrival, since(start), Outcome::Missing),
        answer: missing(preset, arrival),
    });
    ended.extend(missing);
    ended
}

fn sample(preset: Preset, arrival: Arrival, done: u64, outcome: Outcome) -> Sample {
    let class = class(arrival.kind);
    Sample {
        class,
        due: arrival.due,
        done,
        deadline: preset.deadline(class) * 1_000,
        outcome,
    }
}

fn since(start: Instant) -> u64 {
    start.elapsed().as_micros() as u64
}

//! The load generator: sends scheduled requests on time and collects the answers.

use std::{
    collections::BTreeMap,
    thread,
    time::{Duration, Instant},
};

use tokio::{runtime::Handle, sync::mpsc, time::timeout_at};

use super::{
    arrivals::Arrival,
    client::{Callers, class, missing_answer},
    judge::{Answer, Outcome},
    preset::Preset,
    tally::Sample,
};

/// A completed request.
#[derive(Clone, Debug)]
pub struct Completed {
    /// Times and outcome of the request.
    pub sample: Sample,
    /// Answer as its caller received it.
    pub answer: Answer,
}

/// Sends every arrival when it is due and collects answers until `grace` after the last arrival.
///
/// A separate thread paces the requests, since the runtime's timer has a resolution of one millisecond.
pub async fn run(
    preset: Preset,
    callers: &Callers,
    arrivals: Vec<Arrival>,
    grace: Duration,
) -> Vec<Completed> {
    let start = Instant::now();
    let last = arrivals.last().map_or(0, |it| it.due);
    let end = start + Duration::from_micros(last) + grace;
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let (handle, callers) = (Handle::current(), callers.clone());
    // Requests still in this map at the end got no answer.
    let mut unanswered: BTreeMap<usize, Arrival> = arrivals.iter().copied().enumerate().collect();
    let send_thread = thread::spawn(move || {
        for (idx, arrival) in arrivals.into_iter().enumerate() {
            let due = start + Duration::from_micros(arrival.due);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let (callers, sender) = (callers.clone(), sender.clone());
            handle.spawn(async move {
                let answer = callers.call(arrival).await;
                // The receiver is gone if the run is over.
                let _ = sender.send((idx, elapsed_micros(start), answer));
            });
        }
    });
    let mut completed = Vec::new();
    while let Ok(Some((idx, done, answer))) = timeout_at(end.into(), receiver.recv()).await {
        if let Some(arrival) = unanswered.remove(&idx) {
            completed.push(Completed {
                sample: sample(preset, arrival, done, answer.outcome),
                answer,
            });
        }
    }
    // The last arrival was due before the end, so the thread does not block here for long.
    let _ = send_thread.join();
    let missing = unanswered.into_values().map(|arrival| Completed {
        sample: sample(preset, arrival, elapsed_micros(start), Outcome::Missing),
        answer: missing_answer(preset, arrival),
    });
    completed.extend(missing);
    completed
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

fn elapsed_micros(start: Instant) -> u64 {
    start.elapsed().as_micros() as u64
}

//! Compares three ways to rank the calls of running requests, on equal seeds.
//!
//! `cargo run --release -p laburnum-kernel --example calls`
//!
//! Two services: an upstream of A runs requests of three priorities and calls B twice in 7 of 10 of them, one call
//! after the other; a refused or lost call fails its run at once. B is one upstream behind [`Ranks`], with requests of its
//! own of two priorities, as many as there are calls. A itself has room for all of its runs.

mod sim;

use std::{fmt, ops::RangeInclusive};

use sim::simulate;

/// Seeds; the results are summed.
const SEEDS: RangeInclusive<u64> = 1..=5;
/// Offered loads, as multiples of B's capacity.
const LOADS: [f64; 3] = [0.8, 1.2, 1.6];

/// How the calls are ranked.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    Route,
    Ahead,
    Inherit,
}

/// Results by priority.
#[derive(Default)]
struct Results {
    /// Runs of A: all, in time, late, failed because of a call.
    runs: [[u32; 4]; 3],
    /// B's own requests: all, in time.
    own: [[u32; 2]; 2],
}

fn main() {
    println!(
        "runs of A by priority: in time / late / failed because of a call, %; B's own requests by priority: in time, %\n"
    );
    println!(
        "| load | calls | A, 0 | A, 1 | A, 2 | A, all in time | B's own, 0 | B's own, 1 |\n|---|---|---|---|---|---|---|---|"
    );
    for load in LOADS {
        let ways = [
            (Way::Route, "priority of their route"),
            (Way::Ahead, "ahead of their rank"),
            (Way::Inherit, "inherit from their run"),
        ];
        for (way, name) in ways {
            let mut results = Results::default();
            for seed in SEEDS {
                simulate(way, load, seed, &mut results);
            }
            println!("| {load} | {name} | {results} |");
        }
    }
}

impl fmt::Display for Results {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let share = |part: u32, all: u32| 100.0 * f64::from(part) / f64::from(all.max(1));
        for [all, in_time, late, failed] in self.runs {
            let shares = [in_time, late, failed].map(|it| share(it, all));
            write!(
                f,
                "{:.1} / {:.1} / {:.1} | ",
                shares[0], shares[1], shares[2]
            )?;
        }
        let sum = |idx: usize| self.runs.iter().map(|it| it[idx]).sum();
        write!(f, "{:.1}", share(sum(1), sum(0)))?;
        for [all, in_time] in self.own {
            write!(f, " | {:.1}", share(in_time, all))?;
        }
        Ok(())
    }
}

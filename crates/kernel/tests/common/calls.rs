//! Runs and calls for the tests of the tables of running requests.

use laburnum_kernel::{
    Ms, Name,
    admission::kinds::Kind,
    calls::{Run, Runs},
};

/// Time at which the tests begin.
pub const NOW: Ms = Ms(10_000);

/// Returns a run of `priority` that began at [`NOW`].
pub fn run(priority: u8) -> Run {
    Run {
        kind: Kind(7),
        priority,
        goal: NOW + 200,
        deadline: NOW + 1_000,
    }
}

pub fn service(name: &str) -> Name {
    name.parse().expect("a name")
}

pub fn archive() -> Name {
    service("archive")
}

/// Returns whether `id` is recognised as a call.
pub fn is_call(runs: &mut Runs, now: Ms, id: &str) -> bool {
    runs.call(now, id, &archive()).is_some()
}

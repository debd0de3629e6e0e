//! Events of a simulation.

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    Arrive {
        class: usize,
    },
    Attempt {
        call: usize,
    },
    AtOwner {
        call: usize,
        attempt: u32,
        owner: usize,
    },
    Ended {
        call: usize,
        attempt: u32,
        owner: usize,
        work: u64,
    },
    AtEntry {
        call: usize,
        attempt: u32,
        owner: usize,
        answer: Answer,
    },
    Timeout {
        call: usize,
        attempt: u32,
    },
    Tick {
        owner: usize,
    },
}

/// Answer of an owner to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Answer {
    Ran {
        work: u64,
    },
    Refused {
        reason: laburnum_kernel::refusal::Reason,
        after: u64,
    },
}

//! The scenarios, at the sizes of the two sites.

/// Shares of the classes in the offered slot time.
const MIX: [f64; 3] = [0.7, 0.1, 0.2];

/// How requests are carried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Round robin, a queue in the upstream, three blind retries after a quarter of the deadline each.
    Baseline,
    /// Admission, two choices, budgeted retries.
    Managed,
}

/// When a silent upstream falls silent, in us.
pub const SILENT_FROM: u64 = 20_000_000;

/// How an upstream behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Upstreams {
    /// All alike.
    Equal,
    /// Every third is three times slower.
    Slow,
    /// The first swallows every request from [`SILENT_FROM`] on; members still announce it as ready.
    Silent,
    /// All announce three times the slots that they have processors for, and slow down beyond.
    Oversold,
}

/// One experiment.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub endpoints: usize,
    pub slots: u16,
    pub zones: usize,
    pub upstreams: Upstreams,
    /// Offered slot time of each class as a share of the capacity.
    pub load: [f64; 3],
    /// Mean service time of each class, in us.
    pub service: [u64; 3],
    /// Deadline of each class, in us.
    pub deadline: [u64; 3],
    /// Simulated time, in us.
    pub time: u64,
}

/// The drafting desk: drafts read in about 20 ms, filings 30 ms, archive lookups 100 ms.
pub fn nile() -> Scenario {
    Scenario {
        endpoints: 5,
        slots: 6,
        zones: 3,
        upstreams: Upstreams::Equal,
        load: MIX,
        service: [20_000, 30_000, 100_000],
        deadline: [1_000_000, 2_000_000, 10_000_000],
        time: 60_000_000,
    }
}

/// The profiles: fetches of about 10 ms, purchases 20 ms, bulk work 50 ms.
pub fn cascadia() -> Scenario {
    Scenario {
        endpoints: 7,
        slots: 12,
        zones: 4,
        service: [10_000, 20_000, 50_000],
        ..nile()
    }
}

/// Every scenario of a site.
pub fn scenarios(base: &Scenario) -> Vec<(String, Scenario)> {
    let scaled = |factor: f64| MIX.map(|it| it * factor);
    let mut all = Vec::new();
    for factor in [0.5, 1.0, 2.0, 4.0] {
        let load = scaled(factor);
        all.push((
            format!("load {factor}x"),
            Scenario {
                load,
                ..base.clone()
            },
        ));
    }
    for factor in [0.5, 1.0, 2.0] {
        let (load, upstreams) = (scaled(factor), Upstreams::Slow);
        all.push((
            format!("1/3 slow {factor}x"),
            Scenario {
                load,
                upstreams,
                ..base.clone()
            },
        ));
    }
    for factor in [0.15, 0.5, 1.0] {
        let (load, upstreams) = (scaled(factor), Upstreams::Oversold);
        all.push((
            format!("oversold {factor}x"),
            Scenario {
                load,
                upstreams,
                ..base.clone()
            },
        ));
    }
    let (load, upstreams) = (scaled(0.5), Upstreams::Silent);
    let silent = Scenario {
        load,
        upstreams,
        ..base.clone()
    };
    all.push(("1 silent 0.5x".to_owned(), silent));
    for (label, load) in [
        ("quiet", [0.4, 0.05, 0.0]),
        ("background flood", [0.4, 0.05, 4.0]),
        ("foreground flood", [3.0, 0.1, 0.2]),
    ] {
        all.push((
            label.to_owned(),
            Scenario {
                load,
                ..base.clone()
            },
        ));
    }
    all
}

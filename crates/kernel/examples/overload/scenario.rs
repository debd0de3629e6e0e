//! Scenarios at the sizes of the two sites.

/// Shares of the classes in the offered slot time.
const MIX: [f64; 3] = [0.7, 0.1, 0.2];

/// Policy for sending, admitting and retrying requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Round robin, a queue in the upstream, and up to three retries, each after a timeout of a quarter of the
    /// deadline.
    Baseline,
    /// Admission control, two random choices and budgeted retries.
    Managed,
}

/// Time from which a silent upstream does not answer, in us.
pub const SILENT_FROM: u64 = 20_000_000;

/// Behaviour of the upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Upstreams {
    /// All upstreams are equal.
    Equal,
    /// Every third upstream is three times slower.
    Slow,
    /// The first upstream does not answer from [`SILENT_FROM`] on, but is still announced as ready.
    Silent,
    /// All upstreams announce three times as many slots as processors and slow down when these are exceeded.
    Oversold,
}

/// Parameters of one simulation.
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

/// Site with drafts of about 20 ms, filings of 30 ms and archive lookups of 100 ms.
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

/// Site with profile fetches of about 10 ms, purchases of 20 ms and bulk work of 50 ms.
pub fn cascadia() -> Scenario {
    Scenario {
        endpoints: 7,
        slots: 12,
        zones: 4,
        service: [10_000, 20_000, 50_000],
        ..nile()
    }
}

/// Returns all scenarios of a site.
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

//! Measures the load of acceptance on the table: `cargo run --release -p laburnum-kernel --example acceptance`.
//!
//! Runs real kernels with an in-memory table that answers after a fixed time.

#[path = "../tests/common/driver.rs"]
mod driver;

use std::collections::BTreeMap;

use laburnum_kernel::{
    Settings, Token,
    accept::{Submission, Verdict},
    log::Edit,
    settings::SpreadSettings,
};

use driver::{Driver, name, put};

const DOCUMENT: &str = include_str!("../../../examples/nile/court-registry.toml");

/// Number of submitted changes.
const CHANGES: usize = 500;
/// Number of pairs of changes to one service.
const PAIRS: usize = 50;
/// Number of services.
const SERVICES: usize = 190;
/// Delay of the table's answers, in ms.
const DELAY: u64 = 10;

fn main() {
    println!("{CHANGES} changes, table answers after {DELAY} ms");
    println!(
        "case                          commits conflicts  reads   rows    bytes  ms   accepted"
    );
    measure_load("one window, one committer", &["a"], submit_all);
    measure_load("one at a time, one committer", &["a"], submit_one_by_one);
    measure_load("one window, 2 committers", &["a", "b"], submit_all);
    measure_load(
        "one window, 7 committers",
        &["a", "b", "c", "d", "e", "f", "g"],
        submit_all,
    );
    measure_rivals("nile", SpreadSettings::nile());
    measure_rivals("cascadia", SpreadSettings::cascadia());
    measure_sizes();
    measure_recovery();
}

/// Submits pairs of changes to one service 300 ms apart; the second is based on the revision in force by then.
fn measure_rivals(case: &str, spread: SpreadSettings) {
    let mut driver = Driver::new(&[]);
    driver.add_with(Settings {
        spread,
        ..Settings::default()
    });
    driver.run(10_000);
    driver.delay = DELAY;
    let (mut accepted, mut millis) = (0, 0);
    for id in (0..2 * PAIRS).step_by(2) {
        let (service, started_at) = (id, driver.now);
        let first = driver.submit(0, &change(id, service, 0));
        driver.run(300);
        let services = driver.kernels[0].state().log.services();
        let base = services.get(&name(&format!("service-{service}")));
        let base = base.map_or(0, |it| it.revision.0);
        let second = driver.submit(0, &change(id + 1, service, base));
        while !driver.replies.contains_key(&first) || !driver.replies.contains_key(&second) {
            driver.run(10);
        }
        millis += driver.now.since(started_at);
        let pair = [first, second];
        accepted += pair.iter().filter(|it| is_accepted(&driver, **it)).count();
    }
    println!(
        "{case}: {accepted} of {} changes, two to a service 300 ms apart, accepted; {} ms a pair",
        2 * PAIRS,
        millis / PAIRS as u64
    );
}

fn measure_load(case: &str, regions: &[&str], run: fn(&mut Driver) -> Vec<Token>) {
    let mut driver = Driver::new(regions);
    driver.run(10_000);
    driver.delay = DELAY;
    let (commits, reads, written, started_at) =
        (driver.commits, driver.reads, driver.written, driver.now);
    let tokens = run(&mut driver);
    while !tokens.iter().all(|it| driver.replies.contains_key(it)) {
        driver.run(10);
    }
    let millis = driver.now.since(started_at);
    let entries = driver.entries().len();
    let accepted = tokens
        .iter()
        .filter(|it| is_accepted(&driver, **it))
        .count();
    let commits = driver.commits - commits;
    println!(
        "{case:29} {commits:7} {:9} {:6} {:6} {:8} {millis:6} {accepted:6}",
        commits - entries,
        driver.reads - reads,
        driver.written.0 - written.0,
        driver.written.1 - written.1,
    );
}

fn is_accepted(driver: &Driver, token: Token) -> bool {
    matches!(driver.verdict(token), Verdict::Accepted { .. })
}

/// Returns a change with a document of realistic length that differs from other changes in a few lines.
fn change(id: usize, service: usize, base: u64) -> Submission {
    let service = format!("service-{service}");
    let mut submission = put(id as u128, &service, base, &[]);
    if let Edit::Put { text } = &mut submission.edit {
        let own = format!("service = \"{service}\"");
        *text = DOCUMENT.replace("service = \"court-registry\"", &own);
        text.push_str(&format!("# Change {id}.\n"));
    }
    submission
}

fn submission(id: usize) -> Submission {
    change(id, id, 0)
}

fn submit_all(driver: &mut Driver) -> Vec<Token> {
    let nodes = driver.kernels.len();
    (0..CHANGES)
        .map(|id| driver.submit(id % nodes, &submission(id)))
        .collect()
}

fn submit_one_by_one(driver: &mut Driver) -> Vec<Token> {
    let mut tokens = Vec::new();
    for id in 0..CHANGES {
        let token = driver.submit(0, &submission(id));
        while !driver.replies.contains_key(&token) {
            driver.run(10);
        }
        tokens.push(token);
    }
    tokens
}

/// Measures the sizes of the log and of a snapshot after a day's changes, each alone in its batch.
fn measure_sizes() {
    let mut driver = Driver::new(&["a"]);
    driver.run(10_000);
    let mut revisions: BTreeMap<usize, u64> = BTreeMap::new();
    for id in 0..1_300 {
        let service = id % SERVICES;
        let base = revisions.get(&service).copied().unwrap_or(0);
        let token = driver.submit(0, &change(id, service, base));
        driver.run(150);
        if let Verdict::Accepted { revision, .. } = driver.verdict(token) {
            revisions.insert(service, revision.0);
        }
    }
    let log: usize = driver
        .rows
        .values()
        .filter(|it| it.key.starts_with("log/"))
        .map(|it| it.key.len() + it.value.len())
        .sum();
    let snapshot = driver.kernels[0].state().log.snapshot().encode().len();
    println!(
        "1,300 changes alone: log rows {} with {log} bytes; snapshot {snapshot} bytes",
        driver.entries().len()
    );
    let text = driver.kernels[0]
        .state()
        .log
        .latest()
        .get(&name("service-0"))
        .map_or(0, |it| it.text.len());
    println!(
        "a document has {text} bytes; objects kept: {}",
        driver.objects.len()
    );
}

/// Measures the reads of a node that starts when the log has 1,000 entries.
fn measure_recovery() {
    for has_snapshot in [true, false] {
        let mut driver = Driver::new(&["a"]);
        driver.run(10_000);
        let mut base = 0;
        for id in 0..1_000 {
            let token = driver.submit(0, &change(id, 0, base));
            driver.run(150);
            if let Verdict::Accepted { revision, .. } = driver.verdict(token) {
                base = revision.0;
            }
        }
        if !has_snapshot {
            driver.objects.clear();
        }
        driver.unreachable = [0, 1].into();
        let reads = driver.reads;
        let started = driver.add("b");
        driver.run(20_000);
        let seq = driver.kernels[started].state().log.seq();
        println!(
            "recovery to {seq}, snapshot kept: {has_snapshot}, table reads: {}",
            driver.reads - reads
        );
    }
}

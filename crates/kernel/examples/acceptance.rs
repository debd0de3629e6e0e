//! Measures what acceptance costs the table: `cargo run --release -p laburnum-kernel --example acceptance`.
//!
//! The table is in memory and answers after a fixed time; everything else is the kernel as nodes run it.

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

/// A quarter's changes.
const CHANGES: usize = 500;
/// Pairs of changes to one service.
const PAIRS: usize = 50;
/// Services of one user.
const SERVICES: usize = 190;
/// Ms until the table answers.
const DELAY: u64 = 10;

fn main() {
    println!("{CHANGES} changes, table answers after {DELAY} ms");
    println!(
        "case                          commits conflicts  reads   rows    bytes  ms   accepted"
    );
    show("one window, one committer", &["a"], together);
    show("one at a time, one committer", &["a"], one_by_one);
    show("one window, 2 committers", &["a", "b"], together);
    show(
        "one window, 7 committers",
        &["a", "b", "c", "d", "e", "f", "g"],
        together,
    );
    rivals("nile", SpreadSettings::nile());
    rivals("cascadia", SpreadSettings::cascadia());
    slopes();
    recovery();
}

/// Pairs of changes of one service 300 ms apart, the second by somebody who reads the service then.
fn rivals(case: &str, spread: SpreadSettings) {
    let mut driver = Driver::new(&[]);
    driver.add_with(Settings {
        spread,
        ..Settings::default()
    });
    driver.run(10_000);
    driver.delay = DELAY;
    let (mut accepted, mut millis) = (0, 0);
    for id in (0..2 * PAIRS).step_by(2) {
        let (service, began) = (id, driver.now);
        let first = driver.submit(0, &change(id, service, 0));
        driver.run(300);
        let services = driver.kernels[0].state().log.services();
        let base = services.get(&name(&format!("service-{service}")));
        let base = base.map_or(0, |it| it.revision.0);
        let second = driver.submit(0, &change(id + 1, service, base));
        while !driver.replies.contains_key(&first) || !driver.replies.contains_key(&second) {
            driver.run(10);
        }
        millis += driver.now.since(began);
        let pair = [first, second];
        accepted += pair.iter().filter(|it| is_accepted(&driver, **it)).count();
    }
    println!(
        "{case}: {accepted} of {} changes, two to a service 300 ms apart, accepted; {} ms a pair",
        2 * PAIRS,
        millis / PAIRS as u64
    );
}

fn show(case: &str, regions: &[&str], run: fn(&mut Driver) -> Vec<Token>) {
    let mut driver = Driver::new(regions);
    driver.run(10_000);
    driver.delay = DELAY;
    let (commits, reads, written, began) =
        (driver.commits, driver.reads, driver.written, driver.now);
    let tokens = run(&mut driver);
    while !tokens.iter().all(|it| driver.replies.contains_key(it)) {
        driver.run(10);
    }
    let millis = driver.now.since(began);
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

/// A document as long as users write them; each submission differs from the last in a few lines.
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

fn together(driver: &mut Driver) -> Vec<Token> {
    let nodes = driver.kernels.len();
    (0..CHANGES)
        .map(|id| driver.submit(id % nodes, &submission(id)))
        .collect()
}

fn one_by_one(driver: &mut Driver) -> Vec<Token> {
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

/// What a day's changes add, each alone in its batch, and what a snapshot holds then.
fn slopes() {
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

/// Reads of a node that starts when the log has 1,000 entries.
fn recovery() {
    for kept in [true, false] {
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
        if !kept {
            driver.objects.clear();
        }
        driver.deaf = [0, 1].into();
        let reads = driver.reads;
        let late = driver.add("b");
        driver.run(20_000);
        let seq = driver.kernels[late].state().log.seq();
        println!(
            "recovery to {seq}, snapshot kept: {kept}, table reads: {}",
            driver.reads - reads
        );
    }
}

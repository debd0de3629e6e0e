//! Prints how long changes take to reach every node and how many bytes each node sends.
//!
//! Run with `cargo run --release -p laburnum-kernel --example spread_run -- [nodes per zone] [zones]`.
//! Time and network are simulated: 2 ms from node to node and to the table, without losses.

#[path = "../tests/common/driver.rs"]
mod driver;

use laburnum_kernel::{
    Seq, Settings, SubmitId, Token,
    accept::Submission,
    settings::{SpreadForm, SpreadMode, SpreadSettings},
    spread::Stats,
    utils::hash64,
};

use driver::{Driver, name, node, put};

/// Number of services, each of which the burst changes once.
const SERVICES: u64 = 100;

fn main() {
    let mut numbers = std::env::args().skip(1).filter_map(|it| it.parse().ok());
    let nodes: usize = numbers.next().unwrap_or(40);
    let zones: usize = numbers.next().unwrap_or(3);
    println!("{zones} zones of {nodes} nodes; ms until every node holds it; bytes sent by a node");
    println!(
        "{:26}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}",
        "settings",
        "one ms",
        "mean",
        "worst",
        "100 ms",
        "mean",
        "worst",
        "delayed",
        "quiet/s",
        "worst/s",
        "reads/s"
    );
    let full = SpreadSettings {
        form: SpreadForm::Full,
        ..SpreadSettings::nile()
    };
    let poll = SpreadSettings {
        mode: SpreadMode::Poll,
        ..SpreadSettings::nile()
    };
    for (label, spread) in [
        ("nile", SpreadSettings::nile()),
        ("cascadia", SpreadSettings::cascadia()),
        ("nile, full texts", full),
        ("every node polls", poll),
    ] {
        run_case(label, &spread, nodes, zones);
    }
}

fn run_case(label: &str, spread: &SpreadSettings, nodes: usize, zones: usize) {
    let mut driver = fleet(spread, nodes, zones);
    // Creates the services, since the run measures changes of existing ones.
    let first = (0..SERVICES)
        .map(|it| change(&driver, 1, it))
        .collect::<Vec<_>>();
    let first = first.iter().map(|it| driver.submit(0, it)).collect();
    settle(&mut driver, first);
    driver.run(30_000);

    let (before, reads) = (sent_bytes(&driver), driver.reads + driver.polls);
    driver.run(60_000);
    let quiet = sent_between(&before, &sent_bytes(&driver));
    let reads = driver.reads + driver.polls - reads;

    let before = sent_bytes(&driver);
    let one = change(&driver, 2, 1);
    let token = driver.submit(0, &one);
    let one_ms = settle(&mut driver, vec![token]);
    let one = sent_between(&before, &sent_bytes(&driver));

    driver.run(120_000);
    let before = sent_bytes(&driver);
    let started = driver.now;
    let mut tokens = Vec::new();
    for service in 0..SERVICES {
        let change = change(&driver, 3, service);
        tokens.push(driver.submit(0, &change));
        if service % 20 == 19 {
            driver.run(200);
        }
    }
    settle(&mut driver, tokens);
    let burst_ms = driver.now.since(started);
    let burst = sent_between(&before, &sent_bytes(&driver));
    let delayed: u64 = stats(&driver).map(|it| it.delayed).sum();
    println!(
        "{label:26}{one_ms:9}{:9.0}{:9}{burst_ms:9}{:9.0}{:9}{delayed:9}{:9.0}{:9}{:9.1}",
        one.0,
        one.1,
        burst.0,
        burst.1,
        quiet.0 / 60.0,
        quiet.1 / 60,
        reads as f64 / 60.0
    );
}

/// Returns a change of a service, with a random id.
fn change(driver: &Driver, round: u64, service: u64) -> Submission {
    let id = hash64(&[&round.to_le_bytes(), &service.to_le_bytes()]);
    let name = format!("s{service}");
    let base = newest(driver, &name);
    Submission {
        id: SubmitId(u128::from(id) << 64 | u128::from(!id)),
        ..put(u128::from(1_000 * round + service), &name, base, &[])
    }
}

fn fleet(spread: &SpreadSettings, nodes: usize, zones: usize) -> Driver {
    let mut driver = Driver::new(&[]);
    for index in 0..nodes * zones {
        let zone = index % zones;
        driver.add_with(Settings {
            node: node(index),
            incarnation: 1,
            region: name(&format!("region-{}", zone / 3)),
            zone: name(&format!("zone-{zone}")),
            peers: (0..index).map(node).collect(),
            spread: spread.clone(),
            ..Settings::default()
        });
    }
    driver.run(20_000);
    driver
}

/// Runs until every submission is answered and every node holds the table's log. Returns the time in ms.
fn settle(driver: &mut Driver, tokens: Vec<Token>) -> u64 {
    let start = driver.now;
    loop {
        driver.run(5);
        let head = Seq(driver.entries().len() as u64);
        let answered = tokens.iter().all(|it| driver.replies.contains_key(it));
        let mut kernels = driver.kernels.iter();
        if answered && kernels.all(|it| it.state().log.seq() == head) {
            return driver.now.since(start);
        }
    }
}

/// Returns the newest revision of a service in the table.
fn newest(driver: &Driver, service: &str) -> u64 {
    let entries = driver.entries();
    let mut changes = entries.iter().flat_map(|it| &it.batch.changes).rev();
    let newest = changes.find(|it| it.service.as_str() == service);
    newest.map_or(0, |it| it.revision.0)
}

fn stats(driver: &Driver) -> impl Iterator<Item = Stats> {
    driver.kernels.iter().map(|it| it.state().spread.stats())
}

fn sent_bytes(driver: &Driver) -> Vec<u64> {
    stats(driver).map(|it| it.sent.values().sum()).collect()
}

/// Returns the mean and the largest number of bytes that a node sent.
fn sent_between(before: &[u64], after: &[u64]) -> (f64, u64) {
    let each: Vec<u64> = after
        .iter()
        .zip(before)
        .map(|(lhs, rhs)| lhs - rhs)
        .collect();
    let sum: u64 = each.iter().sum();
    let worst = each.iter().copied().max().unwrap_or_default();
    (sum as f64 / each.len().max(1) as f64, worst)
}

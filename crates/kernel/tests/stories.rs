//! Golden sessions of a restart while the platform is down, and of a drain under load.

mod common;
#[path = "common/driver.rs"]
mod driver;

use std::{collections::BTreeMap, fmt::Write};

use common::{Net, id};
use driver::{Driver, put};
use laburnum_kernel::{
    Event, Ms, Token,
    accept::Verdict,
    drain::Drain,
    event::UpstreamEvent,
    members::{Phase, Reach},
};

/// What happened, a line each: ms since the story began, who, what.
struct Story {
    text: String,
    start: Ms,
    now: Ms,
    last: BTreeMap<String, String>,
}

impl Story {
    fn new(start: Ms) -> Story {
        Story {
            text: String::new(),
            start,
            now: start,
            last: BTreeMap::new(),
        }
    }

    fn tell(&mut self, who: &str, what: &str) {
        let millis = self.now.since(self.start);
        writeln!(self.text, "{millis:>6} ms  {who:<16} {what}").expect("a string");
    }

    /// Tells what is the case with `who` if it was not told last.
    fn observe(&mut self, who: &str, what: String) {
        if self.last.get(who) != Some(&what) {
            self.tell(who, &what);
            self.last.insert(who.to_owned(), what);
        }
    }
}

fn watch(story: &mut Story, driver: &mut Driver, asked: &[(Token, &str)], millis: u64) {
    for _ in 0..millis / 50 {
        driver.run(50);
        story.now = driver.now;
        for (index, kernel) in driver.kernels.iter().enumerate() {
            let state = kernel.state();
            let what = match (driver.dead.contains(&index), state.spread.ready()) {
                (true, _) => "dead".to_owned(),
                (false, true) => format!("serves, configuration {}", state.log.seq()),
                (false, false) => format!("refuses to serve, configuration {}", state.log.seq()),
            };
            story.observe(&format!("node {index}"), what);
        }
        for (token, change) in asked {
            if driver.replies.contains_key(token) {
                let what = match driver.verdict(*token) {
                    Verdict::Accepted { seq, .. } => format!("accepted at {seq}"),
                    Verdict::Unavailable { why } => format!("unavailable: {why}"),
                    other => format!("{other:?}"),
                };
                story.observe(change, what);
            }
        }
    }
}

// The platform goes down right after a change was accepted. Node 2 crashes and comes back with nothing; it
// refuses callers until three peers told what they hold, and serves again without the table. An operator
// is told `unavailable`; sent again after the outage, under the same id, the change is made once.
#[test]
fn a_node_restarts_while_the_platform_is_down() {
    let mut driver = Driver::new(&["cairo"; 5]);
    driver.run(15_000);
    let mut story = Story::new(driver.now);
    let first = driver.submit(0, &put(1, "desk", 0, &[]));
    watch(&mut story, &mut driver, &[(first, "change 1")], 3_000);
    driver.down = true;
    story.tell("platform", "down");
    driver.dead.insert(2);
    watch(&mut story, &mut driver, &[], 2_000);
    driver.restart(2);
    story.tell("node 2", "started anew, holding nothing");
    let second = driver.submit(1, &put(2, "desk", 1, &[]));
    story.tell("change 2", "submitted at node 1");
    watch(&mut story, &mut driver, &[(second, "change 2")], 20_000);
    driver.down = false;
    story.tell("platform", "up");
    let again = driver.submit(1, &put(2, "desk", 1, &[]));
    story.tell("change 2", "submitted again at node 1");
    watch(&mut story, &mut driver, &[(again, "change 2")], 10_000);
    assert_eq!(driver.entries().len(), 2);
    insta::assert_snapshot!(story.text);
}

/// How many of the nodes hold node 3 so.
fn seen(net: &Net) -> String {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for viewer in (0..6).filter(|it| *it != 3) {
        let offer = |it: &laburnum_kernel::members::Record| match &it.offer {
            Some(offer) => format!("offering {}", offer.service),
            None => "offering nothing".to_owned(),
        };
        let what = match (net.record(viewer, 3), net.reach(viewer, 3)) {
            (Some(it), Some(Reach::Reachable)) => format!("{:?} {}", it.phase, offer(it)),
            (Some(it), reach) => format!("{:?} {reach:?}", it.phase),
            (None, _) => "gone".to_owned(),
        };
        *counts.entry(what).or_default() += 1;
    }
    let counts = counts
        .iter()
        .map(|(what, count)| format!("{what} by {count}"));
    counts.collect::<Vec<_>>().join(", ")
}

fn watch_drain(story: &mut Story, net: &mut Net, millis: u64) {
    for passed in (0..millis).step_by(50) {
        // The upstream's heartbeat goes on while it works off what it has.
        if passed % 1_000 == 0 && net.nodes.contains_key(&id(3)) {
            let service = "desk".parse().expect("a name");
            let announced = UpstreamEvent::Announced { service, slots: 4 };
            net.step(id(3), Event::Upstream(announced));
        }
        net.run(50);
        story.now = net.now;
        let what = match net.nodes.get(&id(3)).map(|it| it.state().drain) {
            Some(Drain::Serving { .. }) => "serves",
            Some(Drain::Waiting { .. }) => "refuses new work, waits for requests in progress",
            Some(Drain::Idle { .. }) => "no request in progress, waits until all have heard",
            Some(Drain::Gone { .. }) => "tells that it is gone",
            Some(Drain::Exited) | None => "exits",
        };
        story.observe("node 3", what.to_owned());
        story.observe("node 3 is seen", seen(net));
        let roles = (0..6).filter(|it| *it != 3).filter(|it| {
            let mut ready = net.node(*it).state().members.ready();
            ready.any(|it| it.id == id(3))
        });
        story.observe("roles for node 3", format!("by {} nodes", roles.count()));
    }
}

// Node 3 is told to stop while requests run there. It refuses new work at once and everyone else hears of
// it within a second, so no caller is sent there any more; the requests get the time that they need. It
// exits once the last one ended and its farewell was told.
#[test]
fn a_node_drains_under_load() {
    let mut net = Net::settled(30, &["a", "a", "a", "b", "b", "b"]);
    let mut story = Story::new(net.now);
    net.step(id(3), Event::Upstream(UpstreamEvent::Ready));
    watch_drain(&mut story, &mut net, 5_000);
    net.step(id(3), Event::Stop);
    story.tell("node 3", "is told to stop, two requests in progress");
    watch_drain(&mut story, &mut net, 4_000);
    story.tell("node 3", "last request ends");
    net.step(id(3), Event::Idle);
    watch_drain(&mut story, &mut net, 5_000);
    assert!(net.exited.contains(&id(3)));
    assert_eq!(net.phases(3), [None::<Phase>].into());
    insta::assert_snapshot!(story.text);
}

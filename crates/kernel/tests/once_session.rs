//! Sessions as snapshots: the messages between nodes, the writes to the table and the replies to callers.

#[path = "common/claims.rs"]
mod claims;

use claims::{Fleet, answer};
use laburnum_kernel::{
    Call,
    guard::{self, Fingerprint},
    once::Ended,
};

fn note(fleet: &mut Fleet, text: &str) {
    fleet.trace.push(format!("-- {text}"));
}

// Guards against a change of the messages and replies if one request is sent twice through two nodes and again
// after it ran.
#[test]
fn schedule_signed_twice() {
    let mut fleet = Fleet::new(3);
    note(
        &mut fleet,
        "the signature arrives at node 0 and again at node 1",
    );
    fleet.claim(0, "schedule-7", 1);
    fleet.claim(1, "schedule-7", 2);
    fleet.run(500);
    note(&mut fleet, "the upstream of node 0 has run it");
    fleet.settle(0, "schedule-7", 1, Ended::Ran(answer("signed")));
    fleet.run(500);
    note(&mut fleet, "the caller sends it again, through node 2");
    fleet.claim(2, "schedule-7", 3);
    fleet.run(500);
    insta::assert_snapshot!(fleet.trace.join("\n"));
}

// Guards against a change of the messages and replies if a request crashes two upstreams: it must be quarantined
// on all nodes, and a read that was in flight with it must not.
#[test]
fn crashing_filing_sent_again() {
    let mut fleet = Fleet::new(3);
    let crashed = |prints: &[u64]| {
        let prints = prints.iter().copied().map(Fingerprint).collect();
        Call::Guard(guard::Call::Crashed { prints })
    };
    note(
        &mut fleet,
        "the filing is claimed, and node 0's upstream dies with it and a read",
    );
    fleet.claim(0, "filing-3", 1);
    fleet.run(500);
    fleet.call(0, crashed(&[1, 77]));
    fleet.settle(0, "filing-3", 1, Ended::Unknown);
    fleet.run(500);
    note(
        &mut fleet,
        "the caller sends it again: it is not run a second time",
    );
    fleet.claim(1, "filing-3", 2);
    fleet.run(500);
    note(&mut fleet, "the read ran at node 2 meanwhile");
    let print = Fingerprint(77);
    fleet.call(2, Call::Guard(guard::Call::Survived { print }));
    fleet.run(500);
    note(&mut fleet, "under another key it crashes node 1's upstream");
    fleet.claim(1, "filing-4", 3);
    fleet.run(500);
    fleet.call(1, crashed(&[1, 77]));
    fleet.run(500);
    for (idx, kernel) in fleet.kernels.iter().enumerate() {
        let view = kernel.state().guard.quarantined();
        let (filing, read) = (view.is_held(Fingerprint(1)), view.is_held(Fingerprint(77)));
        fleet.trace.push(format!(
            "-- node {idx} refuses the filing: {filing}, the read: {read}"
        ));
    }
    note(
        &mut fleet,
        "an operator lists the quarantines, and lifts this one",
    );
    fleet.call(2, Call::Guard(guard::Call::List));
    let lift = guard::Call::Lift {
        print: Fingerprint(1),
        author: "amal".to_owned(),
        note: "mended in release 12".to_owned(),
    };
    fleet.call(2, Call::Guard(lift));
    fleet.run(500);
    insta::assert_snapshot!(fleet.trace.join("\n"));
}

//! Acceptance of submissions: the verdicts under faults of the table and of other nodes.

#[path = "common/driver.rs"]
mod driver;

use std::{cell::RefCell, rc::Rc};

use laburnum_kernel::{
    Event, Message, Ms, Revision, Seq, Settings, SubmitId,
    accept::{self, Call, Reply, Submission, Verdict},
    log::Edit,
    platform::Fault,
    settings::SpreadSettings,
};
use test_case::test_case;

use driver::{CommitOutcome, Delivery, Driver, delete, name, put};

const ID: SubmitId = SubmitId(1);

fn kind(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Accepted { .. } => "accepted",
        Verdict::Conflict { .. } => "conflict",
        Verdict::Refused { .. } => "refused",
        Verdict::Unavailable { .. } => "unavailable",
        Verdict::Unknown { .. } => "unknown",
        Verdict::Absent { .. } => "absent",
    }
}

fn show(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Conflict {
            revision,
            author,
            diff,
        } => format!("conflict: revision {revision} of {author}\n{diff}"),
        other => format!("{other:?}"),
    }
}

/// Submits all at once and returns the verdicts.
fn submit_all(driver: &mut Driver, submissions: &[Submission]) -> Vec<&'static str> {
    let tokens: Vec<_> = submissions.iter().map(|it| driver.submit(0, it)).collect();
    driver.run(8_000);
    tokens.iter().map(|it| kind(&driver.verdict(*it))).collect()
}

// Guards against a change that is lost or applied twice if the table fails a commit and then works again.
#[test_case(&[CommitOutcome::AnswerLost]; "answer lost after the write")]
#[test_case(&[CommitOutcome::WriteLost]; "write lost")]
#[test_case(&[CommitOutcome::WriteLate(3)]; "write arrives after it was reported lost")]
#[test_case(&[CommitOutcome::WriteLate(60), CommitOutcome::Slow(200)]; "write arrives while it is repeated")]
#[test_case(&[CommitOutcome::WriteLate(500)]; "write arrives long after it was repeated")]
#[test_case(&[CommitOutcome::AnswerLost, CommitOutcome::AnswerLost]; "two answers lost")]
#[test_case(&[CommitOutcome::WriteLost, CommitOutcome::AnswerLost]; "write lost and then answer lost")]
#[test_case(&[CommitOutcome::Fails(Fault::Unavailable)]; "unavailable")]
#[test_case(&[CommitOutcome::Fails(Fault::Throttled { after: 700 })]; "throttled")]
#[test_case(&[CommitOutcome::Slow(3_000)]; "slow")]
fn transient_fault_ends_in_one_acceptance(outcomes: &[CommitOutcome]) {
    let mut driver = Driver::new(&["cairo"]);
    driver.run(100);
    driver.commit_outcomes.extend(outcomes.iter().cloned());
    assert_eq!(
        submit_all(&mut driver, &[put(1, "desk", 0, &[])]),
        ["accepted"]
    );
    assert_eq!(driver.applied(ID), 1);
    let again = driver.submit(0, &put(1, "desk", 0, &[]));
    assert_eq!(
        driver.verdict(again),
        Verdict::Accepted {
            seq: Seq(1),
            revision: Revision(1)
        }
    );
    assert_eq!(driver.entries().len(), 1);
}

// Guards against a wrong verdict if the table fails a commit and stays down past the deadline: unavailable if
// nothing was written, unknown if it may have been. A later query and resubmission by id must be correct too.
#[test_case(CommitOutcome::Fails(Fault::Unavailable), "unavailable", "absent"; "surely not written")]
#[test_case(CommitOutcome::AnswerLost, "unknown", "accepted"; "written")]
#[test_case(CommitOutcome::WriteLost, "unknown", "absent"; "not written")]
#[test_case(CommitOutcome::Slow(9_000), "unknown", "accepted"; "no answer in time")]
fn outage_verdict_matches_write_outcome(outcome: CommitOutcome, first: &str, later: &str) {
    let mut driver = Driver::new(&["cairo"]);
    driver.run(100);
    driver.commit_outcomes.push_back(outcome);
    let token = driver.submit(0, &put(1, "desk", 0, &[]));
    driver.run(60);
    driver.down = true;
    driver.run(7_000);
    assert_eq!(kind(&driver.verdict(token)), first);
    let Reply::Verdict(verdict) = driver.ask(0, Call::Outcome { id: ID }) else {
        panic!("a verdict expected");
    };
    assert_eq!(verdict, Verdict::Unknown { id: ID });
    driver.down = false;
    driver.run(7_000);
    let Reply::Verdict(verdict) = driver.ask(0, Call::Outcome { id: ID }) else {
        panic!("a verdict expected");
    };
    assert_eq!(kind(&verdict), later);
    assert_eq!(
        submit_all(&mut driver, &[put(1, "desk", 0, &[])]),
        ["accepted"]
    );
    assert_eq!(driver.applied(ID), 1);
}

// Guards against an unknown verdict if the table is down before anything is sent to it: the committer must refuse
// before the forwarding node gives up on it.
#[test_case(0; "at one node")]
#[test_case(1; "at the other")]
fn outage_is_reported_within_two_seconds(entry: usize) {
    let mut driver = Driver::new(&["cairo", "cairo"]);
    driver.run(100);
    driver.down = true;
    let token = driver.submit(entry, &put(1, "desk", 0, &[]));
    driver.run(2_000);
    assert_eq!(kind(&driver.verdict(token)), "unavailable");
    driver.down = false;
    driver.run(1_000);
    assert_eq!(driver.applied(ID), 0);
    assert_eq!(
        submit_all(&mut driver, &[put(1, "desk", 0, &[])]),
        ["accepted"]
    );
}

// Guards against a submission whose verdict depends on others in the same window, or on the order of arrival.
// Service a routes to b before.
#[test_case(&[put(1, "c", 0, &["d"]), put(2, "d", 0, &["c"])], &["accepted", "accepted"]; "two new ones that need each other")]
#[test_case(&[put(1, "c", 0, &["x"]), put(2, "d", 0, &[])], &["refused", "accepted"]; "route to nothing")]
#[test_case(&[put(1, "c", 0, &["d"]), put(2, "d", 0, &["x"])], &["refused", "refused"]; "route to a refused one")]
#[test_case(&[delete(1, "b", 1), put(2, "d", 0, &[])], &["refused", "accepted"]; "deletion of one in use")]
#[test_case(&[delete(1, "b", 1), put(2, "a", 1, &[])], &["accepted", "accepted"]; "deletion and its user's change")]
#[test_case(&[delete(1, "b", 1), delete(2, "a", 1)], &["accepted", "accepted"]; "deletion of both")]
#[test_case(&[delete(1, "b", 1), put(2, "c", 0, &["b"])], &["refused", "accepted"]; "deletion and a new user")]
#[test_case(&[delete(1, "x", 0)], &["refused"]; "deletion of nothing")]
#[test_case(&[put(1, "c", 0, &[]), put(2, "c", 0, &[])], &["accepted", "conflict"]; "two for one service")]
#[test_case(&[put(1, "c", 0, &["x"]), put(2, "c", 0, &[])], &["refused", "accepted"]; "first for one service is wrong")]
#[test_case(&[put(1, "a", 9, &[])], &["conflict"]; "base that never was")]
#[test_case(&[put(1, "a", 0, &[]), put(2, "b", 1, &[])], &["conflict", "accepted"]; "base that has passed")]
fn each_submission_gets_its_own_verdict(submissions: &[Submission], expected: &[&str]) {
    for reverse in [false, true] {
        let mut driver = Driver::new(&["cairo"]);
        driver.run(100);
        let base = [put(91, "a", 0, &["b"]), put(92, "b", 0, &[])];
        assert_eq!(submit_all(&mut driver, &base), ["accepted", "accepted"]);
        let (mut submissions, mut expected) = (submissions.to_vec(), expected.to_vec());
        let rivals = submissions
            .windows(2)
            .any(|it| it[0].service == it[1].service);
        if reverse && !rivals {
            submissions.reverse();
            expected.reverse();
        }
        let commits = driver.commits;
        assert_eq!(submit_all(&mut driver, &submissions), expected);
        assert!(driver.commits <= commits + 1);
    }
}

// Guards against lost conflicts if three operators change one service through two committers: one is accepted, the
// others get its author and diff. A change of another service shares the first transaction.
#[test]
fn concurrent_changes_of_one_service_conflict() {
    let mut driver = Driver::new(&["cairo", "oregon"]);
    driver.run(5_000);
    let first = driver.submit(0, &put(1, "desk", 0, &[]));
    driver.run(5_000);
    assert_eq!(kind(&driver.verdict(first)), "accepted");
    driver.session.clear();
    let tokens = [
        driver.submit(0, &put(2, "desk", 1, &[])),
        driver.submit(0, &put(3, "desk", 1, &[])),
        driver.submit(1, &put(4, "desk", 1, &[])),
        driver.submit(0, &put(5, "registry", 0, &["desk"])),
    ];
    driver.run(8_000);
    let mut session = driver.session.clone();
    let verdicts = tokens.iter().zip(2..);
    let verdicts =
        verdicts.map(|(it, id)| format!("operator-{id} is told {}", show(&driver.verdict(*it))));
    session.extend(verdicts);
    insta::assert_snapshot!("racing_operators", session.join("\n"));
}

// Guards against a second write if a commit takes effect and its answer is lost.
#[test]
fn lost_answer_ends_in_one_acceptance() {
    let mut driver = Driver::new(&["cairo"]);
    driver.run(100);
    driver.session.clear();
    driver.commit_outcomes.push_back(CommitOutcome::AnswerLost);
    let token = driver.submit(0, &put(1, "desk", 0, &[]));
    driver.run(8_000);
    let mut session = driver.session.clone();
    let verdict = show(&driver.verdict(token));
    session.push(format!("operator-1 is told {verdict}"));
    insta::assert_snapshot!("answer_lost", session.join("\n"));
}

// Guards against lost or duplicated changes if the committers of two regions write at once.
#[test]
fn two_committers_lose_no_change() {
    let mut driver = Driver::new(&["cairo", "oregon"]);
    driver.run(5_000);
    let mut tokens = Vec::new();
    for id in 0..40 {
        let index = (id % 2) as usize;
        tokens.push(driver.submit(index, &put(id, &format!("s{}", id / 2), 0, &[])));
        driver.run(7);
    }
    driver.run(8_000);
    let verdicts: Vec<_> = tokens.iter().map(|it| kind(&driver.verdict(*it))).collect();
    for (pair, verdicts) in verdicts.chunks(2).enumerate() {
        let pair = pair as u128;
        let ids = [SubmitId(2 * pair), SubmitId(2 * pair + 1)];
        assert_eq!(
            ids.map(|it| driver.applied(it)).iter().sum::<usize>(),
            1,
            "s{pair}"
        );
        let mut sorted = verdicts.to_vec();
        sorted.sort_unstable();
        assert_eq!(sorted, ["accepted", "conflict"], "s{pair}");
    }
}

/// Returns the indexes of the committer and of the other of two nodes in Cairo.
fn committer_and_other(driver: &Driver) -> (usize, usize) {
    let kernel = &driver.kernels[0];
    let committer = accept::committer(kernel.state(), &name("cairo"));
    match committer == Some(kernel.settings().node) {
        true => (0, 1),
        false => (1, 0),
    }
}

// Guards against a submission that stays without a verdict, or is applied twice, if the forward to the committer or
// its verdict is lost.
#[test_case(true; "the committer hears nothing")]
#[test_case(false; "the verdict is lost")]
fn unreachable_committer_is_replaced(forward_lost: bool) {
    let mut driver = Driver::new(&["cairo", "cairo"]);
    driver.run(5_000);
    let (committer, entry) = committer_and_other(&driver);
    driver
        .unreachable
        .insert(if forward_lost { committer } else { entry });
    let token = driver.submit(entry, &put(1, "desk", 0, &[]));
    driver.run(1_500);
    assert_eq!(driver.entries().len(), usize::from(!forward_lost));
    driver.run(6_000);
    assert_eq!(kind(&driver.verdict(token)), "accepted");
    driver.unreachable.clear();
    driver.run(5_000);
    let again = driver.submit(committer, &put(1, "desk", 0, &[]));
    driver.run(2_000);
    assert_eq!(kind(&driver.verdict(again)), "accepted");
    assert_eq!(driver.applied(ID), 1);
}

// Guards against the verdict unavailable for a committed submission: the committer's verdict is lost, and the table
// fails before the forwarding node can read the log.
#[test]
fn timed_out_forward_is_unknown_without_table() {
    let mut driver = Driver::new(&["cairo", "cairo"]);
    driver.run(5_000);
    let (committer, entry) = committer_and_other(&driver);
    driver.unreachable.insert(entry);
    let token = driver.submit(entry, &put(1, "desk", 0, &[]));
    driver.run(1_500);
    assert_eq!(driver.applied(ID), 1);
    driver.down = true;
    driver.run(6_000);
    assert_eq!(driver.verdict(token), Verdict::Unknown { id: ID });
    let log = &driver.kernels[committer].state().log;
    assert_eq!(log.seq(), Seq(1));
}

// Guards against the verdict unavailable if a write that was reported lost takes effect long after the verdict.
#[test]
fn late_write_makes_verdict_unknown() {
    let mut driver = Driver::new(&["cairo"]);
    driver.run(100);
    driver
        .commit_outcomes
        .push_back(CommitOutcome::WriteLate(9_000));
    driver
        .commit_outcomes
        .extend(vec![CommitOutcome::Fails(Fault::Unavailable); 300]);
    let token = driver.submit(0, &put(1, "desk", 0, &[]));
    driver.run(8_000);
    assert_eq!(driver.verdict(token), Verdict::Unknown { id: ID });
    driver.run(8_000);
    let reply = driver.ask(0, Call::Outcome { id: ID });
    assert!(matches!(reply, Reply::Verdict(Verdict::Accepted { .. })));
}

// Guards against a refusal of a submission whose lost write may still take effect, after the submission that it
// routes to was given up.
#[test]
fn late_write_makes_refusal_unknown() {
    let mut driver = Driver::new(&["cairo"]);
    driver.run(100);
    let throttled = CommitOutcome::Fails(Fault::Throttled { after: 10 });
    driver.commit_outcomes.extend(vec![throttled; 300]);
    driver.submit(0, &put(2, "registry", 0, &[]));
    driver.run(2_900);
    let token = driver.submit(0, &put(1, "desk", 0, &["registry"]));
    driver.run(100);
    driver.commit_outcomes.clear();
    driver
        .commit_outcomes
        .push_back(CommitOutcome::WriteLate(9_000));
    driver
        .commit_outcomes
        .extend(vec![CommitOutcome::Fails(Fault::Unavailable); 300]);
    driver.run(6_500);
    assert_eq!(driver.verdict(token), Verdict::Unknown { id: ID });
    driver.run(9_000);
    assert_eq!(driver.applied(ID), 1);
}

// Guards against a refusal that is based on an outdated log: a lagging committer must read the table's log first.
#[test_case(put(1, "desk", 0, &["registry"]); "routes to a service it has not heard of")]
#[test_case(put(1, "registry", 1, &[]); "base that it has not heard of")]
#[test_case(delete(1, "registry", 1); "deletion of a service it has not heard of")]
fn lagging_committer_reads_before_refusal(submission: Submission) {
    let mut driver = Driver::new(&["cairo", "oregon"]);
    driver.run(5_000);
    driver.unreachable = [0, 1].into();
    let first = driver.submit(0, &put(2, "registry", 0, &[]));
    driver.run(200);
    assert_eq!(kind(&driver.verdict(first)), "accepted");
    let token = driver.submit(1, &submission);
    driver.run(5_000);
    assert_eq!(kind(&driver.verdict(token)), "accepted");
}

// Guards against a conflict of a submission with itself if it is sent again through a node that still recovers the
// log.
#[test]
fn recovered_submission_is_accepted() {
    let mut driver = Driver::new(&["cairo"]);
    driver.run(100);
    assert_eq!(
        submit_all(&mut driver, &[put(1, "desk", 0, &[])]),
        ["accepted"]
    );
    driver.unreachable = [0, 1].into();
    driver
        .commit_outcomes
        .extend(vec![CommitOutcome::Fails(Fault::Unavailable); 300]);
    let late = driver.add("oregon");
    let token = driver.submit(late, &put(1, "desk", 0, &[]));
    driver.run(7_000);
    assert_eq!(kind(&driver.verdict(token)), "accepted");
    assert_eq!(driver.applied(ID), 1);
}

// Guards against refused submissions if a transaction's bounds fall between new services that route to each other.
#[test_case(240, ""; "bounded by rows")]
#[test_case(60, "#"; "bounded by bytes")]
fn dependent_services_share_a_transaction(pairs: u128, filler: &str) {
    let mut driver = Driver::new(&["cairo"]);
    driver.run(100);
    let mut submissions: Vec<Submission> = Vec::new();
    for half in 0..2 {
        for pair in 0..pairs {
            let other = format!("s{pair}-{}", 1 - half);
            let id = half * pairs + pair;
            let mut it = put(id, &format!("s{pair}-{half}"), 0, &[&other]);
            if let Edit::Put { text } = &mut it.edit {
                text.push_str(&filler.repeat(20_000));
            }
            submissions.push(it);
        }
    }
    let verdicts = submit_all(&mut driver, &submissions);
    assert!(verdicts.iter().all(|it| *it == "accepted"), "{verdicts:?}");
    assert!(driver.commits <= submissions.len() / 2);
    for entry in driver.entries() {
        let bytes = postcard::to_stdvec(&entry.batch).expect("encodes");
        assert!(bytes.len() <= accept::BATCH_MAX);
    }
}

// Guards against missing or wrong entries in an audit that is read page by page, for all services or one.
#[test]
fn audit_returns_every_change() {
    let mut driver = Driver::new(&["cairo"]);
    driver.run(100);
    for id in 1..=40 {
        let (service, base) = if id % 2 == 1 {
            ("a", id - 2)
        } else {
            ("b", id - 2)
        };
        let base = u64::try_from(base).unwrap_or(0);
        assert_eq!(
            submit_all(&mut driver, &[put(id as u128, service, base, &[])]),
            ["accepted"]
        );
    }
    for (service, expected) in [(None, 40), (Some(name("a")), 20)] {
        let mut entries = Vec::new();
        let mut after = Seq(0);
        loop {
            let (service, limit) = (service.clone(), 7);
            let call = Call::Audit {
                service,
                after,
                limit,
            };
            let Reply::Audit(page) = driver.ask(0, call) else {
                panic!("a page expected");
            };
            assert!(page.entries.len() <= 7);
            entries.extend(page.entries);
            let Some(next) = page.next else { break };
            after = next;
        }
        assert_eq!(entries.len(), expected);
        let last = &entries[expected - 1];
        let change = &last.batch.changes[0];
        assert_eq!(change.revision.0, last.batch.seq.0);
        assert_eq!(change.base.0, last.batch.seq.0 - 2);
        assert_eq!(
            (change.author.as_str(), change.reason.as_str()),
            (format!("operator-{}", change.id.0).as_str(), "test")
        );
        assert!(change.time > Ms(1_000_000));
        assert!(last.diffs[0].contains(&format!("-owner = \"operator-{}\"", change.id.0 - 2)));
        assert!(last.diffs[0].contains(&format!("+owner = \"operator-{}\"", change.id.0)));
    }
    driver.down = true;
    let call = Call::Audit {
        service: None,
        after: Seq(0),
        limit: 7,
    };
    assert!(matches!(driver.ask(0, call), Reply::Unavailable { .. }));
}

// Guards against an unbounded queue, and against the loss of queued submissions when it is full.
#[test]
fn full_queue_refuses_submissions() {
    let mut driver = Driver::new(&["cairo"]);
    driver.run(100);
    let count = laburnum_kernel::accept::QUEUE_MAX as u128 + 10;
    let tokens: Vec<_> = (0..count)
        .map(|id| driver.submit(0, &put(id, &format!("s{id}"), 0, &[])))
        .collect();
    driver.run(8_000);
    let verdicts: Vec<_> = tokens.iter().map(|it| kind(&driver.verdict(*it))).collect();
    assert_eq!(
        verdicts.iter().filter(|it| **it == "accepted").count(),
        count as usize - 10
    );
    assert_eq!(verdicts[count as usize - 10..], ["unavailable"; 10]);
}

// Guards against a refused submission that is accepted later because a duplicate of its forward arrives. A new
// attempt under the same id must be accepted.
#[test]
fn duplicate_of_refused_submission_is_ignored() {
    let mut driver = Driver::new(&["cairo"]);
    driver.run(100);
    let submission = put(1, "c", 0, &["d"]);
    let forward = |attempt| {
        let submission = submission.clone();
        let message = accept::Message::Forward {
            submission,
            attempt,
        };
        let message = Message::Accept(message);
        let from = driver::node(1);
        Event::Message { from, message }
    };
    driver.event(0, forward(7));
    driver.run(1_000);
    assert_eq!(
        submit_all(&mut driver, &[put(2, "d", 0, &[])]),
        ["accepted"]
    );
    driver.event(0, forward(7));
    driver.run(1_000);
    assert_eq!(driver.applied(SubmitId(1)), 0);
    driver.event(0, forward(8));
    driver.run(1_000);
    assert_eq!(driver.applied(SubmitId(1)), 1);
}

// Guards against the verdict that nothing was changed for an accepted submission: a verdict on an earlier submission under
// the same id arrives late, or a second time.
#[test_case(Delivery::Late(3_000); "late")]
#[test_case(Delivery::Doubled; "a second time")]
fn verdict_on_an_earlier_submission_answers_no_later_one(delivery: Delivery) {
    let mut driver = Driver::new(&["cairo", "cairo"]);
    driver.run(5_000);
    let (committer, entry) = committer_and_other(&driver);
    let held = Rc::new(RefCell::new(None));
    let first = held.clone();
    driver.tap = Some(Box::new(move |_, from, to, message| {
        let is_verdict = matches!(message, Message::Accept(accept::Message::Verdict { .. }));
        if !is_verdict || (from, to) != (committer, entry) || first.borrow().is_some() {
            return Delivery::Arrives;
        }
        *first.borrow_mut() = Some(message.clone());
        match delivery {
            Delivery::Doubled => Delivery::Arrives,
            _ => Delivery::Lost,
        }
    }));
    let submission = put(1, "c", 0, &["d"]);
    let refused = driver.submit(entry, &submission);
    driver.run(3_000);
    assert_ne!(kind(&driver.verdict(refused)), "accepted");
    assert_eq!(
        submit_all(&mut driver, &[put(2, "d", 0, &[])]),
        ["accepted"]
    );
    driver.delay = 200;
    let again = driver.submit(entry, &submission);
    driver.run(100);
    let message = held.borrow_mut().take().expect("a verdict");
    let from = driver::node(committer);
    driver.event(entry, Event::Message { from, message });
    driver.run(3_000);
    assert_eq!(driver.applied(ID), 1);
    assert_eq!(kind(&driver.verdict(again)), "accepted");
}

// Guards against conflicts between changes 300 ms apart where the window of spreading is long.
#[test_case(SpreadSettings::nile(); "nile")]
#[test_case(SpreadSettings::cascadia(); "cascadia")]
fn changes_300_ms_apart_do_not_conflict(spread: SpreadSettings) {
    let mut driver = Driver::new(&[]);
    driver.add_with(Settings {
        spread,
        ..Settings::default()
    });
    driver.run(100);
    let first = driver.submit(0, &put(1, "desk", 0, &[]));
    driver.run(300);
    let second = driver.submit(0, &put(2, "desk", 1, &[]));
    driver.run(300);
    assert_eq!(
        [first, second].map(|it| kind(&driver.verdict(it))),
        ["accepted"; 2]
    );
}

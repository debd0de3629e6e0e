//! Acceptance: what operators are told, whatever the table does meanwhile.

#[path = "common/driver.rs"]
mod driver;

use laburnum_kernel::{
    Event, Message, Ms, Revision, Seq, SubmitId,
    accept::{self, Call, Reply, Submission, Verdict},
    log::Edit,
    platform::Fault,
};
use test_case::test_case;

use driver::{Driver, Mishap, delete, name, put};

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

// The operator sees one verdict. The table fails one commit in some way and works again; the committer
// reads the log before it says anything, and commits again only where the first write can no longer be
// taken for another. So the change is accepted, and is in the log once.
#[test_case(&[Mishap::AnswerLost]; "answer lost after the write")]
#[test_case(&[Mishap::WriteLost]; "write lost")]
#[test_case(&[Mishap::WriteLate(3)]; "write arrives after it was reported lost")]
#[test_case(&[Mishap::WriteLate(60), Mishap::Slow(200)]; "write arrives while it is repeated")]
#[test_case(&[Mishap::WriteLate(500)]; "write arrives long after it was repeated")]
#[test_case(&[Mishap::AnswerLost, Mishap::AnswerLost]; "two answers lost")]
#[test_case(&[Mishap::WriteLost, Mishap::AnswerLost]; "write lost and then answer lost")]
#[test_case(&[Mishap::Fails(Fault::Unavailable)]; "unavailable")]
#[test_case(&[Mishap::Fails(Fault::Throttled { after: 700 })]; "throttled")]
#[test_case(&[Mishap::Slow(3_000)]; "slow")]
fn a_passing_fault_ends_in_one_acceptance(mishaps: &[Mishap]) {
    let mut driver = Driver::new(&["cairo"]);
    driver.run(100);
    driver.mishaps.extend(mishaps.iter().cloned());
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

// The operator is told what is known: the table fails a commit and stays down past the time for a verdict.
// A write that surely had no effect is unavailable, one that may have had is unknown; once the table is
// back, asking by the id gives the truth, and submitting again under the id never applies it twice.
#[test_case(Mishap::Fails(Fault::Unavailable), "unavailable", "absent"; "surely not written")]
#[test_case(Mishap::AnswerLost, "unknown", "accepted"; "written")]
#[test_case(Mishap::WriteLost, "unknown", "absent"; "not written")]
#[test_case(Mishap::Slow(9_000), "unknown", "accepted"; "no answer in time")]
fn a_lasting_outage_is_told_as_far_as_known(mishap: Mishap, first: &str, later: &str) {
    let mut driver = Driver::new(&["cairo"]);
    driver.run(100);
    driver.mishaps.push_back(mishap);
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

// The table is down before anything is sent to it. Whichever node an operator asks, the committer or one
// that forwards to it, the refusal comes within two seconds and says that nothing was changed: held back
// until its deadline it would reach a node that has taken the work back and can only say «unknown».
#[test_case(0; "at one node")]
#[test_case(1; "at the other")]
fn an_outage_is_told_at_once(entry: usize) {
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

// Every operator gets the verdict that the own submission deserves: right and wrong ones arrive within one
// window, in either order, on top of a log where a routes to b.
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

// A freeze lifts: three operators change one service at once, two of them through one committer and one
// through another that has not heard of the first batch. One wins; the others read who did, and what it
// changed. A fourth operator's change of another service is in the same transaction as the winner's.
#[test]
fn racing_operators_after_a_freeze() {
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
    session.extend(tokens.iter().map(|it| show(&driver.verdict(*it))));
    insta::assert_snapshot!("racing_operators", session.join("\n"));
}

// The operator sees one acceptance. The commit takes effect and its answer is lost; the committer reads the
// log, finds the submission's id there and says accepted, without a second write.
#[test]
fn an_answer_lost_after_the_write() {
    let mut driver = Driver::new(&["cairo"]);
    driver.run(100);
    driver.session.clear();
    driver.mishaps.push_back(Mishap::AnswerLost);
    let token = driver.submit(0, &put(1, "desk", 0, &[]));
    driver.run(8_000);
    let mut session = driver.session.clone();
    session.push(show(&driver.verdict(token)));
    insta::assert_snapshot!("answer_lost", session.join("\n"));
}

// Two regions' committers write at once, each conflicting with the other's batches. Nobody's change is lost
// or doubled, and of two for one service one wins.
#[test]
fn two_committers_at_once() {
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

/// Of two nodes of Cairo.
fn committer_and_other(driver: &Driver) -> (usize, usize) {
    let kernel = &driver.kernels[0];
    let committer = accept::committer(kernel.state(), &name("cairo"));
    match committer == Some(kernel.settings().node) {
        true => (0, 1),
        false => (1, 0),
    }
}

// The operator asks a node that is not the committer. The committer hears nothing (and never commits), or
// commits and its verdict is lost on the way back; the node then takes the work back, and the log decides.
#[test_case(true; "the committer hears nothing")]
#[test_case(false; "the verdict is lost")]
fn a_silent_committer_is_replaced(unheard: bool) {
    let mut driver = Driver::new(&["cairo", "cairo"]);
    driver.run(5_000);
    let (committer, entry) = committer_and_other(&driver);
    driver.deaf.insert(if unheard { committer } else { entry });
    let token = driver.submit(entry, &put(1, "desk", 0, &[]));
    driver.run(1_500);
    assert_eq!(driver.entries().len(), usize::from(!unheard));
    driver.run(6_000);
    assert_eq!(kind(&driver.verdict(token)), "accepted");
    driver.deaf.clear();
    driver.run(5_000);
    let again = driver.submit(committer, &put(1, "desk", 0, &[]));
    driver.run(2_000);
    assert_eq!(kind(&driver.verdict(again)), "accepted");
    assert_eq!(driver.applied(ID), 1);
}

// The operator may not be told "unavailable" once another node may have committed: the committer commits, its
// verdict is lost, and the table goes down before the node that took the submission can read the log.
#[test]
fn work_taken_back_from_a_committer_is_unknown_while_the_table_is_down() {
    let mut driver = Driver::new(&["cairo", "cairo"]);
    driver.run(5_000);
    let (committer, entry) = committer_and_other(&driver);
    driver.deaf.insert(entry);
    let token = driver.submit(entry, &put(1, "desk", 0, &[]));
    driver.run(1_500);
    assert_eq!(driver.applied(ID), 1);
    driver.down = true;
    driver.run(6_000);
    assert_eq!(driver.verdict(token), Verdict::Unknown { id: ID });
    let log = &driver.kernels[committer].state().log;
    assert_eq!(log.seq(), Seq(1));
}

// The first write is reported lost and arrives long after the operator has a verdict; the log read in between
// does not hold it yet. Whatever the later attempts end in, the operator may not read "unavailable".
#[test]
fn a_write_that_may_still_arrive_is_unknown() {
    let mut driver = Driver::new(&["cairo"]);
    driver.run(100);
    driver.mishaps.push_back(Mishap::WriteLate(9_000));
    driver
        .mishaps
        .extend(vec![Mishap::Fails(Fault::Unavailable); 300]);
    let token = driver.submit(0, &put(1, "desk", 0, &[]));
    driver.run(8_000);
    assert_eq!(driver.verdict(token), Verdict::Unknown { id: ID });
    driver.run(8_000);
    let reply = driver.ask(0, Call::Outcome { id: ID });
    assert!(matches!(reply, Reply::Verdict(Verdict::Accepted { .. })));
}

// Two submissions share a write that is reported lost and arrives late. The one that the other routes to is
// given up first; the other now routes to nothing as far as the log says, but may not be told "refused".
#[test]
fn a_refusal_is_unknown_while_the_write_may_still_arrive() {
    let mut driver = Driver::new(&["cairo"]);
    driver.run(100);
    let throttled = Mishap::Fails(Fault::Throttled { after: 10 });
    driver.mishaps.extend(vec![throttled; 300]);
    driver.submit(0, &put(2, "registry", 0, &[]));
    driver.run(2_900);
    let token = driver.submit(0, &put(1, "desk", 0, &["registry"]));
    driver.run(100);
    driver.mishaps.clear();
    driver.mishaps.push_back(Mishap::WriteLate(9_000));
    driver
        .mishaps
        .extend(vec![Mishap::Fails(Fault::Unavailable); 300]);
    driver.run(6_500);
    assert_eq!(driver.verdict(token), Verdict::Unknown { id: ID });
    driver.run(9_000);
    assert_eq!(driver.applied(ID), 1);
}

// A committer has not heard of the newest batches. A submission that is right on top of them would be refused
// by the log it holds; it reads the table's first, and the operator reads "accepted".
#[test_case(put(1, "desk", 0, &["registry"]); "routes to a service it has not heard of")]
#[test_case(put(1, "registry", 1, &[]); "base that it has not heard of")]
#[test_case(delete(1, "registry", 1); "deletion of a service it has not heard of")]
fn a_lagging_committer_reads_before_it_refuses(submission: Submission) {
    let mut driver = Driver::new(&["cairo", "oregon"]);
    driver.run(5_000);
    driver.deaf = [0, 1].into();
    let first = driver.submit(0, &put(2, "registry", 0, &[]));
    driver.run(200);
    assert_eq!(kind(&driver.verdict(first)), "accepted");
    let token = driver.submit(1, &submission);
    driver.run(5_000);
    assert_eq!(kind(&driver.verdict(token)), "accepted");
}

// The operator sends a submission again through a node that has just started. Its commits fail while it
// recovers; the recovered log holds the submission, so it is accepted and not a conflict with itself.
#[test]
fn a_submission_found_by_recovery_is_accepted() {
    let mut driver = Driver::new(&["cairo"]);
    driver.run(100);
    assert_eq!(
        submit_all(&mut driver, &[put(1, "desk", 0, &[])]),
        ["accepted"]
    );
    driver.deaf = [0, 1].into();
    driver
        .mishaps
        .extend(vec![Mishap::Fails(Fault::Unavailable); 300]);
    let late = driver.add("oregon");
    let token = driver.submit(late, &put(1, "desk", 0, &[]));
    driver.run(7_000);
    assert_eq!(kind(&driver.verdict(token)), "accepted");
    assert_eq!(driver.applied(ID), 1);
}

// A quarter's changes arrive in one window: more than one transaction takes, and pairs of new services that
// route to each other lie far apart. Every operator reads "accepted", after few transactions.
#[test_case(240, ""; "bounded by rows")]
#[test_case(60, "#"; "bounded by bytes")]
fn pairs_are_not_torn_apart(pairs: u128, filler: &str) {
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

// An auditor reads who changed what, when, why and how, page by page, of all services or of one.
#[test]
fn the_audit_is_read_back_whole() {
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

// Operators submit faster than the table takes it. The queue is bounded: what does not fit is refused at
// once, in words that say so, and what was taken in is accepted.
#[test]
fn a_full_queue_refuses_clearly() {
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

// The operator routes to a service that isn't there and is told `refused`. That service is created, and then
// a copy of the forwarded submission arrives, as when a connection was replaced. The refusal stands: the
// copy is recognised. The operator who submits again under the same id is heard.
#[test]
fn late_copy_of_a_refused_submission_changes_nothing() {
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

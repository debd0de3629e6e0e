//! What upstreams say about themselves: rates, order of answers, and what nodes remember.

use std::net::SocketAddr;

use laburnum_kernel::{
    Ms, NodeId,
    instance::Start,
    standing::{NamedLimit, Observed, Rate, Report, Standing, Standings, StartTag, Statement},
};
use test_case::test_case;

const NOW: Ms = Ms(10_000);

fn rate(millis: u64) -> Rate {
    Rate::from_millis(millis)
}

fn statement(limit: NamedLimit) -> Statement {
    Statement {
        limit,
        leaving: false,
    }
}

#[test_case("29.2" => Some(29_200); "one digit")]
#[test_case("2" => Some(2_000); "whole")]
#[test_case("0" => Some(0); "zero")]
#[test_case("0.25" => Some(250); "below one")]
#[test_case("7.0009" => Some(7_000); "more digits than are kept")]
#[test_case("" => None; "empty")]
#[test_case("." => None; "a dot")]
#[test_case("5." => None; "no fraction")]
#[test_case(".5" => None; "no whole part")]
#[test_case("-1" => None; "negative")]
#[test_case("+1" => None; "a sign")]
#[test_case("1e3" => None; "an exponent")]
#[test_case("inf" => None; "infinite")]
#[test_case("NaN" => None; "no number")]
#[test_case("1,5" => None; "a comma")]
#[test_case("12/s" => None; "a unit")]
#[test_case("1.2.3" => None; "two dots")]
#[test_case(" 5" => None; "a space")]
#[test_case("99999999999999999999" => None; "more than fits")]
#[test_case("0000000000000000000000000000000001" => None; "too long")]
fn rate_is_a_decimal_number(text: &str) -> Option<u64> {
    text.parse().ok().map(Rate::millis)
}

/// Guards against a limit that is lifted by an answer that was on its way when the limit was named.
#[test]
fn late_answer_without_a_limit_changes_nothing() {
    let mut observed = Observed::default();
    observed.observe(NOW + 50, NOW, statement(NamedLimit::Rate(rate(2_000))));
    assert_eq!(
        observed.observe(NOW + 60, NOW + 10, statement(NamedLimit::Absent)),
        None
    );
    assert_eq!(observed.standing().limit, Some(rate(2_000)));
}

#[test]
fn answer_without_a_limit_ends_it() {
    let mut observed = Observed::default();
    observed.observe(NOW + 50, NOW, statement(NamedLimit::Rate(rate(2_000))));
    let ended = observed.observe(NOW + 90, NOW + 50, statement(NamedLimit::Absent));
    assert_eq!(ended, Some(Standing::default()));
}

/// Guards against an upstream that gets more, or less, because of a value that is no rate.
#[test]
fn invalid_limit_changes_nothing() {
    let mut observed = Observed::default();
    let invalid = statement(NamedLimit::Invalid);
    assert_eq!(observed.observe(NOW, NOW, invalid), None);
    observed.observe(NOW + 50, NOW, statement(NamedLimit::Rate(rate(2_000))));
    assert_eq!(observed.observe(NOW + 90, NOW + 60, invalid), None);
    assert_eq!(observed.standing().limit, Some(rate(2_000)));
}

#[test]
fn leaving_is_never_taken_back() {
    let mut observed = Observed::default();
    let leaves = Statement {
        leaving: true,
        ..statement(NamedLimit::Absent)
    };
    assert!(observed.observe(NOW, NOW, leaves).is_some());
    assert_eq!(
        observed.observe(NOW + 9, NOW + 8, statement(NamedLimit::Absent)),
        None
    );
    assert!(observed.standing().leaving);
}

/// Guards against outdated memories of other nodes that replace what the upstream itself says.
#[test_case(NOW; "sent with the memory")]
#[test_case(NOW - 50; "sent before the memory came")]
fn remembered_limit_yields_to_the_first_answer(sent: Ms) {
    let remembered = Standing {
        limit: Some(rate(2_000)),
        leaving: false,
    };
    let mut observed = Observed::default();
    assert_eq!(observed.adopt(remembered), Some(remembered));
    observed.observe(NOW + 90, sent, statement(NamedLimit::Absent));
    assert_eq!(observed.standing().limit, None);
    assert_eq!(observed.adopt(remembered), None);
}

/// Guards against an owner that starts with an old, higher limit although another entry knows the present one.
#[test]
fn lowest_remembered_limit_holds() {
    let remembered = |limit| Standing {
        limit: Some(rate(limit)),
        leaving: false,
    };
    let mut observed = Observed::default();
    assert!(observed.adopt(remembered(9_000)).is_some());
    observed.adopt(remembered(2_000));
    assert_eq!(observed.adopt(remembered(60_000)), None);
    assert_eq!(observed.standing(), remembered(2_000));
    let named = statement(NamedLimit::Rate(rate(2_000)));
    let confirmed = observed.observe(NOW + 9, NOW, named);
    assert_eq!(confirmed, Some(remembered(2_000)));
    assert_eq!(observed.observe(NOW + 9, NOW, named), None);
}

#[test_case("1f/12.500/0"; "a limit")]
#[test_case("0/-/1"; "leaving")]
#[test_case("ffffffff/0.000/1"; "both")]
fn report_is_written_as_read(text: &str) {
    let report: Report = text.parse().expect("a report");
    assert_eq!(report.to_string(), text);
}

#[test_case(""; "empty")]
#[test_case("1f/12.5"; "too short")]
#[test_case("1f/12.5/0/0"; "too long")]
#[test_case("1f//0"; "no limit")]
#[test_case("xyz/-/0"; "a start that is no number")]
#[test_case("1f/-/yes"; "leaving in words")]
fn invalid_report_is_refused(text: &str) {
    let error = text.parse::<Report>().expect_err("an error");
    assert!(error.to_string().contains("update both nodes"), "{error}");
}

fn owner(port: u16) -> NodeId {
    NodeId(SocketAddr::from(([10, 0, 0, 1], port)))
}

#[test]
fn entries_remember_the_last_report_until_all_is_well() {
    let start = StartTag::from(&Start {
        id: "i-1".into(),
        born: 0,
    });
    let report = |limit| Report {
        start,
        standing: Standing {
            limit,
            leaving: false,
        },
    };
    let mut standings = Standings::default();
    standings.record(owner(1), report(Some(rate(2_000))));
    standings.record(owner(1), report(Some(rate(3_000))));
    assert_eq!(standings.of(owner(1)), Some(report(Some(rate(3_000)))));
    assert_eq!(standings.of(owner(2)), None);
    standings.record(owner(1), report(None));
    assert_eq!(standings.of(owner(1)), None);
}

/// Guards against memory that grows with every owner that ever named a limit.
#[test]
fn memory_of_reports_is_bounded() {
    let mut standings = Standings::default();
    for port in 1..3_000 {
        let standing = Standing {
            limit: Some(rate(1_000)),
            leaving: false,
        };
        let start = StartTag(port.into());
        standings.record(owner(port), Report { start, standing });
    }
    assert_eq!(standings.of(owner(1)), None);
    assert!(standings.of(owner(2_999)).is_some());
    let kept = (1..3_000).filter(|it| standings.of(owner(*it)).is_some());
    assert_eq!(kept.count(), 1_024);
}

//! The report prints its tables and checks, and fails on one failed check.

use laburnum_bench::report::{Report, Table, Verdict};
use serde_json::json;

fn report() -> Report {
    let mut table = Table::new("cases", &["case", "ms"]);
    table.row(["one change".to_owned(), "105".to_owned()]);
    table.row(["burst".to_owned(), "1005".to_owned()]);
    let mut report = Report::default();
    report.tables.push(table);
    report.field("nodes", 3);
    report.check("in force everywhere", true, "105 ms");
    report
}

#[test]
fn text_report_aligns_tables_and_ends_in_verdict() {
    let expected = "\
cases
  case        ms
  one change  105
  burst       1005

checks
  verdict  check                found
  pass     in force everywhere  105 ms

verdict: pass
";
    assert_eq!(report().to_string(), expected);
}

#[test]
fn json_report_holds_fields_and_verdict() {
    let expected = json!({
        "nodes": 3,
        "checks": [{ "name": "in force everywhere", "verdict": "pass", "found": "105 ms" }],
        "verdict": "pass",
    });
    assert_eq!(report().json(), expected);
}

#[test]
fn one_failed_check_fails_the_run() {
    let mut report = report();
    report.check("within 8 s", false, "8001 ms");
    assert_eq!(report.verdict(), Verdict::Fail);
    assert!(report.to_string().ends_with("verdict: fail\n"));
}

#[test]
fn report_without_a_check_fails() {
    assert_eq!(Report::default().verdict(), Verdict::Fail);
}

//! The command line and the commands that need no node, by snapshots.

mod support;

use laburnum_ctl::report::Outcome;
use support::ctl;
use test_case::test_case;

#[test_case("help", &["--help"])]
#[test_case("submit-help", &["submit", "--help"])]
#[test_case("check", &["check", "tests/data/archive.toml", "tests/data/faulty.toml"])]
#[test_case("explain", &["explain", "94e1052307bc43b9", "tests/data/entry.log", "tests/data/owner.log"])]
#[test_case("explain-call", &["explain", "f8a2e521e9f1b586.93d8d7b0f3d5c7cc", "tests/data/call.log"])]
#[test_case("explain-abandoned", &["explain", "4ef0a1b26c7d9385", "tests/data/abandoned.log"])]
#[test_case("explain-absent", &["explain", "0000000000000000", "tests/data/entry.log"])]
#[test_case("explain-nothing", &["explain", "0000000000000000", "tests/data/archive.toml"])]
#[test_case("explain-no-file", &["explain", "0000000000000000", "tests/data/absent.log"])]
#[test_case("check-json", &["check", "--json", "tests/data/archive.toml", "tests/data/faulty.toml"])]
#[tokio::test]
async fn output_matches_snapshot(name: &str, args: &[&str]) {
    insta::assert_snapshot!(name, ctl(args).await);
}

#[test_case(&[], "the command is missing; give one of: check, submit"; "no command")]
#[test_case(&["submt"], "did you mean submit?"; "unknown command")]
#[test_case(&["check"], "FILE... is missing"; "no file")]
#[test_case(&["list", "--jsn"], "unknown flag \"--jsn\"; did you mean --json?"; "unknown flag")]
#[test_case(&["list", "--token", "hush"], "--token (LABURNUM_TOKEN): \"(hidden)\" is not valid: (hidden)"; "bad token stays hidden")]
#[test_case(&["list", "--node", "localhost"], "--node (LABURNUM_NODE): \"localhost\" is not valid"; "node by name")]
#[test_case(&["get", "Archive"], "SERVICE: name \"Archive\" is not valid"; "bad service")]
#[test_case(&["outcome", "xyz"], "ID: submission id \"xyz\" is not valid"; "bad id")]
#[test_case(&["audit", "--limit", "501"], "out of bounds 1 to 500"; "limit")]
#[test_case(&["submit", "a.toml"], "--author (LABURNUM_AUTHOR) is required"; "no author")]
#[test_case(&["submit", "a.toml", "--author", "a", "--reason", "b\nc"], "reason is not valid; use 1 to 1024 bytes"; "reason of two lines")]
#[test_case(&["submit", "a.toml", "--author", "a", "--reason", "b", "--base", "new"], "--base (LABURNUM_BASE): \"new\" is not valid"; "bad base")]
#[test_case(&["lift", "7", "--author", "a", "--reason", "b"], "use the 16 hexadecimal digits that status prints"; "bad fingerprint")]
#[test_case(&["resolve", "a", "k", "--found", "maybe", "--author", "a", "--reason", "b"], "write ran or not-run"; "bad finding")]
#[tokio::test]
async fn wrong_usage_names_the_remedy(args: &[&str], remedy: &str) {
    let ran = ctl(args).await;
    assert_eq!((ran.outcome, ran.out.as_str()), (Outcome::Usage, ""));
    assert!(ran.err.contains(remedy), "{}", ran.err);
}

#[test_case("tests/data/absent.toml", "check the name and its permissions"; "absent")]
#[test_case("tests/data", "check the name and its permissions"; "folder")]
#[tokio::test]
async fn unreadable_file_is_reported(file: &str, remedy: &str) {
    for command in [&["check", file][..], &["diff", file][..]] {
        let ran = ctl(command).await;
        assert_eq!(ran.outcome, Outcome::Refused);
        assert!(ran.err.contains(remedy), "{}", ran.err);
    }
}

/// A document with faults must be rejected before anything is sent; no node listens at the address.
#[tokio::test]
async fn faulty_document_is_not_sent() {
    let file = "tests/data/faulty.toml";
    let change = ["submit", file, "--author", "amal", "--reason", "trial"];
    let ran = ctl(&[&change[..], &["--node", "127.0.0.1:1"]].concat()).await;
    assert_eq!(ran.outcome, Outcome::Refused);
    assert!(
        ran.err.contains("faulty.toml:3:11: name \"Archive\""),
        "{}",
        ran.err
    );
}

//! Parsing of settings: precedence of sources, faults, help and secrets.

use std::net::SocketAddr;

use laburnum_flags::{Exit, Fault, Input, List, Operand, Program, Setting, Stop, Suite, Values};
use test_case::test_case;

const ZONE: Setting<String> = Setting::new("--zone", "NAME", "Availability zone.").default("a");
const WINDOW: Setting<u64> = Setting::new("--push-window", "N", "Gathering time.")
    .default("20")
    .unit("ms");
const PEERS: Setting<List<SocketAddr>> =
    Setting::new("--peers", "ADDRESSES", "First contacts.").default("");
const PLATFORM: Setting<SocketAddr> =
    Setting::new("--platform", "ADDRESS", "The platform.").optional();
const KEY: Setting<u32> = Setting::new("--key", "DIGITS", "Shared key.")
    .default("7")
    .secret();
const LISTEN: Setting<SocketAddr> = Setting::new("--listen", "ADDRESS", "Own address.");

const PROGRAM: Program = Program {
    name: "demo",
    version: "1.2.3",
    about: "Demonstrates.",
    operands: &[],
    settings: &[
        ZONE.row(),
        WINDOW.row(),
        PEERS.row(),
        PLATFORM.row(),
        KEY.row(),
    ],
    exits: &[Exit::SUCCESS, Exit::USAGE],
};
const STRICT: Program = Program {
    name: "demo run",
    operands: &[Operand {
        name: "SERVICE",
        help: "A service.",
    }],
    settings: &[LISTEN.row()],
    ..PROGRAM
};
const SUITE: Suite = Suite {
    name: "demo",
    version: "1.2.3",
    about: "Several.",
    commands: &[("run", STRICT), ("platform", PROGRAM)],
};

fn values(args: &[&str], variables: &[(&str, &str)]) -> Values {
    let input = Input::new(args.iter().copied(), variables.iter().copied());
    PROGRAM.parse(input).expect("no faults")
}

fn text(program: &Program, args: &[&str], variables: &[(&str, &str)]) -> String {
    let input = Input::new(args.iter().copied(), variables.iter().copied());
    program.parse(input).expect_err("a stop").text()
}

#[test_case(&[], &[], 20; "default")]
#[test_case(&[], &[("LABURNUM_PUSH_WINDOW", "30")], 30; "variable before default")]
#[test_case(&[], &[("LABURNUM_PUSH_WINDOW", "")], 20; "empty variable counts as unset")]
#[test_case(&["--push-window", "40"], &[("LABURNUM_PUSH_WINDOW", "x")], 40; "flag before variable")]
#[test_case(&["--push-window=50"], &[], 50; "flag with equals sign")]
fn flag_precedes_variable_precedes_default(args: &[&str], variables: &[(&str, &str)], window: u64) {
    assert_eq!(values(args, variables).get(&WINDOW), window);
}

#[test]
fn lists_and_optional_settings_parse() {
    let none = values(&[], &[]);
    assert_eq!(none.get(&PEERS), List(Vec::new()));
    assert_eq!(none.find(&PLATFORM), None);
    let some = values(
        &[
            "--peers",
            "127.0.0.1:1, 127.0.0.1:2",
            "--platform=127.0.0.1:3",
        ],
        &[],
    );
    let at = |port| SocketAddr::from(([127, 0, 0, 1], port));
    assert_eq!(some.get(&PEERS), List(vec![at(1), at(2)]));
    assert_eq!(some.find(&PLATFORM), Some(at(3)));
}

#[test_case(&["--push-window", "soon"], &[],
    r#"demo: --push-window (LABURNUM_PUSH_WINDOW): "soon" is not valid: invalid digit found in string; give N (ms)"#; "bad flag")]
#[test_case(&[], &[("LABURNUM_PEERS", "127.0.0.1:1,x")],
    r#"demo: --peers (LABURNUM_PEERS): "127.0.0.1:1,x" is not valid: item 2: invalid socket address syntax; give ADDRESSES"#; "bad variable")]
#[test_case(&["--zoen", "b"], &[], r#"demo: unknown flag "--zoen"; did you mean --zone?"#; "near flag")]
#[test_case(&["--zoen=b"], &[], r#"demo: unknown flag "--zoen"; did you mean --zone?"#; "near flag with value")]
#[test_case(&["--frobnicate"], &[], r#"demo: unknown flag "--frobnicate"; --help lists every flag"#; "strange flag")]
#[test_case(&["--zone", "b", "--zone", "c"], &[], "demo: --zone is given more than once; keep one"; "twice")]
#[test_case(&["--zone"], &[], "demo: --zone: the value is missing; write --zone NAME"; "no value at the end")]
#[test_case(&["--zone", "--platform", "127.0.0.1:3"], &[],
    "demo: --zone: the value is missing; write --zone NAME"; "no value before a flag")]
#[test_case(&["--zone="], &[], "demo: --zone: the value is missing; write --zone NAME"; "empty value")]
#[test_case(&["extra"], &[], r#"demo: unexpected argument "extra"; remove it, or see --help"#; "stray argument")]
#[test_case(&["--key", "s3cret"], &[],
    r#"demo: --key (LABURNUM_KEY): "(hidden)" is not valid: (hidden); give DIGITS"#; "secret stays hidden")]
#[test_case(&["--kye", "s3cret"], &[], r#"demo: unknown flag "--kye"; did you mean --key?"#; "secret of a mistyped flag")]
fn faults_name_the_remedy(args: &[&str], variables: &[(&str, &str)], expected: &str) {
    assert_eq!(text(&PROGRAM, args, variables), format!("{expected}\n"));
}

#[test]
fn all_faults_are_reported_at_once() {
    let text = text(
        &PROGRAM,
        &["--push-window=x", "--zoen=b"],
        &[("LABURNUM_PLATFORM", "here")],
    );
    assert_eq!(text.lines().count(), 3, "{text}");
}

#[test]
fn missing_required_values_are_reported() {
    assert_eq!(
        text(&STRICT, &[], &[]),
        "demo run: --listen (LABURNUM_LISTEN) is required; add --listen ADDRESS\n\
         demo run: SERVICE is missing; add it after the command, or see --help\n"
    );
    let input = Input::new(["profiles", "--listen", "127.0.0.1:1"], []);
    let values = STRICT.parse(input).expect("no faults");
    assert_eq!(values.operand(0), "profiles");
}

#[test]
fn missing_value_is_reported_once() {
    assert_eq!(
        text(&STRICT, &["profiles", "--listen"], &[]),
        "demo run: --listen: the value is missing; write --listen ADDRESS\n"
    );
}

#[test]
fn rejected_values_read_like_unparsable_ones() {
    let fault = Fault::invalid(&ZONE.row(), "b", "no such zone in the region");
    assert_eq!(
        fault.to_string(),
        r#"--zone (LABURNUM_ZONE): "b" is not valid: no such zone in the region; give NAME"#
    );
}

#[test_case(&["run", "x", "--listen=127.0.0.1:1"], Ok("run"); "picked")]
#[test_case(&["platfrom"], Err("demo: unknown command \"platfrom\"; did you mean platform?\n"); "near")]
#[test_case(&["sing"], Err("demo: unknown command \"sing\"; give one of: run, platform\n"); "strange")]
#[test_case(&[], Err("demo: the command is missing; give one of: run, platform\n"); "none")]
#[test_case(&["--version"], Err("demo 1.2.3\n"); "version")]
fn suite_selects_the_command(args: &[&str], expected: Result<&str, &str>) {
    let parsed = SUITE.parse(Input::new(args.iter().copied(), []));
    let seen = parsed.map(|(name, _)| name).map_err(|stop| stop.text());
    assert_eq!(seen, expected.map_err(str::to_owned));
}

#[test]
fn help_lists_flags_and_exit_codes() {
    let text = text(&PROGRAM, &["--help"], &[]);
    let parts = [
        "usage: demo [FLAGS]",
        "--push-window N (ms)\n      Gathering time.\n      LABURNUM_PUSH_WINDOW; default: 20",
        "LABURNUM_PLATFORM; default: none",
        "LABURNUM_KEY; default: (hidden)",
        "  0  done",
        "  2  a flag",
    ];
    for part in parts {
        assert!(text.contains(part), "{part:?} not in\n{text}");
    }
}

#[test]
fn version_is_printed() {
    let stop = PROGRAM.parse(Input::new(["--version"], []));
    assert_eq!(stop.err(), Some(Stop::Print("demo 1.2.3\n".to_owned())));
}

#[test]
fn secrets_are_never_printed() {
    let values = values(&["--key=4711"], &[]);
    assert_eq!(values.get(&KEY), 4711);
    let shown = format!("{values:?}");
    assert!(!shown.contains("4711"), "{shown}");
    assert!(shown.contains("(hidden)"), "{shown}");
}

const JSON: Setting<bool> = Setting::switch("--json", "Print JSON.");
const CHECK: Program = Program {
    name: "demo check",
    operands: &[Operand {
        name: "FILE...",
        help: "Files.",
    }],
    settings: &[ZONE.row(), JSON.row()],
    ..PROGRAM
};

#[test_case(&["a"], false, &["a"]; "off")]
#[test_case(&["--json", "a", "b"], true, &["a", "b"]; "takes no value")]
#[test_case(&["a", "--zone", "c", "--json"], true, &["a"]; "last")]
fn switches_and_repeated_operands_parse(args: &[&str], json: bool, files: &[&str]) {
    let input = Input::new(args.iter().copied(), [("LABURNUM_JSON", "true")]);
    let values = CHECK.parse(input).expect("no faults");
    assert_eq!(values.get(&JSON), json);
    assert_eq!(values.operands(), files);
}

#[test_case(&["--json=yes", "a"], "unexpected argument \"--json=yes\""; "switch with a value")]
#[test_case(&["--json", "--json", "a"], "--json is given more than once"; "switch twice")]
#[test_case(&["--zone", "--json", "a"], "--zone: the value is missing"; "switch in place of a value")]
#[test_case(&["--json"], "FILE... is missing"; "no operand")]
fn bad_switches_and_operands_are_reported(args: &[&str], expected: &str) {
    let found = text(&CHECK, args, &[]);
    assert!(found.contains(expected), "{found}");
}

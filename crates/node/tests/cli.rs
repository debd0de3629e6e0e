//! Tests of the command line: the resulting settings, and the message for each fault.

use laburnum_flags::Input;
use laburnum_kernel::settings::SpreadSettings;
use laburnum_node::{
    Config,
    cli::{self, PROGRAM},
};
use test_case::test_case;

const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
const PUBLIC: &str = "0000000000000000000000000000000000000000000000000000000000000000";

/// Returns the faults reported for `args`, one per line, without the program's name.
fn faults(args: &str) -> Vec<String> {
    let args = args.replace("KEY", KEY).replace("PUBLIC", PUBLIC);
    match cli::parse(Input::new(args.split_whitespace(), [])) {
        Ok(_) => Vec::new(),
        Err(stop) => stop
            .text()
            .lines()
            .map(|it| it.trim_start_matches("laburnum-node: ").to_owned())
            .collect(),
    }
}

fn config(args: &str, variables: &[(&str, &str)]) -> Config {
    let input = Input::new(args.split_whitespace(), variables.iter().copied());
    cli::parse(input).expect("no faults").config
}

#[test]
fn flag_defaults_match_config_defaults() {
    let given = config("", &[]);
    assert_eq!(format!("{given:?}"), format!("{:?}", Config::default()));
}

#[test]
fn admin_tokens_are_accepted_and_hidden() {
    let args = format!("--admin 10.0.0.7:7103 --admin-key {KEY} --admin-key-also more-{KEY}");
    let start = cli::parse(Input::new(args.split_whitespace(), [])).expect("no faults");
    assert_eq!(start.config.admin_keys.len(), 2);
    assert!(!format!("{start:?}").contains("0011223344"));
}

#[test_case("", SpreadSettings::nile(); "nile unless said")]
#[test_case("--preset cascadia", SpreadSettings::cascadia(); "cascadia")]
#[test_case(
    "--preset cascadia --window 50 --budget 512 --relays 3 --degree 5 --slots 6 --catchup 2048 --repair 700",
    SpreadSettings {
        window: 50, budget: 512, relays: 3, degree: 5, slots: 6, catchup: 2048, repair: 700,
        ..SpreadSettings::cascadia()
    };
    "each one overridden"
)]
fn preset_gives_spread_settings(args: &str, expected: SpreadSettings) {
    assert_eq!(config(args, &[]).spread, expected);
}

#[test]
fn flags_override_variables() {
    let variables = [("LABURNUM_ZONE", "giza"), ("LABURNUM_CALLERS_MAX", "7")];
    let given = config("--zone maadi", &variables);
    assert_eq!(
        (given.zone.as_str(), given.callers.connections),
        ("maadi", 7)
    );
}

#[test_case("--control localhost:7101", "--control (LABURNUM_CONTROL): \"localhost:7101\" is not valid: not an IP address and port"; "host name")]
#[test_case("--control 0.0.0.0:7101", "--control (LABURNUM_CONTROL): \"0.0.0.0:7101\" is not valid: others cannot reach this address"; "control wildcard")]
#[test_case("--traffic [::]:7102", "--traffic (LABURNUM_TRAFFIC): \"[::]:7102\" is not valid: others cannot reach this address"; "traffic wildcard")]
#[test_case("--traffic 224.0.0.1:7102", "--traffic (LABURNUM_TRAFFIC): \"224.0.0.1:7102\" is not valid: others cannot reach this address"; "traffic multicast")]
#[test_case("--caller 127.0.0.1:0", "--caller (LABURNUM_CALLER): \"127.0.0.1:0\" is not valid: port 0 would open a port that others do not know"; "port zero")]
#[test_case("--peers 127.0.0.1:1,x", "--peers (LABURNUM_PEERS): \"127.0.0.1:1,x\" is not valid: item 2: not an IP address and port"; "bad peer")]
#[test_case("--zone Giza!", "--zone (LABURNUM_ZONE): \"Giza!\" is not valid:"; "bad zone")]
#[test_case("--window x", "--window (LABURNUM_WINDOW): \"x\" is not valid: not a whole number from 0 to 60000; give N (ms)"; "bad number")]
#[test_case("--workers 0", "--workers (LABURNUM_WORKERS): \"0\" is not valid: not a whole number from 1 to 256; give N"; "number too small")]
#[test_case("--degree 65", "--degree (LABURNUM_DEGREE): \"65\" is not valid: not a whole number from 2 to 64; give N"; "number too large")]
#[test_case("--preset nil", "--preset (LABURNUM_PRESET): \"nil\" is not valid: not one of nile, cascadia"; "bad preset")]
#[test_case("--peer 127.0.0.1:1", "unknown flag \"--peer\"; did you mean --peers?"; "nearest guess")]
#[test_case("--grace 1 --grace 2", "--grace is given more than once; keep one"; "twice")]
#[test_case("--link-key abc", "--link-key (LABURNUM_LINK_KEY): \"(hidden)\" is not valid: (hidden); give HEX"; "bad key stays hidden")]
#[test_case("--admin 10.0.0.7:7103", "--admin (LABURNUM_ADMIN): \"10.0.0.7:7103\" is not valid: operators need a token off loopback: set --admin-key"; "admin without token")]
#[test_case("--admin-key hush", "--admin-key (LABURNUM_ADMIN_KEY): \"(hidden)\" is not valid: (hidden); give TOKEN"; "bad token stays hidden")]
#[test_case("--admin 127.0.0.1:7100", "--admin (LABURNUM_ADMIN): \"127.0.0.1:7100\" is not valid: --caller listens there too"; "equal addresses")]
#[test_case("--caller 0.0.0.0:7102", "--traffic (LABURNUM_TRAFFIC): \"127.0.0.1:7102\" is not valid: --caller listens there too"; "wildcard takes the port")]
#[test_case("--peers 127.0.0.1:7101", "--peers (LABURNUM_PEERS): \"127.0.0.1:7101\" is not valid: this node's own --control"; "own peer")]
#[test_case("--peers 127.0.0.1:1,127.0.0.1:1", "--peers (LABURNUM_PEERS): \"127.0.0.1:1\" is not valid: named twice"; "peer twice")]
#[test_case("--peers 10.0.0.7:7101", "--control (LABURNUM_CONTROL): \"127.0.0.1:7101\" is not valid: 10.0.0.7:7101 of --peers cannot reach loopback"; "loopback to far peers")]
#[test_case("--control 10.0.0.7:7101 --link-key KEY", "--traffic (LABURNUM_TRAFFIC): \"127.0.0.1:7102\" is not valid: other nodes reach --control"; "traffic on loopback")]
#[test_case("--platform 127.0.0.1:7103", "--platform (LABURNUM_PLATFORM): \"127.0.0.1:7103\" is not valid: this node's own --admin"; "own platform")]
#[test_case("--control 10.0.0.7:7101 --traffic 10.0.0.7:7102 --link-key KEY --peers 10.0.0.8:7101", "--platform (LABURNUM_PLATFORM): \"\" is not valid: the nodes of a fleet must share one"; "fleet without platform")]
#[test_case("--control 10.0.0.7:7101 --traffic 10.0.0.7:7102", "--link-key (LABURNUM_LINK_KEY): \"(hidden)\" is not valid: the public key is no secret"; "no key off loopback")]
#[test_case("--control 10.0.0.7:7101 --traffic 10.0.0.7:7102 --link-key PUBLIC", "--link-key (LABURNUM_LINK_KEY): \"(hidden)\" is not valid: the public key is no secret"; "public key off loopback")]
#[test_case("--control 10.0.0.7:7101 --traffic 10.0.0.7:7102 --link-key KEY --link-key-also PUBLIC", "--link-key-also (LABURNUM_LINK_KEY_ALSO): \"(hidden)\" is not valid: the public key is no secret"; "public second key")]
#[test_case("--link-key KEY --link-key-also KEY", "--link-key-also (LABURNUM_LINK_KEY_ALSO): \"(hidden)\" is not valid: the same as --link-key"; "same key twice")]
fn one_fault_is_reported(args: &str, expected: &str) {
    let reported = faults(args);
    assert_eq!(reported.len(), 1, "{reported:#?}");
    assert!(reported[0].starts_with(expected), "{}", reported[0]);
}

#[test_case("--control [::1]:7101 --peers 127.0.0.1:1,127.0.0.1:2"; "a trial on loopback")]
#[test_case("--control 10.0.0.7:7101 --traffic 10.0.0.7:7102 --link-key KEY"; "one node with a key")]
#[test_case("--control 10.0.0.7:7101 --traffic 10.0.0.7:7102 --link-key KEY --platform 10.0.0.9:7200 --peers 10.0.0.8:7101"; "a fleet")]
fn valid_settings_are_accepted(args: &str) {
    assert_eq!(faults(args), Vec::<String>::new());
}

#[test]
fn all_faults_are_reported_at_once() {
    let reported = faults("--zone X --admin 127.0.0.1:7100 --colour blue --workers many");
    let starts = [
        "--zone",
        "--workers",
        "unknown flag \"--colour\"",
        "--admin",
    ];
    assert_eq!(reported.len(), starts.len(), "{reported:#?}");
    for start in starts {
        assert!(
            reported.iter().any(|it| it.starts_with(start)),
            "{start}: {reported:#?}"
        );
    }
}

#[test]
fn no_secret_is_shown() {
    let input = Input::new(["--link-key", KEY], []);
    let start = cli::parse(input).expect("no faults");
    assert!(!format!("{start:?}").contains(KEY));
    let shown = ("link-key", "(hidden)".to_owned());
    assert!(start.log_pairs.contains(&shown));
}

#[test]
fn help_lists_every_setting() {
    let stop = cli::parse(Input::new(["--help"], [])).expect_err("the help");
    insta::assert_snapshot!("help", stop.text());
}

#[test]
fn version_is_that_of_the_package() {
    let stop = cli::parse(Input::new(["--version"], [])).expect_err("the version");
    assert_eq!(stop.text(), format!("laburnum-node {}\n", PROGRAM.version));
}

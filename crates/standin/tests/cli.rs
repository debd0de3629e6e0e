//! Command line of the stand-ins.

use laburnum_flags::{Input, Values};
use laburnum_standin::{
    Answers, Faults, Outage, Share, UpstreamSettings,
    cli::{self, PlatformCommand},
};

fn values(args: &[&str]) -> Values {
    let parsed = cli::SUITE.parse(Input::new(args.iter().copied(), []));
    parsed.expect("valid arguments").1
}

#[test]
fn flags_have_the_defaults_of_the_settings() {
    let upstream = cli::upstream(&values(&["upstream"]));
    let expected = UpstreamSettings::default();
    assert_eq!(format!("{upstream:?}"), format!("{expected:?}"));
    let platform = PlatformCommand::new(&values(&["platform"]));
    assert_eq!(platform.faults, Faults::default());
}

#[test]
fn token_is_parsed_and_never_printed() {
    let parsed_values = values(&["upstream", "--token", "token-of-the-operators"]);
    let upstream = cli::upstream(&parsed_values);
    assert!(upstream.token.is_some());
    let printed = format!("{parsed_values:?} {upstream:?}");
    assert!(!printed.contains("token-of"), "{printed}");
}

#[test]
fn every_fault_has_its_flag() {
    let args = [
        "platform",
        "--outage=hang",
        "--slow=1",
        "--late=2",
        "--lost=0.5",
        "--answers=malformed",
        "--writes=3",
        "--reads=4",
    ];
    let expected = Faults {
        outage: Outage::Hang,
        slow: 1,
        late: 2,
        lost: Share::try_from(0.5).expect("a share"),
        answers: Answers::Malformed,
        writes: 3,
        reads: 4,
    };
    assert_eq!(PlatformCommand::new(&values(&args)).faults, expected);
}

#[test]
fn invalid_values_name_the_valid_ones() {
    let args = ["platform", "--outage=maybe", "--lost=2"];
    let stop = cli::SUITE.parse(Input::new(args, []));
    let text = stop.expect_err("invalid arguments").text();
    assert_eq!(
        text,
        "laburnum-standin platform: --outage (LABURNUM_OUTAGE): \"maybe\" is not valid: \
         not one of none, refuse, hang; give WORD\n\
         laburnum-standin platform: --lost (LABURNUM_LOST): \"2\" is not valid: \
         not a number between 0 and 1; give SHARE (0 to 1)\n"
    );
}

//! Runs the program as a library function.

use laburnum_ctl::report::Outcome;
use laburnum_flags::Input;

/// Outcome and output of a run.
pub struct Ran {
    pub outcome: Outcome,
    pub out: String,
    pub err: String,
}

impl std::fmt::Display for Ran {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "exit {} {:?}", self.outcome as u8, self.outcome)?;
        write!(f, "-- out\n{}-- err\n{}", self.out, self.err)
    }
}

/// Runs the program with `args`; relative paths start at the crate's folder.
pub async fn ctl(args: &[&str]) -> Ran {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let input = Input::new(args.iter().copied(), []);
    let outcome = laburnum_ctl::run(input, &mut out, &mut err).await;
    let text = |it: Vec<u8>| String::from_utf8(it).expect("UTF-8");
    Ran {
        outcome,
        out: text(out),
        err: text(err),
    }
}

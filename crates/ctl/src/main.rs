//! `laburnum-ctl`: the operators' command line.

use std::{
    io::{stderr, stdout},
    process::ExitCode,
};

use laburnum_flags::Input;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    laburnum_ctl::run(Input::process(), &mut stdout(), &mut stderr())
        .await
        .into()
}

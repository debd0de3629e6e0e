//! `laburnum-standin`: the binary that runs a stand-in for the platform or for an upstream.

use std::{process::ExitCode, sync::Arc};

use laburnum_edge::{Clock, MemoryPlatform};
use laburnum_flags::{Exit, Input, Values};
use laburnum_standin::{
    FaultyPlatform, PlatformServer, Upstream,
    cli::{self, PlatformCommand},
};
use tokio::signal::unix::{SignalKind, signal};

#[tokio::main]
async fn main() -> ExitCode {
    let (command, values) = match cli::SUITE.parse(Input::process()) {
        Ok(parsed) => parsed,
        Err(stop) => return stop.exit(),
    };
    let run = match command {
        cli::PLATFORM_COMMAND => platform(&values).await,
        _ => upstream(&values).await,
    };
    match run {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("laburnum-standin: {error}; choose a free address with --listen");
            ExitCode::from(Exit::FAILURE.code)
        }
    }
}

async fn platform(values: &Values) -> std::io::Result<()> {
    let command = PlatformCommand::new(values);
    let memory = Arc::new(MemoryPlatform::default());
    let faulty = FaultyPlatform::new(memory, Clock::system(), command.seed);
    faulty.set(command.faults);
    let server = PlatformServer::start(command.listen, faulty).await?;
    println!(
        "event=listening command=platform address={}",
        server.address()
    );
    wait_for_signal().await?;
    server.close();
    Ok(())
}

async fn upstream(values: &Values) -> std::io::Result<()> {
    let upstream = Upstream::start(cli::upstream(values)).await?;
    println!(
        "event=listening command=upstream address={}",
        upstream.address()
    );
    wait_for_signal().await?;
    upstream.drain().await;
    Ok(())
}

async fn wait_for_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => Ok(()),
        interrupt = tokio::signal::ctrl_c() => interrupt,
    }
}

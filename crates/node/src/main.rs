//! `laburnum-node`: the process beside each upstream.

use std::{process::ExitCode, sync::Arc};

use laburnum_edge::{Clock, Memory};
use laburnum_node::{Node, cli, logs};
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    let config = match cli::parse() {
        Ok(config) => config,
        Err(faults) => {
            faults
                .iter()
                .for_each(|it| eprintln!("laburnum-node: {it}"));
            return ExitCode::from(2);
        }
    };
    logs::init();
    match run(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("laburnum-node: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(config: laburnum_node::Config) -> Result<(), Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(config.workers)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    let result = runtime.block_on(serve(config));
    // A forced stop leaves tasks behind; they end with the process.
    runtime.shutdown_background();
    result
}

/// Runs until a signal has drained the node, or a second one cut that short.
async fn serve(config: laburnum_node::Config) -> Result<(), Box<dyn std::error::Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let node = Node::start(config, Clock::system(), Arc::new(Memory::default())).await?;
    logs::event("started", &[]);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    logs::event("draining", &[]);
    tokio::select! {
        () = node.close() => logs::event("stopped", &[("how", "drained".to_owned())]),
        _ = terminate.recv() => logs::event("stopped", &[("how", "forced".to_owned())]),
        _ = interrupt.recv() => logs::event("stopped", &[("how", "forced".to_owned())]),
    }
    Ok(())
}

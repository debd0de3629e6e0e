//! The binary `laburnum-node`.

use std::{process::ExitCode, sync::Arc};

use laburnum_edge::{Clock, HttpPlatform, HttpSettings, MemoryPlatform, Platform};
use laburnum_flags::{Exit, Input};
use laburnum_node::{
    Config, Node,
    cli::{self, StartOptions},
    logs,
};
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    let start = match cli::parse(Input::process()) {
        Ok(start) => start,
        Err(stop) => return stop.exit(),
    };
    logs::init();
    match run(start) {
        Ok(()) => ExitCode::from(Exit::SUCCESS.code),
        Err(error) => {
            logs::event("start-failed", &[("why", error.to_string())]);
            ExitCode::from(Exit::FAILURE.code)
        }
    }
}

fn run(start: StartOptions) -> Result<(), Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(start.config.workers)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    let result = runtime.block_on(serve(start));
    // A forced stop leaves tasks running; they end with the process.
    runtime.shutdown_background();
    result
}

/// Runs the node until a signal drains it, or a second signal aborts the drain.
async fn serve(start: StartOptions) -> Result<(), Box<dyn std::error::Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let platform = platform(&start.config);
    let node = Node::start(start.config, Clock::system(), platform).await?;
    logs::event("started", &start.log_pairs);
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

fn platform(config: &Config) -> Arc<dyn Platform> {
    let Some(address) = config.platform else {
        let why =
            "no --platform: the table and objects are in memory and lost when this process ends";
        logs::event("platform-embedded", &[("why", why.to_owned())]);
        return Arc::new(MemoryPlatform::default());
    };
    Arc::new(HttpPlatform::new(HttpSettings {
        address,
        ..HttpSettings::default()
    }))
}

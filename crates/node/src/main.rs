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

#[tokio::main]
async fn run(config: laburnum_node::Config) -> Result<(), Box<dyn std::error::Error>> {
    let node = Node::start(config, Clock::system(), Arc::new(Memory::default())).await?;
    logs::event("started", &[]);
    signal(SignalKind::terminate())?.recv().await;
    node.close().await;
    Ok(())
}

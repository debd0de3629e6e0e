//! Measures the rate and latencies of calls through the HTTP adapter to the platform stand-in.
//!
//! `cargo run --release -p laburnum-standin --example platform_load`

use std::{net::SocketAddr, sync::Arc, time::Instant};

use laburnum_edge::{Clock, HttpPlatform, HttpSettings, MemoryPlatform, Platform};
use laburnum_kernel::platform::{TableAnswer, TableOp, Write};
use laburnum_standin::{FaultyPlatform, PlatformServer};

const CALLS: usize = 5_000;
const CALLERS: usize = 16;

fn write(idx: usize) -> TableOp {
    TableOp::Commit {
        checks: Vec::new(),
        writes: vec![Write::Put {
            key: format!("key/{}", idx % 1000),
            value: vec![7; 300],
        }],
    }
}

fn read(idx: usize) -> TableOp {
    TableOp::Get {
        keys: vec![format!("key/{}", idx % 1000)],
    }
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let faulty = FaultyPlatform::new(Arc::new(MemoryPlatform::default()), Clock::system(), 1);
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = PlatformServer::start(any_port, faulty).await?;
    let platform = Arc::new(HttpPlatform::new(HttpSettings {
        address: server.address(),
        ..HttpSettings::default()
    }));
    measure("write", &platform, write).await;
    measure("read", &platform, read).await;
    server.close();
    Ok(())
}

async fn measure(name: &str, platform: &Arc<HttpPlatform>, op: fn(usize) -> TableOp) {
    let start = Instant::now();
    let tasks: Vec<_> = (0..CALLERS)
        .map(|caller| tokio::spawn(calls(platform.clone(), caller, op)))
        .collect();
    let mut micros = Vec::new();
    for task in tasks {
        micros.extend(task.await.unwrap_or_default());
    }
    let rate = micros.len() as f64 / start.elapsed().as_secs_f64();
    micros.sort_unstable();
    let at = |share: usize| micros.get(micros.len() * share / 100).copied().unwrap_or(0);
    println!(
        "event=measured op={name} answered={} of={} rate={rate:.0}/s p50={}us p99={}us",
        micros.len(),
        CALLS / CALLERS * CALLERS,
        at(50),
        at(99)
    );
}

/// Sends one caller's calls; returns the latencies of the answered ones, in microseconds.
async fn calls(platform: Arc<HttpPlatform>, caller: usize, op: fn(usize) -> TableOp) -> Vec<u128> {
    let mut micros = Vec::new();
    for idx in 0..CALLS / CALLERS {
        let start = Instant::now();
        let answer = platform.table(op(caller * CALLS + idx)).await;
        if !matches!(answer, TableAnswer::Failed(_)) {
            micros.push(start.elapsed().as_micros());
        }
    }
    micros
}

//! `laburnum-standin`: small stand-ins for trials.

use laburnum_standin::upstream::Upstream;
use pico_args::Arguments;

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut args = Arguments::from_env();
    let command = args.subcommand()?;
    if command.as_deref() != Some("upstream") {
        return Err("usage: laburnum-standin upstream --listen ADDRESS".into());
    }
    let upstream = Upstream::start(args.value_from_str("--listen")?).await?;
    println!("event=listening address={}", upstream.address());
    tokio::signal::ctrl_c().await?;
    upstream.close();
    Ok(())
}

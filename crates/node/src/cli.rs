//! Command line and environment of `laburnum-node`.
//!
//! Settings are checked before any socket opens: each one by its type ([`value`]), then all of them together.

mod check;
pub mod table;
pub mod value;

use laburnum_edge::link::Keys;
use laburnum_flags::{Input, Stop, Values};
use laburnum_kernel::settings::SpreadSettings;

use self::{table::*, value::Preset};
use crate::{
    config::Config,
    traffic::{pool::PoolSettings, serve::Bounds},
};

pub use self::table::PROGRAM;

/// Parsed settings.
#[derive(Clone, Debug)]
pub struct StartOptions {
    /// Configuration of the node.
    pub config: Config,
    /// Name and text of each setting for the log, with secrets hidden.
    pub log_pairs: Vec<(&'static str, String)>,
}

/// Parses and checks all settings; reports all faults at once.
pub fn parse(input: Input) -> Result<StartOptions, Stop> {
    let values = PROGRAM.parse_with(input, check::faults)?;
    Ok(StartOptions {
        log_pairs: values.pairs(),
        config: config(&values),
    })
}

fn config(values: &Values) -> Config {
    let callers = Bounds {
        connections: values.get(&CALLERS_MAX).count(),
        header_bytes: values.get(&HEADER_BYTES).count(),
        header_fields: values.get(&HEADER_FIELDS).count(),
        header_time: values.get(&HEADER_TIME).get(),
        stall_time: values.get(&STALL_TIME).get(),
        streams: stream_limit(values.get(&CALLERS_STREAMS).get()),
        ..Bounds::default()
    };
    let nodes = Bounds {
        connections: values.get(&NODES_MAX).count(),
        streams: stream_limit(values.get(&NODES_STREAMS).get()),
        ..callers.clone()
    };
    let peers = values.get(&PEERS).0;
    Config {
        caller: values.get(&CALLER).0,
        control: values.get(&CONTROL).0,
        traffic: values.get(&TRAFFIC).0,
        admin: values.get(&ADMIN).0,
        region: values.get(&REGION).to_string(),
        zone: values.get(&ZONE).to_string(),
        peers: peers.into_iter().map(|it| it.0).collect(),
        platform: values.find(&PLATFORM).map(|it| it.0),
        keys: link_keys(values),
        admin_keys: [&ADMIN_KEY, &ADMIN_KEY_ALSO]
            .into_iter()
            .filter_map(|it| values.find(it))
            .collect(),
        spread: spread_settings(values),
        retention: values.get(&RETENTION).get(),
        workers: values.get(&WORKERS).count(),
        callers,
        nodes,
        pool: PoolSettings {
            connections: values.get(&UPSTREAM_MAX).count(),
            connect: values.get(&UPSTREAM_CONNECT).get(),
            idle: values.get(&UPSTREAM_IDLE).get(),
        },
        grace: values.get(&GRACE).get(),
        ..Config::default()
    }
}

fn stream_limit(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn link_keys(values: &Values) -> Keys {
    let keys = Keys::new(values.get(&LINK_KEY));
    match values.find(&LINK_KEY_ALSO) {
        Some(key) => keys.accepting(key),
        None => keys,
    }
}

/// Returns the settings of the preset, overridden by the flags that are given.
fn spread_settings(values: &Values) -> SpreadSettings {
    let preset = match values.get(&PRESET) {
        Preset::Nile => SpreadSettings::nile(),
        Preset::Cascadia => SpreadSettings::cascadia(),
    };
    SpreadSettings {
        window: values.find(&WINDOW).map_or(preset.window, |it| it.get()),
        budget: values.find(&BUDGET).map_or(preset.budget, |it| it.get()),
        relays: values.find(&RELAYS).map_or(preset.relays, |it| it.count()),
        degree: values.find(&DEGREE).map_or(preset.degree, |it| it.count()),
        slots: values.find(&SLOTS).map_or(preset.slots, |it| it.count()),
        catchup: values.find(&CATCHUP).map_or(preset.catchup, |it| it.get()),
        repair: values.find(&REPAIR).map_or(preset.repair, |it| it.get()),
        ..preset
    }
}

//! Command line and environment of `laburnum-node`.

use std::{net::SocketAddr, str::FromStr};

use pico_args::Arguments;

use crate::config::Config;

/// Reads the settings from the arguments, then from `LABURNUM_*` variables.
pub fn parse() -> Result<Config, Vec<String>> {
    let mut args = Arguments::from_env();
    let mut faults = Vec::new();
    let default = Config::default();
    let config = Config {
        caller: setting(&mut args, "caller", &mut faults).unwrap_or(default.caller),
        control: setting(&mut args, "control", &mut faults).unwrap_or(default.control),
        traffic: setting(&mut args, "traffic", &mut faults).unwrap_or(default.traffic),
        admin: setting(&mut args, "admin", &mut faults).unwrap_or(default.admin),
        region: setting(&mut args, "region", &mut faults).unwrap_or(default.region),
        zone: setting(&mut args, "zone", &mut faults).unwrap_or(default.zone),
        peers: peers(&mut args, &mut faults),
        platform: setting(&mut args, "platform", &mut faults),
        workers: setting(&mut args, "workers", &mut faults).unwrap_or(default.workers),
        grace: setting(&mut args, "grace", &mut faults).unwrap_or(default.grace),
        ..default
    };
    let rest = args.finish();
    faults.extend(rest.iter().map(|it| format!("unknown argument {it:?}")));
    match faults.is_empty() {
        true => Ok(config),
        false => Err(faults),
    }
}

fn peers(args: &mut Arguments, faults: &mut Vec<String>) -> Vec<SocketAddr> {
    let list: String = setting(args, "peers", faults).unwrap_or_default();
    let parts = list.split(',').filter(|it| !it.is_empty());
    parts
        .filter_map(|it| match it.parse() {
            Ok(peer) => Some(peer),
            Err(_) => {
                faults.push(format!("--peers: {it:?} is not an IP address and port"));
                None
            }
        })
        .collect()
}

fn setting<T: FromStr>(args: &mut Arguments, name: &str, faults: &mut Vec<String>) -> Option<T> {
    let flag: String = format!("--{name}");
    let flag: &'static str = Box::leak(flag.into_boxed_str());
    let variable = format!("LABURNUM_{}", name.to_uppercase());
    let text = match args.opt_value_from_str::<_, String>(flag) {
        Ok(text) => text.or_else(|| std::env::var(&variable).ok())?,
        Err(error) => {
            faults.push(error.to_string());
            return None;
        }
    };
    match text.parse() {
        Ok(value) => Some(value),
        Err(_) => {
            faults.push(format!("{flag} ({variable}): {text:?} is not valid"));
            None
        }
    }
}

//! Settings of a node, already checked.

use std::net::{Ipv4Addr, SocketAddr};

use laburnum_edge::{Token, link::Keys};
use laburnum_kernel::{
    Name,
    drain::NOTICE_MS,
    import::Watch,
    once::OnceSettings,
    settings::{Origin, SpreadSettings},
};

use crate::{
    traffic::{dialect::Dialect, pool::PoolSettings, serve::Bounds},
    upstream::Polling,
};

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where callers send requests. Default: 127.0.0.1:7100.
    pub caller: SocketAddr,
    /// Control address, TCP and UDP; the node's identity. Default: 127.0.0.1:7101.
    pub control: SocketAddr,
    /// Where other nodes send requests. Default: 127.0.0.1:7102.
    pub traffic: SocketAddr,
    /// Where operators and the upstream beside the node call. Default: 127.0.0.1:7103.
    pub admin: SocketAddr,
    /// Region. Default: local.
    pub region: String,
    /// Availability zone. Default: local-a.
    pub zone: String,
    /// Control addresses of the nodes to contact first. Default: none.
    pub peers: Vec<SocketAddr>,
    /// Address of the platform's HTTP service. Default: the embedded memory platform.
    pub platform: Option<SocketAddr>,
    /// Keys that the nodes of the fleet share. Default: the public key, for loopback only.
    pub keys: Keys,
    /// Tokens that the admin address accepts: none, one, or two during rotation. Default: none, on loopback only.
    pub admin_keys: Vec<Token>,
    /// How configuration spreads. Default: [`SpreadSettings::nile`].
    pub spread: SpreadSettings,
    /// How long the answer of an idempotency key is kept, in ms. Default: 24 h.
    pub retention: u64,
    /// Threads that carry requests. Default: 2.
    pub workers: usize,
    /// What callers may hold. Default: [`Bounds::default`].
    pub callers: Bounds,
    /// What other nodes may hold. Default: 4096 connections with 1024 requests each.
    pub nodes: Bounds,
    /// Connections to the upstream. Default: [`PoolSettings::default`].
    pub pool: PoolSettings,
    /// Longest wait for requests in progress when the node stops, in ms. Default: 30 s.
    pub grace: u64,
    /// How long a node that stops goes on taking connections from callers, in ms. Default: none.
    ///
    /// Callers that learn of a stop by asking for readiness go on sending for as long as they take to ask.
    pub linger: u64,
    /// How long before it leaves a node that stops takes no more work for its upstream and tells the others, in ms.
    /// Default: [`NOTICE_MS`].
    pub notice: u64,
    /// Where the configuration comes from. Default: submitted.
    pub origin: Origin,
    /// Whether the node watches an external source. Default: always.
    pub watch: Watch,
    /// What the host's link carries, in Mbit/s. Default: 1000.
    pub link: f64,
    /// The service of the upstream beside the node, told to the upstreams that it calls. Default: unknown.
    pub service: Option<Name>,
    /// Header fields that callers and upstreams know. Default: the system's own.
    pub dialect: Dialect,
    /// Whether the upstream is asked for its health. Default: every second.
    pub polling: Polling,
}

impl Default for Config {
    fn default() -> Config {
        let loopback = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Config {
            caller: loopback(7100),
            control: loopback(7101),
            traffic: loopback(7102),
            admin: loopback(7103),
            region: "local".to_owned(),
            zone: "local-a".to_owned(),
            peers: Vec::new(),
            platform: None,
            keys: Keys::default(),
            admin_keys: Vec::new(),
            spread: SpreadSettings::nile(),
            retention: OnceSettings::default().retention,
            workers: 2,
            callers: Bounds::default(),
            nodes: Bounds {
                connections: 4096,
                streams: 1024,
                ..Bounds::default()
            },
            pool: PoolSettings::default(),
            grace: 30_000,
            linger: 0,
            notice: NOTICE_MS,
            origin: Origin::default(),
            watch: Watch::default(),
            link: 1_000.0,
            service: None,
            dialect: Dialect::default(),
            polling: Polling::default(),
        }
    }
}

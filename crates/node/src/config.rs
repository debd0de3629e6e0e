//! Validated settings of a node.

use std::net::{Ipv4Addr, SocketAddr};

use laburnum_edge::{Token, link::Keys};
use laburnum_kernel::{
    Name,
    drain::NOTICE_MS,
    import::Watch,
    once::OnceSettings,
    quota::QuotaSettings,
    retry::Bound,
    settings::{Origin, SpreadSettings},
};

use crate::{
    traffic::{dialect::Dialect, pool::PoolSettings, serve::Bounds},
    upstream::Polling,
};

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address for callers' requests. Default: 127.0.0.1:7100.
    pub caller: SocketAddr,
    /// Control address, TCP and UDP; the node's identity. Default: 127.0.0.1:7101.
    pub control: SocketAddr,
    /// Address for other nodes' requests. Default: 127.0.0.1:7102.
    pub traffic: SocketAddr,
    /// Address for operators and the upstream beside the node. Default: 127.0.0.1:7103.
    pub admin: SocketAddr,
    /// Region. Default: local.
    pub region: String,
    /// Availability zone. Default: local-a.
    pub zone: String,
    /// Control addresses of nodes to contact at the start. Default: none.
    pub peers: Vec<SocketAddr>,
    /// Address of the platform's HTTP service. Default: the embedded memory platform.
    pub platform: Option<SocketAddr>,
    /// Link keys shared by the nodes of the fleet. Default: the public key, for loopback only.
    pub keys: Keys,
    /// Tokens that the admin address accepts: none, one, or two during rotation. Default: none, on loopback only.
    pub admin_keys: Vec<Token>,
    /// Settings of the distribution of configuration. Default: [`SpreadSettings::nile`].
    pub spread: SpreadSettings,
    /// Retention time of answers to idempotency keys, in ms. Default: 24 h.
    pub retention: u64,
    /// Number of threads that process requests. Default: 2.
    pub workers: usize,
    /// Limits on callers' connections. Default: [`Bounds::default`].
    pub callers: Bounds,
    /// Limits on other nodes' connections. Default: 4096 connections with 1024 requests each.
    pub nodes: Bounds,
    /// Settings of the connection pool to the upstream. Default: [`PoolSettings::default`].
    pub pool: PoolSettings,
    /// Grace period: maximum time for requests in progress to complete when the node stops, in ms. Default: 30
    /// s.
    pub grace: u64,
    /// Time for which a stopping node still accepts connections of callers, in ms. Default: none.
    ///
    /// Callers that poll readiness continue to send until they notice the stop.
    pub linger: u64,
    /// Time before the end of `linger` at which a stopping node rejects new work for its upstream and notifies
    /// other nodes, in ms. Default: [`NOTICE_MS`].
    pub notice: u64,
    /// Origin of the configuration. Default: submitted.
    pub origin: Origin,
    /// Whether the node watches the external configuration source. Default: always.
    pub watch: Watch,
    /// Longest time for which a key works after it was taken away, in ms. Default: none.
    ///
    /// A node whose configuration was not confirmed as the newest for so long refuses requests with keys.
    pub revoke: Option<u64>,
    /// Tolerance of customers' quotas. Default: [`QuotaSettings::default`].
    pub quota: QuotaSettings,
    /// Bound on the retries of all nodes together. Default: none; retries are a share of successes.
    pub retries: Option<Bound>,
    /// Bandwidth of the host's link, in Mbit/s. Default: 1000.
    pub link: f64,
    /// Service of the upstream beside the node, sent as the caller's service to other upstreams. Default:
    /// unknown.
    pub service: Option<Name>,
    /// Header fields used with callers and upstreams. Default: the system's own.
    pub dialect: Dialect,
    /// Whether the node polls the upstream's health. Default: every second.
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
            revoke: None,
            quota: QuotaSettings::default(),
            retries: None,
            link: 1_000.0,
            service: None,
            dialect: Dialect::default(),
            polling: Polling::default(),
        }
    }
}

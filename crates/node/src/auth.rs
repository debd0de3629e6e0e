//! Who may ask the admin address for what.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use http::{HeaderMap, header};
use laburnum_edge::Token;

use crate::{config::Config, traffic::faults::Faults};

/// Most tokens in force at once: the old and the new one during rotation.
pub const TOKENS_MAX: usize = 2;

/// The settings would leave a socket open to strangers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Exposed {
    /// Operators' API without a token where others reach it.
    #[error(
        "the admin address {0} is not on loopback and no admin key is set: whoever reaches it could change the configuration; set an admin key, or listen on 127.0.0.1"
    )]
    Admin(SocketAddr),
    /// More tokens than rotation needs.
    #[error("{0} admin keys are set; keep {TOKENS_MAX} at most: the old and the new one")]
    Tokens(usize),
    /// Nodes that others reach with the key that everybody knows.
    #[error(
        "the address {0} is not on loopback and the link key is the public default: whoever reaches it would pass as a node; set a link key"
    )]
    Link(SocketAddr),
}

/// Refuses settings that would leave a socket open to strangers; names every such socket.
pub fn check(config: &Config) -> Result<(), Vec<Exposed>> {
    let mut faults = Vec::new();
    let tokens = config.admin_keys.len();
    if tokens == 0 && !loopback(config.admin.ip()) {
        faults.push(Exposed::Admin(config.admin));
    }
    if tokens > TOKENS_MAX {
        faults.push(Exposed::Tokens(tokens));
    }
    if config.keys.is_public() {
        let open = [config.control, config.traffic]
            .into_iter()
            .filter(|it| !loopback(it.ip()));
        faults.extend(open.map(Exposed::Link));
    }
    match faults.is_empty() {
        true => Ok(()),
        false => Err(faults),
    }
}

/// Decides on requests to the admin address.
#[derive(Clone, Debug, Default)]
pub struct Guard(Option<Arc<Rules>>);

#[derive(Debug)]
struct Rules {
    tokens: Vec<Token>,
    own: [IpAddr; 2],
    faults: Arc<Faults>,
}

/// The other end of a request's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer(pub SocketAddr);

/// A request without a token that fits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unauthorized;

/// What a path asks for.
enum Access {
    /// Anybody: probes of the host, and the collector of metrics.
    Open,
    /// The upstream beside the node, or a holder of a token.
    Beside,
    /// A holder of a token.
    Token,
}

impl Guard {
    /// Rules of a node's admin address. Without a token, [`check`] made sure that it is on loopback.
    pub fn new(config: &Config, faults: Arc<Faults>) -> Guard {
        if config.admin_keys.is_empty() {
            return Guard::default();
        }
        Guard(Some(Arc::new(Rules {
            tokens: config.admin_keys.clone(),
            own: [config.admin.ip(), config.control.ip()].map(|it| it.to_canonical()),
            faults,
        })))
    }

    /// Whether a request for `path` may go on.
    pub fn admit(
        &self,
        path: &str,
        headers: &HeaderMap,
        peer: Option<Peer>,
    ) -> Result<(), Unauthorized> {
        let Some(rules) = &self.0 else {
            return Ok(());
        };
        let admitted = match access(path) {
            Access::Open => true,
            Access::Beside => peer.is_some_and(|it| rules.beside(it)) || rules.holder(headers),
            Access::Token => rules.holder(headers),
        };
        if admitted {
            return Ok(());
        }
        rules
            .faults
            .count("admin-unauthorized", peer.map(|Peer(it)| it));
        Err(Unauthorized)
    }
}

impl Rules {
    fn beside(&self, Peer(peer): Peer) -> bool {
        let ip = peer.ip().to_canonical();
        ip.is_loopback() || self.own.contains(&ip)
    }

    /// Whether the request carries one token that fits. Every token is compared, whichever fits.
    fn holder(&self, headers: &HeaderMap) -> bool {
        let mut values = headers.get_all(header::AUTHORIZATION).iter();
        let Some(value) = values.next().filter(|_| values.next().is_none()) else {
            return false;
        };
        let fits = self.tokens.iter().map(|it| it.fits(value));
        fits.fold(false, |any, it| any | it)
    }
}

/// Whatever is not named here needs a token, so that a new path is never open by mistake.
fn access(path: &str) -> Access {
    match path {
        "/livez" | "/readyz" | "/metrics" => Access::Open,
        "/v1/upstream" => Access::Beside,
        _ => Access::Token,
    }
}

fn loopback(ip: IpAddr) -> bool {
    ip.to_canonical().is_loopback()
}

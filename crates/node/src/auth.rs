//! Authorization of requests to the admin address, and checks that no socket is exposed without authentication.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use http::{HeaderMap, header};
use laburnum_edge::Token;

use crate::{config::Config, traffic::faults::Faults};

/// Maximum number of tokens in force: the old and the new one during rotation.
pub const TOKENS_MAX: usize = 2;

/// A setting that would expose a socket to unauthenticated peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Exposed {
    /// The admin address is reachable from other hosts and no token is set.
    #[error(
        "the admin address {0} is not on loopback and no admin key is set: anyone who can reach it could change the configuration; set an admin key, or listen on 127.0.0.1"
    )]
    Admin(SocketAddr),
    /// More tokens are set than rotation needs.
    #[error("{0} admin keys are set; set at most {TOKENS_MAX}: the old and the new one")]
    Tokens(usize),
    /// An address for nodes is reachable from other hosts and uses the public key.
    #[error(
        "the address {0} is not on loopback and the link key is the public default: anyone who can reach it could pose as a node; set a link key"
    )]
    Link(SocketAddr),
}

/// Checks that no setting exposes a socket to unauthenticated peers; returns all that do.
pub fn check(config: &Config) -> Result<(), Vec<Exposed>> {
    let mut faults = Vec::new();
    let tokens = config.admin_keys.len();
    if tokens == 0 && !is_loopback(config.admin.ip()) {
        faults.push(Exposed::Admin(config.admin));
    }
    if tokens > TOKENS_MAX {
        faults.push(Exposed::Tokens(tokens));
    }
    if config.keys.is_public() {
        let open = [config.control, config.traffic]
            .into_iter()
            .filter(|it| !is_loopback(it.ip()));
        faults.extend(open.map(Exposed::Link));
    }
    match faults.is_empty() {
        true => Ok(()),
        false => Err(faults),
    }
}

/// Authorizes requests to the admin address.
#[derive(Clone, Debug, Default)]
pub struct Guard(Option<Arc<Rules>>);

#[derive(Debug)]
struct Rules {
    tokens: Vec<Token>,
    own_ips: [IpAddr; 2],
    faults: Arc<Faults>,
}

/// Address of the peer that sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer(pub SocketAddr);

/// A request without a valid token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unauthorized;

/// Access that a path requires.
enum Access {
    /// Open to all: probes of the host, and the collector of metrics.
    Open,
    /// The upstream beside the node, or a client with a token.
    Upstream,
    /// A client with a token.
    Token,
}

impl Guard {
    /// Creates the guard of a node's admin address. Without a token, [`check`] has ensured that the address is
    /// on loopback.
    pub fn new(config: &Config, faults: Arc<Faults>) -> Guard {
        if config.admin_keys.is_empty() {
            return Guard::default();
        }
        Guard(Some(Arc::new(Rules {
            tokens: config.admin_keys.clone(),
            own_ips: [config.admin.ip(), config.control.ip()].map(|it| it.to_canonical()),
            faults,
        })))
    }

    /// Checks whether a request for `path` is authorized.
    pub fn admit(
        &self,
        path: &str,
        headers: &HeaderMap,
        peer: Option<Peer>,
    ) -> Result<(), Unauthorized> {
        let Some(rules) = &self.0 else {
            return Ok(());
        };
        let admitted = match required_access(path) {
            Access::Open => true,
            Access::Upstream => {
                peer.is_some_and(|it| rules.is_local(it)) || rules.has_token(headers)
            }
            Access::Token => rules.has_token(headers),
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
    fn is_local(&self, Peer(peer): Peer) -> bool {
        let ip = peer.ip().to_canonical();
        ip.is_loopback() || self.own_ips.contains(&ip)
    }

    /// Returns whether the request carries exactly one token, which is valid. All tokens are compared, so that
    /// the time does not depend on which one matches.
    fn has_token(&self, headers: &HeaderMap) -> bool {
        let mut values = headers.get_all(header::AUTHORIZATION).iter();
        let Some(value) = values.next().filter(|_| values.next().is_none()) else {
            return false;
        };
        let matches = self.tokens.iter().map(|it| it.matches(value));
        matches.fold(false, |any, it| any | it)
    }
}

/// Returns the access that a path requires. Unknown paths need a token, so that a new path is never open by
/// mistake.
fn required_access(path: &str) -> Access {
    match path {
        "/livez" | "/readyz" | "/metrics" => Access::Open,
        "/v1/upstream" => Access::Upstream,
        _ => Access::Token,
    }
}

fn is_loopback(ip: IpAddr) -> bool {
    ip.to_canonical().is_loopback()
}

//! Checks of settings against each other.

use std::net::{IpAddr, SocketAddr};

use laburnum_edge::link::Key;
use laburnum_flags::{Fault, Row, Values};

use super::table::{
    ADMIN, ADMIN_KEY, ADMIN_KEY_ALSO, CALLER, CONTROL, LINK_KEY, LINK_KEY_ALSO, PEERS, PLATFORM,
    TRAFFIC,
};

/// A setting for an address that the node listens on, and that address if it is valid.
type OwnAddress = (Row, Option<SocketAddr>);

/// Returns all conflicts between settings. Settings that are not valid by themselves are skipped.
pub fn faults(values: &Values) -> Vec<Fault> {
    let own = [
        (CALLER.row(), values.find(&CALLER).map(|it| it.0)),
        (CONTROL.row(), values.find(&CONTROL).map(|it| it.0)),
        (TRAFFIC.row(), values.find(&TRAFFIC).map(|it| it.0)),
        (ADMIN.row(), values.find(&ADMIN).map(|it| it.0)),
    ];
    let mut faults = check_own_addresses(&own);
    faults.extend(check_peers(values, &own));
    faults.extend(check_traffic_address(values));
    faults.extend(check_platform(values, &own));
    faults.extend(check_link_keys(values));
    faults.extend(check_admin_tokens(values));
    faults
}

/// Requires that no two sockets of the node listen on the same address.
fn check_own_addresses(own: &[OwnAddress; 4]) -> Vec<Fault> {
    let pairs = own.iter().enumerate().flat_map(|(idx, later)| {
        let earlier = own[..idx].iter();
        earlier.map(move |it| (it, later))
    });
    let faults = pairs.filter_map(|(earlier, later)| {
        let (first, second) = (earlier.1?, later.1?);
        if !overlap(first, second) {
            return None;
        }
        let why = format!("{} listens there too: choose another port", earlier.0.flag);
        Some(Fault::invalid(&later.0, &second.to_string(), &why))
    });
    faults.collect()
}

/// Returns whether two sockets cannot be bound together; a wildcard takes its port on every address.
fn overlap(lhs: SocketAddr, rhs: SocketAddr) -> bool {
    let wild = lhs.ip().is_unspecified() || rhs.ip().is_unspecified();
    lhs.port() == rhs.port() && (wild || ip(lhs) == ip(rhs))
}

/// Requires that the peers are other nodes, named once, that can reach this node's control address.
fn check_peers(values: &Values, own: &[OwnAddress; 4]) -> Vec<Fault> {
    let peers = values.find(&PEERS).map_or_else(Vec::new, |it| it.0);
    let peers: Vec<SocketAddr> = peers.into_iter().map(|it| it.0).collect();
    let invalid =
        |peer: &SocketAddr, why: &str| Fault::invalid(&PEERS.row(), &peer.to_string(), why);
    let mut faults = Vec::new();
    for (idx, peer) in peers.iter().enumerate() {
        let same = own.iter().find(|it| it.1 == Some(*peer));
        if let Some((row, _)) = same {
            let why = format!("this node's own {}: name other nodes", row.flag);
            faults.push(invalid(peer, &why));
        }
        if peers[..idx].contains(peer) {
            faults.push(invalid(peer, "named twice: keep one"));
        }
    }
    let Some(control) = values.find(&CONTROL) else {
        return faults;
    };
    let remote = peers.iter().find(|it| !ip(**it).is_loopback());
    if let Some(peer) = remote
        && ip(control.0).is_loopback()
    {
        let why = format!("{peer} of --peers cannot reach loopback: name this host's IP address");
        faults.push(Fault::invalid(&CONTROL.row(), &control.0.to_string(), &why));
    }
    faults
}

/// Requires that nodes that can reach the control address can reach the traffic address as well.
fn check_traffic_address(values: &Values) -> Option<Fault> {
    let (control, traffic) = (values.find(&CONTROL)?.0, values.find(&TRAFFIC)?.0);
    if ip(control).is_loopback() || !ip(traffic).is_loopback() {
        return None;
    }
    let why =
        "other nodes reach --control and not this loopback address: name this host's IP address";
    Some(Fault::invalid(&TRAFFIC.row(), &traffic.to_string(), why))
}

/// Requires that the platform is not one of the node's own sockets, and that a fleet shares one.
///
/// With a table in its memory, each node would grant claims by itself, so two nodes could run the same request.
/// On loopback this is allowed for trials.
fn check_platform(values: &Values, own: &[OwnAddress; 4]) -> Vec<Fault> {
    let row = PLATFORM.row();
    let Some(platform) = values.find(&PLATFORM) else {
        let remote = values.find(&CONTROL);
        let remote = remote.is_some_and(|it| !ip(it.0).is_loopback());
        let peers = values.find(&PEERS).is_some_and(|it| !it.0.is_empty());
        let why = "the nodes of a fleet must share one: name its address";
        return match remote && peers {
            true => vec![Fault::invalid(&row, "", why)],
            false => Vec::new(),
        };
    };
    let same = own.iter().filter(|it| it.1 == Some(platform.0));
    let faults = same.map(|(own, _)| {
        let why = format!("this node's own {}: name the platform's", own.flag);
        Fault::invalid(&row, &platform.0.to_string(), &why)
    });
    faults.collect()
}

/// Allows the public key on loopback only: anybody can seal frames with it and change the fleet's configuration.
/// The second key must differ from the first.
fn check_link_keys(values: &Values) -> Vec<Fault> {
    let mut faults = Vec::new();
    let (key, also) = (values.find(&LINK_KEY), values.find(&LINK_KEY_ALSO));
    let remote = values.find(&CONTROL);
    let remote = remote.is_some_and(|it| !ip(it.0).is_loopback());
    let remedy = "the public key is no secret, so it is for a loopback --control only: make a key with: openssl rand -hex 32";
    // An invalid key already has a fault of its own.
    if remote && key == Some(Key::PUBLIC) {
        faults.push(Fault::invalid(&LINK_KEY.row(), "", remedy));
    }
    if remote && also == Some(Key::PUBLIC) {
        faults.push(Fault::invalid(&LINK_KEY_ALSO.row(), "", remedy));
    }
    if also.is_some() && also == key {
        let why = "the same as --link-key: leave it out, or give the key that is rotated in or out";
        faults.push(Fault::invalid(&LINK_KEY_ALSO.row(), "", why));
    }
    faults
}

/// Requires a token off loopback: without one, anybody who reaches the admin address can change the configuration.
fn check_admin_tokens(values: &Values) -> Option<Fault> {
    let admin = values.find(&ADMIN)?.0;
    let mut tokens = [&ADMIN_KEY, &ADMIN_KEY_ALSO].into_iter();
    if ip(admin).is_loopback() || tokens.any(|it| values.find(it).is_some()) {
        return None;
    }
    let why =
        "operators need a token off loopback: set --admin-key, made with: openssl rand -hex 32";
    Some(Fault::invalid(&ADMIN.row(), &admin.to_string(), why))
}

fn ip(address: SocketAddr) -> IpAddr {
    address.ip().to_canonical()
}

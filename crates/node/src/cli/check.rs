//! Faults between settings that are each valid alone.

use std::net::{IpAddr, SocketAddr};

use laburnum_edge::link::Key;
use laburnum_flags::{Fault, Row, Values};

use super::table::{
    ADMIN, ADMIN_KEY, ADMIN_KEY_ALSO, CALLER, CONTROL, LINK_KEY, LINK_KEY_ALSO, PEERS, PLATFORM,
    TRAFFIC,
};

/// A setting and its address, if it could be read.
type Address = (Row, Option<SocketAddr>);

/// Every fault between the settings; those with faults of their own are left out.
pub fn faults(values: &Values) -> Vec<Fault> {
    let own = [
        (CALLER.row(), values.find(&CALLER).map(|it| it.0)),
        (CONTROL.row(), values.find(&CONTROL).map(|it| it.0)),
        (TRAFFIC.row(), values.find(&TRAFFIC).map(|it| it.0)),
        (ADMIN.row(), values.find(&ADMIN).map(|it| it.0)),
    ];
    let mut faults = shared(&own);
    faults.extend(peers(values, &own));
    faults.extend(reach(values));
    faults.extend(platform(values, &own));
    faults.extend(keys(values));
    faults.extend(tokens(values));
    faults
}

/// Two sockets of the node want the same address.
fn shared(own: &[Address; 4]) -> Vec<Fault> {
    let pairs = own.iter().enumerate().flat_map(|(idx, later)| {
        let earlier = own[..idx].iter();
        earlier.map(move |it| (it, later))
    });
    let clashes = pairs.filter_map(|(earlier, later)| {
        let (first, second) = (earlier.1?, later.1?);
        if !clash(first, second) {
            return None;
        }
        let why = format!("{} listens there too: choose another port", earlier.0.flag);
        Some(Fault::bad(&later.0, &second.to_string(), &why))
    });
    clashes.collect()
}

/// A wildcard takes its port on every address.
fn clash(lhs: SocketAddr, rhs: SocketAddr) -> bool {
    let wild = lhs.ip().is_unspecified() || rhs.ip().is_unspecified();
    lhs.port() == rhs.port() && (wild || ip(lhs) == ip(rhs))
}

fn peers(values: &Values, own: &[Address; 4]) -> Vec<Fault> {
    let peers = values.find(&PEERS).map_or_else(Vec::new, |it| it.0);
    let peers: Vec<SocketAddr> = peers.into_iter().map(|it| it.0).collect();
    let bad = |peer: &SocketAddr, why: &str| Fault::bad(&PEERS.row(), &peer.to_string(), why);
    let mut faults = Vec::new();
    for (idx, peer) in peers.iter().enumerate() {
        let same = own.iter().find(|it| it.1 == Some(*peer));
        if let Some((row, _)) = same {
            let why = format!("this node's own {}: name other nodes", row.flag);
            faults.push(bad(peer, &why));
        }
        if peers[..idx].contains(peer) {
            faults.push(bad(peer, "named twice: keep one"));
        }
    }
    let Some(control) = values.find(&CONTROL) else {
        return faults;
    };
    let far = peers.iter().find(|it| !ip(**it).is_loopback());
    if let Some(peer) = far
        && ip(control.0).is_loopback()
    {
        let why = format!("{peer} of --peers cannot reach loopback: name this host's IP address");
        faults.push(Fault::bad(&CONTROL.row(), &control.0.to_string(), &why));
    }
    faults
}

/// Nodes that reach this one by its control address must reach its traffic address as well.
fn reach(values: &Values) -> Option<Fault> {
    let (control, traffic) = (values.find(&CONTROL)?.0, values.find(&TRAFFIC)?.0);
    if ip(control).is_loopback() || !ip(traffic).is_loopback() {
        return None;
    }
    let why =
        "other nodes reach --control and not this loopback address: name this host's IP address";
    Some(Fault::bad(&TRAFFIC.row(), &traffic.to_string(), why))
}

/// The platform is none of the node's own sockets, and the nodes of a fleet share one.
///
/// With a table of its own each node would accept changes and claims for itself: two nodes would run
/// the same request, and neither would see the other's changes. On loopback that is a trial.
fn platform(values: &Values, own: &[Address; 4]) -> Vec<Fault> {
    let row = PLATFORM.row();
    let Some(platform) = values.find(&PLATFORM) else {
        let far = values.find(&CONTROL);
        let far = far.is_some_and(|it| !ip(it.0).is_loopback());
        let peers = values.find(&PEERS).is_some_and(|it| !it.0.is_empty());
        let why = "the nodes of a fleet must share one: name its address";
        return match far && peers {
            true => vec![Fault::bad(&row, "", why)],
            false => Vec::new(),
        };
    };
    let same = own.iter().filter(|it| it.1 == Some(platform.0));
    let faults = same.map(|(own, _)| {
        let why = format!("this node's own {}: name the platform's", own.flag);
        Fault::bad(&row, &platform.0.to_string(), &why)
    });
    faults.collect()
}

/// Anybody can seal frames with the public key, and so change the fleet's configuration.
fn keys(values: &Values) -> Vec<Fault> {
    let mut faults = Vec::new();
    let (key, also) = (values.find(&LINK_KEY), values.find(&LINK_KEY_ALSO));
    let far = values.find(&CONTROL);
    let far = far.is_some_and(|it| !ip(it.0).is_loopback());
    let remedy = "everybody knows the public key, so it is for a loopback --control only: make one with: openssl rand -hex 32";
    // A key that could not be read has its own fault already.
    if far && key == Some(Key::PUBLIC) {
        faults.push(Fault::bad(&LINK_KEY.row(), "", remedy));
    }
    if far && also == Some(Key::PUBLIC) {
        faults.push(Fault::bad(&LINK_KEY_ALSO.row(), "", remedy));
    }
    if also.is_some() && also == key {
        let why = "the same as --link-key: leave it out, or give the key that is rotated in or out";
        faults.push(Fault::bad(&LINK_KEY_ALSO.row(), "", why));
    }
    faults
}

/// Whoever reaches an admin address without tokens can change the fleet's configuration.
fn tokens(values: &Values) -> Option<Fault> {
    let admin = values.find(&ADMIN)?.0;
    let mut tokens = [&ADMIN_KEY, &ADMIN_KEY_ALSO].into_iter();
    if ip(admin).is_loopback() || tokens.any(|it| values.find(it).is_some()) {
        return None;
    }
    let why =
        "operators need a token off loopback: set --admin-key, made with: openssl rand -hex 32";
    Some(Fault::bad(&ADMIN.row(), &admin.to_string(), why))
}

fn ip(address: SocketAddr) -> IpAddr {
    address.ip().to_canonical()
}

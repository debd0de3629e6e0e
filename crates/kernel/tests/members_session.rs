//! Snapshot of a session in which a zone is partitioned from a small fleet and healed.

mod common;

use std::fmt::Write;

use common::{Net, id};
use laburnum_kernel::members::{Packet, Reach, Update};

const ZONES: [&str; 9] = ["a", "a", "a", "b", "b", "b", "c", "c", "c"];

/// Guards against changes in how a partition of a zone is detected and healed: no member is removed, and
/// the loss and the return of a zone are one update each.
#[test]
fn a_zone_is_cut_off_and_healed() {
    let mut net = Net::settled(1, &ZONES);
    let mut text = String::new();
    show(&mut text, &net, "settled");
    net.cut(&[6, 7, 8]);
    for _ in 0..8 {
        net.run(5_000);
        show(&mut text, &net, "cut");
    }
    net.heal();
    for _ in 0..6 {
        net.run(2_000);
        show(&mut text, &net, "healed");
    }
    let mut told: Vec<String> = net.packets.iter().flat_map(|it| zones(&it.3)).collect();
    told.sort_unstable();
    told.dedup();
    writeln!(text, "zone updates told: {}", told.join(", ")).expect("a string");
    for (at, node, event, pairs) in &net.logs {
        writeln!(text, "{} {node} {event} {pairs}", at.0 - 1_000_000).expect("a string");
    }
    insta::assert_snapshot!(text);
}

fn show(text: &mut String, net: &Net, what: &str) {
    write!(text, "{:>6} {what:<8}", net.now.0 - 1_000_000).expect("a string");
    for viewer in [0, 4, 7] {
        let view: String = (0..9)
            .map(|it| match net.reach(viewer, it) {
                Some(Reach::Reachable) => '+',
                Some(Reach::Suspect) => '?',
                Some(Reach::Unreachable) => '-',
                None => ' ',
            })
            .collect();
        write!(text, " {}:{view}", id(viewer)).expect("a string");
    }
    text.push('\n');
}

fn zones(packet: &Packet) -> Vec<String> {
    let (Packet::Ping { updates, .. } | Packet::Ack { updates, .. } | Packet::News { updates }) =
        packet
    else {
        return Vec::new();
    };
    updates
        .iter()
        .filter_map(|it| match it {
            Update::Zone(it) => Some(format!("{}@{}", it.zone, it.epoch)),
            _ => None,
        })
        .collect()
}

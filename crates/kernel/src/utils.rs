//! Helpers shared by several modules.

use std::hash::Hash;

use crate::{clock::Ms, id::NodeId};

/// Returns the first 8 bytes of the BLAKE3 hash of `parts`, each preceded by its length.
pub fn hash64(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut head = [0; 8];
    head.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(head)
}

/// Returns the nodes in descending rendezvous (highest random weight) order for `key`.
///
/// Adding or removing a node does not change the order of the others.
pub fn rendezvous(key: &str, nodes: impl IntoIterator<Item = NodeId>) -> Vec<NodeId> {
    let weight = |it: &NodeId| hash64(&[key.as_bytes(), it.to_string().as_bytes()]);
    let mut ranked: Vec<(u64, NodeId)> = nodes.into_iter().map(|it| (weight(&it), it)).collect();
    ranked.sort_unstable_by(|lhs, rhs| rhs.cmp(lhs));
    ranked.into_iter().map(|(_, it)| it).collect()
}

/// Removes and returns the entries of `map` for which `due` holds.
pub fn take_due<K: Clone + Eq + Hash + Ord, V>(
    map: &mut std::collections::BTreeMap<K, V>,
    due: impl Fn(&K, &V) -> bool,
) -> Vec<(K, V)> {
    let keys: Vec<K> = map
        .iter()
        .filter(|(key, value)| due(key, value))
        .map(|(key, _)| key.clone())
        .collect();
    keys.into_iter()
        .filter_map(|key| map.remove(&key).map(|value| (key, value)))
        .collect()
}

/// Returns a delay with full jitter between zero and `base * 2^failures`, at most `max`, in ms.
///
/// Nodes that failed at the same time spread their retries over the whole interval.
pub fn backoff(rng: &mut impl rand::Rng, base: u64, max: u64, failures: u32) -> u64 {
    let ceiling = base.saturating_mul(1 << failures.min(16)).min(max);
    rng.random_range(0..=ceiling)
}

/// Parses a decimal number, digits with an optional fraction, into thousandths; further digits are dropped. Signs, exponents
/// and words such as `inf` are no decimal numbers.
pub fn parse_thousandths(text: &str) -> Option<u64> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let is_number = |it: &str| !it.is_empty() && it.bytes().all(|it| it.is_ascii_digit());
    if text.len() > DECIMAL_MAX || !is_number(whole) || !is_number(fraction) {
        return None;
    }
    let whole: u64 = whole.parse().ok()?;
    let thousandths: u64 = format!("{fraction:0<3}")[..3].parse().ok()?;
    whole.checked_mul(1_000)?.checked_add(thousandths)
}

/// Maximum number of characters of a decimal number.
const DECIMAL_MAX: usize = 32;

/// Makes room for one more of at most `max` items by removing the least recently used one.
pub(crate) fn evict<T>(items: &mut Vec<T>, max: usize, last_used: impl Fn(&T) -> Ms) {
    if items.len() < max {
        return;
    }
    let oldest = items.iter().enumerate().min_by_key(|(_, it)| last_used(it));
    if let Some((idx, _)) = oldest {
        items.swap_remove(idx);
    }
}

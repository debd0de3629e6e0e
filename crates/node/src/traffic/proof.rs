//! Proof that a request between nodes comes from a holder of the link key.
//!
//! The proof is `<bucket>.<tag>`: the time in steps of [`STEP_MS`], and the keyed BLAKE3 hash over that step,
//! the receiver's address, the method, the path and the fields in `COVERED`. The key itself is not sent. The
//! body, all other fields and the answer are not covered; docs/SECURITY.md describes the consequences.

use std::net::SocketAddr;

use blake3::Hash;
use http::{HeaderName, HeaderValue, Request, StatusCode};
use laburnum_edge::{Clock, link::Keys};

use super::{
    denial::{Denial, UNPROVEN},
    headers::{
        ATTEMPT, BUDGET, DEADLINE, GOAL, IDEMPOTENCY_KEY, PRIORITY, PROOF, REPEAT, REQUEST, SERVICE,
    },
};

/// Creates and verifies proofs.
#[derive(Debug)]
pub struct Proofs {
    own: SocketAddr,
    keys: Keys,
    clock: Clock,
}

/// Reason why a request from another node is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unproven {
    /// The proof is missing, duplicated or malformed.
    #[error(
        "no valid laburnum-proof: this port only serves other nodes; send callers' requests to the --caller address, and update nodes of older versions"
    )]
    Absent,
    /// The proof's time step is more than one away from this node's.
    #[error(
        "the proof's time differs from this node's: synchronize the clocks of both hosts and restart their nodes"
    )]
    Time,
    /// The tag matches none of the keys in force.
    #[error(
        "the proof does not match: give both nodes the same link key, and start the owner with the address that other nodes use for it"
    )]
    Tag,
}

/// Length of one time step, in ms. The steps before and after the receiver's own are accepted, so clocks may
/// differ by at least this much.
pub const STEP_MS: u64 = 30_000;

/// Fields that the tag covers: all that determine what the owner runs, and how often.
const COVERED: [HeaderName; 9] = [
    SERVICE,
    GOAL,
    PRIORITY,
    REQUEST,
    ATTEMPT,
    REPEAT,
    BUDGET,
    DEADLINE,
    IDEMPOTENCY_KEY,
];

/// Key derivation context.
const PURPOSE: &str = "laburnumward 2026-12-02 request between nodes";

impl Proofs {
    /// Creates the proofs of the node that other nodes reach at `own`.
    pub fn new(own: SocketAddr, keys: &Keys, clock: Clock) -> Proofs {
        Proofs {
            own,
            keys: keys.derive(PURPOSE),
            clock,
        }
    }

    /// Adds a proof for the node at `to` to `request`.
    pub fn prove<B>(&self, request: &mut Request<B>, to: SocketAddr) {
        let step = self.step();
        let tag = self.keys.tag(slices(&covered_parts(request, to, step)));
        let text = format!("{step}.{}", tag.to_hex());
        if let Ok(value) = HeaderValue::from_str(&text) {
            request.headers_mut().insert(PROOF, value);
        }
    }

    /// Verifies the proof of a request that arrived at this node.
    pub fn check<B>(&self, request: &Request<B>) -> Result<(), Unproven> {
        let (step, tag) = parse_proof(request).ok_or(Unproven::Absent)?;
        if step.abs_diff(self.step()) > 1 {
            return Err(Unproven::Time);
        }
        match self
            .keys
            .matches(slices(&covered_parts(request, self.own, step)), &tag)
        {
            true => Ok(()),
            false => Err(Unproven::Tag),
        }
    }

    fn step(&self) -> u64 {
        self.clock.now().0 / STEP_MS
    }
}

impl Unproven {
    /// Returns the stable name under which the fault is counted.
    pub fn kind(self) -> &'static str {
        match self {
            Unproven::Absent => "node-no-proof",
            Unproven::Time => "node-proof-time",
            Unproven::Tag => "node-proof-tag",
        }
    }
}

impl From<Unproven> for Denial {
    fn from(unproven: Unproven) -> Denial {
        Denial::bad(StatusCode::UNAUTHORIZED, UNPROVEN, unproven.to_string())
    }
}

fn parse_proof<B>(request: &Request<B>) -> Option<(u64, Hash)> {
    let mut values = request.headers().get_all(PROOF).iter();
    let value = values.next().filter(|_| values.next().is_none())?;
    let (step, tag) = value.to_str().ok()?.split_once('.')?;
    Some((step.parse().ok()?, Hash::from_hex(tag).ok()?))
}

/// Returns the input of the tag. Each field is preceded by the number of its values, so that a value cannot
/// pass for another field's.
fn covered_parts<B>(request: &Request<B>, to: SocketAddr, step: u64) -> Vec<Vec<u8>> {
    let path = request.uri().path_and_query();
    let mut parts = vec![
        step.to_le_bytes().to_vec(),
        to.to_string().into_bytes(),
        request.method().as_str().into(),
        path.map_or("/", |it| it.as_str()).into(),
    ];
    for name in &COVERED {
        let values = request.headers().get_all(name);
        parts.push(values.iter().count().to_le_bytes().to_vec());
        parts.extend(values.iter().map(|it| it.as_bytes().to_vec()));
    }
    parts
}

fn slices(parts: &[Vec<u8>]) -> impl Iterator<Item = &[u8]> + Clone {
    parts.iter().map(Vec::as_slice)
}

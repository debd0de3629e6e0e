//! The admission gate of an upstream that is replaced while requests wait for it.

use std::time::Duration;

use laburnum_edge::Clock;
use laburnum_kernel::{
    Ms,
    admission::{
        kinds::Kind,
        ranks::{RankedRequest, WaitLimit},
    },
    document::Class,
    members::Phase,
    settings::Origin,
    standing::StartTag,
};
use laburnum_node::traffic::gate::{Gate, SlotRequest, UpstreamState};
use tokio::time::timeout;

fn upstream(start: u32) -> UpstreamState {
    UpstreamState {
        phase: Phase::Ready,
        slots: 1,
        queue: 8,
        start: Some(StartTag(start)),
    }
}

fn request() -> SlotRequest {
    SlotRequest {
        class: Class::Interactive,
        ranked: RankedRequest {
            priority: 1,
            goal: Ms(3_000),
            deadline: Ms(6_000),
            queue: WaitLimit::Full,
            kind: Kind::default(),
        },
    }
}

/// Guards against a request that waits for an upstream and is sent to it after it left, because another one follows at the
/// host between two turns of the gate.
#[tokio::test]
async fn waiting_requests_are_refused_when_another_upstream_follows() {
    let gate = Gate::new(Clock::manual(Ms(1_000)), Origin::Imported);
    gate.update(upstream(1));
    let running = gate.acquire(request()).await.expect("a free slot");
    let waiting = tokio::spawn({
        let gate = gate.clone();
        async move { gate.acquire(request()).await.map(drop) }
    });
    while gate.gauges().waiting == 0 {
        tokio::task::yield_now().await;
    }
    gate.update(upstream(2));
    let verdict = timeout(Duration::from_secs(5), waiting).await;
    let verdict = verdict.expect("an answer at once").expect("no panic");
    assert!(verdict.is_err());
    drop(running);
}

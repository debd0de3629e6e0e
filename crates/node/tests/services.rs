//! Concurrent updates of an entry's per-service state.

use std::{
    collections::BTreeMap,
    sync::{Arc, Barrier},
    thread,
};

use laburnum_kernel::{
    Ms, Name, NodeId, Revision, View,
    document::Document,
    id::Build,
    members::{Exposure, Phase, Reach},
    pick::Place,
    settings::Origin,
    view::{Endpoint, ServiceView},
};
use laburnum_node::traffic::services::Services;

const DOCUMENT: &str = include_str!("../../../examples/nile/court-registry.toml");
/// Number of rounds; a race is only likely to show in some of them.
const ROUNDS: usize = 3_000;
const THREADS: usize = 4;

fn name(text: &str) -> Name {
    text.parse().expect("a name")
}

fn view() -> Arc<View> {
    let address = "127.0.0.1:7101".parse().expect("an address");
    let endpoint = Endpoint {
        node: NodeId(address),
        incarnation: 1,
        traffic: address,
        region: name("cairo"),
        zone: name("nasr"),
        phase: Phase::Ready,
        reach: Reach::Reachable,
        slots: 6,
        build: Build::default(),
        exposure: Exposure::Full,
    };
    let service = ServiceView {
        revision: Revision(1),
        document: Arc::new(Document::parse(DOCUMENT).expect("a document")),
        text: DOCUMENT.into(),
        endpoints: vec![endpoint],
    };
    Arc::new(View {
        services: BTreeMap::from([(name("court-registry"), service)]),
        ..View::default()
    })
}

/// Several threads see a new view at once. None may treat its service as up to date before the update and find
/// no endpoint.
#[test]
fn concurrent_requests_all_follow_a_new_view() {
    let place = Place {
        region: name("cairo"),
        zone: name("nasr"),
    };
    let id = NodeId(([127, 0, 0, 1], 7101).into());
    for _ in 0..ROUNDS {
        let services = Services::new(id, place.clone(), Origin::Submitted, None);
        let (view, barrier) = (view(), Barrier::new(THREADS));
        thread::scope(|scope| {
            for _ in 0..THREADS {
                scope.spawn(|| {
                    let name = name("court-registry");
                    let found = &view.services[&name];
                    barrier.wait();
                    let service = services.get(Ms(1), &view, &name, found);
                    assert_eq!(service.lock().chooser.count(), 1);
                });
            }
        });
    }
}

//! Choice of an endpoint for requests with a latency goal.

use std::{collections::BTreeSet, net::SocketAddr};

use laburnum_kernel::{
    Ms, NodeId,
    admission::{
        kinds::Kind,
        ranks::{LinkOutlook, Outlook, RANKS, RankedRequest, WaitLimit},
    },
    document::Class,
    id::Build,
    members::{Exposure, Phase, Reach},
    pick::{
        Choice, Lane, Outcome, Place,
        placement::{FAR_MAX, NEAR_MAX, Placement},
    },
    refusal::{Reason, Refusal},
    rollout::CANARY_PERCENT,
    standing::{Rate, Standing},
    view::Endpoint,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const NOW: Ms = Ms(10_000);
const DRAWS: usize = 200;

fn id(number: u16) -> NodeId {
    NodeId(SocketAddr::from(([10, 0, 0, 1], number)))
}

fn endpoint(number: u16, zone: &str) -> Endpoint {
    Endpoint {
        node: id(number),
        incarnation: 1,
        traffic: id(number).0,
        region: "cairo".parse().expect("a name"),
        zone: zone.parse().expect("a name"),
        phase: Phase::Ready,
        reach: Reach::Reachable,
        slots: 6,
        build: Build::default(),
        exposure: Exposure::Full,
    }
}

/// Creates a placement of the entry `own` in the zone `nasr`, with endpoints 1 to 3 in these zones.
fn placement_of(own: NodeId, zones: [&str; 3]) -> Placement {
    let place = Place {
        region: "cairo".parse().expect("a name"),
        zone: "nasr".parse().expect("a name"),
    };
    let mut placement = Placement::new(own, place);
    let endpoints: Vec<Endpoint> = (1..).zip(zones).map(|it| endpoint(it.0, it.1)).collect();
    placement.refresh(&endpoints);
    placement
}

/// Creates a placement with endpoints 1 and 2 in its own zone and 3 in another.
fn placement() -> Placement {
    placement_of(id(999), ["nasr", "nasr", "giza"])
}

fn ranked(now: Ms) -> RankedRequest {
    RankedRequest {
        priority: 2,
        goal: now + 200,
        deadline: now + 1_200,
        queue: WaitLimit::Full,
        kind: Kind::default(),
    }
}

fn report_outlook(placement: &mut Placement, number: u16, wait: u16, service: u16) {
    let outlook = Outlook {
        free: if wait == 0 { 3 } else { 0 },
        slots: 6,
        wait: [wait; RANKS],
        service: [service; RANKS],
        ..Outlook::default()
    };
    placement.record_outlook(NOW, id(number), outlook);
    finish(placement, number, Outcome::Answered { latency: 60 });
}

fn finish(placement: &mut Placement, number: u16, outcome: Outcome) {
    placement.started(NOW, id(number));
    placement.finished(NOW, id(number), Class::Background, outcome);
}

/// Returns how often each of the endpoints 1 to 3 is chosen.
fn count_choices(placement: &Placement, tried: &[NodeId]) -> [usize; 3] {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut counts = [0; 3];
    for _ in 0..DRAWS {
        match placement.place(NOW, &mut rng, ranked(NOW), tried) {
            Choice::Send(it) | Choice::Probe(it) => counts[usize::from(it.node.0.port()) - 1] += 1,
            Choice::Refuse(it) => panic!("refused: {it:?}"),
        }
    }
    counts
}

/// Guards against the refusal of a long request that holds back short ones of another kind.
#[test]
fn refusal_of_one_kind_does_not_hold_others() {
    let (petition, call) = (Kind(7), Kind(8));
    let ranked = |kind| RankedRequest {
        kind,
        ..ranked(NOW)
    };
    let mut placement = placement();
    let refusal = Refusal::after(Reason::Overloaded, 300);
    for number in 1..=3 {
        placement.started(NOW, id(number));
        let outcome = Outcome::Refused(refusal);
        let lane = Lane::of(Class::Background, petition);
        placement.finished(NOW, id(number), lane, outcome);
    }
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut choose = |now, kind| placement.place(now, &mut rng, ranked(kind), &[]);
    assert!(matches!(choose(NOW + 1, call), Choice::Send(_)));
    let Choice::Refuse(refused) = choose(NOW + 1, petition) else {
        panic!("expected a refusal while the hold lasts");
    };
    assert_eq!(refused.after, 299);
    assert!(matches!(choose(NOW + 301, petition), Choice::Send(_)));
}

/// Guards against traffic between zones while the own zone reaches the goal.
#[test]
fn requests_stay_in_a_zone_that_reaches_the_goal() {
    let mut placement = placement();
    report_outlook(&mut placement, 1, 40, 60);
    report_outlook(&mut placement, 2, 40, 60);
    report_outlook(&mut placement, 3, 0, 60);
    let [one, two, far] = count_choices(&placement, &[]);
    assert_eq!(far, 0);
    assert!(
        one > 50 && two > 50,
        "equal endpoints share: {one} and {two}"
    );
}

/// Guards against late answers in the own zone while another zone has free slots.
#[test]
fn requests_leave_a_zone_that_misses_the_goal() {
    let mut placement = placement();
    report_outlook(&mut placement, 1, 400, 60);
    report_outlook(&mut placement, 2, 400, 60);
    report_outlook(&mut placement, 3, 0, 60);
    assert_eq!(count_choices(&placement, &[]), [0, 0, DRAWS]);
}

/// Guards against traffic between zones that does not reach the goal either.
#[test]
fn late_requests_stay_in_their_zone() {
    let mut placement = placement();
    report_outlook(&mut placement, 1, 400, 60);
    report_outlook(&mut placement, 2, 400, 60);
    report_outlook(&mut placement, 3, 400, 60);
    assert_eq!(count_choices(&placement, &[])[2], 0);
}

/// Service times of the endpoint on the own host and of the others, in ms.
struct Services {
    own: u16,
    others: u16,
}

/// Creates a placement of the entry on the host of endpoint 1, with three endpoints of its zone that all were asked.
fn placement_beside_first(services: &Services) -> Placement {
    let mut placement = placement_of(id(1), ["nasr"; 3]);
    report_outlook(&mut placement, 1, 0, services.own);
    report_outlook(&mut placement, 2, 0, services.others);
    report_outlook(&mut placement, 3, 0, services.others);
    placement
}

/// Sends a request at each of `times`; returns when the endpoint on the own host got one.
fn own_requests(
    placement: &mut Placement,
    services: &Services,
    times: impl Iterator<Item = u64>,
) -> Vec<Ms> {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut own = Vec::new();
    for now in times.map(|it| NOW + it) {
        let choice = placement.place(now, &mut rng, ranked(now), &[]);
        let (Choice::Send(it) | Choice::Probe(it)) = choice else {
            panic!("refused at {now:?}");
        };
        let service = match it.node == id(1) {
            true => services.own,
            false => services.others,
        };
        let outlook = Outlook {
            free: 3,
            slots: 6,
            service: [service; RANKS],
            ..Outlook::default()
        };
        placement.started(now, it.node);
        placement.record_outlook(now, it.node, outlook);
        let outcome = Outcome::Answered { latency: 60 };
        placement.finished(now, it.node, Class::Background, outcome);
        if it.node == id(1) {
            own.push(now);
        }
    }
    own
}

/// Returns whether the endpoint `number` is chosen at one of `times`.
fn is_chosen(
    placement: &Placement,
    number: u16,
    tried: &[NodeId],
    mut times: impl Iterator<Item = u64>,
) -> bool {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    times.any(|it| {
        let now = NOW + it;
        match placement.place(now, &mut rng, ranked(now), tried) {
            Choice::Send(it) | Choice::Probe(it) => it.node == id(number),
            Choice::Refuse(it) => panic!("refused: {it:?}"),
        }
    })
}

/// Guards against an upstream that once looked bad and gets nothing for good while others have room: only its own answers
/// show that it has recovered.
#[test]
fn upstream_that_looked_bad_is_tried_by_its_own_host() {
    let services = Services {
        own: 900,
        others: 60,
    };
    let mut placement = placement_beside_first(&services);
    assert_eq!(count_choices(&placement, &[])[0], 0);
    let tried = own_requests(&mut placement, &services, (0..20_000).step_by(50));
    assert!((5..=20).contains(&tried.len()), "{tried:?}");
    assert!(
        tried.windows(2).all(|it| it[1].since(it[0]) >= 2_000),
        "{tried:?}"
    );
}

/// Guards against a limited upstream that gets a small part of its limit, because its few answers make it look slower than
/// others that have room.
#[test]
fn limited_upstream_that_looks_slow_gets_a_request_each_turn() {
    let services = Services {
        own: 120,
        others: 2,
    };
    let mut placement = placement_beside_first(&services);
    let limited = Standing {
        limit: Some(Rate::from_millis(2_200)),
        leaving: false,
    };
    placement.record_standing(NOW, id(1), limited);
    let tried = own_requests(&mut placement, &services, (0..10_000).step_by(50));
    assert!((15..=25).contains(&tried.len()), "{tried:?} of 22");
}

/// Guards against an entry with few requests that sends all of them to an endpoint that looks bad, as each comes after the
/// interval between two trials.
#[test]
fn entry_with_few_requests_tries_a_bad_endpoint_rarely() {
    let services = Services {
        own: 900,
        others: 60,
    };
    let mut placement = placement_beside_first(&services);
    let tried = own_requests(&mut placement, &services, (0..600_000).step_by(3_000));
    assert!((1..=30).contains(&tried.len()), "{tried:?}");
}

/// Guards against a slow endpoint that looks typical because there are only two.
#[test]
fn old_service_time_gives_way_beside_one_other_endpoint() {
    let mut placement = placement();
    report_outlook(&mut placement, 1, 0, 60);
    report_outlook(&mut placement, 2, 0, 900);
    let late = (60_000..90_000).step_by(50);
    assert!(is_chosen(&placement, 2, &[id(3)], late));
}

/// Guards against a refusal of a large body that holds back the requests of its route that have none.
#[test]
fn link_refusal_of_a_body_holds_nothing() {
    let route = Kind(7);
    let mut placement = placement();
    for number in 1..=3 {
        placement.started(NOW, id(number));
        let outcome = Outcome::Refused(Refusal::after(Reason::LinkFull, 300));
        let lane = Lane::of(Class::Background, route);
        placement.finished(NOW, id(number), lane, outcome);
    }
    let request = RankedRequest {
        kind: route,
        ..ranked(NOW)
    };
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let choice = placement.place(NOW + 1, &mut rng, request, &[]);
    assert!(!matches!(choice, Choice::Refuse(_)), "{choice:?}");
}

/// Guards against an old service time that keeps an endpoint of another host unused for good.
#[test]
fn old_service_time_gives_way_to_that_of_the_others() {
    let mut placement = placement();
    report_outlook(&mut placement, 1, 0, 60);
    report_outlook(&mut placement, 2, 0, 900);
    report_outlook(&mut placement, 3, 0, 60);
    assert!(!is_chosen(&placement, 2, &[], (0..10_000).step_by(50)));
    let late = (60_000..90_000).step_by(50);
    assert!(is_chosen(&placement, 2, &[], late));
}

#[test]
fn faster_endpoint_is_preferred() {
    let mut placement = placement();
    report_outlook(&mut placement, 1, 0, 40);
    report_outlook(&mut placement, 2, 0, 120);
    assert_eq!(count_choices(&placement, &[]), [DRAWS, 0, 0]);
}

/// Guards against an endpoint that attracts requests because it sheds them quickly.
#[test]
fn endpoint_that_sheds_load_is_avoided() {
    let mut placement = placement();
    report_outlook(&mut placement, 1, 0, 60);
    report_outlook(&mut placement, 2, 0, 60);
    for _ in 0..10 {
        let refusal = Refusal::after(Reason::Shed, 0);
        finish(&mut placement, 1, Outcome::Refused(refusal));
    }
    assert_eq!(count_choices(&placement, &[])[0], 0);
}

/// Guards against a burst to one endpoint before its next outlook arrives.
#[test]
fn requests_since_the_outlook_count_as_waiting() {
    let mut placement = placement();
    report_outlook(&mut placement, 1, 0, 60);
    report_outlook(&mut placement, 2, 0, 60);
    for _ in 0..9 {
        placement.started(NOW, id(1));
    }
    assert_eq!(count_choices(&placement, &[])[0], 0);
}

/// Guards against queueing at an endpoint with an old outlook: two endpoints are probed first, unless the zone has no
/// more than two.
#[test]
fn endpoints_with_old_outlooks_are_probed() {
    let place = |placement: &Placement, now, tried: &[NodeId]| {
        let mut rng = ChaCha8Rng::seed_from_u64(5);
        placement.place(now, &mut rng, ranked(now), tried)
    };
    let mut placement = placement();
    let zone: Vec<Endpoint> = (1..=5).map(|it| endpoint(it, "nasr")).collect();
    placement.refresh(&zone);
    (1..=5).for_each(|it| report_outlook(&mut placement, it, 0, 60));
    assert!(matches!(place(&placement, NOW, &[]), Choice::Send(_)));
    let later = NOW + 1_000;
    let one = [id(1)];
    assert!(matches!(place(&placement, later, &[]), Choice::Probe(_)));
    assert!(matches!(place(&placement, later, &one), Choice::Probe(_)));
    let two = [id(1), id(2)];
    assert!(matches!(place(&placement, later, &two), Choice::Send(_)));
    placement.refresh(&zone[..2]);
    assert!(matches!(place(&placement, later, &[]), Choice::Send(_)));
}

#[test]
fn refused_request_goes_to_an_untried_endpoint() {
    let placement = placement();
    assert_eq!(count_choices(&placement, &[id(1), id(2)]), [0, 0, DRAWS]);
}

#[test]
fn refusal_without_endpoints_is_immediate() {
    let mut placement = placement();
    placement.refresh(&[]);
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    match placement.place(NOW, &mut rng, ranked(NOW), &[]) {
        Choice::Refuse(it) => assert_eq!(it.reason, Reason::NoEndpoint),
        it => panic!("there is no endpoint: {it:?}"),
    }
}

/// Guards against connections that grow with the fleet, and against lost endpoints that are not replaced.
#[test]
fn entry_uses_a_bounded_number_of_endpoints() {
    let mut placement = placement();
    let mut endpoints: Vec<Endpoint> = (1..=300)
        .map(|it| endpoint(it, ["nasr", "maadi", "giza"][usize::from(it) % 3]))
        .collect();
    placement.refresh(&endpoints);
    assert_eq!(placement.len(), NEAR_MAX + FAR_MAX);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let used = |placement: &Placement, rng: &mut ChaCha8Rng| -> BTreeSet<NodeId> {
        let mut tried = Vec::new();
        while let Choice::Send(it) | Choice::Probe(it) =
            placement.place(NOW, rng, ranked(NOW), &tried)
        {
            tried.push(it.node);
        }
        tried.into_iter().collect()
    };
    let before = used(&placement, &mut rng);
    for it in &mut endpoints {
        if before.contains(&it.node) {
            it.reach = Reach::Unreachable;
        }
    }
    placement.refresh(&endpoints);
    let after = used(&placement, &mut rng);
    assert_eq!(after.len(), NEAR_MAX + FAR_MAX);
    assert!(
        before.is_disjoint(&after),
        "reachable endpoints replace the unreachable ones"
    );
}

/// Guards against an entry that, cut off from all other hosts, does not use the upstream on its own host.
#[test]
fn isolated_entry_sends_to_its_own_host() {
    let mut placement = placement();
    let mut endpoints: Vec<Endpoint> = (1..=99).map(|it| endpoint(it, "nasr")).collect();
    endpoints.push(endpoint(999, "nasr"));
    for it in endpoints.iter_mut().filter(|it| it.node != id(999)) {
        it.reach = Reach::Unreachable;
    }
    placement.refresh(&endpoints);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    match placement.place(NOW, &mut rng, ranked(NOW), &[]) {
        Choice::Send(it) | Choice::Probe(it) => assert_eq!(it.node, id(999)),
        Choice::Refuse(it) => panic!("{it:?}"),
    }
}

/// Guards against a new build that gets more than its share of the requests: its endpoints were chosen for their short
/// queues, or after a refusal.
#[test]
fn canaries_get_their_share() {
    let mut placement = placement();
    let canary = |number| Endpoint {
        exposure: Exposure::Canary,
        ..endpoint(number, "nasr")
    };
    placement.refresh(&[
        endpoint(1, "nasr"),
        endpoint(2, "nasr"),
        canary(4),
        canary(5),
    ]);
    report_outlook(&mut placement, 1, 150, 100);
    report_outlook(&mut placement, 2, 150, 100);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for tried in [&[][..], &[id(1)]] {
        let draws = 10_000;
        let chosen = (0..draws).map(|_| placement.place(NOW, &mut rng, ranked(NOW), tried));
        let canaries = chosen.filter(|it| match it {
            Choice::Send(it) | Choice::Probe(it) => it.exposure == Exposure::Canary,
            Choice::Refuse(_) => false,
        });
        let percent = canaries.count() * 100 / draws;
        assert!(percent <= CANARY_PERCENT as usize + 1, "{percent}%");
        assert!(percent + 2 >= CANARY_PERCENT as usize, "{percent}%");
    }
}

/// Guards against requests to a build that nobody ordered when the build in service has no room.
#[test]
fn canaries_replace_no_other_endpoint() {
    let mut placement = placement();
    placement.refresh(&[Endpoint {
        exposure: Exposure::Canary,
        ..endpoint(4, "nasr")
    }]);
    let mut rng = ChaCha8Rng::seed_from_u64(8);
    let refused = (0..DRAWS).filter(|_| {
        let choice = placement.place(NOW, &mut rng, ranked(NOW), &[]);
        matches!(choice, Choice::Refuse(_))
    });
    assert!(refused.count() * 100 >= DRAWS * 85);
}

/// Guards against requests that wait for their turn at a limited endpoint while another one takes them at once.
#[test]
fn limited_endpoint_is_probed_while_another_has_room() {
    let mut placement = placement();
    report_outlook(&mut placement, 1, 0, 10);
    report_outlook(&mut placement, 2, 0, 100);
    let limited = Standing {
        limit: Some(Rate::from_millis(2_000)),
        leaving: false,
    };
    let choose = |placement: &Placement| {
        let mut rng = ChaCha8Rng::seed_from_u64(5);
        placement.place(NOW, &mut rng, ranked(NOW), &[])
    };
    placement.record_standing(NOW, id(1), limited);
    assert!(matches!(choose(&placement), Choice::Probe(it) if it.node == id(1)));
    placement.record_standing(NOW, id(2), limited);
    placement.record_standing(NOW, id(3), limited);
    assert!(matches!(choose(&placement), Choice::Send(it) if it.node == id(1)));
    placement.record_standing(NOW, id(1), Standing::default());
    assert!(matches!(choose(&placement), Choice::Send(it) if it.node == id(1)));
}

/// Guards against requests to an endpoint between its answer that it leaves and the news of its phase.
#[test]
fn leaving_endpoint_is_avoided_at_once() {
    let mut placement = placement();
    report_outlook(&mut placement, 1, 0, 10);
    report_outlook(&mut placement, 2, 0, 100);
    let leaving = Standing {
        limit: None,
        leaving: true,
    };
    placement.record_standing(NOW, id(1), leaving);
    assert_eq!(count_choices(&placement, &[])[0], 0);
}

/// Reports the same outlook for the endpoint `number`, with `link` ms of promised answers on a link of 13 Mbit/s.
fn report_link(placement: &mut Placement, number: u16, link: u16) {
    let outlook = Outlook {
        free: 3,
        slots: 6,
        service: [40; RANKS],
        link: LinkOutlook {
            pending: link,
            rate: 1_137,
        },
        ..Outlook::default()
    };
    placement.record_outlook(NOW, id(number), outlook);
    finish(placement, number, Outcome::Answered { latency: 60 });
}

/// Returns how often each of the endpoints 1 to 3 is chosen for a request of `kind`.
fn count_kind(placement: &Placement, kind: Kind) -> [usize; 3] {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut counts = [0; 3];
    let request = RankedRequest {
        kind,
        goal: NOW + 800,
        ..ranked(NOW)
    };
    for _ in 0..DRAWS {
        match placement.place(NOW, &mut rng, request, &[]) {
            Choice::Send(it) | Choice::Probe(it) => counts[usize::from(it.node.0.port()) - 1] += 1,
            Choice::Refuse(it) => panic!("refused: {it:?}"),
        }
    }
    counts
}

/// Guards against large answers that are asked of a host whose link is full, and against short ones that avoid it.
#[test]
fn large_answers_are_asked_of_a_host_with_a_free_link() {
    let mut placement = placement();
    let (large, short) = (Kind::of("download"), Kind::of("lookup"));
    placement.record_size(NOW, large, 90_000);
    placement.record_size(NOW, short, 900);
    report_link(&mut placement, 1, 300);
    report_link(&mut placement, 2, 0);
    let [full, free, _] = count_kind(&placement, large);
    assert_eq!([full, free], [0, DRAWS]);
    let [full, free, _] = count_kind(&placement, short);
    assert!(full > DRAWS / 3 && free > DRAWS / 3, "{full} and {free}");
}

/// Guards against an entry that sends all its large requests to the host whose link was free last.
#[test]
fn large_answers_asked_for_since_the_outlook_count_on_the_link() {
    let mut placement = placement();
    let large = Kind::of("download");
    placement.record_size(NOW, large, 90_000);
    report_link(&mut placement, 1, 100);
    report_link(&mut placement, 2, 0);
    for _ in 0..3 {
        placement.started(NOW, id(2));
        placement.expect_answer(id(2), large);
    }
    let [first, second, _] = count_kind(&placement, large);
    assert_eq!([first, second], [DRAWS, 0]);
}

/// Guards against an owner that is asked again at once although its link has no room for answers of this kind.
#[test]
fn link_refusal_holds_its_kind_only() {
    let mut placement = placement();
    let large = Kind::of("download");
    placement.record_size(NOW, large, 90_000);
    report_link(&mut placement, 1, 0);
    report_link(&mut placement, 2, 0);
    placement.started(NOW, id(1));
    let refusal = Refusal::after(Reason::LinkFull, 200);
    let outcome = Outcome::Refused(refusal);
    placement.finished(NOW, id(1), Lane::Kind(large), outcome);
    assert_eq!(count_kind(&placement, large)[0], 0);
    assert!(count_kind(&placement, Kind::of("lookup"))[0] > 0);
}

//! Route tables: look-up, weights, invalid versions and differences.

use laburnum_kernel::{
    document::Repeat,
    routing::{BadSpec, Difference, RouteSpec, ServiceSpec, Spec, Table, Target},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

fn route(name: &str, host: &str, prefix: &str, targets: &[(&str, u32)]) -> RouteSpec {
    let targets = targets.iter().map(|(service, weight)| Target {
        service: service.parse().expect("a name"),
        weight: *weight,
    });
    RouteSpec {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        repeat: Repeat::Idempotent,
        timeout: 1_000,
        goal: 200,
        priority: 2,
        attempts: 2,
        targets: targets.collect(),
    }
}

fn spec(routes: Vec<RouteSpec>) -> Spec {
    let services = ["desk", "registry"].map(|it| ServiceSpec {
        name: it.parse().expect("a name"),
    });
    Spec {
        version: 7,
        routes,
        services: services.to_vec(),
        ..Spec::default()
    }
}

#[test_case("desk.example", "/drafts/7", Some("drafts"); "prefix")]
#[test_case("desk.example", "/drafts/old/7", Some("old"); "longest prefix")]
#[test_case("desk.example", "/drafts/older/7", Some("drafts"); "prefixes end at slashes")]
#[test_case("desk.example", "/drafts", None; "shorter than the prefix")]
#[test_case("desk.example", "/plans/7", None; "no prefix")]
#[test_case("other.example", "/drafts/7", None; "another host")]
#[test_case("other.example", "/anything", Some("rest"); "the root of a host")]
fn longest_prefix_wins(host: &str, path: &str, expected: Option<&str>) {
    let mut routes = vec![
        route("drafts", "desk.example", "/drafts/", &[("desk", 1)]),
        route("old", "desk.example", "/drafts/old/", &[("registry", 1)]),
    ];
    if expected == Some("rest") {
        routes.push(route("rest", "other.example", "/", &[("desk", 1)]));
    }
    let table = Table::new(spec(routes)).expect("a valid version");
    assert_eq!(table.route(host, path).map(|it| &*it.name), expected);
}

#[test]
fn targets_share_requests_by_weight() {
    let route = route("split", "h", "/", &[("desk", 90), ("registry", 10)]);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let drawn = (0..10_000).filter(|_| route.target(&mut rng).as_str() == "registry");
    let share = drawn.count();
    assert!((900..1_100).contains(&share), "{share} of 10000");
}

/// Guards against a partly applied version, or a route to a service that the node does not hold.
#[test]
fn version_with_dangling_route_is_refused() {
    let routes = vec![route("r", "h", "/a/", &[("desk", 1), ("nowhere", 1)])];
    let refused = Table::new(spec(routes)).expect_err("a dangling route");
    assert_eq!(
        refused,
        BadSpec::Dangling {
            route: "r".into(),
            service: "nowhere".parse().expect("a name")
        }
    );
}

#[test_case(&[], "/a/" => matches Err(BadSpec::NoTarget { .. }); "no target")]
#[test_case(&[("desk", 0)], "/a/" => matches Err(BadSpec::NoTarget { .. }); "no weight")]
#[test_case(&[("desk", 1)], "/a" => matches Err(BadSpec::BadPrefix { .. }); "prefix without its last slash")]
#[test_case(&[("desk", 1)], "a/" => matches Err(BadSpec::BadPrefix { .. }); "prefix without its first slash")]
#[test_case(&[("desk", 1)], "/b/" => matches Err(BadSpec::Ambiguous { .. }); "two routes for the same requests")]
fn invalid_routes_are_refused(targets: &[(&str, u32)], prefix: &str) -> Result<Table, BadSpec> {
    let other = route("other", "h", "/b/", &[("desk", 1)]);
    Table::new(spec(vec![other, route("r", "h", prefix, targets)]))
}

#[test]
fn difference_leads_from_one_version_to_another() {
    let before = spec(vec![
        route("same", "h", "/same/", &[("desk", 1)]),
        route("moved", "h", "/moved/", &[("desk", 1)]),
        route("gone", "h", "/gone/", &[("desk", 1)]),
    ]);
    let mut after = spec(vec![
        route("same", "h", "/same/", &[("desk", 1)]),
        route("moved", "h", "/moved/", &[("registry", 1)]),
        route("new", "h", "/new/", &[("desk", 1)]),
    ]);
    after.version = 9;
    let difference = Difference::between(&before, &after);
    assert_eq!(difference.routes.len(), 2);
    assert_eq!(difference.services, None);
    assert_eq!(difference.apply(&before), Some(after.clone()));
    assert_eq!(
        difference.apply(&after),
        None,
        "it applies to another version"
    );
}

//! Route tables: look-up, weights, invalid versions and differences.

use laburnum_kernel::{
    customer::{CustomerSpec, KeyDigest, Quota},
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
        public: false,
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

fn customer(name: &str, keys: &[&str]) -> CustomerSpec {
    CustomerSpec {
        name: name.into(),
        keys: keys.iter().map(|it| KeyDigest::of(it.as_bytes())).collect(),
        quota: Quota {
            rate: 2_500,
            burst: 10,
        },
        priority: Some(1),
    }
}

fn spec_with_customers(version: u64, customers: Vec<CustomerSpec>) -> Spec {
    Spec {
        version,
        customers,
        ..spec(vec![route("drafts", "desk.example", "/", &[("desk", 1)])])
    }
}

#[test]
fn customers_are_found_by_key_and_name() {
    let customers = vec![customer("acme", &["k1", "k2"]), customer("best", &["k3"])];
    let table = Table::new(spec_with_customers(7, customers)).expect("a valid version");
    let found = |key: &str| {
        let customer = table.customer(&KeyDigest::of(key.as_bytes()));
        customer.map(|it| &*it.name)
    };
    let by_key = ["k1", "k2", "k3", "k4", ""].map(found);
    let expected = [Some("acme"), Some("acme"), Some("best"), None, None];
    assert_eq!(by_key, expected);
    assert!(table.customer_named("best").is_some());
    assert!(table.customer_named("k3").is_none());
}

#[test_case(vec![customer("acme", &["k1"]), customer("best", &["k1"])], "customers best and acme hold the same key: give each its own keys"; "shared key")]
#[test_case(vec![customer("acme", &["k1"]), customer("acme", &["k2"])], "customer acme is listed twice: keep one entry with all of its keys"; "listed twice")]
#[test_case(vec![customer("a b", &[])], "customer name \"a b\" is not valid: use 1 to 200 printable ASCII characters"; "space in the name")]
#[test_case(vec![customer("", &[])], "customer name \"\" is not valid: use 1 to 200 printable ASCII characters"; "no name")]
fn invalid_customers_are_refused(customers: Vec<CustomerSpec>, expected: &str) {
    let refused = Table::new(spec_with_customers(7, customers)).expect_err("an invalid version");
    assert_eq!(refused.to_string(), expected);
}

/// A change of one customer among many costs the bytes of that one.
#[test]
fn difference_of_customers_is_small() {
    let names: Vec<String> = (0..2_000).map(|it| format!("customer-{it}")).collect();
    let customers: Vec<_> = names.iter().map(|it| customer(it, &[it])).collect();
    let base = spec_with_customers(7, customers.clone());
    let mut changed = customers;
    changed[1_000].keys.clear();
    changed.remove(3);
    changed.push(customer("new", &["k-new"]));
    let next = spec_with_customers(8, changed);
    let difference = Difference::between(&base, &next);
    let bytes = postcard::to_stdvec(&difference).expect("encodes").len();
    assert!(bytes < 200, "{bytes}");
    let applied = difference.apply(&base).expect("the same base");
    let table = Table::new(applied).expect("a valid version");
    assert!(table.customer_named("customer-3").is_none());
    assert!(table.customer(&KeyDigest::of(b"customer-1000")).is_none());
    assert!(table.customer(&KeyDigest::of(b"k-new")).is_some());
    assert_eq!(table.spec().customers.len(), 2_000);
}

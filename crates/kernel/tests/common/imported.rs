//! Fleets that import their configuration, and versions of it.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::sync::Arc;

use laburnum_kernel::{
    Settings,
    customer::CustomerSpec,
    document::Repeat,
    import::Watch,
    routing::{RouteSpec, ServiceSpec, Spec, Table, Target},
    settings::Origin,
};

use super::driver::{Driver, name, node};

/// Returns a version with `routes` routes.
pub fn table(version: u64, routes: usize) -> Arc<Table> {
    table_with(version, routes, Vec::new())
}

/// Returns a version with `routes` routes and these customers.
pub fn table_with(version: u64, routes: usize, customers: Vec<CustomerSpec>) -> Arc<Table> {
    let routes = (0..routes).map(|it| RouteSpec {
        // Pseudo-random digits, so that names compress no better than real ones.
        name: format!("r-{}", it * 2_654_435_761 % 1_000_003).into(),
        host: format!("h{}.example", it * 40_503 % 65_537).into(),
        prefix: format!("/p{}/", it * 69_069 % 1_000_033).into(),
        repeat: Repeat::Never,
        timeout: 1_000,
        goal: 200,
        priority: 0,
        attempts: 2,
        public: false,
        targets: vec![Target {
            service: name("desk"),
            weight: 1,
        }],
    });
    let spec = Spec {
        version,
        routes: routes.collect(),
        services: vec![ServiceSpec { name: name("desk") }],
        customers,
        ..Spec::default()
    };
    Arc::new(Table::new(spec).expect("a valid version"))
}

/// Starts nodes spread over `zones`, of which the first `watchers` watch the source and the others
/// subscribe to them. `seed` varies their random choices.
pub fn imported_fleet(seed: u64, count: usize, watchers: usize, zones: &[&str]) -> Driver {
    let mut driver = Driver::new(&[]);
    driver.now = driver.now + seed;
    for index in 0..count {
        driver.add_with(Settings {
            node: node(index),
            incarnation: driver.now.0,
            peers: (0..index).map(node).collect(),
            zone: name(zones[index % zones.len()]),
            origin: Origin::Imported,
            watch: match index < watchers {
                true => Watch::Always,
                false => Watch::Fallback,
            },
            ..Settings::default()
        });
    }
    driver
}

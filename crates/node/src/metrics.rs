//! Metrics of one node; docs/METRICS.md lists them.
//!
//! Each node has its own registry, because several nodes may run in one process.

mod table;

use std::{fmt, sync::Arc};

use opentelemetry::{
    KeyValue,
    metrics::{Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::{error::OTelSdkError, metrics::SdkMeterProvider};
use prometheus::{Registry, TextEncoder};

use crate::{
    control::Control,
    traffic::{Traffic, connections::OpenConnections},
};

pub use self::table::TABLE;

/// Metrics registry of one node; cheap to clone.
#[derive(Clone)]
pub struct Metrics(Arc<Shared>);

struct Shared {
    registry: Registry,
    /// Ends its meters when dropped.
    _provider: SdkMeterProvider,
    meter: Meter,
}

/// Components from which the values are read at each collection.
pub struct Source {
    /// The control thread.
    pub control: Control,
    /// The request path.
    pub traffic: Traffic,
    /// Connections of callers.
    pub callers: OpenConnections,
    /// Connections of other nodes.
    pub nodes: OpenConnections,
}

/// One metric.
#[derive(Clone, Copy)]
pub struct Row {
    /// Stable name.
    pub name: &'static str,
    /// Type of the metric.
    pub kind: Kind,
    /// One-line description.
    pub help: &'static str,
    read: fn(&Source) -> Vec<Point>,
}

/// Type of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Monotonic until the process ends.
    Counter,
    /// Current value.
    Gauge,
    /// Counts of values by range.
    Histogram,
}

/// One value with its labels.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Point {
    labels: Vec<(&'static str, &'static str)>,
    value: u64,
}

/// Name of the histogram of request latencies.
pub const LATENCY: &str = "laburnum_request_duration_seconds";
/// Upper bounds of the histogram's ranges, in seconds.
const LATENCY_BOUNDS: [f64; 14] = [
    0.001, 0.002, 0.003, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0,
];

impl Metrics {
    /// Creates an empty registry.
    pub fn new() -> Result<Metrics, OTelSdkError> {
        let registry = Registry::new();
        // Names in the table are complete: the exporter must not add suffixes.
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_units()
            .without_counter_suffixes()
            .without_target_info()
            .scope_info_enabled(false)
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Metrics(Arc::new(Shared {
            meter: provider.meter("laburnum"),
            registry,
            _provider: provider,
        })))
    }

    /// Creates the histogram of request latencies, by class.
    pub fn latency(&self) -> Histogram<f64> {
        let histogram = self.0.meter.f64_histogram(LATENCY);
        histogram
            .with_description("From the head of a caller's request to the head of its answer.")
            .with_boundaries(LATENCY_BOUNDS.to_vec())
            .build()
    }

    /// Registers every metric of the table, with values read from `source`.
    pub fn register(&self, source: Source) {
        let source = Arc::new(source);
        for row in TABLE {
            let source = source.clone();
            let points = move || (row.read)(&source);
            match row.kind {
                Kind::Counter => self.counter(row, points),
                Kind::Gauge => self.gauge(row, points),
                // Recorded by the request path itself.
                Kind::Histogram => {}
            }
        }
    }

    /// Returns all metrics in Prometheus' text format.
    pub fn text(&self) -> Result<String, prometheus::Error> {
        TextEncoder::new().encode_to_string(&self.0.registry.gather())
    }

    fn counter(&self, row: Row, points: impl Fn() -> Vec<Point> + Send + Sync + 'static) {
        let counter = self.0.meter.u64_observable_counter(row.name);
        let counter = counter.with_description(row.help);
        let counter = counter.with_callback(move |observer| {
            let points = points();
            points
                .iter()
                .for_each(|it| observer.observe(it.value, &it.labels()));
        });
        counter.build();
    }

    fn gauge(&self, row: Row, points: impl Fn() -> Vec<Point> + Send + Sync + 'static) {
        let gauge = self.0.meter.u64_observable_gauge(row.name);
        let gauge = gauge.with_description(row.help);
        let gauge = gauge.with_callback(move |observer| {
            let points = points();
            points
                .iter()
                .for_each(|it| observer.observe(it.value, &it.labels()));
        });
        gauge.build();
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Metrics(..)")
    }
}

impl Kind {
    /// Returns its name in Prometheus' text format.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Counter => "counter",
            Kind::Gauge => "gauge",
            Kind::Histogram => "histogram",
        }
    }
}

impl Point {
    fn labels(&self) -> Vec<KeyValue> {
        let labels = self.labels.iter();
        labels
            .map(|(key, value)| KeyValue::new(*key, *value))
            .collect()
    }
}

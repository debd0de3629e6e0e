//! Metrics of one node; docs/METRICS.md lists them.
//!
//! Each node has a registry of its own: many nodes may run in one process, and none may count for another.

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
    traffic::{Traffic, lines::Lines},
};

pub use self::table::TABLE;

/// The registry of one node; cheap to clone.
#[derive(Clone)]
pub struct Metrics(Arc<Shared>);

struct Shared {
    registry: Registry,
    /// Stops what it made when it is dropped.
    _provider: SdkMeterProvider,
    meter: Meter,
}

/// Where values are read from when somebody asks.
pub struct Source {
    /// The control thread.
    pub control: Control,
    /// The request path.
    pub traffic: Traffic,
    /// Connections of callers.
    pub callers: Lines,
    /// Connections of other nodes.
    pub nodes: Lines,
}

/// One metric.
#[derive(Clone, Copy)]
pub struct Row {
    /// Stable name.
    pub name: &'static str,
    /// What its values mean to a collector.
    pub kind: Kind,
    /// One line on what it is.
    pub help: &'static str,
    read: fn(&Source) -> Vec<Point>,
}

/// What the values of a metric mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Only grows until the process ends.
    Counter,
    /// The present value.
    Gauge,
    /// Counts of values in ranges.
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
/// Upper bounds of its ranges, in seconds.
const LATENCY_BOUNDS: [f64; 14] = [
    0.001, 0.002, 0.003, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0,
];

impl Metrics {
    /// An empty registry.
    pub fn new() -> Result<Metrics, OTelSdkError> {
        let registry = Registry::new();
        // Names in the table are whole: the exporter adds nothing to them.
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

    /// The histogram of request latencies, by class.
    pub fn latency(&self) -> Histogram<f64> {
        let histogram = self.0.meter.f64_histogram(LATENCY);
        histogram
            .with_description("From the head of a caller's request to the head of its answer.")
            .with_boundaries(LATENCY_BOUNDS.to_vec())
            .build()
    }

    /// Reads every metric of the table from `source` from now on.
    pub fn follow(&self, source: Source) {
        let source = Arc::new(source);
        for row in TABLE {
            let source = source.clone();
            let points = move || (row.read)(&source);
            match row.kind {
                Kind::Counter => self.counter(row, points),
                Kind::Gauge => self.gauge(row, points),
                // The request path records it itself.
                Kind::Histogram => {}
            }
        }
    }

    /// Everything in Prometheus' text format.
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
    /// Its name in Prometheus' text format.
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

//! Metrics by opentelemetry, read as Prometheus text.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Name of the meter that all instruments belong to.
const METER: &str = "hemlockhook";

/// The metrics of one process.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates an empty set of metrics.
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .expect("a fresh registry takes its first collector");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Self { registry, provider }
    }

    /// Returns the meter that instruments are made with.
    pub fn meter(&self) -> Meter {
        self.provider.meter(METER)
    }

    /// Returns every metric in Prometheus' text format.
    pub fn render(&self) -> String {
        // A family that cannot be written leaves the text empty rather than half.
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

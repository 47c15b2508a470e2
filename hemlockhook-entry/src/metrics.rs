//! OpenTelemetry metrics of an entry.

use std::sync::{Arc, Mutex, PoisonError};

use hemlockhook_runtime::metrics::Metrics;
use opentelemetry::KeyValue;

use crate::counters::Counters;

/// Metrics of an entry, updated from its counters when they are scraped.
#[derive(Clone)]
pub struct EntryMetrics {
    metrics: Metrics,
    latest: Arc<Mutex<Counters>>,
}

impl EntryMetrics {
    /// Registers the instruments.
    pub fn new() -> Self {
        let metrics = Metrics::new();
        let latest: Arc<Mutex<Counters>> = Arc::default();
        let observed = latest.clone();
        metrics
            .meter()
            .u64_observable_counter("hemlockhook_entry_events")
            .with_description("Jobs, tasks and messages counted since the start, by kind.")
            .with_callback(move |observer| {
                let counters = *observed.lock().unwrap_or_else(PoisonError::into_inner);
                for (kind, count) in kinds(&counters) {
                    observer.observe(count, &[KeyValue::new("kind", kind)]);
                }
            })
            .build();
        Self { metrics, latest }
    }

    /// Sets the current counters.
    pub fn update(&self, counters: &Counters) {
        *self.latest.lock().unwrap_or_else(PoisonError::into_inner) = *counters;
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.metrics.render()
    }
}

impl Default for EntryMetrics {
    fn default() -> Self {
        Self::new()
    }
}

fn kinds(counters: &Counters) -> [(&'static str, u64); 12] {
    [
        ("jobs_submitted", counters.submitted),
        ("jobs_forwarded", counters.forwarded),
        ("jobs_complete", counters.complete),
        ("jobs_failed", counters.failed),
        ("jobs_not_run", counters.not_run),
        ("jobs_unknown", counters.unknown),
        ("jobs_cancelled", counters.cancelled),
        ("tasks_started", counters.starts),
        ("results", counters.results),
        ("refusals", counters.refusals),
        ("slot_messages", counters.slot_messages),
        ("frames", counters.frames),
    ]
}

//! Metrics of an agent.

use hemlockhook_dispatch::AttemptEnd;
use hemlockhook_runtime::metrics::Metrics;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};

/// Counters and histograms of an agent.
pub(crate) struct AgentMetrics {
    ends: Counter<u64>,
    unanswered_calls: Counter<u64>,
    /// Time from the start of a task to its end, in milliseconds.
    duration: Histogram<u64>,
}

impl AgentMetrics {
    pub(crate) fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter();
        Self {
            ends: meter.u64_counter("leased_task_ends").build(),
            unanswered_calls: meter
                .u64_counter("leased_upstream_calls_unanswered")
                .build(),
            duration: meter
                .u64_histogram("leased_task_duration")
                .with_unit("ms")
                .build(),
        }
    }

    pub(crate) fn record_end(&self, end: &AttemptEnd) {
        let outcome: &'static str = end.outcome.into();
        self.ends.add(1, &[KeyValue::new("outcome", outcome)]);
        self.duration.record(u64::from(end.run_ms), &[]);
    }

    pub(crate) fn record_unanswered(&self, call: &'static str) {
        self.unanswered_calls.add(1, &[KeyValue::new("call", call)]);
    }
}

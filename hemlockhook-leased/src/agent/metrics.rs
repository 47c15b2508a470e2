//! What an agent counts.

use hemlockhook_dispatch::AttemptEnd;
use hemlockhook_runtime::metrics::Metrics;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};

/// Counters and histograms of an agent.
pub(crate) struct AgentMetrics {
    ends: Counter<u64>,
    unanswered: Counter<u64>,
    /// Time from a task's start to its end, in milliseconds.
    ran: Histogram<u64>,
}

impl AgentMetrics {
    pub(crate) fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter();
        Self {
            ends: meter.u64_counter("leased_task_ends").build(),
            unanswered: meter
                .u64_counter("leased_upstream_calls_unanswered")
                .build(),
            ran: meter
                .u64_histogram("leased_task_duration")
                .with_unit("ms")
                .build(),
        }
    }

    pub(crate) fn ended(&self, ended: &AttemptEnd) {
        let outcome: &'static str = ended.outcome.into();
        self.ends.add(1, &[KeyValue::new("outcome", outcome)]);
        self.ran.record(u64::from(ended.run_ms), &[]);
    }

    pub(crate) fn unanswered(&self, call: &'static str) {
        self.unanswered.add(1, &[KeyValue::new("call", call)]);
    }
}

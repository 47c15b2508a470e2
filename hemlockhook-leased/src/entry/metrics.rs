//! Metrics of an entry.

use std::time::Duration;

use hemlockhook_dispatch::entry::{Answer, ClassLoad};
use hemlockhook_runtime::metrics::Metrics;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

/// Counters and histograms of an entry.
pub(crate) struct EntryMetrics {
    answers: Counter<u64>,
    /// Jobs refused on arrival for the load of their class.
    class_refusals: Counter<u64>,
    /// Work of refused jobs that is expected to return, in thousandths of a core-second.
    booked_returns: Gauge<u64>,
    abandoned_jobs: Counter<u64>,
    task_ends: Counter<u64>,
    ignored_configurations: Counter<u64>,
    /// Time from the submission of a job to its answer, in milliseconds.
    duration: Histogram<u64>,
    /// Time for which requests of callers wait for the event loop, in milliseconds.
    delay: Histogram<u64>,
    /// Demand that is told to each agent, in thousandths of a core.
    demand: Histogram<u64>,
    /// Fraction of the fast upstreams' capacity that is reserved.
    reserved_fast_fraction: Gauge<f64>,
    interfering_pairs: Gauge<u64>,
}

impl EntryMetrics {
    pub(crate) fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter();
        Self {
            answers: meter.u64_counter("leased_job_answers").build(),
            class_refusals: meter.u64_counter("leased_class_refusals").build(),
            booked_returns: meter.u64_gauge("leased_booked_returns").build(),
            abandoned_jobs: meter.u64_counter("leased_jobs_abandoned").build(),
            task_ends: meter.u64_counter("leased_task_ends").build(),
            duration: meter
                .u64_histogram("leased_job_duration")
                .with_unit("ms")
                .build(),
            ignored_configurations: meter.u64_counter("leased_configurations_ignored").build(),
            delay: meter
                .u64_histogram("leased_event_loop_delay")
                .with_unit("ms")
                .build(),
            demand: meter.u64_histogram("leased_demand_milli").build(),
            reserved_fast_fraction: meter.f64_gauge("leased_fast_capacity_reserved").build(),
            interfering_pairs: meter.u64_gauge("leased_interfering_pairs").build(),
        }
    }

    pub(crate) fn record_answer(&self, queue: &str, answer: &Answer, duration: Duration) {
        let outcome: &'static str = answer.into();
        let queue = KeyValue::new("queue", queue.to_owned());
        self.answers
            .add(1, &[queue.clone(), KeyValue::new("outcome", outcome)]);
        self.duration.record(duration.as_millis() as u64, &[queue]);
    }

    pub(crate) fn record_class_refusal(&self, class: &ClassLoad, booked_returns: f64) {
        let band: &'static str = class.band.into();
        let queue = KeyValue::new("queue", class.queue.to_string());
        self.class_refusals
            .add(1, &[queue, KeyValue::new("band", band)]);
        self.record_booked_returns(booked_returns);
    }

    /// Records the work that is expected to return, in core-seconds.
    pub(crate) fn record_booked_returns(&self, booked_returns: f64) {
        self.booked_returns
            .record((booked_returns * 1000.0) as u64, &[]);
    }

    pub(crate) fn record_abandoned(&self, queue: &str) {
        self.abandoned_jobs
            .add(1, &[KeyValue::new("queue", queue.to_owned())]);
    }

    pub(crate) fn record_task_end(&self, outcome: &'static str) {
        self.task_ends.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn record_ignored_configuration(&self) {
        self.ignored_configurations.add(1, &[]);
    }

    pub(crate) fn record_placement(&self, reserved_fast_fraction: f64, interfering_pairs: u64) {
        self.reserved_fast_fraction
            .record(reserved_fast_fraction, &[]);
        self.interfering_pairs.record(interfering_pairs, &[]);
    }

    pub(crate) fn record_delay(&self, delay: Duration) {
        self.delay.record(delay.as_millis() as u64, &[]);
    }

    pub(crate) fn record_demand(&self, demand_milli: u32) {
        self.demand.record(u64::from(demand_milli), &[]);
    }
}

//! Results of a replay.

use std::time::Duration;

/// Outcome of one job.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JobOutcome {
    /// Time at which the client received the response; `None` if the job did not complete.
    pub answered_us: Option<u64>,
    /// Whether the client cancelled it before it ended.
    pub cancelled: bool,
    /// Whether it was refused on submission.
    pub refused: bool,
    /// Whether one of its tasks failed.
    pub failed: bool,
}

/// Queueing delay of one task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskWait {
    /// Index of the job in the trace.
    pub job: usize,
    /// Run time on an upstream of speed 1.
    pub run_us: u64,
    /// Run time on the upstream that ran it.
    pub ran_us: f64,
    /// Time from arrival at the entry until the start.
    pub wait_us: u64,
    /// Part of the wait caused by long tasks: the integral, over the wait, of the share of suitable
    /// slots that long tasks held.
    pub delay_due_to_long_us: f64,
    /// Part of the wait during which a long task held a suitable slot.
    pub wait_during_long_us: f64,
    /// Index of the upstream that ran it.
    pub upstream: usize,
}

/// Number of messages between the processes, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageCounts {
    /// Requests to start a task.
    pub starts: u64,
    /// Task results.
    pub ends: u64,
    /// Results of tasks whose job had already ended.
    pub late_ends: u64,
    /// Refused starts.
    pub refusals: u64,
    /// Cancellations.
    pub cancels: u64,
    /// Demands sent in a message of their own.
    pub demands: u64,
    /// Grants sent in a message of their own.
    pub grants: u64,
    /// Recalls of grants sent in a message of their own.
    pub recalls: u64,
    /// Returns of grants sent in a message of their own.
    pub returns: u64,
    /// Grants returned unused, in messages of their own or with others.
    pub unused_grants: u64,
}

/// Result of a replay.
#[derive(Clone, Debug, Default)]
pub struct ReplayOutcome {
    /// Outcome of each job, in the order of the trace.
    pub jobs: Vec<JobOutcome>,
    /// Queueing delay of each task that started.
    pub waits: Vec<TaskWait>,
    /// Number of messages sent during the replay, by kind.
    pub messages: MessageCounts,
    /// Wall-clock time spent on scheduling decisions.
    pub decision_time: Duration,
}

/// Integral over time of a step function.
#[derive(Clone, Copy, Default)]
pub(super) struct Integral {
    value: f64,
    total: f64,
    at_us: u64,
}

impl Integral {
    /// Returns the integral up to `now_us`.
    pub(super) fn at(&self, now_us: u64) -> f64 {
        self.total + self.value * (now_us - self.at_us) as f64
    }

    /// Sets the value that holds from `now_us` on.
    pub(super) fn set(&mut self, now_us: u64, value: f64) {
        self.total = self.at(now_us);
        self.at_us = now_us;
        self.value = value;
    }
}

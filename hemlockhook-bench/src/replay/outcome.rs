//! What a replay gives.

use std::time::Duration;

/// What happened to one job.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JobOutcome {
    /// When the client had its answer; `None` if it was not completed.
    pub answered_us: Option<u64>,
    /// Whether its client cancelled it first.
    pub cancelled: bool,
    /// Whether it was refused before anything of it ran.
    pub refused: bool,
    /// Whether a task of it failed.
    pub failed: bool,
}

/// How long one task waited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskWait {
    /// Index of the job in the trace.
    pub job: usize,
    /// Run time on an upstream of speed 1.
    pub run_us: u64,
    /// Time that it ran.
    pub ran_us: f64,
    /// Time between its arrival at the entry and its start.
    pub wait_us: u64,
    /// The part of the wait that is due to long work.
    pub delay_due_to_long_us: f64,
    /// The part of the wait in which long work held a suitable slot.
    pub wait_during_long_us: f64,
    /// Where it ran.
    pub upstream: usize,
}

/// Messages between the processes, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageCounts {
    /// Orders to start a task.
    pub starts: u64,
    /// Ends of tasks.
    pub ends: u64,
    /// Ends of tasks whose job was answered before.
    pub late_ends: u64,
    /// Refusals of starts.
    pub refusals: u64,
    /// Cancellations.
    pub cancels: u64,
    /// Backlogs told in a message of their own.
    pub demands: u64,
    /// Grants given in a message of their own.
    pub grants: u64,
    /// Recalls of grants in a message of their own.
    pub recalls: u64,
    /// Grants handed back in a message of their own.
    pub returns: u64,
    /// Grants that were handed back unused, however sent.
    pub unused_grants: u64,
}

/// What a replay gave.
#[derive(Clone, Debug, Default)]
pub struct ReplayOutcome {
    /// One for each job of the trace.
    pub jobs: Vec<JobOutcome>,
    /// One for each task that started.
    pub waits: Vec<TaskWait>,
    /// Messages sent.
    pub messages: MessageCounts,
    /// Time that the decisions took on this machine.
    pub decision_time: Duration,
}

/// The integral over time of a value that changes in steps.
#[derive(Clone, Copy, Default)]
pub(super) struct Integral {
    value: f64,
    total: f64,
    at_us: u64,
}

impl Integral {
    /// Returns the integral until now.
    pub(super) fn at(&self, now_us: u64) -> f64 {
        self.total + self.value * (now_us - self.at_us) as f64
    }

    /// Changes the value from now on.
    pub(super) fn set(&mut self, now_us: u64, value: f64) {
        self.total = self.at(now_us);
        self.at_us = now_us;
        self.value = value;
    }
}

//! Interface to the platform's worker service: leases, usage and control of running tasks.

use std::pin::Pin;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Identifier of a lease.
pub type LeaseId = u64;

/// Percentage of a task's full speed, from 1 to 100.
pub type ThrottlePercent = u8;

/// The future that operations of [`Workers`] return.
pub type WorkersFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, WorkersError>> + Send + 'a>>;

/// A lease to run one task on a worker, until it expires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Identifier of the lease.
    pub id: LeaseId,
    /// Time after which the lease expires unless it is renewed.
    pub ttl: Duration,
}

/// A worker's usage. The platform reports it with a lag.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Age of the data, in milliseconds.
    pub lag_ms: u64,
    /// The tasks that were running at that time.
    pub tasks: Vec<TaskUsage>,
}

/// The usage of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskUsage {
    /// Name of the task.
    pub task: String,
    /// Time since the start of the task, in milliseconds.
    pub run_ms: u64,
    /// Percentage of its full speed that the task runs at.
    pub percent: ThrottlePercent,
}

/// An error from an operation of [`Workers`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WorkersError {
    /// The service did not accept the request, which had no effect.
    #[error("the worker service is unavailable: {0}")]
    Unavailable(String),
    /// No valid response arrived: the request may have taken effect.
    #[error("the worker service did not answer: {0}")]
    Uncertain(String),
    /// No such worker, task or lease, or the lease has expired.
    #[error("not found: {0}")]
    NotFound(String),
    /// The service rejected the request; a retry would be rejected too.
    #[error("the worker service refused the request: {0}")]
    Rejected(String),
}

/// The platform's worker service. A task's name is `key/index`, as in the headers of requests to
/// upstreams.
pub trait Workers: Send + Sync {
    /// Acquires a lease for a task on a worker.
    fn acquire(&self, worker: &str, task: &str, ttl: Duration) -> WorkersFuture<'_, Lease>;

    /// Renews a lease for its original duration. An expired lease is not found.
    fn renew(&self, lease: LeaseId) -> WorkersFuture<'_, ()>;

    /// Releases a lease.
    fn release(&self, lease: LeaseId) -> WorkersFuture<'_, ()>;

    /// Returns the latest reported usage of a worker.
    fn usage(&self, worker: &str) -> WorkersFuture<'_, Usage>;

    /// Checkpoints a running task: it frees its slot and continues later.
    fn checkpoint(&self, worker: &str, task: &str) -> WorkersFuture<'_, ()>;

    /// Limits a running task to a percentage of its full speed.
    fn throttle(&self, worker: &str, task: &str, percent: ThrottlePercent)
    -> WorkersFuture<'_, ()>;

    /// Stops a running task permanently.
    fn stop(&self, worker: &str, task: &str) -> WorkersFuture<'_, ()>;
}

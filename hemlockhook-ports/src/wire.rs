//! Messages of the platform's HTTP services, as JSON.

use serde::{Deserialize, Serialize};

use crate::log::{Batch, LogRecord, Offset};
use crate::workers::{LeaseId, ThrottlePercent};

/// Answer to an append.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Appended {
    /// The record's offset.
    pub offset: Offset,
}

/// Answer, with status 410, to a read of records that are no longer kept.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Truncated {
    /// The oldest offset that is still kept.
    pub first_retained: Offset,
}

/// Answer to a read.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Records {
    /// In order.
    pub records: Vec<Record>,
    /// The oldest offset that is still kept.
    pub first_retained: Offset,
    /// The offset that the next record will get.
    pub end: Offset,
}

/// One record of a read.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// Its position.
    pub offset: Offset,
    /// When it was appended, in milliseconds since the Unix epoch.
    pub appended_ms: u64,
    /// The text that was appended.
    pub body: String,
}

impl From<Records> for Batch {
    fn from(records: Records) -> Self {
        Self {
            records: records.records.into_iter().map(LogRecord::from).collect(),
            first_retained: records.first_retained,
            end: records.end,
        }
    }
}

impl From<Record> for LogRecord {
    fn from(record: Record) -> Self {
        Self {
            offset: record.offset,
            appended_ms: record.appended_ms,
            body: record.body.into(),
        }
    }
}

/// Asks for a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Acquire {
    /// Name of the task that will run under the lease.
    pub task: String,
    /// Time until the lease lapses unless it is renewed, in milliseconds.
    pub ttl_ms: u64,
}

/// Answer to a request for a lease.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct LeaseGranted {
    /// Names the lease from now on.
    pub lease: LeaseId,
}

/// Names a running task, to checkpoint or stop it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskName {
    /// Name of the task.
    pub task: String,
}

/// Slows a running task down.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Throttle {
    /// Name of the task.
    pub task: String,
    /// Share of its full speed, from 1 to 100.
    pub percent: ThrottlePercent,
}

//! JSON messages of the platform's HTTP services.

use serde::{Deserialize, Serialize};

use crate::log::{Batch, LogRecord, Offset};
use crate::workers::{LeaseId, ThrottlePercent};

/// Response to an append.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Appended {
    /// The record's offset.
    pub offset: Offset,
}

/// Response with status 410 to a read of records that are no longer retained.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Truncated {
    /// The oldest retained offset.
    pub first_retained: Offset,
}

/// Response to a read.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Records {
    /// The records in order of offset.
    pub records: Vec<Record>,
    /// The oldest retained offset.
    pub first_retained: Offset,
    /// The offset of the next record to be appended.
    pub end: Offset,
}

/// A record in the response to a read.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// The record's position.
    pub offset: Offset,
    /// Time of the append, in milliseconds since the Unix epoch.
    pub appended_ms: u64,
    /// Content of the record, as UTF-8 text.
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

/// Request to acquire a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Acquire {
    /// Name of the task to run under the lease.
    pub task: String,
    /// Time until the lease expires unless it is renewed, in milliseconds.
    pub ttl_ms: u64,
}

/// Response to [`Acquire`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct LeaseGranted {
    /// Identifier of the lease.
    pub lease: LeaseId,
}

/// Request to checkpoint or stop a running task.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskName {
    /// Name of the task.
    pub task: String,
}

/// Request to throttle a running task.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Throttle {
    /// Name of the task.
    pub task: String,
    /// Percentage of full speed, from 1 to 100.
    pub percent: ThrottlePercent,
}

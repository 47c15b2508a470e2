//! Interface to the platform's append-only log.

use std::pin::Pin;

use bytes::Bytes;
use thiserror::Error;

/// Position of a record in its stream, from 1.
pub type Offset = u64;

/// The future that operations of a [`Log`] return.
pub type LogFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, LogError>> + Send + 'a>>;

/// A record read from the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// The record's position.
    pub offset: Offset,
    /// Time of the append by the log's wall clock, in milliseconds since the Unix epoch.
    pub appended_ms: u64,
    /// The content, UTF-8 text.
    pub body: Bytes,
}

/// The result of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The records in order of offset; empty at the end of the stream.
    pub records: Vec<LogRecord>,
    /// The oldest retained offset.
    pub first_retained: Offset,
    /// The offset of the next record to be appended.
    pub end: Offset,
}

/// An error from an operation of a [`Log`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LogError {
    /// The log did not accept the request, which had no effect.
    #[error("the log is unavailable: {0}")]
    Unavailable(String),
    /// No valid response arrived: an append may have taken effect.
    #[error("the log did not answer, and the append may have taken effect: {0}")]
    Uncertain(String),
    /// The requested offset is no longer retained.
    #[error("records before offset {first_retained} are no longer retained")]
    Truncated {
        /// The oldest retained offset.
        first_retained: Offset,
    },
    /// The log rejected the request; a retry would be rejected too.
    #[error("the log refused the request: {0}")]
    Rejected(String),
}

/// The platform's append-only log.
pub trait Log: Send + Sync {
    /// Appends a record of UTF-8 text and returns its offset.
    fn append(&self, stream: &str, body: Bytes) -> LogFuture<'_, Offset>;

    /// Reads at most `max` records, starting at offset `from`, or at the oldest record if it is 0.
    fn read(&self, stream: &str, from: Offset, max: usize) -> LogFuture<'_, Batch>;
}

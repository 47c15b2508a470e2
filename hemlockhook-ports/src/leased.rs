//! What the daemons of leased work need of a platform.
//!
//! An implementation holds names, formats and calls, and decides nothing.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hemlockhook_dispatch::agent::{
    Announcement, HoldCall, HoldResult, StartCall, StartResult, StopCall, StopResult,
};
use hemlockhook_dispatch::entry::Answer;
use hemlockhook_dispatch::{JobId, JobSpec, QueueConfig, ServiceConfig};
use http::{HeaderMap, Method, Response};
use http_body_util::Full;
use thiserror::Error;

/// A message of the platform that could not be read.
#[derive(Debug, Error)]
#[error("{0}")]
pub struct MalformedMessage(pub String);

/// A configuration as operators publish it, decoded.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Rises with each configuration; 0 is none.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Arc<QueueConfig>>,
    /// The services.
    pub services: Vec<ServiceConfig>,
    /// Longest body of a caller's request, in bytes.
    pub max_body: Option<usize>,
}

impl Configuration {
    /// Returns the queue of a request: of its host's queues the one with the longest prefix.
    pub fn queue(&self, host: &str, path: &str) -> Option<&Arc<QueueConfig>> {
        let is_match = |rule: &&Arc<QueueConfig>| {
            rule.host.as_ref() == host && path.starts_with(rule.path_prefix.as_ref())
        };
        let matches = self.queues.iter().filter(is_match);
        matches.max_by_key(|rule| rule.path_prefix.len())
    }
}

/// What a request of a caller is answered with.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The outcome of a job.
    Job(Answer),
    /// The job is not known.
    UnknownJob,
    /// There is no such queue.
    UnknownQueue,
    /// The process holds no configuration yet.
    NoConfiguration,
    /// The number of jobs of a queue of which no task has begun.
    Waiting(usize),
    /// The job was cancelled.
    Cancelled,
    /// The request can't be read.
    Malformed(String),
    /// The process is ready, or is not.
    Ready(bool),
}

/// The platform's format for callers' requests.
pub trait CallerProtocol: Send + Sync + 'static {
    /// Returns the path on which readiness is asked for.
    fn ready_path(&self) -> &'static str;

    /// Returns how long the caller waits, if it says so.
    fn requested_wait(&self, headers: &HeaderMap) -> Option<Duration>;

    /// Reads a job.
    fn read_job(&self, id: JobId, body: &[u8]) -> Result<JobSpec, MalformedMessage>;

    /// Writes a reply.
    fn write(&self, reply: &Reply) -> Response<Full<Bytes>>;

    /// Reads a configuration.
    fn read_configuration(&self, document: &[u8]) -> Result<Configuration, MalformedMessage>;
}

/// What an upstream tells the agent beside it.
#[derive(Clone, Debug)]
pub enum UpstreamEvent {
    /// It announces itself.
    Announced(Announcement),
    /// The named life of it has ended.
    Deregistered(String),
}

/// The platform's format for what upstreams say of themselves.
pub trait AnnouncementProtocol: Send + Sync + 'static {
    /// Reads a request of an upstream; `None` if it is of another kind.
    fn read(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Option<Result<UpstreamEvent, MalformedMessage>>;

    /// Writes the answer to an announcement that was read, and to one that was not.
    fn write(&self, is_accepted: bool) -> Response<Full<Bytes>>;
}

/// The platform's calls to an upstream.
pub trait UpstreamClient: Send + Sync + 'static {
    /// Starts a task.
    fn start(&self, call: StartCall) -> impl Future<Output = StartResult> + Send;

    /// Stops a run.
    fn stop(&self, call: StopCall) -> impl Future<Output = StopResult> + Send;

    /// Renews the lease and asks for the lists; `None` if there was no answer.
    fn renew_lease(&self, call: HoldCall) -> impl Future<Output = Option<HoldResult>> + Send;
}

/// Sets of records in the platform's store, of which the newest of each key counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordSet {
    /// What operators publish; the configuration has the key [`CONFIGURATION`].
    Operators,
    /// The addresses of entries, by name.
    Entries,
    /// What agents last heard of their upstreams, by the agent's name.
    Upstreams,
}

/// Key of the configuration among the operators' records.
pub const CONFIGURATION: &str = "config";

/// Position after the records that were read.
pub type Position = u64;

/// Records that were read.
#[derive(Clone, Debug, Default)]
pub struct RecordBatch {
    /// Keys and values, the oldest first.
    pub items: Vec<(String, Bytes)>,
    /// Where to read on.
    pub next: Position,
}

/// Why the store gave no answer that counts.
#[derive(Debug, Error)]
pub enum StoreError {
    /// It could not be reached, or did not answer.
    #[error("the store did not answer: {0}")]
    Unreachable(String),
    /// It refused.
    #[error("the store answered with status {0}")]
    Refused(u16),
    /// The records asked for have been deleted.
    #[error("the records have been deleted")]
    Deleted,
    /// The answer can't be read.
    #[error("the store's answer can't be read: {0}")]
    Malformed(String),
}

/// The platform's store.
pub trait Store: Send + Sync + 'static {
    /// Reads the newest record of each key.
    fn read_latest(
        &self,
        records: RecordSet,
    ) -> impl Future<Output = Result<RecordBatch, StoreError>> + Send;

    /// Reads what was written since, and waits up to `wait` for the first record.
    fn read_since(
        &self,
        records: RecordSet,
        from: Position,
        wait: Duration,
    ) -> impl Future<Output = Result<RecordBatch, StoreError>> + Send;

    /// Writes a record.
    fn put(
        &self,
        records: RecordSet,
        key: &str,
        value: Bytes,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;
}

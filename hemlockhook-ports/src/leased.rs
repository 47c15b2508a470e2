//! Interfaces to the platform that the daemons of leased work use.
//!
//! Implementations contain names, formats and calls of the platform, and no scheduling logic.

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

/// A message of the platform that could not be decoded.
#[derive(Debug, Error)]
#[error("{0}")]
pub struct MalformedMessage(pub String);

/// A decoded configuration, as published by operators.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Increases with each published configuration; 0 means none.
    pub version: u64,
    /// All queues; [`Configuration::queue`] selects one by host and path prefix.
    pub queues: Vec<Arc<QueueConfig>>,
    /// Services whose upstreams run the tasks of the queues.
    pub services: Vec<ServiceConfig>,
    /// Maximum size of the body of a caller's request, in bytes.
    pub max_body: Option<usize>,
}

impl Configuration {
    /// Returns the queue for a request: the one of its host with the longest matching path prefix.
    pub fn queue(&self, host: &str, path: &str) -> Option<&Arc<QueueConfig>> {
        let is_match = |queue: &&Arc<QueueConfig>| {
            queue.host.as_ref() == host && path.starts_with(queue.path_prefix.as_ref())
        };
        let matches = self.queues.iter().filter(is_match);
        matches.max_by_key(|queue| queue.path_prefix.len())
    }
}

/// The reply to a caller's request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The outcome of a job.
    Job(Answer),
    /// No such job.
    UnknownJob,
    /// No such queue.
    UnknownQueue,
    /// The process has no configuration yet.
    NoConfiguration,
    /// Number of a queue's jobs of which no task has started.
    Waiting(usize),
    /// The job was cancelled.
    Cancelled,
    /// The request can't be decoded.
    Malformed(String),
    /// Whether the process is ready.
    Ready(bool),
}

/// The platform's message format for callers' requests and the replies to them.
pub trait CallerProtocol: Send + Sync + 'static {
    /// Returns the path of the readiness check.
    fn ready_path(&self) -> &'static str;

    /// Returns the time that the caller waits for a reply, if the request states it.
    fn requested_wait(&self, headers: &HeaderMap) -> Option<Duration>;

    /// Decodes a job.
    fn read_job(&self, id: JobId, body: &[u8]) -> Result<JobSpec, MalformedMessage>;

    /// Encodes a reply.
    fn write(&self, reply: &Reply) -> Response<Full<Bytes>>;

    /// Returns the data center whose drain a record with this key among the operators' records
    /// requests; `None` if it is another record. A record with an empty value ends the drain.
    fn drained_data_center<'a>(&self, key: &'a str) -> Option<&'a str>;

    /// Decodes a configuration.
    fn read_configuration(&self, document: &[u8]) -> Result<Configuration, MalformedMessage>;
}

/// A lifecycle event that an upstream reports to the agent on its machine.
#[derive(Clone, Debug)]
pub enum UpstreamEvent {
    /// The upstream announces itself.
    Announced(Announcement),
    /// The upstream deregisters the named instance, which has ended.
    Deregistered(String),
}

/// The platform's message format for announcements and deregistrations of upstreams.
pub trait AnnouncementProtocol: Send + Sync + 'static {
    /// Decodes a request of an upstream. Returns `None` if it is of another kind.
    fn read(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Option<Result<UpstreamEvent, MalformedMessage>>;

    /// Encodes the response to a request that was accepted or rejected.
    fn write(&self, is_accepted: bool) -> Response<Full<Bytes>>;
}

/// Client of the platform's upstreams.
pub trait UpstreamClient: Send + Sync + 'static {
    /// Starts a task.
    fn start(&self, call: StartCall) -> impl Future<Output = StartResult> + Send;

    /// Stops a run.
    fn stop(&self, call: StopCall) -> impl Future<Output = StopResult> + Send;

    /// Renews the lease and requests the upstream's lists of runs. Returns `None` if there was no
    /// valid response.
    fn renew_lease(&self, call: HoldCall) -> impl Future<Output = Option<HoldResult>> + Send;
}

/// A set of keyed records in the platform's store. The latest record of each key is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordSet {
    /// Records published by operators, of which the configuration has the key [`CONFIGURATION_KEY`].
    Operators,
    /// Addresses of entries, by name.
    Entries,
    /// The last announcement that each agent has stored of its upstream, by the agent's name.
    Upstreams,
}

/// Key of the configuration among the operators' records.
pub const CONFIGURATION_KEY: &str = "config";

/// Position in a record set at which the next read starts.
pub type Position = u64;

/// The result of a read from the store.
#[derive(Clone, Debug, Default)]
pub struct RecordBatch {
    /// Keys and values, oldest first.
    pub items: Vec<(String, Bytes)>,
    /// Number of records that can't be decoded, and are left out.
    pub malformed: usize,
    /// Start of the next read.
    pub next: Position,
    /// Whether there were no later records.
    pub is_complete: bool,
}

/// An error from an operation of a [`Store`].
#[derive(Debug, Error)]
pub enum StoreError {
    /// The store could not be reached, or did not respond.
    #[error("the store did not answer: {0}")]
    Unreachable(String),
    /// The store responded with an error status.
    #[error("the store answered with status {0}")]
    Refused(u16),
    /// The requested records have been deleted.
    #[error("the records have been deleted")]
    Deleted,
    /// The request or the response is malformed.
    #[error("a message to or from the store is malformed: {0}")]
    Malformed(String),
}

/// The platform's record store.
pub trait Store: Send + Sync + 'static {
    /// Reads the latest record of each key.
    fn read_latest(
        &self,
        records: RecordSet,
    ) -> impl Future<Output = Result<RecordBatch, StoreError>> + Send;

    /// Reads records from position `from` on; not all, if there are many. If there are none, waits up
    /// to `wait` for one.
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

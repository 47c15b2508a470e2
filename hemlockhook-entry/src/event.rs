//! The events that the engine processes, and the actions that it requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use bytes::Bytes;
use hemlockhook_ownership::Record;
use hemlockhook_proto::convert::Reply;
use hemlockhook_proto::v1::{AgentFrame, AgentHello, EntryFrame, PeerStatus};
use hemlockhook_schedule::InterventionKind;
use hemlockhook_types::{Incarnation, Job, JobKey, Stamp, StampTable};

/// Sends the reply to a request; it is used at most once.
pub type ReplySender = Sender<Response>;

/// Number of a call to another entry, which tells a late reply from that of the current call.
pub type CallId = u64;

/// A job with the body that it was parsed from, which is forwarded unchanged.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Job that was parsed from the body and validated.
    pub job: Arc<Job>,
    /// The request body sent by the caller.
    pub body: Bytes,
    /// The stamp that the caller sent for the shard of the key.
    pub stamp: Option<Stamp>,
}

/// Who sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller, whose request may be forwarded.
    Caller,
    /// Another entry, whose request is not forwarded again.
    Entry,
}

/// An operation on a job by its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOperation {
    /// Returns the present status of the job.
    Query,
    /// Waits for the answer to the job.
    AwaitAnswer,
    /// Cancels the job.
    Cancel,
}

/// The engine's reply to a request.
#[derive(Clone, Debug)]
pub enum Response {
    /// The status of a job, with the known stamps.
    Job {
        /// Status or answer of the job, or why this entry has none.
        reply: Reply,
        /// Stamps of the shards whose owner is known to this entry.
        stamps: Arc<StampTable>,
    },
    /// Whether an upstream of the given name was found, and its agent was told to drain or to
    /// return.
    DrainRequested(bool),
    /// The state of this entry, as the answer to a heartbeat.
    PeerStatus(Box<PeerStatus>),
}

/// Why an agent's link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEnd {
    /// The connection was refused, so the process is gone.
    Refused,
    /// The connection was lost or could not be established.
    Broken,
}

/// An input of the engine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A job was submitted.
    Submit {
        /// Validated job, with the request body and the caller's stamp.
        submission: Submission,
        /// Who sent it.
        origin: Origin,
        /// Receives the answer.
        reply_to: ReplySender,
    },
    /// An operation on a job was requested.
    JobOperation {
        /// Key of the job that the operation concerns.
        key: JobKey,
        /// Whether to query the job, to wait for its answer or to cancel it.
        operation: JobOperation,
        /// Who sent it.
        origin: Origin,
        /// Receives the reply.
        reply_to: ReplySender,
    },
    /// The call that forwarded a submission ended.
    ForwardReply {
        /// The job's key.
        key: JobKey,
        /// Number of the call, from the [`Action::Forward`] that started it.
        call: CallId,
        /// The reply; absent if the call failed.
        reply: Option<Reply>,
    },
    /// The link to an agent came up, or the agent sent a changed hello.
    LinkUp {
        /// Incarnation of the agent, which changes when its process restarts.
        agent: Incarnation,
        /// The hello of the agent.
        hello: AgentHello,
    },
    /// An agent sent a frame.
    LinkFrame {
        /// Incarnation of the agent that sent the frame.
        agent: Incarnation,
        /// Frame as received, with grants, results, refusals or fence reports.
        frame: AgentFrame,
    },
    /// The link to an agent ended or could not be established.
    LinkDown {
        /// Incarnation of the agent at the other end of the link.
        agent: Incarnation,
        /// Whether the agent's process is gone or may still be running.
        end: LinkEnd,
    },
    /// Another entry sent its state, as a heartbeat or as the answer to one.
    PeerStatus {
        /// The state of the other entry.
        status: PeerStatus,
        /// Receives our state, if the other entry sent a heartbeat.
        reply_to: Option<ReplySender>,
    },
    /// Records of the log's `membership` stream were read.
    MembershipRecords {
        /// The records, with their offsets and ages.
        records: Vec<(u64, Duration, Record)>,
        /// Whether the stream has been read to its end.
        at_end: bool,
    },
    /// Records of the log's `config` stream were read.
    ConfigRecords(Vec<(u64, Bytes)>),
    /// Whether the latest read of the log succeeded.
    LogReachable(bool),
    /// The append of a record for a takeover ended.
    Appended {
        /// Identifier of the takeover, from [`Action::Append`].
        takeover: u64,
        /// Whether the log confirmed the append; without confirmation the record may still be in
        /// it.
        confirmed: bool,
    },
    /// The `membership` stream was read to its end as a takeover requested.
    CaughtUp {
        /// Identifier of the takeover, from [`Action::ReadToEnd`].
        takeover: u64,
    },
    /// An operator requested that an upstream drain or return.
    DrainUpstream {
        /// Name of the upstream.
        upstream: String,
        /// Whether to drain it.
        leaving: bool,
        /// Receives the reply.
        reply_to: ReplySender,
    },
    /// The process shuts down gracefully.
    Drain,
    /// Time has passed.
    Tick,
}

/// An action requested by the engine.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a reply.
    Reply {
        /// Receives the reply.
        reply_to: ReplySender,
        /// Reply, in the variant that fits the request.
        response: Response,
    },
    /// Connect to an agent.
    Connect {
        /// Incarnation of the agent that is expected at the address.
        agent: Incarnation,
        /// Address on which the agent accepts links.
        address: SocketAddr,
        /// Delay before connecting.
        delay: Duration,
    },
    /// Close the link to an agent.
    Disconnect {
        /// Incarnation of the agent whose link is closed.
        agent: Incarnation,
    },
    /// Send a frame to an agent.
    SendFrame {
        /// Incarnation of the agent that receives the frame.
        agent: Incarnation,
        /// Frame to send, with starts, cancellations, fences or demand.
        frame: Box<EntryFrame>,
    },
    /// Forward a submission to another entry; ends in [`Event::ForwardReply`].
    Forward {
        /// The other entry's address.
        address: SocketAddr,
        /// Number of the call, which [`Event::ForwardReply`] repeats.
        call: CallId,
        /// Submission to forward, with the request body as the caller sent it.
        submission: Submission,
        /// Time left until its deadline.
        deadline: Duration,
    },
    /// Forward an operation on a job to another entry, and send its reply to the caller.
    ForwardOperation {
        /// The other entry's address.
        address: SocketAddr,
        /// The job's key.
        key: JobKey,
        /// Whether to query the job, to wait for its answer or to cancel it.
        operation: JobOperation,
        /// Receives the reply.
        reply_to: ReplySender,
        /// Stamps to send to the caller along with the reply.
        stamps: Arc<StampTable>,
    },
    /// Send another entry our state; its own comes back in [`Event::PeerStatus`].
    Heartbeat {
        /// The other entry's address.
        address: SocketAddr,
        /// State of this entry at the time of the heartbeat.
        status: Box<PeerStatus>,
    },
    /// Request that the platform throttle or checkpoint a running task.
    Intervene {
        /// The worker that it runs on.
        worker: String,
        /// Name of the task at the platform: `key/index`.
        task: String,
        /// Whether to throttle the task or to checkpoint it.
        kind: InterventionKind,
    },
    /// Append a record to the log's `membership` stream; ends in [`Event::Appended`].
    Append {
        /// The takeover that it belongs to.
        takeover: u64,
        /// The record.
        record: Record,
    },
    /// Read the `membership` stream to its end; ends in [`Event::CaughtUp`].
    ReadToEnd {
        /// The takeover that requests it.
        takeover: u64,
    },
}

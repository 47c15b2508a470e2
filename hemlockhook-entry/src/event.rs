//! What goes into the engine and what comes out of it.

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

/// Where the reply to a request goes; it is sent at most one.
pub type ReplySender = Sender<Response>;

/// Numbers the calls to other entries, so that a late one is told from the current one.
pub type CallId = u64;

/// A job with the bytes that it was read from, which are forwarded as they are.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The checked job.
    pub job: Arc<Job>,
    /// The body that the caller sent.
    pub body: Bytes,
    /// The caller's stamp for the key, if it sent one.
    pub stamp: Option<Stamp>,
}

/// Who sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller: the request may be forwarded.
    Caller,
    /// Another entry: the request is answered here or refused.
    Entry,
}

/// What is asked about a job by its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOperation {
    /// How it stands, now.
    Query,
    /// How it ends, once it has ended.
    AwaitAnswer,
    /// To stop it.
    Cancel,
}

/// The engine's reply to a request.
#[derive(Clone, Debug)]
pub enum Response {
    /// How a job stands, with the stamps known here.
    Job {
        /// How it stands.
        reply: Reply,
        /// The stamps.
        stamps: Arc<StampTable>,
    },
    /// Whether an upstream of the given name was told to leave or come back.
    DrainRequested(bool),
    /// The answer to a heartbeat.
    PeerStatus(Box<PeerStatus>),
}

/// Why an agent's link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEnd {
    /// Nothing listens at the address: the process is gone.
    Refused,
    /// The connection broke or could not be made.
    Broken,
}

/// What happened outside.
#[derive(Clone, Debug)]
pub enum Event {
    /// A job was submitted.
    Submit {
        /// The job.
        submission: Submission,
        /// Who sent it.
        origin: Origin,
        /// Where the answer goes.
        reply_to: ReplySender,
    },
    /// A job is asked about by its key.
    JobOperation {
        /// The key.
        key: JobKey,
        /// What is asked.
        operation: JobOperation,
        /// Who asks.
        origin: Origin,
        /// Where the reply goes.
        reply_to: ReplySender,
    },
    /// A forwarded submission came back.
    ForwardReply {
        /// The job's key.
        key: JobKey,
        /// The call.
        call: CallId,
        /// The reply; absent if the other entry could not be reached or broke off.
        reply: Option<Reply>,
    },
    /// An agent's link is up, or its agent told of a change.
    LinkUp {
        /// The agent.
        agent: Incarnation,
        /// What it says of itself.
        hello: AgentHello,
    },
    /// An agent sent a frame.
    LinkFrame {
        /// The agent.
        agent: Incarnation,
        /// The frame.
        frame: AgentFrame,
    },
    /// An agent's link ended, or could not be made.
    LinkDown {
        /// The agent.
        agent: Incarnation,
        /// Why.
        end: LinkEnd,
    },
    /// Another entry sent its state, as a heartbeat or as the answer to one.
    PeerStatus {
        /// Its state.
        status: PeerStatus,
        /// Where our state goes, if it asked first.
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
    /// Whether the log answers.
    LogReachable(bool),
    /// A record of a takeover was appended, or could not be.
    Appended {
        /// The takeover.
        takeover: u64,
        /// Whether the log confirmed the append; without confirmation the record may still be in it.
        confirmed: bool,
    },
    /// The log was read to its end after a takeover asked for it.
    CaughtUp {
        /// The takeover.
        takeover: u64,
    },
    /// An operator wants an upstream to leave or to come back.
    DrainUpstream {
        /// Name of the upstream.
        upstream: String,
        /// Whether it is to leave.
        leaving: bool,
        /// Where the reply goes.
        reply_to: ReplySender,
    },
    /// The process is to shut down gracefully.
    Drain,
    /// Time has passed.
    Tick,
}

/// What the engine wants done outside.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a reply.
    Reply {
        /// Where to.
        reply_to: ReplySender,
        /// The reply.
        response: Response,
    },
    /// Connect to an agent.
    Connect {
        /// The agent.
        agent: Incarnation,
        /// Its address.
        address: SocketAddr,
        /// Time to wait before connecting.
        delay: Duration,
    },
    /// Give an agent's link up.
    Disconnect {
        /// The agent.
        agent: Incarnation,
    },
    /// Send a frame to an agent.
    SendFrame {
        /// The agent.
        agent: Incarnation,
        /// The frame.
        frame: Box<EntryFrame>,
    },
    /// Forward a submission to another entry; ends in [`Event::ForwardReply`].
    Forward {
        /// The other entry's address.
        address: SocketAddr,
        /// The call.
        call: CallId,
        /// The submission.
        submission: Submission,
        /// Time left until its deadline.
        deadline: Duration,
    },
    /// Ask another entry about a job and pass its reply on.
    ForwardOperation {
        /// The other entry's address.
        address: SocketAddr,
        /// The job's key.
        key: JobKey,
        /// What is asked.
        operation: JobOperation,
        /// Where the reply goes.
        reply_to: ReplySender,
        /// The stamps known here.
        stamps: Arc<StampTable>,
    },
    /// Tell another entry our state; its own comes back in [`Event::PeerStatus`].
    Heartbeat {
        /// The other entry's address.
        address: SocketAddr,
        /// Our state.
        status: Box<PeerStatus>,
    },
    /// Ask the platform to hold back a running task.
    Intervene {
        /// The worker that it runs on.
        worker: String,
        /// Its name at the platform: `key/index`.
        task: String,
        /// What to ask for.
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
        /// The takeover that asks.
        takeover: u64,
    },
}

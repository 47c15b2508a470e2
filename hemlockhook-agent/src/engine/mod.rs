//! The agent's state machine. It does no I/O: it handles events at given times and returns the
//! actions to perform.

mod frames;
mod leave;
mod links;
mod log;
mod tasks;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use slotmap::SlotMap;

use hemlockhook_inventory::ConfigReader;
use hemlockhook_ownership::{Gate, GateConfig};
use hemlockhook_ports::{Batch, Offset};
use hemlockhook_proto::v1;
use hemlockhook_schedule::SlotTable;
use hemlockhook_types::{Incarnation, JobKey, ServiceName, TaskIndex, TaskResult};

use crate::status::{Counters, Status};
use leave::Leaving;
use links::Link;
use log::{Announcer, StreamReader};
use tasks::RunningTask;

/// Identifies an entry's link within this process. Assigned when the link opens.
pub type LinkId = u64;

slotmap::new_key_type! {
    /// Identifies a running task. The identifier of a task that ended is not reused.
    pub struct TaskId;
}

/// Configuration of an [`Engine`].
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// Name of the upstream instance in the inventory.
    pub name: Arc<str>,
    /// The data center that the agent runs in.
    pub data_center: Arc<str>,
    /// Address that is announced to entries.
    pub address: String,
    /// Limits and times of the start markers.
    pub gate: GateConfig,
    /// Time for running tasks to end during a graceful stop.
    pub drain_timeout: Duration,
    /// Interval between announcements.
    pub announce_period: Duration,
    /// Interval between reads of the configuration from the log. Entries forward newer versions as
    /// well.
    pub config_read_period: Duration,
}

/// Stream of the platform's log that the agent reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Stream {
    /// Announcements and takeovers.
    Membership,
    /// Versions of the configuration: inventory and rules.
    Config,
}

/// Input of an [`Engine`].
#[derive(Debug)]
pub enum Event {
    /// An entry sent a frame.
    Frame {
        /// Link on which the frame arrived.
        link: LinkId,
        /// The decoded frame, not validated yet.
        frame: Box<v1::EntryFrame>,
    },
    /// A link was closed or lost.
    LinkDown {
        /// The lost link. Has no effect if the engine has dropped this link already.
        link: LinkId,
    },
    /// A call to the upstream completed or failed.
    TaskEnded {
        /// Identifier from [`Action::RunTask`]. Counted as late if the task has been stopped.
        task: TaskId,
        /// Outcome and run time.
        result: TaskResult,
    },
    /// An append to the membership stream succeeded.
    Appended,
    /// An append to the membership stream failed, or its response was lost.
    AppendFailed,
    /// A read succeeded.
    Read {
        /// Stream that was read.
        stream: Stream,
        /// The records, possibly none.
        batch: Batch,
    },
    /// A read failed.
    ReadFailed {
        /// Stream that could not be read.
        stream: Stream,
        /// The first retained offset, if the requested one was already truncated.
        first_retained: Option<Offset>,
    },
    /// The process was asked to stop.
    Stop,
}

/// Call to the upstream for one task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The job's key.
    pub key: JobKey,
    /// The task's index in its job.
    pub index: TaskIndex,
    /// The job's service.
    pub service: ServiceName,
    /// Body of the request.
    pub payload: Bytes,
    /// Time for the upstream to respond, if the entry set one.
    pub timeout: Option<Duration>,
}

/// Side effect that an [`Engine`] requests.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Sends a frame to an entry.
    SendFrame {
        /// Link of the entry.
        link: LinkId,
        /// Frame to encode and send.
        frame: Box<v1::AgentFrame>,
    },
    /// Closes a link.
    CloseLink {
        /// Link to close. The engine has already dropped it or never accepted it.
        link: LinkId,
    },
    /// Calls the upstream.
    RunTask {
        /// Identifies the task in [`Event::TaskEnded`].
        task: TaskId,
        /// Request to send to the upstream.
        call: Call,
    },
    /// Aborts a call to the upstream. Its result is no longer needed.
    StopTask {
        /// Identifier from [`Action::RunTask`].
        task: TaskId,
    },
    /// Appends a record to the membership stream.
    Append {
        /// Record encoded as JSON.
        body: Bytes,
    },
    /// Reads records of a stream.
    Read {
        /// Stream to read.
        stream: Stream,
        /// Offset of the first record.
        from: Offset,
    },
    /// Ends the process: the agent has left.
    Exit,
}

/// State of an agent on its control thread.
pub struct Engine {
    cfg: EngineConfig,
    gate: Gate,
    slots: SlotTable,
    config: ConfigReader,
    links: HashMap<LinkId, Link>,
    links_by_entry: HashMap<Incarnation, LinkId>,
    tasks: SlotMap<TaskId, RunningTask>,
    tasks_by_key: HashMap<(JobKey, TaskIndex), TaskId>,
    announcer: Announcer,
    membership_reader: StreamReader,
    config_reader: StreamReader,
    leaving: Leaving,
    actions: Vec<Action>,
    counters: Counters,
}

impl Engine {
    /// Creates the engine of an agent that starts at `now`.
    pub fn new(now: Instant, cfg: EngineConfig) -> Self {
        Self {
            gate: Gate::new(cfg.gate.clone(), cfg.incarnation),
            slots: SlotTable::new(0),
            config: ConfigReader::new(),
            links: HashMap::new(),
            links_by_entry: HashMap::new(),
            tasks: SlotMap::with_key(),
            tasks_by_key: HashMap::new(),
            announcer: Announcer::new(now),
            // Takeovers reach a joined agent through fences, so the membership stream only needs
            // to be read again after each announcement.
            membership_reader: StreamReader::new(now, Stream::Membership, cfg.announce_period),
            config_reader: StreamReader::new(now, Stream::Config, cfg.config_read_period),
            leaving: Leaving::default(),
            actions: Vec::new(),
            counters: Counters::default(),
            cfg,
        }
    }

    /// Handles an event. The resulting actions are returned by [`Engine::take_actions`].
    pub fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::Frame { link, frame } => self.on_frame(now, link, *frame),
            Event::LinkDown { link } => self.on_link_down(now, link),
            Event::TaskEnded { task, result } => self.on_task_ended(now, task, result),
            Event::Appended => self.on_appended(now),
            Event::AppendFailed => self.on_append_failed(now),
            Event::Read { stream, batch } => self.on_read(now, stream, &batch),
            Event::ReadFailed {
                stream,
                first_retained,
            } => self.on_read_failed(now, stream, first_retained),
            Event::Stop => self.on_stop(now),
        }
    }

    /// Returns the actions to perform since the last call. Must be called after every batch of
    /// events and at [`Engine::next_wakeup`].
    pub fn take_actions(&mut self, now: Instant) -> Vec<Action> {
        self.gate.expire(now);
        self.start_due_requests(now);
        self.advance_stop(now);
        self.close_silent_links(now);
        self.flush_grants(now);
        self.flush_links();
        std::mem::take(&mut self.actions)
    }

    /// Returns when [`Engine::take_actions`] must be called next, if no event comes first.
    pub fn next_wakeup(&self) -> Option<Instant> {
        let times = [
            self.slots.next_wakeup(),
            self.announcer
                .next_wakeup()
                .filter(|_| !self.leaving.is_stopping()),
            self.membership_reader.next_wakeup(),
            self.config_reader.next_wakeup(),
            self.leaving.next_wakeup(),
            self.next_silence_deadline(),
        ];
        times.into_iter().flatten().min()
    }

    /// Returns the state that the admin port shows.
    pub fn status(&self) -> Status {
        Status {
            incarnation: format!("{:x}", self.cfg.incarnation),
            name: self.cfg.name.clone(),
            data_center: self.cfg.data_center.clone(),
            joined: self.gate.is_joined(),
            leaving: self.leaving.is_leaving(),
            services: self.active_services(),
            slots: self.active_slots(),
            running: self.tasks.len(),
            grants: self.outstanding_grants(),
            links: self.links.len(),
            starts_kept: self.gate.marker_count(),
            config_version: self.config_version(),
            shards_owned_by: self.shard_counts_by_owner(),
            counters: self.counters,
        }
    }
}

//! The agent's decisions, without I/O: events and the time go in, actions come out.

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
use log::{Announcer, Reader};
use tasks::Running;

/// Names a link with an entry within this process. The shell numbers links as they open.
pub type LinkId = u64;

slotmap::new_key_type! {
    /// Names a running task. A task that ended is never confused with a later one.
    pub struct TaskId;
}

/// What an engine is made with.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// This run of the agent.
    pub incarnation: Incarnation,
    /// Name of the upstream instance in the inventory.
    pub name: Arc<str>,
    /// The data center that the agent runs in.
    pub data_center: Arc<str>,
    /// Where entries reach the agent.
    pub address: String,
    /// Bounds of what is kept about starts.
    pub gate: GateConfig,
    /// Time for running tasks to end when the agent stops.
    pub drain_timeout: Duration,
    /// Time between two announcements.
    pub announce_period: Duration,
    /// Time between two reads of the configuration, which entries pass on, too.
    pub config_read_period: Duration,
}

/// A stream of the platform's log that the agent reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Stream {
    /// Announcements and takeovers.
    Membership,
    /// Inventory and rules.
    Config,
}

/// What happened.
#[derive(Debug)]
pub enum Event {
    /// An entry sent a frame.
    Frame {
        /// The link.
        link: LinkId,
        /// What was sent.
        frame: Box<v1::EntryFrame>,
    },
    /// A link is lost.
    LinkDown {
        /// The link.
        link: LinkId,
    },
    /// The upstream answered a task, or failed to.
    TaskEnded {
        /// The task.
        task: TaskId,
        /// How it ended.
        result: TaskResult,
    },
    /// An append to the membership stream is done.
    Appended,
    /// An append to the membership stream failed, or its reply was lost.
    AppendFailed,
    /// A read returned records.
    Read {
        /// The stream.
        stream: Stream,
        /// Its records.
        batch: Batch,
    },
    /// A read failed.
    ReadFailed {
        /// The stream.
        stream: Stream,
        /// Set if the offset was dropped: the first one still there.
        first_retained: Option<Offset>,
    },
    /// The process was told to stop.
    Stop,
}

/// One call of the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The job's key.
    pub key: JobKey,
    /// The task.
    pub index: TaskIndex,
    /// The job's service.
    pub service: ServiceName,
    /// The request's body.
    pub payload: Bytes,
    /// Time for the upstream to answer, if the entry set one.
    pub timeout: Option<Duration>,
}

/// What is to be done.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Sends a frame to an entry.
    SendFrame {
        /// The link.
        link: LinkId,
        /// What to send.
        frame: Box<v1::AgentFrame>,
    },
    /// Closes a link.
    CloseLink {
        /// The link.
        link: LinkId,
    },
    /// Calls the upstream.
    RunTask {
        /// Names the task in the event of its end.
        task: TaskId,
        /// The call.
        call: Call,
    },
    /// Stops a call of the upstream. Its end is no longer of interest.
    StopTask {
        /// The task.
        task: TaskId,
    },
    /// Appends a record to the membership stream.
    Append {
        /// The record.
        body: Bytes,
    },
    /// Reads a stream.
    Read {
        /// The stream.
        stream: Stream,
        /// The first offset wanted.
        from: Offset,
    },
    /// Nothing is left to do: the process may end.
    Exit,
}

/// The agent's control state.
pub struct Engine {
    cfg: EngineConfig,
    gate: Gate,
    slots: SlotTable,
    config: ConfigReader,
    links: HashMap<LinkId, Link>,
    by_entry: HashMap<Incarnation, LinkId>,
    tasks: SlotMap<TaskId, Running>,
    by_key: HashMap<(JobKey, TaskIndex), TaskId>,
    announcer: Announcer,
    membership: Reader,
    config_log: Reader,
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
            by_entry: HashMap::new(),
            tasks: SlotMap::with_key(),
            by_key: HashMap::new(),
            announcer: Announcer::new(now),
            // Fences tell of takeovers: the log is read for them only after an announcement.
            membership: Reader::new(now, Stream::Membership, cfg.announce_period),
            config_log: Reader::new(now, Stream::Config, cfg.config_read_period),
            leaving: Leaving::default(),
            actions: Vec::new(),
            counters: Counters::default(),
            cfg,
        }
    }

    /// Takes in an event.
    pub fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::Frame { link, frame } => self.on_frame(now, link, *frame),
            Event::LinkDown { link } => self.on_link_down(now, link),
            Event::TaskEnded { task, result } => self.on_ended(now, task, result),
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

    /// Returns what is to be done since the last call. To be called after every batch of events and
    /// at [`Engine::next_wakeup`].
    pub fn take_actions(&mut self, now: Instant) -> Vec<Action> {
        self.gate.expire(now);
        self.upkeep(now);
        self.progress_leaving(now);
        self.close_silent_links(now);
        self.flush_grants(now);
        self.flush_links();
        std::mem::take(&mut self.actions)
    }

    /// Returns when [`Engine::take_actions`] has to be called again, if no event comes first.
    pub fn next_wakeup(&self) -> Option<Instant> {
        let times = [
            self.slots.next_wakeup(),
            self.announcer
                .next_wakeup()
                .filter(|_| !self.leaving.is_stopping()),
            self.membership.next_wakeup(),
            self.config_log.next_wakeup(),
            self.leaving.next_wakeup(),
            self.next_silence(),
        ];
        times.into_iter().flatten().min()
    }

    /// Returns the state for people and probes.
    pub fn status(&self) -> Status {
        Status {
            incarnation: format!("{:x}", self.cfg.incarnation),
            name: self.cfg.name.clone(),
            data_center: self.cfg.data_center.clone(),
            joined: self.gate.is_joined(),
            leaving: self.leaving.is_leaving(),
            services: self.services_in_force(),
            slots: self.slots_in_force(),
            running: self.tasks.len(),
            grants: self.granted(),
            links: self.links.len(),
            starts_kept: self.gate.marker_count(),
            config_version: self.config_version(),
            shards_owned_by: self.floors(),
            counters: self.counters,
        }
    }
}

//! The entry's decisions: events and the time go in, actions come out.
//!
//! The engine composes the libraries that decide about ownership, scheduling and configuration, and
//! moves their results to one another. It does no I/O and runs on the control thread.

mod agents;
mod config;
mod forwarding;
mod job_report;
mod jobs;
mod operations;
mod peers;
mod report;
mod retry_queue;
mod shards;
mod tasks;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hemlockhook_inventory::{ConfigReader, Inventory};
use hemlockhook_ownership::{Owner, OwnerConfig};
use hemlockhook_proto::v1::EntryFrame;
use hemlockhook_schedule::{Dispatcher, JobId, Policy};
use hemlockhook_types::{Incarnation, JobKey, ShardId, StampTable, TaskIndex};

use crate::burn::BurnCounter;
use crate::counters::Counters;
use crate::event::{Action, Event, ReplySender};
use crate::event_history::EventHistory;
use crate::members::Members;
use crate::settings::{Memory, Timing};
use agents::AgentLink;
use jobs::PendingJob;
use retry_queue::RetryQueue;

/// What an engine needs to know of its process.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The process's incarnation.
    pub incarnation: Incarnation,
    /// Name of the instance.
    pub name: String,
    /// Data center of the instance.
    pub data_center: String,
    /// Where other entries reach it.
    pub address: SocketAddr,
    /// Addresses of entries that are told without the log.
    pub known_peers: Vec<SocketAddr>,
    /// Calendar time of the start, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

/// The entry's control state.
pub struct Engine {
    identity: Identity,
    timing: Timing,
    started_at: Instant,
    owner: Owner,
    dispatcher: Dispatcher,
    config: ConfigReader,
    inventory: Option<Arc<Inventory>>,
    members: Members,
    links: HashMap<Incarnation, AgentLink>,
    /// What was meant for agents that are gone.
    discarded_frame: EntryFrame,
    pending_jobs: HashMap<JobKey, PendingJob>,
    /// The key of each job in the dispatcher.
    scheduled_jobs: HashMap<JobId, JobKey>,
    /// The tasks that were started from here and have not ended.
    placed_tasks: HashMap<(JobKey, TaskIndex), (Incarnation, JobId)>,
    deadlines: BinaryHeap<Reverse<(Instant, JobKey)>>,
    /// Callers that wait for the end of a job that was submitted elsewhere or before.
    answer_waiters: HashMap<JobKey, Vec<ReplySender>>,
    /// Keys that wait for an owner, for a retry on the next tick.
    unrouted: RetryQueue,
    /// Keys of jobs that wait for an upstream to come up.
    awaiting_upstream: RetryQueue,
    last_call: u64,
    /// Whether the log has been read to its end once.
    membership_loaded: bool,
    log_reachable: bool,
    log_last_success: Option<Instant>,
    last_heartbeat: Option<Instant>,
    /// Digest of what each peer was told last.
    sent_digests: HashMap<Incarnation, u64>,
    /// Peers whose state is to be asked for whole.
    full_status_wanted: HashSet<Incarnation>,
    /// Since when the configuration has been in force.
    config_since: Instant,
    /// Since when an agent has had a version that we lack.
    newer_config: Option<(Instant, Incarnation)>,
    /// The entries that were alive at the last tick.
    live_peers: Vec<(Incarnation, String)>,
    /// Since when the preferred owners have been the same, and which shards are preferred here.
    preferred: (Instant, Vec<ShardId>),
    /// Shards lost to other entries since the last event about it.
    lost_shards: Vec<ShardId>,
    draining: bool,
    stamps: Arc<StampTable>,
    events: EventHistory,
    burn_counter: BurnCounter,
    counters: Counters,
    actions: Vec<Action>,
}

impl Engine {
    /// Creates the engine of an entry that starts now.
    pub fn new(identity: Identity, timing: Timing, memory: &Memory, now: Instant) -> Self {
        let owner_config = OwnerConfig {
            window: Duration::from_secs(memory.window_s),
            max_jobs: memory.jobs,
            max_result_bytes: memory.result_bytes,
            fence_timeout: Duration::from_millis(timing.fence_ms),
            ..OwnerConfig::default()
        };
        Self {
            owner: Owner::new(owner_config, identity.incarnation),
            dispatcher: Dispatcher::new(Policy::default(), &identity.data_center),
            config: ConfigReader::new(),
            inventory: None,
            members: Members::new(identity.incarnation, &identity.name, timing.peer_silence()),
            links: HashMap::new(),
            discarded_frame: EntryFrame::default(),
            pending_jobs: HashMap::new(),
            scheduled_jobs: HashMap::new(),
            placed_tasks: HashMap::new(),
            deadlines: BinaryHeap::new(),
            answer_waiters: HashMap::new(),
            unrouted: RetryQueue::default(),
            awaiting_upstream: RetryQueue::default(),
            last_call: 0,
            membership_loaded: false,
            log_reachable: false,
            log_last_success: None,
            last_heartbeat: None,
            sent_digests: HashMap::new(),
            full_status_wanted: HashSet::new(),
            config_since: now,
            newer_config: None,
            live_peers: Vec::new(),
            preferred: (now, Vec::new()),
            lost_shards: Vec::new(),
            draining: false,
            stamps: Arc::default(),
            events: EventHistory::new(&identity.name),
            burn_counter: BurnCounter::new(
                &identity.name,
                identity.incarnation,
                identity.started_ms,
            ),
            counters: Counters::default(),
            actions: Vec::new(),
            started_at: now,
            identity,
            timing,
        }
    }

    /// Takes an event in.
    pub fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::Submit {
                submission,
                origin,
                reply_to,
            } => {
                self.on_submit(now, submission, origin, reply_to);
            }
            Event::JobOperation {
                key,
                operation,
                origin,
                reply_to,
            } => {
                self.on_job_operation(now, key, operation, origin, reply_to);
            }
            Event::ForwardReply { key, call, reply } => {
                self.on_forward_reply(now, key, call, reply)
            }
            Event::LinkUp { agent, hello } => self.on_link_up(now, agent, hello),
            Event::LinkFrame { agent, frame } => self.on_link_frame(now, agent, frame),
            Event::LinkDown { agent, end } => self.on_link_down(now, agent, end),
            Event::PeerStatus { status, reply_to } => self.on_peer(now, status, reply_to),
            Event::MembershipRecords { records, at_end } => self.on_members(now, &records, at_end),
            Event::ConfigRecords(records) => self.on_configs(now, &records),
            Event::LogReachable(up) => self.on_log_health(now, up),
            Event::Appended {
                takeover,
                confirmed: true,
            } => self.owner.on_appended(now, takeover),
            Event::Appended {
                takeover,
                confirmed: false,
            } => {
                self.owner.on_append_failed(now, takeover);
            }
            Event::CaughtUp { takeover } => self.owner.on_caught_up(now, takeover),
            Event::DrainUpstream {
                upstream,
                leaving,
                reply_to,
            } => {
                self.on_drain_upstream(&upstream, leaving, reply_to);
            }
            Event::Drain => self.on_drain(now),
            Event::Tick => self.on_tick(now),
        }
    }

    /// Decides what follows from the events taken in, and returns what is to be done.
    pub fn decide(&mut self, now: Instant) -> Vec<Action> {
        self.run_owner_actions(now);
        self.place_tasks(now);
        self.run_owner_actions(now);
        self.send_demands(now);
        self.flush_links();
        std::mem::take(&mut self.actions)
    }

    /// Returns whether nothing is in flight, so that a draining process may exit.
    pub fn is_idle(&self) -> bool {
        self.pending_jobs.is_empty() && self.placed_tasks.is_empty()
    }

    /// Returns whether no shard is owned here that another living entry would take over.
    pub fn is_handover_complete(&self, now: Instant) -> bool {
        let stays = self.members.live_peers(now).any(|(_, peer)| !peer.draining);
        !stays || self.owner.owned_shards().is_empty()
    }

    /// Returns the number of callers and entries that a reply is kept for.
    pub fn waiter_count(&self) -> usize {
        let pending = self.pending_jobs.values().map(PendingJob::waiter_count);
        let awaiting_answer = self.answer_waiters.values().map(Vec::len);
        pending.chain(awaiting_answer).sum()
    }

    /// Returns whether jobs can be taken: shards are owned somewhere and the rules are known.
    pub fn is_ready(&self) -> bool {
        !self.draining && self.inventory.is_some() && !self.stamps.is_empty()
    }

    /// Returns the stamps known here.
    pub fn stamps(&self) -> Arc<StampTable> {
        self.stamps.clone()
    }

    /// Returns what has been counted since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    fn on_tick(&mut self, now: Instant) {
        self.owner.tick(now);
        self.expire_jobs(now);
        self.check_links(now);
        self.heartbeat(now);
        self.update_live_peers(now);
        self.push_config(now);
        self.request_config(now);
        self.balance_shards(now);
        self.retry_unrouted(now);
        self.retry_awaiting_upstream(now);
        self.refresh_stamps(now);
        self.intervene(now);
    }

    fn on_drain(&mut self, now: Instant) {
        self.draining = true;
        self.last_heartbeat = None;
        self.heartbeat(now);
    }
}

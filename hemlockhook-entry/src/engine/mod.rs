//! The entry's control logic as a state machine: it takes events and the current time, and returns
//! actions.
//!
//! The engine combines the libraries for ownership, scheduling and configuration, and passes the
//! results of each to the others. It performs no I/O and runs on the control thread.

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

/// Identity and addresses of the process that an engine runs in.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Name of the instance.
    pub name: String,
    /// Data center of the instance.
    pub data_center: String,
    /// Address on which other entries reach the process.
    pub address: SocketAddr,
    /// Addresses of entries that get heartbeats even if the log has not announced them.
    pub known_peers: Vec<SocketAddr>,
    /// Wall-clock time of the start, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

/// The control state of an entry.
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
    /// Collects messages to agents without a link; it is cleared instead of sent.
    discarded_frame: EntryFrame,
    pending_jobs: HashMap<JobKey, PendingJob>,
    /// The key of each job in the dispatcher.
    scheduled_jobs: HashMap<JobId, JobKey>,
    /// Tasks that this entry started and that have not ended, with their agent and job.
    placed_tasks: HashMap<(JobKey, TaskIndex), (Incarnation, JobId)>,
    deadlines: BinaryHeap<Reverse<(Instant, JobKey)>>,
    /// Queries and cancellations that wait for the answer to a job.
    answer_waiters: HashMap<JobKey, Vec<ReplySender>>,
    /// Pending jobs whose shard has no known owner; they are retried on each tick.
    unrouted: RetryQueue,
    /// Pending jobs whose service has no upstream that is up; they are retried on each tick.
    awaiting_upstream: RetryQueue,
    /// Number of the latest call to another entry.
    last_call: u64,
    /// Whether the `membership` stream has been read to its end once.
    membership_loaded: bool,
    log_reachable: bool,
    log_last_success: Option<Instant>,
    last_heartbeat: Option<Instant>,
    /// Digest of the state that was sent to each peer last.
    sent_digests: HashMap<Incarnation, u64>,
    /// Peers whose full state the next heartbeat requests.
    full_status_wanted: HashSet<Incarnation>,
    /// When the configuration came into force.
    config_since: Instant,
    /// An agent that has a configuration newer than ours, and when it was first seen.
    newer_config: Option<(Instant, Incarnation)>,
    /// Peers that were alive at the last tick.
    live_peers: Vec<(Incarnation, String)>,
    /// Shards that prefer this entry as their owner, and since when the set has been the same.
    preferred: (Instant, Vec<ShardId>),
    /// Shards lost to other entries that no event has reported yet.
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

    /// Processes an event.
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
            Event::PeerStatus { status, reply_to } => self.on_peer_status(now, status, reply_to),
            Event::MembershipRecords { records, at_end } => {
                self.on_membership_records(now, &records, at_end)
            }
            Event::ConfigRecords(records) => self.on_config_records(now, &records),
            Event::LogReachable(reachable) => self.on_log_reachable(now, reachable),
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

    /// Schedules tasks, and returns the actions that follow from all events since the last call.
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

    /// Returns whether this entry owns no shards, or no live peer remains to take them over.
    pub fn is_handover_complete(&self, now: Instant) -> bool {
        let has_successor = self.members.live_peers(now).any(|(_, peer)| !peer.draining);
        !has_successor || self.owner.owned_shards().is_empty()
    }

    /// Returns the number of requests that wait for a reply.
    pub fn waiter_count(&self) -> usize {
        let pending = self.pending_jobs.values().map(PendingJob::waiter_count);
        let awaiting_answer = self.answer_waiters.values().map(Vec::len);
        pending.chain(awaiting_answer).sum()
    }

    /// Returns whether jobs can be accepted: the entry is not draining, has an inventory, and knows
    /// an owner of at least one shard.
    pub fn is_ready(&self) -> bool {
        !self.draining && self.inventory.is_some() && !self.stamps.is_empty()
    }

    /// Returns the stamps of the shards whose owner is known.
    pub fn stamps(&self) -> Arc<StampTable> {
        self.stamps.clone()
    }

    /// Returns the counters since the start.
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

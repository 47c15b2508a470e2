//! The entry's state, and the conversion of the dispatcher's actions to frames and answers.

mod callers;
mod frames;
mod placement;

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::Sender;
use bytes::Bytes;
use hemlockhook_dispatch::entry::{
    AgentHello, AgentKey, AgentReport, ConfigurationSharing, ConfigurationSource, Dispatcher,
    JobKey, LinkRefusal,
};
use hemlockhook_dispatch::{ClaimAnswer, ClaimStatus, DrainRead, HeldAttempts};
use hemlockhook_ports::leased::{Configuration, MalformedMessage};
use hemlockhook_proto::v1;
use hemlockhook_runtime::metrics::Metrics;
use hemlockhook_types::{Clock, new_incarnation};

use self::callers::Waiters;
pub(crate) use self::frames::outgoing_queue;
use self::placement::LoggedSpeeds;
use crate::convert::{read_claim_answer, read_end, read_state, read_task};
use crate::drains::{KnownDrains, PeerDrains};
use crate::entry::metrics::EntryMetrics;
use crate::settings::EntrySettings;

/// The entry's state, shared by its links and servers.
pub(crate) type SharedCore = Arc<Core>;

/// Decodes a configuration from the format in which operators publish it.
pub(crate) type ConfigurationDecoder =
    Box<dyn Fn(&Bytes) -> Result<Configuration, MalformedMessage> + Send + Sync>;

/// Time for which the entry stays ready after it last had an agent that accepts work.
const READY_WITHOUT_AGENTS: Duration = Duration::from_secs(4);

/// Minimum delay of requests that is logged.
const LOGGED_DELAY: Duration = Duration::from_millis(250);

/// The entry's state. Each event is handled completely under one lock.
pub(crate) struct Core {
    incarnation: u64,
    address: String,
    clock: Arc<dyn Clock>,
    metrics: EntryMetrics,
    state: Mutex<State>,
}

struct State {
    dispatcher: Dispatcher,
    sharing: ConfigurationSharing,
    links: HashMap<AgentKey, Link>,
    /// Callers that wait for the answer to each job.
    waiters: HashMap<JobKey, Waiters>,
    configuration: Arc<Configuration>,
    /// The encoded form of `configuration`.
    config_document: Bytes,
    decode_configuration: Option<ConfigurationDecoder>,
    /// Number of received configurations that were not newer, since the last that was.
    ignored_configurations: u64,
    /// Addresses of the known entries, including this one.
    entries: BTreeSet<String>,
    drains: KnownDrains,
    is_leaving: bool,
    /// When an agent was last known to accept work.
    last_usable: Option<Instant>,
    logged_speeds: LoggedSpeeds,
}

struct Link {
    /// Number of the link in this process.
    id: u64,
    tx: Sender<v1::EntryOrders>,
    /// Highest send time of the agent's reports, by the agent's clock.
    received_ms: u64,
    /// The last value of `received_ms` that was sent back to the agent.
    echoed_ms: u64,
    /// When the last frame was queued.
    sent_at: Option<Instant>,
    /// Whether the agent is to be sent the configuration.
    is_configuration_due: bool,
    /// Whether the configuration is to be requested from the agent.
    is_request_due: bool,
    /// Number of entry addresses that the agent has been sent.
    sent_entries: usize,
    drains: PeerDrains,
}

impl Core {
    pub(crate) fn new(settings: &EntrySettings, clock: Arc<dyn Clock>, metrics: &Metrics) -> Self {
        let address = settings.links_address.to_string();
        Self {
            // Never 0, which agents send if they were not linked with an entry before.
            incarnation: new_incarnation(),
            clock,
            metrics: EntryMetrics::new(metrics),
            state: Mutex::new(State {
                dispatcher: Dispatcher::new(settings.policy()),
                sharing: ConfigurationSharing::default(),
                links: HashMap::new(),
                waiters: HashMap::new(),
                configuration: Arc::default(),
                config_document: Bytes::new(),
                decode_configuration: None,
                ignored_configurations: 0,
                entries: BTreeSet::from([address.clone()]),
                drains: KnownDrains::new(settings.drains, metrics),
                is_leaving: false,
                last_usable: None,
                logged_speeds: LoggedSpeeds::default(),
            }),
            address,
        }
    }

    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    pub(crate) fn address(&self) -> &str {
        &self.address
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the number of unanswered jobs.
    pub(crate) fn jobs(&self) -> usize {
        self.lock().dispatcher.jobs()
    }

    /// Returns the configuration in force.
    pub(crate) fn configuration(&self) -> Arc<Configuration> {
        self.lock().configuration.clone()
    }

    /// Returns whether the balancer should send requests here.
    pub(crate) fn is_ready(&self) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.dispatcher.serving_agents(now) > 0 {
            state.last_usable = Some(now);
        }
        let has_agents = state
            .last_usable
            .is_some_and(|at| now.saturating_duration_since(at) < READY_WITHOUT_AGENTS);
        !state.is_leaving && state.configuration.version > 0 && has_agents
    }

    /// Returns whether the entry is shutting down, and connections are to be closed after the next
    /// response.
    pub(crate) fn is_leaving(&self) -> bool {
        self.lock().is_leaving
    }

    /// Reports not ready to the balancer from now on. Requests that arrive are still served.
    pub(crate) fn leave(&self) {
        self.lock().is_leaving = true;
    }

    /// Refuses further jobs, and those of which nothing has begun.
    pub(crate) fn refuse_jobs(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let before = state.dispatcher.jobs();
        state.dispatcher.leave(now);
        self.flush_to(now, &mut state, &[]);
        let jobs = state.dispatcher.jobs();
        let refused = before.saturating_sub(jobs);
        spdlog::info!("refusing jobs from now on", kv: { jobs, refused });
    }

    /// Answers the remaining jobs, at the end of the grace period.
    pub(crate) fn expire(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.dispatcher.expire(now);
        self.flush_to(now, &mut state, &[]);
    }

    /// Returns the number of jobs of a queue of which no task has been started.
    pub(crate) fn waiting_jobs(&self, queue: &str) -> usize {
        self.lock().dispatcher.waiting_jobs(queue)
    }

    /// Cancels a job by its ID. Returns false if the job is unknown.
    pub(crate) fn cancel(&self, id: &str) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        let is_known = state.dispatcher.cancel(now, id);
        spdlog::info!("the cancellation of a job was requested", kv: { job = id, is_known });
        self.flush_to(now, &mut state, &[]);
        is_known
    }

    /// Returns whether a job with this id is not answered.
    pub(crate) fn is_known(&self, id: &str) -> bool {
        self.lock().dispatcher.has_job(id)
    }

    /// Sets the decoder of configurations. Without one, configurations are ignored.
    pub(crate) fn set_configuration_decoder(&self, decode: ConfigurationDecoder) {
        self.lock().decode_configuration = Some(decode);
    }

    /// Takes a read of the operators' records into account, and tells all agents of changed drains.
    pub(crate) fn read_drains<F>(&self, read: F)
    where
        F: FnOnce() -> DrainRead,
    {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.drains.read(read) {
            state.apply_drains(now);
            self.flush_to_all(now, &mut state);
        }
    }

    /// Applies a configuration if it is newer than the one in force. Returns whether it is valid.
    pub(crate) fn update_configuration(
        &self,
        document: Bytes,
        source: ConfigurationSource,
    ) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        let is_valid = self.apply_configuration(now, &mut state, document, source);
        state.share_configuration(now);
        self.flush_to_all(now, &mut state);
        is_valid
    }

    fn apply_configuration(
        &self,
        now: Instant,
        state: &mut State,
        document: Bytes,
        source: ConfigurationSource,
    ) -> bool {
        let Some(decode) = &state.decode_configuration else {
            return false;
        };
        let old = state.configuration.version;
        let source_name: &str = source.into();
        let decoded = decode(&document);
        let is_valid = decoded.is_ok();
        match decoded {
            Ok(fresh) if fresh.version > old => {
                let version = fresh.version;
                let bytes = document.len();
                let ignored = std::mem::take(&mut state.ignored_configurations);
                spdlog::info!("a configuration is in force", kv: {
                    version,
                    old,
                    source = source_name,
                    bytes,
                    ignored,
                });
                assert!(version > old, "the configuration version must increase");
                state.configuration = Arc::new(fresh);
                state.config_document = document;
                let random = fastrand::f64();
                state.sharing.changed(now, version, bytes, source, random);
            }
            Ok(_) => {
                state.ignored_configurations += 1;
                self.metrics.record_ignored_configuration();
            }
            Err(err) => {
                let reason = err.to_string();
                let reason = reason.as_str();
                spdlog::error!("a configuration can't be decoded", kv: {
                    old,
                    source = source_name,
                    reason,
                });
            }
        }
        is_valid
    }

    /// Registers a new link of the agent that sent `hello` at `sent_ms` by its clock. Returns `None` if
    /// it is refused.
    pub(crate) fn open_link(
        &self,
        id: u64,
        tx: Sender<v1::EntryOrders>,
        hello: &v1::LeasedHello,
        sent_ms: u64,
    ) -> Option<AgentKey> {
        let now = self.clock.now();
        let mut state = self.lock();
        let agent = hello.name.as_str();
        let linked = state.dispatcher.linked(
            now,
            AgentHello {
                name: agent.into(),
                incarnation: hello.incarnation,
                data_center: hello.data_center.as_str().into(),
                sent_ms,
            },
        );
        let key = match linked {
            Ok(key) => key,
            Err(refusal) => {
                log_refused_link(refusal, hello, id);
                return None;
            }
        };
        spdlog::info!("an agent has linked", kv: { agent, link = id });
        let link = Link {
            id,
            tx,
            received_ms: 0,
            echoed_ms: 0,
            sent_at: None,
            is_configuration_due: false,
            is_request_due: false,
            sent_entries: 0,
            drains: PeerDrains::default(),
        };
        state.links.insert(key, link);
        state.sharing.linked(key, hello.incarnation);
        Some(key)
    }

    /// Removes a link that has ended, unless the agent has a newer one.
    pub(crate) fn close_link(&self, key: AgentKey, id: u64) {
        let mut state = self.lock();
        if state.links.get(&key).is_some_and(|link| link.id == id) {
            state.links.remove(&key);
            let now = self.clock.now();
            state.dispatcher.unlinked(now, key);
            state.sharing.unlinked(key);
            spdlog::warn!("an agent's link has ended", kv: { link = id });
        }
    }

    /// Handles a frame of an agent.
    pub(crate) fn handle_report(&self, key: AgentKey, id: u64, report: v1::AgentReport) {
        let now = self.clock.now();
        let mut state = self.lock();
        let state = &mut *state;
        let Some(link) = state.links.get_mut(&key).filter(|link| link.id == id) else {
            return;
        };
        if !report.claims.is_empty() {
            return self.handle_claim_answers(now, state, key, id, report.claims);
        }
        link.received_ms = link.received_ms.max(report.sent_ms);
        let are_drains_changed = state
            .drains
            .received(&mut link.drains, report.drains, "agent");
        state.entries.extend(report.entries);
        if let Some(shared) = report.config {
            self.apply_configuration(
                now,
                state,
                shared.document.into(),
                ConfigurationSource::Agent,
            );
        }
        state.sharing.agent_has(now, key, report.config_version);
        // Without a configuration the entry serves nobody, so that it doesn't wait for a tick.
        if state.configuration.version == 0 {
            state.share_configuration(now);
        }
        let ends: Vec<_> = report.ends.into_iter().filter_map(read_end).collect();
        for end in &ends {
            self.metrics.record_task_end(end.outcome.into());
            if end.outcome != hemlockhook_dispatch::Outcome::Done {
                let job = &*end.task.task.job;
                let outcome: &str = end.outcome.into();
                let task = end.task.task.index;
                let run_ms = end.run_ms;
                spdlog::info!("an attempt ended", kv: { job, task, outcome, run_ms, link = id });
            } else if !state.dispatcher.has_job(&end.task.task.job) {
                let job = &*end.task.task.job;
                let task = end.task.task.index;
                let run_ms = end.run_ms;
                spdlog::info!("a task of a dropped job was completed", kv: {
                    job,
                    task,
                    run_ms,
                    link = id,
                });
            }
        }
        let lists_held_tasks = report.hello.is_some();
        let held = lists_held_tasks.then(|| {
            let tasks = report.held.into_iter().map(Some);
            HeldAttempts {
                tasks: tasks.filter_map(read_task).collect(),
                received: report.received_seq,
            }
        });
        let report = AgentReport {
            orders_seen: report.orders_seen,
            state: report.state.map(read_state),
            ends,
            held,
        };
        if are_drains_changed {
            state.apply_drains(now);
        }
        state.dispatcher.reported(now, key, report);
        match are_drains_changed {
            true => self.flush_to_all(now, state),
            false => self.flush_to(now, state, &[key]),
        }
    }

    /// Handles the answers of an agent to claims, which come in frames of their own.
    fn handle_claim_answers(
        &self,
        now: Instant,
        state: &mut State,
        key: AgentKey,
        id: u64,
        answers: Vec<v1::JobClaimAnswer>,
    ) {
        for answer in answers.into_iter().filter_map(read_claim_answer) {
            log_claim(&answer, id);
            state.dispatcher.claim_answered(now, key, &answer);
        }
        self.flush_to(now, state, &[]);
    }

    /// Handles timeouts and places queued tasks. Returns whether there are unanswered jobs, which
    /// need frequent ticks.
    pub(crate) fn tick(&self) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        state.dispatcher.tick(now);
        for class in state.dispatcher.take_class_changes() {
            callers::log_class_change(&class);
            let booked = state.dispatcher.booked_returns();
            self.metrics.record_booked_returns(booked);
        }
        self.report_placement(now, &mut state);
        state.share_configuration(now);
        self.flush_to_all(now, &mut state);
        state.dispatcher.jobs() > 0
    }

    /// Records how long requests of callers wait for the event loop.
    pub(crate) fn record_delay(&self, delay: Duration) {
        self.metrics.record_delay(delay);
        if delay >= LOGGED_DELAY {
            let delay_ms = delay.as_millis() as u64;
            spdlog::warn!("the event loop fell behind", kv: { delay_ms });
        }
        let now = self.clock.now();
        let mut state = self.lock();
        let before = state.dispatcher.demand_cap_milli();
        state.dispatcher.measured_delay(now, delay);
        let cap = state.dispatcher.demand_cap_milli();
        if before.is_some() != cap.is_some() {
            let cap_milli = cap.unwrap_or_default();
            let is_capped = cap.is_some();
            spdlog::info!("the cap of the demand has changed", kv: { is_capped, cap_milli });
        }
        if let Some(demand) = state.dispatcher.demand_milli() {
            self.metrics.record_demand(demand);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn apply_drains(&mut self, now: Instant) {
        self.dispatcher.set_drains(now, self.drains.current());
    }

    /// Marks the links on which the configuration is to be sent or requested.
    fn share_configuration(&mut self, now: Instant) {
        for key in self.sharing.recipients(now) {
            if let Some(link) = self.links.get_mut(&key) {
                link.is_configuration_due = true;
            }
        }
        let agent = self.sharing.request(now);
        if let Some(link) = agent.and_then(|key| self.links.get_mut(&key)) {
            let version = self.configuration.version;
            spdlog::info!("an agent has a newer configuration; requesting it", kv: {
                version,
                link = link.id,
            });
            link.is_request_due = true;
        }
    }
}

fn log_refused_link(refusal: LinkRefusal, hello: &v1::LeasedHello, link: u64) {
    let agent = hello.name.as_str();
    let incarnation = hello.incarnation;
    match refusal {
        LinkRefusal::Outdated => {
            spdlog::warn!("refused a link that its agent has given up", kv: { agent, link });
        }
        LinkRefusal::DuplicateIncarnation => {
            spdlog::error!("refused an agent that has the incarnation of another agent", kv: {
                agent,
                incarnation,
                link,
            });
        }
    }
}

/// Logs an answer that shows that another entry has the job, too, or that the job was cancelled.
fn log_claim(answer: &ClaimAnswer, link: u64) {
    let job = &*answer.job;
    match answer.status {
        ClaimStatus::Granted => return,
        ClaimStatus::Cancelled => {
            spdlog::info!("a claimed job was cancelled before", kv: { job, link });
            return;
        }
        ClaimStatus::Waiting | ClaimStatus::Contested => {}
    }
    let status: &str = answer.status.into();
    spdlog::info!("another entry claims a job of this one", kv: { job, status, link });
}

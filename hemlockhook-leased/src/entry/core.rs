//! The entry's state, and the way from decisions to frames and answers.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::Sender;
use bytes::Bytes;
use hemlockhook_dispatch::entry::{
    Action, AgentKey, AgentReport, Answer, Dispatcher, JobKey, Refusal, Submission,
};
use hemlockhook_ports::leased::{Configuration, MalformedMessage};
use hemlockhook_proto::v1;
use hemlockhook_runtime::metrics::Metrics;
use hemlockhook_types::Clock;

use crate::convert::{read_end, read_state, read_task, write_order, write_task};
use crate::entry::metrics::EntryMetrics;
use crate::settings::EntrySettings;

/// The entry's state, shared by everything that it serves.
pub(crate) type Shared = Arc<Core>;

/// Reads a configuration from the form in which operators publish it.
pub(crate) type ReadConfiguration =
    Box<dyn Fn(&Bytes) -> Result<Configuration, MalformedMessage> + Send + Sync>;

/// Frames that wait for a slow agent. A link that falls further behind is closed.
const OUT_QUEUE: usize = 512;

/// Time after the last frame to an agent at which its sign of life is echoed.
const ECHO_PAUSE: Duration = Duration::from_millis(40);

/// Agents that are given the configuration itself, for entries that start while the store is away.
const CONFIGURATION_KEEPERS: usize = 3;

/// Time for which the entry stays ready after the last agent that work could be sent to was lost.
const READY_WITHOUT_AGENTS: Duration = Duration::from_secs(4);

/// The entry's state. Each event is handled whole under one lock.
pub(crate) struct Core {
    incarnation: u64,
    address: String,
    clock: Arc<dyn Clock>,
    metrics: EntryMetrics,
    state: Mutex<State>,
}

struct State {
    dispatcher: Dispatcher,
    links: HashMap<AgentKey, Link>,
    /// Callers that wait for each job.
    waiters: HashMap<JobKey, Waiters>,
    configuration: Arc<Configuration>,
    document: Bytes,
    read_configuration: Option<ReadConfiguration>,
    /// Addresses of entries, this one's included.
    entries: BTreeSet<String>,
    is_leaving: bool,
    /// When work could last be sent to an agent.
    last_usable: Option<Instant>,
}

struct Link {
    /// Numbers the links of the process.
    id: u64,
    tx: Sender<v1::EntryOrders>,
    /// The highest time of the agent's that has been received.
    received_ms: u64,
    echoed_ms: u64,
    sent_at: Option<Instant>,
    config_version: u64,
    told_entries: usize,
}

struct Waiters {
    txs: Vec<Sender<Answer>>,
    submitted: Instant,
    queue: Arc<str>,
    id: Arc<str>,
}

impl Core {
    pub(crate) fn new(settings: &EntrySettings, clock: Arc<dyn Clock>, metrics: &Metrics) -> Self {
        let address = settings.links_address.to_string();
        Self {
            // Not 0, which stands for no entry.
            incarnation: fastrand::u64(1..),
            clock,
            metrics: EntryMetrics::new(metrics),
            state: Mutex::new(State {
                dispatcher: Dispatcher::new(settings.policy()),
                links: HashMap::new(),
                waiters: HashMap::new(),
                configuration: Arc::default(),
                document: Bytes::new(),
                read_configuration: None,
                entries: BTreeSet::from([address.clone()]),
                is_leaving: false,
                last_usable: None,
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

    /// Returns the number of jobs that are not answered.
    pub(crate) fn jobs(&self) -> usize {
        self.lock().dispatcher.jobs()
    }

    /// Returns the configuration in force.
    pub(crate) fn configuration(&self) -> Arc<Configuration> {
        self.lock().configuration.clone()
    }

    /// Returns whether callers should be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.dispatcher.usable_agents(now) > 0 {
            state.last_usable = Some(now);
        }
        let is_served = state
            .last_usable
            .is_some_and(|at| now.saturating_duration_since(at) < READY_WITHOUT_AGENTS);
        !state.is_leaving && state.configuration.version > 0 && is_served
    }

    /// Returns whether connections should end with the next answer.
    pub(crate) fn is_leaving(&self) -> bool {
        self.lock().is_leaving
    }

    /// Tells the balancer to send callers elsewhere; those who come are served.
    pub(crate) fn leave(&self) {
        self.lock().is_leaving = true;
    }

    /// Refuses jobs from now on.
    pub(crate) fn stop_taking(&self) {
        self.lock().dispatcher.leave();
    }

    /// Returns the number of a queue's jobs of which no task has begun.
    pub(crate) fn waiting_jobs(&self, queue: &str) -> usize {
        self.lock().dispatcher.waiting_jobs(queue)
    }

    /// Submits a job. The answer comes through the channel, or at once if it is refused.
    pub(crate) fn submit(
        &self,
        submission: Submission,
        tx: Sender<Answer>,
    ) -> Result<JobKey, Refusal> {
        let now = self.clock.now();
        let queue = submission.queue_config.name.clone();
        let id = submission.spec.id.clone();
        let mut state = self.lock();
        let taken = state.dispatcher.submit(now, submission);
        match &taken {
            Ok(key) => {
                let waiters = state.waiters.entry(*key).or_insert(Waiters {
                    txs: Vec::new(),
                    submitted: now,
                    queue,
                    id,
                });
                waiters.txs.push(tx);
            }
            Err(refusal) => {
                let answer = Answer::NotRun(refusal.clone());
                self.metrics.answered(&queue, &answer, Duration::ZERO);
                log_refusal(&state, now, &queue, &id, refusal);
            }
        }
        self.flush_to(now, &mut state, &[]);
        taken
    }

    /// Takes the news that a caller no longer waits.
    pub(crate) fn abandon(&self, key: JobKey) {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(waiters) = state.waiters.get_mut(&key) else {
            return;
        };
        // A caller that left has dropped its end of the channel.
        waiters.txs.retain(|tx| !tx.is_closed());
        if !waiters.txs.is_empty() {
            return;
        }
        if let Some(waiters) = state.waiters.remove(&key) {
            let job = &*waiters.id;
            let queue = &*waiters.queue;
            let after_ms = now.saturating_duration_since(waiters.submitted).as_millis() as u64;
            spdlog::info!("the caller left: the job is given up", kv: { job, queue, after_ms });
            self.metrics.abandoned(queue);
        }
        state.dispatcher.abandon(now, key);
        self.flush_to(now, &mut state, &[]);
    }

    /// Cancels a job by its name. Returns false if it is not known here.
    pub(crate) fn cancel(&self, id: &str) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        let is_known = state.dispatcher.cancel(now, id);
        spdlog::info!("a job is cancelled", kv: { job = id, is_known });
        self.flush_to(now, &mut state, &[]);
        is_known
    }

    /// Sets how configurations are read.
    pub(crate) fn read_configurations_with(&self, read: ReadConfiguration) {
        self.lock().read_configuration = Some(read);
    }

    /// Takes a configuration, if it is newer than the one in force.
    pub(crate) fn configured(&self, document: Bytes, source: &str) {
        let now = self.clock.now();
        let mut state = self.lock();
        self.configure(&mut state, document, source);
        self.flush_to_all(now, &mut state);
    }

    fn configure(&self, state: &mut State, document: Bytes, source: &str) {
        let Some(read) = &state.read_configuration else {
            return;
        };
        let old = state.configuration.version;
        match read(&document) {
            Ok(fresh) if fresh.version > old => {
                let version = fresh.version;
                spdlog::info!("a configuration is in force", kv: { version, old, source });
                assert!(version > old, "a configuration never reverts");
                state.configuration = Arc::new(fresh);
                state.document = document;
            }
            Ok(_) => {}
            Err(err) => {
                let reason = err.to_string();
                let reason = reason.as_str();
                spdlog::error!("a configuration can't be read", kv: { old, source, reason });
            }
        }
    }

    /// Takes the first frame of an agent on a new link.
    pub(crate) fn linked(
        &self,
        id: u64,
        tx: Sender<v1::EntryOrders>,
        hello: &v1::LeasedHello,
    ) -> AgentKey {
        let now = self.clock.now();
        let mut state = self.lock();
        let data_center = hello.data_center.as_str().into();
        let key = state.dispatcher.linked(now, hello.incarnation, data_center);
        let agent = hello.name.as_str();
        spdlog::info!("an agent has linked", kv: { agent, link = id });
        let link = Link {
            id,
            tx,
            received_ms: 0,
            echoed_ms: 0,
            sent_at: None,
            config_version: hello.config_version,
            told_entries: 0,
        };
        state.links.insert(key, link);
        key
    }

    /// Takes the end of a link.
    pub(crate) fn unlinked(&self, key: AgentKey, id: u64) {
        let mut state = self.lock();
        if state.links.get(&key).is_some_and(|link| link.id == id) {
            state.links.remove(&key);
            state.dispatcher.unlinked(key);
            spdlog::warn!("an agent's link has ended", kv: { link = id });
        }
    }

    /// Takes a frame of an agent.
    pub(crate) fn reported(&self, key: AgentKey, id: u64, report: v1::AgentReport) {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(link) = state.links.get_mut(&key).filter(|link| link.id == id) else {
            return;
        };
        link.received_ms = link.received_ms.max(report.sent_ms);
        state.entries.extend(report.entries);
        if let Some(shared) = report.config {
            if let Some(link) = state.links.get_mut(&key) {
                link.config_version = link.config_version.max(shared.version);
            }
            self.configure(&mut state, shared.document.into(), "agent");
        }
        let ends: Vec<_> = report.ends.into_iter().filter_map(read_end).collect();
        for end in &ends {
            self.metrics.task_ended(end.outcome.into());
            if end.outcome != hemlockhook_dispatch::Outcome::Done {
                let job = &*end.task.task.job;
                let outcome: &str = end.outcome.into();
                let task = end.task.task.index;
                let run_ms = end.run_ms;
                spdlog::info!("an attempt ended", kv: { job, task, outcome, run_ms, link = id });
            }
        }
        let is_first = report.hello.is_some();
        let held = is_first.then(|| {
            report
                .held
                .into_iter()
                .map(Some)
                .filter_map(read_task)
                .collect()
        });
        let report = AgentReport {
            orders_seen: report.orders_seen,
            state: report.state.map(read_state),
            ends,
            held,
        };
        state.dispatcher.reported(now, key, report);
        self.flush_to(now, &mut state, &[key]);
    }

    /// Does what has come due. Returns whether it will soon be needed again.
    pub(crate) fn tick(&self) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        state.dispatcher.tick(now);
        self.flush_to_all(now, &mut state);
        state.dispatcher.jobs() > 0
    }

    fn flush_to_all(&self, now: Instant, state: &mut State) {
        let keys: Vec<_> = state.links.keys().copied().collect();
        self.flush_to(now, state, &keys);
    }

    /// Carries out what was decided: one frame for each agent that something is for, and for those
    /// of `others` that are due one.
    fn flush_to(&self, now: Instant, state: &mut State, others: &[AgentKey]) {
        let mut frames: HashMap<AgentKey, v1::EntryOrders> = HashMap::new();
        for action in state.dispatcher.take_actions() {
            match action {
                Action::Run(order) => {
                    let frame = frames.entry(order.agent).or_default();
                    frame.runs.push(write_order(&order.run));
                }
                Action::Cancel(agent, task) => {
                    let frame = frames.entry(agent).or_default();
                    frame.cancels.push(write_task(&task));
                }
                Action::Answer(job, answer) => self.answer(now, state, job, answer),
            }
        }
        let version = state.configuration.version;
        let has_version = |link: &&Link| link.config_version >= version;
        let mut keepers = state.links.values().filter(has_version).count();
        let mut keys: Vec<_> = frames.keys().chain(others).copied().collect();
        keys.sort_unstable();
        keys.dedup();
        for key in keys {
            let Some(link) = state.links.get_mut(&key) else {
                continue;
            };
            let frame = frames.remove(&key);
            let is_quiet = link
                .sent_at
                .is_none_or(|at| now.saturating_duration_since(at) >= ECHO_PAUSE);
            let is_echo_due = link.received_ms > link.echoed_ms && is_quiet;
            let gets_configuration =
                link.config_version < version && keepers < CONFIGURATION_KEEPERS;
            let is_first = link.sent_at.is_none();
            if frame.is_none() && !is_echo_due && !gets_configuration && !is_first {
                continue;
            }
            let mut frame = frame.unwrap_or_default();
            if gets_configuration {
                link.config_version = version;
                keepers += 1;
                frame.config = Some(v1::SharedConfig {
                    version,
                    document: state.document.to_vec(),
                });
            }
            if link.told_entries != state.entries.len() {
                link.told_entries = state.entries.len();
                frame.entries = state.entries.iter().cloned().collect();
            }
            frame.incarnation = self.incarnation;
            frame.config_version = version;
            frame.echo_ms = link.received_ms;
            frame.seq = state.dispatcher.next_seq(key);
            link.echoed_ms = link.received_ms;
            link.sent_at = Some(now);
            if link.tx.try_send(frame).is_err() {
                // It does not take what it is sent; the link is opened anew.
                link.tx.close();
            }
        }
    }

    fn answer(&self, now: Instant, state: &mut State, job: JobKey, answer: Answer) {
        let Some(waiters) = state.waiters.remove(&job) else {
            return;
        };
        let took = now.saturating_duration_since(waiters.submitted);
        self.metrics.answered(&waiters.queue, &answer, took);
        let outcome: &str = (&answer).into();
        let id = &*waiters.id;
        let queue = &*waiters.queue;
        let took_ms = took.as_millis() as u64;
        spdlog::info!("a job is answered", kv: { job = id, queue, outcome, took_ms });
        for tx in waiters.txs {
            // A caller that left needs no answer.
            let _ = tx.try_send(answer.clone());
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Creates the channel for frames to an agent.
pub(crate) fn out_queue() -> (
    Sender<v1::EntryOrders>,
    async_channel::Receiver<v1::EntryOrders>,
) {
    async_channel::bounded(OUT_QUEUE)
}

fn log_refusal(state: &State, now: Instant, queue: &str, id: &str, refusal: &Refusal) {
    let reason: &str = refusal.into();
    let retry_ms = refusal
        .retry_after()
        .map_or(0, |wait| wait.as_millis() as u64);
    let agents = state.dispatcher.usable_agents(now);
    let open = state.dispatcher.jobs();
    let version = state.configuration.version;
    spdlog::info!("a job is refused", kv: {
        job = id,
        queue,
        reason,
        retry_ms,
        agents,
        open,
        version,
    });
}

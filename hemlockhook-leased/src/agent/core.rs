//! The agent's state, and the way from decisions to calls and frames.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, UNIX_EPOCH};

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use hemlockhook_dispatch::agent::{
    Action, Announcement, HoldCall, LinkId, Report, StartCall, StartResult, StopCall, StopResult,
    Supervisor,
};
use hemlockhook_ports::leased::UpstreamClient;
use hemlockhook_proto::v1;
use hemlockhook_runtime::executor::Executor;
use hemlockhook_runtime::metrics::Metrics;
use hemlockhook_types::Clock;

use crate::agent::metrics::AgentMetrics;
use crate::convert::{read_order, read_task, write_end, write_state, write_task};
use crate::settings::AgentSettings;

/// The agent's state, shared by everything that it serves.
pub(crate) type Shared<U> = Arc<Core<U>>;

/// Frames that wait for a slow entry. A link that falls further behind is closed.
const OUT_QUEUE: usize = 512;

/// The agent's state. Each event is handled whole under one lock.
pub(crate) struct Core<U> {
    ex: Arc<Executor>,
    incarnation: u64,
    name: String,
    data_center: String,
    clock: Arc<dyn Clock>,
    /// Where the times in frames count from.
    epoch: Instant,
    upstreams: Arc<U>,
    metrics: AgentMetrics,
    changes: (Sender<Announcement>, Receiver<Announcement>),
    state: Mutex<State>,
}

struct State {
    supervisor: Supervisor,
    links: HashMap<LinkId, Link>,
    last_link: LinkId,
    /// Entries that links are kept with.
    kept: BTreeSet<SocketAddr>,
    /// Entries that are linked.
    linked: BTreeSet<String>,
    version: u64,
    document: Bytes,
}

struct Link {
    tx: Sender<v1::AgentReport>,
    /// The entry's version, as far as is known.
    config_version: u64,
    told_entries: usize,
    is_first: bool,
    last_entry: u64,
}

impl<U> Core<U>
where
    U: UpstreamClient,
{
    pub(crate) fn new(
        ex: Arc<Executor>,
        settings: &AgentSettings,
        clock: Arc<dyn Clock>,
        upstreams: U,
        metrics: &Metrics,
    ) -> Self {
        let wall = clock
            .wall_time()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let fence = wall.as_millis() as u64;
        let epoch = clock.now();
        Self {
            ex,
            incarnation: fastrand::u64(1..),
            name: settings.name.clone(),
            data_center: settings.data_center.clone(),
            clock,
            epoch,
            upstreams: Arc::new(upstreams),
            metrics: AgentMetrics::new(metrics),
            changes: async_channel::unbounded(),
            state: Mutex::new(State {
                supervisor: Supervisor::new(settings.policy(), fence),
                links: HashMap::new(),
                last_link: 0,
                kept: BTreeSet::new(),
                linked: BTreeSet::new(),
                version: 0,
                document: Bytes::new(),
            }),
        }
    }

    pub(crate) fn executor(&self) -> &Arc<Executor> {
        &self.ex
    }

    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the number of orders held.
    pub(crate) fn orders(&self) -> usize {
        self.lock().supervisor.orders().count()
    }

    /// Returns whether nothing runs and nothing is to be told.
    pub(crate) fn is_idle(&self) -> bool {
        self.lock().supervisor.is_idle()
    }

    /// Returns what is to be kept of the upstream, whenever it changes.
    pub(crate) fn upstream_changes(&self) -> Receiver<Announcement> {
        self.changes.1.clone()
    }

    /// Adds an entry to those that links are kept with. Returns false if it was one.
    pub(crate) fn keep(&self, entry: SocketAddr) -> bool {
        self.lock().kept.insert(entry)
    }

    /// Takes back [`Core::keep`].
    pub(crate) fn forget(&self, entry: SocketAddr) {
        self.lock().kept.remove(&entry);
    }

    /// Takes what the upstream says of itself.
    pub(crate) fn announced(self: &Arc<Self>, said: Announcement) {
        self.with(|now, state| {
            let before = state.supervisor.upstream().cloned();
            let instance = said.instance.clone();
            if !state.supervisor.announced(now, said.clone()) {
                let instance = &*instance;
                spdlog::warn!("an announcement of an earlier life is passed over", kv: { instance });
                return;
            }
            let is_same = |old: &Announcement| {
                old.instance == said.instance
                    && old.born_ms == said.born_ms
                    && old.capacity == said.capacity
                    && old.is_leaving == said.is_leaving
            };
            if !before.as_ref().is_some_and(is_same) {
                let instance = &*instance;
                let is_leaving = said.is_leaving;
                let cpu = said.capacity.cpu;
                spdlog::info!("the upstream announces itself", kv: { instance, is_leaving, cpu });
                // The channel has no bound, and its receiver is kept here.
                let _ = self.changes.0.try_send(said);
            }
        });
    }

    /// Takes what the agent's last life knew of the upstream.
    pub(crate) fn recalled(self: &Arc<Self>, said: Announcement) {
        self.with(|now, state| {
            if state.supervisor.upstream().is_none() {
                let instance = &*said.instance;
                spdlog::info!("the upstream is recalled from the store", kv: { instance });
                state.supervisor.announced(now, said);
            }
        });
    }

    /// Takes the news that the upstream has ended.
    pub(crate) fn upstream_left(self: &Arc<Self>, instance: &str) {
        spdlog::info!("the upstream leaves", kv: { instance });
        self.with(|now, state| state.supervisor.upstream_left(now, instance));
    }

    /// Stops taking work.
    pub(crate) fn leave(self: &Arc<Self>) {
        self.with(|now, state| state.supervisor.leave(now));
    }

    /// Does what has come due. Returns whether it will soon be needed again.
    pub(crate) fn tick(self: &Arc<Self>) -> bool {
        self.with(|now, state| {
            state.supervisor.tick(now);
            !state.supervisor.is_idle()
        })
    }

    /// Returns the first frame of a link, and the time that it names.
    pub(crate) fn hello(&self, last_entry: u64) -> (v1::AgentReport, Instant) {
        let now = self.clock.now();
        let state = self.lock();
        let hello = v1::LeasedHello {
            incarnation: self.incarnation,
            name: self.name.clone(),
            data_center: self.data_center.clone(),
            config_version: state.version,
            last_entry,
        };
        let report = v1::AgentReport {
            hello: Some(hello),
            sent_ms: self.millis(now),
            ..v1::AgentReport::default()
        };
        (report, now)
    }

    /// Takes an entry's first frame. Returns the link, and the frames to be sent on it.
    pub(crate) fn linked(
        self: &Arc<Self>,
        entry: u64,
        last_entry: u64,
        greeted: Instant,
    ) -> (LinkId, Receiver<v1::AgentReport>) {
        let (tx, rx) = async_channel::bounded(OUT_QUEUE);
        let link = self.with(|now, state| {
            state.last_link += 1;
            let link = state.last_link;
            let replaced = Some(last_entry).filter(|&last| last != 0);
            state.links.insert(
                link,
                Link {
                    tx,
                    config_version: 0,
                    told_entries: 0,
                    is_first: true,
                    last_entry,
                },
            );
            state.supervisor.linked(now, link, entry, replaced, greeted);
            link
        });
        (link, rx)
    }

    /// Notes which entries are linked.
    pub(crate) fn set_linked(&self, address: &SocketAddr, is_linked: bool) {
        let mut state = self.lock();
        let address = address.to_string();
        match is_linked {
            true => state.linked.insert(address),
            false => state.linked.remove(&address),
        };
    }

    /// Takes the end of a link.
    pub(crate) fn unlinked(self: &Arc<Self>, link: LinkId) {
        self.with(|_, state| {
            state.links.remove(&link);
            state.supervisor.unlinked(link);
        });
    }

    /// Takes a frame of an entry. Returns the addresses of entries that it names.
    pub(crate) fn ordered(self: &Arc<Self>, link: LinkId, frame: v1::EntryOrders) -> Vec<String> {
        self.with(|now, state| {
            let echoed = self.epoch + Duration::from_millis(frame.echo_ms);
            state
                .supervisor
                .frame_received(now, link, frame.seq, echoed);
            if let Some(shared) = frame.config.filter(|shared| shared.version > state.version) {
                state.version = shared.version;
                state.document = shared.document.into();
            }
            if let Some(link) = state.links.get_mut(&link) {
                link.config_version = link.config_version.max(frame.config_version);
            }
            for task in frame.cancels {
                if let Some(task) = read_task(Some(task)) {
                    state.supervisor.cancelled(now, link, &task);
                }
            }
            for order in frame.runs {
                match read_order(order) {
                    Some(order) => state.supervisor.ordered(now, link, order),
                    None => spdlog::error!("an order without a task is passed over"),
                }
            }
            frame.entries
        })
    }

    /// Handles an event whole: changes the state, then carries out what was decided.
    fn with<F, T>(self: &Arc<Self>, event: F) -> T
    where
        F: FnOnce(Instant, &mut State) -> T,
    {
        let now = self.clock.now();
        let mut state = self.lock();
        let outcome = event(now, &mut state);
        self.flush(now, &mut state);
        outcome
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn millis(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.epoch).as_millis() as u64
    }
}

impl<U> Core<U>
where
    U: UpstreamClient,
{
    /// Carries out what was decided.
    fn flush(self: &Arc<Self>, now: Instant, state: &mut State) {
        for action in state.supervisor.take_actions() {
            let core = self.clone();
            match action {
                Action::Start(call) => self.ex.spawn(core.start(call)).detach(),
                Action::Stop(call) => self.ex.spawn(core.stop(call)).detach(),
                Action::Hold(call) => self.ex.spawn(core.hold(call)).detach(),
            }
        }
        let reports = state.supervisor.take_reports(now);
        for report in reports {
            self.send(now, state, report);
        }
    }

    async fn start(self: Arc<Self>, call: StartCall) {
        let key = call.key;
        let task = call.task.clone();
        let run = call.run;
        let result = self.upstreams.start(call).await;
        if !matches!(result, StartResult::Started { .. }) {
            let job = &*task.job;
            let index = task.index;
            spdlog::info!("a start was not taken", kv: { job, task = index, run, result:? = result });
        }
        if result == StartResult::NoAnswer {
            self.metrics.unanswered("start");
        }
        self.with(|now, state| state.supervisor.start_answered(now, key, result));
    }

    async fn stop(self: Arc<Self>, call: StopCall) {
        let task = call.task.clone();
        let run = call.run;
        let result = self.upstreams.stop(call).await;
        let job = &*task.task.job;
        let index = task.task.index;
        spdlog::info!("a run is stopped", kv: { job, task = index, run, result:? = result });
        if result == StopResult::Unsettled {
            self.metrics.unanswered("stop");
        }
        self.with(|now, state| state.supervisor.stop_answered(now, &task, result));
    }

    async fn hold(self: Arc<Self>, call: HoldCall) {
        let sent = self.clock.now();
        let wait = call.wait;
        let result = self.upstreams.renew_lease(call).await;
        if result.is_none() {
            self.metrics.unanswered("hold");
            spdlog::warn!("the upstream did not answer when it was asked for its lists");
        }
        self.with(|now, state| state.supervisor.hold_answered(now, sent, wait, result));
    }

    fn send(&self, now: Instant, state: &mut State, report: Report) {
        for ended in &report.ends {
            self.metrics.ended(ended);
        }
        let entries: Vec<_> = state.linked.iter().cloned().collect();
        let Some(link) = state.links.get_mut(&report.link) else {
            return;
        };
        let mut frame = v1::AgentReport {
            sent_ms: self.millis(now),
            orders_seen: report.orders_seen,
            state: report.state.as_ref().map(write_state),
            ends: report.ends.iter().map(write_end).collect(),
            ..v1::AgentReport::default()
        };
        if let Some(held) = report.held {
            frame.held = held.iter().map(write_task).collect();
        }
        if std::mem::take(&mut link.is_first) {
            // The entry learns with it what is held, whatever the frame before said.
            frame.hello = Some(v1::LeasedHello {
                incarnation: self.incarnation,
                name: self.name.clone(),
                data_center: self.data_center.clone(),
                config_version: state.version,
                last_entry: link.last_entry,
            });
        }
        if link.config_version < state.version {
            link.config_version = state.version;
            frame.config = Some(v1::SharedConfig {
                version: state.version,
                document: state.document.to_vec(),
            });
        }
        if link.told_entries != entries.len() {
            link.told_entries = entries.len();
            frame.entries = entries;
        }
        if link.tx.try_send(frame).is_err() {
            // It does not take what it is sent; the link is opened anew.
            link.tx.close();
        }
    }
}

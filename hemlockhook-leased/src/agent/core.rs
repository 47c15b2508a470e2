//! The agent's state, and the conversion of the supervisor's actions to calls and frames.

mod calls;
mod outdated;

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, UNIX_EPOCH};

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use hemlockhook_dispatch::agent::{
    Action, Announcement, AnnouncementStatus, FrameHeader, LinkId, LinkRank, Report, Supervisor,
};
use hemlockhook_ports::leased::UpstreamClient;
use hemlockhook_proto::v1;
use hemlockhook_runtime::executor::Executor;
use hemlockhook_runtime::metrics::Metrics;
use hemlockhook_types::{Clock, new_incarnation};
use xxhash_rust::xxh3::xxh3_64;

use crate::agent::metrics::AgentMetrics;
use crate::convert::{
    read_claim, read_order, read_task, write_claim_answer, write_end, write_state, write_task,
};
use crate::drains::{KnownDrains, PeerDrains};
use crate::settings::AgentSettings;

/// The agent's state, shared by its links, calls and servers.
pub(crate) type SharedCore<U> = Arc<Core<U>>;

/// Maximum number of frames queued for a slow entry. If the queue is full, the link is closed.
const OUTGOING_QUEUE_CAPACITY: usize = 512;

/// The agent's state. Each event is handled completely under one lock.
pub(crate) struct Core<U> {
    ex: Arc<Executor>,
    incarnation: u64,
    name: String,
    data_center: String,
    clock: Arc<dyn Clock>,
    /// Reference point of the times in frames.
    epoch: Instant,
    upstreams: Arc<U>,
    metrics: AgentMetrics,
    upstream_changes: (Sender<Announcement>, Receiver<Announcement>),
    state: Mutex<State>,
}

struct State {
    supervisor: Supervisor,
    /// The announcement that was stored last.
    stored_upstream: Option<Announcement>,
    links: HashMap<LinkId, Link>,
    last_link: LinkId,
    /// Entries to which links are maintained, and the channels that end their pauses.
    entries: BTreeMap<SocketAddr, Sender<()>>,
    /// Addresses of the linked entries.
    linked_entries: BTreeSet<String>,
    config_version: u64,
    config_document: Bytes,
    drains: KnownDrains,
}

struct Link {
    tx: Sender<v1::AgentReport>,
    /// Number of entry addresses that the entry has been sent.
    sent_entries: usize,
    /// Whether the next report is the first one on the link.
    is_first_report: bool,
    /// Previous incarnation of the entry; 0 if there was none.
    previous_incarnation: u64,
    drains: PeerDrains,
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
            incarnation: new_incarnation(),
            name: settings.name.clone(),
            data_center: settings.data_center.clone(),
            clock,
            epoch,
            upstreams: Arc::new(upstreams),
            metrics: AgentMetrics::new(metrics),
            upstream_changes: async_channel::unbounded(),
            state: Mutex::new(State {
                supervisor: Supervisor::new(settings.policy(), fence),
                stored_upstream: None,
                links: HashMap::new(),
                last_link: 0,
                entries: BTreeMap::new(),
                linked_entries: BTreeSet::new(),
                config_version: 0,
                config_document: Bytes::new(),
                drains: KnownDrains::new(settings.drains, metrics),
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

    /// Returns whether no order is held and no orphaned run is known.
    pub(crate) fn is_idle(&self) -> bool {
        self.lock().supervisor.is_idle()
    }

    /// Returns a channel of announcements to store: those that differ from the previous one in the
    /// incarnation, the service, the capacity or whether the upstream is leaving.
    pub(crate) fn upstream_changes(&self) -> Receiver<Announcement> {
        self.upstream_changes.1.clone()
    }

    /// Adds an entry to which a link is maintained. Returns a channel of requests to open the link
    /// at once, or `None` if the entry was present.
    pub(crate) fn add_entry(&self, entry: SocketAddr) -> Option<Receiver<()>> {
        match self.lock().entries.entry(entry) {
            Entry::Occupied(_) => None,
            Entry::Vacant(vacant) => {
                let (tx, rx) = async_channel::bounded(1);
                vacant.insert(tx);
                Some(rx)
            }
        }
    }

    /// Returns the rank of the link to an entry. It differs between agents, so that each entry gets
    /// about as many active links.
    pub(crate) fn link_rank(&self, entry: SocketAddr) -> LinkRank {
        xxh3_64(format!("{} {entry}", self.name).as_bytes())
    }

    /// Returns the number of entries whose links rank before the one to `entry`.
    pub(crate) fn links_before(&self, entry: SocketAddr) -> usize {
        let rank = self.link_rank(entry);
        let state = self.lock();
        let entries = state.entries.keys();
        entries
            .filter(|&&other| self.link_rank(other) < rank)
            .count()
    }

    /// Returns the time after which the entry on a link has not echoed a report for `timeout`, unless
    /// it echoes it until then; zero if that is so now.
    pub(crate) fn time_until_silent(&self, link: LinkId, timeout: Duration) -> Duration {
        let now = self.clock.now();
        self.lock().supervisor.time_until_silent(now, link, timeout)
    }

    /// Requests that the link to an entry is opened at once, if it has none.
    pub(crate) fn hurry_link(&self, entry: SocketAddr) {
        if let Some(tx) = self.lock().entries.get(&entry) {
            // If the channel is full, the same was requested before.
            let _ = tx.try_send(());
        }
    }

    /// Removes an entry that was added by [`Core::add_entry`].
    pub(crate) fn remove_entry(&self, entry: SocketAddr) {
        self.lock().entries.remove(&entry);
    }

    /// Handles an announcement of the upstream.
    pub(crate) fn handle_announcement(self: &Arc<Self>, announcement: Announcement) {
        let instance = announcement.instance.clone();
        let instance = &*instance;
        let status = self.handle(|now, state| state.supervisor.announced(now, announcement));
        match status {
            AnnouncementStatus::Accepted => {}
            AnnouncementStatus::Outdated => {
                spdlog::warn!("ignored an announcement of an outdated upstream incarnation", kv: {
                    instance,
                });
            }
            AnnouncementStatus::Foreign => {
                spdlog::warn!("ignored an announcement of the upstream with another service", kv: {
                    instance,
                });
            }
            AnnouncementStatus::Unverified => {
                spdlog::warn!("another upstream was announced; asking the known one", kv: {
                    instance,
                });
            }
        }
    }

    /// Restores the upstream from the announcement that the agent's previous incarnation stored.
    pub(crate) fn restore_upstream(self: &Arc<Self>, announcement: Announcement) {
        self.handle(|now, state| {
            // What the upstream itself has confirmed meanwhile is newer.
            if state.supervisor.confirmed_upstream().is_none() {
                let instance = &*announcement.instance;
                spdlog::info!("restored the upstream's last state from the store", kv: {
                    instance,
                });
                state.stored_upstream = Some(announcement.clone());
                state.supervisor.announced(now, announcement);
            }
        });
    }

    /// Handles the deregistration of an upstream instance.
    pub(crate) fn handle_deregistration(self: &Arc<Self>, instance: &str) {
        spdlog::info!("the upstream deregistered", kv: { instance });
        self.handle(|now, state| state.supervisor.upstream_left(now, instance));
    }

    /// Has the upstream's state stored if it differs from what was stored last.
    fn store_upstream(&self, state: &mut State) {
        let Some(announcement) = state.supervisor.confirmed_upstream() else {
            return;
        };
        let is_same = |old: &Announcement| {
            old.instance == announcement.instance
                && old.started_ms == announcement.started_ms
                && old.service == announcement.service
                && old.capacity == announcement.capacity
                && old.is_leaving == announcement.is_leaving
        };
        if state.stored_upstream.as_ref().is_some_and(is_same) {
            return;
        }
        let announcement = announcement.clone();
        let instance = &*announcement.instance;
        let is_leaving = announcement.is_leaving;
        let cpu = announcement.capacity.cpu;
        spdlog::info!("the upstream announced a new state", kv: { instance, is_leaving, cpu });
        state.stored_upstream = Some(announcement.clone());
        // The channel is unbounded, and `self` holds a receiver, so this can't fail.
        let _ = self.upstream_changes.0.try_send(announcement);
    }

    /// Stops accepting work.
    pub(crate) fn leave(self: &Arc<Self>) {
        self.handle(|now, state| state.supervisor.leave(now));
    }

    /// Handles timeouts. Returns whether there are orders or orphaned runs, which need frequent
    /// ticks.
    pub(crate) fn tick(self: &Arc<Self>) -> bool {
        self.handle(|now, state| {
            state.supervisor.tick(now);
            !state.supervisor.is_idle()
        })
    }

    /// Returns the first frame of a link, and the time at which it was created.
    ///
    /// `previous_incarnation` is the entry incarnation that was linked at the address before; 0 if
    /// there was none.
    pub(crate) fn hello(&self, previous_incarnation: u64) -> (v1::AgentReport, Instant) {
        let now = self.clock.now();
        let state = self.lock();
        let hello = v1::LeasedHello {
            incarnation: self.incarnation,
            name: self.name.clone(),
            data_center: self.data_center.clone(),
            last_entry: previous_incarnation,
        };
        let report = v1::AgentReport {
            hello: Some(hello),
            // The entry must know of drains before it places a task.
            drains: state.drains.to_send(&mut PeerDrains::default()),
            ..self.empty_report(now, &state)
        };
        (report, now)
    }

    /// Adds a link after the first frame of an entry, which answers a hello sent at `hello_sent`.
    /// Returns the link, and the channel of the frames to send on it.
    pub(crate) fn open_link(
        self: &Arc<Self>,
        incarnation: u64,
        previous_incarnation: u64,
        hello_sent: Instant,
        rank: LinkRank,
    ) -> (LinkId, Receiver<v1::AgentReport>) {
        let (tx, rx) = async_channel::bounded(OUTGOING_QUEUE_CAPACITY);
        let link = self.handle(|now, state| {
            state.last_link += 1;
            let link = state.last_link;
            let replaced = Some(previous_incarnation).filter(|&previous| previous != 0);
            state.links.insert(
                link,
                Link {
                    tx,
                    sent_entries: 0,
                    is_first_report: true,
                    previous_incarnation,
                    drains: PeerDrains::default(),
                },
            );
            state
                .supervisor
                .linked(now, link, incarnation, replaced, hello_sent, rank);
            link
        });
        (link, rx)
    }

    /// Records whether the entry at an address is linked.
    pub(crate) fn set_entry_linked(&self, address: &SocketAddr, is_linked: bool) {
        let mut state = self.lock();
        let address = address.to_string();
        match is_linked {
            true => state.linked_entries.insert(address),
            false => state.linked_entries.remove(&address),
        };
    }

    /// Removes a link that has ended.
    pub(crate) fn close_link(self: &Arc<Self>, link: LinkId) {
        self.handle(|now, state| {
            state.links.remove(&link);
            state.supervisor.unlinked(now, link);
        });
    }

    /// Handles a frame of an entry. Returns the entry addresses that it contains.
    pub(crate) fn handle_orders(
        self: &Arc<Self>,
        link: LinkId,
        frame: v1::EntryOrders,
    ) -> Vec<String> {
        self.handle(|now, state| {
            let header = FrameHeader {
                seq: frame.seq,
                echoed: self.instant_at(frame.echo_ms),
                state_interval: Duration::from_millis(u64::from(frame.state_interval_ms)),
                wants_state: frame.wants_state,
                demand_milli: frame.demand_milli,
            };
            state.supervisor.frame_received(now, link, &header);
            self.receive_drains(now, state, link, frame.drains);
            if let Some(shared) = frame
                .config
                .filter(|shared| shared.version > state.config_version)
            {
                state.config_version = shared.version;
                state.config_document = shared.document.into();
                self.announce_configuration(now, state);
            }
            if frame.wants_config {
                self.send_configuration(now, state, link);
            }
            for claim in frame.claims {
                if claim.is_cancelled {
                    let job = claim.job.as_str();
                    let hold_ms = claim.hold_ms;
                    spdlog::info!("a job must not run, since it was cancelled", kv: { job, hold_ms, link });
                }
                state.supervisor.claim_changed(now, link, read_claim(claim));
            }
            for task in frame.cancels {
                if let Some(task) = read_task(Some(task)) {
                    state.supervisor.cancelled(now, link, &task);
                }
            }
            for order in frame.runs {
                match read_order(order) {
                    Some(order) => state.supervisor.ordered(now, link, order),
                    None => spdlog::error!("ignored an order without a task"),
                }
            }
            frame.entries
        })
    }

    /// Takes what an entry says of drained data centers into account, before its orders.
    fn receive_drains(
        &self,
        now: Instant,
        state: &mut State,
        link: LinkId,
        drains: Option<v1::DataCenterDrains>,
    ) {
        let Some(link) = state.links.get_mut(&link) else {
            return;
        };
        if state.drains.received(&mut link.drains, drains, "entry") {
            let is_drained = state.drains.current().contains(&self.data_center);
            state.supervisor.set_drained(now, is_drained);
        }
    }

    /// Applies an event to the state, and performs the resulting actions.
    fn handle<F, T>(self: &Arc<Self>, event: F) -> T
    where
        F: FnOnce(Instant, &mut State) -> T,
    {
        let now = self.clock.now();
        let mut state = self.lock();
        let outcome = event(now, &mut state);
        self.store_upstream(&mut state);
        self.flush(now, &mut state);
        outcome
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a frame with only what every frame has.
    fn empty_report(&self, now: Instant, state: &State) -> v1::AgentReport {
        v1::AgentReport {
            sent_ms: self.millis_since_epoch(now),
            config_version: state.config_version,
            ..v1::AgentReport::default()
        }
    }

    /// Returns the instant of a time in a frame. It is not later than now.
    fn instant_at(&self, millis: u64) -> Instant {
        let instant = self.epoch.checked_add(Duration::from_millis(millis));
        let now = self.clock.now();
        instant.map_or(now, |instant| instant.min(now))
    }

    fn millis_since_epoch(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.epoch).as_millis() as u64
    }
}

impl<U> Core<U>
where
    U: UpstreamClient,
{
    /// Performs the supervisor's pending actions, and sends the reports that are due.
    fn flush(self: &Arc<Self>, now: Instant, state: &mut State) {
        for action in state.supervisor.take_actions() {
            let core = self.clone();
            match action {
                Action::Start(call) => self.ex.spawn(core.start(call)).detach(),
                Action::Stop(call) => self.ex.spawn(core.stop(call)).detach(),
                Action::Hold(call) => self.ex.spawn(core.hold(call)).detach(),
            }
        }
        for order in state.supervisor.take_outdated_orders() {
            outdated::log_outdated(&order);
        }
        for (link, answers) in state.supervisor.take_claim_answers() {
            if let Some(link) = state.links.get(&link) {
                link.send(v1::AgentReport {
                    claims: answers.iter().map(write_claim_answer).collect(),
                    ..v1::AgentReport::default()
                });
            }
        }
        let was_by_demand = state.supervisor.is_divided_by_demand();
        let reports = state.supervisor.take_reports(now);
        let by_demand = state.supervisor.is_divided_by_demand();
        if by_demand != was_by_demand {
            spdlog::info!("the division of the throughput among entries has changed", kv: { by_demand });
        }
        for report in reports {
            self.send_report(now, state, report);
        }
    }

    fn send_report(&self, now: Instant, state: &mut State, report: Report) {
        for end in &report.ends {
            self.metrics.record_end(end);
        }
        let empty = self.empty_report(now, state);
        let linked_entries = &state.linked_entries;
        let Some(link) = state.links.get_mut(&report.link) else {
            return;
        };
        let mut frame = v1::AgentReport {
            orders_seen: report.orders_seen,
            state: report.state.as_ref().map(write_state),
            ends: report.ends.iter().map(write_end).collect(),
            ..empty
        };
        if let Some(held) = report.held {
            frame.held = held.tasks.iter().map(write_task).collect();
            frame.received_seq = held.received;
        }
        if std::mem::take(&mut link.is_first_report) {
            // The repeated hello marks `held` as the complete list, even if it is empty.
            frame.hello = Some(v1::LeasedHello {
                incarnation: self.incarnation,
                name: self.name.clone(),
                data_center: self.data_center.clone(),
                last_entry: link.previous_incarnation,
            });
        }
        if link.sent_entries != linked_entries.len() {
            link.sent_entries = linked_entries.len();
            frame.entries = linked_entries.iter().cloned().collect();
        }
        frame.drains = state.drains.to_send(&mut link.drains);
        link.send(frame);
    }

    /// Tells all entries the version of the configuration that the agent keeps, so that no other
    /// entry sends it.
    fn announce_configuration(&self, now: Instant, state: &State) {
        for link in state.links.values() {
            link.send(self.empty_report(now, state));
        }
    }

    /// Sends the configuration on a link.
    fn send_configuration(&self, now: Instant, state: &State, link: LinkId) {
        let Some(link) = state.links.get(&link).filter(|_| state.config_version > 0) else {
            return;
        };
        let mut frame = self.empty_report(now, state);
        frame.config = Some(v1::SharedConfig {
            version: state.config_version,
            document: state.config_document.to_vec(),
        });
        link.send(frame);
    }
}

impl Link {
    fn send(&self, frame: v1::AgentReport) {
        if self.tx.try_send(frame).is_err() {
            // The entry does not keep up with its frames. Closing the queue ends the link, and the
            // agent opens a new one.
            self.tx.close();
        }
    }
}

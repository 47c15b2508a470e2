//! The agent's scheduler, which is the only place where tasks are started.
//!
//! A [`Supervisor`] never exceeds its upstream's capacity, never runs a task twice at once, and
//! stops the runs of entries that have become silent. A run in an unknown state keeps its
//! reservation, and its task is not started again, until the upstream's own lists of runs resolve
//! it.

mod call;
mod call_window;
mod claims;
mod clock;
mod descriptions;
mod drained;
mod due;
mod ended;
mod health;
mod interference;
mod links;
mod lists;
mod order;
mod policy;
mod replacement;
mod runs;
mod shares;
mod upstream;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use slotmap::{SlotMap, new_key_type};

use crate::{Amounts, Outcome, RunNumber, TaskId, TaskRef};

pub use call::{
    Action, ActiveRun, EndedRun, HoldCall, HoldResult, RunOutcome, StartCall, StartResult,
    StopCall, StopResult,
};
pub use descriptions::{Description, DescriptionNumber, OutdatedOrder};
pub use health::{Health, HealthPolicy};
pub use interference::{Interference, MAX_KINDS, PairSlowdown, TaskKind};
pub use links::{FrameHeader, LinkId, LinkRank, Report};
pub use order::{Order, Phase, RunOrder, StopCause};
pub use policy::{SafetyRules, SupervisorPolicy};
pub use upstream::{Announcement, AnnouncementStatus, LifeNumber, UpstreamState};

use call_window::CallWindow;
use claims::Claims;
use descriptions::Descriptions;
use ended::{AllEnded, End};
use links::Links;
use upstream::Upstream;

new_key_type! {
    /// Identifies an order held by a supervisor.
    pub struct OrderKey;
}

/// Number of consecutive unanswered hold calls after which an upstream accepts no more work.
const MAX_UNANSWERED_HOLDS: u32 = 2;

/// Increment of a run number that the upstream refused as old.
const RUN_NUMBER_STEP: RunNumber = 16;

/// Maximum number of retries of a start that was refused for its run number, fencing token or lease
/// end, or whose call never arrived.
const MAX_RETRIES: u32 = 6;

/// Starts and stops the tasks of one upstream.
#[derive(Debug)]
pub struct Supervisor {
    policy: SupervisorPolicy,
    upstream: Option<Upstream>,
    /// Announcement of another upstream, while the known one is asked whether it still answers.
    candidate: Option<Announcement>,
    descriptions: Descriptions,
    /// Number of the last incarnation of an upstream.
    lives: LifeNumber,
    /// Fencing token of this incarnation of the agent.
    fence: u64,
    /// When the token was last raised.
    fence_raised_at: Option<Instant>,
    orders: SlotMap<OrderKey, Order>,
    by_task: BTreeMap<TaskId, OrderKey>,
    /// Orders that wait for capacity, by class and due time.
    waiting: BTreeSet<(u32, Instant, OrderKey)>,
    links: Links,
    claims: Claims,
    health: Health,
    start_window: CallWindow,
    stop_window: CallWindow,
    /// What is learned of the slowdown of runs by others; `None` if nothing is.
    interference: Option<Interference>,
    /// Runs on the upstream without an order, with the time of the last stop call if one was made.
    orphans: BTreeMap<(TaskId, RunNumber), Option<Instant>>,
    /// Highest run number of tasks that have ended on the upstream, and the time of the end.
    ended_runs: BTreeMap<TaskId, (RunNumber, Instant)>,
    /// Whether a hold call that waits for an end is in flight.
    is_long_poll_pending: bool,
    /// Whether a hold call that is answered immediately is in flight.
    is_poll_pending: bool,
    /// Whether the process is shutting down.
    is_leaving: bool,
    /// Whether the agent's data center is drained.
    is_drained: bool,
    /// Outdated orders that were not taken yet.
    outdated_orders: Vec<OutdatedOrder>,
    actions: Vec<Action>,
}

impl Supervisor {
    /// Creates a supervisor without an upstream. `fence` is its initial fencing token.
    pub fn new(policy: SupervisorPolicy, fence: u64) -> Self {
        let health = Health::new(policy.health.clone());
        let interference = policy.learns_interference.then(Interference::default);
        let (start_calls, stop_calls) = (policy.start_calls, policy.stop_calls);
        Self {
            start_window: CallWindow::new(start_calls.0, start_calls.1),
            stop_window: CallWindow::new(stop_calls.0, stop_calls.1),
            interference,
            policy,
            upstream: None,
            candidate: None,
            descriptions: Descriptions::default(),
            lives: 0,
            fence,
            fence_raised_at: None,
            orders: SlotMap::with_key(),
            by_task: BTreeMap::new(),
            waiting: BTreeSet::new(),
            links: Links::default(),
            claims: Claims::default(),
            health,
            orphans: BTreeMap::new(),
            ended_runs: BTreeMap::new(),
            is_long_poll_pending: false,
            is_poll_pending: false,
            is_leaving: false,
            is_drained: false,
            outdated_orders: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Takes the pending actions.
    pub fn take_actions(&mut self) -> Vec<Action> {
        debug_assert!(
            self.are_waiting_orders_listed(),
            "the list of waiting orders differs from their phases"
        );
        std::mem::take(&mut self.actions)
    }

    /// Returns the orders that are held, for status and tests.
    pub fn orders(&self) -> impl Iterator<Item = &Order> {
        self.orders.values()
    }

    /// Returns the resources reserved by the orders that are not waiting.
    pub fn reserved(&self) -> Amounts {
        let mut reserved = Amounts::default();
        for order in self.orders.values().filter(|order| order.holds_room()) {
            reserved += order.order.need;
        }
        reserved
    }

    /// Returns whether `waiting` has exactly the orders that hold no room.
    fn are_waiting_orders_listed(&self) -> bool {
        let waiting = |&(_, _, key): &(u32, Instant, OrderKey)| {
            let order = self.orders.get(key);
            order.is_some_and(|order| !order.holds_room())
        };
        let holding = self.orders.values().filter(|order| order.holds_room());
        self.waiting.iter().all(waiting)
            && self.waiting.len() + holding.count() == self.orders.len()
    }

    /// Returns whether no order is held and no orphaned run is known.
    pub fn is_idle(&self) -> bool {
        self.orders.is_empty() && self.orphans.is_empty()
    }

    /// Handles the notice that an upstream instance is leaving.
    pub fn upstream_left(&mut self, now: Instant, instance: &str) {
        match &mut self.upstream {
            Some(upstream) if upstream.instance.as_ref() == instance => {
                upstream.is_leaving = true;
                upstream.announcement.is_leaving = true;
            }
            _ => return,
        }
        self.return_waiting(now);
        self.links.state_changed();
    }

    /// Returns the upstream's last announcement if its lists confirm it, to be stored for the agent's next
    /// incarnation.
    pub fn confirmed_upstream(&self) -> Option<&Announcement> {
        let upstream = self.upstream.as_ref();
        let confirmed = upstream.filter(|upstream| upstream.is_confirmed());
        confirmed.map(|upstream| &upstream.announcement)
    }

    /// Returns the upstream's last announcement.
    pub fn upstream(&self) -> Option<&Announcement> {
        self.upstream
            .as_ref()
            .map(|upstream| &upstream.announcement)
    }

    /// Stops accepting work: waiting orders are returned, runs are finished.
    pub fn leave(&mut self, now: Instant) {
        self.is_leaving = true;
        self.return_waiting(now);
        self.links.state_changed();
    }

    /// Handles an order of the entry on a link.
    pub fn ordered(&mut self, now: Instant, link: LinkId, order: RunOrder) {
        let Some(owner) = self.links.owner(link) else {
            return;
        };
        if let Some(&known) = self.by_task.get(&order.task.task) {
            // A repeated order is ignored; another attempt is refused until this one has ended.
            if self.orders[known].order.task != order.task || self.orders[known].owner != owner {
                self.refuse(now, owner, order.task);
            }
            return;
        }
        let has_room = self.waiting.len() < self.waiting_limit(&order.need);
        // The frame was delayed for so long that the entry may have placed the task elsewhere.
        let is_stale = !self.links.is_fresh(now, owner);
        let is_outdated = self.is_outdated(&order);
        let can_run = self.accepts_work(now) && self.can_ever_fit(&order.need) && has_room;
        if is_stale || is_outdated || !can_run {
            self.note_refused(now, owner, &order);
            self.refuse(now, owner, order.task);
            return;
        }

        let due = match order.due_ms {
            ms if ms < 0 => now.checked_sub(Duration::from_millis(u64::from(ms.unsigned_abs()))),
            ms => now.checked_add(Duration::from_millis(u64::from(ms.unsigned_abs()))),
        };
        let due = due.unwrap_or(now);
        let class = order.class;
        let task = order.task.task.clone();
        let key = self.orders.insert(Order::new(now, owner, order, due));
        self.by_task.insert(task, key);
        self.waiting.insert((class, due, key));
        self.links.state_changed();
        self.start_waiting(now);
    }

    /// Handles an entry's cancellation of an attempt.
    pub fn cancelled(&mut self, now: Instant, link: LinkId, task: &TaskRef) {
        let Some(owner) = self.links.owner(link) else {
            return;
        };
        let Some(&key) = self.by_task.get(&task.task) else {
            return;
        };
        let order = &self.orders[key];
        if order.owner != owner || order.order.task != *task {
            return;
        }
        self.end_early(now, key, StopCause::Cancelled);
        self.start_waiting(now);
    }

    /// Returns the number of the present incarnation of the upstream, which calls to it carry.
    pub fn life(&self) -> Option<LifeNumber> {
        self.upstream.as_ref().map(|upstream| upstream.life)
    }

    /// Handles the answer to a start call to an incarnation of the upstream.
    pub fn start_answered(
        &mut self,
        now: Instant,
        key: OrderKey,
        life: LifeNumber,
        result: StartResult,
    ) {
        // After a pause of this process, the leases of a silent entry must not be renewed.
        self.stop_silent_owners(now);
        let is_answered = result != StartResult::NoAnswer;
        self.start_window.record(now, is_answered);
        if !self.orders.contains_key(key) {
            return;
        }
        let called = match self.orders[key].phase {
            Phase::Starting { sent, .. } => Some(sent),
            _ => None,
        };
        let is_present = self.life() == Some(life);
        let clock_ms = result.clock_ms().filter(|_| is_present);
        self.read_clock(now, called, clock_ms);
        let order = &mut self.orders[key];
        let Phase::Starting { run, .. } = order.phase else {
            // The run is being stopped, and its end will be read from the lists.
            if matches!(result, StartResult::Started { .. }) {
                order.started_at.get_or_insert(now);
            }
            return;
        };
        let ended = AllEnded::by_start(&result).filter(|_| is_present);
        let is_rule_enabled = self.policy.rules.stops_unanswered_starts;
        let end =
            End::refused(&result).or_else(|| End::assumed(is_rule_enabled, Outcome::NotStarted));
        match (result, end) {
            (StartResult::Started { .. }, _) => {
                order.phase = Phase::Running {
                    run,
                    since: now,
                    percent: 0,
                    progressed_at: now,
                };
                order.started_at = Some(now);
                self.run_began(now, key);
            }
            (_, None) => {
                if self.policy.rules.fences_unanswered_starts {
                    self.raise_fence(now, 1);
                }
                self.stop(now, key, StopCause::StartUnanswered);
            }
            (StartResult::OldRun { .. }, Some(end)) if order.retries < MAX_RETRIES => {
                order.retries += 1;
                let run = run + RUN_NUMBER_STEP;
                self.start(now, key, run, end);
            }
            (StartResult::OldFence { .. }, Some(end)) if order.retries < MAX_RETRIES => {
                order.retries += 1;
                self.fence_refused(now, called);
                self.start(now, key, run, end);
            }
            (StartResult::LateLease { .. }, Some(end)) if order.retries < MAX_RETRIES => {
                order.retries += 1;
                self.start(now, key, run, end);
            }
            (_, Some(end)) => self.finish(now, key, end),
        }
        if result == StartResult::Unhealthy {
            self.health.record_refusal(now);
            self.return_waiting_if_unusable(now);
        }
        if let Some(ended) = ended {
            self.upstream_replaced(now, ended);
        }
        self.hold(now, self.policy.hold_wait);
        self.start_waiting(now);
    }

    /// Handles the answer to a stop call to an incarnation of the upstream.
    pub fn stop_answered(
        &mut self,
        now: Instant,
        task: &TaskRef,
        life: LifeNumber,
        result: StopResult,
    ) {
        let is_answered = result != StopResult::Unsettled;
        self.stop_window.record(now, is_answered);
        // The present incarnation was sent stop calls of its own.
        if self.life() != Some(life) {
            return;
        }
        if let StopResult::Stopped { clock_ms } = result {
            self.read_clock(now, None, Some(clock_ms));
        }
        let key = self.by_task.get(&task.task).copied();
        if result == StopResult::OldFence {
            let called = key.and_then(|key| match self.orders[key].phase {
                Phase::Stopping { sent, .. } => Some(sent),
                _ => None,
            });
            self.fence_refused(now, called);
        }
        let Some(key) = key else {
            return;
        };
        let Phase::Stopping {
            acked, is_called, ..
        } = &mut self.orders[key].phase
        else {
            return;
        };
        *is_called = false;
        match result {
            StopResult::Stopped { .. } => {
                acked.get_or_insert(now);
                self.hold(now, Duration::ZERO);
            }
            // Retried after a pause, so that a refused connection is not retried in a busy loop.
            StopResult::OldFence | StopResult::Unsettled => {}
        }
        self.call_due_stops(now);
    }

    /// Handles the answer to a hold call to an incarnation of the upstream, which was sent at `sent` with a
    /// wait of `wait`; `None` if it did not answer.
    pub fn hold_answered(
        &mut self,
        now: Instant,
        sent: Instant,
        life: LifeNumber,
        wait: Duration,
        result: Option<HoldResult>,
    ) {
        self.stop_silent_owners(now);
        match wait.is_zero() {
            true => self.is_poll_pending = false,
            false => self.is_long_poll_pending = false,
        }
        // Neither the clock nor the lists nor the silence of an earlier incarnation say anything of the present
        // one, whose own hold call may have waited for this answer.
        if self.life() != Some(life) {
            self.hold(now, wait);
            return;
        }
        let Some(result) = result else {
            let upstream = self.upstream.as_mut();
            let is_silent = upstream.is_some_and(|upstream| {
                upstream.unanswered_holds += 1;
                upstream.unanswered_holds >= MAX_UNANSWERED_HOLDS
            });
            if is_silent {
                self.accept_candidate(now);
            }
            self.links.state_changed();
            self.return_waiting_if_unusable(now);
            // The next tick calls again, so that a refused connection is not retried in a busy
            // loop.
            return;
        };
        if let Some(ended) = AllEnded::by_hold(&result) {
            self.upstream_replaced(now, ended);
            self.accept_candidate(now);
            return;
        }
        match result {
            HoldResult::Lists { started_ms, .. } if self.start_listed(now, sent, started_ms) => {}
            HoldResult::OldFence => {
                self.fence_refused(now, Some(sent));
                self.hold(now, Duration::ZERO);
            }
            HoldResult::OtherInstance => {}
            // The upstream restarted under the same name, and has lost its earlier runs.
            HoldResult::Lists { started_ms, .. } if !self.is_same_start(started_ms) => {
                self.upstream_restarted(now, sent)
            }
            HoldResult::Lists {
                clock_ms,
                running,
                ended,
                ..
            } => {
                self.candidate = None;
                self.read_lists(now, sent, clock_ms, &running, &ended);
            }
        }
    }

    /// Handles timeouts, and starts waiting orders.
    pub fn tick(&mut self, now: Instant) {
        if let Some(upstream) = &mut self.upstream {
            upstream.clock.advance(now);
        }
        self.stop_silent_owners(now);
        self.call_due_stops(now);
        self.return_expired(now);
        self.settle_expired_leases(now);
        self.accept_candidate(now);
        self.stop_stalled(now);
        self.health
            .decay_idle_pace(now, self.reserved() == Amounts::default());
        self.drop_old_ends(now);
        self.note_warm_upstream(now);
        self.update_interference(now);
        self.settle_claims(now);
        self.hold(now, self.policy.hold_wait);
        self.start_waiting(now);
    }

    /// Reads the clock from the answer to a call that was made at `called`, if that is known.
    fn read_clock(&mut self, now: Instant, called: Option<Instant>, clock_ms: Option<u64>) {
        if let (Some(upstream), Some(clock_ms)) = (&mut self.upstream, clock_ms) {
            upstream.clock.read(now, called, clock_ms);
        }
    }

    fn capacity(&self) -> Amounts {
        self.upstream
            .as_ref()
            .map_or(Amounts::default(), |upstream| upstream.capacity)
    }

    fn free(&self) -> Amounts {
        self.capacity().saturating_sub(&self.reserved())
    }

    fn can_ever_fit(&self, need: &Amounts) -> bool {
        need.fits(&self.capacity())
    }

    /// Returns the maximum number of waiting orders, for orders with the requirements `need`.
    fn waiting_limit(&self, need: &Amounts) -> usize {
        let slots = self.capacity().cpu / need.cpu.max(1);
        let fitting = self.free().cpu / need.cpu.max(1);
        let extra = slots as usize * self.policy.waiting_percent / 100;
        (fitting as usize + extra.max(1)).min(self.policy.max_waiting)
    }

    fn accepts_work(&self, now: Instant) -> bool {
        let Some(upstream) = &self.upstream else {
            return false;
        };
        let since_announcement = now.saturating_duration_since(upstream.last_announced);
        !self.is_leaving
            && !self.is_drained
            && !upstream.is_leaving
            && upstream.replaced_at.is_none()
            && (upstream.are_runs_listed || !self.policy.rules.lists_runs_first)
            && upstream.unanswered_holds < MAX_UNANSWERED_HOLDS
            && since_announcement < self.policy.announcement_timeout
            && self.health.accepts_work(now)
    }
}

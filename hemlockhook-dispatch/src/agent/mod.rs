//! The agent's side: the only place where a task is started.
//!
//! A [`Supervisor`] keeps within its upstream's room, starts a task at most once at a time, and stops
//! what runs for an entry that is no longer heard of. What has an unknown fate keeps its room, and
//! its task is not started again, until the upstream's own lists settle it.

mod call;
mod due;
mod health;
mod links;
mod lists;
mod order;
mod policy;
mod runs;
mod upstream;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use slotmap::{SlotMap, new_key_type};

use crate::{Amounts, Outcome, RunNumber, TaskId, TaskRef};

pub use call::{
    Action, ActiveRun, EndedRun, HoldCall, HoldResult, RunOutcome, StartCall, StartResult,
    StopCall, StopResult,
};
pub use health::{Health, HealthPolicy};
pub use links::{LinkId, Report};
pub use order::{Order, Phase, RunOrder, StopCause};
pub use policy::{SafetyRules, SupervisorPolicy};
pub use upstream::{Announcement, UpstreamState};

use links::Links;
use upstream::Upstream;

new_key_type! {
    /// Identifies an order held by a supervisor.
    pub struct OrderKey;
}

/// Looks without an answer, in a row, after which an upstream takes no more work.
const MAX_UNANSWERED_HOLDS: u32 = 2;

/// Step by which a run number is raised that the upstream takes for an old one.
const RUN_STEP: RunNumber = 16;

/// Times that a start is tried again with a higher run number or fencing token.
const MAX_RETRIES: u32 = 6;

/// Decides what runs on one upstream.
#[derive(Debug)]
pub struct Supervisor {
    policy: SupervisorPolicy,
    upstream: Option<Upstream>,
    /// Fencing token of this life of the agent.
    fence: u64,
    orders: SlotMap<OrderKey, Order>,
    by_task: BTreeMap<TaskId, OrderKey>,
    /// Orders that wait for room: the lowest class first, in it the one due first.
    waiting: BTreeSet<(u32, Instant, OrderKey)>,
    /// What the orders hold that are not waiting.
    reserved: Amounts,
    links: Links,
    health: Health,
    /// Runs at the upstream that no order is known for, with the time of the last stop.
    orphans: BTreeMap<(TaskId, RunNumber), Instant>,
    /// Highest run number of tasks that ended here, and when.
    ended_runs: BTreeMap<TaskId, (RunNumber, Instant)>,
    /// Whether a look that waits for an end is under way.
    is_long_poll_pending: bool,
    /// Whether a look that is answered at once is under way.
    is_poll_pending: bool,
    /// Whether the process is stopping.
    is_leaving: bool,
    actions: Vec<Action>,
}

impl Supervisor {
    /// Creates a supervisor without an upstream. `fence` is the first fencing token that it tries.
    pub fn new(policy: SupervisorPolicy, fence: u64) -> Self {
        let health = Health::new(policy.health.clone());
        Self {
            policy,
            upstream: None,
            fence,
            orders: SlotMap::with_key(),
            by_task: BTreeMap::new(),
            waiting: BTreeSet::new(),
            reserved: Amounts::default(),
            links: Links::default(),
            health,
            orphans: BTreeMap::new(),
            ended_runs: BTreeMap::new(),
            is_long_poll_pending: false,
            is_poll_pending: false,
            is_leaving: false,
            actions: Vec::new(),
        }
    }

    /// Returns what is to be done, and forgets it.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the orders held, for status and tests.
    pub fn orders(&self) -> impl Iterator<Item = &Order> {
        self.orders.values()
    }

    /// Returns what the orders that are not waiting hold.
    pub fn reserved(&self) -> Amounts {
        self.reserved
    }

    /// Returns whether nothing runs here and nothing is to be told.
    pub fn is_idle(&self) -> bool {
        self.orders.is_empty() && self.orphans.is_empty()
    }

    /// Takes an upstream's announcement of itself. Returns false if it names no upstream to use.
    pub fn announced(&mut self, now: Instant, said: Announcement) -> bool {
        match &mut self.upstream {
            Some(upstream) if upstream.is_same_life(&said) => upstream.refresh(now, said),
            Some(upstream) if !upstream.is_replaced_by(now, &said) => return false,
            _ => self.adopt(now, said),
        }
        self.links.state_changed();
        self.pump(now);
        true
    }

    /// Takes the news that the upstream has ended.
    pub fn upstream_left(&mut self, now: Instant, instance: &str) {
        match &mut self.upstream {
            Some(upstream) if upstream.instance.as_ref() == instance => upstream.is_leaving = true,
            _ => return,
        }
        self.return_waiting(now);
        self.links.state_changed();
    }

    /// Returns what the upstream last said of itself, for the next life of the agent.
    pub fn upstream(&self) -> Option<&Announcement> {
        self.upstream.as_ref().map(|upstream| &upstream.said)
    }

    /// Stops taking work: what waits goes back, what runs is finished.
    pub fn leave(&mut self, now: Instant) {
        self.is_leaving = true;
        self.return_waiting(now);
        self.links.state_changed();
    }

    /// Takes over another life of the upstream. What ran in the one before has ended with it, but
    /// one of the same name may have taken calls that were meant for the one before.
    fn adopt(&mut self, now: Instant, said: Announcement) {
        let old = self.upstream.as_ref().map(|old| old.instance.clone());
        let is_same_name = old.is_some_and(|old| old == said.instance);
        self.return_waiting(now);
        if !is_same_name {
            self.end_all(now);
        }
        self.orphans.clear();
        self.ended_runs.clear();
        self.health = Health::new(self.policy.health.clone());
        // A life under the same name must not take the late calls that were meant for the one before.
        self.fence += 1;
        self.upstream = Some(Upstream::new(now, said));
        for key in self.orders.keys().collect::<Vec<_>>() {
            self.stop(now, key, StopCause::Restarted);
        }
        self.hold(now, Duration::ZERO);
    }

    /// Takes an order of the entry on a link.
    pub fn ordered(&mut self, now: Instant, link: LinkId, order: RunOrder) {
        let Some(owner) = self.links.owner(link) else {
            return;
        };
        if let Some(&known) = self.by_task.get(&order.task.task) {
            // The same attempt again is no news; another one waits until this one is settled.
            if self.orders[known].order.task != order.task || self.orders[known].owner != owner {
                self.refuse(now, owner, order.task);
            }
            return;
        }
        let has_room = self.waiting.len() < self.waiting_limit(&order.need);
        // The frame was held up so long that the entry may have given the order to another agent.
        let is_stale = !self.links.is_fresh(now, owner);
        if is_stale || !self.takes_work(now) || !self.can_ever_fit(&order.need) || !has_room {
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
        self.pump(now);
    }

    /// Takes an entry's word that it no longer wants an attempt.
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
        self.pump(now);
    }

    /// Takes the upstream's answer to a start, which was sent at `sent`.
    pub fn start_answered(&mut self, now: Instant, key: OrderKey, result: StartResult) {
        if !self.orders.contains_key(key) {
            return;
        }
        self.read_clock(now, result.clock_ms());
        let order = &mut self.orders[key];
        let Phase::Starting { run, .. } = order.phase else {
            // It is being stopped, and the lists tell its end.
            return;
        };
        match result {
            StartResult::Started { .. } => {
                order.phase = Phase::Running {
                    run,
                    since: now,
                    percent: 0,
                    progressed_at: now,
                };
                order.started_at = Some(now);
            }
            StartResult::NoAnswer if self.policy.rules.stops_unanswered_starts => {
                self.stop(now, key, StopCause::Unknown);
            }
            StartResult::OldRun { .. } if order.retries < MAX_RETRIES => {
                order.retries += 1;
                let run = run + RUN_STEP;
                self.start(now, key, run);
            }
            StartResult::OldFence { .. } if order.retries < MAX_RETRIES => {
                order.retries += 1;
                self.raise_fence();
                self.start(now, key, run);
            }
            StartResult::LateLease { .. } if order.retries < MAX_RETRIES => {
                order.retries += 1;
                self.start(now, key, run);
            }
            StartResult::OtherInstance => {
                self.finish(now, key, Outcome::NotStarted);
                self.upstream_gone(now);
            }
            StartResult::Unhealthy => {
                self.health.record_refusal(now);
                self.finish(now, key, Outcome::NotStarted);
                self.return_waiting_if_unsound(now);
            }
            StartResult::OldRun { .. }
            | StartResult::OldFence { .. }
            | StartResult::LateLease { .. }
            | StartResult::NoRoom { .. }
            | StartResult::NoAnswer
            | StartResult::Refused => self.finish(now, key, Outcome::NotStarted),
        }
        self.hold(now, self.policy.hold_wait);
        self.pump(now);
    }

    /// Takes the upstream's answer to a stop.
    pub fn stop_answered(&mut self, now: Instant, task: &TaskRef, result: StopResult) {
        if let StopResult::Stopped { clock_ms } = result {
            self.read_clock(now, Some(clock_ms));
        }
        if result == StopResult::OldFence {
            self.raise_fence();
        }
        let Some(&key) = self.by_task.get(&task.task) else {
            return;
        };
        let Phase::Stopping { acked, .. } = &mut self.orders[key].phase else {
            return;
        };
        match result {
            StopResult::Stopped { .. } => {
                acked.get_or_insert(now);
                self.hold(now, Duration::ZERO);
            }
            // A refused connection must not be tried without a pause: the next tick stops it again.
            StopResult::OldFence | StopResult::Unsettled => {}
        }
    }

    /// Takes the upstream's lists, which were asked for at `sent` with a wait of `wait`; `None` if it
    /// did not answer.
    pub fn hold_answered(
        &mut self,
        now: Instant,
        sent: Instant,
        wait: Duration,
        result: Option<HoldResult>,
    ) {
        match wait.is_zero() {
            true => self.is_poll_pending = false,
            false => self.is_long_poll_pending = false,
        }
        let Some(result) = result else {
            if let Some(upstream) = &mut self.upstream {
                upstream.unanswered_holds += 1;
            }
            self.links.state_changed();
            self.return_waiting_if_unsound(now);
            // The next tick asks again: a refused connection must not be tried without a pause.
            return;
        };
        match result {
            HoldResult::OldFence => {
                self.raise_fence();
                self.hold(now, Duration::ZERO);
            }
            HoldResult::OtherInstance => self.upstream_gone(now),
            // The same name, in another life: nothing is left of the one before.
            HoldResult::Lists { born_ms, .. } if !self.is_born_at(born_ms) => {
                self.upstream_reborn(now)
            }
            HoldResult::Lists {
                clock_ms,
                running,
                ended,
                ..
            } => self.read_lists(now, sent, clock_ms, &running, &ended),
        }
    }

    /// Does what has come due.
    pub fn tick(&mut self, now: Instant) {
        self.stop_silent_owners(now);
        self.retry_stops(now);
        self.return_expired(now);
        self.settle_lapsed(now);
        self.stop_stalled(now);
        self.health
            .decay_idle_pace(now, self.reserved == Amounts::default());
        self.forget(now);
        self.hold(now, self.policy.hold_wait);
        self.pump(now);
    }

    fn read_clock(&mut self, now: Instant, clock_ms: Option<u64>) {
        if let (Some(upstream), Some(clock_ms)) = (&mut self.upstream, clock_ms) {
            upstream.read_clock(now, clock_ms);
        }
    }

    fn capacity(&self) -> Amounts {
        self.upstream
            .as_ref()
            .map_or(Amounts::default(), |upstream| upstream.capacity)
    }

    fn free(&self) -> Amounts {
        self.capacity().saturating_sub(&self.reserved)
    }

    fn can_ever_fit(&self, need: &Amounts) -> bool {
        need.fits(&self.capacity())
    }

    /// Returns how many orders may wait, for those that need as much as `need`.
    fn waiting_limit(&self, need: &Amounts) -> usize {
        let slots = self.capacity().cpu / need.cpu.max(1);
        let fitting = self.free().cpu / need.cpu.max(1);
        let extra = slots as usize * self.policy.waiting_percent / 100;
        fitting as usize + extra.max(1)
    }

    fn takes_work(&self, now: Instant) -> bool {
        let Some(upstream) = &self.upstream else {
            return false;
        };
        let silence = now.saturating_duration_since(upstream.last_announced);
        !self.is_leaving
            && !upstream.is_leaving
            && !upstream.is_outdated
            && (upstream.is_listed || !self.policy.rules.lists_runs_first)
            && upstream.unanswered_holds < MAX_UNANSWERED_HOLDS
            && silence < self.policy.announcement_timeout
            && self.health.is_open(now)
    }
}

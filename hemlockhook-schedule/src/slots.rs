//! Distributes the slots of one upstream to the entries as grants.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hemlockhook_types::Incarnation;

use crate::demand::URGENCY_OFFSET_MS;
use crate::spec::Demand;

/// Time after which a recall is repeated if the grants were neither returned nor used.
const RECALL_TIMEOUT: Duration = Duration::from_millis(50);

/// Minimum age of a grant before it is recalled: until then it may still be on its way to the
/// entry, or its start on the way back.
const MIN_RECALL_AGE: Duration = Duration::from_millis(60);

/// Minimum time by which the backlog of another entry must be due earlier for a freed slot to go to
/// that entry. A grant to the entry that used the slot last needs no message of its own.
const SWITCH_MARGIN_MS: u64 = 300;

/// Assumed time until the backlog of an entry that reported none is due.
const DEFAULT_SLACK_MS: u64 = 1000;

/// Message that an agent must send to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotAction {
    /// Grants the entry this many further starts.
    Grant {
        /// Incarnation of the entry that receives the grants.
        entry: Incarnation,
        /// Number of starts.
        count: u32,
    },
    /// Asks the entry to return unused grants.
    Recall {
        /// Incarnation of the entry that holds the grants.
        entry: Incarnation,
        /// Number of grants.
        count: u32,
    },
}

impl SlotAction {
    /// Returns the entry that the message is for.
    pub fn entry(&self) -> Incarnation {
        match self {
            Self::Grant { entry, .. } | Self::Recall { entry, .. } => *entry,
        }
    }
}

/// The slots of one upstream: each is idle, granted to an entry, or running a task.
#[derive(Debug)]
pub struct SlotTable {
    slots: u32,
    running: u32,
    running_long: u32,
    leaving: bool,
    epoch: Option<Instant>,
    /// When the first grants that other entries lack become old enough to be recalled.
    recall_at: Option<Instant>,
    entries: BTreeMap<Incarnation, EntryState>,
    actions: Vec<SlotAction>,
}

/// State of one entry.
#[derive(Debug, Default)]
struct EntryState {
    /// Grants held by the entry or on their way to it.
    grants: u32,
    /// Grants among them that were recalled and not returned yet.
    recalling: u32,
    recalled_at: Option<Instant>,
    /// When the entry was last given a grant.
    granted_at: Option<Instant>,
    /// Reported demand, less the grants given since.
    demand: Demand,
    /// When the first task of the demand is due, in milliseconds since the table's first event.
    head_due_ms: u64,
}

impl SlotTable {
    /// Creates the table of an upstream that runs up to `slots` tasks at once.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            running: 0,
            running_long: 0,
            leaving: false,
            epoch: None,
            recall_at: None,
            entries: BTreeMap::new(),
            actions: Vec::new(),
        }
    }

    /// Changes the number of slots. Tasks on slots that are removed run to completion.
    pub fn set_slots(&mut self, now: Instant, slots: u32) {
        self.slots = slots;
        self.distribute(now);
    }

    /// Adds a newly linked entry; it holds no grants.
    pub fn add_entry(&mut self, now: Instant, entry: Incarnation) {
        self.entries.insert(entry, EntryState::default());
        self.distribute(now);
    }

    /// Removes an entry whose link is lost, and frees its grants.
    pub fn remove_entry(&mut self, now: Instant, entry: Incarnation) {
        self.entries.remove(&entry);
        self.actions.retain(|action| action.entry() != entry);
        self.distribute(now);
    }

    /// Records the demand that an entry reports.
    pub fn set_demand(&mut self, now: Instant, entry: Incarnation, demand: Demand) {
        let due_ms = self
            .millis_since_epoch(now)
            .saturating_add(demand.head_urgency);
        if let Some(state) = self.entries.get_mut(&entry) {
            state.demand = demand;
            state.head_due_ms = due_ms;
        }
        self.grant_idle_slots(now, None);
    }

    /// Frees grants that an entry returned unused.
    pub fn return_grants(&mut self, now: Instant, entry: Incarnation, count: u32) {
        if let Some(state) = self.entries.get_mut(&entry) {
            state.grants = state.grants.saturating_sub(count);
            state.recalling = state.recalling.saturating_sub(count);
        }
        self.grant_idle_slots(now, None);
    }

    /// Uses up a grant of an entry for a task that starts. Returns false if the entry holds none,
    /// in which case the start must be refused.
    pub fn use_grant(&mut self, _now: Instant, entry: Incarnation, long: bool) -> bool {
        let Some(state) = self
            .entries
            .get_mut(&entry)
            .filter(|state| state.grants > 0)
        else {
            return false;
        };
        state.grants -= 1;
        state.recalling = state.recalling.min(state.grants);
        self.running += 1;
        self.running_long += u32::from(long);
        true
    }

    /// Frees the slot of a task that ended.
    pub fn release_slot(&mut self, now: Instant, long: bool) {
        self.release(now, None, long);
    }

    /// Frees the slot of a task that ended and whose result goes to `entry`. A grant to this entry
    /// is sent along with the result and needs no message of its own, so the entry is preferred
    /// over others whose backlog is about as urgent.
    pub fn release_slot_for(&mut self, now: Instant, entry: Incarnation, long: bool) {
        self.release(now, Some(entry), long);
    }

    /// Sets whether the upstream is leaving. A leaving upstream gives no grants.
    pub fn set_leaving(&mut self, now: Instant, leaving: bool) {
        self.leaving = leaving;
        self.distribute(now);
    }

    /// Returns the messages to send since the last call.
    pub fn take_actions(&mut self, now: Instant) -> Vec<SlotAction> {
        self.grant_idle_slots(now, None);
        std::mem::take(&mut self.actions)
    }

    /// Returns when `take_actions` must be called next, if no event comes first.
    pub fn next_wakeup(&self) -> Option<Instant> {
        // A leaving upstream gives and recalls no grants, so nothing becomes due.
        if self.leaving {
            return None;
        }
        let recalls = self.entries.values().filter(|state| state.recalling > 0);
        let repeat = recalls.filter_map(|state| state.recalled_at).min();
        let repeat = repeat.map(|at| at + RECALL_TIMEOUT);
        [repeat, self.recall_at].into_iter().flatten().min()
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of running tasks that count as long.
    pub fn running_long(&self) -> u32 {
        self.running_long
    }

    /// Returns the unused grants that an entry holds or that are on their way to it.
    pub fn outstanding_grants(&self, entry: Incarnation) -> u32 {
        self.entries.get(&entry).map_or(0, |state| state.grants)
    }

    fn release(&mut self, now: Instant, entry: Option<Incarnation>, long: bool) {
        assert!(
            self.running > 0,
            "a slot was released while no task was running"
        );
        self.running -= 1;
        self.running_long = self.running_long.saturating_sub(u32::from(long));
        self.grant_idle_slots(now, entry);
    }

    fn idle_slots(&self) -> u32 {
        let granted: u32 = self.entries.values().map(|state| state.grants).sum();
        self.slots.saturating_sub(self.running + granted)
    }

    /// Grants idle slots to entries with demand, then recalls grants that are not used.
    fn grant_idle_slots(&mut self, now: Instant, preferred: Option<Incarnation>) {
        if self.leaving {
            return;
        }
        let now_ms = self.millis_since_epoch(now);
        let known = preferred.filter(|entry| self.entries.contains_key(entry));
        while self.idle_slots() > 0 {
            let Some(entry) = self.most_urgent_entry(now_ms, known) else {
                break;
            };
            self.grant(now, entry);
        }
        self.recall(now);
    }

    /// Grants idle slots to entries with demand, and the rest evenly to all entries, so that the
    /// next task of each can start at once.
    fn distribute(&mut self, now: Instant) {
        self.grant_idle_slots(now, None);
        while self.idle_slots() > 0 && !self.leaving {
            let Some(entry) = self.entry_with_fewest_grants() else {
                break;
            };
            self.grant(now, entry);
        }
    }

    /// Returns the entry with the most urgent demand. The preferred entry is passed over only if
    /// the demand of another is due much earlier, since a grant to another entry needs a message of
    /// its own. The preferred entry is considered even if it reported no demand: an entry does not
    /// report to an agent what it reported to others, and this entry was the last to use the slot.
    fn most_urgent_entry(
        &self,
        now_ms: u64,
        preferred: Option<Incarnation>,
    ) -> Option<Incarnation> {
        let is_preferred = |entry: &Incarnation| Some(*entry) == preferred;
        let entries = self.entries.iter();
        let wanting = entries.filter(|(e, state)| state.demand.queued > 0 || is_preferred(e));
        let due = |(entry, state): &(&Incarnation, &EntryState)| match is_preferred(entry) {
            true if state.demand.queued == 0 => {
                (now_ms + URGENCY_OFFSET_MS + DEFAULT_SLACK_MS, false)
            }
            true => (state.head_due_ms, false),
            false => (state.head_due_ms.saturating_add(SWITCH_MARGIN_MS), true),
        };
        wanting.min_by_key(due).map(|(entry, _)| *entry)
    }

    fn millis_since_epoch(&mut self, now: Instant) -> u64 {
        let epoch = *self.epoch.get_or_insert(now);
        now.saturating_duration_since(epoch).as_millis() as u64
    }

    fn entry_with_fewest_grants(&self) -> Option<Incarnation> {
        self.entries
            .iter()
            .min_by_key(|(_, s)| s.grants)
            .map(|(entry, _)| *entry)
    }

    fn grant(&mut self, now: Instant, entry: Incarnation) {
        let state = self
            .entries
            .get_mut(&entry)
            .expect("the entry was just found");
        state.grants += 1;
        state.granted_at = Some(now);
        state.demand.queued = state.demand.queued.saturating_sub(1);
        let last = self.actions.iter_mut().find_map(|action| match action {
            SlotAction::Grant { entry: to, count } if *to == entry => Some(count),
            _ => None,
        });
        match last {
            Some(count) => *count += 1,
            None => self.actions.push(SlotAction::Grant { entry, count: 1 }),
        }
    }

    /// Recalls grants that entries have not used for a while, as many as other entries lack.
    fn recall(&mut self, now: Instant) {
        self.recall_at = None;
        for state in self.entries.values_mut() {
            state.recalling = state.pending_recalls(now);
        }
        let wanted: u32 = self.entries.values().map(|state| state.demand.queued).sum();
        let expected: u32 = self.entries.values().map(|state| state.recalling).sum();
        let mut missing = wanted.saturating_sub(expected);
        for (entry, state) in &mut self.entries {
            let recallable_at = state
                .granted_at
                .map(|at| at + MIN_RECALL_AGE)
                .filter(|at| *at > now);
            let others = wanted - state.demand.queued.min(wanted);
            let count = (state.grants - state.recalling).min(missing).min(others);
            match recallable_at {
                _ if count == 0 => continue,
                Some(at) => self.recall_at = Some(self.recall_at.map_or(at, |first| first.min(at))),
                None => {
                    state.record_recall(now, count);
                    self.actions.push(SlotAction::Recall {
                        entry: *entry,
                        count,
                    });
                }
            }
            missing -= count;
        }
    }
}

impl EntryState {
    /// Returns the recalled grants that may still be returned.
    fn pending_recalls(&self, now: Instant) -> u32 {
        let recalled = self.recalled_at.filter(|at| now < *at + RECALL_TIMEOUT);
        recalled.map_or(0, |_| self.recalling)
    }

    fn record_recall(&mut self, now: Instant, count: u32) {
        self.recalling += count;
        // An entry that still had the demand it reported would have used the grants.
        self.demand.queued = 0;
        self.recalled_at = Some(now);
    }
}

//! The state of agents as known to an entry.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use slotmap::new_key_type;
use strum::IntoStaticStr;

use crate::agent::{PairSlowdown, TaskKind, UpstreamState};
use crate::entry::JobKey;
use crate::{Amounts, AttemptEnd, HeldAttempts, Incarnation};

/// Maximum number of orders to an agent that it has not acknowledged. It bounds the cost of
/// [`Agent::free`]. An agent acknowledges orders with each report.
const MAX_UNACKNOWLEDGED: usize = 64;

/// Maximum size of the payloads of these orders before the last one, in bytes. It bounds the memory of
/// their copies in frames.
const MAX_UNACKNOWLEDGED_BYTES: usize = 64 * 1024;

/// Time within which an agent has read the lists of an upstream that has announced itself, so that it accepts
/// work. Two hold calls that are not answered take 80 ms.
const NEW_UPSTREAM_TIME: Duration = Duration::from_millis(100);

new_key_type! {
    /// Identifies an agent known to an entry.
    pub struct AgentKey;
}

/// What an agent states about itself when it opens a link.
#[derive(Clone, Debug)]
pub struct AgentHello {
    /// Name of the agent's instance.
    pub name: Arc<str>,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Data center of the agent.
    pub data_center: Arc<str>,
    /// When the hello was sent, by the agent's clock.
    pub sent_ms: u64,
}

/// Reason for which a link of an agent is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LinkRefusal {
    /// The agent has sent a later hello: it has given up the connection of this one, which was
    /// delayed or lay in the socket while this process stood still.
    Outdated,
    /// An agent of another name has the same incarnation. What one of the two holds would be taken
    /// for what the other has lost.
    DuplicateIncarnation,
}

/// A report of an agent.
#[derive(Clone, Debug)]
pub struct AgentReport {
    /// Sequence number of the entry's last frame that `state` accounts for.
    pub orders_seen: u64,
    /// State of the upstream, if it changed.
    pub state: Option<UpstreamState>,
    /// Attempts that have ended.
    pub ends: Vec<AttemptEnd>,
    /// What the agent holds for this entry; set in the first report of a link.
    pub held: Option<HeldAttempts>,
}

/// An order that was sent to an agent.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentOrder {
    /// Sequence number of its frame.
    pub(super) seq: u64,
    pub(super) need: Amounts,
    pub(super) kind: TaskKind,
    /// Size of its payload, in bytes.
    pub(super) payload: usize,
}

/// An agent and its upstream.
#[derive(Debug)]
pub(super) struct Agent {
    pub(super) name: Arc<str>,
    pub(super) incarnation: Incarnation,
    pub(super) data_center: Arc<str>,
    /// When the hello of its last link was sent, by the agent's clock.
    pub(super) hello_ms: u64,
    pub(super) is_linked: bool,
    /// Whether its data center is drained.
    pub(super) is_drained: bool,
    /// Time of the last report.
    pub(super) last_report: Instant,
    /// Whether the first report on its link, which lists what it holds, has yet to arrive.
    pub(super) awaits_first_report: bool,
    /// The upstream's state by a report on the current link.
    pub(super) state: Option<UpstreamState>,
    /// Sequence number of the last frame that was sent before `state` had its present description; 0 if it is
    /// the first one on the link.
    pub(super) described_after: u64,
    /// When the present description was first reported.
    pub(super) described_at: Option<Instant>,
    /// Orders that `state` does not account for yet.
    pub(super) unacknowledged: VecDeque<SentOrder>,
    /// Demand that was last sent on the link, in thousandths of a core.
    pub(super) sent_demand: Option<u32>,
    /// Slowdowns of pairs of kinds that it has learned.
    pub(super) pairs: Vec<PairSlowdown>,
    /// Sequence number of the last frame sent, on any link.
    pub(super) seq: u64,
    /// Attempts of this entry at the agent, as job, step and task, with the sequence numbers of the
    /// frames that carried the orders.
    pub(super) placed: BTreeMap<(JobKey, u32, u32), u64>,
    /// No order is sent until then, since the agent has returned one unstarted.
    pub(super) pause_until: Option<Instant>,
    /// Whether it has left a claim unanswered since its last report.
    pub(super) is_claim_unanswered: bool,
    /// When the state was last requested of the agent.
    pub(super) woken_at: Option<Instant>,
}

impl Agent {
    pub(super) fn new(now: Instant, hello: AgentHello) -> Self {
        Self {
            name: hello.name,
            incarnation: hello.incarnation,
            data_center: hello.data_center,
            hello_ms: hello.sent_ms,
            is_linked: true,
            is_drained: false,
            last_report: now,
            awaits_first_report: true,
            state: None,
            described_after: 0,
            described_at: None,
            unacknowledged: VecDeque::new(),
            sent_demand: None,
            pairs: Vec::new(),
            seq: 0,
            placed: BTreeMap::new(),
            pause_until: None,
            is_claim_unanswered: false,
            woken_at: None,
        }
    }

    /// Replaces the upstream's state by a reported one.
    pub(super) fn set_state(&mut self, now: Instant, mut state: UpstreamState) {
        if let Some(pairs) = state.pairs.take() {
            self.pairs = pairs;
        }
        let old = self.state.as_ref().map(|old| old.description);
        if old != Some(state.description) {
            self.described_at = Some(now);
        }
        if old.is_some_and(|old| old != state.description) {
            self.described_after = self.seq;
        }
        self.state = Some(state).filter(|state| !state.is_absent());
    }

    /// Returns the upstream's state if the agent accepts work, even if it has no free capacity now.
    pub(super) fn usable(&self, now: Instant, timeout: Duration) -> Option<&UpstreamState> {
        let is_fresh = now.saturating_duration_since(self.last_report) < timeout;
        let state = self.state.as_ref()?;
        (self.is_linked && is_fresh && state.is_usable && !self.is_drained).then_some(state)
    }

    /// Returns the upstream's state if the upstream may accept work soon: also that of an agent that stands by
    /// or has lost its link, and that of an upstream whose lists its agent has yet to read.
    pub(super) fn live_state(&self, now: Instant) -> Option<&UpstreamState> {
        let state = self.state.as_ref()?;
        let is_new = self
            .described_at
            .is_some_and(|at| now.saturating_duration_since(at) < NEW_UPSTREAM_TIME);
        ((state.is_usable || is_new) && !self.is_drained).then_some(state)
    }

    /// Returns whether the agent is linked and about to report its state.
    pub(super) fn is_about_to_report(&self, now: Instant, timeout: Duration) -> bool {
        let is_fresh = now.saturating_duration_since(self.last_report) < timeout;
        self.is_linked && is_fresh && self.awaits_first_report && !self.is_drained
    }

    /// Returns whether the agent is linked and stands by: it reports rarely, so that its state is too
    /// old to be used.
    pub(super) fn is_standing_by(&self, now: Instant, timeout: Duration) -> bool {
        self.is_linked && now.saturating_duration_since(self.last_report) >= timeout
    }

    /// Returns whether orders to the agent are paused because it returned one unstarted.
    pub(super) fn is_paused(&self, now: Instant) -> bool {
        self.pause_until.is_some_and(|until| until > now)
    }

    /// Returns whether the agent has to acknowledge orders before it is sent further ones.
    pub(super) fn is_window_full(&self) -> bool {
        let payloads = self.unacknowledged.iter().map(|order| order.payload);
        self.unacknowledged.len() >= MAX_UNACKNOWLEDGED
            || payloads.sum::<usize>() >= MAX_UNACKNOWLEDGED_BYTES
    }

    /// Returns the last known free capacity of the upstream, minus the orders in flight.
    pub(super) fn free(&self) -> Amounts {
        let Some(state) = &self.state else {
            return Amounts::default();
        };
        let mut free = state.free;
        for SentOrder { need, .. } in &self.unacknowledged {
            free = free.saturating_sub(need);
        }
        free
    }

    /// Returns how many tasks of each kind run at the upstream, with the orders in flight.
    pub(super) fn running(&self) -> BTreeMap<TaskKind, u32> {
        let mut running = match &self.state {
            Some(state) => state.running.clone(),
            None => BTreeMap::new(),
        };
        for order in self.unacknowledged.iter().filter(|order| order.kind != 0) {
            *running.entry(order.kind).or_default() += 1;
        }
        running
    }

    /// Estimates how many orders are queued at the agent.
    pub(super) fn waiting(&self) -> usize {
        let Some(state) = &self.state else {
            return 0;
        };
        // Orders in flight that exceed the free capacity will be queued.
        let mut free = state.free;
        let mut waiting = state.waiting as usize;
        for SentOrder { need, .. } in &self.unacknowledged {
            match need.fits(&free) {
                true => free = free.saturating_sub(need),
                false => waiting += 1,
            }
        }
        waiting
    }

    pub(super) fn acknowledge_orders(&mut self, seq: u64) {
        while self
            .unacknowledged
            .front()
            .is_some_and(|order| order.seq <= seq)
        {
            self.unacknowledged.pop_front();
        }
    }
}

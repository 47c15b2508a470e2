//! What an entry knows of the agents that are linked with it.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use slotmap::new_key_type;

use crate::agent::UpstreamState;
use crate::entry::JobKey;
use crate::{Amounts, AttemptEnd, Incarnation, TaskRef};

new_key_type! {
    /// Identifies an agent that an entry knows.
    pub struct AgentKey;
}

/// What an agent reported.
#[derive(Clone, Debug)]
pub struct AgentReport {
    /// Number of the entry's last frame that `state` accounts for.
    pub orders_seen: u64,
    /// The upstream's state, if it changed.
    pub state: Option<UpstreamState>,
    /// Attempts that ended.
    pub ends: Vec<AttemptEnd>,
    /// On the first report of a link: what the agent holds for this entry.
    pub held: Option<Vec<TaskRef>>,
}

/// An agent and its upstream.
#[derive(Debug)]
pub(super) struct Agent {
    pub(super) incarnation: Incarnation,
    pub(super) data_center: Arc<str>,
    pub(super) is_linked: bool,
    /// When the last report was received.
    pub(super) last_report: Instant,
    pub(super) state: Option<UpstreamState>,
    /// Orders that the state does not account for yet: number of the frame, and what each needs.
    pub(super) unseen: VecDeque<(u64, Amounts)>,
    /// Number of the last frame sent.
    pub(super) seq: u64,
    /// This entry's attempts there.
    pub(super) placed: BTreeSet<(JobKey, u32, u32)>,
    /// Attempts of before the present link, until the agent says whether it holds them.
    pub(super) unsettled: BTreeSet<(JobKey, u32, u32)>,
    /// No order is sent before: it has refused one for want of room.
    pub(super) pause_until: Option<Instant>,
}

impl Agent {
    pub(super) fn new(now: Instant, incarnation: Incarnation, data_center: Arc<str>) -> Self {
        Self {
            incarnation,
            data_center,
            is_linked: true,
            last_report: now,
            state: None,
            unseen: VecDeque::new(),
            seq: 0,
            placed: BTreeSet::new(),
            unsettled: BTreeSet::new(),
            pause_until: None,
        }
    }

    /// Returns the upstream's state if it takes work, be it that it has no room at the moment.
    pub(super) fn usable(&self, now: Instant, silence: Duration) -> Option<&UpstreamState> {
        let is_fresh = now.saturating_duration_since(self.last_report) < silence;
        let state = self.state.as_ref()?;
        (self.is_linked && is_fresh && state.is_usable).then_some(state)
    }

    /// Returns whether no order is sent there for a moment, since one was refused for want of room.
    pub(super) fn is_paused(&self, now: Instant) -> bool {
        self.pause_until.is_some_and(|until| until > now)
    }

    /// Returns the upstream's room as far as it is known, less the orders under way.
    pub(super) fn free(&self) -> Amounts {
        let Some(state) = &self.state else {
            return Amounts::default();
        };
        let mut free = state.free;
        for (_, need) in &self.unseen {
            free = free.saturating_sub(need);
        }
        free
    }

    /// Returns how many orders wait there, about.
    pub(super) fn waiting(&self) -> usize {
        let Some(state) = &self.state else {
            return 0;
        };
        // Orders under way beyond the room will wait.
        let mut free = state.free;
        let mut waiting = state.waiting as usize;
        for (_, need) in &self.unseen {
            match need.fits(&free) {
                true => free = free.saturating_sub(need),
                false => waiting += 1,
            }
        }
        waiting
    }

    pub(super) fn saw(&mut self, seq: u64) {
        while self.unseen.front().is_some_and(|&(sent, _)| sent <= seq) {
            self.unseen.pop_front();
        }
    }
}

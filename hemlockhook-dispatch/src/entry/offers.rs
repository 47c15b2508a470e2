//! Resource offers of the agents during one placement round.
//!
//! At peak load many jobs wait for many agents. Each report of an agent starts a round, so the cost
//! of a round must not grow with the product of jobs and agents.

use std::sync::Arc;
use std::time::{Duration, Instant};

use slotmap::SlotMap;

use crate::Amounts;
use crate::entry::AgentKey;
use crate::entry::agents::Agent;

/// The offers of the agents that accept work, and the requirements known to fit none of them.
///
/// Free capacity only shrinks during a round, so requirements that fit no agent are not tried
/// again.
#[derive(Debug, Default)]
pub(super) struct Offers {
    offers: Vec<Offer>,
    full: Vec<(Arc<str>, Amounts)>,
}

/// Resource offer of an agent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Offer {
    pub(super) key: AgentKey,
    /// Free capacity of its upstream, minus the orders in flight.
    pub(super) free: Amounts,
    /// Number of orders that are queued at the agent.
    pub(super) waiting: usize,
}

impl Offers {
    pub(super) fn new(agents: &SlotMap<AgentKey, Agent>, now: Instant, timeout: Duration) -> Self {
        let offer = |(key, agent): (AgentKey, &Agent)| {
            agent.usable(now, timeout)?;
            let is_open = !agent.is_paused(now) && !agent.is_window_full();
            is_open.then(|| Offer::new(key, agent))
        };
        Self {
            offers: agents.iter().filter_map(offer).collect(),
            full: Vec::new(),
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Offer> {
        self.offers.iter()
    }

    /// Updates the offer of an agent to which an order was just sent.
    pub(super) fn ordered(&mut self, key: AgentKey, agent: &Agent) {
        let index = self.offers.iter().position(|offer| offer.key == key);
        match index {
            Some(index) if agent.is_window_full() => _ = self.offers.remove(index),
            Some(index) => self.offers[index] = Offer::new(key, agent),
            None => {}
        }
    }

    /// Records that no agent of a service can accept a task with these requirements.
    pub(super) fn set_full(&mut self, service: &Arc<str>, need: Amounts) {
        self.full.push((service.clone(), need));
    }

    /// Returns whether it is known that no agent of a service can accept a task with these
    /// requirements.
    pub(super) fn is_full(&self, service: &Arc<str>, need: &Amounts) -> bool {
        let covers = |(known, least): &(Arc<str>, Amounts)| known == service && least.fits(need);
        self.full.iter().any(covers)
    }
}

impl Offer {
    fn new(key: AgentKey, agent: &Agent) -> Self {
        Self {
            key,
            free: agent.free(),
            waiting: agent.waiting(),
        }
    }
}

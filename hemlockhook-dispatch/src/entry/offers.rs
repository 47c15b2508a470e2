//! What agents can take, during one round of placements.
//!
//! The load that this is for: a crest at which many jobs wait for many agents. Each report of an
//! agent begins a round, so what a round costs must not grow with jobs times agents.

use std::sync::Arc;
use std::time::{Duration, Instant};

use slotmap::SlotMap;

use crate::Amounts;
use crate::entry::AgentKey;
use crate::entry::agents::Agent;

/// The agents that work can be sent to, and what is known to find no room at any of them.
///
/// Room only shrinks during a round, so a need that found none finds none later in it.
#[derive(Debug, Default)]
pub(super) struct Offers {
    offers: Vec<Offer>,
    full: Vec<(Arc<str>, Amounts)>,
}

/// An agent that work can be sent to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Offer {
    pub(super) key: AgentKey,
    /// Its upstream's room, less the orders under way.
    pub(super) free: Amounts,
    /// Orders that wait there.
    pub(super) waiting: usize,
}

impl Offers {
    pub(super) fn new(agents: &SlotMap<AgentKey, Agent>, now: Instant, silence: Duration) -> Self {
        let offer = |(key, agent): (AgentKey, &Agent)| {
            agent.usable(now, silence)?;
            (!agent.is_paused(now)).then(|| Offer::new(key, agent))
        };
        Self {
            offers: agents.iter().filter_map(offer).collect(),
            full: Vec::new(),
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Offer> {
        self.offers.iter()
    }

    /// Takes an order into account that the agent was just given.
    pub(super) fn ordered(&mut self, key: AgentKey, agent: &Agent) {
        if let Some(offer) = self.offers.iter_mut().find(|offer| offer.key == key) {
            *offer = Offer::new(key, agent);
        }
    }

    /// Notes that no agent of a service takes a task with this need.
    pub(super) fn set_full(&mut self, service: &Arc<str>, need: Amounts) {
        self.full.push((service.clone(), need));
    }

    /// Returns whether no agent of a service is known to take a task with this need.
    pub(super) fn is_full(&self, service: &Arc<str>, need: &Amounts) -> bool {
        let covers = |(full, least): &(Arc<str>, Amounts)| full == service && least.fits(need);
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

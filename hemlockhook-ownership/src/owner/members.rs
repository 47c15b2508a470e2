//! The agents that an owner knows of.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use hemlockhook_types::{Incarnation, JobKey, ServiceName, TaskIndex};

use super::takeover::Takeover;
use crate::history::{History, LogTime, log_time};

/// One incarnation of an agent.
#[derive(Debug, Default)]
pub struct Agent {
    /// Every service that it was ever announced or linked with.
    pub services: BTreeSet<ServiceName>,
    /// Offset of its first announcement, once read.
    pub offset: Option<u64>,
    /// Log time at which it may be forgotten: none of its starts is inside the window then.
    pub forget_at: Option<LogTime>,
    /// Whether it announced that it left.
    pub left: bool,
    /// Whether a link to it is up.
    pub up: bool,
    /// Number of links that there have been.
    pub link: u64,
    /// Tasks that run there, or whose start was sent.
    pub outstanding: BTreeSet<(JobKey, TaskIndex)>,
}

impl Agent {
    /// Returns whether the agent may hold starts inside the window.
    pub fn may_hold_starts(&self, log_now: LogTime) -> bool {
        self.up || self.forget_at.is_some_and(|at| at > log_now)
    }

    /// Returns whether the agent may have started something under a ballot below that of the
    /// takeover: it was announced before the takeover was recorded. One that was announced later
    /// has read that record before it joined.
    pub fn concerns(&self, takeover: &Takeover) -> bool {
        match (self.offset, takeover.offset) {
            (Some(announced), Some(recorded)) if takeover.covered => announced < recorded,
            (Some(_), _) => true,
            (None, _) => false,
        }
    }
}

/// The agents that an owner knows of, with what the log says of them.
#[derive(Debug, Default)]
pub struct Members {
    agents: BTreeMap<Incarnation, Agent>,
    history: History,
}

impl Members {
    /// Takes in that some record was read. A silence of the log postpones the forgetting of agents.
    pub fn on_record(&mut self, offset: u64, written: LogTime, interval: Duration) {
        let silence = self.history.on_record(offset, written, interval);
        for agent in self.agents.values_mut() {
            agent.forget_at = agent.forget_at.map(|at| at + silence);
        }
    }

    /// Returns what is known of the log's past.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Returns an agent.
    pub fn get(&self, agent: Incarnation) -> Option<&Agent> {
        self.agents.get(&agent)
    }

    /// Returns an agent for change.
    pub fn get_mut(&mut self, agent: Incarnation) -> Option<&mut Agent> {
        self.agents.get_mut(&agent)
    }

    /// Returns an agent for change, which is added if it was not known.
    pub fn entry(&mut self, agent: Incarnation) -> &mut Agent {
        self.agents.entry(agent).or_default()
    }

    /// Returns all agents.
    pub fn iter(&self) -> impl Iterator<Item = (Incarnation, &Agent)> {
        self.agents.iter().map(|(id, agent)| (*id, agent))
    }

    /// Forgets agents that cannot hold a start inside the window any more.
    pub fn expire(&mut self, now: Instant) {
        let now = log_time(now, Duration::ZERO);
        self.agents.retain(|_, agent| {
            agent.up
                || !agent.outstanding.is_empty()
                || agent.forget_at.is_some_and(|forget_at| forget_at > now)
        });
    }
}

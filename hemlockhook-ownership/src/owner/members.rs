//! The agents that an owner knows of.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use hemlockhook_types::{Incarnation, JobKey, ServiceName, TaskIndex};

use super::takeover::Takeover;
use crate::log_coverage::{LogCoverage, LogTime, log_time};

/// One incarnation of an agent.
#[derive(Debug, Default)]
pub struct Agent {
    /// Every service that it was ever announced or linked with.
    pub services: BTreeSet<ServiceName>,
    /// Where it is reached, once its announcement was read.
    pub address: Option<String>,
    /// Offset of its first announcement, once read.
    pub offset: Option<u64>,
    /// Log time at which it may be forgotten: none of its starts is inside the window then.
    pub forget_at: Option<LogTime>,
    /// Whether it announced that it left.
    pub left: bool,
    /// The agent that holds its records since it left, if any.
    pub custodian: Option<Incarnation>,
    /// Whether a link to it is up.
    pub up: bool,
    /// Number of links that there have been.
    pub link: u64,
    /// Tasks that run there, or whose start was sent.
    pub outstanding: BTreeSet<(JobKey, TaskIndex)>,
}

impl Agent {
    /// Takes in that the link to it broke. It may take starts from others for its lease, unless it
    /// has left: then it is forgotten at the time that its record gave.
    pub fn link_broke(&mut self, log_now: LogTime, memory: Duration) {
        self.up = false;
        if !self.left {
            self.forget_at = self.forget_at.max(Some(log_now + memory));
        }
    }

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

/// An announcement of an agent, with how long it counts.
#[derive(Clone, Copy, Debug)]
pub struct Announced<'a> {
    /// The agent.
    pub incarnation: Incarnation,
    /// Where it is reached.
    pub address: &'a str,
    /// What it starts tasks of.
    pub services: &'a [ServiceName],
    /// Time for which it may start tasks after the announcement.
    pub lease: Duration,
    /// Time for which its starts matter.
    pub keep: Duration,
}

/// The agents that an owner knows of, with what the log says of them.
#[derive(Debug, Default)]
pub struct Members {
    agents: BTreeMap<Incarnation, Agent>,
    log_coverage: LogCoverage,
}

impl Members {
    /// Takes in that some record was read.
    pub fn on_record(&mut self, offset: u64, written: LogTime) {
        self.log_coverage.on_record(offset, written);
    }

    /// Takes in that an agent was announced. A new incarnation shows that the earlier ones at its
    /// address have ended: an address is held by one process at a time.
    pub fn announced(&mut self, offset: u64, written: LogTime, announced: Announced) {
        let Announced {
            incarnation,
            address,
            services,
            lease,
            keep,
        } = announced;
        let is_new = self
            .agents
            .get(&incarnation)
            .is_none_or(|agent| agent.offset.is_none());
        if is_new {
            self.agents
                .values_mut()
                .filter(|agent| agent.address.as_deref() == Some(address))
                .for_each(|agent| agent.forget_at = Some(written + keep));
        }

        let agent = self.entry(incarnation);
        agent.offset.get_or_insert(offset);
        agent.address = Some(address.to_owned());
        agent.services.extend(services.iter().cloned());
        agent.forget_at = agent.forget_at.max(Some(written + lease + keep));
    }

    /// Returns what is known of the log's past.
    pub fn log_coverage(&self) -> &LogCoverage {
        &self.log_coverage
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

    /// Returns the agents that hold starts inside the window, as far as is known, and that neither
    /// report themselves now nor have a custodian that does.
    pub fn silent(&self, log_now: LogTime) -> impl Iterator<Item = &Agent> {
        let is_up = |id: Incarnation| self.agents.get(&id).is_some_and(|agent| agent.up);
        self.agents
            .values()
            .filter(move |agent| agent.offset.is_some() && agent.may_hold_starts(log_now))
            .filter(move |agent| !agent.up && !agent.custodian.is_some_and(is_up))
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

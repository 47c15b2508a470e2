//! The agents that an owner knows of.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use hemlockhook_types::{Incarnation, JobKey, ServiceName, TaskIndex};

use super::takeover::Takeover;
use crate::log_coverage::{LogCoverage, LogTime, log_time};

/// The state of one incarnation of an agent.
#[derive(Debug, Default)]
pub struct Agent {
    /// All services with which it was ever announced or connected.
    pub services: BTreeSet<ServiceName>,
    /// Its address, once its announcement was read.
    pub address: Option<String>,
    /// Offset of its first announcement, once that was read.
    pub announcement_offset: Option<u64>,
    /// Log time from which it may be forgotten, because none of its starts is inside the window any
    /// more.
    pub forget_at: Option<LogTime>,
    /// Whether it recorded its departure.
    pub left: bool,
    /// The agent that has held its records since it left, if any.
    pub custodian: Option<Incarnation>,
    /// Whether a link to it is up.
    pub connected: bool,
    /// Number of links to it so far, which is also the number of the current one.
    pub link_count: u64,
    /// Tasks that are running there or whose start was sent.
    pub outstanding: BTreeSet<(JobKey, TaskIndex)>,
}

impl Agent {
    /// Handles a broken link. The agent may accept starts from other entries until its lease
    /// expires, unless it has left: the time from which it may be forgotten then follows from its
    /// departure record.
    pub fn on_disconnected(&mut self, log_now: LogTime, retention: Duration) {
        self.connected = false;
        if !self.left {
            self.forget_at = self.forget_at.max(Some(log_now + retention));
        }
    }

    /// Returns whether the agent may hold starts inside the window.
    pub fn may_hold_starts(&self, log_now: LogTime) -> bool {
        self.connected || self.forget_at.is_some_and(|at| at > log_now)
    }

    /// Returns whether the agent may have started tasks under a ballot below that of the takeover,
    /// because it was announced before the takeover was recorded. An agent that was announced later
    /// has read that record before it joined.
    pub fn may_predate(&self, takeover: &Takeover) -> bool {
        match (self.announcement_offset, takeover.record_offset) {
            (Some(announced), Some(recorded)) if takeover.log_covers_lease => announced < recorded,
            (Some(_), _) => true,
            (None, _) => false,
        }
    }
}

/// An announcement of an agent, and how long it is relevant.
#[derive(Clone, Copy, Debug)]
pub struct Announcement<'a> {
    pub incarnation: Incarnation,
    /// The address at which entries connect to it.
    pub address: &'a str,
    /// The services whose tasks it starts.
    pub services: &'a [ServiceName],
    /// Time for which it may start tasks after the announcement.
    pub lease: Duration,
    /// Time for which its starts may be inside the window.
    pub retention: Duration,
}

/// The agents that an owner knows of, from the log and from links.
#[derive(Debug, Default)]
pub struct Members {
    agents: BTreeMap<Incarnation, Agent>,
    log_coverage: LogCoverage,
}

impl Members {
    /// Notes a record of any kind that was read.
    pub fn on_record(&mut self, offset: u64, written: LogTime) {
        self.log_coverage.on_record(offset, written);
    }

    /// Handles an announcement of an agent. A new incarnation implies that the earlier ones at its
    /// address have ended, because an address is held by one process at a time.
    pub fn on_announced(&mut self, offset: u64, written: LogTime, announcement: Announcement) {
        let Announcement {
            incarnation,
            address,
            services,
            lease,
            retention,
        } = announcement;
        let is_new = self
            .agents
            .get(&incarnation)
            .is_none_or(|agent| agent.announcement_offset.is_none());
        if is_new {
            self.agents
                .values_mut()
                .filter(|agent| agent.address.as_deref() == Some(address))
                .for_each(|agent| agent.forget_at = Some(written + retention));
        }

        let agent = self.entry(incarnation);
        agent.announcement_offset.get_or_insert(offset);
        agent.address = Some(address.to_owned());
        agent.services.extend(services.iter().cloned());
        agent.forget_at = agent.forget_at.max(Some(written + lease + retention));
    }

    /// Returns how far back the records read reach.
    pub fn log_coverage(&self) -> &LogCoverage {
        &self.log_coverage
    }

    /// Returns an agent.
    pub fn get(&self, agent: Incarnation) -> Option<&Agent> {
        self.agents.get(&agent)
    }

    /// Returns a mutable reference to an agent.
    pub fn get_mut(&mut self, agent: Incarnation) -> Option<&mut Agent> {
        self.agents.get_mut(&agent)
    }

    /// Returns a mutable reference to an agent, and adds the agent if it is unknown.
    pub fn entry(&mut self, agent: Incarnation) -> &mut Agent {
        self.agents.entry(agent).or_default()
    }

    /// Returns all agents.
    pub fn iter(&self) -> impl Iterator<Item = (Incarnation, &Agent)> {
        self.agents.iter().map(|(id, agent)| (*id, agent))
    }

    /// Returns the announced agents that may hold starts inside the window, and for which neither
    /// the agent nor its custodian is connected.
    pub fn unreachable(&self, log_now: LogTime) -> impl Iterator<Item = &Agent> {
        let is_connected =
            |id: Incarnation| self.agents.get(&id).is_some_and(|agent| agent.connected);
        self.agents
            .values()
            .filter(move |agent| {
                agent.announcement_offset.is_some() && agent.may_hold_starts(log_now)
            })
            .filter(move |agent| !agent.connected && !agent.custodian.is_some_and(is_connected))
    }

    /// Removes agents that can no longer hold a start inside the window.
    pub fn expire(&mut self, now: Instant) {
        let now = log_time(now, Duration::ZERO);
        self.agents.retain(|_, agent| {
            agent.connected
                || !agent.outstanding.is_empty()
                || agent.forget_at.is_some_and(|forget_at| forget_at > now)
        });
    }
}

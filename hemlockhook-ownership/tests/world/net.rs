//! The simulated network.

use hemlockhook_ownership::RefusalOutcome;
use hemlockhook_types::Incarnation;

use super::procs::AgentProc;
use super::steps::pairs;
use super::{AGENTS, ENTRIES, Link, ToAgent, ToEntry, World};

impl World {
    /// Delivers up to `count` messages of one of the link directions that have pending messages.
    pub fn deliver_pending(&mut self, direction: usize, count: usize) {
        let pending: Vec<_> = self
            .links
            .iter()
            .flat_map(|(ends, link)| {
                let up = (!link.to_entry.is_empty()).then_some((*ends, true));
                let down = (!link.to_agent.is_empty()).then_some((*ends, false));
                up.into_iter().chain(down)
            })
            .collect();
        if !pending.is_empty() {
            let ((entry, agent), up) = pending[direction % pending.len()];
            self.deliver(entry, agent, up, count);
        }
    }

    pub fn deliver(&mut self, entry: usize, agent: usize, up: bool, count: usize) {
        for _ in 0..count {
            let Some(link) = self.links.get_mut(&(entry, agent)) else {
                return;
            };
            match up {
                true if !self.entries[entry].paused => match link.to_entry.pop_front() {
                    Some(message) => self.receive_at_entry(entry, agent, message),
                    None => return,
                },
                false if !self.agents[agent].paused => match link.to_agent.pop_front() {
                    Some(message) => self.receive_at_agent(entry, agent, message),
                    None => return,
                },
                _ => return,
            }
        }
    }

    /// Delivers a message of an old link. Does nothing if the rule `superseded_links` is enabled, because
    /// receivers drop such messages then.
    pub fn deliver_old(&mut self, link: usize, up: bool) {
        if self.rules.superseded_links || self.old_links.is_empty() {
            return;
        }
        let position = link % self.old_links.len();
        let link = &mut self.old_links[position];
        let ends = pairs().find(|(entry, agent)| {
            self.entries[*entry].owner.incarnation() == link.entry
                && self.agents[*agent].incarnation == link.agent
        });
        let Some((entry, agent)) = ends else {
            return;
        };
        match up {
            true => {
                let message = link.to_entry.pop_front();
                message
                    .into_iter()
                    .for_each(|message| self.receive_at_entry(entry, agent, message));
            }
            false => {
                let message = link.to_agent.pop_front();
                message
                    .into_iter()
                    .for_each(|message| self.receive_at_agent(entry, agent, message));
            }
        }
    }

    pub fn receive_at_agent(&mut self, entry: usize, agent: usize, message: ToAgent) {
        let now = self.now;
        let proc = &mut self.agents[agent];
        let reply = match message {
            ToAgent::Start(order) => match proc.gate.try_start(now, &order) {
                Ok(()) => {
                    proc.running.push((order.key.clone(), order.index));
                    let repeated = proc.gate.try_start(now, &order);
                    self.check_start(&order);
                    repeated.iter().for_each(|()| self.check_start(&order));
                    return;
                }
                Err(refusal) => ToEntry::Refusal(order.key, order.index, refusal),
            },
            ToAgent::Fence(takeover, shards, ballot) => {
                ToEntry::Report(takeover, proc.gate.fence(now, &shards, ballot))
            }
            ToAgent::Withdraw(ballot, withdrawal) => {
                let outcome = proc.gate.withdraw(now, ballot, &withdrawal);
                ToEntry::Withdrawn(withdrawal.key, outcome)
            }
        };
        if let Some(link) = self.links.get_mut(&(entry, agent)) {
            link.to_entry.push_back(reply);
        }
    }

    pub fn receive_at_entry(&mut self, entry: usize, agent: usize, message: ToEntry) {
        let now = self.now;
        let agent = self.agents[agent].incarnation;
        let proc = &mut self.entries[entry];
        match message {
            ToEntry::Refusal(key, index, refusal) => {
                if proc
                    .owner
                    .on_start_refused(now, agent, &key, index, refusal)
                    == RefusalOutcome::Requeue
                {
                    proc.queue.push((key, index));
                }
            }
            ToEntry::Done(key, index, result) => {
                proc.owner.on_task_ended(now, agent, &key, index, result)
            }
            ToEntry::Report(takeover, report) => {
                proc.owner
                    .on_fence_report(now, agent, takeover, report.clone());
                proc.owner.on_fence_report(now, agent, takeover, report);
            }
            ToEntry::Withdrawn(key, outcome) => {
                proc.owner.on_withdrawn(now, agent, &key, outcome);
            }
        }
        self.run_actions(entry);
    }

    pub fn break_link(&mut self, entry: usize, agent: usize, noticed: bool) {
        let Some(link) = self.links.remove(&(entry, agent)) else {
            return;
        };
        if noticed && !self.entries[entry].paused {
            self.entries[entry]
                .owner
                .on_agent_disconnected(self.now, link.agent);
            self.run_actions(entry);
        }
        self.old_links.push(link);
    }

    pub fn partition(&mut self, entries: usize, agents: usize) {
        self.partitioned = (entries, agents);
        for (entry, agent) in pairs() {
            if self.entry_is_partitioned(entry) != self.agent_is_partitioned(agent) {
                self.break_link(entry, agent, true);
            }
        }
    }

    pub fn connect(&mut self, entry: usize, agent: usize) {
        let is_partitioned = self.entry_is_partitioned(entry) != self.agent_is_partitioned(agent);
        if is_partitioned || self.entries[entry].paused || self.agents[agent].paused {
            return;
        }
        self.break_link(entry, agent, false);
        let incarnation = self.agents[agent].incarnation;
        let link = Link {
            entry: self.entries[entry].owner.incarnation(),
            agent: incarnation,
            to_agent: Default::default(),
            to_entry: Default::default(),
        };
        self.links.insert((entry, agent), link);
        let services: Vec<_> = AgentProc::services(agent)
            .iter()
            .map(|name| (*name).into())
            .collect();
        let owner = &mut self.entries[entry].owner;
        owner.on_agent_connected(self.now, incarnation, &services);
        self.run_actions(entry);
    }

    pub fn declare_lost(&mut self, entry: usize, agent: usize) {
        if self.entries[entry].paused {
            return;
        }
        self.break_link(entry, agent, false);
        let agent = self.agents[agent].incarnation;
        self.entries[entry].owner.on_agent_lost(self.now, agent);
        self.run_actions(entry);
    }

    pub fn is_partitioned(&self, incarnation: Incarnation) -> bool {
        let is_entry = |at: &usize| self.entries[*at].owner.incarnation() == incarnation;
        let is_agent = |at: &usize| self.agents[*at].incarnation == incarnation;
        (0..ENTRIES)
            .filter(is_entry)
            .any(|at| self.entry_is_partitioned(at))
            || (0..AGENTS)
                .filter(is_agent)
                .any(|at| self.agent_is_partitioned(at))
    }

    /// Sends an entry's owned shards to the other entries.
    pub fn send_gossip(&mut self, entry: usize) {
        if self.entry_is_partitioned(entry) {
            return;
        }
        for (shard, ballot) in self.entries[entry].owner.owned_shards() {
            for other in (0..ENTRIES).filter(|other| *other != entry) {
                self.gossip.push((other, shard, ballot));
            }
        }
    }

    pub fn receive_gossip(&mut self, message: usize) {
        if self.gossip.is_empty() {
            return;
        }
        let (entry, shard, ballot) = self.gossip.remove(message % self.gossip.len());
        if !self.entries[entry].paused && !self.entry_is_partitioned(entry) {
            self.entries[entry].owner.on_ballot(self.now, shard, ballot);
            self.run_actions(entry);
        }
    }

    pub fn connect_all(&mut self) {
        pairs().for_each(|(entry, agent)| self.connect(entry, agent));
    }
}

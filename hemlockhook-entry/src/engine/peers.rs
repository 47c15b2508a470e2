//! Other entries: heartbeats, the configuration and members that ride on them.

use std::time::Instant;

use bytes::Bytes;
use hemlockhook_inventory::Inventory;
use hemlockhook_inventory::admin::EventKind;
use hemlockhook_ownership::Record;
use hemlockhook_proto::v1;
use hemlockhook_proto::v1::{AgentFrame, PeerStatus};
use hemlockhook_schedule::Policy;
use hemlockhook_types::{Incarnation, SHARD_COUNT, ShardId, TeamName};
use spdlog::prelude::*;

use super::Engine;
use crate::event::{Action, Response, Waiter};

impl Engine {
    /// Tells every other entry our state, if it is time.
    pub(super) fn heartbeat(&mut self, now: Instant) {
        let due = self
            .last_heartbeat
            .is_none_or(|at| now - at >= self.timing.heartbeat());
        if !due {
            return;
        }
        self.last_heartbeat = Some(now);
        let mut addresses = self.members.peer_addresses();
        addresses.extend(&self.me.known_peers);
        addresses.sort();
        addresses.dedup();
        let status = Box::new(self.peer_status(0));
        for address in addresses {
            if address != self.me.address {
                let status = status.clone();
                self.actions.push(Action::Heartbeat { address, status });
            }
        }
    }

    pub(super) fn on_peer(&mut self, now: Instant, mut status: PeerStatus, waiter: Option<Waiter>) {
        status
            .owned
            .retain(|owned| owned.shard < SHARD_COUNT.into());
        self.members.on_status(now, &status);
        self.take_members(now, &status);
        if let Some(config) = &status.config {
            self.adopt_config(now, config);
        }
        for owned in &status.owned {
            let ballot = hemlockhook_types::Ballot {
                counter: owned.ballot,
                owner: status.incarnation,
            };
            self.owner.saw_ballot(now, owned.shard as ShardId, ballot);
        }
        for team in &status.teams {
            let name = TeamName::from(team.team.as_str());
            let (running, queued) = (team.running, team.queued);
            self.dispatcher
                .set_peer_usage(status.incarnation, &name, running, queued);
        }
        if let Some(waiter) = waiter {
            let mut ours = self.peer_status(status.config_version);
            if status.want_members {
                ours.members = self.members.records().iter().map(write_member).collect();
            }
            self.actions.push(Action::Reply {
                waiter,
                response: Response::Peer(Box::new(ours)),
            });
        }
    }

    /// Notices which entries came up and which fell silent.
    pub(super) fn watch_peers(&mut self, now: Instant) {
        let mut alive: Vec<_> = self
            .members
            .alive(now)
            .map(|(incarnation, peer)| (incarnation, peer.name.clone()))
            .collect();
        alive.sort();
        if alive == self.alive {
            return;
        }
        let before = std::mem::replace(&mut self.alive, alive.clone());
        for (_, name) in alive.iter().filter(|peer| !before.contains(peer)) {
            self.note(EventKind::PeerUp, name, "the entry answers");
        }
        for (peer, name) in before.iter().filter(|peer| !alive.contains(peer)) {
            self.note(EventKind::PeerDown, name, "the entry does not answer");
            self.dispatcher.forget_peer(*peer);
            self.abandon_calls(*peer);
        }
    }

    /// Learns of members from a peer while the log cannot be read.
    fn take_members(&mut self, now: Instant, status: &PeerStatus) {
        if self.members_read {
            return;
        }
        for record in status.members.iter().filter_map(|bytes| read_member(bytes)) {
            if let Some(agent) = self.members.on_record(&record) {
                self.dial(now, agent);
            }
        }
    }

    /// Returns our state; the configuration goes along to those whose version is lower.
    fn peer_status(&self, their_version: u64) -> PeerStatus {
        let version = self.config.version();
        let owned = self.owner.owned().into_iter();
        let teams = self.dispatcher.snapshot().teams.into_iter();
        PeerStatus {
            incarnation: self.me.incarnation,
            name: self.me.name.clone(),
            address: self.me.address.to_string(),
            data_center: self.me.data_center.clone(),
            config_version: version,
            config: (their_version > 0 && their_version < version).then(|| self.config_message()),
            owned: owned
                .map(|(shard, stamp)| v1::OwnedShard {
                    shard: shard.into(),
                    ballot: stamp.counter,
                })
                .collect(),
            draining: self.draining,
            teams: teams
                .map(|team| v1::TeamUsage {
                    team: team.team.to_string(),
                    running: team.running,
                    queued: team.queued,
                })
                .collect(),
            want_members: !self.members_read,
            members: Vec::new(),
        }
    }

    pub(super) fn on_configs(&mut self, now: Instant, records: &[(u64, Bytes)]) {
        let before = self.config.version();
        for (offset, body) in records {
            self.config.on_record(*offset, body);
        }
        if self.config.version() > before {
            self.on_config_in_force(now);
        }
    }

    /// Takes over a higher version that an agent has, or tells it ours.
    pub(super) fn on_agent_config(&mut self, now: Instant, agent: Incarnation, frame: &AgentFrame) {
        if let Some(config) = &frame.config {
            self.adopt_config(now, config);
        }
        let Some(link) = self.links.get_mut(&agent) else {
            return;
        };
        if frame.config_version > link.config_version {
            link.config_version = frame.config_version;
        }
    }

    fn adopt_config(&mut self, now: Instant, config: &v1::Config) {
        if self.config.adopt(config.version, &config.document) {
            self.on_config_in_force(now);
        }
    }

    fn on_config_in_force(&mut self, now: Instant) {
        let version = self.config.version();
        match self.config.current() {
            Some((usable, inventory)) if usable == version => {
                self.dispatcher.set_policy(now, policy(&inventory));
                self.inventory = Some(inventory);
                info!("configuration in force", kv: { version });
                self.note(
                    EventKind::ConfigInForce,
                    &version.to_string(),
                    "it is in force here",
                );
            }
            _ => {
                warn!("configuration cannot be used by this release", kv: { version });
                self.note(
                    EventKind::ConfigUnusable,
                    &version.to_string(),
                    "it cannot be used",
                );
            }
        }
        let agents: Vec<_> = self.links.keys().copied().collect();
        agents.into_iter().for_each(|agent| self.tell_config(agent));
    }

    /// Sends the configuration in force to an agent whose version is lower.
    pub(super) fn tell_config(&mut self, agent: Incarnation) {
        let version = self.config.version();
        let message = self.config_message();
        let Some(link) = self.links.get_mut(&agent) else {
            return;
        };
        if link.up && link.config_version < version {
            link.config_version = version;
            self.frame(agent).config = Some(message);
        }
    }

    fn config_message(&self) -> v1::Config {
        v1::Config {
            version: self.config.version(),
            document: self.config.document().to_owned(),
        }
    }
}

/// Returns the scheduling policy that an inventory asks for.
fn policy(inventory: &Inventory) -> Policy {
    Policy {
        teams: inventory
            .teams
            .iter()
            .map(|team| (team.name.clone(), team.share))
            .collect(),
        services: inventory
            .services
            .iter()
            .map(|service| service.name.clone())
            .collect(),
        long_threshold: inventory.rules.long_after,
        long_ceiling_percent: inventory.rules.long_ceiling_percent,
        ..Policy::default()
    }
}

fn write_member(record: &Record) -> Vec<u8> {
    serde_json::to_vec(record).expect("records have string keys only")
}

fn read_member(bytes: &[u8]) -> Option<Record> {
    serde_json::from_slice(bytes).ok()
}

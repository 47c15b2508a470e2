//! The configuration in force: receiving it from the log, agents and peers, and distributing it.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hemlockhook_inventory::Inventory;
use hemlockhook_inventory::admin::EventKind;
use hemlockhook_proto::v1;
use hemlockhook_proto::v1::AgentFrame;
use hemlockhook_schedule::Policy;
use hemlockhook_types::Incarnation;
use spdlog::prelude::*;

use super::Engine;
use crate::members::rendezvous_rank;

/// Time by which an entry delays sending an agent a new configuration for each entry that precedes
/// it in the agent's order of entries.
const PUSH_STEP: Duration = Duration::from_millis(700);

/// Maximum number of such delays, so that every agent has the configuration well within the 7 s
/// allowed for a change.
const MAX_PUSH_STEPS: usize = 4;

/// Time for which a newer version seen at an agent may still arrive from the log or a peer, before
/// it is requested from the agent.
const CONFIG_REQUEST_DELAY: Duration = Duration::from_millis(500);

impl Engine {
    pub(super) fn on_config_records(&mut self, now: Instant, records: &[(u64, Bytes)]) {
        let before = self.config.version();
        for (offset, body) in records {
            self.config.on_record(*offset, body);
        }
        if self.config.version() > before {
            self.on_config_in_force(now);
        }
    }

    /// Adopts the configuration that an agent sent, and records which version the agent has.
    pub(super) fn on_agent_config(&mut self, now: Instant, agent: Incarnation, frame: &AgentFrame) {
        if let Some(config) = &frame.config {
            self.adopt_config(now, config);
        }
        if let Some(link) = self.links.get_mut(&agent) {
            link.config_version = link.config_version.max(frame.config_version);
        }
        if frame.config_version > self.config.version() {
            self.newer_config.get_or_insert((now, agent));
        }
    }

    pub(super) fn adopt_config(&mut self, now: Instant, config: &v1::Config) {
        if self.config.adopt(config.version, &config.document) {
            self.on_config_in_force(now);
        }
    }

    fn on_config_in_force(&mut self, now: Instant) {
        let version = self.config.version();
        self.config_since = now;
        self.newer_config = None;
        match self.config.current() {
            Some((usable, inventory)) if usable == version => {
                self.dispatcher.set_policy(now, policy(&inventory));
                self.inventory = Some(inventory);
                info!("configuration is in force", kv: { version });
                let subject = version.to_string();
                self.record_event(EventKind::ConfigInForce, &subject, "it is in force here");
            }
            _ => {
                warn!("configuration is not supported by this release", kv: { version });
                let subject = version.to_string();
                self.record_event(EventKind::ConfigUnusable, &subject, "it cannot be used");
            }
        }
        self.push_config(now);
    }

    /// Sends the configuration in force to agents that have an older version. The first live entry
    /// in an agent's order sends it at once, the others only if the agent still lacks it after
    /// their delay.
    pub(super) fn push_config(&mut self, now: Instant) {
        let version = self.config.version();
        let behind = |link: &super::agents::AgentLink| {
            link.up && link.config_version < version && link.config_sent < version
        };
        let agents: Vec<_> = self
            .links
            .iter()
            .filter(|(_, link)| behind(link))
            .map(|(agent, link)| (*agent, link.up_since))
            .collect();
        for (agent, up_since) in agents {
            let peers = self.live_peers.iter().map(|(_, name)| name.as_str());
            let rank = rendezvous_rank(&self.identity.name, peers, agent).min(MAX_PUSH_STEPS);
            let since = up_since.map_or(self.config_since, |up| up.max(self.config_since));
            if now >= since + PUSH_STEP * rank as u32 {
                self.send_config(agent);
            }
        }
    }

    fn send_config(&mut self, agent: Incarnation) {
        let message = self.config_message();
        if let Some(link) = self.links.get_mut(&agent) {
            link.config_sent = message.version;
            self.outgoing_frame(agent).config = Some(message);
        }
    }

    /// Requests a newer version from the agent that has it.
    pub(super) fn request_config(&mut self, now: Instant) {
        if let Some((since, agent)) = self.newer_config
            && now - since >= CONFIG_REQUEST_DELAY
            && self.links.contains_key(&agent)
        {
            self.outgoing_frame(agent).wants_config = true;
        }
        self.newer_config = self
            .newer_config
            .filter(|(since, _)| now - *since < CONFIG_REQUEST_DELAY);
    }

    pub(super) fn config_message(&self) -> v1::Config {
        v1::Config {
            version: self.config.version(),
            document: self.config.document().to_owned(),
        }
    }
}

/// Returns the scheduling policy that an inventory defines.
fn policy(inventory: &Inventory) -> Policy {
    let teams = inventory.teams.iter();
    let services = inventory.services.iter();
    Policy {
        teams: teams.map(|team| (team.name.clone(), team.share)).collect(),
        services: services.map(|service| service.name.clone()).collect(),
        long_threshold: inventory.rules.long_after,
        long_ceiling_percent: inventory.rules.long_ceiling_percent,
        ..Policy::default()
    }
}

//! Reports for operators: events, counts and the state of the entry.

use std::time::{Duration, Instant};

use hemlockhook_inventory::ConfigRecord;
use hemlockhook_inventory::admin::{
    AgentStatus, BacklogStatus, ConfigInForce, EntryStatus, Event, EventKind, LogStatus,
    PeerStatus, ShardState, ShardStatus, UpstreamState,
};
use hemlockhook_inventory::burn::{BurnCounts, Cause};
use hemlockhook_schedule::{Snapshot, UpstreamHealth};
use hemlockhook_types::{Answer, Job, ServiceName, TeamName};

use super::Engine;

/// Replaces names that are not in the inventory.
const OTHER_NAME: &str = "(other)";

impl Engine {
    /// Returns the events after a sequence number.
    pub fn events(&self, since: u64) -> Vec<Event> {
        self.events.since(since)
    }

    /// Returns the configuration in force.
    pub fn config_in_force(&self) -> ConfigInForce {
        ConfigInForce {
            version: self.config.version(),
            document: self.config.document().to_owned(),
        }
    }

    /// Returns the record that republishes the configuration in force in the log.
    pub fn config_repeat(&self) -> Option<ConfigRecord> {
        self.config.repeat()
    }

    /// Returns the counts for the burn report.
    pub fn burn_counts(&self, now: Instant) -> BurnCounts {
        self.burn_counter.counts(self.wall_time_ms(now))
    }

    pub(super) fn record_event(&mut self, kind: EventKind, subject: &str, detail: &str) {
        let at_ms = self.wall_time_ms(Instant::now());
        spdlog::info!("{detail}", kv: { event = kind.to_string(), subject = subject.to_owned() });
        self.events.push(at_ms, kind, subject, detail);
    }

    pub(super) fn count_answer(
        &mut self,
        now: Instant,
        job: &Job,
        answer: &Answer,
        took: Duration,
    ) {
        self.counters.on_answer(answer.kind());
        let within = self
            .inventory
            .as_ref()
            .and_then(|inventory| inventory.service(&job.service))
            .map(|service| service.objective.within);
        let bad = match answer {
            Answer::Complete(_) if within.is_none_or(|within| took <= within) => None,
            Answer::Complete(_) => Some(Cause::Late),
            Answer::Failed { .. } => Some(Cause::Failed),
            Answer::NotRun { .. } => Some(Cause::Refused),
            Answer::Unknown { .. } => Some(Cause::Unknown),
        };
        let at_ms = self.wall_time_ms(now);
        let (service, team) = self.counted_names(job);
        self.burn_counter.count(at_ms, &service, &team, bad);
    }

    /// Returns the service and team to count a job under. Names that are not in the inventory are
    /// counted as one, because callers could otherwise exhaust the memory with invented names.
    fn counted_names(&self, job: &Job) -> (ServiceName, TeamName) {
        let inventory = self.inventory.as_ref();
        let service = inventory.and_then(|i| i.service(&job.service));
        let team = inventory.and_then(|i| i.team(&job.team));
        (
            service.map_or_else(|| OTHER_NAME.into(), |service| service.name.clone()),
            team.map_or_else(|| OTHER_NAME.into(), |team| team.name.clone()),
        )
    }

    /// Returns the state of the entry.
    pub fn status(&self, now: Instant) -> EntryStatus {
        let snapshot = self.dispatcher.snapshot();
        EntryStatus {
            name: self.identity.name.clone(),
            incarnation: format!("{:x}", self.identity.incarnation),
            data_center: self.identity.data_center.clone(),
            uptime_ms: (now - self.started_at).as_millis() as u64,
            draining: self.draining,
            config_version: self.config.version(),
            log: self.log_status(now),
            shards: self.shard_statuses(now),
            peers: self.peer_statuses(now),
            agents: self.agent_statuses(&snapshot),
            backlog: backlog(&snapshot),
        }
    }

    fn log_status(&self, now: Instant) -> LogStatus {
        LogStatus {
            reachable: self.log_reachable,
            last_success_ms: self
                .log_last_success
                .map(|at| (now - at).as_millis() as u64),
            last_error: None,
        }
    }

    fn shard_statuses(&self, now: Instant) -> Vec<ShardStatus> {
        self.owner
            .owned_shards()
            .into_iter()
            .map(|(shard, ballot)| ShardStatus {
                shard,
                ballot: ballot.to_string(),
                state: match self.owner.is_account_complete(now, shard) {
                    true => ShardState::Complete,
                    false => ShardState::Incomplete,
                },
                awaiting: Vec::new(),
            })
            .collect()
    }

    fn peer_statuses(&self, now: Instant) -> Vec<PeerStatus> {
        self.members
            .live_peers(now)
            .map(|(_, peer)| PeerStatus {
                name: peer.name.clone(),
                data_center: String::new(),
                reachable: true,
                last_seen_ms: peer.last_heard.map(|at| (now - at).as_millis() as u64),
                shards: peer.owned.len() as u32,
                config_version: peer.config_version,
            })
            .collect()
    }

    fn agent_statuses(&self, snapshot: &Snapshot) -> Vec<AgentStatus> {
        let mut agents: Vec<_> = self
            .links
            .iter()
            .map(|(agent, link)| {
                let upstream = snapshot
                    .upstreams
                    .iter()
                    .find(|known| known.agent == *agent);
                AgentStatus {
                    name: link.name.clone(),
                    incarnation: format!("{agent:x}"),
                    worker: link.hello.worker.clone(),
                    data_center: link.hello.data_center.clone(),
                    services: link.hello.services.clone(),
                    state: match upstream.map(|known| known.health) {
                        _ if !link.up => UpstreamState::Down,
                        _ if link.leaving => UpstreamState::Leaving,
                        Some(UpstreamHealth::SlowStart) => UpstreamState::SlowStart,
                        Some(UpstreamHealth::Quarantined) => UpstreamState::Quarantined,
                        _ => UpstreamState::Up,
                    },
                    slots: link.hello.slots,
                    grants: upstream.map_or(0, |known| known.grants),
                    running: upstream.map_or(0, |known| known.running),
                    slowness: upstream.map_or(1.0, |known| 1.0 / known.speed.max(0.001)),
                    config_version: link.config_version,
                    ..AgentStatus::default()
                }
            })
            .collect();
        agents.sort_by(|a, b| a.name.cmp(&b.name));
        agents
    }

    /// Returns the wall-clock time in milliseconds: that of the start, plus the monotonic time
    /// since.
    fn wall_time_ms(&self, now: Instant) -> u64 {
        let since_start = now.saturating_duration_since(self.started_at);
        self.identity.started_ms + since_start.as_millis() as u64
    }
}

fn backlog(snapshot: &Snapshot) -> Vec<BacklogStatus> {
    let by_service = snapshot
        .services
        .iter()
        .map(|(service, queued)| BacklogStatus {
            service: service.to_string(),
            queued: *queued,
            ..BacklogStatus::default()
        });
    let by_team = snapshot.teams.iter().map(|team| BacklogStatus {
        team: team.team.to_string(),
        queued: team.queued,
        running: team.running,
        ..BacklogStatus::default()
    });
    by_service.chain(by_team).collect()
}

/// Returns the milliseconds until a time; negative once it has passed.
pub(super) fn millis_until(now: Instant, at: Instant) -> i64 {
    let ahead = at.saturating_duration_since(now).as_millis() as i64;
    ahead - now.saturating_duration_since(at).as_millis() as i64
}

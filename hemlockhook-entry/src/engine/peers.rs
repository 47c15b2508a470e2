//! Other entries: heartbeats, and the configurations and membership records that they carry.

use std::net::SocketAddr;
use std::time::Instant;

use hemlockhook_inventory::admin::EventKind;
use hemlockhook_ownership::Record;
use hemlockhook_proto::v1;
use hemlockhook_proto::v1::PeerStatus;
use hemlockhook_types::{Incarnation, SHARD_COUNT, ShardId, TeamName};
use prost::Message;
use xxhash_rust::xxh3::Xxh3;

use super::Engine;
use crate::event::{Action, ReplySender, Response};

impl Engine {
    /// Sends heartbeats to the other entries, if they are due.
    pub(super) fn heartbeat(&mut self, now: Instant) {
        let due = self
            .last_heartbeat
            .is_none_or(|at| now - at >= self.timing.heartbeat());
        if !due {
            return;
        }
        self.last_heartbeat = Some(now);
        let full = self.own_status();
        for (address, peer) in self.heartbeat_targets(now) {
            let mut status = Box::new(self.status_for_peer(peer, &full));
            status.wants_whole = peer.is_some_and(|peer| self.full_status_wanted.remove(&peer));
            self.actions.push(Action::Heartbeat { address, status });
        }
    }

    /// Returns the addresses and peers to send heartbeats to. Of two entries that hear from each
    /// other, only the one with the lower incarnation sends them, since the response carries the
    /// state of the other; once either goes silent, both do. A draining entry sends them to all.
    fn heartbeat_targets(&self, now: Instant) -> Vec<(SocketAddr, Option<Incarnation>)> {
        let half = self.timing.peer_silence() / 2;
        let mut targets: Vec<_> = self
            .members
            .peers()
            .filter(|(peer, known)| {
                let is_silent = known
                    .last_heard
                    .is_none_or(|at| now.saturating_duration_since(at) > half);
                is_silent || self.draining || self.identity.incarnation < *peer
            })
            .map(|(peer, known)| (known.address, Some(peer)))
            .collect();
        for address in &self.identity.known_peers {
            if self
                .members
                .peers()
                .all(|(_, known)| known.address != *address)
            {
                targets.push((*address, None));
            }
        }
        targets.retain(|(address, _)| *address != self.identity.address);
        targets
    }

    /// Returns our state, without the shards and teams if the peer was sent the same ones before.
    fn status_for_peer(&mut self, peer: Option<Incarnation>, full: &PeerStatus) -> PeerStatus {
        let before = peer.and_then(|peer| self.sent_digests.insert(peer, full.digest));
        if before != Some(full.digest) {
            return full.clone();
        }
        PeerStatus {
            owned: Vec::new(),
            teams: Vec::new(),
            unchanged: true,
            ..full.clone()
        }
    }

    pub(super) fn on_peer_status(
        &mut self,
        now: Instant,
        mut status: PeerStatus,
        reply_to: Option<ReplySender>,
    ) {
        status
            .owned
            .retain(|owned| owned.shard < SHARD_COUNT.into());
        if status.wants_whole {
            self.sent_digests.remove(&status.incarnation);
        }
        let is_known = self.members.on_status(now, &status);
        self.add_members_from_peer(now, &status);
        if let Some(config) = &status.config {
            self.adopt_config(now, config);
        }
        if !status.unchanged {
            self.apply_peer_claims(now, &status);
        }
        if let Some(reply_to) = reply_to {
            let answer = self.heartbeat_answer(&status, is_known);
            self.actions.push(Action::Reply {
                reply_to,
                response: Response::PeerStatus(Box::new(answer)),
            });
        } else if !is_known {
            self.full_status_wanted.insert(status.incarnation);
        }
    }

    /// Records the shards that a peer owns and the tasks of its teams.
    fn apply_peer_claims(&mut self, now: Instant, status: &PeerStatus) {
        for owned in &status.owned {
            let ballot = hemlockhook_types::Ballot {
                counter: owned.ballot,
                owner: status.incarnation,
            };
            self.owner.on_ballot(now, owned.shard as ShardId, ballot);
        }
        // Teams that the status leaves out have become idle.
        self.dispatcher.remove_peer(status.incarnation);
        for team in &status.teams {
            let name = TeamName::from(team.team.as_str());
            let (running, queued) = (team.running, team.queued);
            self.dispatcher
                .set_peer_usage(status.incarnation, &name, running, queued);
        }
    }

    fn heartbeat_answer(&mut self, status: &PeerStatus, is_known: bool) -> PeerStatus {
        let full = self.own_status();
        let mut answer = self.status_for_peer(Some(status.incarnation), &full);
        answer.wants_whole = !is_known;
        if status.config_version < self.config.version() {
            answer.config = Some(self.config_message());
        }
        if status.want_members {
            answer.members = self
                .members
                .records()
                .iter()
                .map(serialize_record)
                .collect();
        }
        answer
    }

    /// Records which entries have come up, and which have gone silent.
    pub(super) fn update_live_peers(&mut self, now: Instant) {
        let mut alive: Vec<_> = self
            .members
            .live_peers(now)
            .map(|(incarnation, peer)| (incarnation, peer.name.clone()))
            .collect();
        alive.sort();
        if alive == self.live_peers {
            return;
        }
        let before = std::mem::replace(&mut self.live_peers, alive.clone());
        for (_, name) in alive.iter().filter(|peer| !before.contains(peer)) {
            self.record_event(EventKind::PeerUp, name, "the entry answers");
        }
        for (peer, name) in before.iter().filter(|peer| !alive.contains(peer)) {
            self.record_event(EventKind::PeerDown, name, "the entry does not answer");
            self.dispatcher.remove_peer(*peer);
            self.abandon_calls(*peer);
        }
    }

    /// Adds members that a peer knows, until the log has been read.
    fn add_members_from_peer(&mut self, now: Instant, status: &PeerStatus) {
        if self.membership_loaded {
            return;
        }
        for record in status
            .members
            .iter()
            .filter_map(|bytes| parse_record(bytes))
        {
            if let Some(agent) = self.members.on_record(&record) {
                self.connect_agent(now, agent);
            }
        }
    }

    /// Returns the full state of this entry.
    fn own_status(&self) -> PeerStatus {
        let owned = self.owner.owned_shards().into_iter();
        let owned: Vec<_> = owned
            .map(|(shard, stamp)| v1::OwnedShard {
                shard: shard.into(),
                ballot: stamp.counter,
            })
            .collect();
        let teams = self.dispatcher.snapshot().teams.into_iter();
        let teams: Vec<_> = teams
            .map(|team| v1::TeamUsage {
                team: team.team.to_string(),
                running: team.running,
                queued: team.queued,
            })
            .collect();
        PeerStatus {
            incarnation: self.identity.incarnation,
            name: self.identity.name.clone(),
            address: self.identity.address.to_string(),
            data_center: self.identity.data_center.clone(),
            config_version: self.config.version(),
            draining: self.draining,
            want_members: !self.membership_loaded,
            digest: digest(&owned, &teams),
            owned,
            teams,
            ..PeerStatus::default()
        }
    }
}

/// Hashes the part of the state that a heartbeat leaves out while it is unchanged.
fn digest(owned: &[v1::OwnedShard], teams: &[v1::TeamUsage]) -> u64 {
    let mut hash = Xxh3::new();
    for owned in owned {
        hash.update(&owned.encode_to_vec());
    }
    for team in teams {
        hash.update(&team.encode_to_vec());
    }
    hash.digest()
}

fn serialize_record(record: &Record) -> Vec<u8> {
    serde_json::to_vec(record).expect("records have string keys only")
}

fn parse_record(bytes: &[u8]) -> Option<Record> {
    serde_json::from_slice(bytes).ok()
}

//! Handling of the membership stream, which records takeovers and announces agents.

use std::time::{Duration, Instant};

use hemlockhook_types::{Ballot, Incarnation, ShardId};

use super::members::Announcement;
use super::takeover::AppendState;
use super::{Owner, OwnerAction};
use crate::epoch::{base_ballot, epoch_length, epoch_of, marker_retention, with_epoch};
use crate::log_coverage::{LogTime, log_time};
use crate::record::Record;

/// Number of fence timeouts between two attempts to append a takeover's record.
const APPEND_RETRY_TIMEOUTS: u32 = 2;

/// Maximum number of ballots per shard whose beginning is remembered, to determine the age of their
/// stamps.
const MAX_BALLOT_STARTS: usize = 64;

impl Owner {
    /// Handles the next record of the membership stream, given its offset and its age by the log's
    /// clock.
    pub fn on_record(&mut self, now: Instant, offset: u64, age: Duration, record: &Record) {
        let written = log_time(now, age);
        self.members.on_record(offset, written);
        match record {
            Record::Entry { .. } => {}
            Record::Agent {
                incarnation,
                address,
                services,
                ..
            } => self.members.on_announced(
                offset,
                written,
                Announcement {
                    incarnation: *incarnation,
                    address,
                    services,
                    lease: self.cfg.lease,
                    retention: marker_retention(self.cfg.window),
                },
            ),
            Record::Takeover { shards, ballot } => {
                self.on_takeover_record(now, offset, written, shards, *ballot);
            }
            Record::Left {
                incarnation,
                custodian,
            } => self.on_agent_left(written, *incarnation, *custodian),
        }
        self.check_accounts(now);
    }

    /// Handles the end of the membership stream, which was read after a takeover's record was
    /// appended.
    pub fn on_caught_up(&mut self, now: Instant, takeover: u64) {
        if let Some(takeover) = self.takeovers.get_mut(&takeover)
            && takeover.record_offset.is_none()
        {
            takeover.append = AppendState::Failed(now);
        }
        self.check_accounts(now);
    }

    /// Handles the successful append of a takeover's record.
    pub fn on_appended(&mut self, now: Instant, takeover: u64) {
        let Some(state) = self.takeovers.get_mut(&takeover) else {
            return;
        };
        state.append = AppendState::Done(now);
        if state.record_offset.is_none() {
            self.actions.push(OwnerAction::ReadToEnd { takeover });
        }
    }

    /// Handles an append of a takeover's record that failed or whose outcome is uncertain.
    pub fn on_append_failed(&mut self, now: Instant, takeover: u64) {
        if let Some(takeover) = self.takeovers.get_mut(&takeover) {
            takeover.append = AppendState::Failed(now);
        }
    }

    /// Appends records again whose last append failed, and those that are due for repetition.
    pub(super) fn repeat_appends(&mut self, now: Instant) {
        let retry = self.cfg.fence_timeout * APPEND_RETRY_TIMEOUTS;
        let interval = self.cfg.announce_interval / 2;
        let due: Vec<_> = self
            .takeovers
            .iter()
            .filter(|(_, takeover)| match takeover.append {
                AppendState::Sent(_) => false,
                AppendState::Failed(at) => at + retry <= now,
                AppendState::Done(at) => at + interval <= now,
            })
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.append_record(now, id);
        }
    }

    pub(super) fn append_record(&mut self, now: Instant, id: u64) {
        let takeover = self.takeovers.get_mut(&id).expect("the takeover is held");
        takeover.append = AppendState::Sent(now);
        let record = Record::Takeover {
            shards: takeover.shards.iter().copied().collect(),
            ballot: with_epoch(takeover.ballot, takeover.epoch),
        };
        self.actions.push(OwnerAction::Append {
            takeover: id,
            record,
        });
    }

    fn on_takeover_record(
        &mut self,
        now: Instant,
        offset: u64,
        written: LogTime,
        shards: &[ShardId],
        ballot: Ballot,
    ) {
        self.note_ballot_start(written, shards, ballot);
        let ballot = base_ballot(ballot);
        if ballot.owner != self.incarnation {
            for shard in shards {
                self.on_ballot(now, *shard, ballot);
            }
            return;
        }

        let log_covers_lease = self.members.log_coverage().covers(written, self.cfg.lease);
        for takeover in self.takeovers.values_mut() {
            if takeover.ballot == ballot && takeover.record_offset.is_none() {
                takeover.record_offset = Some(offset);
                takeover.log_covers_lease = log_covers_lease;
            }
        }
    }

    /// Notes the earliest time at which a ballot can have begun.
    fn note_ballot_start(&mut self, written: LogTime, shards: &[ShardId], ballot: Ballot) {
        let epochs = u32::try_from(epoch_of(ballot)).unwrap_or(u32::MAX);
        let age = epoch_length(self.cfg.window).saturating_mul(epochs);
        let start = written.checked_sub(age).unwrap_or(written);
        for shard in shards {
            let ballot_starts = &mut self.shards.entry(*shard).or_default().ballot_starts;
            match ballot_starts
                .iter_mut()
                .find(|(known, _)| *known == base_ballot(ballot))
            {
                Some((_, known)) => *known = start.min(*known),
                None => ballot_starts.push((base_ballot(ballot), start)),
            }
            if ballot_starts.len() > MAX_BALLOT_STARTS {
                ballot_starts.sort();
                ballot_starts.remove(0);
            }
        }
    }

    /// Handles the departure of an agent. Fences its custodian again, if any, because that may have
    /// adopted the records after it reported.
    fn on_agent_left(
        &mut self,
        written: LogTime,
        agent: Incarnation,
        custodian: Option<Incarnation>,
    ) {
        let state = self.members.entry(agent);
        state.left = true;
        state.custodian = custodian.or(state.custodian);
        state.forget_at = Some(written + marker_retention(self.cfg.window));
        if let Some(custodian) = custodian
            && self
                .members
                .get(custodian)
                .is_some_and(|agent| agent.connected)
        {
            self.fence_agent(custodian);
        }
    }
}

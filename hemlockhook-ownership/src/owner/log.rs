//! The membership stream: takeovers are recorded in it, and agents are learned from it.

use std::time::{Duration, Instant};

use hemlockhook_types::{Ballot, Incarnation, ShardId};

use super::members::Announced;
use super::takeover::Append;
use super::{Owner, OwnerAction};
use crate::epoch::{base_ballot, epoch_length, epoch_of, marker_retention, with_epoch};
use crate::log_coverage::{LogTime, log_time};
use crate::record::Record;

/// Fence timeouts between two tries to append a takeover's record.
const APPEND_RETRY_TIMEOUTS: u32 = 2;

/// Highest number of earlier ballots of a shard whose stamps can be dated.
const MAX_BEGINS: usize = 64;

impl Owner {
    /// Takes in a record of the membership stream, in order, with its offset and its age by the
    /// log's clock.
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
            } => self.members.announced(
                offset,
                written,
                Announced {
                    incarnation: *incarnation,
                    address,
                    services,
                    lease: self.cfg.lease,
                    keep: marker_retention(self.cfg.window),
                },
            ),
            Record::Takeover { shards, ballot } => {
                self.on_recorded(now, offset, written, shards, *ballot);
            }
            Record::Left {
                incarnation,
                custodian,
            } => self.on_left(written, *incarnation, *custodian),
        }
        self.check_accounts(now);
    }

    /// Takes in that the membership stream was read to its end after a record was appended.
    pub fn on_caught_up(&mut self, now: Instant, takeover: u64) {
        if let Some(takeover) = self.takeovers.get_mut(&takeover)
            && takeover.offset.is_none()
        {
            takeover.append = Append::Failed(now);
        }
        self.check_accounts(now);
    }

    /// Takes in that a takeover's record was appended.
    pub fn on_appended(&mut self, now: Instant, takeover: u64) {
        let Some(state) = self.takeovers.get_mut(&takeover) else {
            return;
        };
        state.append = Append::Done(now);
        if state.offset.is_none() {
            self.actions.push(OwnerAction::ReadToEnd { takeover });
        }
    }

    /// Takes in that a takeover's record may not have been appended.
    pub fn on_append_failed(&mut self, now: Instant, takeover: u64) {
        if let Some(takeover) = self.takeovers.get_mut(&takeover) {
            takeover.append = Append::Failed(now);
        }
    }

    /// Appends records that failed, and those that are due again.
    pub(super) fn repeat_records(&mut self, now: Instant) {
        let retry = self.cfg.fence_timeout * APPEND_RETRY_TIMEOUTS;
        let interval = self.cfg.announce_interval / 2;
        let due: Vec<_> = self
            .takeovers
            .iter()
            .filter(|(_, takeover)| match takeover.append {
                Append::Sent(_) => false,
                Append::Failed(at) => at + retry <= now,
                Append::Done(at) => at + interval <= now,
            })
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.append(now, id);
        }
    }

    pub(super) fn append(&mut self, now: Instant, id: u64) {
        let takeover = self.takeovers.get_mut(&id).expect("it is held");
        takeover.append = Append::Sent(now);
        let record = Record::Takeover {
            shards: takeover.shards.iter().copied().collect(),
            ballot: with_epoch(takeover.ballot, takeover.epoch),
        };
        self.actions.push(OwnerAction::Append {
            takeover: id,
            record,
        });
    }

    fn on_recorded(
        &mut self,
        now: Instant,
        offset: u64,
        written: LogTime,
        shards: &[ShardId],
        ballot: Ballot,
    ) {
        self.note_begin(written, shards, ballot);
        let ballot = base_ballot(ballot);
        if ballot.owner != self.me {
            for shard in shards {
                self.on_ballot(now, *shard, ballot);
            }
            return;
        }

        let covered = self.members.log_coverage().covers(written, self.cfg.lease);
        for takeover in self.takeovers.values_mut() {
            if takeover.ballot == ballot && takeover.offset.is_none() {
                takeover.offset = Some(offset);
                takeover.covered = covered;
            }
        }
    }

    /// Notes when a ballot began at the earliest.
    fn note_begin(&mut self, written: LogTime, shards: &[ShardId], ballot: Ballot) {
        let epochs = u32::try_from(epoch_of(ballot)).unwrap_or(u32::MAX);
        let age = epoch_length(self.cfg.window).saturating_mul(epochs);
        let begin = written.checked_sub(age).unwrap_or(written);
        for shard in shards {
            let begins = &mut self.shards.entry(*shard).or_default().begins;
            match begins
                .iter_mut()
                .find(|(known, _)| *known == base_ballot(ballot))
            {
                Some((_, known)) => *known = begin.min(*known),
                None => begins.push((base_ballot(ballot), begin)),
            }
            if begins.len() > MAX_BEGINS {
                begins.sort();
                begins.remove(0);
            }
        }
    }

    /// Takes in that an agent left. Its custodian, if any, is asked for the starts again, as it may
    /// have adopted them after it reported.
    fn on_left(&mut self, written: LogTime, agent: Incarnation, custodian: Option<Incarnation>) {
        let state = self.members.entry(agent);
        state.left = true;
        state.custodian = custodian.or(state.custodian);
        state.forget_at = Some(written + marker_retention(self.cfg.window));
        if let Some(custodian) = custodian
            && self.members.get(custodian).is_some_and(|agent| agent.up)
        {
            self.fence_agent(custodian);
        }
    }
}

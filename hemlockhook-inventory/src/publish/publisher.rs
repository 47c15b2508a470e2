//! Publishing one change, and settling it when a reply is lost.

use serde::{Deserialize, Serialize};

use crate::publish::reader::{ConfigReader, Verdict};
use crate::publish::record::ConfigRecord;

/// Why nothing can be published by a base.
const UNKNOWN_VERSION: &str = "the log no longer holds the version in force; processes that have \
    it repeat it there, and if none is left, a configuration can be restored";

/// What the caller is to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishAction {
    /// Read the log from [`Publisher::next_offset`] to its end: give each record to
    /// [`Publisher::on_record`], then call [`Publisher::on_caught_up`] or
    /// [`Publisher::on_read_failed`].
    Read,
    /// Append this body, then call [`Publisher::on_appended`] or one of
    /// [`Publisher::on_append_failed`] and [`Publisher::on_append_uncertain`].
    Append(Vec<u8>),
    /// Nothing: the change is settled.
    Done(PublishOutcome),
}

/// What became of a publish.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum PublishOutcome {
    /// The document is in force, or comes in force at each process as it reads the log.
    Accepted {
        /// Its version.
        version: u64,
    },
    /// Another version was in force than the one that the document was edited from. The document
    /// never comes in force.
    Refused {
        /// The version in force.
        in_force: u64,
    },
    /// Nothing was published, and nothing will be.
    NotPublished {
        /// Why.
        why: String,
    },
    /// The log may hold the change, and it may still come in force. Publishing the same file again
    /// under the same change id settles it.
    Unsettled {
        /// Why it could not be settled.
        why: String,
    },
}

/// Publishes one change.
///
/// A change whose reply was lost is looked for in the log. While it is not there and its base is
/// still in force, it is appended again under its change id: of several copies at most one can be
/// accepted, for the base of the others is then no longer in force.
///
/// A change that restores a configuration has no base. It is appended only while the log does not
/// tell which version is in force, and is accepted only at the very end that its writer had read.
#[derive(Clone, Debug)]
pub struct Publisher {
    reader: ConfigReader,
    record: ConfigRecord,
    may_be_in_log: bool,
    action: PublishAction,
}

impl Publisher {
    /// Creates a publisher for a change. The reader may have read the log before.
    pub fn new(reader: ConfigReader, record: ConfigRecord) -> Self {
        assert!(
            record.version.is_none(),
            "a change is published, not a repeat"
        );
        Self {
            reader,
            record,
            may_be_in_log: false,
            action: PublishAction::Read,
        }
    }

    /// Marks that an earlier try with this change id may have reached the log.
    pub fn resume(self) -> Self {
        Self {
            may_be_in_log: true,
            ..self
        }
    }

    /// Returns what is to be done now.
    pub fn action(&self) -> &PublishAction {
        &self.action
    }

    /// Returns the next offset to read.
    pub fn next_offset(&self) -> u64 {
        self.reader.next_offset()
    }

    /// Returns the reader, which has read the log as far as the publisher has.
    pub fn reader(&self) -> &ConfigReader {
        &self.reader
    }

    /// Takes a configuration that a process has in force.
    pub fn on_peer_config(&mut self, version: u64, document: &str) {
        self.reader.adopt(version, document);
    }

    /// Takes a record that was read.
    pub fn on_record(&mut self, offset: u64, body: &[u8]) {
        self.reader.on_record(offset, body);
    }

    /// Takes that every record below an offset is gone from the log.
    pub fn on_truncated(&mut self, first_retained: u64) {
        self.reader.on_truncated(first_retained);
    }

    /// Takes that the log was read to its end.
    pub fn on_caught_up(&mut self) {
        let outcome = self.reader.outcome(&self.record.change_id);
        self.action = match (outcome, self.reader.decided_version()) {
            (Some(Verdict::Accepted { version }), _) => {
                PublishAction::Done(PublishOutcome::Accepted { version })
            }
            (Some(Verdict::Refused { in_force }), _) => {
                PublishAction::Done(PublishOutcome::Refused { in_force })
            }
            (_, None) if self.record.restore => self.restore(),
            (_, None) => self.give_up(UNKNOWN_VERSION),
            (_, Some(in_force)) if self.record.base == in_force && !self.record.restore => {
                PublishAction::Append(self.record.to_bytes())
            }
            (_, Some(in_force)) => self.not_found(in_force),
        };
    }

    /// Restores the configuration, unless an earlier copy of the record may have done so already.
    fn restore(&mut self) -> PublishAction {
        let was_refused = |at| self.reader.contiguous_from() <= at;
        if self.may_be_in_log && !self.record.read_to.is_some_and(was_refused) {
            return self.give_up("the log dropped records that may have held the change");
        }
        self.record.read_to = Some(self.reader.next_offset());
        PublishAction::Append(self.record.to_bytes())
    }

    /// Decides on a change that is not in the log and whose base is not in force.
    fn not_found(&self, in_force: u64) -> PublishAction {
        // A copy of the record can only have been accepted after its base.
        let is_known = self.reader.decided_from() <= self.record.base + 1;
        match self.may_be_in_log && !is_known {
            true => self.give_up("the log holds the records since the change's base no longer"),
            // A base that is no longer in force never is again: a copy that comes late is refused.
            false => PublishAction::Done(PublishOutcome::Refused { in_force }),
        }
    }

    /// Takes that a read failed. The caller either gives up with [`Publisher::on_deadline`] or
    /// reads again.
    pub fn on_read_failed(&mut self, why: &str) {
        self.action = match self.may_be_in_log {
            true => PublishAction::Read,
            false => self.give_up(why),
        };
    }

    /// Takes that the append took effect at an offset.
    pub fn on_appended(&mut self, offset: u64) {
        self.may_be_in_log = true;
        self.action = PublishAction::Read;
        if offset == self.reader.next_offset() {
            let body = self.record.to_bytes();
            self.reader.on_record(offset, &body);
            self.on_caught_up();
        }
    }

    /// Takes that the append failed without an effect.
    pub fn on_append_failed(&mut self, why: &str) {
        self.on_read_failed(why);
    }

    /// Takes that the append may have taken effect.
    pub fn on_append_uncertain(&mut self) {
        self.may_be_in_log = true;
        self.action = PublishAction::Read;
    }

    /// Takes that the caller waits no longer.
    pub fn on_deadline(&mut self, why: &str) {
        if !matches!(self.action, PublishAction::Done(_)) {
            self.action = self.give_up(why);
        }
    }

    fn give_up(&self, why: &str) -> PublishAction {
        let why = why.to_owned();
        PublishAction::Done(match self.may_be_in_log {
            true => PublishOutcome::Unsettled { why },
            false => PublishOutcome::NotPublished { why },
        })
    }
}

//! State machine that publishes one change and resolves its outcome if a reply is lost.

use serde::{Deserialize, Serialize};

use crate::publish::reader::{ConfigReader, Verdict};
use crate::publish::record::ConfigRecord;

/// Reported if the base of a change can't be compared with the version in force.
const UNKNOWN_VERSION: &str = "the log no longer contains the version in force; processes that \
    have it append it again, and if none is left, a configuration can be restored";

/// The next action of the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishAction {
    /// Read the log from [`Publisher::next_offset`] to its end: pass each record to
    /// [`Publisher::on_record`], then call [`Publisher::on_caught_up`] or
    /// [`Publisher::on_read_failed`].
    Read,
    /// Append this body, then call [`Publisher::on_appended`], [`Publisher::on_append_failed`] or
    /// [`Publisher::on_append_uncertain`].
    Append(Vec<u8>),
    /// Nothing: the outcome is final.
    Done(PublishOutcome),
}

/// Outcome of publishing a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum PublishOutcome {
    /// The document takes effect at each process as soon as it reads the log.
    Accepted {
        /// Version of the document.
        version: u64,
    },
    /// The document was not edited from the version in force, or was to be restored although the log
    /// determines that version. It will never take effect.
    Refused {
        /// The version in force.
        in_force: u64,
    },
    /// The change is not in the log and will not be appended.
    NotPublished {
        /// Reason why the change was not published.
        why: String,
    },
    /// The log may contain the change, and it may still take effect. Publishing the same file again
    /// with the same change id determines the outcome.
    Unsettled {
        /// Reason why the outcome could not be determined.
        why: String,
    },
}

/// Publishes one change.
///
/// If the reply to an append is lost, the publisher searches the log for the change. As long as the
/// log does not contain it and its base is still in force, it is appended again with the same
/// change id. At most one of several copies can be accepted, because the base of the others is no
/// longer in force after that.
///
/// A change that restores a configuration has no base. It is appended only if the version in force
/// can't be determined from the log, and is accepted only if no other record was appended since the
/// publisher read the log.
#[derive(Clone, Debug)]
pub struct Publisher {
    reader: ConfigReader,
    record: ConfigRecord,
    may_be_in_log: bool,
    action: PublishAction,
}

impl Publisher {
    /// Creates a publisher for a change. The reader may have read a part of the log already.
    pub fn new(reader: ConfigReader, record: ConfigRecord) -> Self {
        assert!(
            record.version.is_none(),
            "a repeat can't be published as a change"
        );
        Self {
            reader,
            record,
            may_be_in_log: false,
            action: PublishAction::Read,
        }
    }

    /// Marks that an earlier attempt with this change id may have been appended to the log.
    pub fn resume(self) -> Self {
        Self {
            may_be_in_log: true,
            ..self
        }
    }

    /// Returns the next action of the caller.
    pub fn action(&self) -> &PublishAction {
        &self.action
    }

    /// Returns the next offset to read.
    pub fn next_offset(&self) -> u64 {
        self.reader.next_offset()
    }

    /// Returns the reader that the publisher feeds with records.
    pub fn reader(&self) -> &ConfigReader {
        &self.reader
    }

    /// Handles the configuration that another process has in force.
    pub fn on_peer_config(&mut self, version: u64, document: &str) {
        self.reader.adopt(version, document);
    }

    /// Handles a record read from the log.
    pub fn on_record(&mut self, offset: u64, body: &[u8]) {
        self.reader.on_record(offset, body);
    }

    /// Handles the truncation of the log, which retains no records before `first_retained`.
    pub fn on_truncated(&mut self, first_retained: u64) {
        self.reader.on_truncated(first_retained);
    }

    /// Determines the next action after the log was read to its end.
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
            (_, Some(in_force)) => self.on_stale_base(in_force),
        };
    }

    /// Appends the record that restores a configuration, unless an earlier copy of it may have been
    /// accepted.
    fn restore(&mut self) -> PublishAction {
        let was_refused = |read_to| self.reader.contiguous_from() <= read_to;
        if self.may_be_in_log && !self.record.read_to.is_some_and(was_refused) {
            return self.give_up("the log dropped records that may have contained the change");
        }
        self.record.read_to = Some(self.reader.next_offset());
        PublishAction::Append(self.record.to_bytes())
    }

    /// Returns the action for a change without a known outcome whose base is not in force, or that
    /// restores a configuration although the version in force is known.
    fn on_stale_base(&self, in_force: u64) -> PublishAction {
        // A copy of the record can only have been accepted after its base.
        let covers_base = self.reader.decided_from() <= self.record.base + 1;
        match self.may_be_in_log && !covers_base {
            true => self.give_up("the log no longer contains all records since the change's base"),
            // Versions only increase, so a copy that is appended later is refused too.
            false => PublishAction::Done(PublishOutcome::Refused { in_force }),
        }
    }

    /// Handles a failed read. If the change may be in the log, the caller reads again or gives up
    /// with [`Publisher::on_deadline`]; otherwise the change is not published.
    pub fn on_read_failed(&mut self, why: &str) {
        self.action = match self.may_be_in_log {
            true => PublishAction::Read,
            false => self.give_up(why),
        };
    }

    /// Handles a successful append at an offset.
    pub fn on_appended(&mut self, offset: u64) {
        self.may_be_in_log = true;
        self.action = PublishAction::Read;
        if offset == self.reader.next_offset() {
            let body = self.record.to_bytes();
            self.reader.on_record(offset, &body);
            self.on_caught_up();
        }
    }

    /// Handles an append that failed without effect.
    pub fn on_append_failed(&mut self, why: &str) {
        self.on_read_failed(why);
    }

    /// Handles an append that may have taken effect, because its reply was lost.
    pub fn on_append_uncertain(&mut self) {
        self.may_be_in_log = true;
        self.action = PublishAction::Read;
    }

    /// Gives up, unless the outcome is final, because the caller stops waiting.
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

//! Decides from the log which configuration is in force.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use hemlockhook_types::FIRST_OFFSET;
use serde::{Deserialize, Serialize};

use crate::check::{Problem, check};
use crate::model::Inventory;
use crate::publish::record::ConfigRecord;

/// Maximum number of changes whose outcome is kept.
const MAX_OUTCOMES: usize = 4096;

/// Maximum number of records kept while the reader can't decide them.
const MAX_UNDECIDED: usize = 64;

/// A reader's decision on one record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "verdict")]
pub enum Verdict {
    /// The record's document is in force with this version.
    Accepted {
        /// Version that the document has received.
        version: u64,
    },
    /// The record's base was not the version in force, or the record restores a configuration and is
    /// not at the offset up to which its writer had read.
    Refused {
        /// The version in force.
        in_force: u64,
    },
    /// The record repeats the version in force.
    Repeated,
    /// The record was read before, is not a configuration record, or repeats an older version.
    Ignored,
    /// The reader missed earlier records that it needs for a decision.
    Undecided,
}

/// Reads the `config` stream and keeps the configuration in force.
///
/// This is the highest version among those decided from the log and those adopted from peers.
#[derive(Clone, Debug, Default)]
pub struct ConfigReader {
    in_force: Versioned,
    usable: Option<(u64, Arc<Inventory>)>,
    problems: Vec<Problem>,
    log: LogPosition,
    outcomes: Outcomes,
}

impl ConfigReader {
    /// Creates a reader that has read nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles the record at an offset. Records must be passed in log order; a record that was
    /// already passed is ignored, and a gap in the offsets means that records were missed.
    pub fn on_record(&mut self, offset: u64, body: &[u8]) -> Verdict {
        if offset < self.log.next {
            return Verdict::Ignored;
        }
        self.on_truncated(offset);
        self.log.next = offset + 1;

        let record = ConfigRecord::from_bytes(body);
        match (&self.log.decided, record) {
            (None, Some(record)) if record.restores_at(offset) => {
                self.log.undecided.clear();
                self.log.decided_from = offset;
                self.decide(offset, record)
            }
            (Some(_), Some(record)) => self.decide(offset, record),
            (Some(_), None) => Verdict::Ignored,
            (None, record) => {
                self.postpone(offset, record);
                self.resume_deciding()
            }
        }
    }

    /// Handles the truncation of the log, which retains no records before `first_retained`.
    pub fn on_truncated(&mut self, first_retained: u64) {
        if first_retained <= self.log.next {
            return;
        }
        self.log = LogPosition {
            next: first_retained,
            contiguous_from: first_retained,
            decided: None,
            decided_from: first_retained,
            undecided: VecDeque::new(),
        };
        self.resume_deciding();
    }

    /// Adopts the configuration that a peer has in force if its version is higher. Returns whether
    /// it was adopted.
    pub fn adopt(&mut self, version: u64, document: &str) -> bool {
        if version <= self.in_force.version {
            return false;
        }
        self.put_in_force(Versioned {
            version,
            document: document.into(),
            change_id: String::new(),
        });
        self.resume_deciding();
        true
    }

    /// Returns the configuration in use and its version. This is the configuration in force, or the
    /// last one that passed its checks if this release can't use the document in force.
    pub fn current(&self) -> Option<(u64, Arc<Inventory>)> {
        self.usable.clone()
    }

    /// Returns the version in force, or 0 if there is none.
    pub fn version(&self) -> u64 {
        self.in_force.version
    }

    /// Returns the document in force, or an empty string if there is none.
    pub fn document(&self) -> &str {
        &self.in_force.document
    }

    /// Returns the problems because of which this release can't use the document in force.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }

    /// Returns the next offset to read.
    pub fn next_offset(&self) -> u64 {
        self.log.next
    }

    /// Returns the version in force after the last record read, or `None` while it can't be
    /// determined from the log.
    pub fn decided_version(&self) -> Option<u64> {
        self.log.decided.as_ref().map(|decided| decided.version)
    }

    /// Returns the offset from which every record was read without a gap, decided or not.
    pub fn contiguous_from(&self) -> u64 {
        self.log.contiguous_from
    }

    /// Returns the offset from which every record was read and decided. The outcome of earlier
    /// changes is not known.
    pub fn decided_from(&self) -> u64 {
        self.log.decided_from
    }

    /// Returns the outcome of a change, if the reader decided it and still keeps the outcome.
    pub fn outcome(&self, change_id: &str) -> Option<Verdict> {
        self.outcomes.get(change_id)
    }

    /// Returns a record that repeats the version in force, or `None` unless this version is known to
    /// be in force after the last record read.
    pub fn repeat(&self) -> Option<ConfigRecord> {
        let decided = self.log.decided.as_ref()?;
        (decided.version > 0 && decided.version == self.in_force.version).then(|| ConfigRecord {
            change_id: decided.change_id.clone(),
            base: decided.version,
            document: decided.document.to_string(),
            author: String::new(),
            version: Some(decided.version),
            read_to: Some(self.log.next),
            restore: false,
        })
    }

    /// Decides a record, given the version in force just before it.
    fn decide(&mut self, offset: u64, record: ConfigRecord) -> Verdict {
        let in_force = self.log.decided.as_ref().map_or(0, |d| d.version);
        match record.version {
            Some(version) if version == in_force => return Verdict::Repeated,
            Some(_) => return Verdict::Ignored,
            None => {}
        }

        let is_accepted = match record.restore {
            true => record.restores_at(offset),
            false => record.base == in_force,
        };
        if !is_accepted {
            let refused = Verdict::Refused { in_force };
            self.outcomes.insert(&record.change_id, refused);
            return refused;
        }
        let version = offset;
        let accepted = Verdict::Accepted { version };
        self.outcomes.insert(&record.change_id, accepted);
        self.accept(Versioned {
            version,
            document: record.document.into(),
            change_id: record.change_id,
        });
        accepted
    }

    fn accept(&mut self, accepted: Versioned) {
        self.log.decided = Some(accepted.clone());
        if accepted.version > self.in_force.version {
            self.put_in_force(accepted);
        }
    }

    /// Keeps a record that can't be decided yet, and drops the oldest one if there are too many.
    fn postpone(&mut self, offset: u64, record: Option<ConfigRecord>) {
        let log = &mut self.log;
        if log.undecided.len() == MAX_UNDECIDED {
            let dropped = log.undecided.pop_front();
            log.contiguous_from = dropped.map_or(log.contiguous_from, |(offset, _)| offset + 1);
        }
        log.undecided.push_back((offset, record));
    }

    /// Resumes deciding from the first offset at which the version in force is known. Returns the
    /// verdict on the last record.
    fn resume_deciding(&mut self) -> Verdict {
        if self.log.decided.is_some() {
            return Verdict::Ignored;
        }
        let Some((known_at, known)) = self.known_point() else {
            return Verdict::Undecided;
        };
        if !known.change_id.is_empty() {
            let version = known.version;
            self.outcomes
                .insert(&known.change_id, Verdict::Accepted { version });
        }
        self.accept(known);
        self.log.decided_from = known_at;

        let mut last = Verdict::Undecided;
        for (offset, record) in std::mem::take(&mut self.log.undecided) {
            last = match record {
                Some(record) if offset >= known_at => self.decide(offset, record),
                Some(_) => Verdict::Undecided,
                None => Verdict::Ignored,
            };
        }
        last
    }

    /// Returns an offset from which every record was read, and the version in force just before it.
    fn known_point(&self) -> Option<(u64, Versioned)> {
        let log = &self.log;
        let is_read = |offset: u64| (log.contiguous_from..=log.next).contains(&offset);

        let after_adopted = self.in_force.version + 1;
        if self.in_force.version > 0 && is_read(after_adopted) {
            return Some((after_adopted, self.in_force.clone()));
        }
        log.undecided.iter().find_map(|(_, record)| {
            let record = record.as_ref()?;
            let read_to = record.read_to.filter(|offset| is_read(*offset))?;
            let known = Versioned {
                version: record.version?,
                document: record.document.as_str().into(),
                change_id: record.change_id.clone(),
            };
            Some((read_to, known))
        })
    }

    fn put_in_force(&mut self, next: Versioned) {
        assert!(
            next.version > self.in_force.version,
            "the configuration version must increase: {} after {}",
            next.version,
            self.in_force.version
        );
        match check(&next.document) {
            Ok(inventory) => {
                self.usable = Some((next.version, Arc::new(inventory)));
                self.problems.clear();
            }
            Err(problems) => self.problems = problems,
        }
        self.in_force = next;
    }
}

/// A version, its document and its change id, which is empty if unknown.
#[derive(Clone, Debug, Default)]
struct Versioned {
    version: u64,
    document: Arc<str>,
    change_id: String,
}

/// Position of a reader in the log, and the state of its decisions.
#[derive(Clone, Debug)]
struct LogPosition {
    /// Next offset to read.
    next: u64,
    /// Every record from here to `next` has been read without a gap, and is kept while undecided.
    contiguous_from: u64,
    /// The version in force just before `next`; `None` while it can't be determined.
    decided: Option<Versioned>,
    /// Every record from here to `next` has been decided, if `decided` is set.
    decided_from: u64,
    /// Records from `contiguous_from` on, while they can't be decided; `None` for a body that is not
    /// a configuration record.
    undecided: VecDeque<(u64, Option<ConfigRecord>)>,
}

impl Default for LogPosition {
    /// Returns the position at the start of a log from which no record was dropped.
    fn default() -> Self {
        Self {
            next: FIRST_OFFSET,
            contiguous_from: FIRST_OFFSET,
            decided: Some(Versioned::default()),
            decided_from: FIRST_OFFSET,
            undecided: VecDeque::new(),
        }
    }
}

/// Outcomes of the latest changes. The first verdict on a change is final, so a record that is in
/// the log twice counts once.
#[derive(Clone, Debug, Default)]
struct Outcomes {
    by_change: HashMap<String, Verdict>,
    order: VecDeque<String>,
}

impl Outcomes {
    fn get(&self, change_id: &str) -> Option<Verdict> {
        self.by_change.get(change_id).copied()
    }

    fn insert(&mut self, change_id: &str, verdict: Verdict) {
        if self.by_change.contains_key(change_id) {
            return;
        }
        if self.order.len() == MAX_OUTCOMES
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_change.remove(&oldest);
        }
        self.order.push_back(change_id.to_owned());
        self.by_change.insert(change_id.to_owned(), verdict);
    }
}

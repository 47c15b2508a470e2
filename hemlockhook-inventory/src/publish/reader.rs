//! The rule by which every reader of the log decides which configuration is in force.
//!
//! The version of an accepted record is its offset plus one, so that 0 can stand for "none yet".

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::check::{Problem, check};
use crate::model::Inventory;
use crate::publish::record::ConfigRecord;

/// What a reader makes of one record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "verdict")]
pub enum Verdict {
    /// The record's document is in force as this version.
    Accepted {
        /// The new version.
        version: u64,
    },
    /// Another version than the record's base was in force.
    Refused {
        /// The version in force.
        in_force: u64,
    },
    /// The record repeats the version in force.
    Repeated,
    /// The record was read before, or is no configuration record.
    Ignored,
    /// Retention dropped records that the reader would need to decide.
    Undecided,
}

/// Reads the stream `config` and holds the configuration in force.
#[derive(Clone, Debug, Default)]
pub struct ConfigReader {
    next: u64,
    version: u64,
    document: String,
    usable: Option<(u64, Arc<Inventory>)>,
    problems: Vec<Problem>,
    outcomes: HashMap<String, Verdict>,
}

impl ConfigReader {
    /// Creates a reader that has read nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the record at an offset. Records are given in the order of the log.
    pub fn on_record(&mut self, offset: u64, body: &[u8]) -> Verdict {
        if offset < self.next {
            return Verdict::Ignored;
        }
        self.next = offset + 1;
        let Ok(record) = serde_json::from_slice::<ConfigRecord>(body) else {
            return Verdict::Ignored;
        };
        let verdict = self.decide(offset, &record);
        self.outcomes
            .entry(record.change_id)
            .or_insert_with(|| verdict.clone());
        verdict
    }

    /// Takes the configuration that a peer has in force. Returns whether it is now in force here.
    pub fn adopt(&mut self, version: u64, document: &str) -> bool {
        if version <= self.version {
            return false;
        }
        self.put_in_force(version, document);
        true
    }

    /// Returns the configuration in force and its version.
    pub fn current(&self) -> Option<(u64, Arc<Inventory>)> {
        self.usable.clone()
    }

    /// Returns the version in force, or 0 if there is none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the document in force, or an empty text if there is none.
    pub fn document(&self) -> &str {
        &self.document
    }

    /// Returns why the document in force can't be used by this release, if so.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }

    /// Returns what became of a change, if the reader has seen it.
    pub fn outcome(&self, change_id: &str) -> Option<Verdict> {
        self.outcomes.get(change_id).cloned()
    }

    fn decide(&mut self, offset: u64, record: &ConfigRecord) -> Verdict {
        match record.version {
            Some(version) if version > self.version => {
                self.put_in_force(version, &record.document);
                Verdict::Repeated
            }
            Some(_) => Verdict::Repeated,
            None if record.base != self.version => Verdict::Refused {
                in_force: self.version,
            },
            None => {
                self.put_in_force(offset + 1, &record.document);
                Verdict::Accepted {
                    version: self.version,
                }
            }
        }
    }

    fn put_in_force(&mut self, version: u64, document: &str) {
        assert!(version > self.version, "a configuration never reverts");
        self.version = version;
        self.document = document.to_owned();
        match check(document) {
            Ok(inventory) => {
                self.usable = Some((version, Arc::new(inventory)));
                self.problems.clear();
            }
            Err(problems) => self.problems = problems,
        }
    }
}

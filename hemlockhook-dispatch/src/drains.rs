//! The set of drained data centers, as entries and agents know it.

use std::collections::BTreeSet;
use std::sync::Arc;

/// Name of a data center.
pub type DataCenter = Arc<str>;

/// The drained data centers, with the position in the store's log from which the set is known.
///
/// Each process keeps the set with the highest position that it has read or was told of. A process that
/// has read less never reverts what another one knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Drains {
    /// Offset in the store's log up to which records are taken into account; 0 if nothing is known.
    pub position: u64,
    /// Names of the drained data centers.
    pub data_centers: BTreeSet<DataCenter>,
}

impl Drains {
    /// Takes over `other` if its position is higher. Returns whether the names have changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        if other.position <= self.position {
            return false;
        }
        self.position = other.position;
        if self.data_centers == other.data_centers {
            return false;
        }
        self.data_centers.clone_from(&other.data_centers);
        true
    }

    /// Returns whether a data center is drained.
    pub fn contains(&self, data_center: &str) -> bool {
        self.data_centers.contains(data_center)
    }

    /// Returns the names that are in only one of two sets, with whether they are drained in this one.
    pub fn changes_from<'a>(&'a self, old: &'a Self) -> impl Iterator<Item = (&'a str, bool)> {
        let changed = self.data_centers.symmetric_difference(&old.data_centers);
        changed.map(|name| (&**name, self.data_centers.contains(name)))
    }

    /// Takes a read of the store's records into account.
    pub fn read(&mut self, read: &DrainRead) {
        self.position = read.next;
        if read.lists_all_keys {
            self.data_centers.clear();
        }
        for (data_center, is_drained) in &read.records {
            match is_drained {
                true => self.data_centers.insert(data_center.clone()),
                false => self.data_centers.remove(data_center),
            };
        }
    }
}

/// What a read of the store tells about drained data centers.
#[derive(Clone, Debug, Default)]
pub struct DrainRead {
    /// Start of the next read.
    pub next: u64,
    /// Whether a data center without a record is not drained.
    pub lists_all_keys: bool,
    /// Names, oldest record first, with whether the record requests the drain or ends it.
    pub records: Vec<(DataCenter, bool)>,
}

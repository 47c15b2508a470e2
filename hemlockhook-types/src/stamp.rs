//! The table of stamps that callers hold: opaque to them, one ballot for each shard.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use crate::ballot::{Ballot, ParseStampError, Stamp};
use crate::id::{SHARD_COUNT, ShardId, shard_of};

/// Joins the entries of a written table.
const ENTRY_SEPARATOR: char = '.';

/// Joins a ballot and the set of shards that it covers.
const SHARDS_SEPARATOR: char = ':';

/// The ballots of the shards that are owned, as one entry knows them.
///
/// Written as `ballot:shards` joined by dots, where `shards` is a hexadecimal bit set. Few ballots
/// cover all shards, so a table takes some 40 bytes for each entry of the system.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StampTable {
    ballots: BTreeMap<ShardId, Ballot>,
}

impl StampTable {
    /// Sets the ballot of a shard.
    pub fn insert(&mut self, shard: ShardId, ballot: Ballot) {
        self.ballots.insert(shard, ballot);
    }

    /// Returns the stamp for a job's key, if the table covers its shard.
    pub fn stamp(&self, key: &str) -> Option<Stamp> {
        self.ballots.get(&shard_of(key)).copied()
    }

    /// Returns the ballot of a shard, if the table covers it.
    pub fn get(&self, shard: ShardId) -> Option<Ballot> {
        self.ballots.get(&shard).copied()
    }

    /// Returns the number of shards covered.
    pub fn len(&self) -> usize {
        self.ballots.len()
    }

    /// Returns whether no shard is covered.
    pub fn is_empty(&self) -> bool {
        self.ballots.is_empty()
    }
}

impl Display for StampTable {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let mut shards = BTreeMap::<Ballot, u64>::new();
        for (shard, ballot) in &self.ballots {
            *shards.entry(*ballot).or_default() |= 1 << shard;
        }
        for (position, (ballot, set)) in shards.iter().enumerate() {
            if position > 0 {
                write!(f, "{ENTRY_SEPARATOR}")?;
            }
            write!(f, "{ballot}{SHARDS_SEPARATOR}{set:x}")?;
        }
        Ok(())
    }
}

impl FromStr for StampTable {
    type Err = ParseStampError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut table = Self::default();
        for entry in text
            .split(ENTRY_SEPARATOR)
            .filter(|entry| !entry.is_empty())
        {
            let (ballot, shards) = entry.split_once(SHARDS_SEPARATOR).ok_or(ParseStampError)?;
            let ballot = ballot.parse()?;
            let shards = u64::from_str_radix(shards, 16).map_err(|_| ParseStampError)?;
            (0..SHARD_COUNT)
                .filter(|shard| shards >> shard & 1 == 1)
                .for_each(|shard| table.insert(shard, ballot));
        }
        Ok(table)
    }
}

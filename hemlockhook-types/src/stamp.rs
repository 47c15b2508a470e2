//! Stamp table: one ballot per shard. Callers treat its text form as opaque.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use crate::ballot::{Ballot, ParseStampError, Stamp};
use crate::id::{SHARD_COUNT, ShardId, shard_of};

/// Separates the pairs of a serialized table.
const PAIR_SEPARATOR: char = '.';

/// Separates a ballot from the set of shards that it covers.
const SHARDS_SEPARATOR: char = ':';

/// Ballots of the owned shards, as known to one entry process.
///
/// Serialized as `ballot:shards` pairs separated by dots, where `shards` is a hexadecimal bit set.
/// A few ballots cover all shards, so a table takes about 40 bytes per entry process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StampTable {
    ballots: BTreeMap<ShardId, Ballot>,
}

impl StampTable {
    /// Sets the ballot of a shard.
    pub fn insert(&mut self, shard: ShardId, ballot: Ballot) {
        self.ballots.insert(shard, ballot);
    }

    /// Returns the stamp for a job's key, or `None` if its shard has no ballot.
    pub fn stamp(&self, key: &str) -> Option<Stamp> {
        self.ballots.get(&shard_of(key)).copied()
    }

    /// Returns the ballot of a shard, or `None` if it has none.
    pub fn get(&self, shard: ShardId) -> Option<Ballot> {
        self.ballots.get(&shard).copied()
    }

    /// Returns the number of shards with a ballot.
    pub fn len(&self) -> usize {
        self.ballots.len()
    }

    /// Returns whether no shard has a ballot.
    pub fn is_empty(&self) -> bool {
        self.ballots.is_empty()
    }
}

impl Display for StampTable {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let mut shards_by_ballot = BTreeMap::<Ballot, u64>::new();
        for (shard, ballot) in &self.ballots {
            *shards_by_ballot.entry(*ballot).or_default() |= 1 << shard;
        }
        for (i, (ballot, bits)) in shards_by_ballot.iter().enumerate() {
            if i > 0 {
                write!(f, "{PAIR_SEPARATOR}")?;
            }
            write!(f, "{ballot}{SHARDS_SEPARATOR}{bits:x}")?;
        }
        Ok(())
    }
}

impl FromStr for StampTable {
    type Err = ParseStampError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut table = Self::default();
        for pair in text.split(PAIR_SEPARATOR).filter(|pair| !pair.is_empty()) {
            let (ballot, shards) = pair.split_once(SHARDS_SEPARATOR).ok_or(ParseStampError)?;
            let ballot = ballot.parse()?;
            let shards = u64::from_str_radix(shards, 16).map_err(|_| ParseStampError)?;
            (0..SHARD_COUNT)
                .filter(|shard| shards >> shard & 1 == 1)
                .for_each(|shard| table.insert(shard, ballot));
        }
        Ok(table)
    }
}

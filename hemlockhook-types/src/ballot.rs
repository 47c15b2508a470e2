//! Ballots, which identify the owner of a shard, and the stamps that callers hold.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::id::Incarnation;

/// Permits its owner to start tasks of a shard. Unique per takeover; ordered by counter, then owner.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Increases with each takeover of the shard.
    pub counter: u64,
    /// The entry that owns the shard under this ballot.
    pub owner: Incarnation,
}

/// The ballot of a key's shard that the caller knew when it created the key.
pub type Stamp = Ballot;

/// Error for a stamp that does not have the form `counter-owner`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a stamp is two hexadecimal numbers joined by '-'")]
pub struct ParseStampError;

impl Display for Ballot {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}", self.counter, self.owner)
    }
}

impl FromStr for Ballot {
    type Err = ParseStampError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (counter, owner) = text.split_once('-').ok_or(ParseStampError)?;
        let parse = |part| u64::from_str_radix(part, 16).map_err(|_| ParseStampError);
        Ok(Self {
            counter: parse(counter)?,
            owner: parse(owner)?,
        })
    }
}

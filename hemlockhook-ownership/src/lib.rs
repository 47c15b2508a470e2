//! Shard ownership, fencing and start records.

//! Ids used across processes.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

/// Offset of the first record that a stream of the platform's log ever had.
pub const FIRST_OFFSET: u64 = 1;

/// Number of shards that submissions are spread over.
pub const SHARD_COUNT: u16 = 64;

/// One run of a process, drawn at random at its start; a restart has another.
pub type Incarnation = u64;

/// A caller's idempotency key, prefixed by its team: `team/key`.
pub type JobKey = Arc<str>;

/// Name of a service in the inventory.
pub type ServiceName = Arc<str>;

/// Name of a team in the inventory.
pub type TeamName = Arc<str>;

/// Position of a task in its job, from 0.
pub type TaskIndex = u32;

/// A shard of the key space, below [`SHARD_COUNT`].
pub type ShardId = u16;

/// Returns the shard that a job's key belongs to.
pub fn shard_of(key: &str) -> ShardId {
    (xxh3_64(key.as_bytes()) % u64::from(SHARD_COUNT)) as ShardId
}

/// Draws an incarnation for a process that starts. It is never zero.
pub fn new_incarnation() -> Incarnation {
    fastrand::u64(1..)
}

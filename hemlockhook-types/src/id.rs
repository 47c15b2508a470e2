//! Identifiers shared between processes.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

/// Offset of the first record ever appended to a stream of the platform's log.
pub const FIRST_OFFSET: u64 = 1;

/// Number of shards that job keys are hashed to.
pub const SHARD_COUNT: u16 = 64;

/// Random identifier of one run of a process; it changes on restart.
pub type Incarnation = u64;

/// A caller's idempotency key, prefixed by its team: `team/key`.
pub type JobKey = Arc<str>;

/// Name of a service in the inventory.
pub type ServiceName = Arc<str>;

/// Name of a team in the inventory.
pub type TeamName = Arc<str>;

/// Zero-based index of a task in its job.
pub type TaskIndex = u32;

/// Shard of the key space; less than [`SHARD_COUNT`].
pub type ShardId = u16;

/// Returns the shard that a job's key belongs to.
pub fn shard_of(key: &str) -> ShardId {
    (xxh3_64(key.as_bytes()) % u64::from(SHARD_COUNT)) as ShardId
}

/// Generates a random incarnation for a starting process. It is never zero.
///
/// It is drawn from the operating system's random numbers. A generator that is seeded by the clock
/// gave two processes that started in the same tick of the clock the same incarnation.
///
/// # Panics
///
/// Panics if the operating system has no random numbers.
pub fn new_incarnation() -> Incarnation {
    loop {
        let incarnation = getrandom::u64().expect("the operating system has random numbers");
        if incarnation != 0 {
            return incarnation;
        }
    }
}

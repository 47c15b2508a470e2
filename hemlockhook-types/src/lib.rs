//! Identifiers, ballots, jobs, answers and the clock interface, shared by all crates.

pub mod answer;
pub mod ballot;
pub mod clock;
pub mod id;
pub mod job;
pub mod stamp;

pub use answer::{Answer, AnswerKind, Reason, TaskOutcome, TaskResult};
pub use ballot::{Ballot, ParseStampError, Stamp};
pub use clock::{Clock, ManualClock, SystemClock};
pub use id::{
    FIRST_OFFSET, Incarnation, JobKey, SHARD_COUNT, ServiceName, ShardId, TaskIndex, TeamName,
    new_incarnation, shard_of,
};
pub use job::{Job, Task};
pub use stamp::StampTable;

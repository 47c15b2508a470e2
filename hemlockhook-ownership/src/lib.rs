//! Shard ownership, fencing and start records, without I/O.
//!
//! [`Gate`] decides at an agent whether a task may start; [`Owner`] decides at an entry which tasks
//! to start and what a job's answer is. Both take events and the time and return values; the
//! caller moves the messages. `docs/design/ownership.md` states the protocol and its invariants.
//!
//! A link between an entry and an agent is one stream. It delivers messages in order and at most
//! once until it breaks. The caller drops whatever is left of an older link of the same pair of
//! incarnations once a newer one is up.

pub mod epoch;
pub mod gate;
pub mod log_coverage;
pub mod messages;
pub mod owner;
pub mod record;
#[doc(hidden)]
pub mod rules;
mod starts;

pub use gate::{Gate, GateConfig};
pub use log_coverage::LogCoverage;
pub use messages::{Custody, FenceReport, StartOrder, StartRecord, StartRefusal, Withdrawal};
pub use owner::{Admission, LookupResult, Owner, OwnerAction, OwnerConfig, RefusalOutcome};
pub use record::Record;
#[doc(hidden)]
pub use rules::Rules;

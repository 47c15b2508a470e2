//! Shard ownership, fencing and start records, without I/O.
//!
//! [`Gate`] runs at an agent and decides whether a task may start. [`Owner`] runs at an entry and
//! decides which tasks to start and how a job is answered. Both are state machines: they take
//! events and the current time and return values, and the caller sends and receives the messages.
//! `docs/design/ownership.md` specifies the protocol and its invariants.
//!
//! A link between an entry and an agent is one stream, which delivers messages in order and at most
//! once until it breaks. Once a newer link between the same pair of incarnations is up, the caller
//! must drop all remaining messages of the older ones.

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

//! Publishing of configurations through the platform's log.
//!
//! Publishing appends the whole document together with its base, the version that it was edited
//! from. All readers apply the same rule in log order: a record is accepted if its base is the
//! version in force at that point. The version of an accepted record is its offset, so versions
//! only increase. Offsets start at 1, and version 0 means that there is no configuration yet.
//!
//! Because retention drops old records, the version in force is appended again before it is
//! dropped. Such a repeat keeps the version and contains the offset up to which its writer had read
//! the log. A reader that missed records can't determine which of them were accepted. It resumes
//! from a repeat or from a peer's version, once it has read every record since the offset for which
//! that version is known.
//!
//! If no running process knows the version in force and the log has dropped it, an operator
//! restores a configuration. Such a record is accepted if its offset is exactly the one up to which
//! its writer had read, so that every reader can decide it without any other record.

pub mod publisher;
pub mod reader;
pub mod record;
pub mod repeater;

pub use publisher::{PublishAction, PublishOutcome, Publisher};
pub use reader::{ConfigReader, Verdict};
pub use record::ConfigRecord;
pub use repeater::Repeater;

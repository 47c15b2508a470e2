//! How configurations are published through the platform's log.
//!
//! A publish appends the whole document with the version that it was edited from. Every reader
//! applies one rule in the order of the log: a record is accepted if its base is the version then
//! in force. The version of an accepted record is its offset, so versions only rise; offsets begin at 1
//! and 0 stands for "none yet".
//!
//! Retention drops old records, so the version in force is appended again before it is dropped,
//! unchanged in version. Such a repeat says up to which offset its writer had read. A reader that
//! misses records can't tell what was accepted among them: it decides again from a repeat or a
//! peer's version, once it has read every record since the point for which that version is known.
//!
//! When every process that knew the version in force is gone and the log has dropped it, an operator
//! restores a configuration: such a record is accepted if it got the very offset that its writer
//! had read to, so that every reader can tell from the record alone.

pub mod publisher;
pub mod reader;
pub mod record;
pub mod repeater;

pub use publisher::{PublishAction, PublishOutcome, Publisher};
pub use reader::{ConfigReader, Verdict};
pub use record::ConfigRecord;
pub use repeater::Repeater;

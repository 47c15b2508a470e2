//! How configurations are published through the platform's log.

pub mod reader;
pub mod record;

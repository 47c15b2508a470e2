//! The entry.

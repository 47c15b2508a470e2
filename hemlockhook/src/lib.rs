//! A dispatcher for sub-second tasks, as a library with thin daemons.
//!
//! [`entry`] takes jobs from callers and [`agent`] starts their tasks beside an upstream. [`fleet`]
//! runs a whole deployment in one process, for the demonstration, experiments and tests.

pub mod fleet;

pub use {hemlockhook_agent as agent, hemlockhook_entry as entry};

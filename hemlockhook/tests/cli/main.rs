//! Tests of the operators' command, run as a process against stand-ins.

mod arguments;
mod configs;
mod daemons;
mod docs;
mod fixture;
#[path = "../support/ports.rs"]
mod ports;
mod reports;

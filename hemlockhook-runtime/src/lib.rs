//! Executors, clocks, HTTP, gRPC transport, signals, logging, metrics and settings.
//!
//! The infrastructure that the daemons share, free of scheduling logic. Each module wraps a library
//! or an interface of the operating system behind the narrow interface that the daemons use.

pub mod clock;
pub mod cpu;
pub mod executor;
pub mod grpc;
pub mod http;
pub mod io;
pub mod log;
pub mod metrics;
mod rate_limit;
pub mod settings;
pub mod signal;
mod tasks;
mod timer;

//! HTTP/1 server, and client with a connection pool.

mod body;
mod client;
mod ledger;
mod memory;
mod server;

pub use crate::io::Stream;
pub use body::{BodyError, read_body, read_counted_body};
pub use client::{HttpClient, HttpError};
pub(crate) use ledger::Phase;
pub use ledger::{MemoryLimits, MemoryUse};
pub(crate) use memory::Held;
pub use memory::{BodyMemory, RequestMemory};
pub(crate) use server::accept;
pub use server::{
    ServerLimits, serve, serve_counted, serve_streams, serve_streams_counted, try_serve,
};

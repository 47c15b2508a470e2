//! HTTP/1 server, and client with a connection pool.

mod body;
mod client;
mod server;

pub use crate::io::Stream;
pub use body::{BodyError, read_body};
pub use client::{HttpClient, HttpError};
pub(crate) use server::accept;
pub use server::{ServerLimits, serve, serve_streams, try_serve};

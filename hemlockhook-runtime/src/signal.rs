//! Signals that end a process.

use std::future;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// Waits for SIGTERM or SIGINT.
pub async fn terminate() {
    let Ok(mut signals) = Signals::new([Signal::Term, Signal::Int]) else {
        // Without handlers the system's default ends the process.
        return future::pending().await;
    };
    signals.next().await;
}

//! Signals that end a process, or tell it to read its settings again.

use std::future;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// Waits for SIGTERM or SIGINT.
pub async fn wait_for_termination() {
    let Ok(mut signals) = Signals::new([Signal::Term, Signal::Int]) else {
        // Without handlers the system's default ends the process.
        return future::pending().await;
    };
    signals.next().await;
}

/// Returns the SIGHUPs that the process gets; from then on they do not end it.
pub fn reload_signals() -> Option<Signals> {
    Signals::new([Signal::Hup]).ok()
}

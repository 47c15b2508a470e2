//! Signals that terminate a process or make it reload its settings.

use std::future;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// Waits for SIGTERM or SIGINT.
pub async fn wait_for_termination() {
    let Ok(mut signals) = Signals::new([Signal::Term, Signal::Int]) else {
        // Without a handler, the default action of the signals terminates the process.
        return future::pending().await;
    };
    signals.next().await;
}

/// Returns a stream of the SIGHUPs that the process receives. From this call on, SIGHUP no longer
/// terminates the process.
pub fn reload_signals() -> Option<Signals> {
    Signals::new([Signal::Hup]).ok()
}

//! Memory of requests and connections, shared by all servers of a process.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use futures_lite::future;

use super::ledger::{Ledger, MemoryLimits, MemoryUse, Phase, PortKey};

/// Connections that were given up and may still be open when another one is accepted.
const ENDING_CONNECTIONS: usize = 32;

/// Memory of requests and connections, shared by all servers of a process.
#[derive(Clone, Debug)]
pub struct RequestMemory {
    ledger: Arc<Mutex<Ledger>>,
}

impl RequestMemory {
    /// Creates an account with limits.
    pub fn new(limits: MemoryLimits) -> Self {
        Self {
            ledger: Arc::new(Mutex::new(Ledger::new(limits))),
        }
    }

    /// Returns what is held, and how much was refused.
    pub fn used(&self) -> MemoryUse {
        self.lock().used()
    }

    /// Returns the account of a port with a limit of its own on its connections.
    pub(crate) fn port(&self, max_connections: usize) -> PortMemory {
        PortMemory {
            key: self.lock().add_port(max_connections),
            memory: self.clone(),
        }
    }

    /// Counts one of the streams of a connection, which waits for the end of its first message.
    pub(crate) fn open_stream(&self, bytes: usize) -> Option<Held> {
        let held = self.open(bytes, None)?;
        held.set_phase(Phase::Body);
        Some(held)
    }

    fn open(&self, bytes: usize, port: Option<PortKey>) -> Option<Held> {
        let key = self.lock().open(bytes, port, Instant::now());
        let key = key.ok()?;
        Some(Held {
            memory: self.clone(),
            key,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Memory of the connections that a port accepts.
#[derive(Debug)]
pub(crate) struct PortMemory {
    memory: RequestMemory,
    key: PortKey,
}

impl PortMemory {
    /// Returns the memory that the port shares with others.
    pub(crate) fn shared(&self) -> &RequestMemory {
        &self.memory
    }

    /// Counts a new connection, for which others may be given up. Returns `None` if requests in work
    /// hold everything.
    pub(crate) async fn admit(&self, bytes: usize) -> Option<Held> {
        if self.memory.lock().ending() >= ENDING_CONNECTIONS {
            // Their tasks have been woken, and run before this one continues.
            future::yield_now().await;
        }
        if self.memory.lock().ending() >= ENDING_CONNECTIONS {
            return None;
        }
        self.memory.open(bytes, Some(self.key))
    }
}

/// The memory of the connection on which a request was received, in the request's extensions.
#[derive(Clone, Debug)]
pub struct BodyMemory(pub(crate) Arc<Held>);

impl BodyMemory {
    /// Counts what a request holds besides its body until the response. Returns false if requests in work
    /// hold everything.
    pub fn hold(&self, bytes: usize) -> bool {
        self.0.hold(bytes)
    }
}

/// Memory of one connection and the body that is read from it. Dropping it releases the memory.
#[derive(Debug)]
pub(crate) struct Held {
    memory: RequestMemory,
    key: usize,
}

impl Held {
    pub(crate) fn set_phase(&self, phase: Phase) {
        self.memory
            .lock()
            .set_phase(self.key, phase, Instant::now());
    }

    /// Appends to the body, or returns false if the body is given up.
    pub(crate) fn append(&self, data: &[u8], max: usize) -> bool {
        self.memory.lock().append(self.key, data, max).is_ok()
    }

    /// Counts bytes that are kept elsewhere, or returns false if they are given up.
    pub(crate) fn hold(&self, bytes: usize) -> bool {
        self.memory.lock().hold(self.key, bytes).is_ok()
    }

    /// Counts no bytes any more besides the fixed ones.
    pub(crate) fn release(&self) {
        self.memory.lock().release(self.key);
    }

    /// Returns the whole body, whose bytes stay counted until the response; `None` if it was given up.
    pub(crate) fn take(&self) -> Option<Bytes> {
        self.memory.lock().take(self.key, Instant::now())
    }

    /// Waits until the memory is given up.
    pub(crate) fn poll_given_up(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut ledger = self.memory.lock();
        if ledger.phase(self.key) == Phase::GivenUp {
            return Poll::Ready(());
        }
        ledger.set_waker(self.key, cx.waker());
        Poll::Pending
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.memory.lock().close(self.key);
    }
}

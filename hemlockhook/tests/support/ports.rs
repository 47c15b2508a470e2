//! Allocates free loopback addresses, and starts the programs that listen on them.

use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// First port to allocate. All are below the range of ephemeral ports, from which the system takes
/// the ports of outgoing connections.
const FIRST_PORT: u16 = 10_240;

/// Number of ports per test process.
const PORTS_PER_PROCESS: u16 = 400;

/// Held while a port is probed and while a program is started. A child inherits the parent's
/// sockets until it calls `exec`, and an inherited probe listener would keep the port in use.
static PROBE_LOCK: Mutex<()> = Mutex::new(());

/// Returns a loopback address on which nothing listens.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let block = (std::process::id() % 55) as u16 * PORTS_PER_PROCESS;
    let _guard = lock_probes();
    loop {
        let port = FIRST_PORT + block + NEXT.fetch_add(1, Ordering::Relaxed) % PORTS_PER_PROCESS;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// Starts a program while no port is probed, so that the child inherits no probe listener.
pub fn spawn(command: &mut Command) -> Child {
    let _guard = lock_probes();
    command.spawn().expect("the program starts")
}

fn lock_probes() -> MutexGuard<'static, ()> {
    PROBE_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

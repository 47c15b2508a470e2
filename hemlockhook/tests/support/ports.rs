//! Allocates free loopback addresses, and starts the programs that listen on them.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// First port to allocate.
const FIRST_PORT: u16 = 10_240;

/// Number of ports of a test process.
const PORTS: u16 = 20_000;

/// Held while a port is probed and while a program is started. A child inherits the parent's
/// sockets until it calls `exec`, and an inherited probe listener would keep the port in use.
static PROBE_LOCK: Mutex<()> = Mutex::new(());

/// Returns a loopback address on which nothing listens. Each test process has an IP of its own, so that
/// runs at the same time don't take each other's ports.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 192 + high % 64, middle, low);
    let _guard = lock_probes();
    loop {
        let port = FIRST_PORT + NEXT.fetch_add(1, Ordering::Relaxed) % PORTS;
        let addr = SocketAddr::from((ip, port));
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

//! Free loopback addresses, and the start of the programs that listen on them.

use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Ports are taken from below the range that the system takes outgoing ports from.
const FIRST_PORT: u16 = 10_240;

/// Ports of one test process.
const PORTS: u16 = 400;

/// Held while a port is tried and while a program is started. A child has its parent's sockets until
/// it runs its program, and a listener among them would keep the port from the program it is for.
static TRIAL: Mutex<()> = Mutex::new(());

/// Returns a loopback address on which nothing listens.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let block = (std::process::id() % 55) as u16 * PORTS;
    let _trial = trial();
    loop {
        let port = FIRST_PORT + block + NEXT.fetch_add(1, Ordering::Relaxed) % PORTS;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// Starts a program, so that its process has no socket of this one.
pub fn spawn(command: &mut Command) -> Child {
    let _trial = trial();
    command.spawn().expect("the program starts")
}

fn trial() -> MutexGuard<'static, ()> {
    TRIAL.lock().unwrap_or_else(PoisonError::into_inner)
}

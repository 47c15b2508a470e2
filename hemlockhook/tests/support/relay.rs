//! A TCP relay that simulates a network partition, where it stops forwarding but closes no
//! connection, a slow link, the loss of all connections with what is under way on them, or a forwarder
//! that passes on late what its clients send and that they have left.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use hemlockhook_runtime::executor::Executor;

/// Interval at which a relay that forwards nothing checks whether it may forward again.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A direction in which a relay forwards.
#[derive(Clone, Copy)]
pub enum Direction {
    FromClients,
    FromTarget,
}

/// Forwards connections to an address.
pub struct Relay {
    pub addr: SocketAddr,
    link: Arc<LinkState>,
    _serve: Task<()>,
}

struct LinkState {
    target: Mutex<SocketAddr>,
    /// Whether nothing is forwarded from the clients, and from the target.
    is_cut: [AtomicBool; 2],
    /// Whether what clients send is held.
    are_requests_held: AtomicBool,
    /// Whether the ends of the clients' streams are held.
    are_ends_held: AtomicBool,
    /// Time for which each piece is held up, in milliseconds.
    delay_ms: AtomicU64,
    /// Bytes per second in each direction of each connection; 0 means no limit.
    rate: AtomicU64,
    /// Number of times that all connections were closed.
    resets: AtomicU64,
}

impl Relay {
    pub fn start(ex: &Arc<Executor>, addr: SocketAddr, to: SocketAddr) -> Self {
        let link = Arc::new(LinkState {
            target: Mutex::new(to),
            is_cut: Default::default(),
            are_requests_held: AtomicBool::default(),
            are_ends_held: AtomicBool::default(),
            delay_ms: AtomicU64::default(),
            rate: AtomicU64::default(),
            resets: AtomicU64::default(),
        });
        Self {
            addr,
            _serve: ex.spawn(serve(ex.clone(), addr, link.clone())),
            link,
        }
    }

    /// Forwards further connections to another address.
    pub fn set_target(&self, target: SocketAddr) {
        *self.link.lock_target() = target;
    }

    /// Stops forwarding, or resumes it.
    pub fn set_partitioned(&self, is_partitioned: bool) {
        self.set_cut(Direction::FromClients, is_partitioned);
        self.set_cut(Direction::FromTarget, is_partitioned);
    }

    /// Stops forwarding in one direction, or resumes it.
    pub fn set_cut(&self, direction: Direction, is_cut: bool) {
        self.link.is_cut[direction as usize].store(is_cut, Ordering::SeqCst);
    }

    /// Holds what clients send, or passes it on. Unlike on a cut link, connections are opened meanwhile.
    pub fn set_requests_held(&self, are_held: bool) {
        self.link
            .are_requests_held
            .store(are_held, Ordering::SeqCst);
    }

    /// Keeps the connections of clients that have closed theirs, or closes them. A connection is closed
    /// after what its client sent was passed on.
    pub fn set_ends_held(&self, are_held: bool) {
        self.link.are_ends_held.store(are_held, Ordering::SeqCst);
    }

    /// Holds up what is forwarded in each direction.
    pub fn set_delay(&self, delay: Duration) {
        let millis = delay.as_millis() as u64;
        self.link.delay_ms.store(millis, Ordering::SeqCst);
    }

    /// Closes all connections. What was not forwarded yet is lost.
    pub fn reset(&self) {
        self.link.resets.fetch_add(1, Ordering::SeqCst);
    }

    /// Limits each direction of each connection to a number of bytes per second.
    pub fn set_rate(&self, rate: u64) {
        self.link.rate.store(rate, Ordering::SeqCst);
    }
}

impl LinkState {
    fn target(&self) -> SocketAddr {
        *self.lock_target()
    }

    fn lock_target(&self) -> MutexGuard<'_, SocketAddr> {
        self.target
            .lock()
            .expect("no thread panicked with the lock")
    }
}

async fn serve(ex: Arc<Executor>, addr: SocketAddr, link: Arc<LinkState>) {
    let listener = TcpListener::bind(addr).await.expect("the port is free");
    while let Ok((from, _)) = listener.accept().await {
        let link = link.clone();
        let forward = async move {
            let opened = link.resets.load(Ordering::SeqCst);
            wait_while_cut(&link, Direction::FromClients).await;
            wait_while_cut(&link, Direction::FromTarget).await;
            if let Ok(target) = TcpStream::connect(link.target()).await {
                let outbound = copy(from.clone(), target.clone(), &link, Direction::FromClients);
                let inbound = copy(target, from, &link, Direction::FromTarget);
                let copies = future::or(outbound, inbound);
                future::or(wait_until_reset(&link, opened), copies).await;
            }
        };
        ex.spawn(forward).detach();
    }
}

async fn copy(mut from: TcpStream, mut to: TcpStream, link: &LinkState, direction: Direction) {
    let mut buf = vec![0; 16 * 1024];
    while let Ok(len @ 1..) = from.read(&mut buf).await {
        let delay = link.delay_ms.load(Ordering::SeqCst);
        if delay > 0 {
            Timer::after(Duration::from_millis(delay)).await;
        }
        wait_while_cut(link, direction).await;
        if let Direction::FromClients = direction {
            wait_while(&link.are_requests_held).await;
        }
        let rate = link.rate.load(Ordering::SeqCst);
        if rate > 0 {
            Timer::after(Duration::from_secs_f64(len as f64 / rate as f64)).await;
        }
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
    if let Direction::FromClients = direction {
        wait_while(&link.are_ends_held).await;
    }
}

async fn wait_until_reset(link: &LinkState, opened: u64) {
    while link.resets.load(Ordering::SeqCst) == opened {
        Timer::after(POLL_INTERVAL).await;
    }
}

async fn wait_while_cut(link: &LinkState, direction: Direction) {
    wait_while(&link.is_cut[direction as usize]).await;
}

async fn wait_while(condition: &AtomicBool) {
    while condition.load(Ordering::SeqCst) {
        Timer::after(POLL_INTERVAL).await;
    }
}

//! A TCP relay that simulates a network partition: it stops forwarding but closes no connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use hemlockhook_runtime::executor::Executor;

/// Interval at which a partitioned relay checks whether it may forward again.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Forwards connections to an address.
pub struct Relay {
    pub addr: SocketAddr,
    is_partitioned: Arc<AtomicBool>,
    _serve: Task<()>,
}

impl Relay {
    pub fn start(ex: &Arc<Executor>, addr: SocketAddr, to: SocketAddr) -> Self {
        let is_partitioned = Arc::new(AtomicBool::new(false));
        Self {
            addr,
            _serve: ex.spawn(serve(ex.clone(), addr, to, is_partitioned.clone())),
            is_partitioned,
        }
    }

    /// Stops forwarding, or resumes it.
    pub fn set_partitioned(&self, is_partitioned: bool) {
        self.is_partitioned.store(is_partitioned, Ordering::SeqCst);
    }
}

async fn serve(
    ex: Arc<Executor>,
    addr: SocketAddr,
    to: SocketAddr,
    is_partitioned: Arc<AtomicBool>,
) {
    let listener = TcpListener::bind(addr).await.expect("the port is free");
    while let Ok((from, _)) = listener.accept().await {
        let is_partitioned = is_partitioned.clone();
        let forward = async move {
            wait_until_connected(&is_partitioned).await;
            if let Ok(target) = TcpStream::connect(to).await {
                let outbound = copy(from.clone(), target.clone(), &is_partitioned);
                let inbound = copy(target, from, &is_partitioned);
                future::or(outbound, inbound).await;
            }
        };
        ex.spawn(forward).detach();
    }
}

async fn copy(mut from: TcpStream, mut to: TcpStream, is_partitioned: &AtomicBool) {
    let mut buf = vec![0; 16 * 1024];
    while let Ok(len @ 1..) = from.read(&mut buf).await {
        wait_until_connected(is_partitioned).await;
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}

async fn wait_until_connected(is_partitioned: &AtomicBool) {
    while is_partitioned.load(Ordering::SeqCst) {
        Timer::after(POLL_INTERVAL).await;
    }
}

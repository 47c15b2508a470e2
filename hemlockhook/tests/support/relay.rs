//! A relay for connections, which can cut them without closing them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use hemlockhook_runtime::executor::Executor;

/// Time between two looks at whether the cut is over.
const POLL: Duration = Duration::from_millis(10);

/// Passes connections on to an address.
pub struct Relay {
    pub addr: SocketAddr,
    cut: Arc<AtomicBool>,
    _serve: Task<()>,
}

impl Relay {
    pub fn start(ex: &Arc<Executor>, addr: SocketAddr, to: SocketAddr) -> Self {
        let cut = Arc::new(AtomicBool::new(false));
        Self {
            addr,
            _serve: ex.spawn(serve(ex.clone(), addr, to, cut.clone())),
            cut,
        }
    }

    /// Holds back everything, or lets it go on.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

async fn serve(ex: Arc<Executor>, addr: SocketAddr, to: SocketAddr, cut: Arc<AtomicBool>) {
    let listener = TcpListener::bind(addr).await.expect("the port is free");
    while let Ok((from, _)) = listener.accept().await {
        let cut = cut.clone();
        let pass = async move {
            wait_whole(&cut).await;
            if let Ok(onward) = TcpStream::connect(to).await {
                let there = copy(from.clone(), onward.clone(), &cut);
                let back = copy(onward, from, &cut);
                future::or(there, back).await;
            }
        };
        ex.spawn(pass).detach();
    }
}

async fn copy(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut buf = vec![0; 16 * 1024];
    while let Ok(len @ 1..) = from.read(&mut buf).await {
        wait_whole(cut).await;
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}

async fn wait_whole(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        Timer::after(POLL).await;
    }
}

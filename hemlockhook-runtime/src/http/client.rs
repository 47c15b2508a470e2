//! HTTP/1 client with a connection pool for one address.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use async_net::TcpStream;
use bytes::Bytes;
use futures_lite::{FutureExt, future};
use http::{HeaderValue, Request, Response, header};
use http_body_util::Full;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use thiserror::Error;

use super::body::{BodyError, collect_with};
use crate::executor::Executor;
use crate::io::{HyperIo, Stream};
use crate::timer::{Deadlines, MovableDeadline};

/// Interval between checks for expired requests and idle connections.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(50);

/// Size of a connection's read buffer, in bytes.
const READ_BUFFER: usize = 4096;

/// Time that a write may wait for the server.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// An error from sending a request and receiving its response.
#[derive(Debug, Error)]
pub enum HttpError {
    /// The connection attempt failed: the request was not sent.
    #[error("could not connect: {0}")]
    Connect(io::Error),
    /// The response did not arrive in time.
    #[error("no response within {0:?}")]
    Timeout(Duration),
    /// The response began, and the rest of it did not arrive.
    #[error("the response stalled for {0:?}")]
    Stalled(Duration),
    /// The connection failed during the exchange, or the response is malformed.
    #[error("the exchange broke: {0}")]
    Exchange(#[from] hyper::Error),
    /// The response's body could not be read.
    #[error("response: {0}")]
    Body(#[from] BodyError),
}

/// HTTP/1 client with a connection pool for one address.
///
/// Dropping the future of [`HttpClient::send`] closes the connection that it uses.
#[derive(Clone, Debug)]
pub struct HttpClient {
    addr: SocketAddr,
    host: HeaderValue,
    pool: Arc<Pool>,
}

impl HttpClient {
    /// Creates a client that opens up to `max_connections` connections on demand.
    pub fn new(ex: Arc<Executor>, addr: SocketAddr, max_connections: usize) -> Self {
        assert!(
            max_connections > 0,
            "a client needs at least one connection"
        );
        let (permit_tx, permit_rx) = async_channel::bounded(max_connections);
        for _ in 0..max_connections {
            let sent = permit_tx.try_send(());
            assert!(sent.is_ok(), "the channel has room for every permit");
        }

        let (expiry_tx, expiry_rx) = async_channel::bounded(1);
        let pool = Arc::new(Pool {
            idle: Mutex::default(),
            permit_tx,
            permit_rx,
            deadlines: Deadlines::default(),
            expiry_tx,
        });
        ex.spawn(expire(Arc::downgrade(&pool), expiry_rx)).detach();

        let host = HeaderValue::from_str(&addr.to_string()).expect("an address is a valid header");
        Self { addr, host, pool }
    }

    /// Sends a request and reads its whole response, of at most `max_body` bytes.
    ///
    /// `timeout` includes the wait for a pooled connection. It may fire up to 50 ms late.
    pub async fn send(
        &self,
        req: Request<Full<Bytes>>,
        max_body: usize,
        timeout: Duration,
    ) -> Result<Response<Bytes>, HttpError> {
        self.send_checked(req, max_body, timeout, |_| true).await
    }

    /// Sends a request like [`HttpClient::send`]. If `is_expected` returns false for the response,
    /// the connection is not reused: what the server still sends on it could be mistaken for the
    /// response to a later request.
    pub async fn send_checked<C>(
        &self,
        req: Request<Full<Bytes>>,
        max_body: usize,
        timeout: Duration,
        is_expected: C,
    ) -> Result<Response<Bytes>, HttpError>
    where
        C: Fn(&Response<Bytes>) -> bool,
    {
        let deadline = MovableDeadline::new(Instant::now() + timeout);
        let exchange = self.exchange(req, max_body, is_expected, || {});
        self.send_until(&deadline, exchange)
            .await
            .unwrap_or(Err(HttpError::Timeout(timeout)))
    }

    /// Sends a request like [`HttpClient::send`], with limits on the time without progress instead
    /// of the whole time: `start_timeout` until the response begins, and `stall_timeout` after each
    /// part of it.
    pub async fn send_with_progress(
        &self,
        req: Request<Full<Bytes>>,
        max_body: usize,
        start_timeout: Duration,
        stall_timeout: Duration,
    ) -> Result<Response<Bytes>, HttpError> {
        let deadline = MovableDeadline::new(Instant::now() + start_timeout);
        let has_begun = AtomicBool::new(false);
        let on_data = || {
            has_begun.store(true, Ordering::Relaxed);
            deadline.set(Instant::now() + stall_timeout);
        };
        let exchange = self.exchange(req, max_body, |_| true, on_data);
        let res = self.send_until(&deadline, exchange).await;
        res.unwrap_or_else(|| match has_begun.load(Ordering::Relaxed) {
            true => Err(HttpError::Stalled(stall_timeout)),
            false => Err(HttpError::Timeout(start_timeout)),
        })
    }

    async fn send_until<F>(&self, deadline: &MovableDeadline, exchange: F) -> Option<F::Output>
    where
        F: Future,
    {
        let on_wait = || {
            // If the channel is full, the expiry task has been notified already.
            let _ = self.pool.expiry_tx.try_send(());
        };
        let deadlines = &self.pool.deadlines;
        deadlines.until(deadline, exchange, on_wait).await
    }

    async fn exchange<C, F>(
        &self,
        mut req: Request<Full<Bytes>>,
        max_body: usize,
        is_expected: C,
        on_data: F,
    ) -> Result<Response<Bytes>, HttpError>
    where
        C: Fn(&Response<Bytes>) -> bool,
        F: Fn(),
    {
        let permit = self.pool.permit().await;
        req.headers_mut()
            .entry(header::HOST)
            .or_insert_with(|| self.host.clone());

        let mut conn = match self.pool.idle_connection().await {
            Some(conn) => conn,
            None => Conn::open(self.addr).await?,
        };
        let res = conn.exchange(req, max_body, on_data).await?;
        if is_expected(&res) {
            permit.keep(conn);
        }
        Ok(res)
    }
}

/// Idle connections, and the permits that limit the connections in use.
#[derive(Debug)]
struct Pool {
    /// Used as a stack: the most recently used connection is reused first.
    idle: Mutex<Vec<Conn>>,
    permit_tx: Sender<()>,
    permit_rx: Receiver<()>,
    /// The deadlines of pending requests.
    deadlines: Deadlines,
    /// Wakes the expiry task.
    expiry_tx: Sender<()>,
}

impl Pool {
    async fn permit(self: &Arc<Self>) -> Permit {
        self.permit_rx
            .recv()
            .await
            .expect("the pool holds the sender of its permits");
        Permit { pool: self.clone() }
    }

    fn is_unused(&self) -> bool {
        self.deadlines.is_empty() && self.lock().is_empty()
    }

    /// Returns an idle connection that its peer has not closed.
    async fn idle_connection(&self) -> Option<Conn> {
        loop {
            let mut conn = self.lock().pop()?;
            if conn.is_usable().await {
                return Some(conn);
            }
        }
    }

    fn close_idle(&self, now: Instant) {
        let is_fresh = |conn: &Conn| now.duration_since(conn.last_used) < IDLE_TIMEOUT;
        self.lock().retain(is_fresh);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Conn>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Wakes requests past their deadlines and closes idle connections, until the pool is dropped.
async fn expire(pool: Weak<Pool>, expiry_rx: Receiver<()>) {
    while expiry_rx.recv().await.is_ok() {
        loop {
            Timer::after(EXPIRE_INTERVAL).await;
            let Some(pool) = pool.upgrade() else {
                return;
            };
            let now = Instant::now();
            pool.deadlines.wake_expired(now);
            pool.close_idle(now);
            if pool.is_unused() {
                break;
            }
        }
    }
}

/// A permit to use one connection, returned to the pool when it is dropped.
struct Permit {
    pool: Arc<Pool>,
}

impl Permit {
    /// Returns a connection to the pool.
    fn keep(self, mut conn: Conn) {
        if conn.sender.is_closed() {
            return;
        }
        conn.last_used = Instant::now();
        self.pool.lock().push(conn);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let sent = self.pool.permit_tx.try_send(());
        assert!(sent.is_ok(), "a permit is returned once");
    }
}

/// A connection that is driven by the request that uses it, so that an exchange needs no second
/// task and no wake-ups between tasks.
#[derive(Debug)]
struct Conn {
    sender: SendRequest<Full<Bytes>>,
    driver: Pin<Box<Connection<HyperIo<Stream>, Full<Bytes>>>>,
    socket: Arc<Async<std::net::TcpStream>>,
    last_used: Instant,
}

impl Conn {
    async fn open(addr: SocketAddr) -> Result<Self, HttpError> {
        let stream = TcpStream::connect(addr).await.map_err(HttpError::Connect)?;
        stream.set_nodelay(true).map_err(HttpError::Connect)?;
        let stream = Stream::new(stream, WRITE_TIMEOUT);
        let socket = stream.socket();
        let (sender, driver) = http1::handshake(HyperIo::new(stream, READ_BUFFER)).await?;
        Ok(Self {
            sender,
            driver: Box::pin(driver),
            socket,
            last_used: Instant::now(),
        })
    }

    /// Returns whether the connection can be reused: the peer has neither closed it nor sent
    /// unsolicited data since its last use.
    async fn is_usable(&mut self) -> bool {
        let peeked = self.socket.get_ref().peek(&mut [0]);
        let is_silent = peeked.is_err_and(|err| err.kind() == io::ErrorKind::WouldBlock);
        let ended = !is_silent || future::poll_once(self.driver.as_mut()).await.is_some();
        !ended && self.sender.is_ready()
    }

    async fn exchange<F>(
        &mut self,
        req: Request<Full<Bytes>>,
        max_body: usize,
        on_data: F,
    ) -> Result<Response<Bytes>, HttpError>
    where
        F: Fn(),
    {
        let Self { sender, driver, .. } = self;
        let exchange = async {
            let (head, body) = sender.send_request(req).await?.into_parts();
            on_data();
            let body = collect_with(body, max_body, on_data).await?;
            Ok(Response::from_parts(head, body))
        };
        let drive = async {
            match driver.as_mut().await {
                Err(err) => Err(err.into()),
                // The response is complete; the exchange returns it when it is polled next.
                Ok(()) => future::pending().await,
            }
        };
        exchange.or(drive).await
    }
}

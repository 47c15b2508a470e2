//! Pooled HTTP/1 client to one address.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
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

use super::body::{BodyError, collect};
use crate::executor::Executor;
use crate::io::{HyperIo, Stream};
use crate::timer::Deadlines;

/// Time between searches for what has expired.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(50);

/// Bytes read at once from a connection.
const READ_BUFFER: usize = 4096;

/// Time for a server to take what is written to it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a request got no response.
#[derive(Debug, Error)]
pub enum HttpError {
    /// No connection could be made: the request was not sent.
    #[error("could not connect: {0}")]
    Connect(io::Error),
    /// The response did not arrive in time.
    #[error("no response within {0:?}")]
    Timeout(Duration),
    /// The connection broke, or the response is malformed.
    #[error("the exchange broke: {0}")]
    Exchange(#[from] hyper::Error),
    /// The response's body could not be read.
    #[error("response: {0}")]
    Body(#[from] BodyError),
}

/// Pooled HTTP/1 client to one address.
///
/// Dropping the future of [`HttpClient::send`] closes the connection that it uses.
#[derive(Clone, Debug)]
pub struct HttpClient {
    addr: SocketAddr,
    host: HeaderValue,
    pool: Arc<Pool>,
}

impl HttpClient {
    /// Creates a client that opens at most `max_connections`, as requests need them.
    pub fn new(ex: Arc<Executor>, addr: SocketAddr, max_connections: usize) -> Self {
        assert!(max_connections > 0, "a client needs a connection");
        let (free, permits) = async_channel::bounded(max_connections);
        for _ in 0..max_connections {
            let sent = free.try_send(());
            assert!(sent.is_ok(), "the channel has room for every permit");
        }

        let (busy, is_busy) = async_channel::bounded(1);
        let pool = Arc::new(Pool {
            idle: Mutex::default(),
            free,
            permits,
            deadlines: Deadlines::default(),
            busy,
        });
        ex.spawn(expire(Arc::downgrade(&pool), is_busy)).detach();

        let host = HeaderValue::from_str(&addr.to_string()).expect("an address is a valid header");
        Self { addr, host, pool }
    }

    /// Sends a request and reads its whole response, of at most `max_body` bytes.
    ///
    /// `timeout` covers the wait for a connection as well; it may come late by 50 ms.
    pub async fn send(
        &self,
        req: Request<Full<Bytes>>,
        max_body: usize,
        timeout: Duration,
    ) -> Result<Response<Bytes>, HttpError> {
        self.send_checked(req, max_body, timeout, |_| true).await
    }

    /// Sends a request as [`HttpClient::send`] does. The connection is not used again after a
    /// response that `is_ours` denies, so that what the server has yet to send on it is never taken
    /// for the response to a later request.
    pub async fn send_checked<C>(
        &self,
        req: Request<Full<Bytes>>,
        max_body: usize,
        timeout: Duration,
        is_ours: C,
    ) -> Result<Response<Bytes>, HttpError>
    where
        C: Fn(&Response<Bytes>) -> bool,
    {
        let deadline = Instant::now() + timeout;
        let on_wait = || {
            // A full channel says that the pool is busy already.
            let _ = self.pool.busy.try_send(());
        };
        let exchange = self.exchange(req, max_body, is_ours);
        let deadlines = &self.pool.deadlines;
        match deadlines.until(deadline, exchange, on_wait).await {
            Some(res) => res,
            None => Err(HttpError::Timeout(timeout)),
        }
    }

    async fn exchange<C>(
        &self,
        mut req: Request<Full<Bytes>>,
        max_body: usize,
        is_ours: C,
    ) -> Result<Response<Bytes>, HttpError>
    where
        C: Fn(&Response<Bytes>) -> bool,
    {
        let permit = self.pool.permit().await;
        req.headers_mut()
            .entry(header::HOST)
            .or_insert_with(|| self.host.clone());

        let mut conn = match self.pool.idle_connection().await {
            Some(conn) => conn,
            None => Conn::open(self.addr).await?,
        };
        let res = conn.exchange(req, max_body).await?;
        if is_ours(&res) {
            permit.keep(conn);
        }
        Ok(res)
    }
}

/// Connections that wait for a request, and the permits to use one.
#[derive(Debug)]
struct Pool {
    /// The one used last is at the end and is used first.
    idle: Mutex<Vec<Conn>>,
    free: Sender<()>,
    permits: Receiver<()>,
    /// When the requests that wait are given up.
    deadlines: Deadlines,
    /// Told that the pool has something to expire.
    busy: Sender<()>,
}

impl Pool {
    async fn permit(self: &Arc<Self>) -> Permit {
        self.permits
            .recv()
            .await
            .expect("the pool holds a sender of its permits");
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
        let is_fresh = |conn: &Conn| now.duration_since(conn.used) < IDLE_TIMEOUT;
        self.lock().retain(is_fresh);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Conn>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Gives up requests and idle connections whose time has passed, until the pool is dropped.
async fn expire(pool: Weak<Pool>, is_busy: Receiver<()>) {
    while is_busy.recv().await.is_ok() {
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

/// The right to use one connection.
struct Permit {
    pool: Arc<Pool>,
}

impl Permit {
    /// Puts a connection back for the next request.
    fn keep(self, mut conn: Conn) {
        if conn.sender.is_closed() {
            return;
        }
        conn.used = Instant::now();
        self.pool.lock().push(conn);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let sent = self.pool.free.try_send(());
        assert!(sent.is_ok(), "a permit is given back once");
    }
}

/// A connection that is driven by the request that uses it, so that an exchange needs no second
/// task and no wake-up between tasks.
#[derive(Debug)]
struct Conn {
    sender: SendRequest<Full<Bytes>>,
    driver: Pin<Box<Connection<HyperIo<Stream>, Full<Bytes>>>>,
    socket: Arc<Async<std::net::TcpStream>>,
    used: Instant,
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
            used: Instant::now(),
        })
    }

    /// Sees whether the peer has closed the connection, or sent what nobody asked for, since it was
    /// last used.
    async fn is_usable(&mut self) -> bool {
        let peeked = self.socket.get_ref().peek(&mut [0]);
        let is_silent = peeked.is_err_and(|err| err.kind() == io::ErrorKind::WouldBlock);
        let ended = !is_silent || future::poll_once(self.driver.as_mut()).await.is_some();
        !ended && self.sender.is_ready()
    }

    async fn exchange(
        &mut self,
        req: Request<Full<Bytes>>,
        max_body: usize,
    ) -> Result<Response<Bytes>, HttpError> {
        let Self { sender, driver, .. } = self;
        let exchange = async {
            let (head, body) = sender.send_request(req).await?.into_parts();
            let body = collect(body, max_body).await?;
            Ok(Response::from_parts(head, body))
        };
        let drive = async {
            match driver.as_mut().await {
                Err(err) => Err(err.into()),
                // The response is whole, and the exchange returns it when it is polled next.
                Ok(()) => future::pending().await,
            }
        };
        exchange.or(drive).await
    }
}

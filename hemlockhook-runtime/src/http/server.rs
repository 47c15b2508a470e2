//! HTTP/1 server with limits on its clients.

use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use bytes::Bytes;
use futures_lite::{AsyncRead, AsyncWrite, AsyncWriteExt, FutureExt, future};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1::{self, Connection};
use hyper::service::{HttpService, service_fn};
use rustix::net::sockopt::set_socket_recv_buffer_size;

use super::ledger::Phase;
use super::memory::{BodyMemory, Held, RequestMemory};
use crate::executor::Executor;
use crate::io::{HyperIo, Stream};
use crate::tasks::{TaskSet, closed};
use crate::timer::ConnTimer;

/// A boxed error, the type that hyper accepts from services and bodies.
type BoxError = Box<dyn Error + Send + Sync>;

/// Pause after a failed `accept`, which usually means that file descriptors or memory have run out.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Size of a connection's read buffer, in bytes.
const READ_BUFFER: usize = 4096;

/// Memory of a connection besides the body that is read: hyper's read buffer of up to 16 KiB for the
/// head, its write buffer of 8 KiB, the read buffer of 4 KiB and the task. Measured with unfinished
/// heads of 16 KiB: 29 KiB.
const CONNECTION_BYTES: usize = 29 * 1024;

/// Size of the kernel's receive buffer of a counted connection, in bytes. What it holds is not counted.
const RECEIVE_BUFFER: usize = 64 * 1024;

/// Response to a connection above [`ServerLimits::max_connections`].
const BUSY: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// Response to a client whose request head does not arrive in time.
const REQUEST_TIMEOUT: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// Limits that a server imposes on its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Maximum size of a body, in bytes. Applied by the handlers, which read the bodies.
    pub max_body: usize,
    /// Time for a whole request head to arrive. Also the idle timeout of a connection.
    pub header_timeout: Duration,
    /// Time for a whole body to arrive. Applied by the handlers, which read the bodies.
    pub body_timeout: Duration,
    /// Time that a write may wait for the client before the connection is closed.
    pub write_timeout: Duration,
    /// Maximum number of open connections. At a server that counts its memory, a further one takes the
    /// place of the connection that has waited longest for its client. Else, and if all are in work,
    /// it is answered with 503 and closed.
    pub max_connections: usize,
    /// Maximum number of headers in a request.
    pub max_headers: usize,
    /// Maximum size of a request head, in bytes.
    pub max_head: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_body: 1024 * 1024,
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(30),
            max_connections: 4096,
            max_headers: 64,
            max_head: 16 * 1024,
        }
    }
}

/// Like [`serve`], and counts connections and bodies in `memory`. Handlers read bodies with
/// [`read_counted_body`](super::read_counted_body).
pub async fn serve_counted<F, Fut>(
    ex: Arc<Executor>,
    listener: TcpListener,
    limits: ServerLimits,
    memory: RequestMemory,
    stop: Receiver<()>,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let handler = move |req| {
        let response = handler(req);
        async move { Ok::<_, Infallible>(response.await) }
    };
    let connect = move |stream| (stream, handler.clone());
    serve_streams_counted(ex, listener, limits, memory, stop, connect).await;
}

/// Accepts connections and serves each one in a task of its own on `ex`.
///
/// When `stop` is closed, it stops accepting, waits for requests in flight and returns. Dropping
/// the future closes the listener and every connection.
pub async fn serve<F, Fut>(
    ex: Arc<Executor>,
    listener: TcpListener,
    limits: ServerLimits,
    stop: Receiver<()>,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let handler = move |req| {
        let response = handler(req);
        async move { Ok::<_, Infallible>(response.await) }
    };
    try_serve(ex, listener, limits, stop, handler).await;
}

/// Like [`serve`], with any body type and fallible handlers. When a handler fails, the connection is
/// closed without a response; when a body fails, it is closed in the middle of the response.
pub async fn try_serve<F, Fut, B, E>(
    ex: Arc<Executor>,
    listener: TcpListener,
    limits: ServerLimits,
    stop: Receiver<()>,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Result<Response<B>, E>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BoxError>,
    E: Into<BoxError> + 'static,
{
    let connect = move |stream| (stream, handler.clone());
    serve_streams(ex, listener, limits, stop, connect).await;
}

/// Like [`try_serve`], where `connect` wraps the stream of a new connection and returns it with the
/// handler of its requests.
pub async fn serve_streams<C, IO, F, Fut, B, E>(
    ex: Arc<Executor>,
    listener: TcpListener,
    limits: ServerLimits,
    stop: Receiver<()>,
    connect: C,
) where
    C: Fn(Stream) -> (IO, F),
    IO: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    F: Fn(Request<Incoming>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Result<Response<B>, E>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BoxError>,
    E: Into<BoxError> + 'static,
{
    accept_streams(ex, listener, limits, None, stop, connect).await;
}

/// Like [`serve_streams`], and counts connections and bodies in `memory`. A new connection may take
/// the place of a body or a request head that has waited longest for its end.
pub async fn serve_streams_counted<C, IO, F, Fut, B, E>(
    ex: Arc<Executor>,
    listener: TcpListener,
    limits: ServerLimits,
    memory: RequestMemory,
    stop: Receiver<()>,
    connect: C,
) where
    C: Fn(Stream) -> (IO, F),
    IO: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    F: Fn(Request<Incoming>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Result<Response<B>, E>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BoxError>,
    E: Into<BoxError> + 'static,
{
    // Connections inherit the size from their listener. Without it, the kernel grows each to megabytes.
    if let Err(err) = set_socket_recv_buffer_size(&listener, RECEIVE_BUFFER) {
        let reason = err.to_string();
        let reason = reason.as_str();
        spdlog::warn!("the size of receive buffers can't be set", kv: { reason });
    }
    accept_streams(ex, listener, limits, Some(memory), stop, connect).await;
}

async fn accept_streams<C, IO, F, Fut, B, E>(
    ex: Arc<Executor>,
    listener: TcpListener,
    limits: ServerLimits,
    memory: Option<RequestMemory>,
    stop: Receiver<()>,
    connect: C,
) where
    C: Fn(Stream) -> (IO, F),
    IO: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    F: Fn(Request<Incoming>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Result<Response<B>, E>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BoxError>,
    E: Into<BoxError> + 'static,
{
    let connections = TaskSet::new(ex);
    let port = memory.map(|memory| memory.port(limits.max_connections));
    while let Some(stream) = accept(&listener, &stop).await {
        let held = match &port {
            Some(port) => port.admit(CONNECTION_BYTES).await.map(Arc::new),
            None => None,
        };
        let is_full = match &port {
            Some(_) => held.is_none(),
            None => connections.len() >= limits.max_connections,
        };
        if is_full {
            refuse(stream).await;
            continue;
        }
        let (io, handler) = connect(Stream::new(stream, limits.write_timeout));
        let conn = serve_connection(io, limits, held, stop.clone(), handler);
        connections.spawn(conn);
    }
    drop(listener);
    connections.join().await;
}

/// Returns the next connection with `TCP_NODELAY` set, or `None` once `stop` is closed.
pub(crate) async fn accept(listener: &TcpListener, stop: &Receiver<()>) -> Option<TcpStream> {
    let stopped = async {
        closed(stop).await;
        None
    };
    let accepted = async {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if stream.set_nodelay(true).is_ok() => return Some(stream),
                Ok(_) => {}
                Err(_) => {
                    Timer::after(ACCEPT_RETRY).await;
                }
            }
        }
    };
    stopped.or(accepted).await
}

/// Rejects a connection above the limit with a 503 response.
async fn refuse(mut stream: TcpStream) {
    // The send buffer of a new socket has room for the response, so one poll suffices; errors mean
    // that the client has disconnected.
    let _ = future::poll_once(stream.write_all(BUSY)).await;
}

async fn serve_connection<IO, F, Fut, B, E>(
    io: IO,
    limits: ServerLimits,
    held: Option<Arc<Held>>,
    stop: Receiver<()>,
    handler: F,
) where
    IO: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    F: Fn(Request<Incoming>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Result<Response<B>, E>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BoxError>,
    E: Into<BoxError> + 'static,
{
    // Boxed to be `Unpin`, so that the connection can be split into its parts after a timeout.
    let handler = Arc::new(handler);
    let request_held = held.clone();
    let service = service_fn(move |mut req: Request<Incoming>| {
        let held = request_held.clone();
        if let Some(held) = &held {
            held.set_phase(Phase::Work);
            req.extensions_mut().insert(BodyMemory(held.clone()));
        }
        let response = handler(req);
        Box::pin(async move {
            let response = response.await;
            if let Some(held) = held {
                held.set_phase(Phase::Head);
            }
            response
        })
    });
    let conn = http1::Builder::new()
        .timer(ConnTimer::default())
        .header_read_timeout(limits.header_timeout)
        .max_headers(limits.max_headers)
        .max_buf_size(limits.max_head)
        .serve_connection(HyperIo::new(io, READ_BUFFER), service);
    finish_connection(conn, held, stop).await;
}

/// Drives a connection until it closes, and shuts it down gracefully once `stop` is closed.
async fn finish_connection<IO, S, B>(
    mut conn: Connection<HyperIo<IO>, S>,
    held: Option<Arc<Held>>,
    stop: Receiver<()>,
) where
    IO: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    S: HttpService<Incoming, ResBody = B> + Unpin,
    S::Future: Unpin,
    S::Error: Into<BoxError>,
    B: Body + 'static,
    B::Error: Into<BoxError>,
{
    let stopped = async {
        closed(&stop).await;
        None
    };
    // The connection is polled first: if its body was given up, it sends its response before it ends.
    let poll_end = |cx: &mut Context<'_>, conn: &mut Connection<HyperIo<IO>, S>| match conn
        .poll_without_shutdown(cx)
    {
        Poll::Ready(end) => Poll::Ready(end),
        Poll::Pending => match &held {
            Some(held) => held.poll_given_up(cx).map(Ok),
            None => Poll::Pending,
        },
    };
    let ended = async { Some(poll_fn(|cx| poll_end(cx, &mut conn)).await) };
    let end = match ended.or(stopped).await {
        Some(end) => end,
        None => {
            Pin::new(&mut conn).graceful_shutdown();
            poll_fn(|cx| poll_end(cx, &mut conn)).await
        }
    };

    // Any other connection error affects only its client.
    let timed_out = end.is_err_and(|err| err.is_timeout());
    let parts = conn.into_parts();
    let mut io = parts.io.into_inner();
    if timed_out && !parts.read_buf.is_empty() {
        let _ = future::poll_once(io.write_all(REQUEST_TIMEOUT)).await;
    }
    let _ = future::poll_once(io.close()).await;
}

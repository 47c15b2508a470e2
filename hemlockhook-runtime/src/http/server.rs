//! HTTP/1 server with limits.

use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
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

use crate::executor::Executor;
use crate::io::{HyperIo, Stream};
use crate::tasks::{TaskSet, closed};
use crate::timer::ConnTimer;

/// An error of any type, as hyper takes it.
type BoxError = Box<dyn Error + Send + Sync>;

/// Pause after an accept that failed for want of file descriptors or memory.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Bytes read at once from a connection.
const READ_BUFFER: usize = 4096;

/// Answer to a connection above the cap.
const BUSY: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// Answer to a client whose request head does not arrive in time.
const REQUEST_TIMEOUT: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// What a server takes from its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Longest body, in bytes; for handlers, which read bodies.
    pub max_body: usize,
    /// Time for a whole request head to arrive; an idle connection is closed after it too.
    pub header_timeout: Duration,
    /// Time for a whole body to arrive; for handlers, which read bodies.
    pub body_timeout: Duration,
    /// Time for a client to take what is written to it; it is closed after it.
    pub write_timeout: Duration,
    /// Most connections open at once; one more is answered with 503 and closed.
    pub max_connections: usize,
    /// Most headers in a request.
    pub max_headers: usize,
    /// Longest request head, in bytes.
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

/// Accepts connections and answers their requests, one task a connection on `ex`.
///
/// When `stop` is closed it stops accepting, lets requests in flight finish and returns. Dropping
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
        let answer = handler(req);
        async move { Ok::<_, Infallible>(answer.await) }
    };
    try_serve(ex, listener, limits, stop, handler).await;
}

/// Like [`serve`], with any body, and with handlers that may fail: the connection is then closed
/// without an answer, and after a body that fails in the middle of the answer.
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

/// Like [`try_serve`], where `connect` returns what to read and write on a new connection, and the
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
    let connections = TaskSet::new(ex);
    while let Some(stream) = accept(&listener, &stop).await {
        if connections.len() >= limits.max_connections {
            refuse(stream).await;
            continue;
        }
        let (io, handler) = connect(Stream::new(stream, limits.write_timeout));
        let conn = serve_connection(io, limits, stop.clone(), handler);
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

/// Tells a client that the server has no connection left for it.
async fn refuse(mut stream: TcpStream) {
    // A fresh socket has room for the answer; a client that left needs none.
    let _ = future::poll_once(stream.write_all(BUSY)).await;
}

async fn serve_connection<IO, F, Fut, B, E>(
    io: IO,
    limits: ServerLimits,
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
    // Boxed, so that the connection can be taken apart after a time-out.
    let handler = Arc::new(handler);
    let service = service_fn(move |req| Box::pin(handler(req)));
    let conn = http1::Builder::new()
        .timer(ConnTimer::default())
        .header_read_timeout(limits.header_timeout)
        .max_headers(limits.max_headers)
        .max_buf_size(limits.max_head)
        .serve_connection(HyperIo::new(io, READ_BUFFER), service);
    finish_connection(conn, stop).await;
}

/// Drives a connection to its end, which comes soon once `stop` is closed.
async fn finish_connection<IO, S, B>(mut conn: Connection<HyperIo<IO>, S>, stop: Receiver<()>)
where
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
    let ended = async { Some(poll_fn(|cx| conn.poll_without_shutdown(cx)).await) };
    let end = match ended.or(stopped).await {
        Some(end) => end,
        None => {
            Pin::new(&mut conn).graceful_shutdown();
            poll_fn(|cx| conn.poll_without_shutdown(cx)).await
        }
    };

    // A connection that broke otherwise concerns only its client.
    let timed_out = end.is_err_and(|err| err.is_timeout());
    let parts = conn.into_parts();
    let mut io = parts.io.into_inner();
    if timed_out && !parts.read_buf.is_empty() {
        let _ = future::poll_once(io.write_all(REQUEST_TIMEOUT)).await;
    }
    let _ = future::poll_once(io.close()).await;
}

//! tonic servers and clients over hyper, without the tokio runtime.

use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use futures_lite::FutureExt;
use http::uri::{Authority, Scheme};
use http::{Request, Response, Uri};
use hyper::body::Incoming;
use hyper::client::conn::http2::SendRequest;
use hyper::service::service_fn;
use hyper::{client, server};
use tonic::body::Body;
use tower_service::Service;

use crate::executor::{Executor, HyperExecutor};
mod calls;

pub use calls::CallBody;

use crate::grpc::calls::CallMemory;
use crate::http::{RequestMemory, accept};
use crate::io::{HyperIo, Stream};
use crate::tasks::{TaskSet, closed};
use crate::timer::ConnTimer;

/// Size of a connection's read buffer, in bytes.
const READ_BUFFER: usize = 64 * 1024;

/// HTTP/2 flow-control window of one stream, in bytes.
const STREAM_WINDOW: u32 = 4 * 1024 * 1024;

/// HTTP/2 flow-control window of one connection, in bytes.
const CONNECTION_WINDOW: u32 = 16 * 1024 * 1024;

/// Maximum size of a received HTTP/2 frame, in bytes.
const MAX_FRAME: u32 = 256 * 1024;

/// Maximum size of the send buffer of one stream, in bytes.
const SEND_BUFFER: usize = 1024 * 1024;

/// Maximum number of concurrent requests on one connection.
const MAX_STREAMS: u32 = 4096;

/// HTTP/2 flow-control window of a counted connection and of each of its streams, in bytes. HTTP/2 frames
/// wait for their readers within it, before they are counted.
const COUNTED_WINDOW: u32 = 128 * 1024;

/// Size of the read buffer of a counted connection, in bytes.
const COUNTED_READ_BUFFER: usize = 16 * 1024;

/// Maximum size of a frame received on a counted connection, in bytes; the least that HTTP/2 allows.
const COUNTED_MAX_FRAME: u32 = 16 * 1024;

/// Memory of a counted connection besides its calls, in bytes: the read buffer, a frame that is
/// received, one that is sent, tables of header fields and the task. An estimate from their sizes.
const COUNTED_CONNECTION_BYTES: usize = 64 * 1024;

/// Time that a write may wait for the peer before the connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum number of open connections. At a server that counts its memory, a further one takes the place
/// of one without a call; else it is closed at once.
const MAX_CONNECTIONS: usize = 4096;

/// Maximum size of a request's header list, in bytes.
const MAX_HEAD: u32 = 16 * 1024;

/// Interval between keep-alive pings on a connection without traffic.
const KEEP_ALIVE: Duration = Duration::from_secs(5);

/// Time to wait for the reply to a keep-alive ping before the connection is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves a generated tonic service over HTTP/2.
///
/// When `stop` is closed, it stops accepting, waits for calls in flight and returns. Dropping the
/// future closes the listener and every connection.
pub async fn serve<S>(ex: Arc<Executor>, listener: TcpListener, stop: Receiver<()>, service: S)
where
    S: Service<Request<CallBody>, Response = Response<Body>, Error = Infallible>
        + Clone
        + Send
        + Sync
        + 'static,
    S::Future: Send + 'static,
{
    serve_with(ex, listener, None, stop, service).await;
}

/// Like [`serve`], and counts connections, calls and unfinished messages in `memory`. Connections
/// have smaller buffers.
pub async fn serve_counted<S>(
    ex: Arc<Executor>,
    listener: TcpListener,
    memory: RequestMemory,
    stop: Receiver<()>,
    service: S,
) where
    S: Service<Request<CallBody>, Response = Response<Body>, Error = Infallible>
        + Clone
        + Send
        + Sync
        + 'static,
    S::Future: Send + 'static,
{
    serve_with(ex, listener, Some(memory), stop, service).await;
}

async fn serve_with<S>(
    ex: Arc<Executor>,
    listener: TcpListener,
    memory: Option<RequestMemory>,
    stop: Receiver<()>,
    service: S,
) where
    S: Service<Request<CallBody>, Response = Response<Body>, Error = Infallible>
        + Clone
        + Send
        + Sync
        + 'static,
    S::Future: Send + 'static,
{
    let connections = TaskSet::new(ex.clone());
    let port = memory.map(|memory| memory.port(MAX_CONNECTIONS));
    while let Some(stream) = accept(&listener, &stop).await {
        let held = match &port {
            Some(port) => match port.admit(COUNTED_CONNECTION_BYTES).await {
                Some(held) => Some(Arc::new(CallMemory::new(port.shared().clone(), held))),
                None => continue,
            },
            None if connections.len() >= MAX_CONNECTIONS => continue,
            None => None,
        };
        let conn = serve_connection(ex.clone(), stream, held, stop.clone(), service.clone());
        connections.spawn(conn);
    }
    drop(listener);
    connections.join().await;
}

async fn serve_connection<S>(
    ex: Arc<Executor>,
    stream: TcpStream,
    memory: Option<Arc<CallMemory>>,
    stop: Receiver<()>,
    service: S,
) where
    S: Service<Request<CallBody>, Response = Response<Body>, Error = Infallible>
        + Clone
        + Send
        + Sync
        + 'static,
    S::Future: Send + 'static,
{
    let (frame, buffer) = match memory {
        Some(_) => (COUNTED_MAX_FRAME, COUNTED_READ_BUFFER),
        None => (MAX_FRAME, READ_BUFFER),
    };
    let (stream_window, connection_window) = match memory {
        Some(_) => (COUNTED_WINDOW, COUNTED_WINDOW),
        None => (STREAM_WINDOW, CONNECTION_WINDOW),
    };
    let call_memory = memory.clone();
    let service = service_fn(move |req: Request<Incoming>| {
        let memory = call_memory.clone();
        service
            .clone()
            .call(req.map(|body| CallBody::new(body, memory)))
    });
    let conn = server::conn::http2::Builder::new(HyperExecutor(ex))
        .timer(ConnTimer::default())
        .initial_stream_window_size(stream_window)
        .initial_connection_window_size(connection_window)
        .max_frame_size(frame)
        .max_send_buf_size(SEND_BUFFER)
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEAD)
        .keep_alive_interval(KEEP_ALIVE)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .serve_connection(
            HyperIo::new(Stream::new(stream, WRITE_TIMEOUT), buffer),
            service,
        );
    let mut conn = pin!(conn);

    let stopped = async {
        closed(&stop).await;
        true
    };
    let given_up = poll_fn(|cx| match &memory {
        Some(memory) => memory.poll_given_up(cx),
        None => Poll::Pending,
    });
    let ended = async {
        // A connection error affects only its client.
        let _ = conn.as_mut().await;
        false
    };
    let given_up = async {
        given_up.await;
        false
    };
    if ended.or(given_up).or(stopped).await {
        conn.as_mut().graceful_shutdown();
        let _ = conn.await;
    }
}

/// An HTTP/2 connection for generated tonic clients. Clones share the connection.
#[derive(Clone, Debug)]
pub struct Channel {
    sender: SendRequest<Body>,
    authority: Authority,
}

impl Channel {
    /// Returns whether the connection has been closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// Connects to `addr` within `timeout`. A task on `ex` drives the connection, which closes when the
/// last clone of the channel and the last call on it are dropped.
pub async fn connect(
    ex: Arc<Executor>,
    addr: SocketAddr,
    timeout: Duration,
) -> io::Result<Channel> {
    let expire = async {
        Timer::after(timeout).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    open(ex, addr).or(expire).await
}

async fn open(ex: Arc<Executor>, addr: SocketAddr) -> io::Result<Channel> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let (sender, driver) = client::conn::http2::Builder::new(HyperExecutor(ex.clone()))
        .timer(ConnTimer::default())
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_frame_size(MAX_FRAME)
        .max_send_buf_size(SEND_BUFFER)
        .keep_alive_interval(KEEP_ALIVE)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .handshake(HyperIo::new(
            Stream::new(stream, WRITE_TIMEOUT),
            READ_BUFFER,
        ))
        .await
        .map_err(io::Error::other)?;
    ex.spawn(async move {
        // Calls in flight return the connection's error.
        let _ = driver.await;
    })
    .detach();

    let authority = Authority::try_from(addr.to_string()).map_err(io::Error::other)?;
    Ok(Channel { sender, authority })
}

impl Service<Request<Body>> for Channel {
    type Response = Response<Incoming>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.sender.poll_ready(cx)
    }

    fn call(&mut self, mut req: Request<Body>) -> Self::Future {
        let mut parts = std::mem::take(req.uri_mut()).into_parts();
        parts.scheme = Some(Scheme::HTTP);
        parts.authority = Some(self.authority.clone());
        *req.uri_mut() = Uri::from_parts(parts).expect("a generated client sets a path");
        Box::pin(self.sender.send_request(req))
    }
}

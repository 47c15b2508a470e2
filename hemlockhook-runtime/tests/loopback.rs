//! HTTP and gRPC over loopback sockets on executor threads.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_channel::Sender;
use async_executor::Task;
use async_net::TcpListener;
use bytes::Bytes;
use futures_core::Stream;
use futures_lite::{StreamExt, future};
use googletest::prelude::*;
use hemlockhook_proto::v1::agent_client::AgentClient;
use hemlockhook_proto::v1::agent_server::{Agent, AgentServer};
use hemlockhook_proto::v1::{AgentFrame, EntryFrame};
use hemlockhook_runtime::executor::Threads;
use hemlockhook_runtime::grpc;
use hemlockhook_runtime::http::{self as web, HttpClient, HttpError, ServerLimits, read_body};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use tonic::Status;

const MAX_BODY: usize = 64 * 1024;
const TIMEOUT: Duration = Duration::from_secs(20);

struct Server {
    addr: SocketAddr,
    stop: Sender<()>,
    task: Task<()>,
}

fn start_http<F, Fut>(threads: &Threads, handler: F) -> Server
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let listener = bind();
    let addr = listener.local_addr().unwrap();
    let (stop, stopped) = async_channel::bounded(1);
    let ex = threads.traffic();
    let limits = ServerLimits::default();
    let serve = web::serve(ex.clone(), listener, limits, stopped, handler);
    let task = ex.spawn(serve);
    Server { addr, stop, task }
}

fn bind() -> TcpListener {
    async_io::block_on(TcpListener::bind("127.0.0.1:0")).unwrap()
}

async fn echo(req: Request<Incoming>) -> Response<Full<Bytes>> {
    let limits = ServerLimits::default();
    match read_body(req.into_body(), limits.max_body, limits.body_timeout).await {
        Ok(body) => Response::new(Full::new(body)),
        Err(err) => {
            let mut res = Response::new(Full::new(err.to_string().into()));
            *res.status_mut() = err.status();
            res
        }
    }
}

fn post(body: &'static [u8]) -> Request<Full<Bytes>> {
    Request::post("/echo")
        .body(Full::new(Bytes::from_static(body)))
        .unwrap()
}

#[googletest::test]
fn http_echoes_over_one_connection() {
    let threads = Threads::start("test", 2);
    let server = start_http(&threads, echo);
    let client = HttpClient::new(threads.traffic(), server.addr, 1);
    for _ in 0..100 {
        let res = async_io::block_on(client.send(post(b"hello"), MAX_BODY, TIMEOUT)).unwrap();
        expect_that!(res.status(), eq(StatusCode::OK));
        expect_that!(res.body().as_ref(), eq(b"hello".as_slice()));
    }
}

#[googletest::test]
fn a_stopped_server_finishes_the_request_in_flight() {
    let threads = Threads::start("test", 2);
    let (release, released) = async_channel::bounded::<()>(1);
    let (started_tx, started_rx) = async_channel::bounded::<()>(1);
    let server = start_http(&threads, move |_| {
        let (released, started_tx) = (released.clone(), started_tx.clone());
        async move {
            started_tx.send(()).await.unwrap();
            let _ = released.recv().await;
            Response::new(Full::new("late".into()))
        }
    });
    let client = HttpClient::new(threads.traffic(), server.addr, 1);
    let res = async_io::block_on(async {
        let stopping = async {
            started_rx.recv().await.unwrap();
            server.stop.close();
            release.close();
            server.task.await;
        };
        future::zip(client.send(post(b""), MAX_BODY, TIMEOUT), stopping)
            .await
            .0
    });
    expect_that!(res.unwrap().body().as_ref(), eq(b"late".as_slice()));
}

#[googletest::test]
fn a_dropped_send_closes_the_connection() {
    struct CloseOnDrop(Sender<()>);
    impl Drop for CloseOnDrop {
        fn drop(&mut self) {
            self.0.close();
        }
    }

    let threads = Threads::start("test", 2);
    let (started_tx, started_rx) = async_channel::bounded::<()>(1);
    let (dropped_tx, dropped_rx) = async_channel::bounded::<()>(1);
    let server = start_http(&threads, move |_| {
        let (guard, started_tx) = (CloseOnDrop(dropped_tx.clone()), started_tx.clone());
        async move {
            started_tx.send(()).await.unwrap();
            let _guard = guard;
            future::pending().await
        }
    });
    let client = HttpClient::new(threads.traffic(), server.addr, 1);
    async_io::block_on(async {
        let started = async {
            started_rx.recv().await.unwrap();
            None
        };
        let send = async { Some(client.send(post(b""), MAX_BODY, TIMEOUT).await) };
        assert!(future::or(started, send).await.is_none());
        // Returns once the server has dropped the handler.
        let _ = dropped_rx.recv().await;
    });
}

#[googletest::test]
fn a_pool_opens_no_more_than_its_connections() {
    let threads = Threads::start("test", 2);
    let running = Arc::new(AtomicUsize::new(0));
    let peak = Arc::new(AtomicUsize::new(0));
    let (handler_running, handler_peak) = (running.clone(), peak.clone());
    let server = start_http(&threads, move |_| {
        let (running, peak) = (handler_running.clone(), handler_peak.clone());
        async move {
            peak.fetch_max(running.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
            async_io::Timer::after(Duration::from_millis(2)).await;
            running.fetch_sub(1, Ordering::SeqCst);
            Response::new(Full::default())
        }
    });
    let ex = threads.traffic();
    let client = HttpClient::new(ex.clone(), server.addr, 3);
    let sends: Vec<_> = (0..50)
        .map(|_| {
            let client = client.clone();
            ex.spawn(async move { client.send(post(b""), MAX_BODY, TIMEOUT).await })
        })
        .collect();
    for send in sends {
        async_io::block_on(send).unwrap();
    }
    expect_that!(peak.load(Ordering::SeqCst), le(3));
}

#[googletest::test]
fn an_oversize_response_and_a_dead_address_are_errors() {
    let threads = Threads::start("test", 1);
    let server = start_http(&threads, echo);
    let client = HttpClient::new(threads.traffic(), server.addr, 1);
    let res = async_io::block_on(client.send(post(b"four"), 3, TIMEOUT));
    expect_that!(res, err(matches_pattern!(HttpError::Body(_))));

    let dead = bind().local_addr().unwrap();
    let client = HttpClient::new(threads.traffic(), dead, 1);
    let res = async_io::block_on(client.send(post(b"four"), MAX_BODY, TIMEOUT));
    expect_that!(res, err(matches_pattern!(HttpError::Connect(_))));
}

#[googletest::test]
fn a_response_that_stalls_is_an_error_and_one_that_makes_progress_is_not() {
    const PARTS: usize = 8;
    let stall = Duration::from_millis(800);
    let pause = stall / 4;
    let threads = Threads::start("test", 1);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        for is_complete in [true, false] {
            let (mut stream, _) = listener.accept().unwrap();
            // The request is smaller than one read.
            let _ = stream.read(&mut [0; 4096]).unwrap();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {PARTS}\r\n\r\n");
            stream.write_all(head.as_bytes()).unwrap();
            for _ in 0..if is_complete { PARTS } else { 1 } {
                std::thread::sleep(pause);
                stream.write_all(b"x").unwrap();
            }
            if !is_complete {
                // Waits until the client closes the connection.
                let _ = stream.read(&mut [0]);
            }
        }
    });
    let client = HttpClient::new(threads.traffic(), addr, 1);
    let send = || client.send_with_progress(post(b""), MAX_BODY, TIMEOUT, stall);
    let whole = async_io::block_on(send()).unwrap();
    expect_that!(whole.body().len(), eq(PARTS));
    let stalled = async_io::block_on(send());
    expect_that!(stalled, err(matches_pattern!(HttpError::Stalled(_))));
    server.join().unwrap();
}

struct EchoAgent;

#[tonic::async_trait]
impl Agent for EchoAgent {
    type LinkStream = Pin<Box<dyn Stream<Item = std::result::Result<AgentFrame, Status>> + Send>>;

    async fn link(
        &self,
        req: tonic::Request<tonic::Streaming<EntryFrame>>,
    ) -> std::result::Result<tonic::Response<Self::LinkStream>, Status> {
        let frames = req.into_inner().map(|frame| {
            frame.map(|frame| AgentFrame {
                grants: frame.returned_grants,
                ..AgentFrame::default()
            })
        });
        Ok(tonic::Response::new(Box::pin(frames)))
    }
}

#[googletest::test]
fn a_grpc_stream_carries_frames_both_ways() {
    let threads = Threads::start("test", 2);
    let ex = threads.traffic();
    let listener = bind();
    let addr = listener.local_addr().unwrap();
    let (_stop, stopped) = async_channel::bounded(1);
    let service = AgentServer::new(EchoAgent);
    let _server = ex.spawn(grpc::serve(ex.clone(), listener, stopped, service));

    async_io::block_on(async {
        let channel = grpc::connect(ex.clone(), addr, TIMEOUT).await.unwrap();
        let (tx, rx) = async_channel::bounded(8);
        let mut frames = AgentClient::new(channel)
            .link(rx)
            .await
            .unwrap()
            .into_inner();
        for count in 0..1000 {
            let frame = EntryFrame {
                returned_grants: count,
                ..EntryFrame::default()
            };
            tx.send(frame).await.unwrap();
            let back = frames.message().await.unwrap().unwrap();
            expect_that!(back.grants, eq(count));
        }
        tx.close();
        expect_that!(frames.message().await.unwrap(), none());
    });
}

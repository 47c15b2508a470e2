//! Prints exchanges per second and the CPU time of each, for HTTP and for a gRPC stream.
//!
//! `cargo run --release -p hemlockhook-runtime --example throughput -- MODE [CONCURRENCY] [SECONDS] [THREADS]`
//! with MODE `http` (short requests), `sleep` (each takes 5 ms) or `grpc` (frames on one stream).

use std::env;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::Timer;
use async_net::TcpListener;
use bytes::Bytes;
use futures_core::Stream;
use futures_lite::StreamExt;
use hemlockhook_proto::v1::agent_client::AgentClient;
use hemlockhook_proto::v1::agent_server::{Agent, AgentServer};
use hemlockhook_proto::v1::{AgentFrame, EntryFrame};
use hemlockhook_runtime::cpu::thread_cpu_time;
use hemlockhook_runtime::executor::{Executor, Threads};
use hemlockhook_runtime::grpc;
use hemlockhook_runtime::http::{HttpClient, ServerLimits, read_body, serve};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tonic::Status;

const MAX_BODY: usize = 1024;
const TIMEOUT: Duration = Duration::from_secs(30);

fn main() {
    let args: Vec<String> = env::args().skip(1).collect();
    let mode = args.first().map_or("http", String::as_str).to_owned();
    let number =
        |index: usize, default| args.get(index).map_or(default, |arg| arg.parse().unwrap());
    let (concurrency, seconds, threads) = (number(1, 64), number(2, 5), number(3, 2) as usize);

    let server = Threads::start("server", threads);
    let client = Threads::start("client", threads);
    let listener = async_io::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let addr = listener.local_addr().unwrap();
    let (stop, stopped) = async_channel::bounded(1);
    let done = Arc::new(AtomicU64::new(0));

    let _tasks = match mode.as_str() {
        "grpc" => {
            let service = AgentServer::new(EchoAgent);
            let ex = server.traffic();
            ex.spawn(grpc::serve(ex.clone(), listener, stopped, service))
                .detach();
            start_frames(client.traffic(), addr, concurrency, &done)
        }
        mode => {
            let pause = Duration::from_millis(if mode == "sleep" { 5 } else { 0 });
            start_server(server.traffic(), listener, stopped, pause);
            start_requests(client.traffic(), addr, concurrency, &done)
        }
    };

    std::thread::sleep(Duration::from_millis(500));
    let (start, before) = (Instant::now(), done.load(Ordering::Relaxed));
    let (server_cpu, client_cpu) = (cpu("server"), cpu("client"));
    std::thread::sleep(Duration::from_secs(seconds));
    let count = done.load(Ordering::Relaxed) - before;
    let micros = |cpu: Duration| cpu.as_secs_f64() * 1e6 / count as f64;
    println!(
        "{mode}: {:.0} a second, {:.1} us server, {:.1} us client, concurrency {concurrency}",
        count as f64 / start.elapsed().as_secs_f64(),
        micros(cpu("server") - server_cpu),
        micros(cpu("client") - client_cpu),
    );
    drop(stop);
}

fn start_server(ex: Arc<Executor>, listener: TcpListener, stopped: Receiver<()>, pause: Duration) {
    let limits = ServerLimits::default();
    let handler = move |req: Request<Incoming>| async move {
        let body = read_body(req.into_body(), limits.max_body, limits.body_timeout).await;
        if !pause.is_zero() {
            Timer::after(pause).await;
        }
        Response::new(Full::new(body.unwrap_or_default()))
    };
    ex.spawn(serve(ex.clone(), listener, limits, stopped, handler))
        .detach();
}

fn start_requests(
    ex: Arc<Executor>,
    addr: SocketAddr,
    concurrency: u64,
    done: &Arc<AtomicU64>,
) -> Vec<async_executor::Task<()>> {
    let client = HttpClient::new(ex.clone(), addr, concurrency as usize);
    let request_loop = |_| {
        let (client, done) = (client.clone(), done.clone());
        ex.spawn(async move {
            loop {
                let req = Request::post("/v1/tasks")
                    .header("hemlockhook-job", "desk/1234")
                    .header("hemlockhook-task", 1)
                    .body(Full::new(Bytes::from_static(b"{\"run_ms\":5}")))
                    .unwrap();
                client.send(req, MAX_BODY, TIMEOUT).await.unwrap();
                done.fetch_add(1, Ordering::Relaxed);
            }
        })
    };
    (0..concurrency).map(request_loop).collect()
}

fn start_frames(
    ex: Arc<Executor>,
    addr: SocketAddr,
    concurrency: u64,
    done: &Arc<AtomicU64>,
) -> Vec<async_executor::Task<()>> {
    let done = done.clone();
    let task = ex.clone().spawn(async move {
        let channel = grpc::connect(ex, addr, TIMEOUT).await.unwrap();
        let (tx, rx) = async_channel::unbounded();
        let mut frames = AgentClient::new(channel)
            .link(rx)
            .await
            .unwrap()
            .into_inner();
        for _ in 0..concurrency {
            tx.send(EntryFrame::default()).await.unwrap();
        }
        while let Some(_frame) = frames.message().await.unwrap() {
            done.fetch_add(1, Ordering::Relaxed);
            tx.send(EntryFrame::default()).await.unwrap();
        }
    });
    vec![task]
}

struct EchoAgent;

#[tonic::async_trait]
impl Agent for EchoAgent {
    type LinkStream = Pin<Box<dyn Stream<Item = Result<AgentFrame, Status>> + Send>>;

    async fn link(
        &self,
        req: tonic::Request<tonic::Streaming<EntryFrame>>,
    ) -> Result<tonic::Response<Self::LinkStream>, Status> {
        let frames = req.into_inner().map(|frame| {
            frame.map(|frame| AgentFrame {
                grants: frame.returned_grants + 1,
                ..AgentFrame::default()
            })
        });
        Ok(tonic::Response::new(Box::pin(frames)))
    }
}

fn cpu(prefix: &str) -> Duration {
    thread_cpu_time(prefix).expect("failed to read the CPU time of threads")
}

//! The agent process: its listeners, control thread and shutdown.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::Task;
use async_io::Timer;
use async_net::TcpListener;
use eyre::WrapErr;
use futures_lite::FutureExt;

use hemlockhook_ports::HttpLog;
use hemlockhook_proto::v1::agent_server::AgentServer;
use hemlockhook_runtime::executor::{Executor, Threads};
use hemlockhook_runtime::http::ServerLimits;
use hemlockhook_runtime::{grpc, http, signal};
use hemlockhook_types::{Clock, SystemClock, new_incarnation};

use crate::admin::Admin;
use crate::control_loop::{ControlLoop, Input};
use crate::engine::{Engine, Event};
use crate::link::LinkService;
use crate::settings::Settings;
use crate::upstream::{UpstreamClient, UpstreamLimits};

/// Maximum number of queued inputs of the control thread.
const INPUT_QUEUE_CAPACITY: usize = 8192;

/// Maximum size of a frame from an entry, in bytes.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Time for open connections to finish after the agent has left.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// An agent that runs on its caller's executors.
///
/// Dropping it ends it abruptly, as a crash of its process would.
pub struct AgentProcess {
    link_addr: SocketAddr,
    admin_addr: SocketAddr,
    inputs: Sender<Input>,
    /// Closed to shut the servers down.
    stop: Sender<()>,
    control: Task<()>,
    links: Task<()>,
    admin: Task<()>,
}

impl AgentProcess {
    /// Starts an agent, with its engine on `control` and everything else on `traffic`.
    pub async fn start(
        settings: &Settings,
        control: Arc<Executor>,
        traffic: Arc<Executor>,
        clock: Arc<dyn Clock>,
    ) -> eyre::Result<Self> {
        let (link_listener, link_addr) = listen("link_address", settings.link_address).await?;
        let (admin_listener, admin_addr) = listen("admin_address", settings.admin_address).await?;
        let incarnation = new_incarnation();
        let engine = Engine::new(clock.now(), settings.engine_config(incarnation, link_addr));
        let (inputs, queue) = async_channel::bounded(INPUT_QUEUE_CAPACITY);
        let (stop, stopped) = async_channel::bounded(1);

        let limits = &settings.limits;
        let upstream_limits = UpstreamLimits {
            max_connections: limits.upstream_connections,
            max_response_bytes: limits.max_answer_bytes,
            timeout: Duration::from_secs(limits.task_timeout_s),
        };
        let log_timeout = Duration::from_millis(limits.log_timeout_ms);
        let control_loop = ControlLoop {
            upstream: UpstreamClient::new(
                traffic.clone(),
                settings.upstream_address,
                upstream_limits,
                clock.clone(),
                incarnation,
            ),
            log: Arc::new(HttpLog::new(
                traffic.clone(),
                settings.log_address,
                log_timeout,
            )),
            clock,
            traffic: traffic.clone(),
            inputs: inputs.clone(),
            links: HashMap::new(),
            calls: HashMap::new(),
            append_task: None,
            read_tasks: HashMap::new(),
        };
        spdlog::info!("starting the agent", kv: {
            incarnation = format!("{incarnation:x}").as_str(),
            link_address = link_addr.to_string().as_str(),
            admin_address = admin_addr.to_string().as_str(),
        });

        let service = AgentServer::new(LinkService::new(traffic.clone(), inputs.clone()))
            .max_decoding_message_size(MAX_FRAME_BYTES);
        let links = grpc::serve(traffic.clone(), link_listener, stopped.clone(), service);
        Ok(Self {
            link_addr,
            admin_addr,
            stop,
            control: control.spawn(control_loop.run(engine, queue)),
            links: traffic.spawn(links),
            admin: traffic.spawn(serve_admin(
                traffic.clone(),
                admin_listener,
                stopped,
                inputs.clone(),
            )),
            inputs,
        })
    }

    /// Returns the address that entries connect to.
    pub fn link_addr(&self) -> SocketAddr {
        self.link_addr
    }

    /// Returns the address of the admin port.
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin_addr
    }

    /// Stops gracefully: refuses new tasks, finishes running ones, delivers the results and leaves.
    pub async fn stop(self) {
        // Fails only if the control loop has already ended.
        let _ = self.inputs.send(Input::Event(Event::Stop)).await;
        self.control.await;
        self.stop.close();
        let finish = async {
            self.links.await;
            self.admin.await;
        };
        let timeout = async {
            Timer::after(CLOSE_TIMEOUT).await;
        };
        finish.or(timeout).await;
    }
}

/// Runs an agent on threads of its own until SIGTERM, then stops it gracefully.
pub fn run(settings: &Settings) -> eyre::Result<()> {
    let threads = Threads::start("agent", settings.limits.traffic_threads);
    let control = threads.control();
    let traffic = threads.traffic();
    async_io::block_on(async {
        let agent = AgentProcess::start(settings, control, traffic, Arc::new(SystemClock)).await?;
        signal::wait_for_termination().await;
        spdlog::info!("stopping the agent");
        agent.stop().await;
        spdlog::info!("the agent has stopped");
        Ok(())
    })
}

async fn listen(key: &str, addr: SocketAddr) -> eyre::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(addr)
        .await
        .wrap_err_with(|| format!("{key}: can't listen on {addr}"))?;
    let addr = listener.local_addr().wrap_err(key.to_owned())?;
    Ok((listener, addr))
}

async fn serve_admin(
    ex: Arc<Executor>,
    listener: TcpListener,
    stopped: Receiver<()>,
    inputs: Sender<Input>,
) {
    let admin = Admin::new(inputs);
    let handler = move |req| admin.clone().handle(req);
    http::serve(ex, listener, ServerLimits::default(), stopped, handler).await;
}

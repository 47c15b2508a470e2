//! An entry process: its servers, background tasks and shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use async_channel::{Receiver, Sender};
use async_executor::Task;
use async_io::Timer;
use async_net::TcpListener;
use eyre::WrapErr;
use futures_lite::FutureExt;
use hemlockhook_ownership::Record;
use hemlockhook_ports::{HttpLog, HttpWorkers, Log, Workers};
use hemlockhook_proto::v1::EntryHello;
use hemlockhook_proto::v1::entry_server::EntryServer;
use hemlockhook_runtime::executor::{Executor, Threads};
use hemlockhook_runtime::http::ServerLimits;
use hemlockhook_runtime::{grpc, http, signal};
use hemlockhook_types::{Clock, SystemClock, new_incarnation};

use crate::action_runner::ActionRunner;
use crate::admin::AdminApi;
use crate::api::CallerApi;
use crate::control::{self, ControlHandle};
use crate::engine::{Engine, Identity};
use crate::event::Event;
use crate::follow;
use crate::metrics::EntryMetrics;
use crate::service::EntryService;
use crate::settings::Settings;

/// Timeout for a request to the log.
const LOG_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for a request to the workers' service.
const WORKERS_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a message from another entry, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Interval between checks of whether a draining entry has finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Number of such checks for which a draining entry waits for others to take over its shards.
const MAX_HANDOVER_POLLS: u32 = 100;

/// Time for which a draining entry still accepts connections, for the sake of load balancers that
/// have not yet noticed that it is no longer ready.
const DRAIN_ACCEPT_TIME: Duration = Duration::from_millis(500);

/// Timeout for connections to close after the last answer.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// A running entry, on executors that the caller provides.
///
/// Dropping it stops it abruptly, like a crash of its process.
pub struct EntryProcess {
    callers: SocketAddr,
    admin: SocketAddr,
    control: ControlHandle,
    /// Closed to shut down the servers for peers and operators.
    stop: Sender<()>,
    /// Closed to shut down the server for callers.
    stop_callers: Sender<()>,
    callers_server: Task<()>,
    servers: Vec<Task<()>>,
    _tasks: Vec<Task<()>>,
}

impl EntryProcess {
    /// Starts an entry, with the engine on `control_ex` and everything else on `traffic`.
    pub async fn start(
        settings: &Settings,
        control_ex: Arc<Executor>,
        traffic: Arc<Executor>,
        clock: Arc<dyn Clock>,
    ) -> eyre::Result<Self> {
        let (callers_listener, callers) =
            listen("callers_address", settings.callers_address).await?;
        let (peers_listener, peers) = listen("peers_address", settings.peers_address).await?;
        let (admin_listener, admin) = listen("admin_address", settings.admin_address).await?;

        let log: Arc<dyn Log> = Arc::new(HttpLog::new(
            traffic.clone(),
            settings.log_address,
            LOG_TIMEOUT,
        ));
        let identity = new_identity(settings, peers, &*clock);
        spdlog::info!("starting the entry", kv: {
            name = identity.name.as_str(),
            incarnation = format!("{:x}", identity.incarnation),
            callers = callers.to_string(),
            peers = peers.to_string(),
            admin = admin.to_string(),
        });
        let announcement = announcement(&identity);
        let hello = EntryHello {
            incarnation: identity.incarnation,
            name: identity.name.clone(),
            data_center: identity.data_center.clone(),
        };
        let engine = Engine::new(
            identity,
            settings.timing.clone(),
            &settings.memory,
            clock.now(),
        );

        let (control, inputs) = ControlHandle::new();
        let (read_requests_tx, read_requests) = async_channel::unbounded();
        let workers = settings.workers_address.map(|address| {
            let workers = HttpWorkers::new(traffic.clone(), address, WORKERS_TIMEOUT);
            Arc::new(workers) as Arc<dyn Workers>
        });
        let runner = ActionRunner::new(
            traffic.clone(),
            control.clone(),
            log.clone(),
            workers,
            hello,
            read_requests_tx,
        );
        let tasks = vec![
            control_ex.spawn(control::run(engine, runner, inputs, clock.clone())),
            traffic.spawn(follow::follow_members(
                log.clone(),
                control.clone(),
                read_requests,
                clock.clone(),
            )),
            traffic.spawn(follow::follow_configs(
                log.clone(),
                control.clone(),
                clock.clone(),
            )),
            traffic.spawn(follow::announce(log, announcement)),
        ];

        let (stop, stopped) = async_channel::bounded(1);
        let (stop_callers, callers_stopped) = async_channel::bounded(1);
        let ex = &traffic;
        let callers_server =
            serve_callers(ex, callers_listener, callers_stopped, settings, &control);
        let servers = vec![
            serve_peers(ex, peers_listener, stopped.clone(), &control),
            serve_admin(ex, admin_listener, stopped, &control),
        ];
        Ok(Self {
            callers,
            admin,
            control,
            stop,
            stop_callers,
            callers_server,
            servers,
            _tasks: tasks,
        })
    }

    /// Returns the address on which the entry serves callers.
    pub fn callers_addr(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address of the admin port.
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin
    }

    /// Returns the handle to the control thread.
    pub fn control(&self) -> &ControlHandle {
        &self.control
    }

    /// Drains and stops the entry: hands over its shards and answers all jobs in flight.
    pub async fn stop(self) {
        self.control.send(Event::Drain);
        Timer::after(DRAIN_ACCEPT_TIME).await;
        self.stop_callers.close();
        self.callers_server.await;
        wait_until_drained(&self.control).await;
        self.stop.close();
        let finish = async {
            for server in self.servers {
                server.await;
            }
        };
        let expire = async {
            Timer::after(CLOSE_TIMEOUT).await;
        };
        finish.or(expire).await;
    }
}

/// Runs an entry as its own process until SIGTERM.
pub fn run(settings: &Settings) -> eyre::Result<()> {
    let threads = Threads::start("entry", settings.traffic_threads);
    let control = threads.control();
    let traffic = threads.traffic();
    async_io::block_on(async {
        let clock = Arc::new(SystemClock);
        let entry = EntryProcess::start(settings, control, traffic, clock).await?;
        signal::wait_for_termination().await;
        spdlog::info!("draining the entry");
        entry.stop().await;
        spdlog::info!("the entry has stopped");
        Ok(())
    })
}

/// Waits until no job is in flight, and up to a limit until the shards have been handed over.
async fn wait_until_drained(control: &ControlHandle) {
    let mut polls_left = MAX_HANDOVER_POLLS;
    loop {
        let inspection =
            |engine: &Engine, now| (engine.is_idle(), engine.is_handover_complete(now));
        match control.inspect(inspection).await {
            Some((true, handed_over)) if handed_over || polls_left == 0 => return,
            Some((_, false)) => polls_left = polls_left.saturating_sub(1),
            Some(_) => {}
            None => return,
        }
        Timer::after(DRAIN_POLL_INTERVAL).await;
    }
}

async fn listen(key: &str, addr: SocketAddr) -> eyre::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(addr)
        .await
        .wrap_err_with(|| format!("{key}: can't listen on {addr}"))?;
    let addr = listener.local_addr().wrap_err_with(|| key.to_owned())?;
    Ok((listener, addr))
}

fn serve_callers(
    ex: &Arc<Executor>,
    listener: TcpListener,
    stop: Receiver<()>,
    settings: &Settings,
    control: &ControlHandle,
) -> Task<()> {
    let api = CallerApi::new(control.clone(), settings.limits.clone());
    let handler = move |req| api.clone().handle(req);
    let limits = server_limits(settings);
    ex.spawn(http::serve(ex.clone(), listener, limits, stop, handler))
}

fn serve_peers(
    ex: &Arc<Executor>,
    listener: TcpListener,
    stop: Receiver<()>,
    control: &ControlHandle,
) -> Task<()> {
    let service = EntryServer::new(EntryService::new(control.clone()))
        .max_decoding_message_size(MAX_MESSAGE_BYTES);
    ex.spawn(grpc::serve(ex.clone(), listener, stop, service))
}

fn serve_admin(
    ex: &Arc<Executor>,
    listener: TcpListener,
    stop: Receiver<()>,
    control: &ControlHandle,
) -> Task<()> {
    let admin = AdminApi::new(control.clone(), EntryMetrics::new());
    let handler = move |req| admin.clone().handle(req);
    let limits = ServerLimits::default();
    ex.spawn(http::serve(ex.clone(), listener, limits, stop, handler))
}

fn new_identity(settings: &Settings, peers: SocketAddr, clock: &dyn Clock) -> Identity {
    let started = clock
        .wall_time()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Identity {
        incarnation: new_incarnation(),
        name: settings.name.clone(),
        data_center: settings.data_center.clone(),
        address: settings.announced_address.unwrap_or(peers),
        known_peers: settings.known_peers.clone(),
        started_ms: started.as_millis() as u64,
    }
}

fn announcement(identity: &Identity) -> Record {
    Record::Entry {
        incarnation: identity.incarnation,
        name: identity.name.clone(),
        address: identity.address.to_string(),
        data_center: identity.data_center.clone(),
    }
}

fn server_limits(settings: &Settings) -> ServerLimits {
    let limits = &settings.limits;
    ServerLimits {
        max_body: limits.body_bytes,
        header_timeout: Duration::from_millis(limits.header_ms),
        body_timeout: Duration::from_millis(limits.body_ms),
        max_connections: limits.connections,
        max_head: limits.head_bytes,
        max_headers: limits.headers,
        ..ServerLimits::default()
    }
}

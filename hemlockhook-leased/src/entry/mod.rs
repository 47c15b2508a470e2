//! The entry, which accepts jobs from callers and orders their tasks from agents.

mod callers;
mod core;
mod links;
mod metrics;

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::Timer;
use async_net::TcpListener;
use bytes::Bytes;
use futures_lite::FutureExt;
use hemlockhook_dispatch::DrainRead;
use hemlockhook_dispatch::entry::ConfigurationSource;
use hemlockhook_ports::leased::{CONFIGURATION_KEY, CallerProtocol, RecordSet, Store};
use hemlockhook_proto::v1::leased_server::LeasedServer;
use hemlockhook_runtime::clock::BootClock;
use hemlockhook_runtime::executor::{Executor, run_with_priority};
use hemlockhook_runtime::http::{RequestMemory, ServerLimits};
use hemlockhook_runtime::io::Stream;
use hemlockhook_runtime::metrics::Metrics;
use hemlockhook_runtime::{grpc, http, signal};

use crate::entry::callers::CallerService;
use crate::entry::core::{Core, SharedCore};
use crate::entry::links::LinkService;
use crate::process::{listen, serve_metrics};
use crate::request_memory;
use crate::settings::EntrySettings;
use crate::watch::{FollowPolicy, ReadRecords, follow, put};

/// Tick interval while jobs are unanswered.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Tick interval otherwise.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which the delay of requests is measured.
const DELAY_INTERVAL: Duration = Duration::from_millis(250);

/// How the operators' records are followed. The sum of the wait and [`crate::STORE_TIMEOUT`] is below
/// the time within which a configuration has to be in force, so that a dead connection is detected
/// in time.
/// The pause bounds the share of a narrow link that configurations use when they change often.
const CONFIGURATION_POLICY: FollowPolicy = FollowPolicy {
    wait: Duration::from_millis(700),
    pause: Duration::from_millis(400),
};

/// Time from SIGTERM until the entry stops accepting requests. The balancer stops sending new
/// connections after two failed readiness checks, a second apart.
const DRAIN_NOTICE: Duration = Duration::from_millis(2600);

/// Part of the grace period that remains when the process exits at the latest.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(500);

/// Time to write the answers to the jobs that are left at the end of the grace period.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// Maximum number of connections from callers.
const MAX_CONNECTIONS: usize = 2500;

/// Maximum size of a frame from an agent, in bytes.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Runs an entry until SIGTERM.
pub fn run<C, S, M>(settings: &EntrySettings, protocol: C, make_store: M) -> eyre::Result<()>
where
    C: CallerProtocol,
    S: Store,
    M: FnOnce(Arc<Executor>) -> S,
{
    let ex = Arc::new(Executor::new());
    // Calls to the store, links and ticks, which must not wait for the requests of callers: without
    // them configurations come late, and agents stop the runs of an entry that they don't hear of.
    let urgent = Arc::new(Executor::new());
    let store = make_store(urgent.clone());
    let serve = serve(ex.clone(), urgent.clone(), settings, protocol, store);
    async_io::block_on(run_with_priority(&urgent, &ex, serve))
}

async fn serve<C, S>(
    ex: Arc<Executor>,
    urgent: Arc<Executor>,
    settings: &EntrySettings,
    protocol: C,
    store: S,
) -> eyre::Result<()>
where
    C: CallerProtocol,
    S: Store,
{
    let callers_listener = listen("callers_address", settings.callers_address).await?;
    let ready_listener = listen("ready_address", settings.ready_address).await?;
    let links_listener = listen("links_address", settings.links_address).await?;
    let metrics = Metrics::new();
    let core = Core::new(settings, Arc::new(BootClock::default()), &metrics);
    let core = Arc::new(core);
    let store = Arc::new(store);
    let protocol = Arc::new(protocol);
    let (stop, stopped) = async_channel::bounded(1);
    let limits = request_memory::limits(settings.memory_mb, settings.file_descriptors);
    let memory = RequestMemory::new(limits);
    request_memory::export(&memory, &metrics);
    ex.spawn(request_memory::report(memory.clone())).detach();
    spdlog::info!("starting the entry", kv: {
        name = settings.name.as_str(),
        incarnation = core.incarnation(),
    });

    if let Some(addr) = settings.metrics_address {
        let listener = listen("metrics_address", addr).await?;
        serve_metrics(&ex, listener, memory.clone(), stopped.clone(), metrics);
    }
    let links = LinkService::new(urgent.clone(), core.clone());
    let links = LeasedServer::new(links).max_decoding_message_size(MAX_FRAME_BYTES);
    urgent
        .spawn(grpc::serve_counted(
            urgent.clone(),
            links_listener,
            memory.clone(),
            stopped.clone(),
            links,
        ))
        .detach();
    urgent
        .spawn(follow_configuration(
            core.clone(),
            protocol.clone(),
            store.clone(),
        ))
        .detach();
    urgent
        .spawn(publish_address(
            store,
            settings.name.clone(),
            core.address().to_owned(),
        ))
        .detach();
    urgent.spawn(run_ticks(core.clone())).detach();
    ex.spawn(measure_delay(core.clone())).detach();
    ex.spawn(ignore_reloads()).detach();

    let service = CallerService::new(core.clone(), protocol);
    let limits = ServerLimits {
        max_connections: MAX_CONNECTIONS,
        ..ServerLimits::default()
    };
    let (ready_stop, ready_stopped) = async_channel::bounded::<()>(1);
    let serve_ready = serve_callers(
        ex.clone(),
        ready_listener,
        limits,
        memory.clone(),
        ready_stopped,
        service.clone(),
    );
    ex.spawn(serve_ready).detach();
    let serve_callers = serve_callers(
        ex.clone(),
        callers_listener,
        limits,
        memory,
        stopped,
        service,
    );
    let serve_callers = ex.spawn(serve_callers);

    signal::wait_for_termination().await;
    spdlog::info!("draining the entry", kv: { jobs = core.jobs() });
    core.leave();
    let grace = Duration::from_secs_f64(settings.grace_period_s) - SHUTDOWN_MARGIN;
    let finish = async {
        Timer::after(DRAIN_NOTICE).await;
        core.refuse_jobs();
        stop.close();
        serve_callers.await;
    };
    let expire = async {
        Timer::after(grace).await;
        spdlog::warn!("jobs were unanswered at the end of the grace period", kv: {
            jobs = core.jobs(),
        });
        core.expire();
        Timer::after(ANSWER_TIME).await;
    };
    finish.or(expire).await;
    drop(ready_stop);
    spdlog::info!("the entry has stopped");
    Ok(())
}

async fn serve_callers<C>(
    ex: Arc<Executor>,
    listener: TcpListener,
    limits: ServerLimits,
    memory: RequestMemory,
    stopped: Receiver<()>,
    service: CallerService<C>,
) where
    C: CallerProtocol,
{
    let connect = move |stream: Stream| {
        let peer = stream.peer();
        let service = service.clone();
        let answer = move |req| service.clone().answer(peer.clone(), req);
        (stream, answer)
    };
    http::serve_streams_counted(ex, listener, limits, memory, stopped, connect).await;
}

async fn follow_configuration<C, S>(core: SharedCore, protocol: Arc<C>, store: Arc<S>)
where
    C: CallerProtocol,
    S: Store,
{
    let decode = {
        let protocol = protocol.clone();
        move |document: &Bytes| protocol.read_configuration(document)
    };
    core.set_configuration_decoder(Box::new(decode));
    let on_read = |read: ReadRecords<'_>| {
        core.read_drains(|| {
            let record = |(key, value): &(String, Bytes)| {
                let name = protocol.drained_data_center(key)?;
                Some((name.into(), !value.is_empty()))
            };
            DrainRead {
                next: read.next,
                lists_all_keys: read.lists_all_keys,
                records: read.items.iter().filter_map(record).collect(),
            }
        });
    };
    let on_record = |key: &str, value: &Bytes| {
        key != CONFIGURATION_KEY
            || core.update_configuration(value.clone(), ConfigurationSource::Store)
    };
    follow(
        &*store,
        RecordSet::Operators,
        CONFIGURATION_POLICY,
        on_read,
        on_record,
    )
    .await;
}

/// Publishes the address of the entry in the store, for agents.
async fn publish_address<S>(store: Arc<S>, name: String, address: String)
where
    S: Store,
{
    put(&*store, RecordSet::Entries, &name, Bytes::from(address)).await;
}

async fn run_ticks(core: SharedCore) {
    loop {
        let interval = match core.tick() {
            true => BUSY_TICK_INTERVAL,
            false => IDLE_TICK_INTERVAL,
        };
        Timer::after(interval).await;
    }
}

/// Measures how long requests of callers wait until they are handled.
async fn measure_delay(core: SharedCore) {
    loop {
        let due = Instant::now() + DELAY_INTERVAL;
        Timer::at(due).await;
        core.record_delay(due.elapsed());
    }
}

/// Logs that SIGHUP has no effect: an entry reads its settings only when it starts.
async fn ignore_reloads() {
    let Some(mut signals) = signal::reload_signals() else {
        return;
    };
    while futures_lite::StreamExt::next(&mut signals).await.is_some() {
        spdlog::info!("SIGHUP: changed settings take effect at the next start of the entry");
    }
}

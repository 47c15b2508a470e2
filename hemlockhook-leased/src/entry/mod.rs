//! The entry: takes jobs from callers and orders their tasks from agents.

mod callers;
mod core;
mod links;
mod metrics;

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use hemlockhook_ports::leased::{CONFIGURATION, CallerProtocol, RecordSet, Store};
use hemlockhook_proto::v1::leased_server::LeasedServer;
use hemlockhook_runtime::clock::BootClock;
use hemlockhook_runtime::executor::Executor;
use hemlockhook_runtime::http::ServerLimits;
use hemlockhook_runtime::metrics::Metrics;
use hemlockhook_runtime::{grpc, http, signal};

use crate::entry::callers::CallerService;
use crate::entry::core::{Core, Shared};
use crate::entry::links::LinkService;
use crate::process::{listen, serve_metrics};
use crate::settings::EntrySettings;
use crate::watch::{follow, put};

/// Time between looks at what has come due while jobs are open.
const BUSY_TICK: Duration = Duration::from_millis(20);

/// Time between looks at what has come due otherwise.
const IDLE_TICK: Duration = Duration::from_millis(200);

/// How long a read of the operators' records waits for one. With the time-out of a call it is below
/// the time in which a configuration has to be in force, so that a dead connection is noticed.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(1000);

/// Time from SIGTERM until no more requests are accepted: the balancer needs two misses, a second
/// apart, to stop sending new connections.
const NOTICE: Duration = Duration::from_millis(2600);

/// Part of the grace period that is left when the process ends at the latest.
const GRACE_SLACK: Duration = Duration::from_millis(500);

/// Most connections of callers.
const MAX_CONNECTIONS: usize = 2500;

/// Largest frame taken from an agent, in bytes.
const MAX_FRAME: usize = 8 * 1024 * 1024;

/// Runs an entry until SIGTERM.
pub fn run<C, S, M>(settings: &EntrySettings, callers: C, make_store: M) -> eyre::Result<()>
where
    C: CallerProtocol,
    S: Store,
    M: FnOnce(Arc<Executor>) -> S,
{
    let ex = Arc::new(Executor::new());
    let store = make_store(ex.clone());
    async_io::block_on(ex.run(serve(ex.clone(), settings, callers, store)))
}

async fn serve<C, S>(
    ex: Arc<Executor>,
    settings: &EntrySettings,
    callers: C,
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
    let callers = Arc::new(callers);
    let (stop, stopped) = async_channel::bounded(1);
    spdlog::info!("the entry starts", kv: {
        name = settings.name.as_str(),
        incarnation = core.incarnation(),
    });

    if let Some(addr) = settings.metrics_address {
        let listener = listen("metrics_address", addr).await?;
        serve_metrics(&ex, listener, stopped.clone(), metrics);
    }
    let links = LinkService::new(ex.clone(), core.clone());
    let links = LeasedServer::new(links).max_decoding_message_size(MAX_FRAME);
    ex.spawn(grpc::serve(
        ex.clone(),
        links_listener,
        stopped.clone(),
        links,
    ))
    .detach();
    ex.spawn(follow_configuration(
        core.clone(),
        callers.clone(),
        store.clone(),
    ))
    .detach();
    ex.spawn(announce(
        store,
        settings.name.clone(),
        core.address().to_owned(),
    ))
    .detach();
    ex.spawn(tick(core.clone())).detach();
    ex.spawn(ignore_reloads()).detach();

    let service = CallerService::new(core.clone(), callers);
    let limits = ServerLimits {
        max_connections: MAX_CONNECTIONS,
        ..ServerLimits::default()
    };
    let ready = service.clone();
    let (ready_stop, ready_stopped) = async_channel::bounded::<()>(1);
    let serve_ready = http::serve(
        ex.clone(),
        ready_listener,
        limits,
        ready_stopped,
        move |req| ready.clone().answer(req),
    );
    ex.spawn(serve_ready).detach();
    let handler = move |req| service.clone().answer(req);
    let serve_callers = http::serve(ex.clone(), callers_listener, limits, stopped, handler);
    let serve_callers = ex.spawn(serve_callers);

    signal::wait_for_termination().await;
    spdlog::info!("the entry leaves", kv: { jobs = core.jobs() });
    core.leave();
    let grace = Duration::from_secs_f64(settings.grace_period_s) - GRACE_SLACK;
    let finish = async {
        Timer::after(NOTICE).await;
        core.stop_taking();
        stop.close();
        serve_callers.await;
    };
    let expire = async {
        Timer::after(grace).await;
        spdlog::warn!("jobs were open at the end of the grace period", kv: { jobs = core.jobs() });
    };
    finish.or(expire).await;
    drop(ready_stop);
    spdlog::info!("the entry has left");
    Ok(())
}

async fn follow_configuration<C, S>(core: Shared, callers: Arc<C>, store: Arc<S>)
where
    C: CallerProtocol,
    S: Store,
{
    let read_shared = {
        let callers = callers.clone();
        move |document: &Bytes| callers.read_configuration(document)
    };
    core.read_configurations_with(Box::new(read_shared));
    let on_record = |key: &str, value: &Bytes| {
        if key == CONFIGURATION {
            core.configured(value.clone(), "store");
        }
    };
    follow(&*store, RecordSet::Operators, CONFIGURATION_WAIT, on_record).await;
}

/// Tells agents where the entry is, through the store.
async fn announce<S>(store: Arc<S>, name: String, address: String)
where
    S: Store,
{
    put(&*store, RecordSet::Entries, &name, Bytes::from(address)).await;
}

async fn tick(core: Shared) {
    loop {
        let pause = match core.tick() {
            true => BUSY_TICK,
            false => IDLE_TICK,
        };
        Timer::after(pause).await;
    }
}

/// Nothing of an entry's settings changes while it runs; the next start reads them.
async fn ignore_reloads() {
    let Some(mut signals) = signal::reload_signals() else {
        return;
    };
    while futures_lite::StreamExt::next(&mut signals).await.is_some() {
        spdlog::info!("SIGHUP: the entry takes changed settings at its next start");
    }
}

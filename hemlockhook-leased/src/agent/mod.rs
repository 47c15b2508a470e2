//! The agent, which runs the tasks that entries order on the upstream of its machine.

mod announcements;
mod core;
mod link;
mod metrics;
mod record;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use hemlockhook_ports::leased::{AnnouncementProtocol, RecordSet, Store, UpstreamClient};
use hemlockhook_runtime::clock::BootClock;
use hemlockhook_runtime::executor::Executor;
use hemlockhook_runtime::http::{RequestMemory, ServerLimits};
use hemlockhook_runtime::metrics::Metrics;
use hemlockhook_runtime::{http, settings, signal};

use crate::agent::announcements::AnnouncementService;
use crate::agent::core::{Core, SharedCore};
use crate::process::{listen, serve_metrics};
use crate::request_memory;
use crate::settings::AgentSettings;
use crate::watch::{FollowPolicy, follow, put, read_latest};

/// Tick interval while orders are held or orphaned runs are known.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Tick interval otherwise.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// How the entries' records are followed. They are small, and are written when entries start.
const ENTRIES_POLICY: FollowPolicy = FollowPolicy {
    wait: Duration::from_millis(5000),
    pause: Duration::ZERO,
};

/// Part of the grace period that remains when the process exits at the latest.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(500);

/// Time between checks whether the agent is idle, during the shutdown.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Runs an agent until SIGTERM. On SIGHUP, the entries to link to are read again from the settings
/// at `path`.
pub fn run<A, U, S, M>(
    settings: &AgentSettings,
    path: &Path,
    announcements: A,
    make_clients: M,
) -> eyre::Result<()>
where
    A: AnnouncementProtocol,
    U: UpstreamClient,
    S: Store,
    M: FnOnce(Arc<Executor>) -> (U, S),
{
    let ex = Arc::new(Executor::new());
    let (upstreams, store) = make_clients(ex.clone());
    let serve = serve(ex.clone(), settings, path, announcements, upstreams, store);
    async_io::block_on(ex.run(serve))
}

async fn serve<A, U, S>(
    ex: Arc<Executor>,
    settings: &AgentSettings,
    path: &Path,
    announcements: A,
    upstreams: U,
    store: S,
) -> eyre::Result<()>
where
    A: AnnouncementProtocol,
    U: UpstreamClient,
    S: Store,
{
    let listener = listen("announcements_address", settings.announcements_address).await?;
    let metrics = Metrics::new();
    let clock = Arc::new(BootClock::default());
    let core = Arc::new(Core::new(ex.clone(), settings, clock, upstreams, &metrics));
    let store = Arc::new(store);
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let limits = request_memory::limits(settings.memory_mb, settings.file_descriptors);
    let memory = RequestMemory::new(limits);
    request_memory::export(&memory, &metrics);
    ex.spawn(request_memory::report(memory.clone())).detach();
    spdlog::info!("starting the agent", kv: {
        name = settings.name.as_str(),
        incarnation = core.incarnation(),
    });

    if let Some(addr) = settings.metrics_address {
        let listener = listen("metrics_address", addr).await?;
        serve_metrics(&ex, listener, memory.clone(), stopped.clone(), metrics);
    }
    let service = AnnouncementService::new(core.clone(), Arc::new(announcements));
    let limits = ServerLimits::default();
    let handler = move |req| service.clone().answer(req);
    let serve = http::serve_counted(ex.clone(), listener, limits, memory, stopped, handler);
    ex.spawn(serve).detach();
    ex.spawn(persist_upstream(
        core.clone(),
        store.clone(),
        settings.name.clone(),
    ))
    .detach();
    ex.spawn(follow_entries(core.clone(), store)).detach();
    ex.spawn(run_ticks(core.clone())).detach();
    ex.spawn(reload_settings(core.clone(), path.to_owned()))
        .detach();
    for &entry in &settings.entries {
        link::ensure(&core, entry);
    }

    signal::wait_for_termination().await;
    spdlog::info!("stopping the agent", kv: { orders = core.orders() });
    core.leave();
    let grace = Duration::from_secs_f64(settings.grace_period_s) - SHUTDOWN_MARGIN;
    let finish = async {
        while !core.is_idle() {
            Timer::after(IDLE_CHECK_INTERVAL).await;
        }
        // Leaves time to send the last ends to the entries.
        Timer::after(IDLE_CHECK_INTERVAL * 2).await;
    };
    let expire = async {
        Timer::after(grace).await;
        spdlog::warn!("orders were held at the end of the grace period", kv: {
            orders = core.orders(),
        });
    };
    finish.or(expire).await;
    drop(stop);
    spdlog::info!("the agent has stopped");
    Ok(())
}

async fn follow_entries<U, S>(core: SharedCore<U>, store: Arc<S>)
where
    U: UpstreamClient,
    S: Store,
{
    let on_record = |name: &str, value: &bytes::Bytes| {
        let addr = std::str::from_utf8(value).map(str::parse::<SocketAddr>);
        match addr {
            Ok(Ok(addr)) => {
                link::ensure_started(&core, addr);
                true
            }
            _ => {
                spdlog::warn!("an entry's record contains no valid address", kv: { name });
                false
            }
        }
    };
    let entries = RecordSet::Entries;
    follow(&*store, entries, ENTRIES_POLICY, |_| {}, on_record).await;
}

/// Restores the upstream that the agent's previous incarnation stored, and stores its changes.
async fn persist_upstream<U, S>(core: SharedCore<U>, store: Arc<S>, name: String)
where
    U: UpstreamClient,
    S: Store,
{
    let latest = read_latest(&*store, RecordSet::Upstreams).await;
    let own = latest.items.iter().rev().find(|(key, _)| *key == name);
    if let Some(announcement) = own.and_then(|(_, value)| record::read(value)) {
        core.restore_upstream(announcement);
    }
    let changes = core.upstream_changes();
    while let Ok(announcement) = changes.recv().await {
        put(
            &*store,
            RecordSet::Upstreams,
            &name,
            record::write(&announcement),
        )
        .await;
    }
}

async fn run_ticks<U>(core: SharedCore<U>)
where
    U: UpstreamClient,
{
    loop {
        let interval = match core.tick() {
            true => BUSY_TICK_INTERVAL,
            false => IDLE_TICK_INTERVAL,
        };
        Timer::after(interval).await;
    }
}

/// Reads the settings again on SIGHUP, and links to the entries that they add. No other setting
/// changes while the agent runs.
async fn reload_settings<U>(core: SharedCore<U>, path: std::path::PathBuf)
where
    U: UpstreamClient,
{
    let Some(mut signals) = signal::reload_signals() else {
        return;
    };
    while futures_lite::StreamExt::next(&mut signals).await.is_some() {
        match settings::load::<AgentSettings>(&path) {
            Ok(fresh) => {
                spdlog::info!("SIGHUP: the settings were reloaded", kv: {
                    entries = fresh.entries.len(),
                });
                for entry in fresh.entries {
                    link::ensure(&core, entry);
                }
            }
            Err(err) => {
                let reason = err.to_string();
                let reason = reason.as_str();
                spdlog::error!("SIGHUP: the settings are invalid and were not applied", kv: {
                    reason,
                });
            }
        }
    }
}

//! The agent: runs tasks on the upstream beside it, on the orders of the entries.

mod announced;
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
use hemlockhook_runtime::http::ServerLimits;
use hemlockhook_runtime::metrics::Metrics;
use hemlockhook_runtime::{http, settings, signal};

use crate::agent::announced::AnnouncementService;
use crate::agent::core::{Core, Shared};
use crate::process::{listen, serve_metrics};
use crate::settings::AgentSettings;
use crate::watch::{follow, put};

/// Time between looks at what has come due while orders are held.
const BUSY_TICK: Duration = Duration::from_millis(20);

/// Time between looks at what has come due otherwise.
const IDLE_TICK: Duration = Duration::from_millis(100);

/// How long a read of the entries' records waits for one.
const ENTRIES_WAIT: Duration = Duration::from_millis(5000);

/// Part of the grace period that is left when the process ends at the latest.
const GRACE_SLACK: Duration = Duration::from_millis(500);

/// Time between looks at whether everything is finished, when the process ends.
const FINISH_TICK: Duration = Duration::from_millis(20);

/// Runs an agent until SIGTERM. `path` is where its settings are read again.
pub fn run<A, U, S, M>(
    settings: &AgentSettings,
    path: &Path,
    announcements: A,
    make_ports: M,
) -> eyre::Result<()>
where
    A: AnnouncementProtocol,
    U: UpstreamClient,
    S: Store,
    M: FnOnce(Arc<Executor>) -> (U, S),
{
    let ex = Arc::new(Executor::new());
    let (upstreams, store) = make_ports(ex.clone());
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
    spdlog::info!("the agent starts", kv: {
        name = settings.name.as_str(),
        incarnation = core.incarnation(),
    });

    if let Some(addr) = settings.metrics_address {
        let listener = listen("metrics_address", addr).await?;
        serve_metrics(&ex, listener, stopped.clone(), metrics);
    }
    let service = AnnouncementService::new(core.clone(), Arc::new(announcements));
    let limits = ServerLimits::default();
    let handler = move |req| service.clone().answer(req);
    ex.spawn(http::serve(ex.clone(), listener, limits, stopped, handler))
        .detach();
    ex.spawn(remember_upstream(
        core.clone(),
        store.clone(),
        settings.name.clone(),
    ))
    .detach();
    ex.spawn(follow_entries(core.clone(), store)).detach();
    ex.spawn(tick(core.clone())).detach();
    ex.spawn(reload(core.clone(), path.to_owned())).detach();
    for &entry in &settings.entries {
        link::keep(&core, entry);
    }

    signal::wait_for_termination().await;
    spdlog::info!("the agent leaves", kv: { orders = core.orders() });
    core.leave();
    let grace = Duration::from_secs_f64(settings.grace_period_s) - GRACE_SLACK;
    let finish = async {
        while !core.is_idle() {
            Timer::after(FINISH_TICK).await;
        }
        // The last ends are on their way.
        Timer::after(FINISH_TICK * 2).await;
    };
    let expire = async {
        Timer::after(grace).await;
        spdlog::warn!("orders were held at the end of the grace period", kv: {
            orders = core.orders(),
        });
    };
    finish.or(expire).await;
    drop(stop);
    spdlog::info!("the agent has left");
    Ok(())
}

async fn follow_entries<U, S>(core: Shared<U>, store: Arc<S>)
where
    U: UpstreamClient,
    S: Store,
{
    let on_record = |name: &str, value: &bytes::Bytes| match std::str::from_utf8(value)
        .map(str::parse::<SocketAddr>)
    {
        Ok(Ok(addr)) => link::keep(&core, addr),
        _ => spdlog::warn!("an entry's record holds no address", kv: { name }),
    };
    follow(&*store, RecordSet::Entries, ENTRIES_WAIT, on_record).await;
}

/// Learns from the store what the agent's last life knew of the upstream, and keeps that current.
async fn remember_upstream<U, S>(core: Shared<U>, store: Arc<S>, name: String)
where
    U: UpstreamClient,
    S: Store,
{
    if let Ok(newest) = store.read_latest(RecordSet::Upstreams).await {
        let mine = newest.items.iter().rev().find(|(key, _)| *key == name);
        if let Some(said) = mine.and_then(|(_, value)| record::read(value)) {
            core.recalled(said);
        }
    }
    let changes = core.upstream_changes();
    while let Ok(said) = changes.recv().await {
        put(&*store, RecordSet::Upstreams, &name, record::write(&said)).await;
    }
}

async fn tick<U>(core: Shared<U>)
where
    U: UpstreamClient,
{
    loop {
        let pause = match core.tick() {
            true => BUSY_TICK,
            false => IDLE_TICK,
        };
        Timer::after(pause).await;
    }
}

/// Links with the entries that changed settings name.
async fn reload<U>(core: Shared<U>, path: std::path::PathBuf)
where
    U: UpstreamClient,
{
    let Some(mut signals) = signal::reload_signals() else {
        return;
    };
    while futures_lite::StreamExt::next(&mut signals).await.is_some() {
        match settings::load::<AgentSettings>(&path) {
            Ok(fresh) => {
                spdlog::info!("SIGHUP: the settings were read again", kv: {
                    entries = fresh.entries.len(),
                });
                for entry in fresh.entries {
                    link::keep(&core, entry);
                }
            }
            Err(err) => {
                let reason = err.to_string();
                let reason = reason.as_str();
                spdlog::error!("SIGHUP: the settings are not valid and stay as they were", kv: {
                    reason,
                });
            }
        }
    }
}

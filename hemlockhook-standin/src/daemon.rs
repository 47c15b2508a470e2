//! The daemon, which serves stand-ins in a process of its own.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use async_net::TcpListener;
use futures_lite::FutureExt;
use garde::Validate;
use hemlockhook_runtime::executor::{Executor, Threads};
use hemlockhook_runtime::{log, signal};
use hemlockhook_types::{Clock, SystemClock};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::log::{LogSettings, LogStandin};
use crate::upstream::UpstreamStandin;
use crate::upstream_settings::UpstreamSettings;
use crate::worker::{WorkerSettings, WorkerStandin};

/// Maximum time that shutdown waits for requests in flight. Requests that hang as an injected fault
/// never end.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Settings of the daemon. It serves the roles that are present.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Minimum level of the daemon's own log: trace, debug, info, warn, error, critical or off.
    #[serde(default = "default_log_level")]
    #[garde(custom(log::check_level))]
    pub log_level: String,
    /// Number of threads that serve requests.
    #[serde(default = "default_threads")]
    #[garde(range(min = 1, max = 256))]
    pub threads: usize,
    /// Stand-in for the platform's log service.
    #[serde(default)]
    #[garde(dive)]
    pub log: Option<LogSettings>,
    /// Stand-ins for upstreams.
    #[serde(default)]
    #[garde(dive)]
    pub upstreams: Vec<UpstreamSettings>,
    /// Stand-in for the platform's worker service, which controls the tasks of the upstreams above.
    #[serde(default)]
    #[garde(dive)]
    pub workers: Option<WorkerSettings>,
}

fn default_log_level() -> String {
    "info".to_owned()
}

fn default_threads() -> usize {
    2
}

/// An error that prevents the daemon from starting.
#[derive(Debug, Error)]
pub enum RunError {
    /// Binding a listener to its address failed.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The error from the operating system.
        source: io::Error,
    },
}

/// Serves the configured stand-ins until SIGTERM or SIGINT, then waits for requests in flight for a
/// limited time.
pub fn run(settings: Settings) -> Result<(), RunError> {
    let threads = Threads::start("standin", settings.threads);
    async_io::block_on(serve(threads.traffic(), settings))
}

async fn serve(ex: Arc<Executor>, settings: Settings) -> Result<(), RunError> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let (stop, stopped) = async_channel::bounded(1);
    let mut tasks = Vec::new();
    if let Some(cfg) = settings.log {
        let listener = listen("log", cfg.address).await?;
        let standin = LogStandin::new(cfg, clock.clone());
        tasks.push(ex.spawn(standin.serve(ex.clone(), listener, stopped.clone())));
    }

    let mut worker_tables = Vec::new();
    for cfg in settings.upstreams {
        let listener = listen("upstream", cfg.address).await?;
        let upstream = UpstreamStandin::new(cfg, clock.clone());
        worker_tables.push((upstream.worker_name().to_owned(), upstream.running_tasks()));
        tasks.push(ex.spawn(upstream.serve(ex.clone(), listener, stopped.clone())));
    }

    if let Some(cfg) = settings.workers {
        let listener = listen("workers", cfg.address).await?;
        let standin = WorkerStandin::new(cfg, clock, worker_tables);
        tasks.push(ex.spawn(standin.serve(ex.clone(), listener, stopped.clone())));
    }

    signal::wait_for_termination().await;
    stop.close();
    let drain = async {
        for task in tasks {
            task.await;
        }
    };
    let timeout = async {
        Timer::after(DRAIN_TIMEOUT).await;
    };
    drain.or(timeout).await;
    Ok(())
}

async fn listen(role: &str, address: SocketAddr) -> Result<TcpListener, RunError> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| RunError::Listen { address, source })?;
    let address = listener.local_addr().unwrap_or(address);
    spdlog::info!("listening", kv: { role, address = address.to_string().as_str() });
    Ok(listener)
}

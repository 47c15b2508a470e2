//! The daemon that runs stand-ins as a process of its own.

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

/// Time for requests in flight to end; those that hang as a fault never do.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Settings of the daemon: each role that is present is served.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Lowest level of its own log: trace, debug, info, warn, error, critical or off.
    #[serde(default = "default_log_level")]
    #[garde(custom(log::check_level))]
    pub log_level: String,
    /// Threads for traffic.
    #[serde(default = "default_threads")]
    #[garde(range(min = 1, max = 256))]
    pub threads: usize,
    /// The platform's log.
    #[serde(default)]
    #[garde(dive)]
    pub log: Option<LogSettings>,
    /// Upstreams.
    #[serde(default)]
    #[garde(dive)]
    pub upstreams: Vec<UpstreamSettings>,
    /// The platform's workers, for the upstreams above.
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

/// Why the daemon did not start.
#[derive(Debug, Error)]
pub enum RunError {
    /// An address could not be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
}

/// Serves the stand-ins of the settings until SIGTERM or SIGINT, then finishes what is in flight.
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
        let log = LogStandin::new(cfg, clock.clone());
        tasks.push(ex.spawn(log.serve(ex.clone(), listener, stopped.clone())));
    }

    let mut workers = Vec::new();
    for cfg in settings.upstreams {
        let listener = listen("upstream", cfg.address).await?;
        let upstream = UpstreamStandin::new(cfg, clock.clone());
        workers.push((upstream.worker_name().to_owned(), upstream.running_tasks()));
        tasks.push(ex.spawn(upstream.serve(ex.clone(), listener, stopped.clone())));
    }

    if let Some(cfg) = settings.workers {
        let listener = listen("workers", cfg.address).await?;
        let standin = WorkerStandin::new(cfg, clock, workers);
        tasks.push(ex.spawn(standin.serve(ex.clone(), listener, stopped.clone())));
    }

    signal::wait_for_termination().await;
    stop.close();
    let finish = async {
        for task in tasks {
            task.await;
        }
    };
    let give_up = async {
        Timer::after(STOP_TIMEOUT).await;
    };
    finish.or(give_up).await;
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

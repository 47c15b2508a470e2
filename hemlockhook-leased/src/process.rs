//! Server setup shared by both daemons.

use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::Receiver;
use async_net::TcpListener;
use bytes::Bytes;
use eyre::WrapErr;
use hemlockhook_runtime::executor::Executor;
use hemlockhook_runtime::http::{RequestMemory, ServerLimits, serve_counted};
use hemlockhook_runtime::metrics::Metrics;
use http::Response;
use http_body_util::Full;

/// Maximum number of connections for metrics, whose responses are larger than requests.
const MAX_METRICS_CONNECTIONS: usize = 64;

/// Listens on an address from the settings. `key` names the setting in the error message.
pub(crate) async fn listen(key: &str, addr: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .wrap_err_with(|| format!("{key}: can't listen on {addr}"))
}

/// Serves the metrics until `stop` is closed.
pub(crate) fn serve_metrics(
    ex: &Arc<Executor>,
    listener: TcpListener,
    memory: RequestMemory,
    stop: Receiver<()>,
    metrics: Metrics,
) {
    let handler = move |_| {
        let body = metrics.render();
        async move { Response::new(Full::new(Bytes::from(body))) }
    };
    let limits = ServerLimits {
        max_connections: MAX_METRICS_CONNECTIONS,
        ..ServerLimits::default()
    };
    ex.spawn(serve_counted(
        ex.clone(),
        listener,
        limits,
        memory,
        stop,
        handler,
    ))
    .detach();
}

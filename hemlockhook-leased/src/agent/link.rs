//! Links with entries. The agent opens them and opens them again.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::{FutureExt, StreamExt};
use hemlockhook_ports::leased::UpstreamClient;
use hemlockhook_proto::v1;
use hemlockhook_proto::v1::leased_client::LeasedClient;
use hemlockhook_runtime::grpc;

use crate::agent::core::Shared;

/// Time for a connection to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Silence of an entry after which the link is opened anew. Signs of life to an entry are sent every
/// half second at least, and each is echoed.
const LINK_SILENCE: Duration = Duration::from_millis(1100);

/// First pause after a link that failed.
const MIN_PAUSE: Duration = Duration::from_millis(30);

/// Longest pause between attempts: an entry that starts again is linked soon.
const MAX_PAUSE: Duration = Duration::from_millis(300);

/// Time without a link after which an entry is forgotten; the store or the settings name it again if
/// it comes back.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// Largest frame taken from an entry, in bytes.
const MAX_FRAME: usize = 8 * 1024 * 1024;

/// Keeps a link with an entry, unless one is kept already.
pub(crate) fn keep<U>(core: &Shared<U>, entry: SocketAddr)
where
    U: UpstreamClient,
{
    if core.keep(entry) {
        core.executor().spawn(relink(core.clone(), entry)).detach();
    }
}

async fn relink<U>(core: Shared<U>, entry: SocketAddr)
where
    U: UpstreamClient,
{
    let mut last_entry = 0;
    let mut pause = MIN_PAUSE;
    let mut linked_at = Instant::now();
    while linked_at.elapsed() < FORGET_AFTER {
        if let Some(incarnation) = run(&core, entry, last_entry).await {
            last_entry = incarnation;
            linked_at = Instant::now();
            pause = MIN_PAUSE;
        }
        Timer::after(pause.mul_f64(0.75 + fastrand::f64() / 2.0)).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
    let address = entry.to_string();
    spdlog::info!("an entry is forgotten", kv: { entry = address.as_str() });
    core.forget(entry);
}

/// Runs a link until it ends. Returns the life of the entry that it was with.
async fn run<U>(core: &Shared<U>, entry: SocketAddr, last_entry: u64) -> Option<u64>
where
    U: UpstreamClient,
{
    let ex = core.executor().clone();
    let channel = grpc::connect(ex, entry, CONNECT_TIMEOUT).await.ok()?;
    let mut client = LeasedClient::new(channel).max_decoding_message_size(MAX_FRAME);
    let (hello, greeted) = core.hello(last_entry);
    let (tx, rx) = async_channel::bounded::<Receiver<v1::AgentReport>>(1);
    // The frames come from the link, which there is once the entry has answered.
    let frames = futures_lite::stream::once(hello).chain(rx.flatten());
    let open = async { client.link(frames).await.ok() };
    let mut incoming = within(CONNECT_TIMEOUT, open).await?.into_inner();
    let first = async { incoming.message().await.ok().flatten() };
    let first = within(CONNECT_TIMEOUT, first).await?;

    let incarnation = first.incarnation;
    let (link, reports) = core.linked(incarnation, last_entry, greeted);
    // The receiver is taken by the stream of frames above.
    let _ = tx.try_send(reports);
    let address = entry.to_string();
    let address = address.as_str();
    spdlog::info!("linked with an entry", kv: { entry = address, incarnation, link });
    core.set_linked(&entry, true);
    let mut frame = Some(first);
    while let Some(orders) = frame {
        for named in core.ordered(link, orders) {
            match named.parse() {
                Ok(addr) => keep(core, addr),
                Err(_) => {
                    spdlog::warn!("an entry's address can't be read", kv: { named = named.as_str() })
                }
            }
        }
        let next = async { incoming.message().await.ok().flatten() };
        frame = within(LINK_SILENCE, next).await;
    }
    core.set_linked(&entry, false);
    core.unlinked(link);
    spdlog::warn!("the link with an entry has ended", kv: { entry = address, incarnation, link });
    Some(incarnation)
}

async fn within<F, T>(time: Duration, fut: F) -> Option<T>
where
    F: Future<Output = Option<T>>,
{
    let expire = async {
        Timer::after(time).await;
        None
    };
    fut.or(expire).await
}

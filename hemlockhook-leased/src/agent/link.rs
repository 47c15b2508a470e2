//! Links to entries. The agent opens them, and opens them again when they end.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::{FutureExt, StreamExt};
use hemlockhook_ports::leased::UpstreamClient;
use hemlockhook_proto::v1;
use hemlockhook_proto::v1::leased_client::LeasedClient;
use hemlockhook_runtime::grpc;

use crate::agent::core::SharedCore;

/// Timeout of each step of opening a link: the connection, the call, and the first frame.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after a report that the entry does not echo after which the link is opened again.
const LINK_TIMEOUT: Duration = Duration::from_millis(1100);

/// Initial delay before a link is opened again.
const MIN_BACKOFF: Duration = Duration::from_millis(30);

/// Maximum delay between attempts. It is short so that a restarted entry is linked soon.
const MAX_BACKOFF: Duration = Duration::from_millis(300);

/// Number of links that an agent opens at once; each further one follows after [`STAGGER`].
const FIRST_LINKS: usize = 8;

/// Time between the first attempts at two links, in the order of their ranks. Hundreds of agents that
/// link at once would keep a small entry busy for long.
const STAGGER: Duration = Duration::from_millis(100);

/// Time without a link after which an entry is removed. If it comes back, the store or the settings
/// name it again.
const REMOVE_AFTER: Duration = Duration::from_secs(120);

/// Maximum size of a frame from an entry, in bytes.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Maintains a link to an entry from now on, unless one is maintained already.
pub(crate) fn ensure<U>(core: &SharedCore<U>, entry: SocketAddr)
where
    U: UpstreamClient,
{
    if let Some(hurried) = core.add_entry(entry) {
        core.executor()
            .spawn(maintain(core.clone(), entry, hurried))
            .detach();
    }
}

/// Maintains a link like [`ensure`], to an entry that has just started: if there is no link, it is
/// opened at once.
///
/// After a loss of all power, the entries come back while the agents pause between two attempts.
pub(crate) fn ensure_started<U>(core: &SharedCore<U>, entry: SocketAddr)
where
    U: UpstreamClient,
{
    core.hurry_link(entry);
    ensure(core, entry);
}

async fn maintain<U>(core: SharedCore<U>, entry: SocketAddr, hurried: Receiver<()>)
where
    U: UpstreamClient,
{
    let mut previous_incarnation = 0;
    let mut backoff = MIN_BACKOFF;
    let mut link_ended_at = Instant::now();
    Timer::after(stagger(&core, entry)).await;
    while link_ended_at.elapsed() < REMOVE_AFTER {
        if let Some(incarnation) = run(&core, entry, previous_incarnation, &hurried).await {
            previous_incarnation = incarnation;
            link_ended_at = Instant::now();
            backoff = MIN_BACKOFF;
        }
        let pause = Timer::after(backoff.mul_f64(0.75 + fastrand::f64() / 2.0));
        let pause = async { _ = pause.await };
        let hurry = async {
            wait_for_hurry(&hurried).await;
            Timer::after(stagger(&core, entry)).await;
        };
        pause.or(hurry).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
    let address = entry.to_string();
    spdlog::info!("removed an entry that could not be linked", kv: { entry = address.as_str() });
    core.remove_entry(entry);
}

/// Runs a link until it ends. Returns the incarnation of the entry, or `None` if the link could not
/// be opened.
async fn run<U>(
    core: &SharedCore<U>,
    entry: SocketAddr,
    previous_incarnation: u64,
    hurried: &Receiver<()>,
) -> Option<u64>
where
    U: UpstreamClient,
{
    let ex = core.executor().clone();
    let connect = async { grpc::connect(ex, entry, CONNECT_TIMEOUT).await.ok() };
    // An attempt from before the entry started would wait until it times out.
    let interrupt = async {
        wait_for_hurry(hurried).await;
        None
    };
    let channel = connect.or(interrupt).await?;
    let mut client = LeasedClient::new(channel).max_decoding_message_size(MAX_FRAME_BYTES);
    let (hello, hello_sent) = core.hello(previous_incarnation);
    let (tx, rx) = async_channel::bounded::<Receiver<v1::AgentReport>>(1);
    // The channel of further frames exists only after the first frame of the entry.
    let frames = futures_lite::stream::once(hello).chain(rx.flatten());
    let open = async { client.link(frames).await.ok() };
    let mut incoming = with_timeout(CONNECT_TIMEOUT, open).await?.into_inner();
    let first = async { incoming.message().await.ok().flatten() };
    let first = with_timeout(CONNECT_TIMEOUT, first).await?;

    let incarnation = first.incarnation;
    let rank = core.link_rank(entry);
    let (link, reports) = core.open_link(incarnation, previous_incarnation, hello_sent, rank);
    // Passes the channel to the stream of outgoing frames above.
    let _ = tx.try_send(reports);
    let address = entry.to_string();
    let address = address.as_str();
    spdlog::info!("linked with an entry", kv: { entry = address, incarnation, link });
    core.set_entry_linked(&entry, true);
    let mut frame = Some(first);
    while let Some(orders) = frame {
        for other_address in core.handle_orders(link, orders) {
            match other_address.parse() {
                Ok(addr) => ensure(core, addr),
                Err(_) => {
                    spdlog::warn!("an entry's address can't be parsed", kv: {
                        named = other_address.as_str(),
                    })
                }
            }
        }
        let mut wait = LINK_TIMEOUT;
        frame = loop {
            let next = async { Some(incoming.message().await.ok().flatten()) };
            if let Some(frame) = with_timeout(wait, next).await {
                break frame;
            }
            wait = core.time_until_silent(link, LINK_TIMEOUT);
            if wait.is_zero() {
                break None;
            }
        };
    }
    core.set_entry_linked(&entry, false);
    core.close_link(link);
    spdlog::warn!("the link with an entry has ended", kv: { entry = address, incarnation, link });
    Some(incarnation)
}

/// Returns the delay of the first attempt to open a link.
fn stagger<U>(core: &SharedCore<U>, entry: SocketAddr) -> Duration
where
    U: UpstreamClient,
{
    let later = core.links_before(entry).saturating_sub(FIRST_LINKS - 1);
    STAGGER * later as u32
}

/// Waits for a request to open the link at once.
async fn wait_for_hurry(hurried: &Receiver<()>) {
    if hurried.recv().await.is_err() {
        // The entry is no longer maintained by anyone else; the link ends by itself.
        std::future::pending::<()>().await;
    }
}

async fn with_timeout<F, T>(timeout: Duration, fut: F) -> Option<T>
where
    F: Future<Output = Option<T>>,
{
    let expire = async {
        Timer::after(timeout).await;
        None
    };
    fut.or(expire).await
}

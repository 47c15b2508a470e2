//! Whether the peer of a connection has left, seen without reading what it sent.

use std::convert::Infallible;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_net::TcpListener;
use bytes::Bytes;
use futures_lite::future;
use googletest::prelude::*;
use hemlockhook_runtime::executor::Executor;
use hemlockhook_runtime::http::{ServerLimits, serve_streams};
use hemlockhook_runtime::io::{Peer, Stream};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;

/// Time limit for the news of a closed connection on loopback.
const WAIT: Duration = Duration::from_secs(30);

/// Connects to a server whose connections are not handled, and returns both ends.
fn connect() -> (TcpStream, Peer) {
    // Nobody runs the tasks of this executor.
    let ex = Arc::new(Executor::new());
    let listener = async_io::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (_stop, stopped) = async_channel::bounded(1);
    let (tx, rx) = async_channel::bounded(1);
    let accept = move |stream: Stream| {
        tx.try_send(stream.peer()).unwrap();
        let handler = |_: Request<Incoming>| async {
            Ok::<_, Infallible>(Response::new(Full::<Bytes>::default()))
        };
        (stream, handler)
    };
    let serve = serve_streams(ex, listener, ServerLimits::default(), stopped, accept);
    let peer = async {
        serve.await;
        unreachable!("the server is not stopped")
    };
    let peer = async_io::block_on(future::or(peer, async { rx.recv().await.unwrap() }));
    (client, peer)
}

fn leaves(peer: &Peer) -> bool {
    let deadline = Instant::now() + WAIT;
    while !peer.has_left() {
        if Instant::now() > deadline {
            return false;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    true
}

#[gtest]
fn a_connected_peer_has_not_left() {
    let (mut client, peer) = connect();
    expect_that!(peer.has_left(), eq(false));
    client.write_all(b"unread").unwrap();
    std::thread::sleep(Duration::from_millis(50));
    expect_that!(peer.has_left(), eq(false));
}

#[gtest]
fn a_peer_that_closed_has_left() {
    let (client, peer) = connect();
    drop(client);
    expect_that!(leaves(&peer), eq(true));
}

#[gtest]
fn a_peer_that_closed_behind_unread_data_has_left() {
    let (mut client, peer) = connect();
    client.write_all(b"unread").unwrap();
    drop(client);
    expect_that!(leaves(&peer), eq(true));
}

#[gtest]
fn a_peer_that_closed_its_sending_side_has_left() {
    let (client, peer) = connect();
    client.shutdown(Shutdown::Write).unwrap();
    expect_that!(leaves(&peer), eq(true));
}

#[gtest]
fn a_peer_that_reset_the_connection_has_left() {
    let (client, peer) = connect();
    let linger = Some(Duration::ZERO);
    rustix::net::sockopt::set_socket_linger(&client, linger).unwrap();
    drop(client);
    expect_that!(leaves(&peer), eq(true));
}

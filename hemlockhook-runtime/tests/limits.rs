//! HTTP server limits: clients that send too much, too slowly, or malformed requests.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use async_executor::Task;
use async_net::TcpListener;
use bytes::Bytes;
use googletest::prelude::*;
use hemlockhook_runtime::executor::Threads;
use hemlockhook_runtime::http::{ServerLimits, read_body, serve};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;

const IO_TIMEOUT: Duration = Duration::from_secs(30);

struct Server {
    addr: SocketAddr,
    _stop: Sender<()>,
    _task: Task<()>,
    _threads: Threads,
}

fn start(limits: ServerLimits) -> Server {
    let threads = Threads::start("limits", 2);
    let listener = async_io::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let addr = listener.local_addr().unwrap();
    let (stop, stopped) = async_channel::bounded(1);
    let ex = threads.traffic();
    let limits = Arc::new(limits);
    let handler = {
        let limits = limits.clone();
        move |req| echo(req, limits.clone())
    };
    let task = ex.spawn(serve(ex.clone(), listener, *limits, stopped, handler));
    Server {
        addr,
        _stop: stop,
        _task: task,
        _threads: threads,
    }
}

async fn echo(req: Request<Incoming>, limits: Arc<ServerLimits>) -> Response<Full<Bytes>> {
    match read_body(req.into_body(), limits.max_body, limits.body_timeout).await {
        Ok(body) => Response::new(Full::new(body)),
        Err(err) => {
            let mut res = Response::new(Full::new(err.to_string().into()));
            *res.status_mut() = err.status();
            res
        }
    }
}

impl Server {
    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.addr).unwrap();
        stream.set_read_timeout(Some(IO_TIMEOUT)).unwrap();
        stream
    }

    /// Sends bytes and returns the status line of the response, or an empty string without one.
    fn answer_to(&self, bytes: &[u8]) -> String {
        let mut stream = self.connect();
        // The server may respond and close the connection before it has read everything.
        let _ = stream.write_all(bytes);
        first_line(&mut stream)
    }

    fn assert_serves_others(&self) {
        let status = self.answer_to(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nok");
        expect_that!(status, starts_with("HTTP/1.1 200"));
    }
}

fn first_line(stream: &mut TcpStream) -> String {
    let mut line = Vec::new();
    let mut byte = [0];
    while stream.read(&mut byte).unwrap_or(0) > 0 && byte[0] != b'\r' {
        line.push(byte[0]);
    }
    String::from_utf8(line).unwrap()
}

fn head(lines: &str) -> Vec<u8> {
    format!("POST / HTTP/1.1\r\nhost: a\r\n{lines}\r\n").into_bytes()
}

#[googletest::test]
fn too_many_headers_are_refused() {
    let server = start(ServerLimits::default());
    let lines: String = (0..100).map(|i| format!("x-{i}: y\r\n")).collect();
    expect_that!(server.answer_to(&head(&lines)), starts_with("HTTP/1.1 431"));
    server.assert_serves_others();
}

#[googletest::test]
fn an_oversize_head_is_refused() {
    let server = start(ServerLimits::default());
    let lines = format!("x: {}\r\n", "y".repeat(1024 * 1024));
    expect_that!(server.answer_to(&head(&lines)), starts_with("HTTP/1.1 431"));
    server.assert_serves_others();
}

#[googletest::test]
fn an_oversize_body_is_refused_with_and_without_content_length() {
    let server = start(ServerLimits {
        max_body: 8,
        ..ServerLimits::default()
    });
    let with_length = head("content-length: 9\r\n");
    expect_that!(server.answer_to(&with_length), starts_with("HTTP/1.1 413"));

    let mut chunked = head("transfer-encoding: chunked\r\n");
    chunked.extend_from_slice(b"6\r\n123456\r\n6\r\n123456\r\n0\r\n\r\n");
    expect_that!(server.answer_to(&chunked), starts_with("HTTP/1.1 413"));
    server.assert_serves_others();
}

#[googletest::test]
fn a_slow_request_head_times_out() {
    let server = start(ServerLimits {
        header_timeout: Duration::from_millis(100),
        ..ServerLimits::default()
    });
    let answer = server.answer_to(b"POST / HTTP/1.1\r\nhost: a\r\n");
    expect_that!(answer, starts_with("HTTP/1.1 408"));
    expect_that!(server.answer_to(b""), eq(""));
    server.assert_serves_others();
}

#[googletest::test]
fn a_slow_request_body_times_out() {
    let server = start(ServerLimits {
        body_timeout: Duration::from_millis(100),
        ..ServerLimits::default()
    });
    let mut bytes = head("content-length: 5\r\n");
    bytes.extend_from_slice(b"1234");
    expect_that!(server.answer_to(&bytes), starts_with("HTTP/1.1 408"));
    server.assert_serves_others();
}

#[googletest::test]
fn a_client_that_does_not_read_is_disconnected() {
    let server = start(ServerLimits {
        write_timeout: Duration::from_millis(100),
        ..ServerLimits::default()
    });
    let mut stream = server.connect();
    stream.set_write_timeout(Some(IO_TIMEOUT)).unwrap();
    let mut bytes = head("content-length: 1000000\r\n");
    bytes.resize(bytes.len() + 1_000_000, b'x');
    // The server echoes each request, until the buffers of both sides are full and its write times
    // out.
    let write_err = (0..1000).find_map(|_| stream.write_all(&bytes).err());
    let kind = write_err
        .expect("the server kept the connection of a client that does not read")
        .kind();
    expect_that!(
        kind,
        any![eq(ErrorKind::ConnectionReset), eq(ErrorKind::BrokenPipe)]
    );
    server.assert_serves_others();
}

#[googletest::test]
fn a_truncated_body_does_not_affect_other_clients() {
    let server = start(ServerLimits::default());
    let mut stream = server.connect();
    stream.write_all(&head("content-length: 5\r\n")).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    // A response is optional, since the request is incomplete.
    let _ = first_line(&mut stream);
    server.assert_serves_others();
}

#[googletest::test]
fn a_connection_above_the_limit_is_answered_with_503() {
    let server = start(ServerLimits {
        max_connections: 1,
        ..ServerLimits::default()
    });
    let mut first = server.connect();
    let request = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n";
    first.write_all(request).unwrap();
    expect_that!(first_line(&mut first), starts_with("HTTP/1.1 200"));

    expect_that!(
        first_line(&mut server.connect()),
        starts_with("HTTP/1.1 503")
    );
    drop(first);
    // The server accepts connections again once it has noticed the close.
    let mut answer = String::new();
    while !answer.starts_with("HTTP/1.1 200") {
        answer = server.answer_to(request);
    }
}

#[googletest::test]
fn malformed_requests_are_refused() {
    let server = start(ServerLimits::default());
    let cases: [&[u8]; 6] = [
        b"\x00\xff\x00\xff\r\n\r\n",
        b"GET\r\n\r\n",
        b"GET / HTTP/9.9\r\n\r\n",
        b"GET / HTTP/1.1\r\nb\xe4d name: x\r\n\r\n",
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nxx",
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: minus\r\n\r\n",
    ];
    for case in cases {
        let answer = server.answer_to(case);
        expect_that!(answer, starts_with("HTTP/1.1 400"), "{case:?}");
    }
    server.assert_serves_others();
}

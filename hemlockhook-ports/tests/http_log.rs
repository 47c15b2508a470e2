//! Timeouts of the client of the platform's log.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use googletest::prelude::*;
use hemlockhook_ports::{HttpLog, Log};
use hemlockhook_runtime::executor::Threads;

const TIMEOUT: Duration = Duration::from_millis(800);

const PARTS: usize = 8;

/// A read that took longer than the timeout was restarted, so that none was ever complete.
#[gtest]
fn a_read_that_takes_long_but_makes_progress_is_completed() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = listener.local_addr().expect("the socket is bound");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        // The request is smaller than one read.
        let _ = stream.read(&mut [0; 4096]).expect("the client sends");
        let body = format!(
            "{{\"records\":[],\"first_retained\":0,\"end\":0}}{}",
            " ".repeat(PARTS)
        );
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).expect("the client reads");
        for part in body.as_bytes().chunks(body.len().div_ceil(PARTS)) {
            thread::sleep(TIMEOUT / 4);
            // The client may have given up.
            let _ = stream.write_all(part);
        }
    });
    let threads = Threads::start("test", 1);
    let log = HttpLog::new(threads.traffic(), addr, TIMEOUT);
    let batch = async_io::block_on(log.read("configurations", 0, 10));
    expect_that!(batch.is_ok(), is_true(), "{batch:?}");
    server.join().expect("the server does not panic");
}

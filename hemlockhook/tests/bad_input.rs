//! Sends malformed, oversized and slow requests to an entry on raw sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use googletest::prelude::*;
use hemlockhook::local_deployment::{DeploymentConfig, DeploymentThreads, LocalDeployment};
use hemlockhook_runtime::executor::Threads;

const READ_TIMEOUT: Duration = Duration::from_secs(60);

const JOB: &str = r#"{"team":"sales-desk","service":"quote","deadline_ms":5000,"tasks":[{"payload":{"run_ms":1,"echo":"done"}}]}"#;

/// Sends raw bytes, and returns the status line and the problem type of the response.
fn send_raw(entry: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(entry).expect("the entry listens");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("the timeout is valid");
    // The entry may respond and close the connection before it has read the whole request.
    let _ = stream.write_all(request);
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    let text = String::from_utf8_lossy(&response);
    let status = text.lines().next().unwrap_or_default().to_owned();
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let problem_type = body
        .split_once("problem:")
        .and_then(|(_, rest)| rest.split('"').next());
    format!("{status} {}", problem_type.unwrap_or_default())
}

fn post(headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /v1/jobs HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}content-length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Returns the head of a request with a `Content-Length`, without the body.
fn head_only(headers: &str, body_bytes: usize) -> Vec<u8> {
    let head = format!(
        "POST /v1/jobs HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}content-length: {body_bytes}\r\n\r\n"
    );
    head.into_bytes()
}

fn get(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").into_bytes()
}

/// Returns invalid requests, each with a description.
fn cases() -> Vec<(&'static str, Vec<u8>)> {
    let key = "idempotency-key: k\r\n";
    let many: String = (0..100).map(|n| format!("x-{n}: 1\r\n")).collect();
    let long = format!("x-long: {}\r\n", "a".repeat(40_000));
    let tasks = r#"{"payload":1},"#.repeat(1_001);
    let too_many = JOB.replace(
        r#"{"payload":{"run_ms":1,"echo":"done"}}"#,
        tasks.trim_end_matches(','),
    );
    vec![
        ("not HTTP", b"\x16\x03\x01 nonsense\r\n\r\n".to_vec()),
        ("no key", post("", JOB.as_bytes())),
        (
            "an empty key",
            post("idempotency-key: \r\n", JOB.as_bytes()),
        ),
        (
            "a key with a slash",
            post("idempotency-key: a/b\r\n", JOB.as_bytes()),
        ),
        ("the key twice", post(&key.repeat(2), JOB.as_bytes())),
        ("a key that is not UTF-8", {
            let mut request = post("idempotency-key: k@\r\n", JOB.as_bytes());
            let at = request
                .iter()
                .position(|byte| *byte == b'@')
                .expect("the byte is in the key");
            request[at] = 0xff;
            request
        }),
        (
            "a stamp that was never issued",
            post(&format!("{key}hemlockhook-stamp: x\r\n"), b"{}"),
        ),
        (
            "a wait that is not a number",
            post(&format!("{key}prefer: wait=soon\r\n"), b"{}"),
        ),
        (
            "too many headers",
            post(&format!("{key}{many}"), JOB.as_bytes()),
        ),
        (
            "headers too large",
            post(&format!("{key}{long}"), JOB.as_bytes()),
        ),
        ("a body too large", head_only(key, 5 << 20)),
        ("an empty body", post(key, b"")),
        ("truncated JSON", post(key, &JOB.as_bytes()[..40])),
        (
            "a body that is not UTF-8",
            post(key, b"{\"team\":\"\xff\"}"),
        ),
        (
            "a value of the wrong type",
            post(key, JOB.replace("5000", "\"soon\"").as_bytes()),
        ),
        (
            "a deadline of zero",
            post(key, JOB.replace("5000", "0").as_bytes()),
        ),
        (
            "a deadline too large",
            post(key, JOB.replace("5000", "99999999999").as_bytes()),
        ),
        (
            "an unknown field",
            post(key, JOB.replace("team", "tema").as_bytes()),
        ),
        (
            "no tasks",
            post(
                key,
                br#"{"team":"t","service":"s","deadline_ms":1,"tasks":[]}"#,
            ),
        ),
        ("too many tasks", post(key, too_many.as_bytes())),
        ("an unsupported method", get("/v1/jobs")),
        ("an unknown path", get("/v2/jobs")),
        ("an unknown key", get("/v1/jobs/sales-desk/none")),
        ("an invalid key", get("/v1/jobs/sales-desk/a%2Fb")),
    ]
}

#[gtest]
fn bad_requests_get_a_clear_error_and_affect_no_other_request() {
    let threads = Threads::start("bad-input", 2);
    let cfg = DeploymentConfig {
        inventory: include_str!("../../inventories/tunelpokrov.yaml").to_owned(),
        speeds: vec![1.0],
        entries: 1,
        count_starts: true,
    };
    async_io::block_on(async {
        let threads = DeploymentThreads {
            entries: &threads,
            agents: &threads,
            standins: &threads,
        };
        let deployment = LocalDeployment::start(cfg, threads)
            .await
            .expect("the deployment starts");
        let entry = deployment.caller_addresses()[0];

        // A caller that stalls in the middle of a request must not block others.
        let mut slow = TcpStream::connect(entry).expect("the entry listens");
        slow.write_all(b"POST /v1/jobs HTTP/1.1\r\nhost: x\r\n")
            .expect("the entry reads");
        let outputs: Vec<_> = cases()
            .into_iter()
            .map(|(description, request)| format!("{description}: {}", send_raw(entry, &request)))
            .collect();
        insta::assert_snapshot!(outputs.join("\n"));

        let good = send_raw(entry, &post("idempotency-key: good\r\n", JOB.as_bytes()));
        expect_that!(good, starts_with("HTTP/1.1 200"));
        expect_that!(deployment.start_counts().len(), eq(1));
        drop(slow);
        deployment.stop().await;
    });
}

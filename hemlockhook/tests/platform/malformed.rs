//! Odd messages of callers, upstreams and other writers of the store: each is refused or left out, the
//! others are followed, and no process ends.

use bytes::Bytes;
use googletest::prelude::*;
use http::Method;

use crate::deployment::{Deployment, configuration, job};

/// A JSON document that is nested far deeper than any message, and within the size of each.
fn nested() -> String {
    format!("{}1{}", "[".repeat(20_000), "]".repeat(20_000))
}

/// Replaces the number of a field by odd values.
fn with_odd_numbers(body: &str, field: &str, number: &str) -> Vec<String> {
    let valid = format!("\"{field}\":{number}");
    let odd = [
        "1e30",
        "1e300",
        "-1",
        "18446744073709551616",
        "\"x\"",
        "null",
    ];
    let odd = odd.map(str::to_owned).into_iter().chain([nested()]);
    odd.map(|value| body.replace(&valid, &format!("\"{field}\":{value}")))
        .collect()
}

fn expect_all_alive(deployment: &mut Deployment) {
    let daemons = deployment.entries.iter_mut();
    for daemon in daemons.chain(deployment.agents.iter_mut()) {
        expect_true!(daemon.is_alive());
    }
}

#[gtest]
fn an_odd_job_is_refused_and_ends_no_process() {
    let mut deployment = Deployment::start("odd-jobs", 1, 1);
    let valid = job(2, "20", 20);
    let mut bodies = with_odd_numbers(&valid, "estimatedMs", "20");
    bodies.extend(with_odd_numbers(&valid, "cpu", "1000"));
    bodies.extend(with_odd_numbers(&valid, "count", "2"));
    bodies.push(valid.replace("\"count\":2", "\"count\":4294967295"));
    bodies.push(valid.replace("\"count\"", "\"after\":[7],\"count\""));
    bodies.push(nested());
    for (index, body) in bodies.into_iter().enumerate() {
        let path = format!("/desk/a{index}");
        let status = deployment.send_request(0, Method::POST, &path, body);
        let status = status.map(|(status, ..)| status);
        expect_that!(status, some(any![eq(200), eq(400), eq(503)]), "{path}");
    }
    expect_all_alive(&mut deployment);
    expect_that!(deployment.submit(0, "after", 2, 20), some(eq(200)));
    expect_that!(deployment.violations(), is_empty());
}

#[gtest]
fn an_odd_heartbeat_is_refused_and_ends_no_process() {
    let mut deployment = Deployment::start("odd-heartbeats", 1, 1);
    let valid = r#"{"service":"desk","state":"ready","sequence":0,"clockMs":5,"born":7,
        "freeCapacity":{"cpu":9000,"taskMemoryMb":9000},"labels":[]}"#;
    let mut bodies = with_odd_numbers(valid, "clockMs", "5");
    bodies.extend(with_odd_numbers(valid, "cpu", "9000"));
    bodies.extend(with_odd_numbers(valid, "sequence", "0"));
    bodies.extend(with_odd_numbers(valid, "born", "7"));
    bodies.push(valid.replace("ready", "asleep"));
    bodies.push(nested());
    bodies.push("\u{0}".to_owned());
    let path = "/hemlockhook/Instances.Heartbeat/other";
    for body in bodies {
        let status = deployment.announce(0, path, body.into_bytes());
        expect_that!(status, some(any![eq(200), eq(400)]));
    }
    let status = deployment.announce(0, path, vec![0xff, 0xfe]);
    expect_that!(status, some(eq(400)));
    expect_all_alive(&mut deployment);
    expect_that!(deployment.submit(0, "after", 2, 20), some(eq(200)));
    expect_that!(deployment.violations(), is_empty());
}

#[gtest]
fn odd_records_among_the_others_stop_no_process_from_following() {
    let mut deployment = Deployment::start("odd-records", 2, 2);
    let odd = [
        Bytes::from(nested()),
        Bytes::from_static(b"127.0.0.1:65536"),
        Bytes::from_static(b"127.0.0.1:0"),
        Bytes::from_static(b"[1e999]"),
        Bytes::from_static(&[0xff, 0, 0xfe]),
        Bytes::from(vec![b'1'; 100_000]),
    ];
    for topic in [
        "keyed.entries",
        "keyed.upstreams",
        "keyed.op",
        "keyed.servers",
    ] {
        for (index, value) in odd.iter().enumerate() {
            deployment
                .store
                .put(topic, &format!("odd {index}&"), value.clone());
        }
    }
    for value in &odd {
        deployment
            .store
            .put("keyed.upstreams", "agent-0", value.clone());
        deployment.store.put("keyed.op", "config", value.clone());
    }
    let latest = configuration(5, "desk", &["added"]);
    deployment.store.publish("config", latest);
    // Also after a restart, when everything is read from the start.
    for restarts in 0..2 {
        for entry in 0..2 {
            deployment.wait_for(|deployment| deployment.has_queue(entry, "added"));
            deployment.wait_for(|deployment| deployment.is_ready(entry));
            let id = format!("r{restarts}e{entry}");
            expect_that!(deployment.submit(entry, &id, 2, 20), some(eq(200)));
        }
        expect_all_alive(&mut deployment);
        deployment.agents[0].restart();
        deployment.entries[1].restart();
    }
    expect_that!(deployment.violations(), is_empty());
}

//! Tests of the commands that query entries.

use std::net::SocketAddr;

use googletest::prelude::*;
use http::Method;

use crate::fixture::{Scratch, Servers, UNUSED_ADDRESS, run};

const STATUS_1: &str = include_str!("data/status-1.json");
const STATUS_2: &str = include_str!("data/status-2.json");
const JOB: &str = include_str!("data/job.json");
const EVENTS: &str = include_str!("data/events.json");
const BURN_1: &str = include_str!("data/burn-1.json");
const BURN_2: &str = include_str!("data/burn-2.json");

/// Starts two entries that know the same agents.
pub fn start_entries(servers: &mut Servers) -> [SocketAddr; 2] {
    let first = servers.entry(|method, path| respond(method, path, STATUS_1, BURN_1));
    let second = servers.entry(|method, path| respond(method, path, STATUS_2, BURN_2));
    [first, second]
}

/// Starts an entry that reports the same version in force for itself and its agents.
pub fn start_entry_in_force(servers: &mut Servers) -> SocketAddr {
    let status = STATUS_1.replace("\"config_version\": 6", "\"config_version\": 7");
    servers.entry(move |method, path| respond(method, path, &status, BURN_1))
}

fn respond(method: &Method, path: &str, status: &str, burn: &str) -> Option<String> {
    let body = match (method.as_str(), path) {
        ("GET", "/v1/status") => status,
        ("GET", "/v1/burn") => burn,
        ("GET", "/v1/jobs/sales-desk%2Forder-4711") => JOB,
        ("GET", path) if path.starts_with("/v1/events?since=") => EVENTS,
        ("POST", "/v1/drain") => r#"{"upstream":"orders-os-1","leaving":true,"running":2}"#,
        ("GET", "/v1/stamps") => "\"0-1\"",
        ("POST", "/v1/jobs") => {
            r#"{"answer":"complete","key":"sales-desk/k","results":[{"price":12.5}]}"#
        }
        _ => return None,
    };
    Some(body.to_owned())
}

fn run_with_entries(args: &[&str], entries: &[SocketAddr]) -> String {
    let addresses: Vec<String> = entries.iter().map(ToString::to_string).collect();
    let options = addresses.iter().flat_map(|address| ["--entry", address]);
    let args: Vec<&str> = args.iter().copied().chain(options).collect();
    run(&args).all()
}

#[gtest]
fn status_merges_the_reports_of_entries() {
    let mut servers = Servers::start();
    let mut entries = start_entries(&mut servers).to_vec();
    insta::assert_snapshot!("status", run_with_entries(&["status"], &entries));

    entries.push(UNUSED_ADDRESS.parse().expect("an address"));
    let partial = run_with_entries(&["status"], &entries);
    expect_that!(partial, contains_substring("Connection refused"));
    expect_that!(partial, ends_with("exit code 1"));
    expect_that!(
        run_with_entries(&["status"], &entries[2..]),
        ends_with("exit code 3")
    );
}

#[gtest]
fn config_status_shows_the_version_of_each_process() {
    let mut servers = Servers::start();
    let entries = start_entries(&mut servers);
    insta::assert_snapshot!(
        "config_status",
        run_with_entries(&["config", "status"], &entries)
    );
}

#[gtest]
fn drain_asks_one_entry() {
    let mut servers = Servers::start();
    let entries = start_entries(&mut servers);
    let drained = run_with_entries(&["drain", "orders-os-1"], &entries);
    expect_that!(
        drained,
        eq("orders-os-1 is draining: it gets no new tasks\nexit code 0")
    );
    let back = run_with_entries(&["undrain", "orders-os-1"], &entries);
    expect_that!(back, eq("orders-os-1 is back in service\nexit code 0"));
}

#[gtest]
fn a_job_is_shown_task_by_task() {
    let mut servers = Servers::start();
    let entries = start_entries(&mut servers);
    let known = run_with_entries(&["job", "show", "sales-desk/order-4711"], &entries);
    insta::assert_snapshot!("job", known);
    let unknown = run_with_entries(&["job", "show", "sales-desk/none"], &entries);
    expect_that!(
        unknown,
        contains_substring("no entry knows the job sales-desk/none")
    );
    expect_that!(unknown, ends_with("exit code 1"));
}

#[gtest]
fn events_are_sorted_by_time() {
    let mut servers = Servers::start();
    let entries = start_entries(&mut servers);
    insta::assert_snapshot!("events", run_with_entries(&["events"], &entries[..1]));
}

#[gtest]
fn a_job_is_submitted() {
    let mut servers = Servers::start();
    let to = start_entries(&mut servers)[0].to_string();
    let job = [
        "--team",
        "sales-desk",
        "--service",
        "quote",
        "--key",
        "k",
        "{\"sku\":1}",
    ];
    let output = run(&[&["submit", "--to", &to], &job[..]].concat());
    insta::assert_snapshot!("submit", output.all());
    expect_that!(
        run(&[&["submit", "--to", UNUSED_ADDRESS], &job[..]].concat()).code,
        eq(3)
    );
}

#[gtest]
fn burn_is_reported_as_text_json_and_page() {
    let mut servers = Servers::start();
    let (log, _) = servers.log(100);
    let log = log.to_string();
    let tunelpokrov = "inventories/tunelpokrov.yaml";
    run(&[
        "config",
        "publish",
        tunelpokrov,
        "--base",
        "0",
        "--log",
        &log,
    ]);
    let entries = start_entries(&mut servers);
    let scratch = Scratch::new("burn");
    let page = scratch.0.join("burn.html").display().to_string();

    let args = ["report", "burn", "--log", &log, "--html", &page];
    insta::assert_snapshot!("burn", run_with_entries(&args, &entries));
    let written = std::fs::read_to_string(&page).expect("the page is written");
    insta::assert_snapshot!("burn_page", written);
    expect_that!(written, not(contains_substring("http")));
    let json = run_with_entries(
        &["report", "burn", "--log", &log, "--output", "json"],
        &entries,
    );
    expect_that!(json, contains_substring("\"budget_spent_percent\""));
}

//! Tests of `hemlockhook config`, also with faults of the log.

use googletest::prelude::*;
use hemlockhook_standin::{LogFaults, Outage};
use serde_json::json;

use crate::fixture::{Output, Scratch, Servers, UNUSED_ADDRESS, lose_replies, run};

const INVENTORY: &str = "inventories/tunelpokrov.yaml";

fn publish(log: &str, file: &str, extra_args: &[&str]) -> Output {
    run(&[&["config", "publish", file, "--log", log], extra_args].concat())
}

/// Returns the output of `config show`, with the first occurrence of a text replaced.
fn edited(log: &str, from: &str, to: &str) -> String {
    let shown = run(&["config", "show", "--log", log]).stdout;
    assert!(shown.contains(from), "{shown}");
    shown.replacen(from, to, 1)
}

#[gtest]
fn a_document_is_published_shown_and_edited() {
    let mut servers = Servers::start();
    let (addr, _) = servers.log(1_000);
    let log = addr.to_string();
    let scratch = Scratch::new("publish");

    let empty = run(&["config", "show", "--log", &log]);
    expect_that!(
        empty.all(),
        eq("hemlockhook: no configuration is published yet\nexit code 1")
    );
    let first = publish(&log, INVENTORY, &["--base", "0"]);
    expect_that!(first.all(), eq("accepted as version 1\nexit code 0"));

    let file = scratch.file("rules.yaml", &edited(&log, "share: 4", "share: 5"));
    let diff = run(&["config", "diff", &file, "--log", &log]);
    insta::assert_snapshot!("diff", diff.all().replace(&file, "rules.yaml"));
    let second = publish(&log, &file, &[]);
    expect_that!(second.all(), eq("accepted as version 2\nexit code 0"));

    let shown = run(&["config", "show", "--log", &log]);
    expect_that!(shown.stdout, starts_with("# version: 2\n"));
    expect_that!(shown.stdout, contains_substring("share: 5"));
    let old = run(&["config", "show", "--log", &log, "--version", "1"]);
    expect_that!(old.stdout, not(contains_substring("share: 5")));
}

#[gtest]
fn of_two_concurrent_edits_the_second_is_refused() {
    let mut servers = Servers::start();
    let (addr, _) = servers.log(1_000);
    let log = addr.to_string();
    let scratch = Scratch::new("race");
    publish(&log, INVENTORY, &["--base", "0"]);

    let winner = scratch.file("winner.yaml", &edited(&log, "share: 4", "share: 5"));
    let loser = scratch.file("loser.yaml", &edited(&log, "share: 2", "share: 6"));
    expect_that!(publish(&log, &winner, &[]).code, eq(0));
    insta::assert_snapshot!("refused", publish(&log, &loser, &[]).all());

    let history = run(&["config", "history", "--log", &log, "--output", "json"]);
    let verdicts: Vec<_> = history
        .json()
        .as_array()
        .into_iter()
        .flatten()
        .map(|change| change["verdict"].clone())
        .collect();
    expect_that!(verdicts, eq(&vec![json!("accepted"), json!("accepted")]));
}

#[gtest]
fn of_concurrent_publishers_exactly_one_succeeds() {
    let mut servers = Servers::start();
    let (addr, _) = servers.log(1_000);
    let log = addr.to_string();
    let codes: Vec<i32> = std::thread::scope(|scope| {
        let publishers: Vec<_> = (0..4)
            .map(|_| scope.spawn(|| publish(&log, INVENTORY, &["--base", "0"]).code))
            .collect();
        publishers
            .into_iter()
            .map(|p| p.join().expect("no panic"))
            .collect()
    });
    expect_that!(
        codes.iter().filter(|code| **code == 0).count(),
        eq(1),
        "{codes:?}"
    );
    expect_that!(
        codes.iter().filter(|code| **code == 1).count(),
        eq(3),
        "{codes:?}"
    );
}

#[gtest]
fn a_publish_succeeds_although_replies_of_the_log_are_lost() {
    let mut servers = Servers::start();
    let (addr, log) = servers.log(1_000);
    log.set_faults(lose_replies());
    let output = publish(
        &addr.to_string(),
        INVENTORY,
        &["--base", "0", "--timeout", "60s"],
    );
    expect_that!(output.all(), eq("accepted as version 1\nexit code 0"));
}

#[gtest]
fn nothing_is_published_while_the_log_is_down() {
    let mut servers = Servers::start();
    let (addr, log) = servers.log(1_000);
    log.set_faults(LogFaults {
        outage: Outage::Refuse,
        ..LogFaults::default()
    });
    let output = publish(&addr.to_string(), INVENTORY, &["--base", "0"]);
    expect_that!(output.code, eq(3));
    expect_that!(
        output.stdout,
        starts_with("not published, and nothing was changed")
    );

    log.set_faults(LogFaults::default());
    let history = run(&["config", "history", "--log", &addr.to_string()]);
    expect_that!(history.stdout, eq("changes\n  none\n"));
    expect_that!(
        publish(UNUSED_ADDRESS, INVENTORY, &["--base", "0"]).code,
        eq(3)
    );
}

#[gtest]
fn an_unsettled_change_is_settled_by_its_id() {
    let mut servers = Servers::start();
    let (addr, log) = servers.log(1_000);
    let log_addr = addr.to_string();
    publish(&log_addr, INVENTORY, &["--base", "0"]);
    let scratch = Scratch::new("unsettled");
    let file = scratch.file("rules.yaml", &edited(&log_addr, "share: 4", "share: 5"));
    let args = ["--change-id", "change-1"];
    expect_that!(publish(&log_addr, &file, &args).code, eq(0));

    log.set_faults(LogFaults {
        outage: Outage::Refuse,
        ..LogFaults::default()
    });
    let unsettled = publish(
        &log_addr,
        &file,
        &["--change-id", "change-1", "--timeout", "100ms"],
    );
    expect_that!(unsettled.code, eq(4));
    expect_that!(
        unsettled.stdout,
        contains_substring("--base 1 --change-id change-1")
    );

    log.set_faults(LogFaults::default());
    let settled = publish(&log_addr, &file, &args);
    expect_that!(settled.all(), eq("accepted as version 2\nexit code 0"));
}

#[gtest]
fn an_entry_supplies_a_version_that_the_log_dropped() {
    let mut servers = Servers::start();
    let (addr, _) = servers.log(2);
    let log = addr.to_string();
    let scratch = Scratch::new("retention");
    publish(&log, INVENTORY, &["--base", "0"]);
    let first = run(&["config", "show", "--log", &log]).stdout;
    let (_, document) = first
        .split_once('\n')
        .expect("the first line is the version");
    let config = json!({ "version": 1, "document": document }).to_string();
    let entry = servers.entry(move |_, path| (path == "/v1/config").then(|| config.clone()));

    // The log keeps 2 records, so the refused changes push the accepted one out.
    let refused = scratch.file("refused.yaml", document);
    for id in 0..3 {
        let record = json!({ "change_id": format!("c{id}"), "base": 9, "document": document });
        let appended = append(&log, &record.to_string());
        expect_that!(appended, eq(true));
    }
    let lost = run(&["config", "show", "--log", &log]);
    expect_that!(lost.code, eq(3), "{}", lost.all());
    expect_that!(publish(&log, &refused, &["--base", "1"]).code, eq(3));

    let entry = entry.to_string();
    let shown = run(&["config", "show", "--log", &log, "--entry", &entry]);
    expect_that!(
        shown.stdout,
        starts_with("# version: 1\n"),
        "{}",
        shown.all()
    );
}

#[gtest]
fn a_lost_version_can_be_restored() {
    let mut servers = Servers::start();
    let (addr, _) = servers.log(1);
    let log = addr.to_string();
    publish(&log, INVENTORY, &["--base", "0"]);
    expect_that!(append(&log, "{}"), eq(true));
    let by_base = publish(&log, INVENTORY, &["--base", "0"]);
    expect_that!(by_base.code, eq(3), "{}", by_base.all());

    let restored = publish(&log, INVENTORY, &["--restore"]);
    expect_that!(restored.all(), eq("accepted as version 3\nexit code 0"));
    let shown = run(&["config", "show", "--log", &log]);
    expect_that!(shown.stdout, starts_with("# version: 3\n"));
    expect_that!(publish(&log, INVENTORY, &["--restore"]).code, eq(1));
    let next = publish(&log, INVENTORY, &["--base", "3"]);
    expect_that!(next.all(), eq("accepted as version 4\nexit code 0"));
}

/// Appends a raw record to the configuration stream, as another program could.
fn append(log: &str, body: &str) -> bool {
    use std::io::{Read, Write};
    let mut stream = std::net::TcpStream::connect(log).expect("the log listens");
    let req = format!(
        "POST /v1/streams/config/records HTTP/1.1\r\nhost: log\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(req.as_bytes()).expect("the log reads");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("the log answers");
    answer.starts_with("HTTP/1.1 200")
}

//! Tests of what entries and agents tell each other without a task.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use hemlockhook_entry::event::{Action, Event, LinkEnd, Response};
use hemlockhook_entry::members::rendezvous_rank;
use hemlockhook_inventory::ConfigRecord;
use hemlockhook_proto::v1;
use hemlockhook_proto::v1::{AgentFrame, PeerStatus};
use hemlockhook_types::FIRST_OFFSET;
use support::{AGENT, Bench, ME, hello, reply};

/// Returns the state that the engine answers a peer's heartbeat with.
fn answer(bench: &mut Bench, status: PeerStatus) -> PeerStatus {
    let (reply_to, rx) = async_channel::bounded(1);
    let reply_to = Some(reply_to);
    bench.event(Event::PeerStatus { status, reply_to });
    match rx.try_recv() {
        Ok(Response::PeerStatus(status)) => *status,
        other => panic!("no answer to a heartbeat: {other:?}"),
    }
}

fn peer(incarnation: u64) -> PeerStatus {
    PeerStatus {
        incarnation,
        name: format!("entry-{incarnation}"),
        address: format!("127.0.0.1:{incarnation}"),
        config_version: FIRST_OFFSET,
        ..PeerStatus::default()
    }
}

fn heartbeats(bench: &mut Bench) -> Vec<PeerStatus> {
    let actions = std::mem::take(&mut bench.actions);
    let statuses = actions.into_iter().filter_map(|action| match action {
        Action::Heartbeat { status, .. } => Some(*status),
        _ => None,
    });
    statuses.collect()
}

#[gtest]
fn a_peer_is_told_the_shards_once_and_then_only_that_they_are_the_same() {
    let mut bench = Bench::serving();
    let first = answer(&mut bench, peer(9));
    expect_that!(first.owned.len(), eq(64));
    expect_false!(first.unchanged);

    let second = answer(&mut bench, peer(9));
    expect_that!(second.owned, is_empty());
    expect_true!(second.unchanged);
    expect_that!(second.digest, eq(first.digest));

    let asking = PeerStatus {
        wants_whole: true,
        ..peer(9)
    };
    expect_that!(answer(&mut bench, asking).owned.len(), eq(64));
    expect_that!(answer(&mut bench, peer(8)).owned.len(), eq(64));
}

#[gtest]
fn what_a_peer_left_out_and_was_not_heard_before_is_asked_for() {
    let mut bench = Bench::serving();
    let unchanged = PeerStatus {
        unchanged: true,
        digest: 5,
        ..peer(9)
    };
    expect_true!(answer(&mut bench, unchanged.clone()).wants_whole);
    let whole = PeerStatus {
        digest: 5,
        ..peer(9)
    };
    expect_false!(answer(&mut bench, whole).wants_whole);
    expect_false!(answer(&mut bench, unchanged).wants_whole);
}

#[gtest]
fn of_two_entries_one_begins_until_it_falls_silent() {
    let mut bench = Bench::serving();
    // The peer with the lower incarnation begins.
    answer(&mut bench, peer(0));
    heartbeats(&mut bench);
    bench.run_for(Duration::from_millis(400));
    expect_that!(heartbeats(&mut bench), is_empty());
    bench.run_for(Duration::from_millis(600));
    expect_that!(heartbeats(&mut bench), not(is_empty()));

    answer(&mut bench, peer(ME + 8));
    bench.run_for(Duration::from_millis(400));
    expect_that!(heartbeats(&mut bench), not(is_empty()));
}

#[gtest]
fn a_peer_without_a_configuration_is_given_it_with_the_answer() {
    let mut bench = Bench::serving();
    let fresh = PeerStatus {
        config_version: 0,
        ..peer(9)
    };
    let config = answer(&mut bench, fresh).config;
    expect_that!(config.map(|config| config.version), some(eq(FIRST_OFFSET)));
    expect_that!(answer(&mut bench, peer(9)).config, none());
}

/// Brings a new version in force at the engine.
fn publish(bench: &mut Bench) {
    let config = ConfigRecord {
        change_id: "second".to_owned(),
        base: FIRST_OFFSET,
        document: include_str!("../../inventories/tunelpokrov.yaml").to_owned(),
        ..ConfigRecord::default()
    };
    let record = (FIRST_OFFSET + 1, config.to_bytes().into());
    bench.event(Event::ConfigRecords(vec![record]));
}

fn configs(bench: &mut Bench) -> usize {
    let frames = bench.sent().into_iter();
    frames.filter(|frame| frame.config.is_some()).count()
}

#[gtest]
fn one_entry_sends_an_agent_a_configuration_and_the_others_only_if_it_does_not() {
    let name = |number: u64| format!("entry-{number}");
    let rank = |number| rendezvous_rank("entry", [name(number).as_str()].into_iter(), AGENT);
    let before = (10..)
        .find(|number| rank(*number) == 1)
        .expect("one comes before");
    let after = (10..)
        .find(|number| rank(*number) == 0)
        .expect("one comes after");

    for (other, at_once) in [(before, 0), (after, 1)] {
        let mut bench = Bench::serving();
        answer(&mut bench, peer(other));
        bench.run_for(Duration::from_millis(40));
        configs(&mut bench);
        publish(&mut bench);
        expect_that!(configs(&mut bench), eq(at_once));
        for _ in 0..5 {
            answer(&mut bench, peer(other));
            bench.run_for(Duration::from_millis(200));
        }
        expect_that!(configs(&mut bench), eq(1 - at_once));
    }
}

#[gtest]
fn an_agent_that_got_a_configuration_from_another_entry_is_not_sent_it_again() {
    let name = |number: u64| format!("entry-{number}");
    let rank = |number| rendezvous_rank("entry", [name(number).as_str()].into_iter(), AGENT);
    let before = (10..)
        .find(|number| rank(*number) == 1)
        .expect("one comes before");
    let mut bench = Bench::serving();
    answer(&mut bench, peer(before));
    bench.run_for(Duration::from_millis(40));
    publish(&mut bench);
    bench.frame(AgentFrame {
        config_version: FIRST_OFFSET + 1,
        ..AgentFrame::default()
    });
    bench.run_for(Duration::from_secs(4));
    expect_that!(configs(&mut bench), eq(0));
}

#[gtest]
fn an_agent_is_asked_for_a_version_that_nothing_else_brings() {
    let mut bench = Bench::serving();
    bench.frame(AgentFrame {
        config_version: FIRST_OFFSET + 1,
        ..AgentFrame::default()
    });
    let asks = |bench: &mut Bench| {
        let frames = bench.sent().into_iter();
        frames.filter(|frame| frame.wants_config).count()
    };
    expect_that!(asks(&mut bench), eq(0));
    bench.run_for(Duration::from_secs(1));
    expect_that!(asks(&mut bench), ge(1));

    let document = include_str!("../../inventories/tunelpokrov.yaml").to_owned();
    let config = v1::Config {
        version: FIRST_OFFSET + 1,
        document,
    };
    bench.frame(AgentFrame {
        config_version: FIRST_OFFSET + 1,
        config: Some(config),
        ..AgentFrame::default()
    });
    asks(&mut bench);
    bench.run_for(Duration::from_secs(1));
    expect_that!(asks(&mut bench), eq(0));
}

#[gtest]
fn a_job_waits_a_moment_for_an_upstream_to_come_up() {
    let mut bench = Bench::serving();
    bench.event(Event::LinkDown {
        agent: AGENT,
        end: LinkEnd::Broken,
    });
    let caller = bench.submit("one", "quote", &["1"]);
    bench.run_for(Duration::from_secs(1));
    expect_that!(reply(&caller), none());

    bench.event(Event::LinkUp {
        agent: AGENT,
        hello: hello(),
    });
    bench.frame(AgentFrame {
        grants: 1,
        ..AgentFrame::default()
    });
    bench.run_for(Duration::from_millis(100));
    expect_that!(bench.starts().len(), eq(1));
    bench.done("sales-desk/one", 0, "1");
    expect_that!(reply(&caller), some(anything()));
}

#[gtest]
fn a_job_whose_upstreams_stay_away_is_answered_before_its_deadline() {
    let mut bench = Bench::serving();
    bench.event(Event::LinkDown {
        agent: AGENT,
        end: LinkEnd::Broken,
    });
    let caller = bench.submit("one", "quote", &["1"]);
    bench.run_for(Duration::from_secs(3));
    expect_that!(reply(&caller), some(anything()));
}

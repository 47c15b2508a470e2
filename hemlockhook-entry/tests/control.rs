//! Tests of heartbeats, the distribution of configurations, and jobs without an upstream.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use hemlockhook_entry::event::{Action, Event, LinkEnd, Response};
use hemlockhook_entry::members::rendezvous_rank;
use hemlockhook_inventory::ConfigRecord;
use hemlockhook_proto::v1;
use hemlockhook_proto::v1::{AgentFrame, PeerStatus};
use hemlockhook_types::FIRST_OFFSET;
use support::{AGENT, EngineHarness, ME, hello, try_reply};

/// Sends a peer's heartbeat to the engine and returns the state in its response.
fn exchange_heartbeat(harness: &mut EngineHarness, status: PeerStatus) -> PeerStatus {
    let (reply_to, rx) = async_channel::bounded(1);
    let reply_to = Some(reply_to);
    harness.handle(Event::PeerStatus { status, reply_to });
    match rx.try_recv() {
        Ok(Response::PeerStatus(status)) => *status,
        other => panic!("no response to a heartbeat: {other:?}"),
    }
}

fn peer_status(incarnation: u64) -> PeerStatus {
    PeerStatus {
        incarnation,
        name: format!("entry-{incarnation}"),
        address: format!("127.0.0.1:{incarnation}"),
        config_version: FIRST_OFFSET,
        ..PeerStatus::default()
    }
}

fn take_heartbeats(harness: &mut EngineHarness) -> Vec<PeerStatus> {
    let actions = std::mem::take(&mut harness.actions);
    let statuses = actions.into_iter().filter_map(|action| match action {
        Action::Heartbeat { status, .. } => Some(*status),
        _ => None,
    });
    statuses.collect()
}

#[gtest]
fn shards_are_sent_to_a_peer_once_and_then_marked_as_unchanged() {
    let mut harness = EngineHarness::serving();
    let first = exchange_heartbeat(&mut harness, peer_status(9));
    expect_that!(first.owned.len(), eq(64));
    expect_false!(first.unchanged);

    let second = exchange_heartbeat(&mut harness, peer_status(9));
    expect_that!(second.owned, is_empty());
    expect_true!(second.unchanged);
    expect_that!(second.digest, eq(first.digest));

    let request = PeerStatus {
        wants_whole: true,
        ..peer_status(9)
    };
    expect_that!(
        exchange_heartbeat(&mut harness, request).owned.len(),
        eq(64)
    );
    expect_that!(
        exchange_heartbeat(&mut harness, peer_status(8)).owned.len(),
        eq(64)
    );
}

#[gtest]
fn the_full_state_is_requested_from_a_peer_that_left_out_an_unknown_part() {
    let mut harness = EngineHarness::serving();
    let unchanged = PeerStatus {
        unchanged: true,
        digest: 5,
        ..peer_status(9)
    };
    expect_true!(exchange_heartbeat(&mut harness, unchanged.clone()).wants_whole);
    let whole = PeerStatus {
        digest: 5,
        ..peer_status(9)
    };
    expect_false!(exchange_heartbeat(&mut harness, whole).wants_whole);
    expect_false!(exchange_heartbeat(&mut harness, unchanged).wants_whole);
}

#[gtest]
fn only_the_entry_with_the_lower_incarnation_sends_heartbeats_until_it_goes_silent() {
    let mut harness = EngineHarness::serving();
    // The peer has the lower incarnation.
    exchange_heartbeat(&mut harness, peer_status(0));
    take_heartbeats(&mut harness);
    harness.run_for(Duration::from_millis(400));
    expect_that!(take_heartbeats(&mut harness), is_empty());
    harness.run_for(Duration::from_millis(600));
    expect_that!(take_heartbeats(&mut harness), not(is_empty()));

    exchange_heartbeat(&mut harness, peer_status(ME + 8));
    harness.run_for(Duration::from_millis(400));
    expect_that!(take_heartbeats(&mut harness), not(is_empty()));
}

#[gtest]
fn the_heartbeat_response_carries_the_configuration_to_a_peer_without_it() {
    let mut harness = EngineHarness::serving();
    let without_config = PeerStatus {
        config_version: 0,
        ..peer_status(9)
    };
    let config = exchange_heartbeat(&mut harness, without_config).config;
    expect_that!(config.map(|config| config.version), some(eq(FIRST_OFFSET)));
    expect_that!(
        exchange_heartbeat(&mut harness, peer_status(9)).config,
        none()
    );
}

/// Puts a new configuration version into force at the engine.
fn publish_config(harness: &mut EngineHarness) {
    let config = ConfigRecord {
        change_id: "second".to_owned(),
        base: FIRST_OFFSET,
        document: include_str!("../../inventories/tunelpokrov.yaml").to_owned(),
        ..ConfigRecord::default()
    };
    let record = (FIRST_OFFSET + 1, config.to_bytes().into());
    harness.handle(Event::ConfigRecords(vec![record]));
}

fn count_sent_configs(harness: &mut EngineHarness) -> usize {
    let frames = harness.take_sent_frames().into_iter();
    frames.filter(|frame| frame.config.is_some()).count()
}

#[gtest]
fn one_entry_sends_an_agent_a_configuration_and_the_others_only_if_it_does_not() {
    let name = |number: u64| format!("entry-{number}");
    let rank = |number| rendezvous_rank("entry", [name(number).as_str()].into_iter(), AGENT);
    let before = (10..)
        .find(|number| rank(*number) == 1)
        .expect("a name that precedes");
    let after = (10..)
        .find(|number| rank(*number) == 0)
        .expect("a name that follows");

    for (other, sent_at_once) in [(before, 0), (after, 1)] {
        let mut harness = EngineHarness::serving();
        exchange_heartbeat(&mut harness, peer_status(other));
        harness.run_for(Duration::from_millis(40));
        count_sent_configs(&mut harness);
        publish_config(&mut harness);
        expect_that!(count_sent_configs(&mut harness), eq(sent_at_once));
        for _ in 0..5 {
            exchange_heartbeat(&mut harness, peer_status(other));
            harness.run_for(Duration::from_millis(200));
        }
        expect_that!(count_sent_configs(&mut harness), eq(1 - sent_at_once));
    }
}

#[gtest]
fn an_agent_that_got_a_configuration_from_another_entry_is_not_sent_it_again() {
    let name = |number: u64| format!("entry-{number}");
    let rank = |number| rendezvous_rank("entry", [name(number).as_str()].into_iter(), AGENT);
    let before = (10..)
        .find(|number| rank(*number) == 1)
        .expect("a name that precedes");
    let mut harness = EngineHarness::serving();
    exchange_heartbeat(&mut harness, peer_status(before));
    harness.run_for(Duration::from_millis(40));
    publish_config(&mut harness);
    harness.receive_frame(AgentFrame {
        config_version: FIRST_OFFSET + 1,
        ..AgentFrame::default()
    });
    harness.run_for(Duration::from_secs(4));
    expect_that!(count_sent_configs(&mut harness), eq(0));
}

#[gtest]
fn a_configuration_that_only_an_agent_has_is_requested_from_it() {
    let mut harness = EngineHarness::serving();
    harness.receive_frame(AgentFrame {
        config_version: FIRST_OFFSET + 1,
        ..AgentFrame::default()
    });
    let config_requests = |harness: &mut EngineHarness| {
        let frames = harness.take_sent_frames().into_iter();
        frames.filter(|frame| frame.wants_config).count()
    };
    expect_that!(config_requests(&mut harness), eq(0));
    harness.run_for(Duration::from_secs(1));
    expect_that!(config_requests(&mut harness), ge(1));

    let document = include_str!("../../inventories/tunelpokrov.yaml").to_owned();
    let config = v1::Config {
        version: FIRST_OFFSET + 1,
        document,
    };
    harness.receive_frame(AgentFrame {
        config_version: FIRST_OFFSET + 1,
        config: Some(config),
        ..AgentFrame::default()
    });
    config_requests(&mut harness);
    harness.run_for(Duration::from_secs(1));
    expect_that!(config_requests(&mut harness), eq(0));
}

#[gtest]
fn a_job_waits_briefly_for_an_upstream_to_come_up() {
    let mut harness = EngineHarness::serving();
    harness.handle(Event::LinkDown {
        agent: AGENT,
        end: LinkEnd::Broken,
    });
    let caller = harness.submit("one", "quote", &["1"]);
    harness.run_for(Duration::from_secs(1));
    expect_that!(try_reply(&caller), none());

    harness.handle(Event::LinkUp {
        agent: AGENT,
        hello: hello(),
    });
    harness.receive_frame(AgentFrame {
        grants: 1,
        ..AgentFrame::default()
    });
    harness.run_for(Duration::from_millis(100));
    expect_that!(harness.take_starts().len(), eq(1));
    harness.complete_task("sales-desk/one", 0, "1");
    expect_that!(try_reply(&caller), some(anything()));
}

#[gtest]
fn a_job_whose_upstreams_stay_down_is_answered_before_its_deadline() {
    let mut harness = EngineHarness::serving();
    harness.handle(Event::LinkDown {
        agent: AGENT,
        end: LinkEnd::Broken,
    });
    let caller = harness.submit("one", "quote", &["1"]);
    harness.run_for(Duration::from_secs(3));
    expect_that!(try_reply(&caller), some(anything()));
}

//! Tests of announcing, joining and the configuration.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use hemlockhook_agent::{Action, Event, Stream};
use hemlockhook_ownership::Record;
use hemlockhook_proto::v1;
use hemlockhook_proto::v1::refusal::Reason;
use hemlockhook_types::shard_of;
use support::*;

#[gtest]
fn announces_nothing_until_the_inventory_lists_it() {
    let mut agent = Agent::new();
    agent.complete_read(Stream::Config, 1, vec![]);
    agent.advance(Duration::from_secs(10));
    expect_that!(agent.take_appends(), is_empty());

    agent.complete_read(Stream::Config, 1, vec![config(0, &inventory(2, SERVICE))]);
    expect_that!(
        agent.take_appends(),
        elements_are![matches_pattern!(Record::Agent {
            incarnation: eq(&AGENT),
            name: eq("desk-1"),
            ..
        })]
    );
}

#[gtest]
fn gives_no_grants_before_reading_the_log_past_its_announcement() {
    let mut agent = Agent::new();
    agent.link_entry(1, 5);
    // A read that completes before the announcement does not count.
    agent.complete_read(Stream::Membership, 1, vec![]);
    agent.complete_read(Stream::Config, 1, vec![config(0, &inventory(2, SERVICE))]);
    expect_false!(agent.engine.status().joined);

    agent.handle(Event::Appended);
    expect_that!(
        agent.actions,
        contains(eq(&Action::Read {
            stream: Stream::Membership,
            from: 0
        }))
    );
    expect_that!(agent.engine.status().grants, eq(0));
    agent.receive(1, starts(vec![start(KEY, 0)]));
    expect_that!(
        agent.take_refusals(1),
        elements_are![eq(&Reason::NotJoined)]
    );

    agent.complete_read(Stream::Membership, 1, vec![]);
    expect_true!(agent.engine.status().joined);
    expect_that!(agent.engine.status().grants, eq(2));
}

#[gtest]
fn read_started_before_the_announcement_does_not_join() {
    let mut agent = Agent::new();
    agent.complete_read(Stream::Config, 1, vec![config(0, &inventory(2, SERVICE))]);
    // The first read of the membership stream is in flight when the announcement succeeds.
    agent.handle(Event::Appended);
    agent.complete_read(Stream::Membership, 1, vec![]);
    expect_false!(agent.engine.status().joined);
    // The next read starts immediately.
    agent.complete_read(Stream::Membership, 1, vec![]);
    expect_true!(agent.engine.status().joined);
}

#[gtest]
fn reads_the_whole_log_before_joining() {
    let mut agent = Agent::new();
    agent.complete_read(Stream::Membership, 1, vec![]);
    agent.complete_read(Stream::Config, 1, vec![config(0, &inventory(2, SERVICE))]);
    agent.handle(Event::Appended);

    let takeover = Record::Takeover {
        shards: vec![shard_of(KEY)],
        ballot: ballot(3, 6),
    };
    let body = record(&takeover);
    let batch = hemlockhook_ports::Batch {
        records: vec![hemlockhook_ports::LogRecord {
            offset: 1,
            appended_ms: 0,
            body: body.into(),
        }],
        first_retained: 1,
        end: 3,
    };
    agent.handle(Event::Read {
        stream: Stream::Membership,
        batch,
    });
    expect_false!(agent.engine.status().joined);
    agent.complete_read(Stream::Membership, 2, vec![b"not a record".to_vec()]);
    expect_true!(agent.engine.status().joined);
    expect_that!(agent.engine.status().counters.bad_records, eq(1));

    // The agent applied the takeover that was recorded before it joined.
    agent.link_entry(1, 5);
    agent.receive(1, starts(vec![start(KEY, 0)]));
    expect_that!(
        agent.take_refusals(1),
        elements_are![eq(&Reason::StaleBallot)]
    );
}

#[gtest]
fn retries_a_failed_announcement() {
    let mut agent = Agent::new();
    agent.complete_read(Stream::Config, 1, vec![config(0, &inventory(2, SERVICE))]);
    agent.take_appends();
    for _ in 0..8 {
        agent.handle(Event::AppendFailed);
        expect_that!(agent.take_appends(), is_empty());
        agent.advance(Duration::from_secs(5));
        expect_that!(agent.take_appends(), len(eq(1)));
    }
}

#[gtest]
fn repeats_its_announcement_periodically() {
    let mut agent = Agent::joined();
    agent.advance(Duration::from_secs(59));
    expect_that!(agent.take_appends(), is_empty());
    agent.advance(Duration::from_secs(1));
    expect_that!(agent.take_appends(), len(eq(1)));
}

#[gtest]
fn gives_no_grants_after_its_lease_expired() {
    let mut agent = Agent::joined();
    agent.link_entry(1, 5);
    // A log outage outlasts the lease.
    agent.advance(Duration::from_secs(60));
    for _ in 0..5_000 {
        agent.handle(Event::AppendFailed);
        agent.advance(Duration::from_secs(5));
    }
    agent.actions.clear();
    agent.receive(1, starts(vec![start(KEY, 0)]));
    let frames = agent.take_frames(1);
    expect_that!(frames[0].refusals[0].reason(), eq(Reason::NotJoined));
    expect_that!(frames[0].grants, eq(0));

    agent.advance(Duration::from_secs(5));
    agent.handle(Event::Appended);
    agent.complete_read(Stream::Membership, 1, vec![]);
    agent.complete_read(Stream::Membership, 1, vec![]);
    expect_true!(agent.engine.status().joined);
    agent.receive(1, starts(vec![start(KEY, 0)]));
    expect_that!(agent.take_runs(), len(eq(1)));
}

#[gtest]
fn continues_reading_at_the_first_retained_record() {
    let mut agent = Agent::new();
    agent.actions.clear();
    agent.handle(Event::ReadFailed {
        stream: Stream::Membership,
        first_retained: Some(40),
    });
    let read = Action::Read {
        stream: Stream::Membership,
        from: 40,
    };
    expect_that!(agent.actions, elements_are![eq(&read)]);
}

#[gtest]
fn adopts_only_newer_configurations_from_entries() {
    let mut agent = Agent::joined();
    agent.link_entry(1, 5);
    let config_frame = |version, slots| v1::EntryFrame {
        config_version: version,
        config: Some(v1::Config {
            version,
            document: inventory(slots, SERVICE),
        }),
        ..v1::EntryFrame::default()
    };
    agent.receive(1, config_frame(7, 3));
    expect_that!(agent.engine.status().config_version, eq(7));
    let frames = agent.take_frames(1);
    expect_that!(
        frames[0].hello.as_ref().map(|hello| hello.slots),
        some(eq(3))
    );

    agent.receive(1, config_frame(6, 4));
    expect_that!(agent.engine.status().config_version, eq(7));
    expect_that!(agent.engine.status().slots, eq(3));
    // An entry with an older version learns of the newer one, and receives it on request.
    agent.receive(2, hello(6));
    agent.receive(2, config_frame(6, 4));
    let frames = agent.take_frames(2);
    expect_true!(frames.iter().all(|frame| frame.config_version == 7));
    expect_true!(frames.iter().all(|frame| frame.config.is_none()));
    let request = v1::EntryFrame {
        config_version: 6,
        wants_config: true,
        ..v1::EntryFrame::default()
    };
    agent.receive(2, request);
    let frames = agent.take_frames(2);
    let documents = frames.iter().filter_map(|frame| frame.config.as_ref());
    expect_that!(
        documents.map(|config| config.version).collect::<Vec<_>>(),
        elements_are![eq(&7)]
    );
}

#[gtest]
fn new_service_is_announced_before_its_tasks_are_accepted() {
    let mut agent = Agent::joined();
    agent.link_entry(1, 5);
    agent.receive(
        1,
        v1::EntryFrame {
            config: Some(v1::Config {
                version: 7,
                document: inventory(2, "quote, stock"),
            }),
            ..v1::EntryFrame::default()
        },
    );
    expect_that!(agent.engine.status().services, len(eq(1)));
    expect_that!(agent.take_appends(), len(eq(1)));
    let stock = v1::Start {
        service: "stock".to_owned(),
        ..start(KEY, 0)
    };
    agent.receive(1, starts(vec![stock.clone()]));
    expect_that!(
        agent.take_refusals(1),
        elements_are![eq(&Reason::NotJoined)]
    );

    agent.handle(Event::Appended);
    expect_that!(agent.engine.status().services, len(eq(2)));
    agent.receive(1, starts(vec![stock]));
    expect_that!(agent.take_runs(), len(eq(1)));
}

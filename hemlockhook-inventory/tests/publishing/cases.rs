//! Individual cases of publishing.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use hemlockhook_inventory::{
    ConfigReader, ConfigRecord, PublishAction, PublishOutcome, Publisher, Repeater, Verdict,
};

const TUNELPOKROV: &str = include_str!("../../../inventories/tunelpokrov.yaml");

fn record(change_id: &str, base: u64) -> ConfigRecord {
    ConfigRecord {
        change_id: change_id.to_owned(),
        base,
        document: TUNELPOKROV.to_owned(),
        ..ConfigRecord::default()
    }
}

#[gtest]
fn of_two_records_with_the_same_base_the_first_is_accepted() {
    let mut reader = ConfigReader::new();
    let first = reader.on_record(1, &record("a", 0).to_bytes());
    let second = reader.on_record(2, &record("b", 0).to_bytes());
    expect_that!(first, eq(Verdict::Accepted { version: 1 }));
    expect_that!(second, eq(Verdict::Refused { in_force: 1 }));
    expect_that!(reader.outcome("b"), some(eq(second)));
    expect_that!(reader.current().map(|(version, _)| version), some(eq(1)));
}

#[gtest]
fn an_invalid_record_is_ignored() {
    let mut reader = ConfigReader::new();
    expect_that!(reader.on_record(1, b"{}"), eq(Verdict::Ignored));
    expect_that!(
        reader.on_record(2, &record("a", 0).to_bytes()),
        eq(Verdict::Accepted { version: 2 })
    );
    expect_that!(
        reader.on_record(2, &record("a", 0).to_bytes()),
        eq(Verdict::Ignored)
    );
}

#[gtest]
fn after_an_unusable_document_the_last_usable_one_stays_in_use() {
    let mut reader = ConfigReader::new();
    reader.on_record(1, &record("a", 0).to_bytes());
    let unusable = ConfigRecord {
        document: "teams: 3".to_owned(),
        ..record("b", 1)
    };
    reader.on_record(2, &unusable.to_bytes());
    expect_that!(reader.version(), eq(2));
    expect_that!(reader.current().map(|(version, _)| version), some(eq(1)));
    expect_that!(reader.problems(), not(is_empty()));
}

#[gtest]
fn publishing_fails_while_the_log_is_unreachable() {
    let mut publisher = Publisher::new(ConfigReader::new(), record("a", 0));
    publisher.on_read_failed("connection refused");
    let why = "connection refused".to_owned();
    expect_that!(
        publisher.action(),
        eq(&PublishAction::Done(PublishOutcome::NotPublished { why }))
    );
}

#[gtest]
fn a_lost_reply_is_resolved_by_reading_the_log() {
    let mut publisher = Publisher::new(ConfigReader::new(), record("a", 0));
    publisher.on_caught_up();
    let PublishAction::Append(body) = publisher.action().clone() else {
        panic!("expected the publisher to append the change");
    };
    publisher.on_append_uncertain();
    publisher.on_record(1, &body);
    publisher.on_caught_up();
    expect_that!(
        publisher.action(),
        eq(&PublishAction::Done(PublishOutcome::Accepted {
            version: 1
        }))
    );
}

#[gtest]
fn a_record_is_repeated_before_retention_drops_it() {
    let start = Instant::now();
    let seconds = Duration::from_secs;
    let mut repeater = Repeater::new(seconds(400), 0.5);
    let mut reader = ConfigReader::new();
    expect_that!(repeater.due(start, reader.repeat()), none());

    let first = record("a", 0).to_bytes();
    reader.on_record(1, &first);
    repeater.on_record(start, seconds(100), 1, &first);
    expect_that!(repeater.due(start + seconds(49), reader.repeat()), none());

    let due = start + seconds(50);
    let repeat = repeater
        .due(due, reader.repeat())
        .expect("150 s of 400 s have passed");
    expect_that!(repeat.version, some(eq(1)));
    expect_that!(repeater.due(due + seconds(1), reader.repeat()), none());
    expect_that!(
        repeater.due(due + seconds(20), reader.repeat()),
        some(anything())
    );

    expect_that!(
        reader.on_record(2, &repeat.to_bytes()),
        eq(Verdict::Repeated)
    );
    repeater.on_record(due, Duration::ZERO, 2, &repeat.to_bytes());
    expect_that!(repeater.due(due + seconds(149), reader.repeat()), none());
}

#[gtest]
fn a_version_missing_from_the_log_is_repeated_immediately() {
    let mut reader = ConfigReader::new();
    reader.adopt(4, TUNELPOKROV);
    expect_that!(reader.repeat(), none());

    reader.on_truncated(5);
    let mut repeater = Repeater::new(Duration::from_secs(400), 0.0);
    expect_that!(
        repeater.due(Instant::now(), reader.repeat()),
        some(anything())
    );
}

#[gtest]
fn a_restored_configuration_is_accepted_only_at_the_offset_read_to() {
    let restore = |change_id: &str, read_to| ConfigRecord {
        restore: true,
        read_to: Some(read_to),
        ..record(change_id, 0)
    };
    let mut reader = ConfigReader::new();
    reader.on_truncated(7);
    expect_that!(
        reader.on_record(7, &record("a", 0).to_bytes()),
        eq(Verdict::Undecided)
    );
    expect_that!(
        reader.on_record(8, &restore("b", 7).to_bytes()),
        eq(Verdict::Undecided)
    );
    let accepted = reader.on_record(9, &restore("c", 9).to_bytes());
    expect_that!(accepted, eq(Verdict::Accepted { version: 9 }));
    let late = reader.on_record(10, &restore("d", 9).to_bytes());
    expect_that!(late, eq(Verdict::Refused { in_force: 9 }));
}

#[gtest]
fn a_restored_configuration_is_not_appended_again_after_records_were_dropped() {
    let change = ConfigRecord {
        restore: true,
        ..record("a", 0)
    };
    let mut publisher = Publisher::new(ConfigReader::new(), change);
    publisher.on_truncated(2);
    publisher.on_caught_up();
    expect_that!(
        publisher.action(),
        matches_pattern!(PublishAction::Append(_))
    );

    // The record was accepted at offset 2 and dropped before the publisher could read it.
    publisher.on_append_uncertain();
    publisher.on_truncated(3);
    publisher.on_caught_up();
    let unsettled = matches_pattern!(PublishAction::Done(matches_pattern!(
        PublishOutcome::Unsettled { .. }
    )));
    expect_that!(publisher.action(), unsettled);
}

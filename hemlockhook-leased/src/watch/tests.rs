//! What followers are told of records that are deleted.

use std::collections::VecDeque;
use std::sync::Mutex;

use futures_lite::FutureExt;
use googletest::prelude::*;
use hemlockhook_dispatch::{DrainRead, Drains};

use super::*;

/// A store whose reads have fixed results, after which they wait forever.
struct FixedStore(Mutex<VecDeque<std::result::Result<RecordBatch, StoreError>>>);

impl FixedStore {
    async fn next(&self) -> std::result::Result<RecordBatch, StoreError> {
        let next = self.0.lock().expect("no thread panicked").pop_front();
        match next {
            Some(result) => result,
            None => std::future::pending().await,
        }
    }
}

impl Store for FixedStore {
    async fn read_latest(&self, _: RecordSet) -> std::result::Result<RecordBatch, StoreError> {
        self.next().await
    }

    async fn read_since(
        &self,
        _: RecordSet,
        _: Position,
        _: Duration,
    ) -> std::result::Result<RecordBatch, StoreError> {
        self.next().await
    }

    async fn put(&self, _: RecordSet, _: &str, _: Bytes) -> std::result::Result<(), StoreError> {
        Ok(())
    }
}

fn batch(next: Position, items: &[(&str, &str)]) -> RecordBatch {
    let item = |(key, value): &(&str, &str)| ((*key).to_owned(), Bytes::from(value.to_string()));
    RecordBatch {
        items: items.iter().map(item).collect(),
        malformed: 0,
        next,
        is_complete: true,
    }
}

/// Returns the drained data centers after each read, with the position.
fn drains_after(
    reads: impl IntoIterator<Item = std::result::Result<RecordBatch, StoreError>>,
) -> Vec<(u64, String)> {
    let store = FixedStore(Mutex::new(reads.into_iter().collect()));
    let mut drains = Drains::default();
    let mut seen = Vec::new();
    let on_read = |read: ReadRecords<'_>| {
        let record = |(key, value): &(String, Bytes)| (key.as_str().into(), !value.is_empty());
        drains.read(&DrainRead {
            next: read.next,
            lists_all_keys: read.lists_all_keys,
            records: read.items.iter().map(record).collect(),
        });
        let names: Vec<_> = drains.data_centers.iter().map(|name| &**name).collect();
        seen.push((drains.position, names.join(" ")));
    };
    let policy = FollowPolicy {
        wait: Duration::ZERO,
        pause: Duration::ZERO,
    };
    let follow = follow(&store, RecordSet::Operators, policy, on_read, |_, _| true);
    // All reads that do not wait forever take a few pauses after failures at most.
    let expire = async { _ = Timer::after(Duration::from_millis(500)).await };
    async_io::block_on(follow.or(expire));
    seen
}

/// Guards against a drain that never ends: its record was deleted, and no record of the deletion is
/// left to be read.
#[gtest]
fn a_key_that_is_missing_from_the_latest_records_is_deleted() {
    let seen = drains_after([
        Ok(batch(4, &[("east", "{}"), ("west", "{}")])),
        Ok(batch(5, &[("west", "")])),
        // Nothing was written; what was read before stays.
        Ok(batch(5, &[])),
        Err(StoreError::Deleted),
        Ok(batch(9, &[("north", "{}")])),
    ]);
    let expected = [(4, "east west"), (5, "east"), (5, "east"), (9, "north")];
    expect_that!(
        seen,
        eq(&expected.map(|(at, names)| (at, names.to_owned())))
    );
}

/// Guards against a drain that ends by itself: a read of some records says nothing of the others, and
/// a record that can't be decoded may be that of the drain.
#[gtest]
fn records_that_a_read_may_have_missed_are_not_deleted() {
    let malformed = RecordBatch {
        malformed: 1,
        ..batch(9, &[])
    };
    let seen = drains_after([
        Ok(batch(4, &[("east", "{}")])),
        Err(StoreError::Refused(503)),
        Err(StoreError::Deleted),
        Ok(malformed),
    ]);
    let expected = [(4, "east"), (9, "east")];
    expect_that!(
        seen,
        eq(&expected.map(|(at, names)| (at, names.to_owned())))
    );
}

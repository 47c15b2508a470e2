//! Tests of the text form of ballots and stamp tables.

use googletest::prelude::*;
use hemlockhook_types::{Ballot, SHARD_COUNT, StampTable};

#[gtest]
fn ballot_round_trips_through_text() {
    let ballot = Ballot {
        counter: 17,
        owner: u64::MAX,
    };
    expect_that!(ballot.to_string().parse::<Ballot>(), ok(eq(ballot)));
    expect_that!("17".parse::<Ballot>(), err(anything()));
    expect_that!("x-1".parse::<Ballot>(), err(anything()));
}

#[gtest]
fn stamp_table_round_trips_through_text() {
    let mut table = StampTable::default();
    for shard in 0..SHARD_COUNT {
        table.insert(
            shard,
            Ballot {
                counter: 3,
                owner: u64::from(shard % 3) + 1,
            },
        );
    }
    expect_that!(table.to_string().parse::<StampTable>(), ok(eq(&table)));
    expect_that!("".parse::<StampTable>(), ok(eq(&StampTable::default())));
    expect_that!("3-1".parse::<StampTable>(), err(anything()));
}

#[gtest]
fn ballots_are_ordered_by_counter_then_owner() {
    let low = Ballot {
        counter: 1,
        owner: 9,
    };
    let high = Ballot {
        counter: 2,
        owner: 1,
    };
    expect_that!(low, lt(high));
    expect_that!(
        Ballot {
            counter: 2,
            owner: 2
        },
        gt(high)
    );
}

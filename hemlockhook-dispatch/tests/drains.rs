//! Agreement of processes about the drained data centers.

use googletest::prelude::*;
use hemlockhook_dispatch::{DrainRead, Drains};

fn drains(position: u64, names: &[&str]) -> Drains {
    Drains {
        position,
        data_centers: names.iter().map(|&name| name.into()).collect(),
    }
}

fn read(next: u64, lists_all_keys: bool, records: &[(&str, bool)]) -> DrainRead {
    let record = |&(name, is_drained): &(&str, bool)| (name.into(), is_drained);
    DrainRead {
        next,
        lists_all_keys,
        records: records.iter().map(record).collect(),
    }
}

/// Guards against tasks that a stale entry starts: an agent is linked with one that has read the drain
/// and one that has not, whose frames come in any order.
#[gtest]
fn a_stale_process_does_not_revert_what_a_fresh_one_knows() {
    let (stale, fresh) = (drains(3, &[]), drains(7, &["east"]));
    let mut agent = Drains::default();
    expect_that!(agent.merge(&stale), eq(false));
    expect_that!(agent.merge(&fresh), eq(true));
    expect_that!(agent.merge(&stale), eq(false));
    expect_that!(agent, eq(&fresh));

    // The stale entry learns of it from the agent, and of the end when it reads again.
    let mut entry = stale;
    expect_that!(entry.merge(&agent), eq(true));
    expect_that!(entry.merge(&drains(9, &[])), eq(true));
    expect_that!(entry.merge(&agent), eq(false));
    expect_that!(entry, eq(&drains(9, &[])));
}

/// Guards against a drain that is lost with the processes that knew of it while the store is away.
#[gtest]
fn a_process_that_starts_without_the_store_takes_what_it_is_told() {
    let known = drains(7, &["east"]);
    let mut restarted = Drains::default();
    expect_that!(restarted.merge(&known), eq(true));
    // It tells others in turn, such as the next one that starts.
    let mut other = Drains::default();
    expect_that!(other.merge(&restarted), eq(true));
    expect_that!(other.contains("east"), eq(true));
}

/// Guards against a second drain that replaces the first one, or ends with it.
#[gtest]
fn each_drain_ends_by_its_own_record() {
    let mut records = Drains::default();
    let steps = [
        read(2, true, &[("east", true)]),
        read(3, false, &[("west", true)]),
        read(4, false, &[("east", true)]),
        read(5, false, &[("east", false)]),
        read(7, false, &[("west", false), ("west", true)]),
        read(9, true, &[]),
    ];
    let mut seen = Vec::new();
    for step in &steps {
        records.read(step);
        seen.push(records.clone());
    }
    expect_that!(
        seen,
        elements_are![
            eq(&drains(2, &["east"])),
            eq(&drains(3, &["east", "west"])),
            eq(&drains(4, &["east", "west"])),
            eq(&drains(5, &["west"])),
            eq(&drains(7, &["west"])),
            eq(&drains(9, &[])),
        ]
    );
    let changes: Vec<_> = seen[3].changes_from(&seen[0]).collect();
    expect_that!(
        changes,
        elements_are![eq(&("east", false)), eq(&("west", true))]
    );
}

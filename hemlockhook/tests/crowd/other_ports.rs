//! Crowds at several processes at once, and crowds whose requests are whole.

use googletest::prelude::*;

use crate::clients::{Sending, open_heads, send_all, send_whole};
use crate::deployment::Deployment;
use crate::{
    ANNOUNCEMENT_BYTES, CLIENTS, DESCRIPTORS, ENTRY_MEMORY_KIB, JOB_BYTES, LIMITS, check_crowd,
    one_at_a_time,
};

/// Guards against limits that hold only while one of the entries is crowded.
#[gtest]
fn ordinary_jobs_are_answered_after_crowds_at_all_entries_at_once() {
    let _lock = one_at_a_time();
    let mut deployment = Deployment::start_limited("all-entries", 2, 1, LIMITS);
    let mut crowds = Vec::new();
    for [callers, ready, ..] in deployment.entry_addresses.clone() {
        crowds.push(send_all(callers, CLIENTS / 2, JOB_BYTES, Sending::Whole));
        crowds.push(open_heads(ready, CLIENTS / 2));
    }
    for entry in &deployment.entries {
        expect_that!(entry.descriptors(), le(DESCRIPTORS));
        expect_that!(entry.peak_memory_kib(), le(ENTRY_MEMORY_KIB));
    }
    drop(crowds);
    for entry in 0..deployment.entries.len() {
        deployment.wait_for(|deployment| {
            let id = format!("after-{entry}");
            deployment.submit(entry, &id, 2, 20) == Some(200)
        });
        expect_true!(deployment.entries[entry].is_alive());
    }
}

/// Guards against whole announcements, which are decoded, costing an agent more than unfinished ones.
#[gtest]
fn whole_announcements_of_others_stay_within_memory() {
    check_crowd("announcements-complete", |deployment| {
        let [announcements, _] = deployment.agent_addresses[0];
        send_whole(announcements, CLIENTS, ANNOUNCEMENT_BYTES)
    });
}

//! The demand that an entry tells agents.

use std::time::Duration;

use googletest::prelude::*;
use hemlockhook_dispatch::Outcome;
use hemlockhook_dispatch::entry::DispatchPolicy;

use crate::fixture::{Fixture, job, queue_config};

/// Interval at which jobs are offered.
const INTERVAL_MS: u64 = 20;

/// An entry that sends its demand to four agents.
struct Entry {
    fixture: Fixture,
    submitted: usize,
    refused: usize,
    /// Whether placed tasks are done at once; otherwise they don't end.
    ends_tasks: bool,
    /// Demands that were sent to the first agent.
    sent: Vec<u32>,
}

impl Entry {
    fn new(cores: u64, pace: f64) -> Self {
        let policy = DispatchPolicy {
            sends_demand: true,
            ..DispatchPolicy::default()
        };
        Self {
            fixture: Fixture::with_policy(policy, &[pace; 4], cores),
            submitted: 0,
            refused: 0,
            ends_tasks: true,
            sent: Vec::new(),
        }
    }

    /// Offers 5 cores of work, or none.
    fn offer(&mut self, millis: u64, is_offered: bool) {
        for _ in 0..millis / INTERVAL_MS {
            self.fixture.now += Duration::from_millis(INTERVAL_MS);
            self.fixture.report_all();
            if is_offered {
                self.submitted += 1;
                let job = job(&format!("job-{}", self.submitted), 2, 50);
                let submitted = self.fixture.submit(job, &queue_config(0));
                self.refused += usize::from(submitted.is_err());
            }
            for order in self.fixture.orders() {
                if self.ends_tasks {
                    self.fixture.end(&order, Outcome::Done);
                }
            }
            let now = self.fixture.now;
            self.fixture.dispatcher.tick(now);
            let sent = self.fixture.dispatcher.take_demand(self.fixture.agents[0]);
            self.sent.extend(sent);
        }
    }

    fn offer_with_delay(&mut self, millis: u64, delay_ms: u64) {
        const MEASURE_MS: u64 = 240;
        for _ in 0..millis / MEASURE_MS {
            self.offer(MEASURE_MS, true);
            let delay = Duration::from_millis(delay_ms);
            let now = self.fixture.now;
            self.fixture.dispatcher.measured_delay(now, delay);
        }
    }

    fn last(&self) -> u32 {
        self.sent.last().copied().unwrap_or_default()
    }
}

/// Guards against a field that an entry without the setting sends.
#[gtest]
fn no_demand_is_sent_without_the_setting() {
    let mut entry = Entry::new(20, 1.0);
    entry.fixture = Fixture::new(&[1.0; 4], 20);
    entry.offer(3000, true);
    expect_that!(entry.sent, is_empty());
}

/// Guards against the cost of a demand in each frame, and against one that is sent before it is known.
#[gtest]
fn the_demand_for_each_agent_is_sent_when_it_has_changed() {
    let mut entry = Entry::new(20, 1.0);
    entry.offer(480, true);
    expect_that!(entry.sent, is_empty());
    entry.offer(3500, true);
    expect_that!(entry.last(), all!(ge(1050), le(1350)));
    expect_that!(entry.sent.len(), le(6));
    // Callers that leave take their demand along.
    entry.offer(1200, false);
    expect_that!(entry.last(), le(130));
    entry
        .fixture
        .dispatcher
        .unlinked(entry.fixture.now, entry.fixture.agents[3]);
    entry.offer(3500, true);
    expect_that!(entry.last(), all!(ge(1450), le(1800)));
}

/// Guards against an entry that refuses most of its callers and therefore gets a small share.
#[gtest]
fn refused_jobs_count() {
    let mut entry = Entry::new(1, 50.0);
    entry.ends_tasks = false;
    entry.offer(4000, true);
    expect_that!(entry.refused, ge(150));
    expect_that!(entry.last(), all!(ge(1050), le(1350)));
}

/// Guards against a small entry whose callers ask for more than its processor can carry, and which
/// keeps capacity from others.
#[gtest]
fn the_demand_is_capped_while_requests_wait_for_the_processor() {
    let mut entry = Entry::new(20, 1.0);
    entry.offer_with_delay(4000, 5);
    let before = entry.last();
    entry.offer_with_delay(2000, 200);
    expect_that!(entry.last(), all!(ge(before / 2), le(before * 9 / 10)));
    entry.offer_with_delay(4000, 5);
    expect_that!(entry.last(), ge(before * 9 / 10));
}

//! Claims of entries to jobs.

use std::time::Duration;

use googletest::prelude::*;
use hemlockhook_dispatch::agent::LinkId;
use hemlockhook_dispatch::{Claim, ClaimChange, ClaimStatus};

use crate::fixture::{Agent, ENTRY, LINK};

/// Link of a second entry.
const OTHER_LINK: LinkId = 50;

/// Time for which claims are held.
const HOLD: Duration = Duration::from_secs(5);

/// Creates an agent with two linked entries.
fn agent() -> Agent {
    let mut agent = Agent::new();
    let now = agent.now;
    agent
        .supervisor
        .linked(now, OTHER_LINK, ENTRY + 1, None, now, 1);
    agent.collect();
    agent
}

fn claim(agent: &mut Agent, link: LinkId, number: u64) {
    change(agent, link, number, ClaimChange::Made { hold: HOLD });
}

fn change(agent: &mut Agent, link: LinkId, number: u64, change: ClaimChange) {
    let claim = Claim {
        job: "a".into(),
        number,
        change,
    };
    agent.supervisor.claim_changed(agent.now, link, claim);
    agent.collect();
}

/// Takes the answers since the last call, as links, numbers of claims and states.
fn answers(agent: &mut Agent) -> Vec<(LinkId, u64, ClaimStatus)> {
    std::mem::take(&mut agent.claims)
}

#[gtest]
fn a_second_claim_waits_for_the_release_of_the_first() {
    let mut agent = agent();
    claim(&mut agent, LINK, 1);
    expect_that!(
        answers(&mut agent),
        eq(&vec![(LINK, 1, ClaimStatus::Granted)])
    );
    claim(&mut agent, OTHER_LINK, 9);
    let told = vec![
        (LINK, 1, ClaimStatus::Contested),
        (OTHER_LINK, 9, ClaimStatus::Waiting),
    ];
    expect_that!(answers(&mut agent), eq(&told));
    change(&mut agent, LINK, 1, ClaimChange::Released);
    expect_that!(
        answers(&mut agent),
        eq(&vec![(OTHER_LINK, 9, ClaimStatus::Granted)])
    );
}

#[gtest]
fn a_release_of_another_claim_changes_nothing() {
    let mut agent = agent();
    claim(&mut agent, LINK, 2);
    claim(&mut agent, OTHER_LINK, 9);
    answers(&mut agent);
    change(&mut agent, LINK, 1, ClaimChange::Released);
    change(&mut agent, OTHER_LINK, 8, ClaimChange::Released);
    change(&mut agent, OTHER_LINK + 1, 9, ClaimChange::Released);
    expect_that!(answers(&mut agent), is_empty());
}

#[gtest]
fn a_job_that_is_claimed_anew_is_reported_as_contested_again() {
    let mut agent = agent();
    claim(&mut agent, LINK, 1);
    claim(&mut agent, OTHER_LINK, 9);
    answers(&mut agent);
    claim(&mut agent, LINK, 2);
    let told = vec![
        (LINK, 2, ClaimStatus::Granted),
        (LINK, 2, ClaimStatus::Contested),
    ];
    expect_that!(answers(&mut agent), eq(&told));
}

/// Guards against a claim that nobody releases: its entry has no job, and was not told of the one that waits.
#[gtest]
fn a_contested_claim_is_told_again_on_a_new_link() {
    let mut agent = agent();
    claim(&mut agent, LINK, 1);
    agent.supervisor.unlinked(agent.now, LINK);
    claim(&mut agent, OTHER_LINK, 9);
    answers(&mut agent);
    let now = agent.now;
    agent.supervisor.linked(now, LINK + 1, ENTRY, None, now, 0);
    agent.collect();
    expect_that!(
        answers(&mut agent),
        eq(&vec![(LINK + 1, 1, ClaimStatus::Contested)])
    );
}

#[gtest]
fn the_claim_of_an_entry_whose_link_has_ended_ends_with_its_runs() {
    let mut agent = agent();
    claim(&mut agent, LINK, 1);
    agent.supervisor.unlinked(agent.now, LINK);
    claim(&mut agent, OTHER_LINK, 9);
    answers(&mut agent);
    agent.advance(1100);
    expect_that!(answers(&mut agent), is_empty());
    agent.advance(100);
    expect_that!(
        answers(&mut agent),
        eq(&vec![(OTHER_LINK, 9, ClaimStatus::Granted)])
    );
}

#[gtest]
fn the_claim_of_an_entry_that_is_silent_ends_with_its_runs() {
    let mut agent = agent();
    claim(&mut agent, LINK, 1);
    agent.advance(3000);
    claim(&mut agent, OTHER_LINK, 9);
    answers(&mut agent);
    // Its sign of life is asked for only now.
    agent.advance(1100);
    expect_that!(answers(&mut agent), is_empty());
    agent.advance(100);
    let told = vec![
        (LINK, 1, ClaimStatus::Waiting),
        (OTHER_LINK, 9, ClaimStatus::Granted),
        (OTHER_LINK, 9, ClaimStatus::Contested),
    ];
    expect_that!(answers(&mut agent), eq(&told));
}

#[gtest]
fn a_claim_ends_with_its_time() {
    let mut agent = agent();
    claim(&mut agent, LINK, 1);
    agent.advance(HOLD.as_millis() as u64 + 2000);
    answers(&mut agent);
    claim(&mut agent, OTHER_LINK, 9);
    expect_that!(
        answers(&mut agent),
        eq(&vec![(OTHER_LINK, 9, ClaimStatus::Granted)])
    );
}

/// Guards against a late copy of a cancelled job that reaches another entry, and against entries that
/// wait for the job or run it when it is cancelled.
#[gtest]
fn a_cancelled_job_is_granted_to_no_entry_until_its_time_has_passed() {
    let mut agent = agent();
    claim(&mut agent, LINK, 1);
    claim(&mut agent, OTHER_LINK, 9);
    answers(&mut agent);
    change(
        &mut agent,
        OTHER_LINK,
        9,
        ClaimChange::Cancelled { hold: HOLD },
    );
    let told = vec![(LINK, 1, ClaimStatus::Cancelled)];
    expect_that!(answers(&mut agent), eq(&told));
    // The release of the cancelled job must not make it free.
    change(&mut agent, LINK, 1, ClaimChange::Released);
    agent.advance(HOLD.as_millis() as u64 - 100);
    claim(&mut agent, LINK, 2);
    let told = vec![(LINK, 2, ClaimStatus::Cancelled)];
    expect_that!(answers(&mut agent), eq(&told));
    agent.advance(200);
    claim(&mut agent, LINK, 3);
    let told = vec![(LINK, 3, ClaimStatus::Granted)];
    expect_that!(answers(&mut agent), eq(&told));
}

/// Guards against an entry that is told of no cancellation since its link was down.
#[gtest]
fn a_claim_that_is_made_once_more_after_a_cancellation_is_answered() {
    let mut agent = agent();
    claim(&mut agent, LINK, 1);
    let now = agent.now;
    agent.supervisor.unlinked(now, LINK);
    answers(&mut agent);
    change(
        &mut agent,
        OTHER_LINK,
        9,
        ClaimChange::Cancelled { hold: HOLD },
    );
    agent.supervisor.linked(now, LINK, ENTRY, None, now, 0);
    claim(&mut agent, LINK, 1);
    let told = vec![(LINK, 1, ClaimStatus::Cancelled)];
    expect_that!(answers(&mut agent), eq(&told));
}

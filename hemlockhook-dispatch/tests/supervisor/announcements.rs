//! Announcements that another writer makes before the upstream announces itself.

use googletest::prelude::*;
use hemlockhook_dispatch::Outcome;
use hemlockhook_dispatch::agent::AnnouncementStatus;

use crate::fixture::Agent;

/// Returns whether the agent serves the upstream itself, which started at 1.
fn serves_upstream(agent: &Agent) -> bool {
    let state = agent.supervisor.state(agent.now);
    let known = agent.supervisor.upstream().map(|known| known.started_ms);
    state.is_some_and(|state| state.is_usable && &*state.service == "desk") && known == Some(1)
}

/// Guards against an agent that never serves: another writer's announcement comes first, without a
/// start time and with another service.
#[gtest]
fn an_announcement_that_matches_the_lists_replaces_one_without_a_start_time() {
    let mut agent = Agent::unannounced();
    agent.announce_service("up-1", 0, "ledger");
    agent.started_ms = 1;
    let status = agent.announce("up-1", 1, false);
    expect_that!(status, eq(AnnouncementStatus::Unverified));
    agent.answer_hold(&[], &[]);
    agent.answer_hold(&[], &[]);
    expect_that!(serves_upstream(&agent), eq(true));

    // The other writer goes on, and changes nothing.
    agent.announce_service("up-1", 0, "ledger");
    agent.started_ms = 1;
    agent.answer_hold(&[], &[]);
    expect_that!(serves_upstream(&agent), eq(true));
}

/// Guards against the same where the lists were read before the upstream announced itself, and the
/// other writer's announcements come in between.
#[gtest]
fn lists_that_were_read_before_decide_about_a_later_announcement() {
    let mut agent = Agent::unannounced();
    agent.announce_service("up-1", 0, "ledger");
    agent.started_ms = 1;
    agent.answer_hold(&[], &[]);
    agent.announce_service("up-1", 0, "ledger");
    agent.started_ms = 1;
    let status = agent.announce("up-1", 1, false);
    expect_that!(status, eq(AnnouncementStatus::Accepted));
    agent.answer_hold(&[], &[]);
    expect_that!(serves_upstream(&agent), eq(true));
}

/// Guards against an agent that never serves: the first announcement has a later start time than the
/// upstream, whose own announcements then count as outdated. What was ordered meanwhile is not given up
/// as long as it may run.
#[gtest]
fn an_announcement_that_the_lists_contradict_is_replaced_by_one_that_they_match() {
    for service in ["desk", "ledger"] {
        let mut agent = Agent::unannounced();
        agent.announce_service("up-1", 99, service);
        agent.answer_hold(&[], &[]);
        agent.order("a", 1);
        agent.started_ms = 1;
        agent.answer_hold(&[], &[]);
        let stops = agent.stops;
        let status = agent.announce("up-1", 1, false);
        expect_that!(status, eq(AnnouncementStatus::Accepted), "{service}");
        expect_that!(agent.stops, eq(stops + 1));
        expect_that!(agent.outcomes(), is_empty());
        agent.settle_stop("a");
        let expected = [("a", Outcome::Lost)];
        expect_that!(agent.outcomes(), eq(&expected));
        expect_that!(serves_upstream(&agent), eq(true), "{service}");
        expect_that!(agent.supervisor.orders().count(), eq(0));
    }
}

/// Guards against a restarted agent that begins with what another writer announced: nothing is stored
/// that the upstream's lists do not confirm.
#[gtest]
fn only_an_announcement_that_the_lists_confirm_is_stored() {
    let mut agent = Agent::unannounced();
    let stored = |agent: &Agent| {
        agent
            .supervisor
            .confirmed_upstream()
            .map(|it| it.started_ms)
    };
    agent.announce_service("up-1", 0, "ledger");
    expect_that!(stored(&agent), none());
    agent.started_ms = 1;
    agent.answer_hold(&[], &[]);
    expect_that!(stored(&agent), none());
    agent.announce("up-1", 1, false);
    agent.answer_hold(&[], &[]);
    expect_that!(stored(&agent), some(eq(1)));
}

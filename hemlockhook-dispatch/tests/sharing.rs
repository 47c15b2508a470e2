//! Which agents are sent the configuration, and when an entry requests it from one.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use hemlockhook_dispatch::entry::{AgentKey, ConfigurationSharing, ConfigurationSource};
use slotmap::SlotMap;

/// Size of the documents, in bytes.
const BYTES: usize = 256 * 1024;

/// Size of a small document, in bytes.
const SMALL_BYTES: usize = 10 * 1024;

/// Time before a version is sent to agents. It is the longest for a document of this size.
const DELAY: Duration = Duration::from_millis(1000);

/// Time within which a configuration has to be in force at the smallest of the bounds in use.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(2);

/// Time for an agent to answer a request.
const ANSWER_TIME: Duration = Duration::from_millis(200);

struct Fixture {
    now: Instant,
    sharing: ConfigurationSharing,
    /// Agents in the order of their incarnations.
    agents: Vec<AgentKey>,
}

impl Fixture {
    fn new(agents: u64) -> Self {
        let mut keys = SlotMap::<AgentKey, ()>::with_key();
        let mut sharing = ConfigurationSharing::default();
        let agents = (1..=agents)
            .map(|incarnation| {
                let key = keys.insert(());
                sharing.linked(key, incarnation);
                key
            })
            .collect();
        Self {
            now: Instant::now(),
            sharing,
            agents,
        }
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
    }

    fn change(&mut self, version: u64) {
        self.change_to(version, BYTES, ConfigurationSource::Store);
    }

    fn change_to(&mut self, version: u64, bytes: usize, source: ConfigurationSource) {
        self.sharing.changed(self.now, version, bytes, source, 1.0);
    }

    fn agent_has(&mut self, index: usize, version: u64) {
        let key = self.agents[index];
        self.sharing.agent_has(self.now, key, version);
    }

    /// Returns the indexes of the agents that are to be sent the configuration.
    fn recipients(&mut self) -> Vec<usize> {
        let keys = self.sharing.recipients(self.now);
        let index = |key| self.agents.iter().position(|&agent| agent == key);
        keys.into_iter().filter_map(index).collect()
    }

    fn request(&mut self) -> Option<usize> {
        let key = self.sharing.request(self.now)?;
        self.agents.iter().position(|&agent| agent == key)
    }
}

#[gtest]
fn three_agents_are_sent_a_version_once() {
    let mut fixture = Fixture::new(8);
    fixture.change(5);
    expect_that!(fixture.recipients(), is_empty());
    fixture.pass(DELAY);
    expect_that!(fixture.recipients(), elements_are![&0, &1, &2]);
    fixture.pass(DELAY);
    expect_that!(fixture.recipients(), is_empty());
}

#[gtest]
fn agents_that_another_entry_has_sent_a_version_are_not_sent_it() {
    let mut fixture = Fixture::new(8);
    fixture.change(5);
    for index in [0, 2] {
        fixture.agent_has(index, 5);
    }
    fixture.pass(DELAY);
    expect_that!(fixture.recipients(), elements_are![&1]);
}

#[gtest]
fn another_agent_takes_the_place_of_one_that_is_lost() {
    let mut fixture = Fixture::new(8);
    fixture.change(5);
    fixture.pass(DELAY);
    expect_that!(fixture.recipients(), len(eq(3)));
    let key = fixture.agents[1];
    fixture.sharing.unlinked(key);
    expect_that!(fixture.recipients(), elements_are![&3]);
}

/// Each of many versions in quick succession was sent, over links that were then full.
#[gtest]
fn of_many_changes_in_quick_succession_the_agents_are_sent_few() {
    let mut fixture = Fixture::new(8);
    let mut sent = 0;
    for version in 1..=100 {
        fixture.change(version);
        fixture.pass(Duration::from_millis(100));
        sent += fixture.recipients().len();
    }
    // 10 s, with one version a second, and one more at the start, at 3 agents each.
    expect_that!(sent, le(33));
    fixture.pass(Duration::from_secs(1));
    fixture.recipients();
    expect_that!(fixture.recipients(), is_empty());
}

#[gtest]
fn a_small_document_is_sent_at_once() {
    let mut fixture = Fixture::new(8);
    for version in 1..=2 {
        fixture.change_to(version, SMALL_BYTES, ConfigurationSource::Store);
        expect_that!(fixture.recipients(), len(eq(3)));
        // Longer than a small document takes at the maximum rate.
        fixture.pass(Duration::from_millis(60));
    }
}

#[gtest]
fn an_entry_without_a_configuration_requests_it_at_once() {
    let mut fixture = Fixture::new(3);
    expect_that!(fixture.request(), none());
    fixture.agent_has(2, 5);
    expect_that!(fixture.request(), some(eq(2)));
    expect_that!(fixture.request(), none());
}

#[gtest]
fn an_entry_that_reads_new_versions_itself_requests_none() {
    let mut fixture = Fixture::new(3);
    for version in 1..20 {
        fixture.change(version);
        fixture.agent_has(0, version + 1);
        fixture.pass(Duration::from_millis(700));
        expect_that!(fixture.request(), none(), "version {version}");
    }
}

#[gtest]
fn an_entry_whose_reads_fail_requests_newer_versions_in_time() {
    let mut fixture = Fixture::new(3);
    fixture.change(1);
    fixture.agent_has(1, 2);
    fixture.agent_has(2, 2);
    let published = fixture.now;
    let first = loop {
        fixture.pass(Duration::from_millis(20));
        if let Some(index) = fixture.request() {
            break index;
        }
    };
    // Another agent is asked if the first one does not answer, and there is time for its answer.
    let second = loop {
        fixture.pass(Duration::from_millis(20));
        if let Some(index) = fixture.request() {
            break index;
        }
    };
    expect_that!(second, not(eq(first)));
    expect_that!(fixture.now - published, lt(IN_FORCE_WITHIN - ANSWER_TIME));
}

/// An entry that started without the store got an old version from the first agent that linked.
#[gtest]
fn an_entry_that_got_an_old_version_from_an_agent_requests_the_latest_soon() {
    let mut fixture = Fixture::new(3);
    fixture.agent_has(0, 5);
    expect_that!(fixture.request(), some(eq(0)));
    fixture.change_to(5, SMALL_BYTES, ConfigurationSource::Agent);
    fixture.agent_has(1, 7);
    fixture.pass(Duration::from_millis(60));
    expect_that!(fixture.request(), some(eq(1)));
}

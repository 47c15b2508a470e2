//! Shares of an upstream's throughput by the demand of its entries.

use std::time::Duration;

use googletest::prelude::*;
use hemlockhook_dispatch::agent::{FrameHeader, LinkId};

use crate::fixture::{Agent, ENTRY, LINK};

/// Creates an agent with four entries that send the given demands, in thousandths of a core.
fn agent(demands: [Option<u32>; 4]) -> Agent {
    let mut agent = Agent::new();
    agent.link_others(3);
    // From then on no entry counts as new.
    pass(&mut agent, 1200, demands);
    agent
}

/// Passes time in which the entries with a demand echo what they are sent, and returns their shares in
/// thousandths.
fn pass(agent: &mut Agent, millis: u64, demands: [Option<u32>; 4]) -> [u32; 4] {
    pass_echoing(agent, millis, demands, 4)
}

fn pass_echoing(
    agent: &mut Agent,
    millis: u64,
    demands: [Option<u32>; 4],
    echoing: usize,
) -> [u32; 4] {
    for _ in 0..millis / 20 {
        agent.now += Duration::from_millis(20);
        for (index, &demand_milli) in demands.iter().enumerate().take(echoing) {
            let header = FrameHeader {
                demand_milli,
                ..agent.header(Duration::from_millis(10))
            };
            let link = LINK + index as LinkId;
            agent.supervisor.frame_received(agent.now, link, &header);
        }
        // A changed state is reported to all.
        agent.announce("up-1", 1, false);
    }
    shares(agent)
}

fn shares(agent: &Agent) -> [u32; 4] {
    let share = |index: LinkId| agent.shares.get(&(LINK + index)).copied();
    [0, 1, 2, 3].map(|index| (share(index).unwrap_or_default() * 1000.0).round() as u32)
}

/// Guards against refusals of an entry with many callers while others have spare capacity.
#[gtest]
fn the_throughput_is_divided_by_demand_with_a_least_part_for_each() {
    let demands = [Some(600), Some(300), Some(100), Some(0)];
    let mut agent = agent(demands);
    expect_that!(shares(&agent), eq([530, 290, 130, 50]));
    // The callers of the first entry move to the last one.
    let moved = [Some(0), None, None, Some(600)];
    expect_that!(pass(&mut agent, 20, moved), eq([50, 290, 130, 530]));
}

/// Guards against a changed division while an entry of the version before is linked, and without the
/// setting.
#[gtest]
fn the_throughput_is_divided_as_before_unless_all_active_entries_send_their_demand() {
    for demands in [[None; 4], [Some(600), Some(300), None, Some(0)]] {
        expect_that!(shares(&agent(demands)), eq([250; 4]));
    }
}

/// Guards against a starting entry that refuses its first jobs, and against one that changes the shares of
/// all others for its first second.
#[gtest]
fn an_entry_that_starts_has_an_even_share() {
    let demands = [Some(600), Some(300), Some(100), Some(0)];
    let mut agent = agent(demands);
    let now = agent.now;
    let link = LINK + 4;
    agent.supervisor.linked(now, link, ENTRY + 4, None, now, 4);
    expect_that!(pass(&mut agent, 20, demands), eq([424, 232, 104, 40]));
    expect_that!(agent.shares[&link], approx_eq(0.2));
}

/// Guards against capacity that is kept for an entry that is frozen, cut off or lost, and against one that
/// moves with each short cut.
#[gtest]
fn an_entry_that_is_not_heard_of_loses_its_share_with_its_owner_timeout() {
    let demands = [Some(600), Some(200), Some(200), Some(600)];
    for is_cut in [true, false] {
        let mut agent = agent(demands);
        if is_cut {
            agent.supervisor.unlinked(agent.now, LINK + 3);
        }
        let held = pass_echoing(&mut agent, 380, demands, 3);
        expect_that!(held, eq([350, 150, 150, 350]));
        let lost = pass_echoing(&mut agent, 60, demands, 3);
        expect_that!(lost[..3], eq([547, 227, 227]));
    }
}

//! Tests of single faults, which check the answers that callers get.

use googletest::prelude::*;
use hemlockhook_ownership::Rules;

use super::World;
use super::steps::{Outcome, Step};

/// Submits a new job to the owner of its shard. In the shard of entry 0, jobs 0, 4 and 8 are of the
/// service `quote` and jobs 2 and 6 of `hold`, which only agent 0 runs.
const SUBMIT_NEW: Step = Step::SubmitNew {
    stamp: 1,
    tasks: 2,
    entry: 3,
};

const TAKE_OVER: Step = Step::TakeOver {
    entry: 2,
    shards: 1,
};

fn resubmit(job: usize) -> Step {
    Step::Resubmit { job, entry: 2 }
}

fn run_steps(world: &mut World, steps: &[Step]) {
    steps.iter().for_each(|step| world.step(step));
}

/// Returns a world in which entry 0 has answered job 0, has run one of the two tasks of job 2, and
/// has queued job 4.
fn world_with_jobs() -> World {
    let mut world = World::new(Rules::default());
    let dispatch = Step::Dispatch {
        entry: 0,
        task: 0,
        agent: 0,
    };
    let steps = [
        Step::Advance(10),
        SUBMIT_NEW,
        SUBMIT_NEW,
        Step::RunQueued(0),
        SUBMIT_NEW,
        dispatch,
    ];
    run_steps(&mut world, &steps);
    run_steps(&mut world, &[Step::DeliverAll, SUBMIT_NEW, SUBMIT_NEW]);
    world
}

#[gtest]
fn the_crash_of_an_entry_leaves_no_outcome_unknown() {
    let mut world = world_with_jobs();
    run_steps(
        &mut world,
        &[Step::KillEntry(0, false), TAKE_OVER, Step::DeliverAll],
    );
    run_steps(&mut world, &[resubmit(0), resubmit(2), resubmit(4)]);
    run_steps(&mut world, &[Step::RunQueued(2), Step::DeliverAll]);
    insta::assert_debug_snapshot!(world.answer_counts);
}

#[gtest]
fn a_planned_handover_leaves_no_outcome_unknown() {
    let mut world = world_with_jobs();
    let release = Step::Release { entry: 0, shard: 0 };
    run_steps(&mut world, &[release, TAKE_OVER, Step::DeliverAll]);
    run_steps(&mut world, &[resubmit(0), resubmit(2), resubmit(4)]);
    run_steps(&mut world, &[Step::RunQueued(2), Step::DeliverAll]);
    insta::assert_debug_snapshot!(world.answer_counts);
}

#[gtest]
fn a_lost_agent_concerns_only_jobs_of_its_services() {
    let mut world = world_with_jobs();
    let kill = [
        Step::KillEntry(0, false),
        Step::KillAgent(1, false),
        TAKE_OVER,
    ];
    run_steps(&mut world, &kill);
    run_steps(&mut world, &[Step::DeliverAll, Step::Advance(600)]);
    run_steps(&mut world, &[resubmit(0), resubmit(2), resubmit(4)]);
    run_steps(&mut world, &[Step::RunQueued(2), Step::DeliverAll]);
    insta::assert_debug_snapshot!(world.answer_counts);
}

#[gtest]
fn a_custodian_reports_for_an_agent_that_left() {
    let mut world = World::new(Rules::default());
    let leave = Step::Leave {
        agent: 0,
        custodian: Some(1),
    };
    run_steps(
        &mut world,
        &[Step::Advance(10), SUBMIT_NEW, Step::RunQueued(0), leave],
    );
    let kill = [Step::DeliverAll, Step::KillAgent(0, false)];
    run_steps(&mut world, &kill);
    run_steps(
        &mut world,
        &[Step::KillEntry(0, false), TAKE_OVER, Step::DeliverAll],
    );
    run_steps(&mut world, &[Step::Advance(600), resubmit(0)]);
    insta::assert_debug_snapshot!(world.answer_counts);
}

#[gtest]
fn fresh_jobs_run_while_the_log_is_down() {
    let mut world = world_with_jobs();
    let steps = [
        Step::SetLogUp(false),
        Step::KillEntry(0, false),
        TAKE_OVER,
        Step::DeliverAll,
    ];
    run_steps(&mut world, &steps);
    run_steps(
        &mut world,
        &[Step::Advance(600), resubmit(4), SUBMIT_NEW, SUBMIT_NEW],
    );
    run_steps(&mut world, &[Step::RunQueued(2), Step::DeliverAll]);
    let during = world.answer_counts.clone();

    run_steps(
        &mut world,
        &[Step::SetLogUp(true), Step::Advance(1500), Step::DeliverAll],
    );
    run_steps(
        &mut world,
        &[resubmit(4), Step::RunQueued(2), Step::DeliverAll],
    );
    insta::assert_debug_snapshot!((during, world.answer_counts));
}

#[gtest]
fn a_lost_reply_of_the_log_is_settled_by_reading() {
    let mut world = World::new(Rules::default());
    run_steps(&mut world, &[Step::KillEntry(0, false), TAKE_OVER]);
    let append = Step::Append {
        append: 0,
        outcome: Outcome::ReplyLost,
    };
    run_steps(&mut world, &[append, Step::ReadEntry(2)]);
    for direction in [0, 0, 0, 0, 0, 0] {
        let count = 1;
        run_steps(&mut world, &[Step::Deliver { direction, count }]);
    }
    let complete = world.entries[2].owner.is_account_complete(world.now, 0);
    expect_that!(complete, eq(true));
}

#[gtest]
fn contended_takeovers_resolve() {
    let mut world = world_with_jobs();
    let rival = Step::TakeOver {
        entry: 1,
        shards: 1,
    };
    run_steps(&mut world, &[Step::SetLogUp(false), TAKE_OVER, rival]);
    for direction in 0..12 {
        let count = 1;
        run_steps(&mut world, &[Step::Deliver { direction, count }]);
    }
    run_steps(&mut world, &[Step::Advance(3000), Step::DeliverAll]);
    world.heal();
}

#[gtest]
fn what_was_answered_as_unknown_stays_unknown() {
    let mut world = world_with_jobs();
    let steps = [
        Step::SetLogUp(false),
        Step::KillEntry(0, false),
        TAKE_OVER,
        Step::DeliverAll,
    ];
    run_steps(&mut world, &steps);
    run_steps(
        &mut world,
        &[Step::Advance(600), resubmit(4), Step::DeliverAll],
    );
    run_steps(
        &mut world,
        &[Step::SetLogUp(true), Step::KillEntry(2, true)],
    );
    run_steps(
        &mut world,
        &[
            Step::Advance(600),
            Step::DeliverAll,
            TAKE_OVER,
            Step::DeliverAll,
        ],
    );
    run_steps(
        &mut world,
        &[Step::Advance(600), resubmit(4), Step::RunQueued(2)],
    );
    insta::assert_debug_snapshot!(world.answer_counts);
}

#[gtest]
fn a_submission_waits_for_an_agent_that_reports_late() {
    let mut world = world_with_jobs();
    let break_link = Step::BreakLink {
        entry: 2,
        agent: 1,
        noticed: true,
    };
    let connect = Step::Connect { entry: 2, agent: 1 };
    let steps = [
        Step::KillEntry(0, false),
        break_link,
        TAKE_OVER,
        Step::DeliverAll,
    ];
    run_steps(&mut world, &steps);
    run_steps(&mut world, &[Step::Advance(300), resubmit(4), connect]);
    run_steps(
        &mut world,
        &[Step::DeliverAll, Step::RunQueued(2), Step::DeliverAll],
    );
    insta::assert_debug_snapshot!(world.answer_counts);
}

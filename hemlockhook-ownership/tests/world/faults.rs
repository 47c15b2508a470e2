//! Single faults, with what callers are told.

use googletest::prelude::*;
use hemlockhook_ownership::Rules;

use super::World;
use super::steps::{Outcome, Step};

/// Makes a job at the owner of its shard. Jobs 0, 4 and 8 are quotes and jobs 2 and 6 are holds of
/// the shard of entry 0; only agent 0 serves holds.
const MAKE: Step = Step::Make {
    stamp: 1,
    tasks: 2,
    entry: 3,
};

const TAKE: Step = Step::Take {
    entry: 2,
    shards: 1,
};

fn resubmit(job: usize) -> Step {
    Step::Resubmit { job, entry: 2 }
}

fn run(world: &mut World, steps: &[Step]) {
    steps.iter().for_each(|step| world.step(step));
}

/// Returns a world where of entry 0's jobs one (0) was answered, one (2) is half run and one (4) is
/// queued.
fn busy() -> World {
    let mut world = World::new(Rules::default());
    let dispatch = Step::Dispatch {
        entry: 0,
        task: 0,
        agent: 0,
    };
    let steps = [Step::Advance(10), MAKE, MAKE, Step::Work(0), MAKE, dispatch];
    run(&mut world, &steps);
    run(&mut world, &[Step::Calm, MAKE, MAKE]);
    world
}

#[gtest]
fn the_crash_of_an_entry_leaves_no_outcome_unknown() {
    let mut world = busy();
    run(&mut world, &[Step::KillEntry(0, false), TAKE, Step::Calm]);
    run(&mut world, &[resubmit(0), resubmit(2), resubmit(4)]);
    run(&mut world, &[Step::Work(2), Step::Calm]);
    insta::assert_debug_snapshot!(world.answers);
}

#[gtest]
fn a_planned_hand_over_leaves_no_outcome_unknown() {
    let mut world = busy();
    let release = Step::Release { entry: 0, shard: 0 };
    run(&mut world, &[release, TAKE, Step::Calm]);
    run(&mut world, &[resubmit(0), resubmit(2), resubmit(4)]);
    run(&mut world, &[Step::Work(2), Step::Calm]);
    insta::assert_debug_snapshot!(world.answers);
}

#[gtest]
fn a_lost_agent_concerns_only_jobs_of_its_services() {
    let mut world = busy();
    let kill = [Step::KillEntry(0, false), Step::KillAgent(1, false), TAKE];
    run(&mut world, &kill);
    run(&mut world, &[Step::Calm, Step::Advance(600)]);
    run(&mut world, &[resubmit(0), resubmit(2), resubmit(4)]);
    run(&mut world, &[Step::Work(2), Step::Calm]);
    insta::assert_debug_snapshot!(world.answers);
}

#[gtest]
fn a_custodian_stands_for_an_agent_that_left() {
    let mut world = World::new(Rules::default());
    let leave = Step::Leave {
        agent: 0,
        custodian: Some(1),
    };
    run(&mut world, &[Step::Advance(10), MAKE, Step::Work(0), leave]);
    let kill = [Step::Calm, Step::KillAgent(0, false)];
    run(&mut world, &kill);
    run(&mut world, &[Step::KillEntry(0, false), TAKE, Step::Calm]);
    run(&mut world, &[Step::Advance(600), resubmit(0)]);
    insta::assert_debug_snapshot!(world.answers);
}

#[gtest]
fn fresh_jobs_run_while_the_log_is_down() {
    let mut world = busy();
    let steps = [
        Step::Log(false),
        Step::KillEntry(0, false),
        TAKE,
        Step::Calm,
    ];
    run(&mut world, &steps);
    run(&mut world, &[Step::Advance(600), resubmit(4), MAKE, MAKE]);
    run(&mut world, &[Step::Work(2), Step::Calm]);
    let during = world.answers.clone();

    run(
        &mut world,
        &[Step::Log(true), Step::Advance(1500), Step::Calm],
    );
    run(&mut world, &[resubmit(4), Step::Work(2), Step::Calm]);
    insta::assert_debug_snapshot!((during, world.answers));
}

#[gtest]
fn a_lost_reply_of_the_log_is_settled_by_reading() {
    let mut world = World::new(Rules::default());
    run(&mut world, &[Step::KillEntry(0, false), TAKE]);
    let append = Step::Append {
        append: 0,
        outcome: Outcome::ReplyLost,
    };
    run(&mut world, &[append, Step::ReadEntry(2)]);
    for message in [0, 0, 0, 0, 0, 0] {
        let count = 1;
        run(&mut world, &[Step::Deliver { message, count }]);
    }
    let complete = world.entries[2].owner.is_account_complete(world.now, 0);
    expect_that!(complete, eq(true));
}

#[gtest]
fn contenders_settle() {
    let mut world = busy();
    let rival = Step::Take {
        entry: 1,
        shards: 1,
    };
    run(&mut world, &[Step::Log(false), TAKE, rival]);
    for message in 0..12 {
        let count = 1;
        run(&mut world, &[Step::Deliver { message, count }]);
    }
    run(&mut world, &[Step::Advance(3000), Step::Calm]);
    world.heal();
}

#[gtest]
fn what_was_answered_as_unknown_stays_unknown() {
    let mut world = busy();
    let steps = [
        Step::Log(false),
        Step::KillEntry(0, false),
        TAKE,
        Step::Calm,
    ];
    run(&mut world, &steps);
    run(&mut world, &[Step::Advance(600), resubmit(4), Step::Calm]);
    run(&mut world, &[Step::Log(true), Step::KillEntry(2, true)]);
    run(
        &mut world,
        &[Step::Advance(600), Step::Calm, TAKE, Step::Calm],
    );
    run(
        &mut world,
        &[Step::Advance(600), resubmit(4), Step::Work(2)],
    );
    insta::assert_debug_snapshot!(world.answers);
}

#[gtest]
fn a_submission_waits_for_an_agent_that_reports_late() {
    let mut world = busy();
    let cut = Step::Break {
        entry: 2,
        agent: 1,
        noticed: true,
    };
    let connect = Step::Connect { entry: 2, agent: 1 };
    let steps = [Step::KillEntry(0, false), cut, TAKE, Step::Calm];
    run(&mut world, &steps);
    run(&mut world, &[Step::Advance(300), resubmit(4), connect]);
    run(&mut world, &[Step::Calm, Step::Work(2), Step::Calm]);
    insta::assert_debug_snapshot!(world.answers);
}

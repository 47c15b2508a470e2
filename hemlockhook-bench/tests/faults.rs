//! Replays with faults, against their stated outcomes.

use googletest::prelude::*;
use hemlockhook_bench::faults::{Scenario, run_scenario};
use hemlockhook_bench::replay::{Scheduler, replay};
use hemlockhook_bench::trace::{DeploymentName, Trace};

const SEED: u64 = 1;

fn check(scenario: Scenario) {
    let result = run_scenario(scenario, SEED);
    assert_that!(
        result.passed,
        is_true(),
        "{}: {}",
        result.expected,
        result.measured
    );
}

#[gtest]
fn upstream_that_fails_everything_is_given_little() {
    check(Scenario::FailsEverything);
}

#[gtest]
fn upstream_at_a_tenth_of_its_speed_is_given_little() {
    check(Scenario::TenthOfSpeed);
}

#[gtest]
fn lost_rack_fails_only_what_ran_there() {
    check(Scenario::RackLost);
}

/// On this seed an agent of the rack has a time set at which it looks at its grants again.
#[gtest]
fn lost_agents_say_nothing_more() {
    let result = run_scenario(Scenario::RackLost, 4);
    expect_that!(result.passed, is_true(), "{}", result.measured);
}

#[gtest]
fn wrong_declarations_cost_little() {
    check(Scenario::DeclaredWrong);
}

#[gtest]
fn cancellation_wave_leaves_no_residue() {
    check(Scenario::CancellationWave);
}

#[gtest]
fn burst_of_one_team_leaves_the_others_their_part() {
    check(Scenario::TeamBurst);
}

#[gtest]
fn same_trace_gives_the_same_outcome() {
    let trace = Trace::generate(DeploymentName::Asante, SEED, 20_000_000);
    let run = || replay(&trace, Scheduler::System(Box::default()));
    let (first, second) = (run(), run());
    expect_that!(first.jobs, eq(&second.jobs));
    expect_that!(first.messages, eq(second.messages));
}

#[gtest]
fn written_trace_reads_the_same() -> googletest::Result<()> {
    let trace = Trace::generate(DeploymentName::Tunelpokrov, SEED, 2_000_000);
    let path = std::env::temp_dir().join(format!("hemlockhook-trace-{}.jsonl", std::process::id()));
    trace.write(&path).or_fail()?;
    let read = Trace::read(&path);
    std::fs::remove_file(&path).or_fail()?;
    verify_that!(read.or_fail()?, eq(&trace))
}

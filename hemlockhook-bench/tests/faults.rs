//! Replays with injected faults, checked against their stated limits.

use googletest::prelude::*;
use hemlockhook_bench::faults::{Scenario, run_scenario};
use hemlockhook_bench::replay::{Scheduler, replay};
use hemlockhook_bench::trace::{DeploymentName, Trace};

const SEED: u64 = 1;

fn assert_passes(scenario: Scenario) {
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
fn upstream_that_fails_everything_gets_few_tasks() {
    assert_passes(Scenario::FailsEverything);
}

#[gtest]
fn upstream_at_a_tenth_of_its_speed_gets_few_tasks() {
    assert_passes(Scenario::TenthOfSpeed);
}

#[gtest]
fn lost_rack_fails_only_jobs_that_ran_there() {
    assert_passes(Scenario::RackLost);
}

/// With seed 4 an agent of the rack has a wakeup scheduled when it is lost. The wakeup must not make
/// the lost agent send its grants.
#[gtest]
fn lost_agents_send_no_messages() {
    let result = run_scenario(Scenario::RackLost, 4);
    expect_that!(result.passed, is_true(), "{}", result.measured);
}

#[gtest]
fn wrong_declared_run_times_raise_p99_at_most_by_half() {
    assert_passes(Scenario::DeclaredWrong);
}

#[gtest]
fn cancellation_wave_raises_p99_at_most_by_half() {
    assert_passes(Scenario::CancellationWave);
}

#[gtest]
fn burst_of_one_team_leaves_the_others_their_part() {
    assert_passes(Scenario::TeamBurst);
}

#[gtest]
fn replay_is_deterministic() {
    let trace = Trace::generate(DeploymentName::Asante, SEED, 20_000_000);
    let run = || replay(&trace, Scheduler::System(Box::default()));
    let (first, second) = (run(), run());
    expect_that!(first.jobs, eq(&second.jobs));
    expect_that!(first.messages, eq(second.messages));
}

#[gtest]
fn trace_file_round_trips() -> googletest::Result<()> {
    let trace = Trace::generate(DeploymentName::Tunelpokrov, SEED, 2_000_000);
    let path = std::env::temp_dir().join(format!("hemlockhook-trace-{}.jsonl", std::process::id()));
    trace.write(&path).or_fail()?;
    let read = Trace::read(&path);
    std::fs::remove_file(&path).or_fail()?;
    verify_that!(read.or_fail()?, eq(&trace))
}

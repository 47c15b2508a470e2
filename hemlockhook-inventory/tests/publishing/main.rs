//! Randomized tests of concurrent publishers and several readers on a log that fails, loses replies,
//! duplicates records and drops old ones.

mod cases;
mod machine;
mod simulation;

use googletest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestError, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use crate::machine::{Machine, Publishing};
use crate::simulation::{Coverage, Mutant};

const SEED: u64 = 0x68656d6c6f636b;
const RUNS: u32 = 2_000;
const MUTANT_RUNS: u32 = 20_000;
const STEPS: usize = 120;

/// Returns a number from an environment variable, which allows longer manual runs.
fn env_or<T>(name: &str, default: T) -> T
where
    T: std::str::FromStr,
{
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs the state machine and returns its coverage, or the message of the first failed check.
fn run(mutant: Option<Mutant>, runs: u32) -> std::result::Result<Coverage, String> {
    let config = Config {
        cases: runs,
        rng_seed: RngSeed::Fixed(env_or("HEMLOCKHOOK_SEED", SEED)),
        failure_persistence: None,
        max_shrink_iters: if mutant.is_none() { 2_000 } else { 0 },
        ..Config::default()
    };
    let coverage = Coverage::default();
    let start = (mutant, coverage.clone());
    TestRunner::new(config.clone())
        .run(&Machine::sequential_strategy(1..STEPS), |case| {
            let (_, transitions, counter) = case;
            // The counter is only needed for shrinking.
            let counter = counter.filter(|_| mutant.is_none());
            Publishing::test_sequential(config.clone(), start.clone(), transitions, counter);
            Ok(())
        })
        .map_err(|e| match e {
            TestError::Fail(why, (_, transitions, _)) => format!("{why}: {transitions:#?}"),
            TestError::Abort(why) => why.to_string(),
        })?;
    Ok(coverage)
}

#[gtest]
fn readers_agree_and_publishes_settle() {
    let coverage =
        run(None, env_or("HEMLOCKHOOK_RUNS", RUNS)).unwrap_or_else(|why| panic!("{why}"));
    println!("{coverage:?}");
    expect_that!(coverage.missing(), is_empty());
}

#[gtest]
fn each_mutant_is_caught() {
    for mutant in Mutant::all() {
        let result = run(Some(mutant), MUTANT_RUNS);
        expect_that!(result.is_err(), eq(true), "{mutant:?} was not caught");
    }
}

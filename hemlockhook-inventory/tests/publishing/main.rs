//! Racing publishers and several readers over a log that fails, loses replies, doubles and drops
//! records.

mod cases;
mod machine;
mod world;

use googletest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestError, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use crate::machine::{Machine, Publishing};
use crate::world::{Mutant, Seen};

const SEED: u64 = 0x68656d6c6f636b;
const RUNS: u32 = 2_000;
const MUTANT_RUNS: u32 = 20_000;
const STEPS: usize = 120;

/// Returns a number from the environment, for longer runs by hand.
fn setting<T>(name: &str, default: T) -> T
where
    T: std::str::FromStr,
{
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs the machine and returns what it saw, or the message of the first check that failed.
fn run(mutant: Option<Mutant>, runs: u32) -> std::result::Result<Seen, String> {
    let config = Config {
        cases: runs,
        rng_seed: RngSeed::Fixed(setting("HEMLOCKHOOK_SEED", SEED)),
        failure_persistence: None,
        max_shrink_iters: if mutant.is_none() { 2_000 } else { 0 },
        ..Config::default()
    };
    let seen = Seen::default();
    let start = (mutant, seen.clone());
    TestRunner::new(config.clone())
        .run(&Machine::sequential_strategy(1..STEPS), |case| {
            let (_, transitions, counter) = case;
            // The counter serves shrinking only.
            let counter = counter.filter(|_| mutant.is_none());
            Publishing::test_sequential(config.clone(), start.clone(), transitions, counter);
            Ok(())
        })
        .map_err(|e| match e {
            TestError::Fail(why, (_, transitions, _)) => format!("{why}: {transitions:#?}"),
            TestError::Abort(why) => why.to_string(),
        })?;
    Ok(seen)
}

#[gtest]
fn readers_agree_and_publishes_settle() {
    let seen = run(None, setting("HEMLOCKHOOK_RUNS", RUNS)).unwrap_or_else(|why| panic!("{why}"));
    println!("{seen:?}");
    expect_that!(seen.unseen(), is_empty());
}

#[gtest]
fn each_mutant_is_caught() {
    for mutant in Mutant::all() {
        let result = run(Some(mutant), MUTANT_RUNS);
        expect_that!(result.is_err(), eq(true), "{mutant:?} was not caught");
    }
}

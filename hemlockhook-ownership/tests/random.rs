//! Randomised runs of several owners, agents and clients over a faulty network and log.
//!
//! `HEMLOCKHOOK_OWNERSHIP_CASES` sets the number of cases and `HEMLOCKHOOK_OWNERSHIP_SEED` the
//! seed: `HEMLOCKHOOK_OWNERSHIP_CASES=100000 cargo test -p hemlockhook-ownership --release --test
//! random -- --nocapture holds`.

mod world;

use std::collections::BTreeMap;
use std::env;
use std::sync::Mutex;

use googletest::prelude::*;
use hemlockhook_ownership::Rules;
use proptest::strategy::{BoxedStrategy, Just, Strategy};
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use world::World;
use world::steps::{Step, step};

const CASES: u32 = 3000;
const MUTANT_CASES: u32 = 20_000;
const STEPS: usize = 160;

/// The state that is generated with the steps: only the rules in force.
struct Plan;

impl ReferenceStateMachine for Plan {
    type State = Rules;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Rules> {
        Just(Rules::default()).boxed()
    }

    fn transitions(_: &Rules) -> BoxedStrategy<Step> {
        step().boxed()
    }

    fn apply(state: Rules, _: &Step) -> Rules {
        state
    }
}

struct Run;

impl StateMachineTest for Run {
    type SystemUnderTest = World;
    type Reference = Plan;

    fn init_test(rules: &Rules) -> World {
        World::new(*rules)
    }

    fn apply(mut world: World, _: &Rules, step: Step) -> World {
        world.step(&step);
        world
    }

    fn teardown(mut world: World, _: Rules) {
        world.heal();
        let mut answers = ANSWERS.lock().unwrap();
        for (kind, count) in world.answers {
            *answers.entry(kind).or_default() += count;
        }
    }
}

static ANSWERS: Mutex<BTreeMap<&str, u32>> = Mutex::new(BTreeMap::new());

fn setting(name: &str, default: u64) -> u64 {
    let set = env::var(name).ok();
    set.map_or(default, |text| text.parse().expect("it is a number"))
}

fn check(rules: Rules, cases: u32, seed: u64, shrink: u32) -> std::result::Result<(), String> {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: shrink,
        ..Config::default()
    };
    let mut bytes = [1; 16];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::XorShift, &bytes);
    let strategy = Plan::sequential_strategy(STEPS / 2..STEPS);
    TestRunner::new_with_rng(config.clone(), rng)
        .run(&strategy, |(_, steps, _)| {
            Run::test_sequential(config.clone(), rules, steps, None);
            Ok::<(), TestCaseError>(())
        })
        .map_err(|error| error.to_string())
}

#[gtest]
fn holds() {
    let cases = setting("HEMLOCKHOOK_OWNERSHIP_CASES", CASES.into()) as u32;
    let seed = setting("HEMLOCKHOOK_OWNERSHIP_SEED", 1);
    println!("{cases} cases with seed {seed}");
    if let Err(error) = check(Rules::default(), cases, seed, 20_000) {
        panic!("seed {seed}: {error}");
    }
    println!("answers: {:?}", ANSWERS.lock().unwrap());
}

/// Checks that the absence of a rule is noticed.
fn is_caught(change: fn(&mut Rules)) {
    let mut rules = Rules::default();
    change(&mut rules);
    let outcome = check(rules, MUTANT_CASES, 1, 0);
    println!("{outcome:?}");
    expect_that!(outcome, err(anything()));
}

macro_rules! mutants {
    ($($name:ident => $rule:ident,)*) => {
        $(#[gtest]
        fn $name() {
            is_caught(|rules| rules.$rule = false);
        })*
    };
}

mutants! {
    no_floor_is_caught => floor,
    no_join_rule_is_caught => join,
    no_lease_is_caught => lease,
    no_marker_is_caught => marker,
    a_stamp_of_the_counter_alone_is_caught => stamp_owner,
    serving_a_higher_stamp_is_caught => stamp_above,
    an_account_without_a_record_is_caught => recorded,
    an_account_without_all_reports_is_caught => reports,
    no_window_is_caught => window,
    judging_starts_of_the_same_link_is_caught => link_epoch,
    refusing_without_a_mark_is_caught => withdraw,
    forgetting_the_starts_of_a_leaving_agent_is_caught => custody,
    a_short_history_is_caught => history,
    messages_of_old_links_are_caught => links,
}

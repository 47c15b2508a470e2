//! Tests of the identifiers of processes.

use googletest::prelude::*;
use hemlockhook_types::new_incarnation;

/// Agents that started in the same tick of the clock drew the same incarnation, since the generator was
/// seeded by it. Entries then ended what the other agent ran as lost, and placed it again.
#[gtest]
fn processes_whose_generators_have_the_same_seed_draw_different_incarnations() {
    let draw = || {
        fastrand::seed(7);
        new_incarnation()
    };
    let (first, second) = (draw(), draw());
    expect_that!(first, not(eq(second)));
    expect_that!(first, not(eq(0)));
}

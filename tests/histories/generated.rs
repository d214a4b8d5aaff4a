//! Histories of generated steps.

use super::steps::{step, step_with_isolation, world, Step};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// So many cases, the same ones in each run.
fn config(cases: u32, seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Plays steps from a world with a job and three known machines; then everything heals.
fn play(steps: Vec<Step>) {
    let mut world = world();
    world.submit_number(0, 0, true);
    for worker in 0..3 {
        let response_lost = false;
        world.apply(Step::Heartbeat {
            worker,
            response_lost,
        });
    }
    for step in steps {
        world.apply(step);
    }
    world.heal();
}

proptest! {
    #![proptest_config(config(600, 11))]

    #[test]
    fn no_history_breaks_a_rule(steps in prop::collection::vec(step(), 20..160)) {
        play(steps);
    }
}

proptest! {
    #![proptest_config(config(300, 12))]

    #[test]
    fn no_history_of_isolated_leaders_breaks_a_rule(
        steps in prop::collection::vec(step_with_isolation(), 20..160)
    ) {
        play(steps);
    }
}

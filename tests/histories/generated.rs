//! Histories of randomly generated steps.

use super::steps::{step, step_with_isolation, world, Step};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Runs the given number of cases, the same ones on every run.
fn config(cases: u32, seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Plays steps in a cluster with one job and three machines known to the leader, then ends all faults
/// and checks that every job finishes.
fn play(steps: Vec<Step>) {
    let mut world = world();
    world.submit_number(0, 0, true);
    for worker in 0..3 {
        let response_lost = false;
        world.apply(Step::SendHeartbeat {
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
    fn generated_histories_preserve_safety_and_finish_all_jobs(steps in prop::collection::vec(step(), 20..160)) {
        play(steps);
    }
}

proptest! {
    #![proptest_config(config(300, 12))]

    #[test]
    fn generated_histories_with_isolated_leaders_preserve_safety_and_finish_all_jobs(
        steps in prop::collection::vec(step_with_isolation(), 20..160)
    ) {
        play(steps);
    }
}

//! Histories of generated steps.

use super::steps::{step, Step};
use super::world::World;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_history_breaks_a_rule(steps in prop::collection::vec(step(), 20..160)) {
        let mut world = World::new();
        world.submit(0, 0, true);
        for w in 0..3 {
            world.apply(Step::Report { worker: w, answer_lost: false });
        }
        for step in steps {
            world.apply(step);
        }
        world.heal();
    }
}

//! Backfilling against a plain reference, and what predictions must keep to.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stairstage::coordination::prediction::{corrected, Predictor};
use stairstage::coordination::scheduling::backfill::{reserve, FutureRelease, FutureResources};
use stairstage::coordination::state::Resources;

/// So many processors, and nothing else.
fn cpus(n: u32) -> Resources {
    Resources {
        cpus: f64::from(n),
        ..Resources::default()
    }
}

/// When `need` CPUs are free on a machine with these ends, by looking at every end in turn.
fn earliest(free: u32, ends: &[(u32, u32)], need: u32) -> Option<u32> {
    let mut times: Vec<u32> = ends.iter().map(|e| e.0).collect();
    times.push(0);
    times.sort_unstable();
    let free_at = |t: u32| free + ends.iter().filter(|e| e.0 <= t).map(|e| e.1).sum::<u32>();
    times.into_iter().find(|t| free_at(*t) >= need)
}

/// Free processors of a machine, and when how many more become free.
type Machine = (u32, Vec<(u32, u32)>);

/// The same as the scheduler takes them.
fn future_resources(machines: &[Machine]) -> Vec<FutureResources> {
    let release = |e: &(u32, u32)| FutureRelease {
        at: f64::from(e.0),
        freed: cpus(e.1),
    };
    let machine = |(i, m): (usize, &Machine)| FutureResources {
        machine: i,
        free: cpus(m.0),
        releases: m.1.iter().map(release).collect(),
    };
    machines.iter().enumerate().map(machine).collect()
}

/// A few machines with tasks that end.
fn machines() -> impl Strategy<Value = Vec<Machine>> {
    let machine = (
        0u32..4,
        proptest::collection::vec((1u32..50, 1u32..5), 0..6),
    );
    proptest::collection::vec(machine, 1..5)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn the_head_reserves_at_the_earliest_time(fleet in machines(), need in 1u32..10) {
        let best = fleet.iter().filter_map(|m| earliest(m.0, &m.1, need)).min();
        let found = reserve(0.0, &cpus(need), 1, future_resources(&fleet));
        prop_assert_eq!(found.map(|r| r.at), best.map(f64::from));
    }

    #[test]
    fn backfilling_never_delays_the_reservation(
        fleet in machines(),
        need in 1u32..10,
        others in proptest::collection::vec((0usize..5, 1u32..4, 1u32..60), 0..8),
    ) {
        let Some(mut held) = reserve(0.0, &cpus(need), 1, future_resources(&fleet)) else { return Ok(()); };
        let promised = held.at;
        let mut fleet = fleet;
        for (machine, size, run) in others {
            let machine = machine % fleet.len();
            let end = f64::from(run);
            if fleet[machine].0 < size || !held.allows(machine, &cpus(size), end) {
                continue;
            }
            held.admit(machine, &cpus(size), end);
            fleet[machine].0 -= size;
            fleet[machine].1.push((run, size));
        }
        let now = reserve(0.0, &cpus(need), 1, future_resources(&fleet)).map(|r| r.at);
        prop_assert!(now.is_some_and(|at| at <= promised), "{now:?} after {promised}");
    }

    #[test]
    fn predictions_stay_between_a_minute_and_the_estimate(
        scale in prop_oneof![Just(1e-3), Just(1.0), Just(1e6)],
        runs in proptest::collection::vec((1.0f64..4000.0, 0.1f64..3.0, 1.0f64..64.0), 1..60),
    ) {
        let mut predictor = Predictor::default();
        for (run, ratio, size) in runs {
            let estimate = run * ratio;
            let predicted = predictor.predict("team/class", estimate, size * scale);
            prop_assert!(predicted <= estimate + 1e-9);
            prop_assert!(predicted >= estimate.min(60.0) - 1e-9);
            predictor.learn("team/class", estimate, size * scale, run);
        }
    }

    #[test]
    fn an_overrun_raises_the_prediction_up_to_the_estimate(
        predicted in 1.0f64..5000.0,
        more in 1.0f64..4.0,
        elapsed in 0.0f64..9000.0,
    ) {
        let estimate = predicted * more;
        let raised = corrected(predicted, elapsed, estimate);
        prop_assert!(raised >= predicted && raised <= estimate + 1e-9);
        prop_assert!(elapsed < raised || raised >= estimate - 1e-9);
    }
}

#[test]
fn without_history_the_estimate_is_the_prediction() {
    let mut predictor = Predictor::default();
    assert_eq!(predictor.predict("a/b", 240.0, 4.0), 240.0);
    predictor.learn("a/c", 240.0, 4.0, 100.0);
    assert_eq!(predictor.predict("a/b", 240.0, 4.0), 240.0);
}

#[test]
fn predictions_approach_what_an_owner_s_jobs_take() {
    let mut predictor = Predictor::default();
    for _ in 0..2000 {
        predictor.learn("a/b", 600.0, 4.0, 200.0);
    }
    let predicted = predictor.predict("a/b", 600.0, 4.0);
    assert!((predicted - 200.0).abs() < 60.0, "{predicted}");
}

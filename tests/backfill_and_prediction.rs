//! Reservations compared with a simple reference, backfill, and bounds of run-time predictions.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stairstage::coordination::prediction::{corrected, Predictor};
use stairstage::coordination::scheduling::backfill::{reserve, FutureRelease, FutureResources};
use stairstage::coordination::state::Resources;

/// `n` processors and no other resources.
fn cpus(n: u32) -> Resources {
    Resources {
        cpus: f64::from(n),
        ..Resources::default()
    }
}

/// The earliest time at which `need` processors are free on a machine. Tries the time of every release.
fn earliest(free: u32, releases: &[(u32, u32)], need: u32) -> Option<u32> {
    let mut times: Vec<u32> = releases.iter().map(|r| r.0).collect();
    times.push(0);
    times.sort_unstable();
    let free_at = |t: u32| {
        free + releases
            .iter()
            .filter(|r| r.0 <= t)
            .map(|r| r.1)
            .sum::<u32>()
    };
    times.into_iter().find(|t| free_at(*t) >= need)
}

/// The free processors of a machine, and its releases: a time and the number of processors freed then.
type Machine = (u32, Vec<(u32, u32)>);

/// The same machines in the form that the scheduler uses.
fn future_resources(machines: &[Machine]) -> Vec<FutureResources> {
    let release = |r: &(u32, u32)| FutureRelease {
        at: f64::from(r.0),
        freed: cpus(r.1),
    };
    let machine = |(i, m): (usize, &Machine)| FutureResources {
        machine: i,
        free: cpus(m.0),
        releases: m.1.iter().map(release).collect(),
    };
    machines.iter().enumerate().map(machine).collect()
}

/// Generates a few machines with releases.
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
    fn reservation_is_at_the_earliest_time_with_enough_free_resources(fleet in machines(), need in 1u32..10) {
        let best = fleet.iter().filter_map(|m| earliest(m.0, &m.1, need)).min();
        let found = reserve(0.0, &cpus(need), 1, future_resources(&fleet));
        prop_assert_eq!(found.map(|r| r.at), best.map(f64::from));
    }

    #[test]
    fn backfill_never_delays_the_reservation(
        fleet in machines(),
        need in 1u32..10,
        others in proptest::collection::vec((0usize..5, 1u32..4, 1u32..60), 0..8),
    ) {
        let Some(mut reservation) = reserve(0.0, &cpus(need), 1, future_resources(&fleet)) else {
            return Ok(());
        };
        let reserved_at = reservation.at;
        let mut fleet = fleet;
        for (machine, size, run) in others {
            let machine = machine % fleet.len();
            let end = f64::from(run);
            if fleet[machine].0 < size || !reservation.allows(machine, &cpus(size), end) {
                continue;
            }
            reservation.admit(machine, &cpus(size), end);
            fleet[machine].0 -= size;
            fleet[machine].1.push((run, size));
        }
        let now = reserve(0.0, &cpus(need), 1, future_resources(&fleet)).map(|r| r.at);
        prop_assert!(now.is_some_and(|at| at <= reserved_at), "{now:?} after {reserved_at}");
    }

    #[test]
    fn predictions_are_between_a_minute_and_the_estimate(
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
    fn overrun_raises_the_prediction_at_most_to_the_estimate(
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
fn prediction_without_history_is_the_estimate() {
    let mut predictor = Predictor::default();
    assert_eq!(predictor.predict("a/b", 240.0, 4.0), 240.0);
    predictor.learn("a/c", 240.0, 4.0, 100.0);
    assert_eq!(predictor.predict("a/b", 240.0, 4.0), 240.0);
}

#[test]
fn prediction_converges_to_past_run_times_of_the_same_team_and_class() {
    let mut predictor = Predictor::default();
    for _ in 0..2000 {
        predictor.learn("a/b", 600.0, 4.0, 200.0);
    }
    let predicted = predictor.predict("a/b", 600.0, 4.0);
    assert!((predicted - 200.0).abs() < 60.0, "{predicted}");
}

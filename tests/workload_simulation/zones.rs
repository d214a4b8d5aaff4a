//! Jobs that are bound to one zone.

use crate::rules::{check_runs, longest_start_delay_s};
use crate::services::Cloud;
use crate::simulation::{Simulation, UNLIMITED_TEAMS};
use crate::workload::{mixed_jobs, JobPlan, Random};

/// Simulated runs per test, one per seed.
const SEEDS: u64 = 12;
/// Less than the time after which a starved job passes a reservation.
const MAX_START_DELAY_S: f64 = 45.0;
/// The zones of each run.
const ZONES: [&str; 3] = ["a", "b", "c"];

/// A simulation with `in_zone` machines in each zone.
fn fleet(seed: u64, cloud: Cloud, in_zone: usize) -> Simulation {
    let mut sim = Simulation::new(seed, &UNLIMITED_TEAMS, &ZONES, cloud);
    for zone in ZONES {
        sim.add_machines(zone, in_zone);
    }
    sim
}

/// Mixed jobs of which a third, including arrays, is bound to zone `a`.
fn partly_zone_bound_jobs(random: &mut Random, cpus: f64, share: f64) -> Vec<JobPlan> {
    let mut plans = mixed_jobs(random, cpus, share, 100.0);
    for plan in plans.iter_mut().step_by(3) {
        plan.zone = Some("a");
    }
    plans
}

/// The machines of the zone are partitioned forever, while other zones have free resources.
#[test]
fn zone_bound_jobs_get_new_machines_after_their_zone_lost_all() {
    check_runs(SEEDS, |seed| {
        let mut random = Random::new(seed);
        let mut sim = fleet(seed, Cloud::with_capacity(8), 5);
        sim.plan(partly_zone_bound_jobs(&mut random, 24.0, 0.5));
        let lost_at = 20.0 + random.between(0.0, 20.0).floor();
        sim.faults_end_s = 60.0;
        sim.run(300.0, |sim| {
            if sim.now == lost_at {
                let lost = sim.workers.values_mut().filter(|w| w.zone == "a");
                lost.for_each(|w| w.partitioned_until = f64::INFINITY);
            }
        });
        sim
    });
}

/// Other jobs occupy the zone for minutes, while other zones have free resources.
#[test]
fn zone_bound_job_gets_new_machine_when_its_zone_is_full() {
    check_runs(SEEDS, |seed| {
        let mut random = Random::new(seed);
        let mut sim = fleet(seed, Cloud::with_capacity(8), 0);
        sim.add_machines("a", 1);
        sim.plan(vec![
            JobPlan {
                class: "long",
                tasks: 4,
                run_s: 300.0,
                ..JobPlan::default()
            },
            JobPlan {
                at_s: 15.0,
                zone: Some("a"),
                run_s: random.between(5.0, 20.0),
                ..JobPlan::default()
            },
        ]);
        sim.run(350.0, |sim| {
            if sim.now == 10.0 {
                sim.add_machines("b", 4);
            }
        });
        sim
    });
}

/// The machines of other zones are idle, so that no other job causes a scale-out.
#[test]
fn array_bound_to_empty_zone_is_served_while_other_zones_are_idle() {
    check_runs(SEEDS, |seed| {
        let mut random = Random::new(seed);
        let mut sim = fleet(seed, Cloud::with_capacity(8), 0);
        sim.add_machines("b", 4);
        let tasks = 1 + random.below(12) as u32;
        sim.plan(vec![JobPlan {
            at_s: 5.0,
            tasks,
            zone: Some("a"),
            run_s: random.between(10.0, 40.0),
            ..JobPlan::default()
        }]);
        sim.run(200.0, |_| {});
        sim
    });
}

#[test]
fn gang_scales_out_to_all_machines_it_needs() {
    check_runs(SEEDS, |seed| {
        let mut random = Random::new(seed);
        let mut sim = fleet(seed, Cloud::with_capacity(8), 1);
        sim.plan(vec![JobPlan {
            at_s: 5.0,
            kind: "group",
            class: "gang",
            tasks: 14 + random.below(10) as u32,
            run_s: 30.0,
            same_zone: random.chance(0.5),
            ..JobPlan::default()
        }]);
        sim.run(200.0, |_| {});
        sim
    });
}

/// The zone with the most machines has no more capacity in the cloud.
#[test]
fn same_zone_gang_starts_in_zone_with_cloud_capacity() {
    check_runs(SEEDS, |seed| {
        let mut random = Random::new(seed);
        let mut sim = fleet(seed, Cloud::with_capacity(8), 0);
        sim.add_machines("a", 2);
        sim.cloud.sold_out_zone = Some("a");
        sim.plan(vec![JobPlan {
            kind: "group",
            class: "gang",
            tasks: 10 + random.below(10) as u32,
            same_zone: true,
            run_s: 20.0,
            ..JobPlan::default()
        }]);
        sim.run(200.0, |_| {});
        sim
    });
}

/// Runs a simulation in which a gang that never fits is the queue head until its user cancels it. The other
/// jobs must start in time.
fn run_with_unplaceable_gang(seed: u64, gang: JobPlan) -> Simulation {
    let mut random = Random::new(seed);
    let mut sim = fleet(seed, Cloud::without_capacity(), 2);
    sim.add_machines("c", 2);
    sim.plan(mixed_jobs(&mut random, 32.0, 0.6, 100.0));
    sim.plan(vec![JobPlan {
        at_s: 10.0,
        kind: "group",
        class: "wide",
        priority: "urgent",
        run_s: 20.0,
        cancel_after_s: Some(250.0),
        ..gang
    }]);
    sim.run(260.0, |_| {});
    let delay_s = longest_start_delay_s(&sim, |p| p.class != "wide");
    assert!(
        delay_s < MAX_START_DELAY_S,
        "seed {seed}: other jobs waited {delay_s} s"
    );
    sim
}

/// The gang fits the machines of all zones together, but no single zone.
#[test]
fn same_zone_gang_too_large_for_any_zone_delays_no_other_job() {
    check_runs(SEEDS, |seed| {
        let gang = JobPlan {
            tasks: 20,
            same_zone: true,
            ..JobPlan::default()
        };
        run_with_unplaceable_gang(seed, gang)
    });
}

/// The gang fits its zone, but may have at most half of its tasks in one zone.
#[test]
fn gang_that_cannot_spread_delays_no_other_job() {
    check_runs(SEEDS, |seed| {
        let gang = JobPlan {
            tasks: 8,
            cpus: 2.0,
            zone: Some("c"),
            spread: true,
            ..JobPlan::default()
        };
        run_with_unplaceable_gang(seed, gang)
    });
}

/// The gang waits for more free machines in its zone. Jobs that may use other zones must start in time.
#[test]
fn gang_waiting_for_its_zone_leaves_other_zones_to_other_jobs() {
    check_runs(SEEDS, |seed| {
        let mut random = Random::new(seed);
        let mut sim = fleet(seed, Cloud::without_capacity(), 2);
        sim.plan(vec![
            JobPlan {
                class: "long",
                zone: Some("a"),
                run_s: 200.0,
                estimate_factor: random.between(0.4, 1.0),
                ..JobPlan::default()
            },
            JobPlan {
                at_s: 5.0,
                kind: "group",
                class: "wide",
                tasks: 8,
                zone: Some("a"),
                run_s: 20.0,
                ..JobPlan::default()
            },
        ]);
        let mut others = mixed_jobs(&mut random, 24.0, 0.4, 100.0);
        others.iter_mut().for_each(|p| p.at_s += 10.0);
        sim.plan(others);
        sim.run(300.0, |_| {});
        let delay_s = longest_start_delay_s(&sim, |p| p.zone.is_none());
        assert!(
            delay_s < MAX_START_DELAY_S,
            "seed {seed}: other jobs waited {delay_s} s"
        );
        sim
    });
}

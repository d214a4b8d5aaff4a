//! Overlapping faults of all kinds.

use crate::rules::check_runs;
use crate::services::{Cloud, StateService};
use crate::simulation::{team, Simulation};
use crate::workload::{mixed_jobs, JobPlan, Random};

/// The zones of each run.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// All faults end by this time, except that lost machines never return.
const FAULTS_END_S: f64 = 120.0;

/// A fault that lasts for a while.
#[derive(Clone, Copy, Debug)]
enum Fault {
    LeaderCrash,
    ZonePartitioned,
    MachinesPartitioned,
    InboundLost,
    HeartbeatsLost,
    MachinesLost,
    StateServiceUnavailable,
    StateServiceSlow,
    ResponsesLost,
    WritesDelayed,
    WriteRateLimited,
    CloudUnavailable,
    PromisesUnavailable,
}

/// All faults, for random choice.
const FAULTS: [Fault; 13] = [
    Fault::LeaderCrash,
    Fault::ZonePartitioned,
    Fault::MachinesPartitioned,
    Fault::InboundLost,
    Fault::HeartbeatsLost,
    Fault::MachinesLost,
    Fault::StateServiceUnavailable,
    Fault::StateServiceSlow,
    Fault::ResponsesLost,
    Fault::WritesDelayed,
    Fault::WriteRateLimited,
    Fault::CloudUnavailable,
    Fault::PromisesUnavailable,
];

/// A fault, the time for which it lasts, and a number that selects the affected zone or machines.
#[derive(Clone, Copy, Debug)]
struct FaultWindow {
    fault: Fault,
    from: f64,
    until: f64,
    target: usize,
}

/// Four to eight faults, which may overlap.
fn random_fault_windows(random: &mut Random) -> Vec<FaultWindow> {
    let count = 4 + random.below(5);
    let window = |_| {
        let from = random.between(0.0, FAULTS_END_S - 20.0).floor();
        let duration_s = random.between(2.0, 60.0).floor();
        FaultWindow {
            fault: FAULTS[random.below(FAULTS.len() as u64) as usize],
            from,
            until: (from + duration_s).min(FAULTS_END_S),
            target: random.below(3) as usize,
        }
    };
    (0..count).map(window).collect()
}

/// When the next leader is elected: a fifth of the window after the crash.
fn elect_at(window: &FaultWindow) -> f64 {
    (window.from + (window.until - window.from) / 5.0).ceil()
}

/// Applies the one-time effect of a fault that begins now.
fn begin_fault(sim: &mut Simulation, window: &FaultWindow) {
    let machines = sim.workers.values_mut();
    let affected = machines.skip(window.target).step_by(3);
    match window.fault {
        Fault::LeaderCrash => sim.crash_leader(),
        Fault::ZonePartitioned => {
            let zone = ZONES[window.target];
            let partitioned = sim.workers.values_mut().filter(|w| w.zone == zone);
            partitioned.for_each(|w| w.partitioned_until = window.until);
        }
        Fault::MachinesPartitioned => affected.for_each(|w| w.partitioned_until = window.until),
        Fault::InboundLost => affected.for_each(|w| w.inbound_lost_until = window.until),
        Fault::HeartbeatsLost => affected.for_each(|w| w.heartbeats_lost_until = window.until),
        Fault::MachinesLost => affected.for_each(|w| w.partitioned_until = f64::INFINITY),
        _ => {}
    }
}

/// Applies the faults whose windows include the present time.
fn apply_lasting_faults(sim: &mut Simulation, windows: &[FaultWindow]) {
    let now = sim.now;
    let mut state = StateService::default();
    sim.cloud.accepts_returns = true;
    sim.cloud.accepts_rentals = true;
    sim.peers_promise = true;
    for window in windows.iter().filter(|w| (w.from..w.until).contains(&now)) {
        match window.fault {
            Fault::StateServiceUnavailable => state.unavailable = true,
            Fault::StateServiceSlow => state.latency_s = 3.0,
            Fault::ResponsesLost => state.response_loss_rate = 0.3,
            Fault::WritesDelayed => state.delay_rate = 0.3,
            Fault::WriteRateLimited => state.write_ops_per_s = 6.0,
            Fault::CloudUnavailable => {
                (sim.cloud.accepts_returns, sim.cloud.accepts_rentals) = (false, false);
            }
            Fault::PromisesUnavailable => sim.peers_promise = false,
            _ => {}
        }
    }
    sim.state.set(state);
}

/// Jobs of all kinds. Some fail on every machine, and some are cancelled.
fn random_jobs(random: &mut Random) -> Vec<JobPlan> {
    let share = random.between(0.5, 1.2);
    let mut plans = mixed_jobs(random, 24.0, share, FAULTS_END_S);
    for plan in &mut plans {
        plan.zone = random.chance(0.2).then_some("a");
        plan.priority = ["idle", "normal", "urgent"][random.below(3) as usize];
        plan.run_increment_s = if random.chance(0.2) { 10.0 } else { 0.0 };
        plan.always_fails = random.chance(0.05);
        let cancelled = plan.always_fails || random.chance(0.2);
        plan.cancel_after_s = cancelled.then(|| random.between(0.0, 90.0));
    }
    plans
}

#[test]
fn all_jobs_are_served_after_overlapping_random_faults() {
    check_runs(40, |seed| {
        let mut random = Random::new(seed);
        let limit = if random.chance(0.5) { 14.0 } else { 0.0 };
        let teams = [team("t", 4.0, limit), team("u", 0.0, limit)];
        let mut sim = Simulation::new(seed, &teams, &ZONES, Cloud::with_capacity(5));
        for zone in ZONES {
            sim.add_machines(zone, 2);
        }
        sim.plan(random_jobs(&mut random));
        let windows = random_fault_windows(&mut random);
        sim.faults_end_s = FAULTS_END_S;
        sim.run(400.0, |sim| {
            for window in &windows {
                if window.from == sim.now {
                    begin_fault(sim, window);
                }
                let is_crash = matches!(window.fault, Fault::LeaderCrash);
                if is_crash && elect_at(window) == sim.now && !sim.state.unavailable {
                    sim.elect_leader();
                }
            }
            if sim.now >= FAULTS_END_S && sim.leader.is_none() {
                sim.elect_leader();
            }
            apply_lasting_faults(sim, &windows);
        });
        sim
    });
}

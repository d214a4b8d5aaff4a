//! Slow links between the leader and the workers, over which responses arrive after the timeouts of their
//! receivers.

use crate::rules::check_runs;
use crate::simulation::Simulation;
use crate::state_service_faults::urgent_overload;

/// When the links become fast again.
const SLOW_UNTIL_S: f64 = 150.0;

/// Runs an overload with urgent jobs over slow links, and applies `fault` in each step while they are slow.
fn run_over_slow_links(seed: u64, mut fault: impl FnMut(&mut Simulation)) -> Simulation {
    let (mut sim, mut random) = urgent_overload(seed);
    let late_response_rate = random.between(0.1, 0.5);
    sim.faults_end_s = SLOW_UNTIL_S;
    sim.run(360.0, |sim| {
        let slow = sim.now < SLOW_UNTIL_S;
        sim.late_response_rate = if slow { late_response_rate } else { 0.0 };
        if slow {
            fault(sim);
        }
    });
    sim
}

#[test]
fn urgent_and_normal_overload_is_served_over_slow_links() {
    check_runs(8, |seed| run_over_slow_links(seed, |_| {}));
}

#[test]
fn overload_is_served_after_failovers_over_slow_links() {
    check_runs(8, |seed| {
        run_over_slow_links(seed, |sim| match sim.now as u32 % 40 {
            30 => sim.crash_leader(),
            33 => sim.elect_leader(),
            _ => {}
        })
    });
}

//! Faults of all kinds that meet.

use crate::rules::check_days;
use crate::services::{Cloud, StateService};
use crate::simulation::{team, Simulation};
use crate::workload::{mixed, JobPlan, Random};

/// The zones of each day.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Faults begin and end within this time.
const FAULTS_END_S: f64 = 120.0;

/// What goes wrong for a while.
#[derive(Clone, Copy, Debug)]
enum Fault {
    LeaderEnds,
    ZonePartitioned,
    MachinesPartitioned,
    InboundLost,
    HeartbeatsLost,
    MachinesLost,
    StateRefuses,
    StateLags,
    AnswersLost,
    WritesLate,
    ChangesScarce,
    CloudOut,
    NoPromises,
}

/// All faults, to draw from.
const FAULTS: [Fault; 13] = [
    Fault::LeaderEnds,
    Fault::ZonePartitioned,
    Fault::MachinesPartitioned,
    Fault::InboundLost,
    Fault::HeartbeatsLost,
    Fault::MachinesLost,
    Fault::StateRefuses,
    Fault::StateLags,
    Fault::AnswersLost,
    Fault::WritesLate,
    Fault::ChangesScarce,
    Fault::CloudOut,
    Fault::NoPromises,
];

/// A fault with its time, and a number that says whom it strikes.
#[derive(Clone, Copy, Debug)]
struct FaultWindow {
    fault: Fault,
    from: f64,
    until: f64,
    which: usize,
}

/// Between four and eight faults that overlap as they may.
fn windows(random: &mut Random) -> Vec<FaultWindow> {
    let count = 4 + random.below(5);
    let window = |_| {
        let from = random.between(0.0, FAULTS_END_S - 20.0).floor();
        let lasts_s = random.between(2.0, 60.0).floor();
        FaultWindow {
            fault: FAULTS[random.below(FAULTS.len() as u64) as usize],
            from,
            until: (from + lasts_s).min(FAULTS_END_S),
            which: random.below(3) as usize,
        }
    };
    (0..count).map(window).collect()
}

/// A leader that ended has no successor for a fifth of the spell.
fn elect_at(window: &FaultWindow) -> f64 {
    (window.from + (window.until - window.from) / 5.0).ceil()
}

/// What a fault does once, as it begins.
fn begin(play: &mut Simulation, window: &FaultWindow) {
    let machines = play.workers.values_mut();
    let some = machines.skip(window.which).step_by(3);
    match window.fault {
        Fault::LeaderEnds => play.depose(),
        Fault::ZonePartitioned => {
            let zone = ZONES[window.which];
            let partitioned = play.workers.values_mut().filter(|w| w.zone == zone);
            partitioned.for_each(|w| w.partitioned_until = window.until);
        }
        Fault::MachinesPartitioned => some.for_each(|w| w.partitioned_until = window.until),
        Fault::InboundLost => some.for_each(|w| w.inbound_lost_until = window.until),
        Fault::HeartbeatsLost => some.for_each(|w| w.heartbeats_lost_until = window.until),
        Fault::MachinesLost => some.for_each(|w| w.partitioned_until = f64::INFINITY),
        _ => {}
    }
}

/// What lasts as long as its spell does.
fn apply(play: &mut Simulation, windows: &[FaultWindow]) {
    let now = play.now;
    let mut state = StateService::default();
    play.cloud.takes_back = true;
    play.cloud.rents = true;
    play.peers_promise = true;
    for window in windows.iter().filter(|s| (s.from..s.until).contains(&now)) {
        match window.fault {
            Fault::StateRefuses => state.refuses = true,
            Fault::StateLags => state.delay_s = 3.0,
            Fault::AnswersLost => state.unanswered = 0.3,
            Fault::WritesLate => state.late = 0.3,
            Fault::ChangesScarce => state.changes_per_s = 6.0,
            Fault::CloudOut => (play.cloud.takes_back, play.cloud.rents) = (false, false),
            Fault::NoPromises => play.peers_promise = false,
            _ => {}
        }
    }
    play.state.set(state);
}

/// Jobs of all kinds, some of which are broken or cancelled.
fn jobs(random: &mut Random) -> Vec<JobPlan> {
    let share = random.between(0.5, 1.2);
    let mut plans = mixed(random, 24.0, share, FAULTS_END_S);
    for plan in &mut plans {
        plan.zone = random.chance(0.2).then_some("a");
        plan.priority = ["idle", "normal", "urgent"][random.below(3) as usize];
        plan.later_s = if random.chance(0.2) { 10.0 } else { 0.0 };
        plan.broken = random.chance(0.05);
        let cancelled = plan.broken || random.chance(0.2);
        plan.cancel_after_s = cancelled.then(|| random.between(0.0, 90.0));
    }
    plans
}

#[test]
fn troubles_of_all_kinds_that_meet_leave_everybody_served() {
    check_days(40, |seed| {
        let mut random = Random::new(seed);
        let limit = if random.chance(0.5) { 14.0 } else { 0.0 };
        let teams = [team("t", 4.0, limit), team("u", 0.0, limit)];
        let mut play = Simulation::new(seed, &teams, &ZONES, Cloud::with_capacity(5));
        for zone in ZONES {
            play.add_machines(zone, 2);
        }
        play.plan(jobs(&mut random));
        let windows = windows(&mut random);
        play.calm_from = FAULTS_END_S;
        play.run(400.0, |play| {
            for window in &windows {
                if window.from == play.now {
                    begin(play, window);
                }
                let ends = matches!(window.fault, Fault::LeaderEnds);
                if ends && elect_at(window) == play.now && !play.state.refuses {
                    play.elect();
                }
            }
            if play.now >= FAULTS_END_S && play.leader.is_none() {
                play.elect();
            }
            apply(play, &windows);
        });
        play
    });
}

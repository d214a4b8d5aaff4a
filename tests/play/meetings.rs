//! Troubles of all kinds that meet.

use crate::rules::check_days;
use crate::services::{Cloud, StateService};
use crate::simulation::{team, Simulation};
use crate::workload::{mixed, JobPlan, Random};

const ZONES: [&str; 3] = ["a", "b", "c"];
/// Troubles begin and end within this time.
const TROUBLED_S: f64 = 120.0;

#[derive(Clone, Copy, Debug)]
enum Trouble {
    LeaderEnds,
    ZoneCut,
    MachinesCut,
    MachinesDeaf,
    MachinesMute,
    MachinesLost,
    StateRefuses,
    StateLags,
    AnswersLost,
    WritesLate,
    ChangesScarce,
    CloudOut,
    NoPromises,
}

const TROUBLES: [Trouble; 13] = [
    Trouble::LeaderEnds,
    Trouble::ZoneCut,
    Trouble::MachinesCut,
    Trouble::MachinesDeaf,
    Trouble::MachinesMute,
    Trouble::MachinesLost,
    Trouble::StateRefuses,
    Trouble::StateLags,
    Trouble::AnswersLost,
    Trouble::WritesLate,
    Trouble::ChangesScarce,
    Trouble::CloudOut,
    Trouble::NoPromises,
];

/// A trouble with its time, and a number that says whom it strikes.
#[derive(Clone, Copy, Debug)]
struct Spell {
    trouble: Trouble,
    from: f64,
    until: f64,
    which: usize,
}

fn spells(random: &mut Random) -> Vec<Spell> {
    let count = 4 + random.below(5);
    let spell = |_| {
        let from = random.between(0.0, TROUBLED_S - 20.0).floor();
        let lasts_s = random.between(2.0, 60.0).floor();
        Spell {
            trouble: TROUBLES[random.below(TROUBLES.len() as u64) as usize],
            from,
            until: (from + lasts_s).min(TROUBLED_S),
            which: random.below(3) as usize,
        }
    };
    (0..count).map(spell).collect()
}

/// A leader that ended has no successor for a fifth of the spell.
fn elect_at(spell: &Spell) -> f64 {
    (spell.from + (spell.until - spell.from) / 5.0).ceil()
}

fn begin(play: &mut Simulation, spell: &Spell) {
    let machines = play.workers.values_mut();
    let some = machines.skip(spell.which).step_by(3);
    match spell.trouble {
        Trouble::LeaderEnds => play.depose(),
        Trouble::ZoneCut => {
            let zone = ZONES[spell.which];
            let cut = play.workers.values_mut().filter(|w| w.zone == zone);
            cut.for_each(|w| w.cut_until = spell.until);
        }
        Trouble::MachinesCut => some.for_each(|w| w.cut_until = spell.until),
        Trouble::MachinesDeaf => some.for_each(|w| w.deaf_until = spell.until),
        Trouble::MachinesMute => some.for_each(|w| w.mute_until = spell.until),
        Trouble::MachinesLost => some.for_each(|w| w.cut_until = f64::INFINITY),
        _ => {}
    }
}

/// What lasts as long as its spell does.
fn apply(play: &mut Simulation, spells: &[Spell]) {
    let now = play.now;
    let mut state = StateService::default();
    play.cloud.takes_back = true;
    play.cloud.rents = true;
    play.peers_promise = true;
    for spell in spells.iter().filter(|s| (s.from..s.until).contains(&now)) {
        match spell.trouble {
            Trouble::StateRefuses => state.refuses = true,
            Trouble::StateLags => state.delay_s = 3.0,
            Trouble::AnswersLost => state.unanswered = 0.3,
            Trouble::WritesLate => state.late = 0.3,
            Trouble::ChangesScarce => state.changes_per_s = 6.0,
            Trouble::CloudOut => (play.cloud.takes_back, play.cloud.rents) = (false, false),
            Trouble::NoPromises => play.peers_promise = false,
            _ => {}
        }
    }
    play.state.set(state);
}

fn jobs(random: &mut Random) -> Vec<JobPlan> {
    let share = random.between(0.5, 1.2);
    let mut plans = mixed(random, 24.0, share, TROUBLED_S);
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
        let spells = spells(&mut random);
        play.calm_from = TROUBLED_S;
        play.run(400.0, |play| {
            for spell in &spells {
                if spell.from == play.now {
                    begin(play, spell);
                }
                let ends = matches!(spell.trouble, Trouble::LeaderEnds);
                if ends && elect_at(spell) == play.now && !play.state.refuses {
                    play.elect();
                }
            }
            if play.now >= TROUBLED_S && play.leader.is_none() {
                play.elect();
            }
            apply(play, &spells);
        });
        play
    });
}

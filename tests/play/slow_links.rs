//! Slow links between the leader and the workers: answers take longer than their receivers wait.

use crate::rules::check_days;
use crate::simulation::Simulation;
use crate::state_service::urgent_overload;

/// When links are fast again.
const SLOW_UNTIL_S: f64 = 150.0;

/// Urgent overload over slow links, with `fault` as long as they are slow.
fn slow_day(seed: u64, mut fault: impl FnMut(&mut Simulation)) -> Simulation {
    let (mut play, mut random) = urgent_overload(seed);
    let slow_links = random.between(0.1, 0.5);
    play.calm_from = SLOW_UNTIL_S;
    play.run(360.0, |play| {
        let slow = play.now < SLOW_UNTIL_S;
        play.slow_links = if slow { slow_links } else { 0.0 };
        if slow {
            fault(play);
        }
    });
    play
}

#[test]
fn more_work_than_room_urgent_and_not_is_served_over_slow_links() {
    check_days(8, |seed| slow_day(seed, |_| {}));
}

#[test]
fn leaders_change_while_more_work_than_room_waits_over_slow_links() {
    check_days(8, |seed| {
        slow_day(seed, |play| match play.now as u32 % 40 {
            30 => play.depose(),
            33 => play.elect(),
            _ => {}
        })
    });
}

//! The head's reservation, and what may be started without delaying it.

use super::state::Room;
use super::Time;

/// A machine as the reservation sees it: what is free now and what comes free when.
pub struct Frees {
    pub machine: usize,
    pub room: Room,
    /// Predicted ends of its tasks with the room that each frees.
    pub ends: Vec<(Time, Room)>,
}

/// Where and when the queue's head starts, by the predictions at hand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    pub machine: usize,
    pub at: Time,
    /// What is left over on the machine once the head has started.
    pub spare: Room,
}

/// The earliest start of a task that fits nowhere now.
pub fn reserve(now: Time, need: &Room, machines: Vec<Frees>) -> Option<Reservation> {
    let mut best: Option<Reservation> = None;
    for mut m in machines {
        m.ends.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut room = m.room;
        let mut at = now;
        let mut ends = m.ends.iter().peekable();
        while !room.fits(need) {
            let Some((end, freed)) = ends.next() else {
                break;
            };
            at = at.max(*end);
            room.add(freed);
        }
        if !room.fits(need) || best.is_some_and(|b| b.at <= at) {
            continue;
        }
        // What ends by then as well is spare too.
        for (end, freed) in ends {
            if *end <= at {
                room.add(freed);
            }
        }
        room.take(need);
        best = Some(Reservation {
            machine: m.machine,
            at,
            spare: room,
        });
    }
    best
}

impl Reservation {
    /// Whether a task that is started now on `machine`, and ends at `end`, leaves it undelayed.
    pub fn allows(&self, machine: usize, need: &Room, end: Time) -> bool {
        machine != self.machine || end <= self.at || self.spare.fits(need)
    }

    /// Accounts for a task that was let pass.
    pub fn admit(&mut self, machine: usize, need: &Room, end: Time) {
        if machine == self.machine && end > self.at {
            self.spare.take(need);
        }
    }
}

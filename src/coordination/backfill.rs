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
    /// For a gang: it needs room on many machines at once, so all are held for it.
    pub everywhere: bool,
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
            everywhere: false,
        });
    }
    best
}

/// The earliest start of so many tasks at once, by the predicted ends of what runs.
pub fn reserve_gang(
    now: Time,
    need: &Room,
    tasks: u32,
    machines: Vec<Frees>,
) -> Option<Reservation> {
    let mut rooms: Vec<Room> = machines.iter().map(|m| m.room).collect();
    let mut slots: u32 = rooms.iter().map(|r| r.slots(need)).sum();
    let mut ends: Vec<(Time, usize, Room)> = Vec::new();
    for (i, m) in machines.iter().enumerate() {
        ends.extend(m.ends.iter().map(|(end, room)| (*end, i, *room)));
    }
    ends.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut at = now;
    let mut ends = ends.into_iter();
    while slots < tasks {
        let (end, i, room) = ends.next()?;
        slots -= rooms[i].slots(need);
        rooms[i].add(&room);
        slots += rooms[i].slots(need);
        at = at.max(end);
    }
    Some(Reservation {
        machine: 0,
        at,
        spare: Room::default(),
        everywhere: true,
    })
}

impl Reservation {
    /// Whether a task that is started now on `machine`, and ends at `end`, leaves it undelayed.
    pub fn allows(&self, machine: usize, need: &Room, end: Time) -> bool {
        let elsewhere = !self.everywhere && machine != self.machine;
        elsewhere || end <= self.at || self.spare.fits(need)
    }

    /// Accounts for a task that was let pass.
    pub fn admit(&mut self, machine: usize, need: &Room, end: Time) {
        if !self.everywhere && machine == self.machine && end > self.at {
            self.spare.take(need);
        }
    }
}

//! The head's reservation, and what may be started without delaying it.

use super::state::Room;
use super::Time;
use std::collections::BTreeMap;

/// A machine as the reservation sees it: what is free now and what comes free when.
pub struct Frees {
    pub machine: usize,
    pub room: Room,
    /// Predicted ends of its tasks with the room that each frees.
    pub ends: Vec<(Time, Room)>,
}

/// Where and when the queue's head starts, by the predictions at hand.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    /// When its next task starts.
    pub at: Time,
    /// The machines that are held for its tasks: until when, and what is left over by then.
    held: BTreeMap<usize, (Time, Room)>,
    /// For a gang: it needs room on many machines at once, so all are held for it.
    everywhere: bool,
}

/// The earliest starts of so many tasks, one a machine, that fit nowhere now.
pub fn reserve(now: Time, need: &Room, tasks: usize, machines: Vec<Frees>) -> Option<Reservation> {
    let mut starts: Vec<(Time, usize, Room)> = Vec::new();
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
        if !room.fits(need) {
            continue;
        }
        // What ends by then as well is spare too.
        for (end, freed) in ends {
            if *end <= at {
                room.add(freed);
            }
        }
        room.take(need);
        starts.push((at, m.machine, room));
    }
    starts.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    let held = starts.iter().take(tasks);
    Some(Reservation {
        at: starts.first()?.0,
        held: held.map(|(at, i, spare)| (*i, (*at, *spare))).collect(),
        everywhere: false,
    })
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
        at,
        held: BTreeMap::new(),
        everywhere: true,
    })
}

impl Reservation {
    /// Whether a task that is started now on `machine`, and ends at `end`, leaves it undelayed.
    pub fn allows(&self, machine: usize, need: &Room, end: Time) -> bool {
        match self.held.get(&machine) {
            Some((at, spare)) => end <= *at || spare.fits(need),
            None => !self.everywhere || end <= self.at,
        }
    }

    /// Accounts for a task that was let pass.
    pub fn admit(&mut self, machine: usize, need: &Room, end: Time) {
        if let Some((at, spare)) = self.held.get_mut(&machine) {
            if end > *at {
                spare.take(need);
            }
        }
    }
}

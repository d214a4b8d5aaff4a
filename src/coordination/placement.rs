//! Which machine takes a task: types, zones, kinds, limits, images and room.

use super::backfill::Reservation;
use super::core::Core;
use super::queue::{outranks, Blocked};
use super::state::*;
use super::Time;
use std::collections::{BTreeSet, HashMap, HashSet};

pub(super) struct Plan {
    pub job: Name,
    pub task: u32,
    pub machine: Name,
    /// All tasks of a gang share their attempt.
    pub gang: bool,
}

#[derive(Default)]
pub(super) struct Plans {
    pub places: Vec<Plan>,
    pub stops: Vec<(Name, PlaceKey)>,
    /// Jobs of which nothing runs, and that found room but for the reservation.
    pub withheld: BTreeSet<Name>,
}

/// One pass of placing: rooms and limits as they will be once its plans are carried out.
pub(super) struct Pass<'a> {
    core: &'a Core,
    pub now: Time,
    machines: Vec<&'a Machine>,
    open: Vec<bool>,
    rooms: Vec<Room>,
    /// Room on each machine that is kept warm for services.
    warm: Vec<Room>,
    /// The order in which machines fill, from 0 to 1: what comes last empties first, and can be
    /// returned.
    rank: Vec<f64>,
    team_use: HashMap<String, (f64, f64)>,
    zones: HashMap<Name, HashMap<Name, u32>>,
    victims: HashSet<PlaceKey>,
    plans: Plans,
    full_for: Vec<Full>,
    /// Tasks of each job that are planned in this pass.
    placed: HashMap<Name, usize>,
}

/// A shape of tasks that has found no room in this pass.
struct Full {
    need: Room,
    /// Whether it could have used machines that the cloud may take back.
    spot: bool,
}

impl Full {
    /// Whether tasks of the job can find no room either: they are no smaller, and may use no more.
    fn covers(&self, job: &Job, need: &Room) -> bool {
        need.fits(&self.need) && (self.spot || !job.spec.spot)
    }
}

/// Seconds of waiting that a free start is worth against stopping other work.
const PREEMPTION_PENALTY_S: f64 = 1.0;
/// Seconds of waiting that are accepted to fill the machines in their order: what comes last then
/// empties and can be returned.
const FILL_S: f64 = 2.0;
/// Seconds of waiting that are accepted to keep services together, so that few machines are left
/// with a replica each when the batches end.
const APART_S: f64 = 1.0;
/// More than any fetch takes: where the job has failed, and where several others have.
const FAILED_PENALTY_S: f64 = 1e6;
const SUSPECT_PENALTY_S: f64 = 1e5;
/// Jobs that have failed on a machine since one last completed there, before it comes last.
const SUSPECT_JOBS: usize = 2;

impl<'a> Pass<'a> {
    pub fn new(core: &'a Core, now: Time) -> Pass<'a> {
        let machines: Vec<&Machine> = core.machines.values().collect();
        let open = machines
            .iter()
            .map(|m| core.takes_tasks(m, now) && core.type_of(&m.kind).is_some())
            .collect();
        let rooms = machines.iter().map(|m| core.free_room(m)).collect();
        let rank = core.fill_order(&machines);
        Pass {
            core,
            now,
            rank,
            warm: vec![Room::default(); machines.len()],
            machines,
            open,
            rooms,
            team_use: core.team_use.clone(),
            zones: HashMap::new(),
            victims: HashSet::new(),
            plans: Plans::default(),
            full_for: Vec::new(),
            placed: HashMap::new(),
        }
    }

    pub fn finish(self) -> Plans {
        self.plans
    }

    pub fn machine(&self, i: usize) -> &'a Machine {
        self.machines[i]
    }

    /// Processors of all machines that take tasks.
    pub fn cpus(&self) -> f64 {
        let open = self.machines.iter().zip(&self.open).filter(|(_, o)| **o);
        let cpus = |m: &Machine| self.core.type_of(&m.kind).map_or(0.0, |t| t.cpus);
        open.map(|(m, _)| cpus(m)).sum()
    }

    /// What batches may use of a machine's room.
    pub fn room(&self, i: usize) -> Room {
        let mut room = self.rooms[i];
        room.take(&self.warm[i]);
        room
    }

    /// Machines that may take a task of the job at all.
    pub fn allowed<'b>(&'b self, job: &'b Job) -> impl Iterator<Item = usize> + 'b {
        (0..self.machines.len()).filter(move |i| {
            let m = self.machines[*i];
            self.open[*i] && may_use(job, m)
        })
    }

    fn within_limit(&self, job: &Job, tasks: u32) -> bool {
        let Some(team) = self.core.team(&job.spec.team) else {
            return false;
        };
        let used = self
            .team_use
            .get(&job.spec.team)
            .copied()
            .unwrap_or_default();
        let fits = |used: f64, need: f64, most: f64| {
            most <= 0.0 || need <= 0.0 || used + need * f64::from(tasks) <= most + 1e-9
        };
        fits(used.0, job.spec.cpus, team.cpus_max) && fits(used.1, job.spec.gpus, team.gpus_max)
    }

    fn zones_of(&mut self, job: &Job) -> &mut HashMap<Name, u32> {
        let core = self.core;
        self.zones.entry(job.id.clone()).or_insert_with(|| {
            let mut zones = HashMap::new();
            // Only such jobs are asked for; others would be scanned for nothing.
            if job.spec.one_zone || job.spec.spread {
                for at in job.tasks.iter().flat_map(|t| &t.at) {
                    if let Some(m) = core.machines.get(&at.machine) {
                        *zones.entry(m.zone.clone()).or_default() += 1;
                    }
                }
            }
            zones
        })
    }

    fn zone_allowed(&mut self, job: &Job, zone: &Name) -> bool {
        let most = job.spec.tasks.div_ceil(2);
        let (one_zone, spread) = (job.spec.one_zone, job.spec.spread);
        let zones = self.zones_of(job);
        // The zone of a machine that is known by its name only may be any.
        let unknown = zones.get("").copied().unwrap_or(0);
        let here = unknown + zones.get(zone).copied().unwrap_or(0);
        let elsewhere = zones.iter().any(|(z, n)| z != zone && *n > 0);
        !(one_zone && elsewhere || spread && here >= most)
    }

    /// Seconds until a task could start there. Where the job or several others have failed before
    /// comes last, but stays allowed: there may be no other machine.
    fn delay_s(&self, job: &Job, m: &Machine) -> f64 {
        failure_penalty_s(job, m) + self.fetch_s(job, m)
    }

    /// While machines fall together, one that has not been heard since may have fallen with them:
    /// seconds until its report would tell.
    fn doubt_s(&self, m: &Machine) -> f64 {
        let report_s = self.core.settings.cluster.workers.report_s;
        match (self.core.fall, m.heard) {
            (Some(since), Some(heard)) if heard < since => report_s,
            _ => 0.0,
        }
    }

    fn fetch_s(&self, job: &Job, m: &Machine) -> f64 {
        if m.images.contains_key(&job.spec.image) {
            return 0.0;
        }
        let rate = self.core.type_of(&m.kind).map_or(1.0, |t| t.fetch_gb_per_s);
        job.spec.image_gb / rate.max(1e-3)
    }

    fn plan(&mut self, job: &Job, task: u32, i: usize, gang: bool) {
        let need = job.need();
        self.rooms[i].take(&need);
        let usage = self.team_use.entry(job.spec.team.clone()).or_default();
        usage.0 += need.cpus;
        usage.1 += need.gpus;
        let zone = self.machines[i].zone.clone();
        *self.zones_of(job).entry(zone).or_default() += 1;
        *self.placed.entry(job.id.clone()).or_default() += 1;
        self.plans.places.push(Plan {
            job: job.id.clone(),
            task,
            machine: self.machines[i].name.clone(),
            gang,
        });
    }

    /// A replica goes where it starts soonest; lesser work makes room where that is sooner.
    pub fn place_service(&mut self, job: &Job, task: u32) -> Result<(), Blocked> {
        if !self.within_limit(job, 1) {
            return Err(Blocked::Rule);
        }
        let need = job.need();
        let mut best: Option<(f64, usize, Vec<PlaceKey>)> = None;
        let candidates: Vec<usize> = self.allowed(job).collect();
        self.core.look(candidates.len());
        for i in &candidates {
            if !self.rooms[*i].fits(&need) || !self.zone_allowed(job, &self.machines[*i].zone) {
                continue;
            }
            // Among equals the fullest: others can then empty and be returned.
            let packing = 0.1 * self.free_share(*i) + self.apart_s(*i);
            let delay_s = self.delay_s(job, self.machines[*i]) + self.doubt_s(self.machines[*i]);
            let cost = delay_s + packing;
            if best.as_ref().is_none_or(|b| cost < b.0) {
                best = Some((cost, *i, Vec::new()));
            }
        }
        for i in candidates {
            // Stopping work costs at least this much: most machines need not be looked into.
            let m = self.machines[i];
            let delay_s = self.delay_s(job, m) + self.doubt_s(m) + self.apart_s(i);
            let least = delay_s + PREEMPTION_PENALTY_S;
            if best.as_ref().is_some_and(|b| b.0 <= least) || self.rooms[i].fits(&need) {
                continue;
            }
            if !self.zone_allowed(job, &self.machines[i].zone) {
                continue;
            }
            self.core.look(self.machines[i].places.len());
            let Some(victims) = self.make_room(job, i, &need) else {
                continue;
            };
            let packing = 0.1 * self.free_share(i);
            let cost = least + 0.01 * self.lost_s(i, &victims) + packing;
            if best.as_ref().is_none_or(|b| cost < b.0) {
                best = Some((cost, i, victims));
            }
        }
        let Some((_, i, victims)) = best else {
            return Err(Blocked::Room);
        };
        for key in victims {
            let name = self.machines[i].name.clone();
            self.rooms[i].add(&self.machines[i].places[&key].load.need);
            self.victims.insert(key.clone());
            self.plans.stops.push((name, key));
        }
        self.plan(job, task, i, false);
        Ok(())
    }

    fn apart_s(&self, i: usize) -> f64 {
        match self.machines[i].holds_services() {
            true => 0.0,
            false => APART_S,
        }
    }

    fn free_share(&self, i: usize) -> f64 {
        let total = self
            .core
            .type_of(&self.machines[i].kind)
            .map_or(1.0, |t| t.cpus);
        (self.rooms[i].cpus / total.max(1e-3)).clamp(0.0, 1.0)
    }

    fn lost_s(&self, i: usize, victims: &[PlaceKey]) -> f64 {
        let places = &self.machines[i].places;
        let age = |k: &PlaceKey| self.now - places[k].running_since.unwrap_or(self.now);
        victims.iter().map(age).sum()
    }

    /// Which lesser work to stop so that the room suffices: none, if it does already.
    fn make_room(&self, job: &Job, i: usize, need: &Room) -> Option<Vec<PlaceKey>> {
        let mut room = self.rooms[i];
        let mut victims = Vec::new();
        if room.fits(need) {
            return Some(victims);
        }
        let mut lesser: Vec<(&PlaceKey, &Place)> = self.machines[i]
            .live()
            .filter(|(key, p)| {
                // What saves before it stops, or is not surely there, does not free its room now.
                let quick = matches!(p.stage, Stage::Seen(_)) && p.stop.is_none();
                quick
                    && p.load.yields
                    && outranks(job.priority, p.load.priority)
                    && !self.victims.contains(*key)
            })
            .collect();
        // The youngest first: they lose the least.
        lesser.sort_by(|a, b| b.1.since.total_cmp(&a.1.since));
        for (key, place) in lesser {
            room.add(&place.load.need);
            victims.push(key.clone());
            if room.fits(need) {
                return Some(victims);
            }
        }
        None
    }

    /// Sets room aside for the replicas that are expected before a machine could be rented: where
    /// their image is, and on the fullest machines.
    pub fn keep_warm(&mut self) {
        for (need, count, image) in self.core.fleet.expected(self.core, self.now) {
            let mut free: Vec<(bool, f64, usize)> = (0..self.machines.len())
                .filter(|i| self.open[*i] && !self.machines[*i].spot)
                .filter(|i| self.room(*i).fits(&need))
                .map(|i| {
                    let cold = !self.machines[i].images.contains_key(&image);
                    (cold, self.free_share(i), i)
                })
                .collect();
            free.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
            let mut left = count;
            for (_, _, i) in free {
                while left > 0 && self.room(i).fits(&need) {
                    self.warm[i].add(&need);
                    left -= 1;
                }
            }
        }
    }

    /// The machines that have room for a task of an array, the best first. They go where their
    /// image is, else in the order in which machines fill.
    pub fn rooms_for(&mut self, job: &Job) -> Result<Vec<usize>, Blocked> {
        let need = job.need();
        let mut found: Vec<(f64, usize)> = Vec::new();
        // A job at its team's limit waits for that, and must not come to hold the reservation.
        if !self.within_limit(job, 1) {
            return Err(Blocked::Rule);
        }
        // The smallest tasks that found no room show what larger ones need not try.
        if self.full_for.iter().any(|f| f.covers(job, &need)) {
            return Err(Blocked::Room);
        }
        let candidates: Vec<usize> = self.allowed(job).collect();
        self.core.look(candidates.len());
        for i in candidates {
            if !self.room(i).fits(&need) {
                continue;
            }
            let cost = self.delay_s(job, self.machines[i]) + FILL_S * self.rank[i];
            found.push((cost, i));
        }
        if found.is_empty() && job.spec.types.is_none() && job.spec.zone.is_none() {
            self.full_for.push(Full {
                need,
                spot: job.spec.spot,
            });
        }
        found.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        Ok(found.into_iter().map(|(_, i)| i).collect())
    }

    /// Places as many tasks of an array as can be, on machines that have room for one.
    pub fn place_tasks(
        &mut self,
        job: &Job,
        rooms: Vec<usize>,
        mut head: Option<&mut Reservation>,
        guaranteed: bool,
        most: usize,
    ) -> Result<(), Blocked> {
        let need = job.need();
        let mut zone_blocked = false;
        let mut withheld = false;
        // What this pass has placed of the job already is not waiting any more.
        let placed = self.placed.get(&job.id).copied().unwrap_or(0);
        let mut tasks = job.unplaced().skip(placed).take(most).peekable();
        for i in rooms {
            let end = self.now + self.fetch_s(job, self.machines[i]) + job.predicted_s;
            while tasks.peek().is_some() && self.room(i).fits(&need) {
                if !self.within_limit(job, 1) {
                    return Err(Blocked::Rule);
                }
                if !self.zone_allowed(job, &self.machines[i].zone) {
                    zone_blocked = true;
                    break;
                }
                let delays = head.as_ref().is_some_and(|h| !h.allows(i, &need, end));
                if delays && !guaranteed {
                    withheld = true;
                    break;
                }
                if let Some(head) = head.as_mut() {
                    head.admit(i, &need, end);
                }
                let task = tasks.next().expect("peeked");
                self.plan(job, task, i, false);
            }
        }
        let waits = tasks.peek().is_some();
        if withheld && !self.placed.contains_key(&job.id) {
            self.withhold(job);
        }
        match waits {
            false => Ok(()),
            true if zone_blocked || !self.within_limit(job, 1) => Err(Blocked::Rule),
            true => Err(Blocked::Room),
        }
    }

    /// Only the reservation keeps the job from the room that there is.
    fn withhold(&mut self, job: &Job) {
        if job.live == 0 {
            self.plans.withheld.insert(job.id.clone());
        }
    }

    /// All tasks of a gang, or none.
    pub fn place_gang(
        &mut self,
        job: &Job,
        mut head: Option<&mut Reservation>,
        guaranteed: bool,
    ) -> Result<(), Blocked> {
        if self.placed.contains_key(&job.id) {
            return Ok(());
        }
        let tasks: Vec<u32> = job.unplaced().collect();
        if !self.within_limit(job, tasks.len() as u32) {
            return Err(Blocked::Rule);
        }
        let reserved = head.as_deref().filter(|_| !guaranteed);
        let Some(chosen) = self.fit_gang(job, tasks.len(), reserved) else {
            if reserved.is_some() && self.fit_gang(job, tasks.len(), None).is_some() {
                self.withhold(job);
            }
            return Err(Blocked::Room);
        };
        let (need, end) = (job.need(), self.now + job.predicted_s);
        for (task, i) in tasks.iter().zip(chosen) {
            if let Some(head) = head.as_mut() {
                head.admit(i, &need, end);
            }
            self.plan(job, *task, i, true);
        }
        Ok(())
    }

    /// A machine for each of so many tasks of a gang, in zones that allow it and without delaying the
    /// reservation.
    fn fit_gang(&self, job: &Job, tasks: usize, head: Option<&Reservation>) -> Option<Vec<usize>> {
        let (need, end) = (job.need(), self.now + job.predicted_s);
        let mut machines: Vec<usize> = self
            .allowed(job)
            .filter(|i| head.is_none_or(|h| h.allows(*i, &need, end)))
            .collect();
        // Where it has failed comes last.
        machines.sort_by(|a, b| {
            let failures = |i: usize| failure_penalty_s(job, self.machines[i]);
            let slots = |i: usize| self.room(i).slots(&need);
            let by_failures = failures(*a).total_cmp(&failures(*b));
            by_failures.then(slots(*b).cmp(&slots(*a)))
        });
        if !job.spec.one_zone {
            return self.fill(job, tasks, &machines);
        }
        let zones: BTreeSet<&Name> = machines.iter().map(|i| &self.machines[*i].zone).collect();
        zones.into_iter().find_map(|zone| {
            let here = machines.iter().copied();
            let here: Vec<usize> = here.filter(|i| self.machines[*i].zone == *zone).collect();
            self.fill(job, tasks, &here)
        })
    }

    /// Takes machines in this order until so many tasks have one each.
    fn fill(&self, job: &Job, tasks: usize, machines: &[usize]) -> Option<Vec<usize>> {
        let need = job.need();
        let mut chosen = Vec::new();
        let mut in_zone: HashMap<&Name, u32> = HashMap::new();
        for i in machines {
            let here = in_zone.entry(&self.machines[*i].zone).or_default();
            let free = self.room(*i).slots(&need).min(job.most_in_zone() - *here);
            let count = (free as usize).min(tasks - chosen.len());
            *here += count as u32;
            chosen.extend(std::iter::repeat_n(*i, count));
        }
        (chosen.len() == tasks).then_some(chosen)
    }
}

/// What failures on a machine count for, in seconds of waiting.
fn failure_penalty_s(job: &Job, m: &Machine) -> f64 {
    if job.failed_on.contains_key(&m.name) {
        FAILED_PENALTY_S
    } else if m.failures.len() >= SUSPECT_JOBS {
        SUSPECT_PENALTY_S
    } else {
        0.0
    }
}

/// Whether the job's description lets its tasks use the machine.
pub(super) fn may_use(job: &Job, m: &Machine) -> bool {
    let spec = &job.spec;
    let kind = spec
        .types
        .as_ref()
        .is_none_or(|t| t.iter().any(|t| **t == *m.kind));
    let zone = spec.zone.as_ref().is_none_or(|z| **z == *m.zone);
    kind && zone && (spec.spot || !m.spot)
}

impl Core {
    /// Ranks machines: those that the cloud may take back first, as only batches can use them,
    /// then by the price of a processor, then by age.
    fn fill_order(&self, machines: &[&Machine]) -> Vec<f64> {
        let price = |m: &Machine| {
            let t = self.type_of(&m.kind);
            t.map_or(0.0, |t| {
                let price = if m.spot { t.spot_price } else { t.price };
                price / t.cpus.max(1e-3)
            })
        };
        let prices: Vec<f64> = machines.iter().map(|m| price(m)).collect();
        // They come by name, and a stable sort leaves equals so.
        let mut order: Vec<usize> = (0..machines.len()).collect();
        order.sort_by(|a, b| {
            let spot_first = machines[*b].spot.cmp(&machines[*a].spot);
            spot_first.then(prices[*a].total_cmp(&prices[*b]))
        });
        let mut rank = vec![0.0; machines.len()];
        for (place, i) in order.iter().enumerate() {
            rank[*i] = place as f64 / machines.len() as f64;
        }
        rank
    }

    /// What is free on a machine: all that is or may be there counts, but for what a stop in the
    /// same message ends at once.
    pub(super) fn free_room(&self, m: &Machine) -> Room {
        let Some(kind) = self.type_of(&m.kind) else {
            return Room::default();
        };
        let mut room = Room::of_type(kind);
        room.take(&m.used());
        room
    }
}

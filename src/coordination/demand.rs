//! How many machines are wanted: for services, for what is expected, and for batches.

use super::core::Core;
use super::placement::may_use;
use super::state::*;
use super::Time;
use crate::protocol::cloud::MachineType;
use crate::protocol::job::{JobSpec, Kind};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::iter::repeat_n;
use std::sync::Arc;

/// Amounts are decimal fractions: sums may miss by a little.
const SLACK: f64 = 1e-6;
/// The share of a job's time that its tasks may take to be worked off.
const HORIZON_SHARE: f64 = 0.5;

/// Tasks of one shape that want machines.
pub(super) struct Demand {
    pub spec: Arc<JobSpec>,
    pub count: u32,
    /// Whether the cloud may take the machine back.
    pub spot: bool,
}

impl Demand {
    fn cpus(&self) -> f64 {
        f64::from(self.count) * self.spec.cpus
    }
}

/// A machine that is up, boots or has been asked for, with the room that no service takes, and the
/// room that nothing takes.
#[derive(Clone)]
struct Supply<'a> {
    kind: &'a MachineType,
    zone: &'a str,
    spot: bool,
    room: Room,
    free: Room,
}

impl Supply<'_> {
    fn suits(&self, spec: &JobSpec) -> bool {
        let zone = spec.zone.as_ref().is_none_or(|z| z == self.zone);
        zone && (spec.spot || !self.spot) && may_use_type(spec, self.kind)
    }
}

/// The machines that jobs may use.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Choice<'a> {
    types: Vec<&'a str>,
    zone: Option<&'a str>,
    spot: bool,
}

/// Whether a task fits a type of machine that the job's description allows.
fn may_use_type(spec: &JobSpec, kind: &MachineType) -> bool {
    let allowed = spec.types.as_ref().is_none_or(|t| t.contains(&kind.name));
    allowed && Room::of_type(kind).fits(&Room::of(spec))
}

/// How many tasks of a job fit machines of each zone, by the room that counts.
fn slots_by_zone<'a>(
    job: &Job,
    supply: &[Supply<'a>],
    room: impl Fn(&Supply) -> Room,
) -> BTreeMap<&'a str, u32> {
    let mut slots: BTreeMap<&str, u32> = BTreeMap::new();
    for machine in supply.iter().filter(|s| s.suits(&job.spec)) {
        *slots.entry(machine.zone).or_default() += room(machine).slots(&job.need());
    }
    slots
}

/// Demands of the same shape and with the same choice of machines as one.
pub(super) fn merged(demands: Vec<Demand>) -> Vec<Demand> {
    let mut merged: Vec<Demand> = Vec::new();
    for demand in demands {
        let same = merged.iter_mut().find(|m| {
            let (a, b) = (&m.spec, &demand.spec);
            m.spot == demand.spot
                && Room::of(a) == Room::of(b)
                && (&a.types, &a.zone) == (&b.types, &b.zone)
        });
        match same {
            Some(m) => m.count += demand.count,
            None => merged.push(demand),
        }
    }
    merged
}

impl Core {
    /// The time in which a job's remaining work should be done.
    fn horizon_s(&self, job: &Job, now: Time) -> f64 {
        let objectives = &self.settings.cluster.objectives;
        let within = objectives
            .iter()
            .filter(|o| o.kind == "finished" && o.class.as_deref() == Some(&job.spec.class))
            .filter_map(|o| o.within_s)
            .fold(f64::INFINITY, f64::min);
        let due = job.due.as_ref().map_or(f64::INFINITY, Due::latest);
        let end = due.min(job.ready + within);
        let predicted = job.predicted_s.max(1.0);
        if !end.is_finite() {
            return 2.0 * predicted;
        }
        (HORIZON_SHARE * (end - now)).max(predicted)
    }

    /// What is wanted beyond the machines that are up or coming.
    pub(super) fn demands(&self, now: Time) -> Vec<Demand> {
        let mut demands = Vec::new();
        // Room on machines that are on their way.
        let mut coming: Vec<(bool, Room)> = Vec::new();
        for m in self.machines.values().filter(|m| m.phase == Phase::Booting) {
            if let Some(t) = self.type_of(&m.kind) {
                coming.push((m.spot, Room::of_type(t)));
            }
        }
        for r in self.fleet.renting.values() {
            if let Some(t) = self.type_of(&r.kind) {
                for _ in 0..r.count {
                    coming.push((r.spot, Room::of_type(t)));
                }
            }
        }
        let mut absorb = |need: &Room, spot: bool, count: u32| {
            let mut left = count;
            for (_, room) in coming.iter_mut().filter(|c| spot || !c.0) {
                while left > 0 && room.fits(need) {
                    room.take(need);
                    left -= 1;
                }
            }
            left
        };
        for job in self
            .jobs
            .values()
            .filter(|j| j.is_service() && j.may_begin())
        {
            let count = self.wanted(job, job.unplaced_count());
            let left = absorb(&job.need(), job.spec.spot, count);
            if left > 0 {
                demands.push(Demand {
                    spec: job.spec.clone(),
                    count: left,
                    spot: job.spec.spot,
                });
            }
        }
        for (need, count, _) in self.fleet.expected(self, now) {
            let free: u32 = self
                .machines
                .values()
                .filter(|m| self.takes_tasks(m, now) && !m.spot)
                .map(|m| self.free_room(m).slots(&need))
                .sum();
            let left = absorb(&need, false, count.saturating_sub(free));
            let class = self
                .fleet
                .services
                .values()
                .find(|a| Room::of(&a.spec) == need);
            if let (Some(a), true) = (class, left > 0) {
                demands.push(Demand {
                    spec: a.spec.clone(),
                    count: left,
                    spot: false,
                });
            }
        }
        let supply = self.supply(now);
        for job in self.overdue_batches(now) {
            if job.spec.kind == Kind::Gang && (job.spec.one_zone || job.spec.spread) {
                let free = slots_by_zone(job, &supply, |machine| machine.free);
                demands.extend(self.gang_demands(job, &free));
                continue;
            }
            let tasks = match job.spec.kind {
                Kind::Gang => job.spec.tasks,
                _ => 1,
            };
            let left = absorb(&job.need(), job.spec.spot, self.wanted(job, tasks));
            if left > 0 {
                demands.push(Demand {
                    spec: job.spec.clone(),
                    count: left,
                    spot: job.spec.spot && self.settings.policy.spot,
                });
            }
        }
        demands.extend(self.batch_demands(&supply, now));
        demands
    }

    /// The machines that are up or come, with the room that batches can use.
    fn supply(&self, now: Time) -> Vec<Supply<'_>> {
        let mut supply = Vec::new();
        for r in self.fleet.renting.values() {
            let coming = self.type_of(&r.kind).map(|kind| Supply {
                kind,
                zone: &r.zone,
                spot: r.spot,
                room: Room::of_type(kind),
                free: Room::of_type(kind),
            });
            let count = r.count as usize;
            supply.extend(coming.into_iter().flat_map(|s| repeat_n(s, count)));
        }
        let present = self.machines.values();
        for m in present.filter(|m| m.phase == Phase::Booting || self.takes_tasks(m, now)) {
            let Some(kind) = self.type_of(&m.kind) else {
                continue;
            };
            let mut room = Room::of_type(kind);
            for (_, place) in m.live().filter(|(_, p)| p.load.run_s.is_none()) {
                room.take(&place.load.need);
            }
            supply.push(Supply {
                kind,
                zone: &m.zone,
                spot: m.spot,
                room,
                free: self.free_room(m),
            });
        }
        supply
    }

    /// The work of each job that runs, in processor seconds to its predicted end.
    fn work_running(&self, now: Time) -> HashMap<&str, f64> {
        let mut work: HashMap<&str, f64> = HashMap::new();
        for m in self.machines.values() {
            for (key, p) in m.live().filter(|(_, p)| p.load.run_s.is_some()) {
                *work.entry(&key.0).or_default() += (p.predicted_end(now) - now) * p.load.need.cpus;
            }
        }
        work
    }

    /// What the queue needs: enough that each job, after those before it, ends in its time, on
    /// machines that it may use; and for a gang, room for all of its tasks at once.
    fn batch_demands(&self, supply: &[Supply], now: Time) -> Vec<Demand> {
        let mut batches: Vec<&Job> = self
            .jobs
            .values()
            .filter(|j| !j.is_service() && j.may_begin() && now >= j.retry_at)
            .collect();
        batches.sort_by_key(|j| j.seq);
        let running = self.work_running(now);
        let mut demands = Vec::new();
        for jobs in self.by_choice(&batches).values() {
            if let Some(gang) = self.largest_gang(jobs) {
                let slots = slots_by_zone(gang, supply, |machine| machine.room);
                demands.extend(self.gang_demands(gang, &slots));
            }
            let suitable = supply.iter().filter(|s| s.suits(&jobs[0].spec));
            // What may use every machine is part of the demand of all.
            if suitable.clone().count() < supply.len() {
                let cpus: f64 = suitable.map(|s| s.room.cpus).sum();
                let have = cpus - self.cpus_taken(jobs, now);
                demands.extend(self.shortage(jobs, have, &running, now));
            }
        }
        let wanted = demands.iter().map(Demand::cpus);
        let have = supply.iter().map(|s| s.room.cpus).chain(wanted).sum();
        demands.extend(self.shortage(&batches, have, &running, now));
        demands
    }

    /// Batches that have found no room for so long that they get machines of their own: those at hand
    /// may suffice to end them in time, and yet not to begin them, or to begin them again.
    fn overdue_batches(&self, now: Time) -> impl Iterator<Item = &Job> {
        let batches = self.jobs.values().filter(|j| !j.is_service());
        batches.filter(move |j| j.may_begin() && now >= j.retry_at && j.is_overdue(now))
    }

    /// Waiting jobs by the machines that they may use: types on which a task fits, zone, and whether
    /// the cloud may take them back.
    fn by_choice<'a>(&'a self, batches: &[&'a Job]) -> BTreeMap<Choice<'a>, Vec<&'a Job>> {
        let mut groups: BTreeMap<Choice, Vec<&Job>> = BTreeMap::new();
        for job in batches.iter().filter(|j| j.unplaced_count() > 0) {
            let spec = &job.spec;
            let types = self.types.iter().filter(|t| may_use_type(spec, t));
            let choice = Choice {
                types: types.map(|t| t.name.as_str()).collect(),
                zone: spec.zone.as_deref(),
                spot: spec.spot,
            };
            groups.entry(choice).or_default().push(job);
        }
        groups
    }

    /// Processors on machines that these jobs may use which other batches hold for longer than it
    /// takes until a machine is up.
    fn cpus_taken(&self, jobs: &[&Job], now: Time) -> f64 {
        let until = now + self.boot_s();
        let own: HashSet<&Name> = jobs.iter().map(|j| &j.id).collect();
        let machines = self.machines.values();
        let suitable = machines.filter(|m| self.takes_tasks(m, now) && may_use(jobs[0], m));
        let others = suitable.flat_map(Machine::live).filter(|(key, place)| {
            let batch = place.load.run_s.is_some();
            batch && !own.contains(&key.0) && place.predicted_end(now) > until
        });
        others.map(|(_, place)| place.load.need.cpus).sum()
    }

    /// The gang with the most work left that its team's limit lets start.
    fn largest_gang<'a>(&self, jobs: &[&'a Job]) -> Option<&'a Job> {
        let gangs = jobs.iter().filter(|j| j.spec.kind == Kind::Gang);
        let startable = gangs.filter(|j| self.wanted(j, j.spec.tasks) == j.spec.tasks);
        let largest = startable.max_by(|a, b| a.work_left().total_cmp(&b.work_left()));
        largest.copied()
    }

    /// What a gang lacks to start, if so many of its tasks fit each zone.
    fn gang_demands(&self, job: &Job, slots: &BTreeMap<&str, u32>) -> Vec<Demand> {
        let lacks = match (job.spec.one_zone, job.spec.spread) {
            (true, _) => self.lack_in_one_zone(job, slots).into_iter().collect(),
            (false, true) => self.lacks_by_zone(job, slots),
            (false, false) => {
                let have = slots.values().sum();
                vec![(None, job.spec.tasks.saturating_sub(have))]
            }
        };
        let lacks = lacks.into_iter().filter(|(_, count)| *count > 0);
        lacks
            .map(|(zone, count)| self.gang_demand(job, zone, count))
            .collect()
    }

    /// So many tasks of a gang want machines, in a zone if it is given.
    fn gang_demand(&self, job: &Job, zone: Option<&str>, count: u32) -> Demand {
        let mut spec = job.spec.clone();
        if let Some(zone) = zone {
            Arc::make_mut(&mut spec).zone = Some(zone.to_string());
        }
        Demand {
            spot: job.spec.spot && self.settings.policy.spot,
            spec,
            count,
        }
    }

    /// What a gang that must be in one zone lacks in the zone where that is the least.
    fn lack_in_one_zone<'a>(
        &'a self,
        job: &'a Job,
        slots: &BTreeMap<&str, u32>,
    ) -> Option<(Option<&'a str>, u32)> {
        let zone = self.zone_for(job, slots)?;
        let have = slots.get(zone).copied().unwrap_or(0);
        Some((Some(zone), job.spec.tasks.saturating_sub(have)))
    }

    /// What a spread gang lacks, in zones that may take more of its tasks, the fullest first.
    fn lacks_by_zone<'a>(
        &'a self,
        job: &'a Job,
        slots: &BTreeMap<&str, u32>,
    ) -> Vec<(Option<&'a str>, u32)> {
        let most = job.most_in_zone();
        let usable = |zone: &str| slots.get(zone).map_or(0, |n| (*n).min(most));
        let have: u32 = slots.keys().map(|zone| usable(zone)).sum();
        let mut left = job.spec.tasks.saturating_sub(have);
        let offers = self.offers(&job.spec);
        let given = offers.filter(|(kind, zone)| self.may_be_had(&job.spec, kind, zone));
        let zones: BTreeSet<&str> = given.map(|(_, zone)| zone).collect();
        let mut zones: Vec<&str> = zones.into_iter().collect();
        zones.sort_by_key(|zone| Reverse(usable(zone)));
        let mut lacks = Vec::new();
        for zone in zones {
            let count = left.min(most - usable(zone));
            left -= count;
            lacks.push((Some(zone), count));
        }
        lacks
    }

    /// The zone in which a gang lacks the least room, among those where the cloud has not lately
    /// refused all machines that it may use.
    fn zone_for<'a>(&'a self, job: &'a Job, slots: &BTreeMap<&str, u32>) -> Option<&'a str> {
        let spec = &job.spec;
        let given = self.offers(spec).filter(|(kind, zone)| {
            let enough = slots.get(zone).is_some_and(|n| *n >= spec.tasks);
            enough || self.may_be_had(spec, kind, zone)
        });
        let zones = given.map(|(_, zone)| zone);
        zones.max_by_key(|zone| slots.get(zone).copied().unwrap_or(0))
    }

    /// The types that a job may use, with each zone in which they are offered and it may be.
    fn offers<'a>(&'a self, spec: &'a JobSpec) -> impl Iterator<Item = (&'a MachineType, &'a str)> {
        let kinds = self.types.iter().filter(|t| may_use_type(spec, t));
        let offers = kinds.flat_map(|t| t.zones.iter().map(move |zone| (t, zone.as_str())));
        offers.filter(|(_, zone)| spec.zone.as_ref().is_none_or(|z| z == zone))
    }

    /// Whether the cloud has not lately refused such machines for the job.
    fn may_be_had(&self, spec: &JobSpec, kind: &MachineType, zone: &str) -> bool {
        let refused = |spot| {
            let offer = (kind.name.as_str().into(), zone.into(), spot);
            self.fleet.refused.contains_key(&offer)
        };
        !refused(false) || spec.spot && !refused(true)
    }

    /// Seconds until a machine is up, on average over the types.
    fn boot_s(&self) -> f64 {
        let boots = self.types.iter().map(|t| t.boot_s);
        boots.sum::<f64>() / self.types.len().max(1) as f64
    }

    /// What jobs lack, in their order, with so many processors: new machines work only once they
    /// have booted, and what is done by then needs none.
    fn shortage(
        &self,
        jobs: &[&Job],
        have: f64,
        running: &HashMap<&str, f64>,
        now: Time,
    ) -> Option<Demand> {
        let boot_s = self.boot_s();
        let mut work = 0.0;
        let mut best: Option<(f64, &Job)> = None;
        for job in jobs {
            let waiting = f64::from(job.unplaced_count()) * job.predicted_s * job.spec.cpus;
            work += waiting + running.get(&*job.id).copied().unwrap_or(0.0);
            if self.wanted(job, job.unplaced_count()) == 0 {
                continue;
            }
            let least_s = boot_s + job.predicted_s;
            let within_s = self.horizon_s(job, now).max(least_s);
            let more = (work - have * within_s) / (within_s - boot_s);
            if more > 0.0 && best.is_none_or(|b| more > b.0) {
                best = Some((more, job));
            }
        }
        let (cpus, job) = best?;
        let count = (cpus / job.spec.cpus.max(1e-3)).ceil() as u32;
        Some(Demand {
            spec: job.spec.clone(),
            count,
            spot: job.spec.spot && self.settings.policy.spot,
        })
    }

    /// As many of a job's tasks as its team's limit lets run.
    pub(super) fn wanted(&self, job: &Job, count: u32) -> u32 {
        let Some(team) = self.team(&job.spec.team) else {
            return 0;
        };
        let used = self.team_use.get(&job.spec.team).map_or(0.0, |u| u.0);
        if team.cpus_max <= 0.0 || job.spec.cpus <= 0.0 {
            return count;
        }
        let free = ((team.cpus_max - used + SLACK) / job.spec.cpus).max(0.0);
        count.min(free as u32)
    }
}

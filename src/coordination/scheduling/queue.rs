//! One pass over what waits: services first, then the queue in its order with backfilling.

use crate::coordination::cluster::ClusterState;
use crate::coordination::scheduling::backfill::{reserve, reserve_gang, Frees, Reservation};
use crate::coordination::scheduling::deadlines::{met, RemainingWork};
use crate::coordination::scheduling::placement::SchedulingCycle;
use crate::coordination::state::{
    AllocationId, AllocationState, Deadline, Job, MachinePhase, Name, WAITS_WITH_ROOM_S,
};
use crate::coordination::Time;
use crate::protocol::job::{JobKind, Priority};
use crate::protocol::worker::TaskState;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use tracing::info;

/// The share of the time for which no job waits with room after which the reservation yields.
const WITHHELD_SHARE: f64 = 0.6;

/// Why a job's next task was not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Blocked {
    /// Its team's limit, a rule about zones, or a pause after failures: it holds up nobody else.
    Rule,
    Resources,
}

/// The first job that found no room, and its reservation: sought only when another job has found
/// room, as on a full fleet it would hold nobody up and cost the most of a pass.
#[derive(Default)]
struct HeadReservation<'a> {
    blocked: Vec<&'a Job>,
    /// How many of them were asked.
    sought: usize,
    found: Option<Reservation>,
}

impl HeadReservation<'_> {
    fn reservation(
        &mut self,
        core: &ClusterState,
        pass: &SchedulingCycle,
    ) -> Option<&mut Reservation> {
        while self.found.is_none() && self.sought < self.blocked.len() {
            self.found = core.reservation(pass, self.blocked[self.sought]);
            self.sought += 1;
        }
        self.found.as_mut()
    }
}

impl ClusterState {
    /// Decides what to place now. SchedulingPlan are recorded before any launch leaves.
    pub(crate) fn schedule(&mut self, now: Time) {
        if self.types.is_empty() || !self.jobs.values().any(|j| waits(j, now)) {
            return;
        }
        let mut pass = SchedulingCycle::new(self, now);
        self.look(self.machines.len());
        let mut services: Vec<&Job> = Vec::new();
        let mut queue: Vec<&Job> = Vec::new();
        for job in self.jobs.values().filter(|j| waits(j, now)) {
            if job.is_service() {
                services.push(job)
            } else {
                queue.push(job)
            }
        }
        services.sort_by_key(|j| (Reverse(j.priority), j.arrival_order));
        for job in services {
            for task in job.unplaced() {
                if pass.place_service(job, task).is_err() {
                    break;
                }
            }
        }
        pass.keep_warm();
        let within = self.within_guarantee();
        let rank = |j: &Job| !within.get(&j.id).copied().unwrap_or(false);
        let turns = self.turns(&queue, self.batch_cpus(&pass), now);
        queue.sort_by(|a, b| rank(a).cmp(&rank(b)).then_with(|| in_turn(a, b, &turns)));
        self.place_queue(&mut pass, &queue, &|j| !rank(j));
        let plans = pass.finish();
        self.note_withheld(&plans.withheld, now);
        for stop in plans.stops {
            let grace_s = self.grace(&stop.1);
            self.stop(&stop.0, &stop.1, grace_s, now);
        }
        let mut gangs: HashMap<Name, u64> = HashMap::new();
        for plan in plans.places {
            let fresh = self.unique();
            let attempt = if plan.gang {
                *gangs.entry(plan.job.clone()).or_insert(fresh)
            } else {
                fresh
            };
            let key = (plan.job, plan.task, attempt);
            self.add_place(key, &plan.machine, AllocationState::Pending, now);
        }
    }

    /// Processors of machines that take tasks and that no service holds.
    fn batch_cpus(&self, pass: &SchedulingCycle) -> f64 {
        let services = self.jobs.values().filter(|j| j.is_service());
        let held: f64 = services.map(|j| f64::from(j.live) * j.spec.cpus).sum();
        (pass.cpus() - held).max(0.0)
    }

    /// How many times as late as their deadline jobs of a class may be, by the aims.
    fn lateness(&self, class: &str) -> Vec<f64> {
        let aims = self.settings.cluster.objectives.iter();
        let of_class = aims.filter(|o| o.kind == "deadline" && o.class.as_deref() == Some(class));
        let mut times: Vec<f64> = of_class.filter_map(|o| o.times).collect();
        times.sort_by(f64::total_cmp);
        if times.is_empty() {
            vec![1.0]
        } else {
            times
        }
    }

    /// The turns of the jobs that wait. Jobs without a deadline come in the order of arrival. A
    /// deadline brings a job forward to the latest start that meets it; what can no longer be met
    /// yields to what can, in tiers of lateness.
    pub(crate) fn turns(&self, queue: &[&Job], cpus: f64, now: Time) -> Turns {
        let mut turns = Turns::new();
        let mut left: Vec<(&Job, &Deadline, Vec<f64>)> = Vec::new();
        let mut taken = 0.0;
        for job in queue {
            match &job.due {
                Some(due) => left.push((job, due, self.lateness(&due.class))),
                _ => {
                    turns.insert(job.id.clone(), (0, job.ready));
                }
            }
        }
        let mut tier = 0;
        while !left.is_empty() {
            let at = |due: &Deadline, times: &[f64]| -> Time {
                times.get(tier).map_or(f64::INFINITY, |t| due.at(*t))
            };
            left.sort_by(|(a, p, x), (b, q, y)| {
                at(p, x)
                    .total_cmp(&at(q, y))
                    .then(a.arrival_order.cmp(&b.arrival_order))
            });
            let dues: Vec<RemainingWork> = left
                .iter()
                .map(|(job, due, times)| RemainingWork {
                    at: at(due, times),
                    work: job.work_left(),
                    least_s: job.predicted_s,
                })
                .collect();
            let met = met(&dues, now, cpus, taken);
            let mut rest = Vec::new();
            for (i, (job, due, times)) in left.into_iter().enumerate() {
                if !met[i] {
                    rest.push((job, due, times));
                    continue;
                }
                taken += dues[i].work;
                let time = if dues[i].at.is_finite() {
                    dues[i].at - job.predicted_s
                } else {
                    job.ready
                };
                turns.insert(job.id.clone(), (tier, time));
            }
            left = rest;
            tier += 1;
        }
        turns
    }

    fn grace(&self, key: &AllocationId) -> f64 {
        match self.jobs.get(&key.0) {
            Some(job) if job.spec.checkpoint_s > 0.0 && !job.cancelled => job.spec.save_s,
            _ => 0.0,
        }
    }

    fn place_queue(
        &self,
        pass: &mut SchedulingCycle,
        queue: &[&Job],
        guaranteed: &dyn Fn(&Job) -> bool,
    ) {
        let mut head = HeadReservation::default();
        let mut rest = Vec::new();
        // Whatever a job yields to, it begins: one task of it, the longest waiting first.
        let now = pass.now;
        let mut overdue: Vec<&Job> = queue
            .iter()
            .copied()
            .filter(|j| j.is_overdue(now) || self.was_withheld(j, now))
            .collect();
        overdue.sort_by_key(|j| j.arrival_order);
        for job in overdue {
            let most = match job.spec.kind {
                JobKind::Gang => usize::MAX,
                _ => 1,
            };
            if self.place_job(pass, job, &mut head, true, most) == Err(Blocked::Resources) {
                head.blocked.push(job);
            }
        }
        for (i, job) in queue.iter().enumerate() {
            match self.place_job(pass, job, &mut head, guaranteed(job), usize::MAX) {
                Ok(()) | Err(Blocked::Rule) => {}
                Err(Blocked::Resources) => {
                    head.blocked.push(job);
                    rest = queue[i + 1..].to_vec();
                    break;
                }
            }
        }
        // Guaranteed work need not wait on other teams, hence not on their reservation.
        rest.sort_by(|a, b| {
            let key = |j: &Job| (!guaranteed(j), j.predicted_s);
            let (a_key, b_key) = (key(a), key(b));
            a_key
                .0
                .cmp(&b_key.0)
                .then(a_key.1.total_cmp(&b_key.1))
                .then(a.arrival_order.cmp(&b.arrival_order))
        });
        for job in rest {
            let _ = self.place_job(pass, job, &mut head, guaranteed(job), usize::MAX);
        }
    }

    /// Whether the reservation alone has kept the job from room for so long that it goes past it.
    /// Predictions may be wrong for ever, and nobody is to wait for long while there is room.
    fn was_withheld(&self, job: &Job, now: Time) -> bool {
        let since = self.withheld.get(&job.id);
        since.is_some_and(|t| now - t > WITHHELD_SHARE * WAITS_WITH_ROOM_S)
    }

    /// Takes in which jobs a pass has withheld from room. A job that pauses has no part in it: what
    /// is known of it stays.
    fn note_withheld(&mut self, jobs: &BTreeSet<Name>, now: Time) {
        let pauses = |id: &Name| self.jobs.get(id).is_some_and(|j| now < j.retry_at);
        self.withheld
            .retain(|id, _| jobs.contains(id) || pauses(id));
        for id in jobs {
            self.withheld.entry(id.clone()).or_insert(now);
        }
    }

    /// Places as many tasks of a job as can be, and at most so many.
    fn place_job(
        &self,
        pass: &mut SchedulingCycle,
        job: &Job,
        head: &mut HeadReservation,
        guaranteed: bool,
        most: usize,
    ) -> Result<(), Blocked> {
        if job.spec.kind == JobKind::Gang {
            return match job.live {
                0 => pass.place_gang(job, head.reservation(self, pass), guaranteed),
                _ => Ok(()),
            };
        }
        let most = if job.is_on_trial(pass.now) {
            most.min(1_usize.saturating_sub(job.live as usize))
        } else {
            most
        };
        if most == 0 {
            return Ok(());
        }
        let rooms = pass.rooms_for(job)?;
        let held = if rooms.is_empty() {
            None
        } else {
            head.reservation(self, pass)
        };
        pass.place_tasks(job, rooms, held, guaranteed, most)
    }

    /// Where the head starts, by the predicted ends of what runs.
    fn reservation(&self, pass: &SchedulingCycle, job: &Job) -> Option<Reservation> {
        let found = match job.spec.kind {
            JobKind::Gang => self.gang_reservation(pass, job),
            // At one task a reservation would hold nothing among hundreds of machines.
            _ => {
                let machines = pass.allowed(job).map(|i| self.frees(pass, i)).collect();
                let waiting = job.unplaced_count() as usize;
                reserve(pass.now, &job.need(), waiting, machines)
            }
        };
        if let Some(r) = &found {
            tracing::debug!("{}: waits, reserved in {:.0} s", job.id, r.at - pass.now);
        }
        found
    }

    /// A gang that must be in one zone reserves in the zone in which it starts first.
    fn gang_reservation(&self, pass: &SchedulingCycle, job: &Job) -> Option<Reservation> {
        let mut by_zone: BTreeMap<&Name, Vec<Frees>> = BTreeMap::new();
        for i in pass.allowed(job) {
            let of_zone = by_zone.entry(&pass.machine(i).zone).or_default();
            of_zone.push(self.frees(pass, i));
        }
        let zones: Vec<Vec<Frees>> = by_zone.into_values().collect();
        let (need, waiting) = (job.need(), job.unplaced_count());
        let most = job.most_in_zone();
        if !job.spec.one_zone {
            return reserve_gang(pass.now, &need, waiting, most, &zones);
        }
        let each = zones.chunks(1);
        let found = each.filter_map(|zone| reserve_gang(pass.now, &need, waiting, most, zone));
        found.min_by(|a, b| a.at.total_cmp(&b.at))
    }

    fn frees(&self, pass: &SchedulingCycle, i: usize) -> Frees {
        let m = pass.machine(i);
        self.look(m.places.len());
        let ends = m
            .live()
            .map(|(_, p)| (p.predicted_end(pass.now), p.load.need));
        Frees {
            machine: i,
            room: pass.room(i),
            ends: ends.filter(|(end, _)| end.is_finite()).collect(),
        }
    }

    /// Which jobs fit into their team's guarantee along with its earlier unfinished ones.
    pub(crate) fn within_guarantee(&self) -> HashMap<Name, bool> {
        if self.settings.cluster.teams.iter().all(|t| t.cpus <= 0.0) {
            return HashMap::new();
        }
        let mut jobs: Vec<&Job> = self.jobs.values().filter(|j| j.may_begin()).collect();
        jobs.sort_by(|a, b| {
            a.ready
                .total_cmp(&b.ready)
                .then(a.arrival_order.cmp(&b.arrival_order))
        });
        let mut sums: HashMap<&str, (f64, f64)> = HashMap::new();
        let mut within = HashMap::new();
        for job in jobs {
            let Some(team) = self.team(&job.spec.team) else {
                continue;
            };
            let sum = sums.entry(&job.spec.team).or_default();
            let tasks = (job.tasks.len() as u32 - job.done) as f64;
            sum.0 += tasks * job.spec.cpus;
            sum.1 += tasks * job.spec.gpus;
            let fits = sum.0 <= team.cpus && sum.1 <= team.gpus;
            within.insert(job.id.clone(), fits);
        }
        within
    }

    /// What the machines are used for, and why jobs stall: for people who read the log.
    pub(crate) fn explain(&mut self, now: Time) {
        let (left, most) = (self.budget.level(now), self.budget.burst());
        let (mut up, mut cpus, mut free, mut booting) = (0, 0.0, 0.0, 0);
        let (mut planned, mut started, mut fetching, mut running) = (0, 0, 0, 0);
        for m in self.machines.values() {
            booting += usize::from(m.phase == MachinePhase::Booting);
            if self.takes_tasks(m, now) {
                up += 1;
                cpus += self.type_of(&m.kind).map_or(0.0, |t| t.cpus);
                free += self.free_room(m).cpus;
            }
            for (_, place) in m.live() {
                match place.stage {
                    AllocationState::Pending => planned += 1,
                    AllocationState::Launching => started += 1,
                    AllocationState::Observed(TaskState::Running) => running += 1,
                    _ => fetching += 1,
                }
            }
        }
        info!(
            "{up} machines take tasks, {free:.0} of their {cpus:.0} CPUs are free; {booting} boot; \
             tasks: {planned} to record, {started} to start, {fetching} fetch or end, {running} run"
        );
        info!(
            "records: {left:.0} of {most:.0} changes left, {} transactions under way, {} ends and \
             {} records of places wait, {} keys to remove; commands wait for {} machines",
            self.in_flight.len(),
            self.over.len(),
            self.urgent.len(),
            self.stale_keys.len(),
            self.to_order.len()
        );
        let spent = std::mem::take(&mut self.spent);
        info!(
            "changes since: {} for ends, {} for places and {} launches, {} for what completed, {} \
             removals",
            spent.ends, spent.places, spent.launches, spent.completed, spent.removals
        );
        let waiting: u32 = self
            .jobs
            .values()
            .filter(|j| waits(j, now))
            .map(Job::unplaced_count)
            .sum();
        if waiting == 0 {
            return;
        }
        let oldest = self
            .jobs
            .values()
            .filter(|j| waits(j, now))
            .min_by_key(|j| j.arrival_order);
        if let Some(job) = oldest {
            let (cpus, most) = (
                self.team_use.get(&job.spec.team).map_or(0.0, |u| u.0),
                self.team(&job.spec.team).map_or(0.0, |t| t.cpus_max),
            );
            info!(
                "{waiting} tasks wait on {up} of {} machines; the oldest is {}, {:.0} s: \
                 its team uses {cpus} CPUs of at most {most}",
                self.machines.len(),
                job.id,
                now - job.ready
            );
        }
    }
}

/// A job's turn among those of its priority: by tier, then in time.
pub(crate) type Turns = HashMap<Name, (usize, Time)>;

/// The order of the queue: by priority, then in turn.
pub(crate) fn in_turn(a: &Job, b: &Job, turns: &Turns) -> Ordering {
    let turn = |j: &Job| turns.get(&j.id).copied().unwrap_or((0, j.ready));
    let ((a_tier, a_time), (b_tier, b_time)) = (turn(a), turn(b));
    let by_turn = a_tier.cmp(&b_tier).then(a_time.total_cmp(&b_time));
    let by_priority = b.priority.cmp(&a.priority);
    by_priority
        .then(by_turn)
        .then(a.arrival_order.cmp(&b.arrival_order))
}

fn waits(job: &Job, now: Time) -> bool {
    job.may_begin() && now >= job.retry_at && job.unplaced_count() > 0
}

/// Whether work may be stopped for other work of a higher priority.
pub(crate) fn outranks(a: Priority, b: Priority) -> bool {
    a > b
}

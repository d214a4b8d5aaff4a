//! How many machines batches need to end in their time.

use super::supply::{slots_by_zone, Supply};
use super::Demand;
use crate::coordination::cluster::ClusterState;
use crate::coordination::scheduling::placement::may_use;
use crate::coordination::state::{Deadline, Job, Machine, Name};
use crate::coordination::Time;
use std::collections::{HashMap, HashSet};

/// The share of a job's time that its tasks may take to be worked off.
const HORIZON_SHARE: f64 = 0.5;

/// Jobs that may use some machines only, in groups with the same choice of them.
#[derive(Default)]
struct RestrictedGroups<'a> {
    group_of: HashMap<&'a Name, usize>,
    /// The processors of each group's machines.
    cpus: Vec<f64>,
}

impl<'a> RestrictedGroups<'a> {
    fn add(&mut self, jobs: &[&'a Job], cpus: f64) {
        let group = self.cpus.len();
        self.cpus.push(cpus);
        self.group_of.extend(jobs.iter().map(|j| (&j.id, group)));
    }
}

/// The work of jobs that come one after the other, in processor seconds.
struct Backlog<'a> {
    running: &'a HashMap<&'a str, f64>,
    groups: RestrictedGroups<'a>,
    /// Work that any machine takes, and that of each group.
    unrestricted: f64,
    of_group: Vec<f64>,
}

impl<'a> Backlog<'a> {
    fn new(running: &'a HashMap<&'a str, f64>, groups: RestrictedGroups<'a>) -> Backlog<'a> {
        Backlog {
            running,
            of_group: vec![0.0; groups.cpus.len()],
            groups,
            unrestricted: 0.0,
        }
    }

    fn add(&mut self, job: &Job) {
        let waiting = f64::from(job.unplaced_count()) * job.predicted_s * job.spec.cpus;
        let work = waiting + self.running.get(&*job.id).copied().unwrap_or(0.0);
        match self.groups.group_of.get(&job.id) {
            Some(group) => self.of_group[*group] += work,
            None => self.unrestricted += work,
        }
    }

    /// What machines have to work off in so many seconds. However much waits for the machines of a
    /// group, it keeps no others from their work.
    fn work_within(&self, seconds: f64) -> f64 {
        let groups = self.of_group.iter().zip(&self.groups.cpus);
        let restricted = groups.map(|(work, cpus)| work.min(cpus * seconds));
        self.unrestricted + restricted.sum::<f64>()
    }
}

impl ClusterState {
    /// What the queue needs: enough that each job, after those before it, ends in its time, on
    /// machines that it may use; and for a gang, room for all of its tasks at once.
    pub(crate) fn batch_demands(&self, supply: &[Supply], now: Time) -> Vec<Demand> {
        let mut batches: Vec<&Job> = self
            .jobs
            .values()
            .filter(|j| !j.is_service() && j.may_begin() && now >= j.retry_at)
            .collect();
        batches.sort_by_key(|j| j.arrival_order);
        let running = self.work_running(now);
        let mut demands = Vec::new();
        let mut groups = RestrictedGroups::default();
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
                let backlog = Backlog::new(&running, RestrictedGroups::default());
                let shortage = self.shortage(jobs, have, backlog, now);
                groups.add(jobs, cpus + shortage.as_ref().map_or(0.0, Demand::cpus));
                demands.extend(shortage);
            }
        }
        let wanted = demands.iter().map(Demand::cpus);
        let have = supply.iter().map(|s| s.room.cpus).chain(wanted).sum();
        let backlog = Backlog::new(&running, groups);
        demands.extend(self.shortage(&batches, have, backlog, now));
        demands
    }

    /// The time in which a job's remaining work should be done.
    fn horizon_s(&self, job: &Job, now: Time) -> f64 {
        let objectives = &self.settings.cluster.objectives;
        let within = objectives
            .iter()
            .filter(|o| o.kind == "finished" && o.class.as_deref() == Some(&job.spec.class))
            .filter_map(|o| o.within_s)
            .fold(f64::INFINITY, f64::min);
        let due = job.due.as_ref().map_or(f64::INFINITY, Deadline::latest);
        let end = due.min(job.ready + within);
        let predicted = job.predicted_s.max(1.0);
        if !end.is_finite() {
            return 2.0 * predicted;
        }
        (HORIZON_SHARE * (end - now)).max(predicted)
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

    /// Seconds until a machine is up, on average over the types.
    pub(crate) fn boot_s(&self) -> f64 {
        let boots = self.types.iter().map(|t| t.boot_s);
        boots.sum::<f64>() / self.types.len().max(1) as f64
    }

    /// What jobs lack, in their order, with so many processors: new machines work only once they
    /// have booted, and what is done by then needs none.
    fn shortage(
        &self,
        jobs: &[&Job],
        have: f64,
        mut backlog: Backlog,
        now: Time,
    ) -> Option<Demand> {
        let boot_s = self.boot_s();
        let mut best: Option<(f64, &Job)> = None;
        for job in jobs {
            backlog.add(job);
            if self.wanted(job, job.unplaced_count()) == 0 {
                continue;
            }
            let least_s = boot_s + job.predicted_s;
            let within_s = self.horizon_s(job, now).max(least_s);
            let more = (backlog.work_within(within_s) - have * within_s) / (within_s - boot_s);
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
}

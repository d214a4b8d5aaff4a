//! The demand of batches: machines that they need to finish in time.

use super::supply::{slots_by_zone, SuppliedMachine};
use super::{Demand, DemandEstimator};
use crate::coordination::state::{may_use, Deadline, Job, JobId, Machine};
use crate::coordination::Time;
use std::collections::{HashMap, HashSet};

/// The share of the time until a job is due in which its work should be done.
const HORIZON_SHARE: f64 = 0.5;
/// The time horizon of a job without deadline and objective, as a multiple of its predicted run time.
const NOT_DUE_FACTOR: f64 = 2.0;

/// The least CPUs of a task for which a shortage of CPUs is expressed in tasks.
const MIN_TASK_CPUS: f64 = 1e-3;

/// Jobs that may use only some machines, grouped by their choice of machines.
#[derive(Default)]
struct RestrictedGroups<'a> {
    group_of: HashMap<&'a JobId, usize>,
    /// The number of CPUs on each group's machines.
    cpus: Vec<f64>,
}

impl<'a> RestrictedGroups<'a> {
    fn add(&mut self, jobs: &[&'a Job], cpus: f64) {
        let group = self.cpus.len();
        self.cpus.push(cpus);
        self.group_of
            .extend(jobs.iter().map(|job| (&job.id, group)));
    }
}

/// The accumulated work of jobs in queue order, in CPU seconds.
struct Backlog<'a> {
    running: &'a HashMap<&'a str, f64>,
    groups: RestrictedGroups<'a>,
    /// Work that may run on any machine.
    unrestricted: f64,
    /// The work of each restricted group.
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

    /// The work that the machines can do within `seconds`. The work of a restricted group counts only up
    /// to the capacity of the group's machines, because it does not occupy others.
    fn work_within(&self, seconds: f64) -> f64 {
        let groups = self.of_group.iter().zip(&self.groups.cpus);
        let restricted = groups.map(|(work, cpus)| work.min(cpus * seconds));
        self.unrestricted + restricted.sum::<f64>()
    }
}

impl DemandEstimator<'_> {
    /// The demand of the queue: enough machines that each job, after the jobs before it, finishes in time
    /// on machines that it may use, and that all tasks of a gang can start together.
    pub(super) fn batch_demands(&self, supply: &[SuppliedMachine]) -> Vec<Demand> {
        let jobs = self.cluster.jobs();
        let batches = jobs.filter(|j| !j.is_service() && j.is_eligible() && self.now >= j.retry_at);
        let mut batches: Vec<&Job> = batches.collect();
        batches.sort_by_key(|job| job.arrival_order);
        let running = self.work_running();
        let mut demands = Vec::new();
        let mut groups = RestrictedGroups::default();
        for jobs in self.group_by_choice(&batches).values() {
            if let Some(gang) = self.largest_gang(jobs) {
                let slots = slots_by_zone(gang, supply, |machine| machine.for_batches);
                demands.extend(self.gang_demands(gang, &slots));
            }
            let suitable = supply.iter().filter(|s| s.suits(&jobs[0].spec));
            // Jobs that may use every machine are part of the overall demand below.
            if suitable.clone().count() < supply.len() {
                let cpus: f64 = suitable.map(|s| s.for_batches.cpus).sum();
                let available_cpus = cpus - self.cpus_used_by_others(jobs);
                let backlog = Backlog::new(&running, RestrictedGroups::default());
                let shortage = self.shortage(jobs, available_cpus, backlog);
                groups.add(jobs, cpus + shortage.as_ref().map_or(0.0, Demand::cpus));
                demands.extend(shortage);
            }
        }
        let demanded = demands.iter().map(Demand::cpus);
        let available_cpus = supply.iter().map(|s| s.for_batches.cpus).chain(demanded);
        let backlog = Backlog::new(&running, groups);
        demands.extend(self.shortage(&batches, available_cpus.sum(), backlog));
        demands
    }

    /// The time within which a job's remaining work should be done, in seconds.
    fn horizon_s(&self, job: &Job) -> f64 {
        let objectives = self.cluster.settings().cluster.objectives.iter();
        let of_class = objectives
            .filter(|o| o.kind == "finished" && o.class.as_deref() == Some(&job.spec.class));
        let within_s = of_class.filter_map(|o| o.within_s);
        let within_s = within_s.fold(f64::INFINITY, f64::min);
        let due_at = job
            .deadline
            .as_ref()
            .map_or(f64::INFINITY, Deadline::latest);
        let end: Time = due_at.min(job.ready_at + within_s);
        let predicted_s = job.predicted_s.max(1.0);
        if !end.is_finite() {
            return NOT_DUE_FACTOR * predicted_s;
        }
        (HORIZON_SHARE * (end - self.now)).max(predicted_s)
    }

    /// The work of each running job until the predicted ends of its tasks, in CPU seconds.
    fn work_running(&self) -> HashMap<&str, f64> {
        let mut work: HashMap<&str, f64> = HashMap::new();
        for machine in self.cluster.machines() {
            for (id, allocation) in machine.live_allocations() {
                if !allocation.profile.is_service() {
                    let left_s = allocation.predicted_end(self.now) - self.now;
                    let cpus = allocation.profile.request.cpus;
                    *work.entry(&id.job).or_default() += left_s * cpus;
                }
            }
        }
        work
    }

    /// The number of CPUs, on machines that these jobs may use, that other batches use for longer
    /// than the mean boot time.
    fn cpus_used_by_others(&self, jobs: &[&Job]) -> f64 {
        let until = self.now + self.cluster.machine_types().mean_boot_s();
        let own_jobs: HashSet<&JobId> = jobs.iter().map(|job| &job.id).collect();
        let machines = self.cluster.machines();
        let suitable =
            machines.filter(|m| self.cluster.accepts_tasks(m, self.now) && may_use(jobs[0], m));
        let others = suitable.flat_map(Machine::live_allocations);
        let others = others.filter(|(id, allocation)| {
            let is_batch = !allocation.profile.is_service();
            is_batch && !own_jobs.contains(&id.job) && allocation.predicted_end(self.now) > until
        });
        others.map(|(_, a)| a.profile.request.cpus).sum()
    }

    /// The largest shortage of CPUs over the jobs in queue order, given `available_cpus`. New
    /// machines contribute only after they have booted, and work done until then needs no new machine.
    fn shortage(&self, jobs: &[&Job], available_cpus: f64, mut backlog: Backlog) -> Option<Demand> {
        let boot_s = self.cluster.machine_types().mean_boot_s();
        let mut largest: Option<(f64, &Job)> = None;
        for job in jobs {
            backlog.add(job);
            if self.cluster.within_quota(job, job.unplaced_count()) == 0 {
                continue;
            }
            let min_s = boot_s + job.predicted_s;
            let within_s = self.horizon_s(job).max(min_s);
            let cpus =
                (backlog.work_within(within_s) - available_cpus * within_s) / (within_s - boot_s);
            if cpus > 0.0 && largest.is_none_or(|(most, _)| cpus > most) {
                largest = Some((cpus, job));
            }
        }
        let (cpus, job) = largest?;
        let mut count = (cpus / job.spec.cpus.max(MIN_TASK_CPUS)).ceil() as u32;
        if job.is_array() {
            // More tasks could not be placed on the machines.
            let placeable = u32::try_from(self.cluster.free_array_allocations());
            count = count.min(placeable.unwrap_or(u32::MAX));
        }
        (count > 0).then(|| Demand {
            spec: job.spec.clone(),
            count,
            spot: self.may_use_spot(job),
        })
    }
}

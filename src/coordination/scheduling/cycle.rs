//! One scheduling cycle's working copy of the cluster: resources and quotas as they will be once its
//! plan is carried out.

use super::plan::{PlannedAllocation, SchedulingPlan};
use crate::coordination::cluster::ClusterState;
use crate::coordination::state::{
    may_use, AllocationId, Job, JobId, Machine, QuotaUsageByTeam, Resources, ZoneName,
};
use crate::coordination::Time;
use crate::protocol::cloud::MachineType;
use std::cell::Cell;
use std::collections::{HashMap, HashSet};

/// Seconds of waiting that a machine where the job has failed counts for: more than any fetch takes.
const FAILED_PENALTY_S: f64 = 1e6;
/// Seconds of waiting that a machine where several other jobs have failed counts for.
const SUSPECT_PENALTY_S: f64 = 1e5;
/// Jobs that have failed on a machine since one last completed there, before it comes last.
const SUSPECT_JOBS: usize = 2;

/// A machine as the cycle sees it.
pub(super) struct CycleMachine<'a> {
    pub(super) machine: &'a Machine,
    pub(super) machine_type: Option<&'a MachineType>,
    /// Whether new tasks may be placed on it.
    pub(super) accepts_tasks: bool,
    /// What is free, after all that the cycle has planned.
    pub(super) free: Resources,
    /// What is reserved for replicas that are expected.
    pub(super) reserved: Resources,
    /// The order in which machines fill, from 0 to 1: what comes last empties first, and can be
    /// returned.
    pub(super) fill_rank: f64,
}

impl CycleMachine<'_> {
    /// What batches may use of what is free.
    pub(super) fn free_for_batches(&self) -> Resources {
        let mut free = self.free;
        free.take(&self.reserved);
        free
    }

    /// The share of its processors that is free.
    pub(super) fn free_share(&self) -> f64 {
        let total = self.machine_type.map_or(1.0, |t| t.cpus);
        (self.free.cpus / total.max(1e-3)).clamp(0.0, 1.0)
    }
}

/// A shape of tasks that has found no room in this cycle.
pub(super) struct FullFor {
    pub(super) request: Resources,
    /// Whether it could have used machines that the cloud may reclaim.
    pub(super) spot: bool,
}

impl FullFor {
    /// Whether tasks of the job can find no room either: they are no smaller, and may use no more.
    pub(super) fn covers(&self, job: &Job, request: &Resources) -> bool {
        request.fits(&self.request) && (self.spot || !job.spec.spot)
    }
}

/// One scheduling cycle. Machines are named by their position in it.
pub(super) struct SchedulingCycle<'a> {
    pub(super) cluster: &'a ClusterState,
    pub(super) now: Time,
    pub(super) machines: Vec<CycleMachine<'a>>,
    quota: QuotaUsageByTeam,
    /// How many tasks of a job are in each zone, for jobs with a rule about zones.
    tasks_by_zone: HashMap<JobId, HashMap<ZoneName, u32>>,
    pub(super) preempted: HashSet<AllocationId>,
    pub(super) full_for: Vec<FullFor>,
    /// How many tasks of each job the cycle has planned.
    pub(super) planned: HashMap<JobId, usize>,
    pub(super) plan: SchedulingPlan,
    examined: Cell<u64>,
}

impl<'a> SchedulingCycle<'a> {
    /// A cycle in which nothing is planned yet.
    pub(super) fn new(cluster: &'a ClusterState, now: Time) -> SchedulingCycle<'a> {
        let with_type = |machine: &'a Machine| {
            let machine_type = cluster.machine_types().get(&machine.machine_type);
            CycleMachine {
                machine,
                machine_type,
                accepts_tasks: machine_type.is_some() && cluster.accepts_tasks(machine, now),
                free: cluster.free_resources(machine),
                reserved: Resources::default(),
                fill_rank: 0.0,
            }
        };
        let mut machines: Vec<CycleMachine> = cluster.machines().map(with_type).collect();
        rank_by_fill_order(&mut machines);
        let examined = Cell::new(machines.len() as u64);
        SchedulingCycle {
            cluster,
            now,
            machines,
            quota: cluster.quota().clone(),
            tasks_by_zone: HashMap::new(),
            preempted: HashSet::new(),
            full_for: Vec::new(),
            planned: HashMap::new(),
            plan: SchedulingPlan::default(),
            examined,
        }
    }

    /// What the cycle has decided.
    pub(super) fn finish(self) -> SchedulingPlan {
        SchedulingPlan {
            examined: self.examined.get(),
            ..self.plan
        }
    }

    /// Counts machines or allocations that are examined.
    pub(super) fn count_examined(&self, count: usize) {
        self.examined.set(self.examined.get() + count as u64);
    }

    /// Processors of all machines that accept tasks.
    pub(super) fn cpus(&self) -> f64 {
        let accepting = self.machines.iter().filter(|m| m.accepts_tasks);
        accepting
            .map(|m| m.machine_type.map_or(0.0, |t| t.cpus))
            .sum()
    }

    /// Machines that may take a task of the job at all.
    pub(super) fn allowed<'b>(&'b self, job: &'b Job) -> impl Iterator<Item = usize> + 'b {
        let machines = self.machines.iter().enumerate();
        machines
            .filter(|(_, m)| m.accepts_tasks && may_use(job, m.machine))
            .map(|(i, _)| i)
    }

    /// Whether so many more tasks of the job stay within its team's quota.
    pub(super) fn within_quota(&self, job: &Job, tasks: u32) -> bool {
        let team = self.cluster.team(&job.spec.team);
        team.is_some_and(|team| self.quota.allows(team, &job.request(), tasks))
    }

    fn tasks_by_zone(&mut self, job: &Job) -> &mut HashMap<ZoneName, u32> {
        let cluster = self.cluster;
        self.tasks_by_zone.entry(job.id.clone()).or_insert_with(|| {
            let mut zones = HashMap::new();
            for allocation in job.tasks().iter().flat_map(|task| &task.allocations) {
                if let Some(machine) = cluster.machine(&allocation.machine) {
                    *zones.entry(machine.zone.clone()).or_default() += 1;
                }
            }
            zones
        })
    }

    /// Whether the job's rules about zones allow another task in a zone.
    pub(super) fn zone_allowed(&mut self, job: &Job, zone: &ZoneName) -> bool {
        let (one_zone, spread) = (job.spec.one_zone, job.spec.spread);
        if !one_zone && !spread {
            return true;
        }
        let max_per_zone = job.max_per_zone();
        let zones = self.tasks_by_zone(job);
        // The zone of a machine that is known by its name only may be any.
        let unknown = zones.get("").copied().unwrap_or(0);
        let here = unknown + zones.get(zone).copied().unwrap_or(0);
        let is_elsewhere = zones.iter().any(|(z, n)| z != zone && *n > 0);
        !(one_zone && is_elsewhere || spread && here >= max_per_zone)
    }

    /// Seconds until a task could start on a machine. Where the job or several others have failed
    /// before comes last, but stays allowed: there may be no other machine.
    pub(super) fn delay_s(&self, job: &Job, i: usize) -> f64 {
        failure_penalty_s(job, self.machines[i].machine) + self.fetch_s(job, i)
    }

    /// While many machines fail together, one that has not been heard since may have failed with them:
    /// seconds until its heartbeat would tell.
    pub(super) fn unheard_penalty_s(&self, i: usize) -> f64 {
        let report_s = self.cluster.settings().cluster.workers.report_s;
        let last_heartbeat_at = self.machines[i].machine.worker.last_heartbeat_at();
        match (self.cluster.mass_failure_since(), last_heartbeat_at) {
            (Some(since), Some(last)) if last < since => report_s,
            _ => 0.0,
        }
    }

    /// Seconds until a machine has the job's image.
    pub(super) fn fetch_s(&self, job: &Job, i: usize) -> f64 {
        let machine = &self.machines[i];
        if machine.machine.images.contains(&job.spec.image) {
            return 0.0;
        }
        let rate = machine.machine_type.map_or(1.0, |t| t.fetch_gb_per_s);
        job.spec.image_gb / rate.max(1e-3)
    }

    /// Plans a task on a machine.
    pub(super) fn allocate(&mut self, job: &Job, task: u32, i: usize) {
        let request = job.request();
        self.machines[i].free.take(&request);
        self.quota.allocate(&job.spec.team, &request);
        let machine = self.machines[i].machine;
        // Other jobs' zones are never asked for.
        if job.spec.one_zone || job.spec.spread {
            let tasks_by_zone = self.tasks_by_zone(job);
            *tasks_by_zone.entry(machine.zone.clone()).or_default() += 1;
        }
        *self.planned.entry(job.id.clone()).or_default() += 1;
        self.plan.allocations.push(PlannedAllocation {
            job: job.id.clone(),
            task,
            machine: machine.name.clone(),
            is_gang: job.is_gang(),
        });
    }

    /// Notes that only the reservation keeps the job from free resources.
    pub(super) fn mark_starved(&mut self, job: &Job) {
        if job.allocated() == 0 {
            self.plan.starved.insert(job.id.clone());
        }
    }
}

/// What failures on a machine count for, in seconds of waiting.
pub(super) fn failure_penalty_s(job: &Job, machine: &Machine) -> f64 {
    if job.failed_on.contains_key(&machine.name) {
        FAILED_PENALTY_S
    } else if machine.failures.jobs_failed_here.len() >= SUSPECT_JOBS {
        SUSPECT_PENALTY_S
    } else {
        0.0
    }
}

/// Ranks machines: those that the cloud may reclaim first, as only batches can use them, then by the
/// price of a processor, then by age.
fn rank_by_fill_order(machines: &mut [CycleMachine]) {
    let cpu_price = |m: &CycleMachine| {
        m.machine_type.map_or(0.0, |t| {
            let price = if m.machine.spot {
                t.spot_price
            } else {
                t.price
            };
            price / t.cpus.max(1e-3)
        })
    };
    let prices: Vec<f64> = machines.iter().map(cpu_price).collect();
    // They come by name, and a stable sort leaves equals so.
    let mut order: Vec<usize> = (0..machines.len()).collect();
    order.sort_by(|a, b| {
        let spot_first = machines[*b].machine.spot.cmp(&machines[*a].machine.spot);
        spot_first.then(prices[*a].total_cmp(&prices[*b]))
    });
    let count = machines.len() as f64;
    for (position, i) in order.iter().enumerate() {
        machines[*i].fill_rank = position as f64 / count;
    }
}

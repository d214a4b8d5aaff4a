//! The working copy of a scheduling cycle: resources and quotas as they will be once the plan is
//! applied.

use super::plan::{PlannedAllocation, SchedulingPlan};
use crate::coordination::cluster::allocation_limit::may_hold_more;
use crate::coordination::cluster::ClusterState;
use crate::coordination::state::{
    may_use, AllocationId, Job, JobId, Machine, QuotaUsageByTeam, Resources, ZoneName,
};
use crate::coordination::Time;
use crate::protocol::cloud::MachineType;
use crate::protocol::worker::MAX_TASK_STATUS_BYTES;
use std::cell::Cell;
use std::collections::{HashMap, HashSet};

/// Cost, in seconds of waiting, of a machine on which the job has failed: more than any image fetch takes.
const FAILED_PENALTY_S: f64 = 1e6;
/// Cost, in seconds of waiting, of a machine on which several other jobs have failed.
const SUSPECT_PENALTY_S: f64 = 1e5;
/// How many jobs must have failed on a machine, since a task last completed on it, for
/// `SUSPECT_PENALTY_S` to apply.
const SUSPECT_JOBS: usize = 2;

/// The share of a machine's heartbeat that arrays leave to services and gangs, which then need not wait until the
/// worker has forgotten exited tasks of arrays.
const HEARTBEAT_SHARE_LEFT_BY_ARRAYS: f64 = 0.1;

/// The time that a task stays in the heartbeat after its exit counts on machines with less than this share of their
/// heartbeat free.
const AMPLE_HEARTBEAT_SHARE: f64 = 0.9;
/// How long a task may stay in the heartbeat after its exit, as a share of a worker's lease: until its completion is
/// written, or the next fencing token is drawn.
const MAX_FORGET_LEASES: f64 = 0.5;

/// A machine in the cycle's working copy.
pub(super) struct CycleMachine<'a> {
    pub(super) machine: &'a Machine,
    pub(super) machine_type: Option<&'a MachineType>,
    /// Whether new tasks may be placed on the machine.
    pub(super) accepts_tasks: bool,
    /// The free resources, after everything that the cycle has planned.
    pub(super) free: Resources,
    /// Resources that are reserved for expected replicas.
    pub(super) reserved: Resources,
    /// The position in the order in which machines are filled, from 0 to 1. Machines at the end of the
    /// order become empty first and can be returned.
    pub(super) fill_rank: f64,
}

impl CycleMachine<'_> {
    /// The free resources that arrays and gangs may use.
    pub(super) fn free_for_batches(&self) -> Resources {
        let mut free = self.free;
        free.subtract(&self.reserved);
        free
    }

    /// The free resources that arrays may use.
    pub(super) fn free_for_arrays(&self) -> Resources {
        let left_bytes = HEARTBEAT_SHARE_LEFT_BY_ARRAYS * MAX_TASK_STATUS_BYTES as f64;
        let mut free = self.free_for_batches();
        free.subtract(&Resources::of_heartbeat(left_bytes));
        free
    }

    /// The share of the machine's CPUs that is free.
    pub(super) fn free_share(&self) -> f64 {
        let total = self.machine_type.map_or(1.0, |t| t.cpus);
        (self.free.cpus / total.max(1e-3)).clamp(0.0, 1.0)
    }
}

/// A request for which no machine has enough free resources in this cycle.
pub(super) struct RejectedRequest {
    pub(super) request: Resources,
    /// Whether spot machines were allowed.
    pub(super) spot: bool,
}

impl RejectedRequest {
    /// Whether the job's tasks cannot fit either: they request at least as much, and may use no other
    /// machines.
    pub(super) fn rules_out(&self, job: &Job, request: &Resources) -> bool {
        request.fits(&self.request) && (self.spot || !job.spec.spot)
    }
}

/// One scheduling cycle. Machines are identified by their index in `machines`.
pub(super) struct SchedulingCycle<'a> {
    pub(super) cluster: &'a ClusterState,
    pub(super) now: Time,
    pub(super) machines: Vec<CycleMachine<'a>>,
    quota: QuotaUsageByTeam,
    /// How many tasks of a job are in each zone, for jobs with a zone constraint.
    tasks_by_zone: HashMap<JobId, HashMap<ZoneName, u32>>,
    pub(super) preempted: HashSet<AllocationId>,
    pub(super) rejected_requests: Vec<RejectedRequest>,
    /// How many tasks of each job the cycle has placed.
    pub(super) planned: HashMap<JobId, usize>,
    pub(super) plan: SchedulingPlan,
    /// How many further tasks of arrays may be placed.
    free_array_allocations: u64,
    examined: Cell<u64>,
}

impl<'a> SchedulingCycle<'a> {
    /// A cycle with an empty plan.
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
            rejected_requests: Vec::new(),
            planned: HashMap::new(),
            plan: SchedulingPlan::default(),
            free_array_allocations: cluster.free_array_allocations(),
            examined,
        }
    }

    /// The finished plan.
    pub(super) fn finish(self) -> SchedulingPlan {
        SchedulingPlan {
            examined: self.examined.get(),
            ..self.plan
        }
    }

    /// Adds to the count of examined machines and allocations.
    pub(super) fn count_examined(&self, count: usize) {
        self.examined.set(self.examined.get() + count as u64);
    }

    /// The number of CPUs on all machines that accept tasks.
    pub(super) fn cpus(&self) -> f64 {
        let accepting = self.machines.iter().filter(|m| m.accepts_tasks);
        accepting
            .map(|m| m.machine_type.map_or(0.0, |t| t.cpus))
            .sum()
    }

    /// Machines that accept tasks and that the job may use, whether or not a task fits now.
    pub(super) fn allowed<'b>(&'b self, job: &'b Job) -> impl Iterator<Item = usize> + 'b {
        let machines = self.machines.iter().enumerate();
        machines
            .filter(|(_, m)| m.accepts_tasks && may_use(job, m.machine))
            .map(|(i, _)| i)
    }

    /// Whether `tasks` more tasks of the job stay within its team's quota.
    pub(super) fn within_quota(&self, job: &Job, tasks: u32) -> bool {
        let team = self.cluster.team(&job.spec.team);
        team.is_some_and(|team| self.quota.allows(team, &job.request(), tasks))
    }

    fn tasks_by_zone(&mut self, job: &Job) -> &mut HashMap<ZoneName, u32> {
        let cluster = self.cluster;
        self.tasks_by_zone.entry(job.id.clone()).or_insert_with(|| {
            let mut zones = HashMap::new();
            for (_, allocation) in job.allocations() {
                if let Some(machine) = cluster.machine(&allocation.machine) {
                    *zones.entry(machine.zone.clone()).or_default() += 1;
                }
            }
            zones
        })
    }

    /// Whether the job's zone constraints allow another task in a zone.
    pub(super) fn zone_allowed(&mut self, job: &Job, zone: &ZoneName) -> bool {
        let (one_zone, spread) = (job.spec.one_zone, job.spec.spread);
        if !one_zone && !spread {
            return true;
        }
        let max_per_zone = job.max_per_zone();
        let zones = self.tasks_by_zone(job);
        // A machine of which only the name is known may be in any zone.
        let unknown = zones.get("").copied().unwrap_or(0);
        let in_zone = unknown + zones.get(zone).copied().unwrap_or(0);
        let in_other_zone = zones.iter().any(|(z, n)| z != zone && *n > 0);
        !(one_zone && in_other_zone || spread && in_zone >= max_per_zone)
    }

    /// Seconds until a task could start on a machine, plus the penalty for failures. Machines on which
    /// the job or several others have failed come last but stay allowed: there may be no other machine.
    pub(super) fn delay_s(&self, job: &Job, i: usize) -> f64 {
        failure_penalty_s(job, self.machines[i].machine) + self.fetch_s(job, i)
    }

    /// The penalty, during a mass failure, for a machine without a heartbeat since the failure began, which
    /// may have failed too: one heartbeat interval, after which a heartbeat would have shown that.
    pub(super) fn stale_heartbeat_penalty_s(&self, i: usize) -> f64 {
        let report_s = self.cluster.settings().cluster.workers.report_s;
        let last_heartbeat_at = self.machines[i].machine.worker.last_heartbeat_at();
        match (self.cluster.mass_failure_since(), last_heartbeat_at) {
            (Some(since), Some(last)) if last < since => report_s,
            _ => 0.0,
        }
    }

    /// Seconds that a machine needs to fetch the job's image.
    pub(super) fn fetch_s(&self, job: &Job, i: usize) -> f64 {
        let machine = &self.machines[i];
        if machine.machine.images.contains(&job.spec.image) {
            return 0.0;
        }
        let rate = machine.machine_type.map_or(1.0, |t| t.fetch_gb_per_s);
        job.spec.image_gb / rate.max(1e-3)
    }

    /// Whether the limit on all allocations of arrays allows the job another one.
    pub(super) fn within_allocation_limit(&self, job: &Job) -> bool {
        let planned = self.planned.get(&job.id).copied().unwrap_or(0);
        let held = u64::from(job.allocated()) + planned as u64;
        may_hold_more(held, self.free_array_allocations)
    }

    /// Whether the job, which has `held` allocations on a machine, leaves enough of its heartbeat for others with
    /// another one.
    pub(super) fn within_heartbeat_share(&self, job: &Job, i: usize, held: usize) -> bool {
        let free = self.machines[i].free_for_arrays().heartbeat_bytes;
        let slots = free / job.request().heartbeat_bytes;
        may_hold_more(held as u64, slots as u64)
    }

    /// Seconds after a task's exit until its bytes of the machine's heartbeat are free; 0 where few are in use.
    pub(super) fn forget_s(&self, i: usize) -> f64 {
        let free_bytes = self.machines[i].free.heartbeat_bytes;
        if free_bytes >= AMPLE_HEARTBEAT_SHARE * MAX_TASK_STATUS_BYTES as f64 {
            return 0.0;
        }
        MAX_FORGET_LEASES * self.cluster.settings().cluster.workers.lease_s
    }

    /// Adds the placement of a task on a machine to the plan.
    pub(super) fn allocate(&mut self, job: &Job, task: u32, i: usize) {
        let request = job.request();
        self.machines[i].free.subtract(&request);
        self.quota.allocate(&job.spec.team, &request);
        let machine = self.machines[i].machine;
        // The counts by zone are needed only for jobs with a zone constraint.
        if job.spec.one_zone || job.spec.spread {
            let tasks_by_zone = self.tasks_by_zone(job);
            *tasks_by_zone.entry(machine.zone.clone()).or_default() += 1;
        }
        *self.planned.entry(job.id.clone()).or_default() += 1;
        if job.is_array() {
            self.free_array_allocations = self.free_array_allocations.saturating_sub(1);
        }
        self.plan.allocations.push(PlannedAllocation {
            job: job.id.clone(),
            task,
            machine: machine.name.clone(),
            is_gang: job.is_gang(),
        });
    }

    /// Marks a job as starved: only the head's reservation keeps its tasks from free resources.
    pub(super) fn mark_starved(&mut self, job: &Job) {
        if job.allocated() == 0 {
            self.plan.starved.insert(job.id.clone());
        }
    }
}

/// The cost of earlier failures on a machine, in seconds of waiting.
pub(super) fn failure_penalty_s(job: &Job, machine: &Machine) -> f64 {
    if job.failed_on.contains_key(&machine.name) {
        FAILED_PENALTY_S
    } else if machine.failures.failed_jobs.len() >= SUSPECT_JOBS {
        SUSPECT_PENALTY_S
    } else {
        0.0
    }
}

/// Sets the fill order: spot machines first, because only jobs that allow them can use them, then by
/// price per CPU, then by name.
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
    // The machines are in the order of their names, which a stable sort keeps among equals.
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

//! Scale in: returns idle machines, and machines whose replicas fit on other machines.

use super::MIN_CHARGE_S;
use crate::coordination::cluster::service_arrivals::ExpectedReplicas;
use crate::coordination::cluster::ClusterState;
use crate::coordination::state::{
    may_use, AllocationId, Job, Machine, MachineName, MachinePhase, MachineTypeName, Resources,
    ZoneName,
};
use crate::coordination::Time;
use std::collections::HashMap;
use tracing::info;

/// Free CPUs to keep for each CPU that waiting tasks request: tasks do not fit everywhere.
const WAITING_CPU_FACTOR: f64 = 1.25;
/// The maximum share of the machines that are up that may drain at a time.
const MAX_DRAINING_SHARE: f64 = 0.05;
/// How many machines are examined as candidates for draining in each run.
const MAX_MOVE_CANDIDATES: usize = 16;
/// How long a replica must have run before it may be moved, so that its start counts.
const MIN_RUN_BEFORE_MOVE_S: f64 = 30.0;

/// Free CPUs on all machines, and on on-demand machines alone.
#[derive(Clone, Copy, Default)]
struct FreeCpus {
    all: f64,
    on_demand: f64,
}

impl FreeCpus {
    fn add(&mut self, machine: &Machine, cpus: f64) {
        self.all += cpus;
        if !machine.spot {
            self.on_demand += cpus;
        }
    }
}

/// A waiting job, and the CPUs that its startable tasks request.
struct WaitingJob<'a> {
    job: &'a Job,
    cpus: f64,
}

impl WaitingJob<'_> {
    /// Whether the job prevents the machine's return: a job that may use only some machines keeps all of
    /// these.
    fn prevents_return(&self, machine: &Machine) -> bool {
        let spec = &self.job.spec;
        let may_use_any = spec.gpus <= 0.0 && spec.types.is_none() && spec.zone.is_none();
        !may_use_any && may_use(self.job, machine)
    }
}

/// An idle machine, with its price.
struct IdleMachine<'a> {
    machine: &'a Machine,
    price: f64,
}

/// The properties by which machines are equivalent for scale in.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct MachineKind<'a> {
    machine_type: &'a MachineTypeName,
    zone: &'a ZoneName,
    spot: bool,
}

/// Returns idle machines if the expected and waiting tasks fit without them.
pub(super) fn return_idle(cluster: &mut ClusterState, now: Time) {
    for name in idle_to_return(cluster, now) {
        info!(machine = %name, "returning an idle machine");
        cluster.begin_return(&name);
    }
}

fn idle_to_return(cluster: &ClusterState, now: Time) -> Vec<MachineName> {
    let mut idle = idle_machines(cluster, now);
    if idle.is_empty() {
        return Vec::new();
    }
    let free = free_beyond_expected(cluster, now);
    let waiting = waiting_jobs(cluster);
    let mut surplus_by_kind: HashMap<MachineKind, FreeCpus> = HashMap::new();
    let mut returned = FreeCpus::default();
    let mut returns = Vec::new();
    // The most expensive first.
    idle.sort_by(|a, b| b.price.total_cmp(&a.price));
    for IdleMachine { machine, .. } in idle {
        let kind = MachineKind {
            machine_type: &machine.machine_type,
            zone: &machine.zone,
            spot: machine.spot,
        };
        let surplus = surplus_by_kind
            .entry(kind)
            .or_insert_with(|| surplus(cluster, free, &waiting, machine));
        let cpus = cluster.free_resources(machine).cpus;
        let is_surplus = surplus.all - returned.all >= cpus
            && (machine.spot || surplus.on_demand - returned.on_demand >= cpus);
        if is_surplus && !waiting.iter().any(|job| job.prevents_return(machine)) {
            returned.add(machine, cpus);
            returns.push(machine.name.clone());
        }
    }
    returns
}

/// Machines that have been idle for long enough to be returned.
fn idle_machines(cluster: &ClusterState, now: Time) -> Vec<IdleMachine<'_>> {
    let idle_share = cluster.settings().policy.idle_timeout;
    let machines = cluster.machines();
    let empty =
        machines.filter(|machine| cluster.accepts_tasks(machine, now) && machine.is_empty());
    let idle = empty.filter_map(|machine| {
        let machine_type = cluster.machine_types().get(&machine.machine_type)?;
        let price = if machine.spot {
            machine_type.spot_price
        } else {
            machine_type.price
        };
        let is_idle = now - machine.idle_since > idle_share * machine_type.boot_s;
        let past_min_charge = now - machine.rented_at > MIN_CHARGE_S;
        (is_idle && past_min_charge).then_some(IdleMachine { machine, price })
    });
    idle.collect()
}

/// Free CPUs on all machines, minus the requests of expected replicas.
fn free_beyond_expected(cluster: &ClusterState, now: Time) -> FreeCpus {
    let mut free = FreeCpus::default();
    for machine in cluster.machines() {
        if cluster.accepts_tasks(machine, now) {
            free.add(machine, cluster.free_resources(machine).cpus);
        }
    }
    for expected in cluster.expected_replicas(now) {
        let cpus = expected.request.cpus * f64::from(expected.count);
        free.all -= cpus;
        free.on_demand -= cpus;
    }
    free
}

/// Waiting jobs, with the tasks that quotas allow to start.
fn waiting_jobs(cluster: &ClusterState) -> Vec<WaitingJob<'_>> {
    let jobs = cluster.jobs().filter(|job| job.is_eligible());
    let waiting = jobs.filter_map(|job| {
        // A job that waits for its team's quota needs no machine.
        let tasks = cluster.within_quota(job, job.unplaced_count());
        let cpus = f64::from(tasks) * job.spec.cpus;
        (tasks > 0).then_some(WaitingJob { job, cpus })
    });
    waiting.collect()
}

/// Free CPUs beyond the requests of expected replicas and of the jobs that wait for machines like
/// this one. The mere presence of waiting jobs does not prevent a return, because with many jobs one is
/// always waiting briefly. Jobs whose tasks do not fit on such a machine do not count either.
fn surplus(
    cluster: &ClusterState,
    free: FreeCpus,
    waiting: &[WaitingJob],
    machine: &Machine,
) -> FreeCpus {
    let mut surplus = free;
    let Some(machine_type) = cluster.machine_types().get(&machine.machine_type) else {
        return surplus;
    };
    let total = Resources::of_type(machine_type);
    for WaitingJob { job, cpus } in waiting {
        if !may_use(job, machine) || !total.fits(&job.request()) {
            continue;
        }
        surplus.all -= WAITING_CPU_FACTOR * cpus;
        if !job.spec.spot {
            surplus.on_demand -= WAITING_CPU_FACTOR * cpus;
        }
    }
    surplus
}

/// A machine to drain, and the replicas to move to other machines.
struct Move {
    machine: MachineName,
    allocations: Vec<AllocationId>,
}

/// Drains machines that have only replicas, if these fit on other machines that already have their
/// images, so that the drained machines can be returned.
pub(super) fn consolidate(cluster: &mut ClusterState, now: Time) {
    for Move {
        machine,
        allocations,
    } in moves(cluster, now)
    {
        let replicas = allocations.len();
        info!(machine = %machine, replicas, "moving replicas off a machine to return it");
        cluster.drain_replicas(&machine, &allocations, now);
    }
}

fn moves(cluster: &ClusterState, now: Time) -> Vec<Move> {
    let max_moves = max_moves(cluster);
    if max_moves == 0 {
        return Vec::new();
    }
    let on_demand = |machine: &&Machine| !machine.spot && cluster.accepts_tasks(machine, now);
    let mut targets: Vec<&Machine> = cluster.machines().filter(on_demand).collect();
    let movable = targets.iter().copied();
    let movable =
        movable.filter(|machine| !machine.is_empty() && holds_settled_replicas(machine, now));
    let mut candidates: Vec<&Machine> = movable.collect();
    candidates.sort_by(|a, b| a.used().cpus.total_cmp(&b.used().cpus));
    // The fullest targets come first, so that the emptier machines can be drained next.
    let free_cpus = |machine: &Machine| cluster.free_resources(machine).cpus;
    targets.sort_by(|a, b| free_cpus(a).total_cmp(&free_cpus(b)));
    let mut consolidation = Consolidation {
        cluster,
        targets,
        expected: cluster.expected_replicas(now),
        taken: HashMap::new(),
        moves: Vec::new(),
    };
    for machine in candidates.into_iter().take(MAX_MOVE_CANDIDATES) {
        if consolidation.moves.len() >= max_moves {
            break;
        }
        consolidation.try_move(machine);
    }
    consolidation.moves
}

/// How many more machines may be drained now; 0 while tasks wait.
fn max_moves(cluster: &ClusterState) -> usize {
    let (mut up, mut draining) = (0, 0);
    for machine in cluster.machines() {
        if machine.phase == MachinePhase::Up {
            up += 1;
            draining += usize::from(machine.draining);
        }
    }
    let max_draining = ((MAX_DRAINING_SHARE * f64::from(up)) as usize).max(1);
    let mut jobs = cluster.jobs();
    if draining >= max_draining || jobs.any(|job| job.is_eligible() && job.unplaced_count() > 0) {
        return 0;
    }
    max_draining - draining
}

/// Whether all tasks on a machine are replicas that have run for `MIN_RUN_BEFORE_MOVE_S` and are not
/// being stopped.
fn holds_settled_replicas(machine: &Machine, now: Time) -> bool {
    machine.live_allocations().all(|(_, allocation)| {
        let since = allocation.running_since;
        let has_settled = since.is_some_and(|since| now - since > MIN_RUN_BEFORE_MOVE_S);
        allocation.profile.is_service() && has_settled && allocation.pending_stop.is_none()
    })
}

/// The moves decided so far, and the resources that they use on other machines.
struct Consolidation<'a> {
    cluster: &'a ClusterState,
    /// Machines that may receive replicas.
    targets: Vec<&'a Machine>,
    expected: Vec<ExpectedReplicas>,
    /// The resources that the moves use on the targets, by the index of the target.
    taken: HashMap<usize, Resources>,
    moves: Vec<Move>,
}

impl Consolidation<'_> {
    /// Adds a move of a machine's replicas if these and the expected replicas fit on other machines.
    fn try_move(&mut self, machine: &Machine) {
        if let Some(taken) = self.fits_elsewhere(machine) {
            self.taken = taken;
            let allocations = machine.live_allocations();
            self.moves.push(Move {
                machine: machine.name.clone(),
                allocations: allocations.map(|(id, _)| id.clone()).collect(),
            });
        }
    }

    /// The resources used on the targets if the machine's replicas move there; `None` if these and the
    /// expected replicas do not fit.
    fn fits_elsewhere(&self, machine: &Machine) -> Option<HashMap<usize, Resources>> {
        let mut taken = self.taken.clone();
        for (id, allocation) in machine.live_allocations() {
            let job = self.cluster.job(&id.job)?;
            let request = &allocation.profile.request;
            let target = (0..self.targets.len()).find(|target| {
                self.accepts_replica(*target, job, machine)
                    && self.free(*target, &taken).fits(request)
            })?;
            taken.entry(target).or_default().add(request);
        }
        let fits_expected = |expected: &ExpectedReplicas| {
            let targets =
                (0..self.targets.len()).filter(|target| self.is_available_target(*target, machine));
            let slots = targets.map(|target| self.free(target, &taken).slots(&expected.request));
            slots.sum::<u32>() >= expected.count
        };
        self.expected.iter().all(fits_expected).then_some(taken)
    }

    /// Whether a target may receive a replica of a job from a machine.
    fn accepts_replica(&self, target: usize, job: &Job, machine: &Machine) -> bool {
        let has_zone_constraint = job.spec.one_zone || job.spec.spread;
        let target_machine = self.targets[target];
        (!has_zone_constraint || target_machine.zone == machine.zone)
            && may_use(job, target_machine)
            && target_machine.images.contains(&job.spec.image)
            && self.is_available_target(target, machine)
    }

    /// Whether a target is a different machine and is not going to be drained.
    fn is_available_target(&self, target: usize, machine: &Machine) -> bool {
        let name = &self.targets[target].name;
        *name != machine.name && self.moves.iter().all(|m| m.machine != *name)
    }

    fn free(&self, target: usize, taken: &HashMap<usize, Resources>) -> Resources {
        let mut free = self.cluster.free_resources(self.targets[target]);
        free.subtract(&taken.get(&target).copied().unwrap_or_default());
        free
    }
}

//! The scheduling cycle: services first, then the queue in order, with backfilling.

use super::cycle::SchedulingCycle;
use super::head_reservation::HeadReservation;
use super::placement::arrays::ArrayPlacement;
use super::plan::{Blocked, SchedulingPlan};
use super::queue_order::QueueOrder;
use crate::coordination::cluster::ClusterState;
use crate::coordination::state::Job;
use crate::coordination::Time;
use std::cmp::Reverse;

/// Runs a scheduling cycle; `None` if no task waits or no machine type is known. The plan is recorded
/// before any launch is sent.
pub(crate) fn run_cycle(cluster: &ClusterState, now: Time) -> Option<SchedulingPlan> {
    let is_anything_waiting = cluster.jobs().any(|job| job.is_waiting(now));
    if cluster.machine_types().is_empty() || !is_anything_waiting {
        return None;
    }
    let mut cycle = SchedulingCycle::new(cluster, now);
    let waiting = cluster.jobs().filter(|job| job.is_waiting(now));
    let (services, mut queue): (Vec<&Job>, Vec<&Job>) = waiting.partition(|job| job.is_service());
    place_services(&mut cycle, services);
    cycle.reserve_for_expected_replicas();
    let order = QueueOrder::new(cluster, &queue, batch_cpus(&cycle), now);
    queue.sort_by(|a, b| order.compare(a, b));
    place_queue(&mut cycle, &queue, &order);
    Some(cycle.finish())
}

fn place_services(cycle: &mut SchedulingCycle, mut services: Vec<&Job>) {
    services.sort_by_key(|job| (Reverse(job.priority), job.arrival_order));
    for job in services {
        for task in job.unplaced() {
            if cycle.place_service(job, task).is_err() {
                break;
            }
        }
    }
}

/// The number of CPUs, on machines that accept tasks, that no service uses.
fn batch_cpus(cycle: &SchedulingCycle) -> f64 {
    let services = cycle.cluster.jobs().filter(|job| job.is_service());
    let held = services.map(|job| f64::from(job.allocated()) * job.spec.cpus);
    (cycle.cpus() - held.sum::<f64>()).max(0.0)
}

fn place_queue(cycle: &mut SchedulingCycle, queue: &[&Job], order: &QueueOrder) {
    let mut head = HeadReservation::default();
    place_overdue(cycle, queue, &mut head);
    for (i, job) in queue.iter().enumerate() {
        let is_guaranteed = order.is_guaranteed(job);
        match place_job(cycle, job, &mut head, is_guaranteed, usize::MAX) {
            Ok(()) | Err(Blocked::Policy) => {}
            Err(Blocked::Capacity) => {
                head.push_blocked(job);
                backfill(cycle, &queue[i + 1..], &mut head, order);
                break;
            }
        }
    }
}

/// Places one task of each overdue or starved job, and all tasks of a gang, in the order of arrival and
/// regardless of the queue order, so that every job starts.
fn place_overdue<'a>(
    cycle: &mut SchedulingCycle,
    queue: &[&'a Job],
    head: &mut HeadReservation<'a>,
) {
    let now = cycle.now;
    let starvation = cycle.cluster.starvation();
    let queue = queue.iter().copied();
    let overdue = queue.filter(|job| job.is_overdue(now) || starvation.is_starved(&job.id, now));
    let mut overdue: Vec<&Job> = overdue.collect();
    overdue.sort_by_key(|job| job.arrival_order);
    for job in overdue {
        let max_tasks = if job.is_gang() { usize::MAX } else { 1 };
        if place_job(cycle, job, head, true, max_tasks) == Err(Blocked::Capacity) {
            head.push_blocked(job);
        }
    }
}

/// Places the jobs behind the head, those with the shortest predicted run time first, as far as they do
/// not delay its reservation. Guaranteed jobs come before them and ignore the reservation, because
/// they need not wait for jobs of other teams.
fn backfill<'a>(
    cycle: &mut SchedulingCycle,
    jobs: &[&'a Job],
    head: &mut HeadReservation<'a>,
    order: &QueueOrder,
) {
    let mut jobs = jobs.to_vec();
    jobs.sort_by(|a, b| {
        let by_guarantee = order.is_guaranteed(b).cmp(&order.is_guaranteed(a));
        by_guarantee
            .then(a.predicted_s.total_cmp(&b.predicted_s))
            .then(a.arrival_order.cmp(&b.arrival_order))
    });
    for job in jobs {
        let _ = place_job(cycle, job, head, order.is_guaranteed(job), usize::MAX);
    }
}

/// Places as many tasks of a job as possible, at most `max_tasks`.
fn place_job(
    cycle: &mut SchedulingCycle,
    job: &Job,
    head: &mut HeadReservation,
    is_guaranteed: bool,
    max_tasks: usize,
) -> Result<(), Blocked> {
    if job.is_gang() {
        if job.allocated() > 0 {
            return Ok(());
        }
        let reservation = head.get(cycle);
        return cycle.place_gang(job, reservation, is_guaranteed);
    }
    let max_tasks = if job.is_on_trial(cycle.now) {
        max_tasks.min(1_usize.saturating_sub(job.allocated() as usize))
    } else {
        max_tasks
    };
    if max_tasks == 0 {
        return Ok(());
    }
    let machines = cycle.machines_for(job)?;
    let head = if machines.is_empty() {
        None
    } else {
        head.get(cycle)
    };
    let placement = ArrayPlacement {
        machines,
        head,
        is_guaranteed,
        max_tasks,
    };
    cycle.place_array(job, placement)
}

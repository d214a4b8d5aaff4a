//! Scale-out and scale-in in small fleets: which machines are rented for jobs that none of the present
//! machines can hold, however little work there is, and which are returned.

mod common;

use common::{
    apply_effects, heartbeat, heartbeat_from, machine_type, manager, parse_submission,
    started_attempts, starts, submission, task_statuses, worker_heartbeat,
};
use serde_json::{json, Value};
use stairstage::coordination::cluster::{Effect, HeartbeatOutcome};
use stairstage::coordination::manager::ClusterManager;
use stairstage::protocol::cloud::{MachineType, RentalRequest};
use stairstage::protocol::ids::Incarnation;
use stairstage::protocol::worker::{Command, TaskState, TaskStatus};
use stairstage::storage::records::OpenRecord;

/// Seconds after which a job that has not started is overdue, with a margin.
const OVERDUE_S: i32 = 140;

/// A fleet of one machine in zone `z`; the only machine type is offered in zones `z` and `y`.
fn one_machine() -> ClusterManager {
    let mut manager = manager();
    manager.set_machine_types(vec![MachineType {
        zones: vec!["z".into(), "y".into()],
        ..machine_type()
    }]);
    heartbeat(&mut manager, 1, Vec::new(), 0.0);
    manager
}

/// The rental requests in the first seconds after a job is submitted; `overrides` are fields of its
/// submission that differ from the default.
fn rented(
    manager: &mut ClusterManager,
    rig: &str,
    tasks: u32,
    overrides: &[(&str, Value)],
) -> Vec<RentalRequest> {
    let mut body = submission("req-1", rig, "normal", tasks);
    for (field, value) in overrides {
        body[*field] = value.clone();
    }
    manager.job_accepted(OpenRecord::accepted(parse_submission(&body), 0), 1, 0, 0.0);
    let mut rents = Vec::new();
    for second in 1..5 {
        let now = f64::from(second);
        heartbeat(manager, 1 + second as u64, Vec::new(), now);
        manager.tick(now);
        apply_effects(manager, now, |_, effect| {
            if let Effect::RentMachines(rent) = effect {
                rents.push(rent);
            }
        });
    }
    rents
}

/// Guards against replicas that wait for ever, or end their machine's lease, where only the length of a heartbeat
/// limits how many run on one machine.
#[test]
fn replicas_beyond_the_length_of_a_heartbeat_rent_machines() {
    let count = |replicas| {
        let tiny = [("cpus", json!(0.0)), ("mem_gb", json!(0.0))];
        let rents = rented(&mut one_machine(), "standing", replicas, &tiny);
        rents.iter().map(|rent| rent.count).sum::<u32>()
    };
    // Machines that are rented for the replicas to be expected.
    let spare = count(4);
    for (replicas, machines) in [(400, 0), (1_250, 2), (3_000, 5)] {
        assert_eq!(count(replicas) - spare, machines, "{replicas} replicas");
    }
}

#[test]
fn job_that_fits_the_present_machine_rents_none() {
    let rents = rented(&mut one_machine(), "sweep", 1, &[]);
    assert!(rents.is_empty(), "{rents:?}");
}

#[test]
fn job_bound_to_a_zone_without_machines_rents_one_in_that_zone() {
    let rents = rented(&mut one_machine(), "sweep", 1, &[("berth", json!("y"))]);
    assert_eq!(rents.len(), 1, "{rents:?}");
    assert_eq!((rents[0].zone.as_str(), rents[0].count), ("y", 1));
}

#[test]
fn spread_gang_rents_a_machine_in_another_zone() {
    let rents = rented(&mut one_machine(), "group", 2, &[("spread", json!(true))]);
    assert_eq!(rents.len(), 1, "{rents:?}");
    assert_eq!((rents[0].zone.as_str(), rents[0].count), ("y", 1));
}

#[test]
fn gang_in_one_zone_larger_than_the_fleet_rents_the_missing_machine() {
    let rents = rented(
        &mut one_machine(),
        "group",
        8,
        &[("same_place", json!(true))],
    );
    assert_eq!(rents.len(), 1, "{rents:?}");
    assert_eq!((rents[0].zone.as_str(), rents[0].count), ("z", 1));
}

#[test]
fn spread_gang_larger_than_the_fleet_rents_machines_in_both_zones() {
    let rents = rented(&mut one_machine(), "group", 16, &[("spread", json!(true))]);
    let by_zone: Vec<(&str, u32)> = rents.iter().map(|r| (r.zone.as_str(), r.count)).collect();
    assert_eq!(by_zone, [("z", 1), ("y", 2)]);
}

#[test]
fn overdue_spread_gang_rents_only_in_the_zone_that_lacks_a_machine() {
    let mut manager = one_machine();
    let first = rented(&mut manager, "group", 2, &[("spread", json!(true))]);
    let mut pending = first;
    for second in 5..OVERDUE_S {
        let now = f64::from(second);
        for rent in pending.drain(..) {
            assert_eq!(rent.zone, "y", "at {second} s");
            manager.machines_rented(&rent.idempotency_key, Some(Vec::new()), now);
        }
        heartbeat(&mut manager, 1 + second as u64, Vec::new(), now);
        manager.tick(now);
        apply_effects(&mut manager, now, |_, effect| {
            if let Effect::RentMachines(rent) = effect {
                pending.push(rent);
            }
        });
    }
}

/// The number of idle machines of the smaller type.
const SMALL_MACHINES: usize = 6;

/// A fleet of idle machines of the smaller of two types; the cloud grants no rental request.
struct IdleFleet {
    manager: ClusterManager,
    now: f64,
    rented: Vec<RentalRequest>,
    returned: Vec<String>,
}

impl IdleFleet {
    fn new() -> IdleFleet {
        let large = MachineType {
            name: "m16".into(),
            cpus: 16.0,
            ..machine_type()
        };
        let mut manager = manager();
        manager.set_machine_types(vec![machine_type(), large]);
        let mut fleet = IdleFleet {
            manager,
            now: 0.0,
            rented: Vec::new(),
            returned: Vec::new(),
        };
        fleet.pass(1);
        fleet
    }

    /// Submits an array of tasks that each request `cpus` and have an estimated run time of `run_s`.
    fn submit(&mut self, number: u64, tasks: u32, cpus: f64, run_s: f64) {
        let mut body = submission(&format!("req-{number}"), "sweep", "normal", tasks);
        body["cpus"] = json!(cpus);
        body["passage_s"] = json!(run_s);
        let record = OpenRecord::accepted(parse_submission(&body), 0);
        self.manager.job_accepted(record, number, 0, self.now);
    }

    /// Lets time pass; each second, all machines that were not returned send heartbeats without tasks.
    fn pass(&mut self, seconds: u32) {
        for _ in 0..seconds {
            self.now += 1.0;
            let now = self.now;
            for machine in (0..SMALL_MACHINES).map(|i| format!("m-{i}")) {
                if !self.returned.contains(&machine) {
                    heartbeat_from(
                        &mut self.manager,
                        &machine,
                        now as u64,
                        None,
                        Vec::new(),
                        now,
                    );
                }
            }
            self.manager.tick(now);
            let (rented, returned) = (&mut self.rented, &mut self.returned);
            apply_effects(&mut self.manager, now, |manager, effect| match effect {
                Effect::RentMachines(rent) => {
                    manager.machines_rented(&rent.idempotency_key, Some(Vec::new()), now);
                    rented.push(rent);
                }
                Effect::ReturnMachines(names) => {
                    manager.machines_returned(&names, true, now);
                    returned.extend(names);
                }
                _ => {}
            });
        }
    }
}

#[test]
fn idle_machines_are_returned_while_waiting_tasks_fit_none_of_them() {
    let mut fleet = IdleFleet::new();
    fleet.submit(1, 100, 8.0, 300.0);
    fleet.pass(200);
    assert_eq!(fleet.returned.len(), SMALL_MACHINES);
}

#[test]
fn job_that_waits_for_large_machines_does_not_make_small_jobs_rent_more() {
    let mut fleet = IdleFleet::new();
    fleet.submit(1, 500, 8.0, 300.0);
    fleet.pass(3);
    fleet.submit(2, 30, 1.0, 20.0);
    fleet.pass(3);
    let small = fleet.rented.iter().filter(|r| r.kind == "m4");
    assert_eq!(small.count(), 0, "{:?}", fleet.rented);
    let large = fleet.rented.iter().filter(|r| r.kind == "m16");
    assert!(large.count() > 0, "the first job needs larger machines");
}

/// The commands in the response to a heartbeat of the second incarnation of the only worker.
fn answer_in_second_incarnation(
    manager: &mut ClusterManager,
    sequence: u64,
    tasks: Vec<TaskStatus>,
    now: f64,
) -> Vec<Command> {
    let mut heartbeat = worker_heartbeat("m-1", sequence, 1, tasks);
    heartbeat.incarnation = Incarnation(2);
    match manager.heartbeat(&heartbeat, now) {
        HeartbeatOutcome::Response(answer) => answer.commands,
        other => panic!("{other:?}"),
    }
}

#[test]
fn job_that_lost_its_machine_to_long_tasks_rents_another() {
    let mut manager = one_machine();
    let mut job = submission("req-1", "sweep", "normal", 1);
    job["cpus"] = json!(4.0);
    manager.job_accepted(OpenRecord::accepted(parse_submission(&job), 0), 1, 0, 0.0);
    let first = started_attempts(&mut manager, 0.5);
    assert_eq!(first.len(), 1);
    heartbeat(
        &mut manager,
        2,
        task_statuses(&first, TaskState::Running, None),
        1.0,
    );
    // The lease of the machine's worker expires, and long tasks of a higher priority take the resources.
    let mut long = submission("req-2", "sweep", "urgent", 4);
    long["passage_s"] = json!(5000.0);
    manager.job_accepted(OpenRecord::accepted(parse_submission(&long), 0), 2, 0, 16.0);
    answer_in_second_incarnation(&mut manager, 3, Vec::new(), 16.5);
    apply_effects(&mut manager, 17.0, |_, _| {});
    let others = starts(&answer_in_second_incarnation(
        &mut manager,
        4,
        Vec::new(),
        17.5,
    ));
    assert!(others.iter().all(|id| id.task.starts_with("req-2/")));
    assert_eq!(others.len(), 4);
    let mut rented = 0;
    for second in 18..18 + OVERDUE_S {
        let now = f64::from(second);
        let tasks = task_statuses(&others, TaskState::Running, None);
        answer_in_second_incarnation(&mut manager, second as u64, tasks, now);
        manager.tick(now);
        apply_effects(&mut manager, now, |_, effect| {
            rented += usize::from(matches!(effect, Effect::RentMachines(_)));
        });
    }
    assert_eq!(rented, 1);
}

//! The demand for machines (`src/coordination/demand.rs`) in small cases: jobs that no machine at hand
//! could hold, however little work there is. Each says what is rented for one job beside one machine.

mod common;

use common::{
    carry_out, heartbeat, heartbeat_from, launched, machine_type, manager, parsed, shown, starts,
    submission, worker_heartbeat,
};
use serde_json::{json, Value};
use stairstage::coordination::cluster::{Effect, HeartbeatOutcome};
use stairstage::coordination::manager::ClusterManager;
use stairstage::protocol::cloud::{MachineType, RentalRequest};
use stairstage::protocol::ids::Incarnation;
use stairstage::protocol::worker::{Command, TaskState, TaskStatus};
use stairstage::storage::records::OpenRecord;

/// Seconds after which a job that has not begun is overdue, and a little more.
const OVERDUE_S: i32 = 140;

/// A fleet of one machine in zone `z`; the only type is offered in two zones.
fn one_machine() -> ClusterManager {
    let mut manager = manager();
    manager.set_machine_types(vec![MachineType {
        zones: vec!["z".into(), "y".into()],
        ..machine_type()
    }]);
    heartbeat(&mut manager, 1, Vec::new(), 0.0);
    manager
}

/// What is rented within a few seconds for a job, described by what differs from a plain one.
fn rented(
    manager: &mut ClusterManager,
    rig: &str,
    tasks: u32,
    differs: &[(&str, Value)],
) -> Vec<RentalRequest> {
    let mut body = submission("req-1", rig, "normal", tasks);
    for (field, value) in differs {
        body[*field] = value.clone();
    }
    manager.job_accepted(OpenRecord::accepted(parsed(&body), 0), 1, 0, 0.0);
    let mut rents = Vec::new();
    for second in 1..5 {
        let now = f64::from(second);
        heartbeat(manager, 1 + second as u64, Vec::new(), now);
        manager.tick(now);
        carry_out(manager, now, |_, effect| {
            if let Effect::RentMachines(rent) = effect {
                rents.push(rent);
            }
        });
    }
    rents
}

#[test]
fn a_job_that_fits_the_machine_at_hand_rents_none() {
    let rents = rented(&mut one_machine(), "sweep", 1, &[]);
    assert!(rents.is_empty(), "{rents:?}");
}

#[test]
fn a_job_bound_to_a_zone_without_machines_gets_one_there() {
    let rents = rented(&mut one_machine(), "sweep", 1, &[("berth", json!("y"))]);
    assert_eq!(rents.len(), 1, "{rents:?}");
    assert_eq!((rents[0].zone.as_str(), rents[0].count), ("y", 1));
}

#[test]
fn a_spread_gang_gets_a_machine_in_another_zone() {
    let rents = rented(&mut one_machine(), "group", 2, &[("spread", json!(true))]);
    assert_eq!(rents.len(), 1, "{rents:?}");
    assert_eq!((rents[0].zone.as_str(), rents[0].count), ("y", 1));
}

#[test]
fn a_gang_that_is_larger_than_the_fleet_gets_the_room_it_lacks() {
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
fn a_spread_gang_that_is_larger_than_the_fleet_gets_machines_in_both_zones() {
    let rents = rented(&mut one_machine(), "group", 16, &[("spread", json!(true))]);
    let by_zone: Vec<(&str, u32)> = rents.iter().map(|r| (r.zone.as_str(), r.count)).collect();
    assert_eq!(by_zone, [("z", 1), ("y", 2)]);
}

#[test]
fn an_overdue_spread_gang_gets_no_machine_where_it_helps_nothing() {
    let mut manager = one_machine();
    let first = rented(&mut manager, "group", 2, &[("spread", json!(true))]);
    let mut unanswered = first;
    for second in 5..OVERDUE_S {
        let now = f64::from(second);
        for rent in unanswered.drain(..) {
            assert_eq!(rent.zone, "y", "at {second} s");
            manager.machines_rented(&rent.idempotency_key, Some(Vec::new()), now);
        }
        heartbeat(&mut manager, 1 + second as u64, Vec::new(), now);
        manager.tick(now);
        carry_out(&mut manager, now, |_, effect| {
            if let Effect::RentMachines(rent) = effect {
                unanswered.push(rent);
            }
        });
    }
}

/// Idle machines of the smaller type.
const SMALL_MACHINES: usize = 6;

/// Idle machines of the smaller of two types; the cloud has none of the larger type.
struct SmallFleet {
    manager: ClusterManager,
    now: f64,
    rented: Vec<RentalRequest>,
    returned: Vec<String>,
}

impl SmallFleet {
    fn new() -> SmallFleet {
        let large = MachineType {
            name: "m16".into(),
            cpus: 16.0,
            ..machine_type()
        };
        let mut manager = manager();
        manager.set_machine_types(vec![machine_type(), large]);
        let mut fleet = SmallFleet {
            manager,
            now: 0.0,
            rented: Vec::new(),
            returned: Vec::new(),
        };
        fleet.pass(1);
        fleet
    }

    /// A job that arrives now: so many tasks of so many processors, for so long.
    fn submit(&mut self, number: u64, tasks: u32, cpus: f64, run_s: f64) {
        let mut body = submission(&format!("req-{number}"), "sweep", "normal", tasks);
        body["cpus"] = json!(cpus);
        body["passage_s"] = json!(run_s);
        let record = OpenRecord::accepted(parsed(&body), 0);
        self.manager.job_accepted(record, number, 0, self.now);
    }

    /// Seconds in which all machines report that they hold nothing.
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
            carry_out(&mut self.manager, now, |manager, effect| match effect {
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
fn idle_machines_go_back_though_tasks_wait_that_fit_none_of_them() {
    let mut fleet = SmallFleet::new();
    fleet.submit(1, 100, 8.0, 300.0);
    fleet.pass(200);
    assert_eq!(fleet.returned.len(), SMALL_MACHINES);
}

#[test]
fn what_waits_for_other_machines_rents_none_for_a_job_that_those_at_hand_suffice_for() {
    let mut fleet = SmallFleet::new();
    fleet.submit(1, 500, 8.0, 300.0);
    fleet.pass(3);
    fleet.submit(2, 30, 1.0, 20.0);
    fleet.pass(3);
    let small = fleet.rented.iter().filter(|r| r.kind == "m4");
    assert_eq!(small.count(), 0, "{:?}", fleet.rented);
    let large = fleet.rented.iter().filter(|r| r.kind == "m16");
    assert!(large.count() > 0, "the first job wants larger machines");
}

/// What a heartbeat in the second incarnation of the only machine's worker is answered.
fn answer_in_second_incarnation(
    manager: &mut ClusterManager,
    sequence: u64,
    tasks: Vec<TaskStatus>,
    now: f64,
) -> Vec<Command> {
    let mut heartbeat = worker_heartbeat("m-1", sequence, 1, tasks);
    heartbeat.incarnation = Incarnation(2);
    match manager.heartbeat(&heartbeat, now) {
        HeartbeatOutcome::Answer(answer) => answer.commands,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_job_that_lost_its_machine_to_long_tasks_gets_another_one() {
    let mut manager = one_machine();
    let mut job = submission("req-1", "sweep", "normal", 1);
    job["cpus"] = json!(4.0);
    manager.job_accepted(OpenRecord::accepted(parsed(&job), 0), 1, 0, 0.0);
    let first = launched(&mut manager, 0.5);
    assert_eq!(first.len(), 1);
    heartbeat(
        &mut manager,
        2,
        shown(&first, TaskState::Running, None),
        1.0,
    );
    // Its machine loses its lease, and longer tasks of a higher priority take the room.
    let mut long = submission("req-2", "sweep", "urgent", 4);
    long["passage_s"] = json!(5000.0);
    manager.job_accepted(OpenRecord::accepted(parsed(&long), 0), 2, 0, 16.0);
    answer_in_second_incarnation(&mut manager, 3, Vec::new(), 16.5);
    carry_out(&mut manager, 17.0, |_, _| {});
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
        let tasks = shown(&others, TaskState::Running, None);
        answer_in_second_incarnation(&mut manager, second as u64, tasks, now);
        manager.tick(now);
        carry_out(&mut manager, now, |_, effect| {
            rented += usize::from(matches!(effect, Effect::RentMachines(_)));
        });
    }
    assert_eq!(rented, 1);
}

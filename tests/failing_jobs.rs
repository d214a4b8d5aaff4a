//! Jobs with a mistake in their submission fail on every machine until their users cancel them. These tests
//! bound the launches, writes and machine time that such a job takes until then.

mod common;

use common::{
    for_each_effect, heartbeat_from, manager, parse_submission, starts, submission, task_statuses,
};
use stairstage::coordination::cluster::{Effect, WriteOutcome};
use stairstage::coordination::manager::ClusterManager;
use stairstage::protocol::worker::{Cause, TaskState, TaskStatus};
use stairstage::storage::records::OpenRecord;
use std::collections::BTreeMap;

/// The number of machines, all of the only type.
const MACHINES: u64 = 20;
/// The number of tasks that run at the same time.
const SLOTS: usize = 4 * MACHINES as usize;

/// A fleet whose tasks either fail before the next heartbeat of their machine or keep running.
struct Fleet {
    manager: ClusterManager,
    tasks: BTreeMap<String, Vec<TaskStatus>>,
    sequence: u64,
    now: f64,
    launches: usize,
    /// Write operations in all transactions.
    writes: usize,
    /// Task seconds that failing tasks have taken.
    failing_task_s: f64,
}

impl Fleet {
    fn new() -> Fleet {
        let mut fleet = Fleet {
            manager: manager(),
            tasks: (0..MACHINES)
                .map(|i| (format!("m-{i:02}"), Vec::new()))
                .collect(),
            sequence: 1,
            now: 0.0,
            launches: 0,
            writes: 0,
            failing_task_s: 0.0,
        };
        fleet.heartbeat(|_| false);
        fleet
    }

    /// Submits an array.
    fn submit(&mut self, id: &str, tasks: u32, sequence: u64) {
        let spec = parse_submission(&submission(id, "sweep", "normal", tasks));
        let record = OpenRecord::accepted(spec, 0);
        self.manager.job_accepted(record, sequence, 0, self.now);
    }

    /// Sends a heartbeat of each machine; tasks for which `fails` is true have failed since the last one.
    fn heartbeat(&mut self, fails: impl Fn(&str) -> bool) {
        self.sequence += 1;
        for (machine, tasks) in &mut self.tasks {
            for task in tasks.iter_mut() {
                task.state = TaskState::Running;
                if fails(&task.task) {
                    task.state = TaskState::Exited;
                    task.cause = Some(Cause::Error);
                }
            }
            let answer = heartbeat_from(
                &mut self.manager,
                machine,
                self.sequence,
                None,
                tasks.clone(),
                self.now,
            );
            tasks.retain(|task| task.state != TaskState::Exited);
            tasks.extend(task_statuses(&starts(&answer), TaskState::Fetching, None));
        }
    }

    /// Lets two seconds pass, with a scheduling step each half second, and then sends heartbeats.
    fn pass(&mut self, fails: impl Fn(&str) -> bool) {
        let (tasks, launches, writes) = (&mut self.tasks, &mut self.launches, &mut self.writes);
        for half in 0..4 {
            let at = self.now + f64::from(half) / 2.0;
            self.manager.tick(at);
            for_each_effect(&mut self.manager, at, |manager, effect| match effect {
                Effect::Write { id, transaction } => {
                    *writes += transaction.operations.len();
                    manager.write_finished(id, WriteOutcome::Applied(100 + id), at);
                }
                Effect::SendCommands {
                    machine,
                    commands: batch,
                    ..
                } => {
                    let started = starts(&batch.commands);
                    *launches += started.len();
                    let on_machine = tasks.get_mut(&*machine).unwrap();
                    on_machine.extend(task_statuses(&started, TaskState::Fetching, None));
                }
                Effect::ReturnMachines(names) => panic!("healthy machines are returned: {names:?}"),
                _ => {}
            });
        }
        self.now += 2.0;
        let failing = self.tasks.values().flatten().filter(|t| fails(&t.task));
        self.failing_task_s += 2.0 * failing.count() as f64;
        self.heartbeat(fails);
    }
}

/// Selects the tasks whose ids begin with `prefix`.
fn with_prefix<'a>(prefix: &'a str) -> impl Fn(&str) -> bool + 'a {
    move |task| task.starts_with(prefix)
}

#[test]
fn job_that_fails_everywhere_is_retried_with_one_task_after_each_backoff() {
    let mut fleet = Fleet::new();
    fleet.submit("req-1", 4 * SLOTS as u32, 1);
    for _ in 0..150 {
        fleet.pass(with_prefix("req-1/"));
    }
    // One launch per slot, then one task after each backoff; backoffs grow from 4 to 45 s within 300 s.
    let retries = 12;
    let max_launches = SLOTS + retries;
    assert!(fleet.launches >= SLOTS, "{} launches", fleet.launches);
    assert!(
        fleet.launches <= max_launches,
        "{} launches",
        fleet.launches
    );
    assert!(fleet.writes <= 4 * retries, "{} writes", fleet.writes);
    assert!(
        fleet.failing_task_s <= 2.0 * max_launches as f64,
        "{} s",
        fleet.failing_task_s
    );
}

#[test]
fn job_that_stops_failing_runs_on_all_machines_again_within_45_s() {
    let mut fleet = Fleet::new();
    fleet.submit("req-1", SLOTS as u32, 1);
    for _ in 0..4 {
        fleet.pass(with_prefix("req-1/"));
    }
    assert!(fleet.launches >= SLOTS);
    // The cause lay outside the job and is fixed. The backoff and the trial of one task together take less
    // than the time for which a job may wait while resources for it are free.
    let fixed_at = fleet.now;
    while fleet.tasks.values().map(Vec::len).sum::<usize>() < SLOTS {
        fleet.pass(|_| false);
        assert!(fleet.now - fixed_at < 45.0, "{} s", fleet.now - fixed_at);
    }
}

//! Jobs that were submitted with a mistake fail on every machine until their users cancel them: what
//! they cost until then.

mod common;

use common::{for_each_effect, heartbeat_from, manager, parsed, starts, submission, task_statuses};
use stairstage::coordination::cluster::{Effect, WriteOutcome};
use stairstage::coordination::manager::ClusterManager;
use stairstage::protocol::worker::{Cause, TaskState, TaskStatus};
use stairstage::storage::records::OpenRecord;
use std::collections::BTreeMap;

/// Machines of the only type.
const MACHINES: u64 = 20;
/// Tasks that run at once.
const SLOTS: usize = 4 * MACHINES as usize;

/// A fleet whose tasks fail when their machine next reports, or run on.
struct Fleet {
    manager: ClusterManager,
    tasks: BTreeMap<String, Vec<TaskStatus>>,
    sequence: u64,
    now: f64,
    launches: usize,
    changes: usize,
    /// Machine seconds that failing tasks have taken.
    busy_s: f64,
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
            changes: 0,
            busy_s: 0.0,
        };
        fleet.heartbeat(|_| false);
        fleet
    }

    /// Opens an array.
    fn open(&mut self, id: &str, tasks: u32, sequence: u64) {
        let spec = parsed(&submission(id, "sweep", "normal", tasks));
        let record = OpenRecord::accepted(spec, 0);
        self.manager.job_accepted(record, sequence, 0, self.now);
    }

    /// All machines report; tasks of which `fails` holds have failed since the last time.
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

    /// Two seconds pass, with what the leader decides in them.
    fn pass(&mut self, fails: impl Fn(&str) -> bool) {
        let (tasks, launches, changes) = (&mut self.tasks, &mut self.launches, &mut self.changes);
        for half in 0..4 {
            let at = self.now + f64::from(half) / 2.0;
            self.manager.tick(at);
            for_each_effect(&mut self.manager, at, |manager, effect| match effect {
                Effect::Write { id, transaction } => {
                    *changes += transaction.operations.len();
                    manager.write_finished(id, WriteOutcome::Applied(100 + id), at);
                }
                Effect::SendCommands {
                    machine,
                    commands: batch,
                    ..
                } => {
                    let started = starts(&batch.commands);
                    *launches += started.len();
                    let here = tasks.get_mut(&*machine).unwrap();
                    here.extend(task_statuses(&started, TaskState::Fetching, None));
                }
                Effect::ReturnMachines(names) => panic!("healthy machines go back: {names:?}"),
                _ => {}
            });
        }
        self.now += 2.0;
        let failing = self.tasks.values().flatten().filter(|t| fails(&t.task));
        self.busy_s += 2.0 * failing.count() as f64;
        self.heartbeat(fails);
    }
}

/// Whether a task is of this job.
fn of_job<'a>(id: &'a str) -> impl Fn(&str) -> bool + 'a {
    move |task| task.starts_with(id)
}

#[test]
fn a_job_that_fails_everywhere_is_tried_with_one_task_after_each_pause() {
    let mut fleet = Fleet::new();
    fleet.open("req-1", 4 * SLOTS as u32, 1);
    for _ in 0..150 {
        fleet.pass(of_job("req-1/"));
    }
    // Each slot once, then a task for each pause: pauses grow from 4 to 45 s within 300 s.
    let tries = 12;
    let most = SLOTS + tries;
    assert!(fleet.launches >= SLOTS, "{} launches", fleet.launches);
    assert!(fleet.launches <= most, "{} launches", fleet.launches);
    assert!(fleet.changes <= 4 * tries, "{} changes", fleet.changes);
    assert!(fleet.busy_s <= 2.0 * most as f64, "{} s", fleet.busy_s);
}

#[test]
fn a_job_that_failed_and_then_runs_gets_all_its_machines_soon() {
    let mut fleet = Fleet::new();
    fleet.open("req-1", SLOTS as u32, 1);
    for _ in 0..4 {
        fleet.pass(of_job("req-1/"));
    }
    assert!(fleet.launches >= SLOTS);
    // The mistake was elsewhere, and is mended: its pause and the trial together are shorter than the
    // time for which no job waits beside room.
    let mended_at = fleet.now;
    while fleet.tasks.values().map(Vec::len).sum::<usize>() < SLOTS {
        fleet.pass(|_| false);
        assert!(fleet.now - mended_at < 45.0, "{} s", fleet.now - mended_at);
    }
}

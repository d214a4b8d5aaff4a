//! A leader of machines without free resources.

use super::{
    for_each_effect, heartbeat_from, manager, parse_submission, starts, submission, task_statuses,
    worker_heartbeat,
};
use serde_json::Value;
use stairstage::coordination::cluster::{CommandOutcome, Effect, WriteOutcome};
use stairstage::coordination::manager::ClusterManager;
use stairstage::protocol::store::{Transaction, WriteOperation};
use stairstage::protocol::worker::{TaskState, TaskStatus};
use stairstage::storage::records::OpenRecord;
use std::collections::BTreeMap;

/// A leader of many machines, each of which runs as many tasks as fit.
pub(crate) struct SaturatedFleet {
    pub manager: ClusterManager,
    /// The tasks on each machine.
    pub tasks: Vec<Vec<TaskStatus>>,
    /// The number of write operations until all machines were full.
    pub write_operations: usize,
    /// The largest value and the largest transaction until then.
    pub largest: LargestWrite,
    /// The placement records, with their versions.
    pub placements: BTreeMap<String, (Value, u64)>,
    /// The time at which all machines were full.
    pub now: f64,
}

/// The maxima over all transactions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LargestWrite {
    pub value_bytes: usize,
    pub write_operations: usize,
    pub conditions: usize,
}

impl LargestWrite {
    /// Includes a transaction in the maxima.
    fn include(&mut self, transaction: &Transaction) {
        self.write_operations = self.write_operations.max(transaction.operations.len());
        self.conditions = self.conditions.max(transaction.compares.len());
        for change in &transaction.operations {
            if let WriteOperation::Put { value, .. } = change {
                self.value_bytes = self.value_bytes.max(value.to_string().len());
            }
        }
    }
}

/// The job whose four tasks fill a machine.
pub(crate) fn job_of_machine(machine: u32) -> OpenRecord {
    let spec = parse_submission(&submission(&format!("req-{machine}"), "sweep", "normal", 4));
    OpenRecord::accepted(spec, 0)
}

/// Creates a leader with `machines` machines of the only type and one job for each machine, and runs it until
/// all tasks run.
pub(crate) fn saturated_fleet(machines: u32) -> SaturatedFleet {
    let mut manager = manager();
    for i in 0..machines {
        heartbeat_from(&mut manager, &format!("m-{i}"), 1, None, Vec::new(), 0.0);
    }
    for i in 0..machines {
        manager.job_accepted(job_of_machine(i), u64::from(i) + 1, 0, 0.0);
    }
    let mut tasks: Vec<Vec<TaskStatus>> = vec![Vec::new(); machines as usize];
    let mut placements = BTreeMap::new();
    let mut largest = LargestWrite::default();
    let mut write_operations = 0;
    let mut now = 0.0;
    while tasks.iter().map(Vec::len).sum::<usize>() < 4 * machines as usize {
        now += 0.1;
        apply_all_effects(&mut manager, now, |effect| match effect {
            Effect::Write { id, transaction } => {
                write_operations += transaction.operations.len();
                largest.include(transaction);
                for change in &transaction.operations {
                    if let WriteOperation::Put { key, value, .. } = change {
                        placements.insert(key.clone(), (value.clone(), 100 + id));
                    }
                }
            }
            Effect::SendCommands {
                machine,
                commands: batch,
                ..
            } => {
                let started = starts(&batch.commands);
                tasks[machine_number(machine)].extend(task_statuses(
                    &started,
                    TaskState::Running,
                    None,
                ));
            }
            _ => {}
        });
        assert!(now < 600.0, "the machines are not full after 600 s");
    }
    for (i, tasks) in tasks.iter().enumerate() {
        heartbeat_from(&mut manager, &format!("m-{i}"), 2, None, tasks.clone(), now);
    }
    manager.step(now + 1.0);
    manager.take_effects();
    SaturatedFleet {
        manager,
        tasks,
        write_operations,
        largest,
        placements,
        now: now + 1.0,
    }
}

/// The number in the name of a machine.
pub(crate) fn machine_number(name: &str) -> usize {
    name[2..].parse().unwrap()
}

/// The bytes that an effect sends to the state service or a worker.
pub(crate) fn effect_bytes(effect: &Effect) -> usize {
    match effect {
        Effect::Write { transaction, .. } => serde_json::to_vec(transaction).unwrap().len(),
        Effect::SendCommands {
            commands: batch, ..
        } => serde_json::to_vec(batch).unwrap().len(),
        _ => 0,
    }
}

/// Like `apply_effects`, but passes every effect to `observe`.
pub(crate) fn apply_all_effects(
    manager: &mut ClusterManager,
    now: f64,
    mut observe: impl FnMut(&Effect),
) {
    for_each_effect(manager, now, |manager, effect| {
        observe(&effect);
        match effect {
            Effect::Write { id, .. } => {
                manager.write_finished(id, WriteOutcome::Applied(100 + id), now);
            }
            // The response is an old heartbeat, which tells the manager nothing new.
            Effect::SendCommands { machine, .. } => {
                let old_heartbeat = worker_heartbeat(&machine, 0, 1, Vec::new());
                manager.commands_finished(&machine, CommandOutcome::Executed(old_heartbeat), now);
            }
            _ => {}
        }
    });
}

/// The cost of twenty heartbeats of a machine whose tasks did not change: the number of machines and
/// placements that the manager examines, and the bytes of its responses and effects.
pub(crate) fn cost_of_unchanged_heartbeats(
    manager: &mut ClusterManager,
    tasks: &[Vec<TaskStatus>],
    now: f64,
) -> (u64, usize) {
    let before = manager.machines_examined();
    let mut bytes = 0;
    for sequence in 0..20 {
        let answer = heartbeat_from(manager, "m-7", 3 + sequence, None, tasks[7].clone(), now);
        bytes += serde_json::to_vec(&answer).unwrap().len();
        manager.step(now);
        bytes += manager
            .take_effects()
            .iter()
            .map(effect_bytes)
            .sum::<usize>();
    }
    (manager.machines_examined() - before, bytes)
}

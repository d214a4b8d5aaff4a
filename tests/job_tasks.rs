//! The tasks of a job and their allocations, against a simple model.

mod common;

use common::{parse_submission, submission};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stairstage::coordination::state::{AllocationRef, Job};
use std::collections::BTreeSet;
use std::sync::Arc;

/// An array with this number of tasks.
fn array(tasks: u32) -> Job {
    let spec = parse_submission(&submission("req-1", "sweep", "normal", tasks));
    Job::new(Arc::new(spec), 1, 0.0, 20.0)
}

/// A change of a job's task.
#[derive(Clone, Debug)]
enum Change {
    Allocate(u32),
    /// Releases the oldest allocation of the task, if it has one.
    Release(u32),
    Complete(u32),
}

fn change(tasks: u32) -> impl Strategy<Value = Change> {
    // Some numbers are those of no task.
    let task = 0..tasks + 2;
    prop_oneof![
        3 => task.clone().prop_map(Change::Allocate),
        2 => task.clone().prop_map(Change::Release),
        2 => task.prop_map(Change::Complete),
    ]
}

fn changes() -> impl Strategy<Value = (u32, Vec<Change>)> {
    (1u32..200).prop_flat_map(|tasks| {
        let changes = prop::collection::vec(change(tasks), 0..300);
        (Just(tasks), changes)
    })
}

/// The tasks of a job, kept in the simplest way.
#[derive(Default)]
struct Model {
    done: BTreeSet<u32>,
    allocations: Vec<(u32, u64)>,
}

impl Model {
    fn unplaced(&self, tasks: u32) -> Vec<u32> {
        let is_allocated = |task: u32| self.allocations.iter().any(|(t, _)| *t == task);
        let is_unplaced = |task: &u32| !self.done.contains(task) && !is_allocated(*task);
        (0..tasks).filter(is_unplaced).collect()
    }

    /// Removes the oldest allocation of a task and returns its attempt.
    fn release(&mut self, task: u32) -> Option<u64> {
        let position = self.allocations.iter().position(|(t, _)| *t == task)?;
        Some(self.allocations.remove(position).1)
    }
}

/// Applies a change to a job and to its model.
fn apply(job: &mut Job, model: &mut Model, change: &Change, attempt: u64) {
    match *change {
        Change::Allocate(task) => {
            let allocation = AllocationRef {
                machine: "m-1".into(),
                attempt,
                placement_record: 0,
            };
            let exists = job.has_task(task);
            assert_eq!(job.add_allocation(task, allocation), exists);
            if exists {
                model.allocations.push((task, attempt));
            }
        }
        Change::Release(task) => {
            let attempt = model.release(task);
            let released =
                job.release_allocation(task, &"m-1".into(), attempt.unwrap_or(0), false, 0.0);
            assert_eq!(released.map(|a| a.attempt), attempt);
        }
        Change::Complete(task) => {
            let is_new = job.has_task(task) && !model.done.contains(&task);
            assert_eq!(job.complete_task(task), is_new);
            if is_new {
                model.done.insert(task);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(39),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn tasks_of_a_job_agree_with_a_simple_model((tasks, changes) in changes()) {
        let (mut job, mut model) = (array(tasks), Model::default());
        for (attempt, change) in (1..).zip(&changes) {
            apply(&mut job, &mut model, change, attempt);
            prop_assert_eq!(job.unplaced().collect::<Vec<_>>(), model.unplaced(tasks));
        }
        prop_assert_eq!(job.completed() as usize, model.done.len());
        prop_assert_eq!(job.allocated() as usize, model.allocations.len());
        let mut allocations: Vec<(u32, u64)> = job.allocations().map(|(t, a)| (t, a.attempt)).collect();
        allocations.sort_unstable();
        model.allocations.sort_unstable();
        prop_assert_eq!(allocations, model.allocations);
        for task in 0..tasks + 2 {
            prop_assert_eq!(job.is_done(task), model.done.contains(&task));
        }
    }
}

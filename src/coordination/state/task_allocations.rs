//! The tasks of a job: which have completed, and the allocations of the others.

use super::{AllocationRef, MachineName};
use fixedbitset::FixedBitSet;
use std::collections::btree_map::Entry;
use std::collections::BTreeMap;

/// The tasks of a job. The memory follows the tasks that have been placed or have completed, not the size
/// of the job: tasks are placed in the order of their numbers, and those that wait have no entry.
pub(super) struct TaskAllocations {
    len: u32,
    /// The completed tasks, up to the highest of them.
    done: FixedBitSet,
    /// The tasks that have completed or have an allocation, up to the highest of them.
    occupied: FixedBitSet,
    /// The allocations on which each task runs or may run.
    allocations: BTreeMap<u32, Vec<AllocationRef>>,
}

impl TaskAllocations {
    /// The tasks of a job with `len` tasks, none of which has completed or has an allocation.
    pub(super) fn new(len: u32) -> TaskAllocations {
        TaskAllocations {
            len,
            done: FixedBitSet::new(),
            occupied: FixedBitSet::new(),
            allocations: BTreeMap::new(),
        }
    }

    /// The number of tasks.
    pub(super) fn len(&self) -> u32 {
        self.len
    }

    /// Whether the job has a task with this number.
    pub(super) fn contains(&self, task: u32) -> bool {
        task < self.len
    }

    /// Whether a task has completed.
    pub(super) fn is_done(&self, task: u32) -> bool {
        self.done.contains(task as usize)
    }

    /// Whether a task may be placed: it exists, has not completed and has no allocation.
    pub(super) fn is_unplaced(&self, task: u32) -> bool {
        self.contains(task) && !self.occupied.contains(task as usize)
    }

    /// Marks a task as completed; returns whether it exists and was not completed before.
    pub(super) fn complete(&mut self, task: u32) -> bool {
        if !self.contains(task) || self.is_done(task) {
            return false;
        }
        insert(&mut self.done, task);
        insert(&mut self.occupied, task);
        true
    }

    /// Adds an allocation of a task; returns whether the task exists.
    pub(super) fn add(&mut self, task: u32, allocation: AllocationRef) -> bool {
        if !self.contains(task) {
            return false;
        }
        match self.allocations.entry(task) {
            // Most tasks have one allocation; pushing to an empty vector would reserve the memory for four.
            Entry::Vacant(entry) => {
                entry.insert(vec![allocation]);
            }
            Entry::Occupied(mut entry) => entry.get_mut().push(allocation),
        }
        insert(&mut self.occupied, task);
        true
    }

    /// Removes an allocation of a task and returns it.
    pub(super) fn remove(
        &mut self,
        task: u32,
        machine: &MachineName,
        attempt: u64,
    ) -> Option<AllocationRef> {
        let allocations = self.allocations.get_mut(&task)?;
        let matches = |a: &AllocationRef| a.machine == *machine && a.attempt == attempt;
        let position = allocations.iter().position(matches)?;
        let removed = allocations.swap_remove(position);
        if allocations.is_empty() {
            self.allocations.remove(&task);
            self.occupied
                .set(task as usize, self.done.contains(task as usize));
        }
        Some(removed)
    }

    /// The allocations of a task.
    pub(super) fn of(&self, task: u32) -> &[AllocationRef] {
        self.allocations.get(&task).map_or(&[], Vec::as_slice)
    }

    /// Mutable access to the allocations of a task.
    pub(super) fn of_mut(&mut self, task: u32) -> &mut [AllocationRef] {
        self.allocations
            .get_mut(&task)
            .map_or(&mut [], Vec::as_mut_slice)
    }

    /// All allocations, each with the number of its task.
    pub(super) fn iter(&self) -> impl Iterator<Item = (u32, &AllocationRef)> {
        let tasks = self.allocations.iter();
        tasks.flat_map(|(task, allocations)| allocations.iter().map(|a| (*task, a)))
    }

    /// The numbers of the tasks that may be placed, in order.
    pub(super) fn unplaced(&self) -> impl Iterator<Item = u32> + '_ {
        let between = self.occupied.zeroes().map(|task| task as u32);
        let after_highest = self.occupied.len() as u32..self.len;
        between
            .take_while(|task| *task < self.len)
            .chain(after_highest)
    }
}

/// Inserts a task into a set, which grows if needed.
fn insert(tasks: &mut FixedBitSet, task: u32) {
    tasks.grow_and_insert(task as usize);
}

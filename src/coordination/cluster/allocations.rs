//! Adding, stopping and releasing allocations.
//!
//! `ClusterState::add_allocation` and `ClusterState::release_allocation` are the only ways to add and
//! release allocations. They keep the job, the machine, the quota and the placement record consistent.
//! An allocation is released only on proof that its task is gone and that no launch of it may still
//! arrive: a newer heartbeat, the end of the incarnation in which it was launched, a lease that has expired
//! by the leader's clock, or the cloud's confirmation that the machine is gone. See `reconciliation` and
//! `leases`.

use super::ClusterState;
use crate::coordination::state::{
    Allocation, AllocationId, AllocationRef, AllocationState, JobId, Machine, MachineName,
    MachinePhase, PendingStop, Placement,
};
use crate::coordination::Time;

impl ClusterState {
    /// Places a task on a machine. Its launch is sent once the placement record is written.
    pub(crate) fn add_allocation(
        &mut self,
        id: AllocationId,
        machine: &MachineName,
        state: AllocationState,
        now: Time,
    ) {
        let placement = Placement {
            allocation: id,
            machine: machine.clone(),
        };
        let record = self.placement_records.choose(&placement);
        self.add_allocation_to(record, placement, state, now);
    }

    /// Adds an allocation whose placement goes into a given record.
    fn add_allocation_to(
        &mut self,
        record: usize,
        placement: Placement,
        state: AllocationState,
        now: Time,
    ) {
        let id = &placement.allocation;
        let machine = self.machines.get_mut(&placement.machine);
        let (Some(job), Some(machine)) = (self.jobs.get_mut(&id.job), machine) else {
            return;
        };
        if !job.has_task(id.task) || machine.allocations().contains_key(id) {
            return;
        }
        let profile = job.profile();
        machine.insert_allocation(id.clone(), Allocation::new(state, profile, now));
        let reference = AllocationRef {
            machine: placement.machine.clone(),
            attempt: id.attempt,
            placement_record: record,
        };
        job.add_allocation(id.task, reference);
        self.quota.allocate(&job.spec.team, &profile.request);
        self.insert_placement(record, placement, state, now);
    }

    /// Inserts a placement into a record. While the allocation is pending, its launch waits for the
    /// write.
    fn insert_placement(
        &mut self,
        record: usize,
        placement: Placement,
        state: AllocationState,
        now: Time,
    ) {
        let job = self.jobs.get(&placement.allocation.job);
        let priority = job.map(|job| job.priority);
        let pending = priority.filter(|_| state == AllocationState::Pending);
        self.placement_records
            .insert(record, placement, pending, now);
    }

    /// Restores an allocation that an earlier leader recorded.
    pub(super) fn restore_allocation(&mut self, record: usize, placement: Placement, now: Time) {
        let name = placement.machine.clone();
        // The record holds only the machine's name; its heartbeat or the cloud's list adds the rest.
        self.machines.entry(name.clone()).or_insert_with(|| {
            let mut machine = Machine::new(name.clone(), "".into(), "".into(), false, now);
            machine.phase = MachinePhase::Up;
            machine
        });
        let id = placement.allocation.clone();
        self.add_allocation_to(record, placement, AllocationState::Launching, now);
        let machine = self.machines.get_mut(&name);
        if let Some(allocation) = machine.and_then(|machine| machine.allocation_mut(&id)) {
            allocation.is_recovered = true;
        }
    }

    /// Moves placements out of a record that is too large into other records. A record can be too large
    /// if an earlier leader had a higher limit.
    pub(super) fn split_placement_record(&mut self, record: usize, now: Time) {
        while let Some(placement) = self.placement_records.take_excess(record) {
            let to = self.placement_records.choose(&placement);
            let id = &placement.allocation;
            if let Some(job) = self.jobs.get_mut(&id.job) {
                job.move_allocation(id.task, &placement.machine, id.attempt, to);
            }
            let machine = self.machines.get(&placement.machine);
            let allocation = machine.and_then(|machine| machine.allocations().get(id));
            let state = allocation.map_or(AllocationState::Launching, |a| a.state);
            self.insert_placement(to, placement, state, now);
            self.placement_records.moved(record, to, now);
        }
    }

    /// Releases an allocation whose task has exited or is proven not to be on the machine any more.
    /// `has_run` says whether the task ever ran. The task may then be placed again.
    pub(super) fn release_allocation(
        &mut self,
        id: &AllocationId,
        machine: &MachineName,
        has_run: bool,
        now: Time,
    ) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let released = job.release_allocation(id.task, machine, id.attempt, has_run, now);
        let Some(released) = released else {
            return;
        };
        self.quota.release(&job.spec.team, &job.request());
        if job.needs_final_state() {
            self.mark_finished(&id.job);
        }
        self.needs_scheduling = true;
        let placement = Placement {
            allocation: id.clone(),
            machine: machine.clone(),
        };
        self.placement_records
            .remove(released.placement_record, &placement, now);
        self.drop_finished_job(&id.job);
    }

    /// Stops a task, which gets `grace_s` seconds to write its checkpoint.
    pub(crate) fn stop(
        &mut self,
        machine: &MachineName,
        id: &AllocationId,
        grace_s: f64,
        now: Time,
    ) {
        let Some(host) = self.machines.get_mut(machine) else {
            return;
        };
        let Some(allocation) = host.allocation_mut(id) else {
            return;
        };
        match allocation.state {
            AllocationState::Exited(_) => {}
            AllocationState::Pending => {
                // The launch was not sent and never will be.
                host.remove_allocation(id);
                self.release_allocation(id, machine, false, now);
            }
            AllocationState::Launching | AllocationState::Observed(_) => {
                let stop = allocation.pending_stop;
                if stop.is_none_or(|stop| grace_s < stop.grace_s) {
                    allocation.pending_stop = Some(PendingStop {
                        grace_s,
                        sent: false,
                    });
                    self.machines_to_notify.insert(machine.clone());
                }
            }
        }
    }

    /// Stops every allocation of a job on every machine.
    pub(super) fn stop_job(&mut self, id: &JobId, grace_s: f64, now: Time) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let allocations = job.allocations().map(|(task, reference)| {
            let allocation = AllocationId::new(id.clone(), task, reference.attempt);
            (reference.machine.clone(), allocation)
        });
        for (machine, allocation) in allocations.collect::<Vec<_>>() {
            self.stop(&machine, &allocation, grace_s, now);
        }
    }

    /// Handles the loss of a task of a job. The rest of a gang is stopped, since it cannot run without
    /// the task.
    pub(super) fn task_lost(&mut self, id: &JobId, now: Time) {
        let job = self.jobs.get(id);
        if job.is_some_and(|job| job.is_gang() && !job.cancelled) {
            self.stop_job(id, 0.0, now);
        }
    }

    /// Removes a machine and its allocations after the cloud has confirmed that it is gone.
    pub(super) fn remove_machine(&mut self, name: &MachineName, now: Time) {
        let Some(machine) = self.machines.remove(name) else {
            return;
        };
        for (id, allocation) in machine.live_allocations() {
            self.release_allocation(id, name, allocation.has_run(), now);
            self.task_lost(&id.job, now);
        }
        self.returned_machines.insert(name.clone(), now);
    }
}

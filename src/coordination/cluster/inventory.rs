//! Machines that the cloud rents out and lists.

use super::ClusterState;
use crate::coordination::state::{Machine, MachineName};
use crate::coordination::Time;
use crate::protocol::cloud::{ListedMachine, MachineState, RentalRequest};
use tracing::warn;

impl ClusterState {
    /// Adds a machine that the cloud has rented out on this leader's request.
    pub(crate) fn add_rented_machine(&mut self, name: &str, rent: &RentalRequest, now: Time) {
        let name: MachineName = name.into();
        if self.machines.contains_key(&name) || self.returned_machines.contains_key(&name) {
            return;
        }
        let machine_type = rent.kind.as_str().into();
        let zone = rent.zone.as_str().into();
        let mut machine = Machine::new(name.clone(), machine_type, zone, rent.spot, now);
        machine.rented_by_this_leader = true;
        self.machines.insert(name, machine);
    }

    /// Applies the cloud's list of machines. The list lags: it adds machines that are not known yet,
    /// and proves nothing else.
    pub(crate) fn machines_listed(&mut self, list: &[ListedMachine], now: Time) {
        for listed in list {
            let name: MachineName = listed.name.as_str().into();
            if !self.returned_machines.contains_key(&name) {
                self.machine_listed(name, listed, now);
            }
        }
    }

    fn machine_listed(&mut self, name: MachineName, listed: &ListedMachine, now: Time) {
        let rented_at = now - listed.age_s;
        let machine = self.machines.entry(name.clone()).or_insert_with(|| {
            // Rented by an earlier leader, or by a request whose response has not arrived yet.
            let machine_type = listed.kind.as_str().into();
            let zone = listed.zone.as_str().into();
            let mut machine =
                Machine::new(name.clone(), machine_type, zone, listed.spot, rented_at);
            machine.endpoint.clone_from(&listed.endpoint);
            machine
        });
        machine.set_type_if_unknown(&listed.kind, &listed.zone, listed.spot);
        // A machine that was added from a placement record or a heartbeat may have been rented long
        // before.
        machine.rented_at = machine.rented_at.min(rented_at);
        if machine.endpoint.is_none() {
            machine.endpoint.clone_from(&listed.endpoint);
        }
        if listed.state == MachineState::Failed && !machine.listed_failed {
            warn!(machine = %name, "the cloud lists the machine as failed");
            machine.listed_failed = true;
        }
    }
}

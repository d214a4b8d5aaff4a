//! Applies the effects of controllers, and delivers heartbeats and commands.

use super::common::CommitError;
use super::leader::Leader;
use super::worker::Worker;
use super::world::{World, WriteFault};
use serde_json::json;
use stairstage::coordination::cluster::{CommandOutcome, Effect, HeartbeatOutcome, WriteOutcome};
use stairstage::protocol::cloud::RentalRequest;
use stairstage::protocol::ids::FencingToken;
use stairstage::protocol::store::Transaction;
use stairstage::protocol::worker::{CommandBatch, Heartbeat};
use stairstage::storage::records::LEADER_KEY;

impl World {
    /// The index of the machine with this name, terminated or not.
    pub(crate) fn worker_index(&self, name: &str) -> Option<usize> {
        self.workers.iter().position(|w| w.name == name)
    }

    /// Delivers direct commands. Returns whether the worker executed them, and its heartbeat.
    pub(crate) fn deliver_commands(
        &mut self,
        worker: usize,
        batch: &CommandBatch,
    ) -> Option<(bool, Heartbeat)> {
        let (w, now) = (&mut self.workers[worker], self.now);
        if !w.is_up(now) {
            return None;
        }
        let accepted = w.accepts(batch);
        let mut started = Vec::new();
        if accepted {
            w.token = batch.token.0;
            started = w.execute(&batch.commands, now);
        }
        let heartbeat = w.next_heartbeat();
        self.check_starts(worker, &started);
        Some((accepted, heartbeat))
    }

    /// Applies the effects of the leader and of former leaders until there are none left.
    pub(crate) fn apply_effects(&mut self) {
        let all = self.leader.iter().chain(&self.former_leaders);
        let ids: Vec<u64> = all.map(Leader::id).collect();
        for id in ids {
            while let Some(leader) = self.controller(id) {
                let effects = leader.manager.take_effects();
                if effects.is_empty() {
                    break;
                }
                for effect in effects {
                    self.apply_effect(id, effect);
                }
            }
        }
    }

    /// Applies one effect of the controller with this leadership id.
    pub(crate) fn apply_effect(&mut self, from: u64, effect: Effect) {
        let now = self.now;
        match effect {
            Effect::Write { id, transaction } => self.execute_write(from, id, transaction),
            Effect::SendCommands {
                machine,
                commands: batch,
                ..
            } => match self.network {
                Some(_) => self.send_commands(from, &machine, batch),
                None => self.send_commands_immediately(from, &machine, &batch),
            },
            Effect::ReturnMachines(names) => {
                let confirmed = !self.cloud_is_down;
                if confirmed {
                    self.terminate_returned_machines(&names);
                }
                self.with_controller(from, |manager| {
                    manager.machines_returned(&names, confirmed, now);
                });
            }
            Effect::RentMachines(rent) => {
                let names = (!self.cloud_is_down).then(|| self.rent_machines(&rent));
                self.with_controller(from, |manager| {
                    manager.machines_rented(&rent.idempotency_key, names, now);
                });
            }
            Effect::RaiseToken => {
                let token = self.raise_token(from);
                self.with_controller(from, |manager| {
                    manager.token_raised(token.map(FencingToken), now);
                });
            }
            Effect::JobFinished { id, state } => self.check_reported_final_state(&id, state),
            Effect::ReadFinalStates(ids) => {
                let found = self.store.final_states(&ids);
                self.with_controller(from, |manager| manager.final_states_read(found, now));
            }
        }
    }

    /// Runs `act` on the manager of a controller, if that controller still runs.
    pub(crate) fn with_controller(
        &mut self,
        id: u64,
        act: impl FnOnce(&mut stairstage::coordination::manager::ClusterManager),
    ) {
        if let Some(leader) = self.controller(id) {
            act(&mut leader.manager);
        }
    }

    /// Rewrites the leader record if the controller still holds it; returns the new token.
    fn raise_token(&mut self, from: u64) -> Option<u64> {
        let leader = self.controller(from).filter(|l| l.reaches_store)?;
        let txn = Transaction::default()
            .version(LEADER_KEY, leader.manager.token().0)
            .put(LEADER_KEY, json!({"node": "a"}));
        self.store.commit(&txn).ok()
    }

    /// Executes a write under the next write fault, and passes its outcome to the controller.
    fn execute_write(&mut self, from: u64, id: u64, transaction: Transaction) {
        let reaches_store = self.controller(from).is_some_and(|l| l.reaches_store);
        if !reaches_store {
            let now = self.now;
            return self.with_controller(from, |manager| {
                manager.write_finished(id, WriteOutcome::Rejected, now);
            });
        }
        if self.network.is_some() {
            return self.send_write(from, id, transaction);
        }
        let fault = std::mem::take(&mut self.next_write_fault);
        let result = match fault {
            WriteFault::None | WriteFault::ResponseLost => self.store.commit(&transaction),
            WriteFault::RequestLost | WriteFault::Delayed => Err(CommitError::Conflict),
        };
        self.check_write_size(&transaction, &result);
        let written = match (fault, result) {
            (WriteFault::None, Ok(revision)) => WriteOutcome::Applied(revision),
            _ => self.store.indeterminate_outcome(&transaction),
        };
        if fault != WriteFault::RequestLost {
            self.replayable_transactions.push(transaction);
        }
        let now = self.now;
        self.with_controller(from, |manager| manager.write_finished(id, written, now));
    }

    /// Checks that no write exceeds the size limit of the state service.
    pub(crate) fn check_write_size(
        &self,
        transaction: &Transaction,
        result: &Result<u64, CommitError>,
    ) {
        assert!(
            *result != Err(CommitError::TooLarge),
            "too large: {transaction:?}"
        );
    }

    /// Delivers direct commands immediately, or not at all.
    fn send_commands_immediately(&mut self, from: u64, machine: &str, batch: &CommandBatch) {
        let worker = self.worker_index(machine).expect("a machine");
        // A duplicate of the commands may arrive later.
        self.replayable_commands
            .push((machine.to_string(), batch.clone()));
        let w = &self.workers[worker];
        let result = if self.commands_held || w.partitioned || w.inbound_lost || w.hung {
            CommandOutcome::Indeterminate
        } else {
            self.execute_commands(worker, batch)
        };
        let now = self.now;
        self.with_controller(from, |manager| {
            manager.commands_finished(&machine.into(), result, now);
        });
    }

    /// Delivers direct commands and returns the outcome that their sender receives.
    pub(crate) fn execute_commands(
        &mut self,
        worker: usize,
        batch: &CommandBatch,
    ) -> CommandOutcome {
        match self.deliver_commands(worker, batch) {
            None => CommandOutcome::NotSent,
            Some((true, heartbeat)) => CommandOutcome::Executed(heartbeat),
            Some((false, heartbeat)) => CommandOutcome::Rejected(Some(heartbeat)),
        }
    }

    /// Terminates the machines that were returned to the cloud.
    pub(crate) fn terminate_returned_machines(&mut self, names: &[String]) {
        let returned = |w: &&mut Worker| names.contains(&w.name) && !w.terminated;
        for w in self.workers.iter_mut().filter(returned) {
            w.terminate();
            self.rentable += usize::from(self.network.is_some());
        }
    }

    /// Rents up to the requested number of machines; they boot before they are up.
    fn rent_machines(&mut self, rent: &RentalRequest) -> Vec<String> {
        let count = self.rentable.min(rent.count as usize);
        self.rentable -= count;
        let kind = self.types.iter().position(|t| t.name == rent.kind);
        let zones = super::settings::ZONES;
        let mut names = Vec::new();
        for _ in 0..count {
            let boot_s = self.network.as_mut().map_or(0.0, |n| n.boot_s());
            let mut w = Worker::new(self.workers.len(), self.now + boot_s);
            w.kind = ["m4", "g4"][kind.expect("a known type")];
            w.zone = zones.iter().find(|z| **z == rent.zone).expect("a zone");
            w.spot = rent.spot;
            names.push(w.name.clone());
            self.workers.push(w);
        }
        names
    }

    /// Sends a worker's heartbeat to the leader or the last former leader, and handles the response.
    pub(crate) fn send_heartbeat_immediately(
        &mut self,
        i: usize,
        response_lost: bool,
        to_former: bool,
    ) {
        let sent = self.now;
        let w = &self.workers[i];
        if w.terminated
            || w.hung
            || w.heartbeats_lost
            || w.partitioned && !(to_former && w.with_former_leader)
        {
            return;
        }
        let receiver = if to_former {
            self.former_leaders.last_mut()
        } else {
            self.leader.as_mut()
        };
        let workers = &self.settings.cluster.workers;
        let Some(leader) = receiver.filter(|l| l.may_renew(sent, workers)) else {
            return;
        };
        let heartbeat = self.workers[i].scheduled_heartbeat(sent);
        self.sent_heartbeats.push(heartbeat.clone());
        if let HeartbeatOutcome::Response(response) = leader.manager.heartbeat(&heartbeat, sent) {
            let w = &mut self.workers[i];
            if !response_lost && !w.inbound_lost && response.token.0 >= w.token {
                let started = w.apply_response(&response, sent, sent);
                assert!(
                    !to_former || started.is_empty(),
                    "a former leader starts {started:?}"
                );
                self.check_starts(i, &started);
            }
        }
    }
}

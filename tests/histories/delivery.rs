//! How effects of a controller are carried out, and how reports and commands are delivered.

use super::common::Refusal;
use super::leader::Leader;
use super::worker::Worker;
use super::world::{World, WriteFate};
use serde_json::json;
use stairstage::coordination::cluster::{CommandOutcome, Effect, HeartbeatOutcome, WriteOutcome};
use stairstage::protocol::cloud::RentalRequest;
use stairstage::protocol::ids::FencingToken;
use stairstage::protocol::store::Transaction;
use stairstage::protocol::worker::{CommandBatch, Heartbeat};
use stairstage::storage::records::LEADER_KEY;

impl World {
    /// The number of a machine, if there was one of this name.
    pub(crate) fn worker_named(&self, name: &str) -> Option<usize> {
        self.workers.iter().position(|w| w.name == name)
    }

    /// Delivers direct commands: whether they were executed, and the worker's heartbeat.
    pub(crate) fn deliver(
        &mut self,
        worker: usize,
        batch: &CommandBatch,
    ) -> Option<(bool, Heartbeat)> {
        let (w, now) = (&mut self.workers[worker], self.now);
        if !w.is_up(now) {
            return None;
        }
        let fits = w.accepts(batch);
        let mut started = Vec::new();
        if fits {
            w.token = batch.token.0;
            started = w.run(&batch.commands, now);
        }
        let heartbeat = w.heartbeat();
        self.check_starts(worker, &started);
        Some((fits, heartbeat))
    }

    /// Carries out what the leader and former leaders have decided.
    pub(crate) fn effects(&mut self) {
        let all = self.leader.iter().chain(&self.former_leaders);
        let ids: Vec<u64> = all.map(Leader::id).collect();
        for id in ids {
            while let Some(leader) = self.controller(id) {
                let effects = leader.manager.take_effects();
                if effects.is_empty() {
                    break;
                }
                for effect in effects {
                    self.carry_out(id, effect);
                }
            }
        }
    }

    /// Carries out one effect of the controller with this leadership.
    pub(crate) fn carry_out(&mut self, from: u64, effect: Effect) {
        let now = self.now;
        match effect {
            Effect::Write { id, transaction } => self.write(from, id, transaction),
            Effect::SendCommands {
                machine,
                commands: batch,
                ..
            } => match self.network {
                Some(_) => self.send_commands(from, &machine, batch),
                None => self.send_commands_at_once(from, &machine, &batch),
            },
            Effect::ReturnMachines(names) => {
                let confirmed = !self.cloud_is_down;
                if confirmed {
                    self.take_back(&names);
                }
                self.with_controller(from, |manager| {
                    manager.machines_returned(&names, confirmed, now);
                });
            }
            Effect::RentMachines(rent) => {
                let names = (!self.cloud_is_down).then(|| self.rent(&rent));
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
            Effect::JobFinished { id, state } => self.check_told_end(&id, state),
            Effect::ReadFinalStates(ids) => {
                let ends = self.store.ends(&ids);
                self.with_controller(from, |manager| manager.final_states_found(ends, now));
            }
        }
    }

    /// Hands something to a controller, if it still lives.
    pub(crate) fn with_controller(
        &mut self,
        id: u64,
        act: impl FnOnce(&mut stairstage::coordination::manager::ClusterManager),
    ) {
        if let Some(leader) = self.controller(id) {
            act(&mut leader.manager);
        }
    }

    /// The record of the leader is written anew, if it still names this one.
    fn raise_token(&mut self, from: u64) -> Option<u64> {
        let leader = self.controller(from).filter(|l| l.reaches_store)?;
        let txn = Transaction::default()
            .version(LEADER_KEY, leader.manager.token().0)
            .put(LEADER_KEY, json!({"node": "a"}));
        self.store.commit(&txn).ok()
    }

    /// Carries out a write as far as its fate allows; the controller hears what it would hear.
    fn write(&mut self, from: u64, id: u64, transaction: Transaction) {
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
        let fate = std::mem::take(&mut self.next_write);
        let result = match fate {
            WriteFate::Answered | WriteFate::Unanswered => self.store.commit(&transaction),
            WriteFate::Lost | WriteFate::Late => Err(Refusal::Conflict),
        };
        self.check_size(&transaction, &result);
        let written = match (fate, result) {
            (WriteFate::Answered, Ok(revision)) => WriteOutcome::Applied(revision),
            _ => self.store.reread(&transaction),
        };
        if fate != WriteFate::Lost {
            self.late_transactions.push(transaction);
        }
        let now = self.now;
        self.with_controller(from, |manager| manager.write_finished(id, written, now));
    }

    /// No write is larger than the state service takes.
    pub(crate) fn check_size(&self, transaction: &Transaction, result: &Result<u64, Refusal>) {
        assert!(
            *result != Err(Refusal::TooLarge),
            "too large: {transaction:?}"
        );
    }

    /// Direct commands arrive at once, or not at all.
    fn send_commands_at_once(&mut self, from: u64, machine: &str, batch: &CommandBatch) {
        let worker = self.worker_named(machine).expect("a machine");
        // A copy of what is carried out may come again later.
        self.repeatable_commands
            .push((machine.to_string(), batch.clone()));
        let w = &self.workers[worker];
        let result = if self.commands_held || w.partitioned || w.inbound_lost || w.hung {
            CommandOutcome::Unknown
        } else {
            self.execute_commands(worker, batch)
        };
        let now = self.now;
        self.with_controller(from, |manager| {
            manager.commands_answered(&machine.into(), result, now);
        });
    }

    /// Delivers direct commands, and says what their sender hears of it.
    pub(crate) fn execute_commands(
        &mut self,
        worker: usize,
        batch: &CommandBatch,
    ) -> CommandOutcome {
        match self.deliver(worker, batch) {
            None => CommandOutcome::NotSent,
            Some((true, heartbeat)) => CommandOutcome::Executed(heartbeat),
            Some((false, heartbeat)) => CommandOutcome::Rejected(Some(heartbeat)),
        }
    }

    /// The cloud has carried out a return.
    pub(crate) fn take_back(&mut self, names: &[String]) {
        let returned = |w: &&mut Worker| names.contains(&w.name) && !w.gone;
        for w in self.workers.iter_mut().filter(returned) {
            w.die();
            self.rentable += usize::from(self.network.is_some());
        }
    }

    /// The cloud rents what it has; the machines are up soon.
    fn rent(&mut self, rent: &RentalRequest) -> Vec<String> {
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

    /// A worker sends a heartbeat to the leader, or to the one before, and is answered at once.
    pub(crate) fn heartbeat(&mut self, i: usize, response_lost: bool, to_former: bool) {
        let sent = self.now;
        let w = &self.workers[i];
        if w.gone
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
        let heartbeat = self.workers[i].own_heartbeat(sent);
        self.sent_heartbeats.push(heartbeat.clone());
        if let HeartbeatOutcome::Answer(answer) = leader.manager.heartbeat(&heartbeat, sent) {
            let w = &mut self.workers[i];
            if !response_lost && !w.inbound_lost && answer.token.0 >= w.token {
                let started = w.take(&answer, sent, sent);
                assert!(
                    !to_former || started.is_empty(),
                    "a leader in doubt starts {started:?}"
                );
                self.check_starts(i, &started);
            }
        }
    }
}

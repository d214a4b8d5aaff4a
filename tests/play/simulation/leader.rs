//! The leader: its election, its writes and what it has others do.

use super::Simulation;
use crate::common::Refusal;
use crate::services::Fate;
use serde_json::json;
use stairstage::coordination::cluster::{CommandOutcome, Effect, WriteOutcome};
use stairstage::coordination::manager::ClusterManager;
use stairstage::protocol::ids::FencingToken;
use stairstage::protocol::store::Transaction;
use stairstage::protocol::worker::CommandBatch;
use stairstage::storage::records::LEADER_KEY;

/// A write whose answer is under way.
pub(super) struct PendingWrite {
    pub(super) at: f64,
    pub(super) leader: u64,
    pub(super) id: u64,
    pub(super) transaction: Transaction,
    /// Carried out when the answer is due; else the answer was lost.
    pub(super) answered: bool,
}

impl Simulation {
    /// The leader ends at once.
    pub(crate) fn depose(&mut self) {
        self.leader = None;
    }

    /// Another leader begins, with what the state service holds.
    pub(crate) fn elect(&mut self) {
        let txn = Transaction::default().put(LEADER_KEY, json!({"node": "a"}));
        let token = self.store.commit(&txn).unwrap();
        let mut manager = ClusterManager::new(self.settings.clone(), FencingToken(token), self.now);
        manager.set_machine_types(self.types.clone());
        manager.set_lease_valid_until(f64::INFINITY);
        manager.recover(self.store.records(), self.wall_ms(), self.now);
        if self.peers_promise {
            manager.peers_promised(self.now);
        }
        self.leader = Some(manager);
    }

    /// Transactions that were given up on are carried out.
    pub(super) fn carry_out_late(&mut self) {
        let now = self.now;
        let late = std::mem::take(&mut self.late);
        let (due, later) = late.into_iter().partition(|(at, _)| *at <= now);
        self.late = later;
        for (_, txn) in due {
            // It fails when anything that it depends on has changed since.
            let _ = self.store.commit(&txn);
        }
    }

    /// Writes are answered, or found to be unanswered, when that is due.
    pub(super) fn answer_writes(&mut self) {
        let now = self.now;
        let pending = std::mem::take(&mut self.pending);
        let (due, later): (Vec<_>, Vec<_>) = pending.into_iter().partition(|w| w.at <= now);
        self.pending = later;
        for write in due {
            let result = if write.answered {
                self.commit(&write.transaction)
            } else {
                self.store.reread(&write.transaction)
            };
            let leader = self.leader.as_mut();
            if let Some(manager) = leader.filter(|c| c.first_token().0 == write.leader) {
                manager.write_finished(write.id, result, now);
            }
        }
    }

    /// Applies a transaction; what the leader hears of it.
    pub(super) fn commit(&mut self, txn: &Transaction) -> WriteOutcome {
        match self.store.commit(txn) {
            Ok(revision) => WriteOutcome::Applied(revision),
            Err(Refusal::Conflict) => self.store.reread(txn),
            Err(Refusal::TooLarge) => panic!("too large: {txn:?}"),
        }
    }

    /// The leader decides until it has nothing more to say.
    pub(super) fn decide(&mut self) {
        let now = self.now;
        let Some(manager) = &mut self.leader else {
            return;
        };
        manager.tick(now);
        manager.step(now);
        while let Some(manager) = &mut self.leader {
            let effects = manager.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.carry_out(effect);
            }
            if let Some(manager) = &mut self.leader {
                manager.step(now);
            }
        }
    }

    /// Carries out one effect of the leader.
    pub(super) fn carry_out(&mut self, effect: Effect) {
        let now = self.now;
        match effect {
            Effect::Write { id, transaction } => self.write(id, transaction),
            Effect::SendCommands {
                machine,
                commands: batch,
                ..
            } => {
                let result = self.deliver(&machine, &batch);
                self.manager().commands_answered(&machine, result, now);
            }
            Effect::ReadFinalStates(ids) => {
                let ends = self.store.ends(&ids);
                self.manager().final_states_found(ends, now);
            }
            Effect::ReturnMachines(names) => {
                let taken = self.cloud.takes_back;
                if taken {
                    self.workers.retain(|name, _| !names.contains(name));
                }
                self.manager().machines_returned(&names, taken, now);
            }
            Effect::RentMachines(rent) => {
                let machines = self.rent(&rent.zone, rent.count as usize);
                self.manager()
                    .machines_rented(&rent.idempotency_key, Some(machines), now);
            }
            Effect::RaiseToken => {
                let token = self.raise_token();
                self.manager().token_raised(token.map(FencingToken), now);
            }
            // Users are told by the record, which any node may read.
            Effect::JobFinished { .. } => {}
        }
    }

    /// The decisions of the leader, which there must be.
    pub(super) fn manager(&mut self) -> &mut ClusterManager {
        self.leader.as_mut().expect("its effects are carried out")
    }

    /// Sends a write to the state service, which treats it as it does at the moment.
    pub(super) fn write(&mut self, id: u64, transaction: Transaction) {
        let now = self.now;
        let fate = self.state.fate(&transaction, &mut self.random, now);
        let (at, answered) = match fate {
            Fate::Refused => {
                return self
                    .manager()
                    .write_finished(id, WriteOutcome::Rejected, now)
            }
            Fate::Answered(at) if at <= now => {
                let result = self.commit(&transaction);
                return self.manager().write_finished(id, result, now);
            }
            Fate::Answered(at) => (at, true),
            Fate::Unanswered(at) => {
                let _ = self.store.commit(&transaction);
                (at, false)
            }
            Fate::Late {
                given_up,
                carried_out,
            } => {
                self.late.push((carried_out, transaction.clone()));
                (given_up, false)
            }
        };
        let leader = self.manager().first_token().0;
        self.pending.push(PendingWrite {
            at,
            leader,
            id,
            transaction,
            answered,
        });
    }

    /// Delivers direct commands; what their sender hears of it.
    pub(super) fn deliver(&mut self, name: &str, batch: &CommandBatch) -> CommandOutcome {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else {
            return CommandOutcome::Unknown;
        };
        if !worker.receives(now) {
            return CommandOutcome::Unknown;
        }
        let accepted = worker.accepts(batch);
        if accepted {
            worker.token = batch.token.0;
            self.execute(name, &batch.commands);
        }
        let heartbeat = self.workers.get_mut(name).unwrap().heartbeat();
        if self.random.chance(self.slow_links) {
            return CommandOutcome::Unknown;
        }
        if accepted {
            CommandOutcome::Executed(heartbeat)
        } else {
            CommandOutcome::Rejected(Some(heartbeat))
        }
    }

    /// The record of the leader is written anew.
    pub(super) fn raise_token(&mut self) -> Option<u64> {
        if self.state.refuses {
            return None;
        }
        let txn = Transaction::default()
            .version(LEADER_KEY, self.manager().token().0)
            .put(LEADER_KEY, json!({"node": "a"}));
        self.store.commit(&txn).ok()
    }
}

//! The leader: its election, its writes and its other effects.

use super::Simulation;
use crate::common::CommitError;
use crate::services::WriteHandling;
use serde_json::json;
use stairstage::coordination::cluster::{CommandOutcome, Effect, WriteOutcome};
use stairstage::coordination::manager::ClusterManager;
use stairstage::protocol::ids::FencingToken;
use stairstage::protocol::store::Transaction;
use stairstage::protocol::worker::CommandBatch;
use stairstage::storage::records::LEADER_KEY;

/// A write whose response or timeout is pending.
pub(super) struct PendingWrite {
    pub(super) at: f64,
    pub(super) leader: u64,
    pub(super) id: u64,
    pub(super) transaction: Transaction,
    /// Whether the write is applied and confirmed when due. Otherwise it times out.
    pub(super) confirmed: bool,
}

impl Simulation {
    /// Stops the leader without a successor.
    pub(crate) fn crash_leader(&mut self) {
        self.leader = None;
    }

    /// Elects a new leader, which recovers from the records of the state service.
    pub(crate) fn elect_leader(&mut self) {
        let txn = Transaction::default().put(LEADER_KEY, json!({"node": "a"}));
        let token = self.store.commit(&txn).unwrap();
        let mut manager = ClusterManager::new(self.settings.clone(), FencingToken(token), self.now);
        manager.set_machine_types(self.machine_types.clone());
        manager.set_lease_valid_until(f64::INFINITY);
        manager.recover(self.store.records(), self.wall_ms(), self.now);
        if self.peers_promise {
            manager.peers_promised(self.now);
        }
        self.leader = Some(manager);
    }

    /// Applies the transactions that arrive after their timeout.
    pub(super) fn apply_delayed_writes(&mut self) {
        let now = self.now;
        let delayed = std::mem::take(&mut self.delayed_writes);
        let (due, later) = delayed.into_iter().partition(|(at, _)| *at <= now);
        self.delayed_writes = later;
        for (_, txn) in due {
            // The commit fails if one of the conditions no longer holds.
            let _ = self.store.commit(&txn);
        }
    }

    /// Applies the due writes that are confirmed, reads the keys of those that timed out, and passes the
    /// outcomes to the leader that sent them.
    pub(super) fn finish_writes(&mut self) {
        let now = self.now;
        let pending = std::mem::take(&mut self.pending_writes);
        let (due, later): (Vec<_>, Vec<_>) = pending.into_iter().partition(|w| w.at <= now);
        self.pending_writes = later;
        for write in due {
            let result = if write.confirmed {
                self.commit(&write.transaction)
            } else {
                self.store.indeterminate_outcome(&write.transaction)
            };
            let leader = self.leader.as_mut();
            if let Some(manager) = leader.filter(|c| c.first_token().0 == write.leader) {
                manager.write_finished(write.id, result, now);
            }
        }
    }

    /// Applies a transaction, and returns the outcome for the leader.
    pub(super) fn commit(&mut self, txn: &Transaction) -> WriteOutcome {
        match self.store.commit(txn) {
            Ok(revision) => WriteOutcome::Applied(revision),
            Err(CommitError::Conflict) => self.store.indeterminate_outcome(txn),
            Err(CommitError::TooLarge) => panic!("too large: {txn:?}"),
        }
    }

    /// Runs the leader and applies its effects until there are none left.
    pub(super) fn run_leader(&mut self) {
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
                self.apply_effect(effect);
            }
            if let Some(manager) = &mut self.leader {
                manager.step(now);
            }
        }
    }

    /// Applies one effect of the leader.
    pub(super) fn apply_effect(&mut self, effect: Effect) {
        let now = self.now;
        match effect {
            Effect::Write { id, transaction } => self.send_write(id, transaction),
            Effect::SendCommands {
                machine,
                commands: batch,
                ..
            } => {
                let result = self.deliver(&machine, &batch);
                self.manager().commands_finished(&machine, result, now);
            }
            Effect::ReadFinalStates(ids) => {
                let found = self.store.final_states(&ids);
                self.manager().final_states_read(found, now);
            }
            Effect::ReturnMachines(names) => {
                let accepted = self.cloud.accepts_returns;
                if accepted {
                    self.workers.retain(|name, _| !names.contains(name));
                }
                self.manager().machines_returned(&names, accepted, now);
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
            // Users learn of the final state from its record, which any controller may read.
            Effect::JobFinished { .. } => {}
        }
    }

    /// The manager of the leader; fails if there is none.
    pub(super) fn manager(&mut self) -> &mut ClusterManager {
        self.leader.as_mut().expect("a simulation with a leader")
    }

    /// Sends a write to the state service, which handles it according to its present faults.
    pub(super) fn send_write(&mut self, id: u64, transaction: Transaction) {
        let now = self.now;
        let handling = self.state.handle_write(&transaction, &mut self.random, now);
        let (at, confirmed) = match handling {
            WriteHandling::Rejected => {
                return self
                    .manager()
                    .write_finished(id, WriteOutcome::Rejected, now)
            }
            WriteHandling::Confirmed(at) if at <= now => {
                let result = self.commit(&transaction);
                return self.manager().write_finished(id, result, now);
            }
            WriteHandling::Confirmed(at) => (at, true),
            WriteHandling::ResponseLost(at) => {
                let _ = self.store.commit(&transaction);
                (at, false)
            }
            WriteHandling::Delayed {
                timed_out_at,
                applied_at,
            } => {
                self.delayed_writes.push((applied_at, transaction.clone()));
                (timed_out_at, false)
            }
        };
        let leader = self.manager().first_token().0;
        self.pending_writes.push(PendingWrite {
            at,
            leader,
            id,
            transaction,
            confirmed,
        });
    }

    /// Delivers direct commands, and returns the outcome for their sender.
    pub(super) fn deliver(&mut self, name: &str, batch: &CommandBatch) -> CommandOutcome {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else {
            return CommandOutcome::Indeterminate;
        };
        if !worker.receives(now) {
            return CommandOutcome::Indeterminate;
        }
        let accepted = worker.accepts(batch);
        if accepted {
            worker.token = batch.token.0;
            self.execute(name, &batch.commands);
        }
        let heartbeat = self.workers.get_mut(name).unwrap().heartbeat();
        if self.random.chance(self.late_response_rate) {
            return CommandOutcome::Indeterminate;
        }
        if accepted {
            CommandOutcome::Executed(heartbeat)
        } else {
            CommandOutcome::Rejected(Some(heartbeat))
        }
    }

    /// Rewrites the record of the leader, which gives it a higher token.
    pub(super) fn raise_token(&mut self) -> Option<u64> {
        if self.state.unavailable {
            return None;
        }
        let txn = Transaction::default()
            .version(LEADER_KEY, self.manager().token().0)
            .put(LEADER_KEY, json!({"node": "a"}));
        self.store.commit(&txn).ok()
    }
}

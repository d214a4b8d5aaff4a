//! The leader: its election, its writes and what it has others do.

use super::Simulation;
use crate::common::Refusal;
use crate::services::Fate;
use serde_json::json;
use stairstage::coordination::cluster::{Core, Effect, Ordered, Written};
use stairstage::protocol::store::Transaction;
use stairstage::protocol::worker::*;
use stairstage::storage::records::*;

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
    pub fn depose(&mut self) {
        self.leader = None;
    }

    /// Another leader begins, with what the state service holds.
    pub fn elect(&mut self) {
        let txn = Transaction::default().put(LEADER, json!({"node": "a"}));
        let token = self.store.commit(&txn).unwrap();
        let mut core = Core::new(self.settings.clone(), token, self.now);
        core.set_types(self.types.clone());
        core.valid_until = f64::INFINITY;
        core.recover(self.store.records(), self.wall_ms(), self.now);
        if self.peers_promise {
            core.promised(self.now);
        }
        self.leader = Some(core);
    }

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

    pub(super) fn answer_writes(&mut self) {
        let now = self.now;
        let pending = std::mem::take(&mut self.pending);
        let (due, later): (Vec<_>, Vec<_>) = pending.into_iter().partition(|w| w.at <= now);
        self.pending = later;
        for write in due {
            let result = match write.answered {
                true => self.commit(&write.transaction),
                false => self.store.reread(&write.transaction),
            };
            let leader = self.leader.as_mut();
            if let Some(core) = leader.filter(|c| c.first_token() == write.leader) {
                core.written(write.id, result, now);
            }
        }
    }

    pub(super) fn commit(&mut self, txn: &Transaction) -> Written {
        match self.store.commit(txn) {
            Ok(revision) => Written::Applied(revision),
            Err(Refusal::Conflict) => self.store.reread(txn),
            Err(Refusal::TooLarge) => panic!("too large: {txn:?}"),
        }
    }

    pub(super) fn decide(&mut self) {
        let now = self.now;
        let Some(core) = &mut self.leader else {
            return;
        };
        core.tick(now);
        core.step(now);
        while let Some(core) = &mut self.leader {
            let effects = core.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.carry_out(effect);
            }
            if let Some(core) = &mut self.leader {
                core.step(now);
            }
        }
    }

    pub(super) fn carry_out(&mut self, effect: Effect) {
        let now = self.now;
        match effect {
            Effect::Write { id, transaction } => self.write(id, transaction),
            Effect::Orders {
                machine, orders, ..
            } => {
                let result = self.deliver(&machine, &orders);
                self.core().ordered(&machine, result, now);
            }
            Effect::FindEnds(ids) => {
                let ends = self.store.ends(&ids);
                self.core().found(ends, now);
            }
            Effect::Return(names) => {
                let taken = self.cloud.takes_back;
                if taken {
                    self.workers.retain(|name, _| !names.contains(name));
                }
                self.core().returned(&names, taken, now);
            }
            Effect::Rent(rent) => {
                let machines = self.rent(&rent.zone, rent.count as usize);
                self.core().rented(&rent.request, Some(machines), now);
            }
            Effect::RaiseToken => {
                let token = self.raise_token();
                self.core().token_raised(token, now);
            }
            // Users are told by the record, which any node may read.
            Effect::Ended { .. } => {}
        }
    }

    pub(super) fn core(&mut self) -> &mut Core {
        self.leader.as_mut().expect("its effects are carried out")
    }

    pub(super) fn write(&mut self, id: u64, transaction: Transaction) {
        let now = self.now;
        let fate = self.state.fate(&transaction, &mut self.random, now);
        let (at, answered) = match fate {
            Fate::Refused => return self.core().written(id, Written::Refused, now),
            Fate::Answered(at) if at <= now => {
                let result = self.commit(&transaction);
                return self.core().written(id, result, now);
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
        let leader = self.core().first_token();
        self.pending.push(PendingWrite {
            at,
            leader,
            id,
            transaction,
            answered,
        });
    }

    pub(super) fn deliver(&mut self, name: &str, orders: &Orders) -> Ordered {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else {
            return Ordered::Unknown;
        };
        if !worker.hears(now) {
            return Ordered::Unknown;
        }
        let accepted = worker.accepts(orders);
        if accepted {
            worker.token = orders.token;
            self.obey(name, &orders.commands);
        }
        let report = self.workers.get_mut(name).unwrap().report();
        if self.random.chance(self.slow_links) {
            return Ordered::Unknown;
        }
        match accepted {
            true => Ordered::Executed(report),
            false => Ordered::Rejected(Some(report)),
        }
    }

    pub(super) fn raise_token(&mut self) -> Option<u64> {
        if self.state.refuses {
            return None;
        }
        let txn = Transaction::default()
            .version(LEADER, self.core().token)
            .put(LEADER, json!({"node": "a"}));
        self.store.commit(&txn).ok()
    }
}

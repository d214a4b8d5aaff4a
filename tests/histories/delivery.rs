//! How effects of the leader are carried out, and how reports and commands are delivered.

use super::common::Refusal;
use super::worker::Worker;
use super::world::World;
use serde_json::json;
use stairstage::bookkeeping::records::LEADER;
use stairstage::coordination::core::{Effect, Heard, Ordered, Written};
use stairstage::protocol::store::Transaction;
use stairstage::protocol::worker::*;

impl World {
    pub fn deliver(&mut self, worker: usize, orders: &Orders) -> Option<(bool, Report)> {
        let w = &mut self.workers[worker];
        if w.gone {
            return None;
        }
        let fits = orders.token >= w.token && orders.session == w.session;
        let mut started = Vec::new();
        if fits {
            w.token = orders.token;
            started = w.run(&orders.commands);
        }
        let report = w.report();
        self.started(worker, started);
        Some((fits, report))
    }

    pub fn effects(&mut self) {
        loop {
            let effects = self.core.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.carry_out(effect);
            }
        }
    }

    pub fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Write { id, transaction } => {
                // 0: answered; 1: applied without an answer; 2: lost; 3: held back.
                let mode = std::mem::take(&mut self.writes);
                self.late.push(transaction.clone());
                let result = match mode {
                    2 | 3 => Err(Refusal::Conflict),
                    _ => self.store.commit(&transaction),
                };
                if mode == 2 {
                    self.late.pop();
                }
                assert!(
                    result != Err(Refusal::TooLarge),
                    "too large: {transaction:?}"
                );
                let written = match (mode, result) {
                    (0, Ok(revision)) => Written::Applied(revision),
                    _ => self.store.reread(&transaction),
                };
                self.core.written(id, written, self.now);
            }
            Effect::Orders {
                machine, orders, ..
            } => {
                let worker = self
                    .workers
                    .iter()
                    .position(|w| *w.name == *machine)
                    .unwrap();
                // A copy of what is carried out may come again later.
                let name = self.workers[worker].name.clone();
                self.held.push((name, orders.clone()));
                let w = &self.workers[worker];
                let result = if self.holding || w.cut || w.deaf {
                    Ordered::Unknown
                } else {
                    match self.deliver(worker, &orders) {
                        None => Ordered::NotSent,
                        Some((true, report)) => Ordered::Executed(report),
                        Some((false, report)) => Ordered::Rejected(Some(report)),
                    }
                };
                self.core.ordered(&machine, result, self.now);
            }
            Effect::Return(names) => {
                self.given_back(&names);
                self.core.returned(&names, true, self.now);
            }
            Effect::Rent(rent) => self.core.rented(&rent.request, Some(Vec::new()), self.now),
            Effect::RaiseToken => {
                let txn = Transaction::default()
                    .version(LEADER, self.core.token)
                    .put(LEADER, json!({"node": "a"}));
                let token = self.store.commit(&txn).ok();
                self.core.token_raised(token, self.now);
            }
            Effect::Ended { id, state } => self.told(&id, state),
            Effect::FindEnds(ids) => self.core.found(self.store.ends(&ids), self.now),
        }
    }

    /// The cloud has carried out a return.
    pub fn given_back(&mut self, names: &[String]) {
        let returned = |w: &&mut Worker| names.contains(&w.name);
        self.workers
            .iter_mut()
            .filter(returned)
            .for_each(Worker::die);
    }

    /// A worker sends a report to the leader, or to the one before.
    pub fn report(&mut self, i: usize, answer_lost: bool, to_former: bool) {
        let sent = self.now;
        let w = &self.workers[i];
        if w.gone || w.cut && !(to_former && w.with_former) {
            return;
        }
        let doubt_s = self.doubt_s();
        let core = match (&mut self.former, to_former) {
            (_, false) => &mut self.core,
            (Some((former, over)), true) if sent - *over < doubt_s => former,
            _ => return,
        };
        let report = self.workers[i].report();
        self.sent.push(report.clone());
        if let Heard::Answer(answer) = core.report(&report, sent) {
            let w = &mut self.workers[i];
            if !answer_lost && !w.deaf && answer.token >= w.token {
                let started = w.take(&answer, sent);
                assert!(
                    !to_former || started.is_empty(),
                    "a leader in doubt starts {started:?}"
                );
                self.started(i, started);
            }
        }
    }
}

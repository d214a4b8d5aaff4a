//! Who leads: a key in the state service on a lease. Its version is the leader's token, so tokens
//! come from nowhere else and only rise.

use super::Time;
use crate::bookkeeping::records::{LeaderRecord, LEADER};
use crate::bookkeeping::store::{Outcome, Renewal, Store, Unavailable};
use crate::protocol::store::Transaction;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};
use tracing::{debug, info, warn};

/// What the election tells the controller.
#[derive(Debug)]
pub enum News {
    /// Another node leads, or none that is known.
    Leader(Option<String>),
    Elected {
        token: u64,
    },
    /// The lease holds until then, by our clock.
    Lease {
        valid_until: Time,
    },
    TokenRaised(Option<u64>),
    Deposed,
}

/// What the controller asks of the election.
#[derive(Debug)]
pub enum Wish {
    RaiseToken,
    /// Lead no more: another node has the workers' ear.
    Resign,
}

pub struct Election {
    pub store: Store,
    pub node: String,
    pub lease: Duration,
    pub epoch: Instant,
    pub news: Box<dyn Fn(News) + Send>,
    pub wishes: Receiver<Wish>,
}

/// The share of a lease that counts as safe by our own clock, whatever its drift.
const SAFE: f64 = 0.98;
/// Renewals within a lease.
const RENEWALS: u32 = 4;

impl Election {
    pub fn run(self) {
        loop {
            match self.store.read::<LeaderRecord>(LEADER) {
                Err(Unavailable) => std::thread::sleep(self.lease / 8),
                Ok(None) => self.campaign(0),
                // Our own record, from before a restart: that process is no more.
                Ok(Some((record, version))) if record.node == self.node => self.campaign(version),
                Ok(Some((record, version))) => {
                    (self.news)(News::Leader(Some(record.node)));
                    self.follow(version);
                }
            }
        }
    }

    /// Waits until the leader's record changes.
    fn follow(&self, mut after: u64) {
        loop {
            match self.store.watch(LEADER, after, self.lease * RENEWALS) {
                Err(Unavailable) => std::thread::sleep(self.lease / 8),
                Ok(None) => return,
                Ok(Some(events)) => {
                    after = after.max(events.revision);
                    if let Some(event) = events.events.last() {
                        if event.delete.is_some() {
                            debug!("nobody leads");
                            (self.news)(News::Leader(None));
                        }
                        return;
                    }
                }
            }
        }
    }

    fn record(&self) -> serde_json::Value {
        let record = LeaderRecord {
            node: self.node.clone(),
        };
        serde_json::to_value(record).expect("plain data")
    }

    /// Tries to become the leader, if the record still has that version.
    fn campaign(&self, version: u64) {
        let sent = Instant::now();
        let Ok(lease) = self.store.grant(self.lease) else {
            std::thread::sleep(self.lease / 8);
            return;
        };
        let txn = Transaction::default().version(LEADER, version).put_leased(
            LEADER,
            self.record(),
            lease,
        );
        match self.store.commit(&txn) {
            Outcome::Applied(token) => {
                while self.wishes.try_recv().is_ok() {}
                (self.news)(News::Elected { token });
                self.announce(sent);
                self.lead(token, lease);
                (self.news)(News::Deposed);
            }
            Outcome::Unknown | Outcome::Refused | Outcome::TooLarge => {
                std::thread::sleep(self.lease / 8)
            }
            Outcome::Conflict(_) | Outcome::NoLease => self.store.release(lease),
        }
    }

    fn announce(&self, sent: Instant) {
        let valid = sent.duration_since(self.epoch).as_secs_f64() + self.lease.as_secs_f64() * SAFE;
        (self.news)(News::Lease { valid_until: valid });
    }

    /// Renews the lease for as long as the state service allows it.
    fn lead(&self, mut token: u64, lease: u64) {
        let pause = self.lease / RENEWALS;
        let mut next = Instant::now() + pause;
        loop {
            match self.wishes.recv_deadline(next) {
                Ok(Wish::RaiseToken) => {
                    let txn = Transaction::default().version(LEADER, token).put_leased(
                        LEADER,
                        self.record(),
                        lease,
                    );
                    let raised = match self.store.commit(&txn) {
                        Outcome::Applied(revision) => Some(revision),
                        // It may have been applied all the same.
                        _ => match self.store.read::<LeaderRecord>(LEADER) {
                            Ok(Some((r, version))) if r.node == self.node => Some(version),
                            _ => None,
                        },
                    };
                    token = raised.unwrap_or(token);
                    (self.news)(News::TokenRaised(raised));
                    continue;
                }
                Ok(Wish::Resign) => {
                    info!("hands leadership over");
                    self.store.release(lease);
                    std::thread::sleep(self.lease);
                    return;
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let sent = Instant::now();
            match self.store.renew(lease, self.lease / 2) {
                Renewal::Renewed => {
                    self.announce(sent);
                    next = sent + pause;
                }
                Renewal::Over => {
                    warn!("the leadership lease is over");
                    return;
                }
                Renewal::Unavailable => next = Instant::now() + pause / 2,
            }
        }
    }
}

/// The channel by which the controller speaks to the election.
pub fn wishes() -> (Sender<Wish>, Receiver<Wish>) {
    crossbeam::channel::bounded(4)
}

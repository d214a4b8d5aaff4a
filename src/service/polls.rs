//! Users' polls of open jobs, confirmed together.
//!
//! The leader's picture may lack a cancellation that another node has told a user of, and nobody
//! may answer with an older state after that. So the recorded ends of all jobs that are asked about
//! within a moment are compared in one transaction that changes nothing.

use super::gateway::{ended_status, later};
use super::messages::Message;
use super::{busy, spawn};
use crate::bookkeeping::cancellations::CancellationLog;
use crate::bookkeeping::records::{end_key, EndRecord};
use crate::bookkeeping::store::{Outcome, Store, Unavailable};
use crate::protocol::job::JobStatus;
use crate::protocol::store::Transaction;
use crate::settings::Settings;
use crate::transport::{Reply, Respond};
use crossbeam::channel::{bounded, Receiver, Sender, TrySendError};
use std::time::Duration;

/// Polls that may wait.
const WAITING: usize = 512;
/// The share of the state service's requests that polls may take.
const REQUESTS_SHARE: f64 = 0.25;

type Poll = (JobStatus, Respond);

/// Where polls of open jobs are handed in.
#[derive(Clone)]
pub struct Polls(Sender<Poll>);

impl Polls {
    /// Answers with `status`, unless the job's end is on record.
    pub fn confirm(&self, status: JobStatus, respond: Respond) {
        let sent = self.0.try_send((status, respond));
        if let Err(TrySendError::Full((_, r)) | TrySendError::Disconnected((_, r))) = sent {
            r(busy());
        }
    }
}

pub fn start(
    settings: &Settings,
    store: &Store,
    controller: &Sender<Message>,
    cancellations: &CancellationLog,
) -> anyhow::Result<Polls> {
    let (tx, rx) = bounded(WAITING);
    let state = &settings.cluster.state;
    let most = state.conditions();
    let pause = Duration::from_secs_f64(1.0 / (REQUESTS_SHARE * state.rps));
    let (store, controller) = (store.clone(), controller.clone());
    let cancellations = cancellations.clone();
    spawn("polls", move || {
        confirm_all(&rx, &store, &controller, &cancellations, most, pause)
    })?;
    Ok(Polls(tx))
}

fn confirm_all(
    polls: &Receiver<Poll>,
    store: &Store,
    controller: &Sender<Message>,
    cancellations: &CancellationLog,
    most: usize,
    pause: Duration,
) {
    while let Ok(first) = polls.recv() {
        // More come meanwhile, and share the request.
        std::thread::sleep(pause);
        let mut batch = vec![first];
        batch.extend(polls.try_iter().take(most - 1));
        let mut txn = Transaction::default();
        for (status, _) in &batch {
            txn = txn.absent(end_key(&status.id));
        }
        let outcome = store.commit(&txn);
        for (status, respond) in batch {
            let reply = match &outcome {
                Outcome::Applied(_) => Reply::json(200, &status),
                Outcome::Conflict(failed) if !failed.contains(&end_key(&status.id)) => {
                    Reply::json(200, &status)
                }
                Outcome::Conflict(_) => match store.read::<EndRecord>(&end_key(&status.id)) {
                    Ok(Some((end, _))) => {
                        let ended = ended_status(controller, cancellations, &status.id, end.state);
                        Reply::json(200, &ended)
                    }
                    Ok(None) | Err(Unavailable) => later(),
                },
                Outcome::Refused | Outcome::TooLarge | Outcome::NoLease | Outcome::Unknown => {
                    later()
                }
            };
            respond(reply);
        }
    }
}

//! The stage of users' polls of open jobs: carries out what [`Confirmation`] decides of those that
//! come within a moment.

use super::end_notifier::EndNotifier;
use super::gateway::{reply_of, store_answer};
use super::{busy, spawn};
use crate::bookkeeping::store::Store;
use crate::coordination::requests::polls::{Confirmation, Effect};
use crate::protocol::job::JobStatus;
use crate::settings::Settings;
use crate::transport::Respond;
use crossbeam::channel::{bounded, Receiver, Sender, TrySendError};
use std::collections::VecDeque;
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

pub fn start(settings: &Settings, store: &Store, ends: &EndNotifier) -> anyhow::Result<Polls> {
    let (tx, rx) = bounded(WAITING);
    let state = &settings.cluster.state;
    let most = state.conditions();
    let pause = Duration::from_secs_f64(1.0 / (REQUESTS_SHARE * state.rps));
    let (store, ends) = (store.clone(), ends.clone());
    spawn("polls", move || {
        confirm_all(&rx, &store, &ends, most, pause)
    })?;
    Ok(Polls(tx))
}

fn confirm_all(
    polls: &Receiver<Poll>,
    store: &Store,
    ends: &EndNotifier,
    most: usize,
    pause: Duration,
) {
    while let Ok(first) = polls.recv() {
        // More come meanwhile, and share the request.
        std::thread::sleep(pause);
        let mut batch = vec![first];
        batch.extend(polls.try_iter().take(most - 1));
        confirm_batch(batch, store, ends);
    }
}

fn confirm_batch(batch: Vec<Poll>, store: &Store, ends: &EndNotifier) {
    let (polls, responds): (Vec<JobStatus>, Vec<Respond>) = batch.into_iter().unzip();
    let ids: Vec<String> = polls.iter().map(|status| status.id.clone()).collect();
    let mut responds: Vec<Option<Respond>> = responds.into_iter().map(Some).collect();
    let (mut confirmation, effects) = Confirmation::begin(polls);
    let mut effects = VecDeque::from(effects);
    while let Some(effect) = effects.pop_front() {
        match effect {
            Effect::Store(call) => effects.extend(confirmation.on(store_answer(store, call))),
            Effect::Ended(poll, state) => ends.note(&ids[poll], state),
            Effect::Answer(poll, answer) => {
                if let Some(respond) = responds[poll].take() {
                    respond(reply_of(answer));
                }
            }
        }
    }
}

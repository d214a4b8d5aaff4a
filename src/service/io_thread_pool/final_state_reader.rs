//! Reads the records of jobs' final states for the leader, at a limited rate.

use crate::coordination::state::JobId;
use crate::service::messages::{IoOutcome, Message};
use crate::service::threads::spawn;
use crate::settings::Settings;
use crate::storage::key_value_store::KeyValueStore;
use crate::storage::records::{final_state_key, FinalStateRecord};
use crossbeam::channel::{bounded, Receiver, Sender};
use std::time::Duration;

/// Batches of jobs that may wait in the queue.
const QUEUE_CAPACITY: usize = 1;
/// The share of the state service's request rate that these reads may use.
const REQUESTS_SHARE: f64 = 0.25;

/// Starts the thread and returns its queue.
pub(super) fn start(
    settings: &Settings,
    store: &KeyValueStore,
    inbox: &Sender<Message>,
) -> anyhow::Result<Sender<Vec<JobId>>> {
    let (sender, batches) = bounded(QUEUE_CAPACITY);
    let pause = Duration::from_secs_f64(1.0 / (REQUESTS_SHARE * settings.cluster.state.rps));
    let (store, inbox) = (store.clone(), inbox.clone());
    spawn("final-read", move || run(&store, &batches, &inbox, pause))?;
    Ok(sender)
}

fn run(
    store: &KeyValueStore,
    batches: &Receiver<Vec<JobId>>,
    inbox: &Sender<Message>,
    pause: Duration,
) {
    for ids in batches {
        let mut records = Vec::new();
        for id in ids {
            let record = store.read::<FinalStateRecord>(&final_state_key(&id));
            records.push((id, record.ok().flatten().map(|(record, _)| record)));
            std::thread::sleep(pause);
        }
        let _ = inbox.send(Message::Io(IoOutcome::FinalStatesRead { records }));
    }
}

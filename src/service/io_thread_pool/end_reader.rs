//! Reads the end records of jobs for the leader, at a limited rate.

use crate::coordination::state::JobId;
use crate::service::messages::{IoOutcome, Message};
use crate::service::threads::spawn;
use crate::settings::Settings;
use crate::storage::key_value_store::KeyValueStore;
use crate::storage::records::{final_state_key, FinalStateRecord};
use crossbeam::channel::{bounded, Receiver, Sender};
use std::time::Duration;

/// Batches of jobs that may wait.
const QUEUE: usize = 1;
/// The share of the state service's requests that these reads may take.
const REQUESTS_SHARE: f64 = 0.25;

/// Starts the thread; returns its queue.
pub(super) fn start(
    settings: &Settings,
    store: &KeyValueStore,
    inbox: &Sender<Message>,
) -> anyhow::Result<Sender<Vec<JobId>>> {
    let (sender, batches) = bounded(QUEUE);
    let pause = Duration::from_secs_f64(1.0 / (REQUESTS_SHARE * settings.cluster.state.rps));
    let (store, inbox) = (store.clone(), inbox.clone());
    spawn("finder", move || read_all(&store, &batches, &inbox, pause))?;
    Ok(sender)
}

fn read_all(
    store: &KeyValueStore,
    batches: &Receiver<Vec<JobId>>,
    inbox: &Sender<Message>,
    pause: Duration,
) {
    for ids in batches {
        let mut ends = Vec::new();
        for id in ids {
            let end = store.read::<FinalStateRecord>(&final_state_key(&id));
            ends.push((id, end.ok().flatten().map(|(end, _)| end)));
            std::thread::sleep(pause);
        }
        let _ = inbox.send(Message::Io(IoOutcome::EndsRead { ends }));
    }
}

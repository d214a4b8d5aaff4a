//! What speaks to the state service and the workers for the controller, and hands calls to the cloud on.

use crate::coordination::cluster::{CommandOutcome, WriteOutcome};
use crate::coordination::state::Name;
use crate::protocol::store::{Change, Transaction, VersionedValue};
use crate::protocol::worker::{CommandBatch, Heartbeat};
use crate::service::cloud_client::{self, CloudCall};
use crate::service::gateway::SharedTypes;
use crate::service::messages::Message;
use crate::service::spawn;
use crate::settings::Settings;
use crate::storage::key_value_store::{CommitOutcome, KeyValueStore};
use crate::storage::records::{end_key, EndRecord, LEADER_KEY};
use crate::transport::client::Answer;
use crate::transport::direct_commands::DirectCommands;
use crate::transport::runtime::Runtime;
use crossbeam::channel::{bounded, Receiver, Sender, TrySendError};
use std::sync::Arc;
use std::time::Duration;

/// The ways to them.
pub struct Pool {
    inbox: Sender<Message>,
    writes: Sender<(u64, Transaction)>,
    orders: DirectCommands,
    cloud: Sender<CloudCall>,
    /// Jobs of which the ends are to be read.
    finds: Sender<Vec<Name>>,
}

const WRITERS: usize = 3;
const QUEUE: usize = 256;
/// The share of the state service's requests that ends may take which are looked up.
const FINDS_SHARE: f64 = 0.25;
/// A worker answers at once or hangs; its own reports bring what direct commands could not.
const ORDER_PATIENCE: Duration = Duration::from_millis(1500);
const MAX_REPORT: usize = 1024 * 1024;

pub fn start(
    settings: &Settings,
    runtime: &Runtime,
    store: &KeyValueStore,
    types: &Arc<SharedTypes>,
    inbox: &Sender<Message>,
) -> anyhow::Result<Pool> {
    let (writes, to_write) = bounded(QUEUE);
    for _ in 0..WRITERS {
        let (store, jobs, inbox) = (store.clone(), to_write.clone(), inbox.clone());
        spawn("writer", move || write_all(&store, &jobs, &inbox))?;
    }
    let cloud = cloud_client::start(settings, inbox)?;
    let (finds, to_find) = bounded(1);
    let find_pause = Duration::from_secs_f64(1.0 / (FINDS_SHARE * settings.cluster.state.rps));
    let (find_store, find_inbox) = (store.clone(), inbox.clone());
    spawn("finder", move || {
        find_all(&find_store, &to_find, &find_inbox, find_pause)
    })?;
    cloud_client::start_types(settings, store, types, inbox)?;
    Ok(Pool {
        inbox: inbox.clone(),
        writes,
        orders: DirectCommands::new(
            runtime,
            settings.command_connections(),
            ORDER_PATIENCE,
            MAX_REPORT,
        ),
        cloud,
        finds,
    })
}

impl Pool {
    pub fn write(&self, id: u64, transaction: Transaction) {
        if self.writes.try_send((id, transaction)).is_err() {
            let _ = self
                .inbox
                .try_send(Message::Written(id, WriteOutcome::Rejected));
        }
    }

    pub fn order(&self, machine: Name, endpoint: &str, orders: &CommandBatch) {
        let inbox = self.inbox.clone();
        let body = serde_json::to_vec(orders).expect("plain data");
        let taker = move |answer| {
            let message = Message::CommandsAnswered(machine.clone(), ordered(&answer));
            inbox.try_send(message).map_err(|_| answer)
        };
        self.orders.post(endpoint, "/orders", body, Box::new(taker));
    }

    /// Looks up how jobs ended.
    pub fn find(&self, ids: Vec<Name>) {
        if let Err(TrySendError::Full(ids)) = self.finds.try_send(ids) {
            let found = ids.into_iter().map(|id| (id, None)).collect();
            let _ = self.inbox.try_send(Message::EndsFound(found));
        }
    }

    pub fn cloud(&self, call: CloudCall) {
        if let Err(TrySendError::Full(call) | TrySendError::Disconnected(call)) =
            self.cloud.try_send(call)
        {
            let message = match call {
                CloudCall::Rent(rent) => Message::MachinesRented(rent.request, None),
                CloudCall::Return(names) => Message::MachinesReturned(names, false),
                CloudCall::List => return,
            };
            let _ = self.inbox.try_send(message);
        }
    }
}

fn find_all(
    store: &KeyValueStore,
    jobs: &Receiver<Vec<Name>>,
    inbox: &Sender<Message>,
    pause: Duration,
) {
    for ids in jobs {
        let mut found = Vec::new();
        for id in ids {
            let end = store.read::<EndRecord>(&end_key(&id));
            found.push((id, end.ok().flatten().map(|(end, _)| end)));
            std::thread::sleep(pause);
        }
        let _ = inbox.send(Message::EndsFound(found));
    }
}

fn write_all(store: &KeyValueStore, jobs: &Receiver<(u64, Transaction)>, inbox: &Sender<Message>) {
    for (id, transaction) in jobs {
        let result = match store.commit(&transaction) {
            CommitOutcome::Applied(revision) => WriteOutcome::Applied(revision),
            CommitOutcome::Refused | CommitOutcome::Limited | CommitOutcome::NoLease => {
                WriteOutcome::Rejected
            }
            CommitOutcome::TooLarge => WriteOutcome::TooLarge,
            CommitOutcome::Conflict(failed) => WriteOutcome::Indeterminate(reread(store, &failed)),
            CommitOutcome::Unknown => {
                WriteOutcome::Indeterminate(reread(store, &written_keys(&transaction)))
            }
        };
        let _ = inbox.send(Message::Written(id, result));
    }
}

/// The keys by which it shows whether a transaction was applied: those that it changes, and the
/// leader's record, on which it depends.
fn written_keys(txn: &Transaction) -> Vec<String> {
    let changed = |key: &String| {
        txn.changes.iter().any(|change| match change {
            Change::Put { key: k, .. } | Change::Delete { key: k } => k == key,
        })
    };
    let keys = txn.conditions.iter().map(|c| &c.key);
    keys.filter(|k| *k == LEADER_KEY || changed(k))
        .cloned()
        .collect()
}

/// Reads what keys hold, for as long as that takes.
fn reread(store: &KeyValueStore, keys: &[String]) -> Vec<(String, Option<VersionedValue>)> {
    let mut items = Vec::new();
    for key in keys {
        loop {
            match store.get(key) {
                Ok(item) => break items.push((key.clone(), item)),
                Err(_) => std::thread::sleep(Duration::from_millis(200)),
            }
        }
    }
    items
}

fn ordered(answer: &Answer) -> CommandOutcome {
    match answer {
        Answer::Response(200, _) => match answer.ok::<Heartbeat>() {
            Some(report) => CommandOutcome::Executed(report),
            None => CommandOutcome::Unknown,
        },
        Answer::Response(409, body) => CommandOutcome::Rejected(serde_json::from_slice(body).ok()),
        Answer::Response(400, _) => CommandOutcome::Rejected(None),
        Answer::NotSent => CommandOutcome::NotSent,
        Answer::Response(..) | Answer::Unknown => CommandOutcome::Unknown,
    }
}

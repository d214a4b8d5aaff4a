//! Commits the leader's transactions. After a conflict or an unknown outcome, the keys concerned are read
//! again: their values show the leader whether the transaction was applied.

use crate::coordination::cluster::WriteOutcome;
use crate::protocol::store::{Transaction, VersionedValue, WriteOperation};
use crate::service::messages::{IoOutcome, Message};
use crate::service::threads::spawn;
use crate::storage::key_value_store::{CommitOutcome, KeyValueStore};
use crate::storage::records::LEADER_KEY;
use crossbeam::channel::{bounded, Receiver, Sender};
use std::time::Duration;

/// Writer threads. Each commits one transaction at a time.
const WRITERS: usize = 3;
/// Transactions that may wait in the queue.
const QUEUE_CAPACITY: usize = 256;
/// The pause before a failed read is retried.
const REREAD_PAUSE: Duration = Duration::from_millis(200);

/// A transaction, and the id that the leader has given the write.
pub(super) struct NumberedTransaction {
    pub(super) id: u64,
    pub(super) transaction: Transaction,
}

/// Starts the threads and returns their queue.
pub(super) fn start(
    store: &KeyValueStore,
    inbox: &Sender<Message>,
) -> anyhow::Result<Sender<NumberedTransaction>> {
    let (sender, receiver) = bounded(QUEUE_CAPACITY);
    for _ in 0..WRITERS {
        let (store, writes, inbox) = (store.clone(), receiver.clone(), inbox.clone());
        spawn("writer", move || commit_all(&store, &writes, &inbox))?;
    }
    Ok(sender)
}

fn commit_all(
    store: &KeyValueStore,
    writes: &Receiver<NumberedTransaction>,
    inbox: &Sender<Message>,
) {
    for NumberedTransaction { id, transaction } in writes {
        let outcome = commit(store, &transaction);
        let _ = inbox.send(Message::Io(IoOutcome::WriteFinished { id, outcome }));
    }
}

fn commit(store: &KeyValueStore, transaction: &Transaction) -> WriteOutcome {
    match store.commit(transaction) {
        CommitOutcome::Applied(revision) => WriteOutcome::Applied(revision),
        CommitOutcome::Rejected | CommitOutcome::RateLimited | CommitOutcome::LeaseExpired => {
            WriteOutcome::Rejected
        }
        CommitOutcome::TooLarge => WriteOutcome::TooLarge,
        CommitOutcome::Conflict(failed) => WriteOutcome::Indeterminate(reread(store, &failed)),
        CommitOutcome::Indeterminate => {
            WriteOutcome::Indeterminate(reread(store, &deciding_keys(transaction)))
        }
    }
}

/// The compared keys whose values show whether a transaction was applied: the keys that it writes, and the
/// key of the leader record, on which it depends.
fn deciding_keys(transaction: &Transaction) -> Vec<String> {
    let is_written = |key: &String| {
        transaction
            .operations
            .iter()
            .any(|operation| match operation {
                WriteOperation::Put { key: k, .. } | WriteOperation::Delete { key: k } => k == key,
            })
    };
    let keys = transaction.compares.iter().map(|c| &c.key);
    keys.filter(|k| *k == LEADER_KEY || is_written(k))
        .cloned()
        .collect()
}

/// Reads the values of keys, and retries each read until it succeeds.
fn reread(store: &KeyValueStore, keys: &[String]) -> Vec<(String, Option<VersionedValue>)> {
    let mut items = Vec::new();
    for key in keys {
        loop {
            match store.get(key) {
                Ok(item) => break items.push((key.clone(), item)),
                Err(_) => std::thread::sleep(REREAD_PAUSE),
            }
        }
    }
    items
}

//! The threads that wait for the state service, the workers and the cloud in the controller's place.
//!
//! Each operation is enqueued without waiting; its outcome comes as an [`IoOutcome`] message. What a
//! full queue does not take has failed at once.

mod cloud_caller;
mod command_dispatcher;
mod end_reader;
mod transaction_writer;

use super::messages::{IoOutcome, Message};
use crate::coordination::cluster::WriteOutcome;
use crate::coordination::state::{JobId, MachineName};
use crate::protocol::store::Transaction;
use crate::protocol::worker::CommandBatch;
use crate::settings::Settings;
use crate::storage::key_value_store::KeyValueStore;
use crate::transport::runtime::Runtime;
pub use cloud_caller::CloudCall;
use command_dispatcher::CommandDispatcher;
use crossbeam::channel::{Sender, TrySendError};
use transaction_writer::NumberedTransaction;

/// The sending ends of the threads' queues.
pub struct IoThreadPool {
    inbox: Sender<Message>,
    writes: Sender<NumberedTransaction>,
    commands: CommandDispatcher,
    cloud_calls: Sender<CloudCall>,
    /// Jobs of which the end records are to be read.
    end_reads: Sender<Vec<JobId>>,
}

impl IoThreadPool {
    /// Starts the threads; their outcomes go to `inbox`.
    ///
    /// # Errors
    ///
    /// When a thread cannot be started.
    pub fn start(
        settings: &Settings,
        runtime: &Runtime,
        store: &KeyValueStore,
        inbox: &Sender<Message>,
    ) -> anyhow::Result<IoThreadPool> {
        Ok(IoThreadPool {
            inbox: inbox.clone(),
            writes: transaction_writer::start(store, inbox)?,
            cloud_calls: cloud_caller::start(settings, inbox)?,
            end_reads: end_reader::start(settings, store, inbox)?,
            commands: CommandDispatcher::new(settings, runtime, inbox),
        })
    }

    /// Commits a transaction; `id` comes back with its outcome.
    pub fn write(&self, id: u64, transaction: Transaction) {
        let write = NumberedTransaction { id, transaction };
        if self.writes.try_send(write).is_err() {
            self.try_report(IoOutcome::WriteFinished {
                id,
                outcome: WriteOutcome::Rejected,
            });
        }
    }

    /// Sends commands directly to a machine's worker.
    pub fn send_commands(&self, machine: MachineName, endpoint: &str, commands: &CommandBatch) {
        self.commands.send(machine, endpoint, commands);
    }

    /// Reads how jobs ended.
    pub fn read_ends(&self, ids: Vec<JobId>) {
        if let Err(TrySendError::Full(ids)) = self.end_reads.try_send(ids) {
            let ends = ids.into_iter().map(|id| (id, None)).collect();
            self.try_report(IoOutcome::EndsRead { ends });
        }
    }

    /// Calls the cloud.
    pub fn call_cloud(&self, call: CloudCall) {
        if let Err(TrySendError::Full(call) | TrySendError::Disconnected(call)) =
            self.cloud_calls.try_send(call)
        {
            if let Some(outcome) = call.into_failure() {
                self.try_report(outcome);
            }
        }
    }

    fn try_report(&self, outcome: IoOutcome) {
        let _ = self.inbox.try_send(Message::Io(outcome));
    }
}

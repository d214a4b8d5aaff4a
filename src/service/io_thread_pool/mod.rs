//! The threads that make blocking calls to the state service, the workers and the cloud for the controller
//! actor.
//!
//! An operation is enqueued without blocking, and its outcome is sent back as an [`IoOutcome`] message. If
//! the queue is full, the operation fails immediately.

mod cloud_caller;
mod command_dispatcher;
mod final_state_reader;
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

/// The senders of the threads' queues.
pub struct IoThreadPool {
    inbox: Sender<Message>,
    writes: Sender<NumberedTransaction>,
    commands: CommandDispatcher,
    cloud_calls: Sender<CloudCall>,
    /// Batches of jobs whose final states must be read.
    final_state_reads: Sender<Vec<JobId>>,
}

impl IoThreadPool {
    /// Starts the threads. They send the outcomes of operations to `inbox`.
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
            final_state_reads: final_state_reader::start(settings, store, inbox)?,
            commands: CommandDispatcher::new(settings, runtime, inbox),
        })
    }

    /// Commits a transaction; the outcome carries `id`.
    pub fn write(&self, id: u64, transaction: Transaction) {
        let write = NumberedTransaction { id, transaction };
        if self.writes.try_send(write).is_err() {
            self.try_send_outcome(IoOutcome::WriteFinished {
                id,
                outcome: WriteOutcome::Rejected,
            });
        }
    }

    /// Sends commands directly to a machine's worker.
    pub fn send_commands(&self, machine: MachineName, endpoint: &str, commands: &CommandBatch) {
        self.commands.send(machine, endpoint, commands);
    }

    /// Reads the final states of jobs.
    pub fn read_final_states(&self, ids: Vec<JobId>) {
        if let Err(TrySendError::Full(ids)) = self.final_state_reads.try_send(ids) {
            let records = ids.into_iter().map(|id| (id, None)).collect();
            self.try_send_outcome(IoOutcome::FinalStatesRead { records });
        }
    }

    /// Calls the cloud.
    pub fn call_cloud(&self, call: CloudCall) {
        if let Err(TrySendError::Full(call) | TrySendError::Disconnected(call)) =
            self.cloud_calls.try_send(call)
        {
            if let Some(outcome) = call.into_failure() {
                self.try_send_outcome(outcome);
            }
        }
    }

    fn try_send_outcome(&self, outcome: IoOutcome) {
        let _ = self.inbox.try_send(Message::Io(outcome));
    }
}

//! Publishes the final state of a job within this process before it is confirmed to any user.

use super::messages::Message;
use crate::protocol::job::JobState;
use crate::storage::cancellation_log::CancellationLog;
use crate::storage::records::JobFinalState;
use crossbeam::channel::Sender;

/// Publishes recorded final states to the controller actor and, if they are cancellations, to the log that
/// the other controllers read. This must happen before any answer to a user that confirms a final state
/// learned from the state service or from the leader.
#[derive(Clone)]
pub struct FinalStateNotifier {
    /// The controller actor's inbox.
    pub controller: Sender<Message>,
    /// The log of the cancellations that this process has confirmed.
    pub cancellations: CancellationLog,
}

impl FinalStateNotifier {
    /// Publishes the final states of jobs, all in one message.
    pub fn publish(&self, final_states: Vec<JobFinalState>) {
        for finished in &final_states {
            if finished.state == JobState::Cancelled {
                self.cancellations.record(&finished.job);
            }
        }
        let _ = self
            .controller
            .try_send(Message::JobsFinished { final_states });
    }
}

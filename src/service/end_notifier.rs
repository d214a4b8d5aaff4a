//! Publishes the end of a job within this process before any user is told of it.

use super::messages::Message;
use crate::protocol::job::JobState;
use crate::storage::cancellation_log::CancellationLog;
use crossbeam::channel::Sender;

/// Publishes recorded ends to the controller and, if they are cancellations, to the log that other
/// controllers read. Every answer that tells a user of an end on the strength of the state service
/// or of the leader is given after this.
#[derive(Clone)]
pub struct EndNotifier {
    /// The controller's inbox.
    pub controller: Sender<Message>,
    /// The cancellations that this process has confirmed.
    pub cancellations: CancellationLog,
}

impl EndNotifier {
    /// Publishes how jobs have ended, in one message, however many there are.
    pub fn publish(&self, ends: Vec<(String, JobState)>) {
        for (id, state) in &ends {
            if *state == JobState::Cancelled {
                self.cancellations.record(id);
            }
        }
        let _ = self.controller.try_send(Message::JobsEnded { ends });
    }
}

//! Where every end goes that is told to a user, before the user is told.

use super::messages::Message;
use crate::protocol::job::JobState;
use crate::storage::cancellation_log::CancellationLog;
use crossbeam::channel::Sender;

/// Notes ends that are on record for the controller and, if they are cancellations, for the other
/// controllers. Every answer that tells of an end on the strength of the state service or of the
/// leader is given after this.
#[derive(Clone)]
pub struct EndNotifier {
    pub controller: Sender<Message>,
    pub cancellations: CancellationLog,
}

impl EndNotifier {
    /// Notes how jobs have ended, in one message, however many there are.
    pub fn note(&self, ends: Vec<(String, JobState)>) {
        for (id, state) in &ends {
            if *state == JobState::Cancelled {
                self.cancellations.record(id);
            }
        }
        let _ = self.controller.try_send(Message::JobsEnded(ends));
    }
}

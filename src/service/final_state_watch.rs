//! Watches the state service for the final states of jobs. Every controller does so, and can then answer
//! users' polls of finished jobs without a request to the leader or to the state service.

use super::messages::Message;
use super::polls::PollQueue;
use super::threads::spawn;
use crate::protocol::store::{Event, Events};
use crate::settings::Settings;
use crate::storage::key_value_store::{KeyValueStore, Unavailable};
use crate::storage::records::{FinalStateRecord, JobFinalState, FINAL_STATE_PREFIX, LEADER_KEY};
use crossbeam::channel::Sender;
use std::time::Duration;

/// The share of the state service's request rate that this watch may use. A watch request returns at the
/// first change, so there is a pause between two of them.
const REQUESTS_SHARE: f64 = 0.005;
/// How long a watch request waits for a change, in heartbeat intervals.
const HOLD_HEARTBEATS: f64 = 1.0;

/// Watches the records of final states for the lifetime of the process.
struct FinalStateWatch {
    store: KeyValueStore,
    controller: Sender<Message>,
    polls: PollQueue,
    pause: Duration,
    hold: Duration,
}

/// Starts the watch on a new thread.
///
/// # Errors
///
/// When the thread cannot be started.
pub fn start(
    settings: &Settings,
    store: &KeyValueStore,
    controller: &Sender<Message>,
    polls: &PollQueue,
) -> anyhow::Result<()> {
    let cluster = &settings.cluster;
    let watch = FinalStateWatch {
        store: store.clone(),
        controller: controller.clone(),
        polls: polls.clone(),
        pause: Duration::from_secs_f64(1.0 / (REQUESTS_SHARE * cluster.state.rps)),
        hold: Duration::from_secs_f64(HOLD_HEARTBEATS * cluster.workers.report_s),
    };
    spawn("final-watch", move || watch.run())
}

impl FinalStateWatch {
    /// Changes are missed while the state service is unreachable, or when it no longer retains them. The
    /// final states of those jobs are read when a user polls them.
    fn run(&self) {
        let mut after = None;
        loop {
            after = match after {
                Some(revision) => self.follow(revision).unwrap_or(Some(revision)),
                None => self.current_revision().ok(),
            };
            std::thread::sleep(self.pause);
        }
    }

    fn current_revision(&self) -> Result<u64, Unavailable> {
        Ok(self.store.page(LEADER_KEY, None, 1)?.revision)
    }

    /// Publishes the final states recorded after a revision. Returns the revision to continue from, or
    /// `None` if the state service no longer retains the changes since the given one.
    fn follow(&self, after: u64) -> Result<Option<u64>, Unavailable> {
        let Some(events) = self.store.watch(FINAL_STATE_PREFIX, after, self.hold)? else {
            return Ok(None);
        };
        let revision = after.max(events.revision);
        self.publish(events);
        Ok(Some(revision))
    }

    fn publish(&self, events: Events) {
        let final_states: Vec<JobFinalState> = events
            .events
            .into_iter()
            .filter_map(final_state_of)
            .collect();
        if final_states.is_empty() {
            return;
        }
        self.polls.final_states_recorded(final_states.clone());
        let _ = self
            .controller
            .try_send(Message::FinalStatesObserved { final_states });
    }
}

/// The job's final state, if the event is the put of a record that can be decoded.
fn final_state_of(event: Event) -> Option<JobFinalState> {
    let key = event.put?;
    let job = key.strip_prefix(FINAL_STATE_PREFIX)?;
    let record: FinalStateRecord = serde_json::from_value(event.value).ok()?;
    Some(JobFinalState::new(job, record.state))
}

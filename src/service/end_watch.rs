//! Watches the state service for recorded ends of jobs, on every node: so that users' polls of ended
//! jobs cost neither the leader nor the state service anything.

use super::messages::Message;
use super::polls::PollQueue;
use super::threads::spawn;
use crate::protocol::job::JobState;
use crate::protocol::store::{Event, Events};
use crate::settings::Settings;
use crate::storage::key_value_store::{KeyValueStore, Unavailable};
use crate::storage::records::{FinalStateRecord, FINAL_STATE_PREFIX, LEADER_KEY};
use crossbeam::channel::Sender;
use std::time::Duration;

/// The share of the state service's requests that a node's watches of ends may take. A watch ends
/// with the first change, so that they are paced.
const REQUESTS_SHARE: f64 = 0.005;
/// How long a watch stays open without changes, in heartbeat intervals.
const HOLD_HEARTBEATS: f64 = 1.0;

/// Follows the end records for as long as the process lives.
struct EndWatch {
    store: KeyValueStore,
    controller: Sender<Message>,
    polls: PollQueue,
    pause: Duration,
    hold: Duration,
}

/// Starts the watch on a thread of its own.
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
    let watch = EndWatch {
        store: store.clone(),
        controller: controller.clone(),
        polls: polls.clone(),
        pause: Duration::from_secs_f64(1.0 / (REQUESTS_SHARE * cluster.state.rps)),
        hold: Duration::from_secs_f64(HOLD_HEARTBEATS * cluster.workers.report_s),
    };
    spawn("ends", move || watch.run())
}

impl EndWatch {
    /// What is missed while the state service is not reached, or has left its history, is looked up
    /// when a user asks.
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

    /// Publishes the ends recorded after a revision. Returns the revision to go on from, unless the
    /// given one has left the state service's history.
    fn follow(&self, after: u64) -> Result<Option<u64>, Unavailable> {
        let Some(events) = self.store.watch(FINAL_STATE_PREFIX, after, self.hold)? else {
            return Ok(None);
        };
        let revision = after.max(events.revision);
        self.publish(events);
        Ok(Some(revision))
    }

    fn publish(&self, events: Events) {
        let ends: Vec<(String, JobState)> = events.events.into_iter().filter_map(end_of).collect();
        if ends.is_empty() {
            return;
        }
        self.polls.jobs_ended(ends.clone());
        let _ = self.controller.try_send(Message::EndsRecorded { ends });
    }
}

/// The job and its final state, if the event writes a readable end record.
fn end_of(event: Event) -> Option<(String, JobState)> {
    let job = event.put?.strip_prefix(FINAL_STATE_PREFIX)?.to_string();
    let end: FinalStateRecord = serde_json::from_value(event.value).ok()?;
    Some((job, end.state))
}

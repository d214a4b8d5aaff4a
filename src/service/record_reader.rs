//! Reads all records for a new leader, and then follows the changes of open jobs until its term ends.

use super::messages::{AcceptedJob, Message};
use crate::coordination::cluster::recovery::Records;
use crate::coordination::Time;
use crate::protocol::ids::FencingToken;
use crate::protocol::store::Events;
use crate::storage::key_value_store::{KeyValueStore, Unavailable};
use crate::storage::records::{OpenRecord, COMPLETION_PREFIX, OPEN_PREFIX, PLACEMENT_PREFIX};
use crossbeam::channel::Sender;
use serde_json::Value;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::warn;

/// Heartbeat intervals after which all open jobs are read again, as an event may have been lost.
const REREAD_INTERVAL_HEARTBEATS: u32 = 8;
/// The minimum number of watch requests in a heartbeat interval. When one returns, every cancellation that
/// was recorded when it was sent is known.
const WATCHES_PER_HEARTBEAT: u32 = 2;
/// The pause before a failed read is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Reads the records for one term of leadership.
pub struct RecordReader {
    /// The client of the state service.
    pub store: KeyValueStore,
    /// The controller actor's inbox.
    pub inbox: Sender<Message>,
    /// The current term. The reader stops when it is not `token` any more.
    pub term: Arc<AtomicU64>,
    /// The fencing token of the term for which the records are read.
    pub token: FencingToken,
    /// The origin of the controller's times.
    pub epoch: Instant,
    /// The time between two heartbeats of a worker.
    pub heartbeat_interval: Duration,
}

impl RecordReader {
    /// Reads the records and follows their changes until the term is over.
    pub fn run(self) {
        if let Some(revision) = self.load() {
            self.follow(revision);
        }
    }

    fn is_current(&self) -> bool {
        self.term.load(Ordering::Relaxed) == self.token.0
    }

    fn now(&self) -> Time {
        self.epoch.elapsed().as_secs_f64()
    }

    /// Reads all records; returns the revision to watch changes from, or `None` if the term is over.
    fn load(&self) -> Option<u64> {
        while self.is_current() {
            let sent_at = self.now();
            match self.read_all() {
                Ok((records, revision)) => {
                    let token = self.token;
                    let _ = self.inbox.send(Message::RecordsLoaded {
                        token,
                        records,
                        sent_at,
                    });
                    return Some(revision);
                }
                Err(Unavailable) => std::thread::sleep(RETRY_PAUSE),
            }
        }
        None
    }

    fn read_all(&self) -> Result<(Records, u64), Unavailable> {
        let (open, revision) = self.store.list(OPEN_PREFIX)?;
        let records = Records {
            open_jobs: open,
            completions: self.store.list(COMPLETION_PREFIX)?.0,
            placements: self.store.list(PLACEMENT_PREFIX)?.0,
        };
        Ok((records, revision))
    }

    fn follow(&self, mut after: u64) {
        let mut read_at = Instant::now();
        while self.is_current() {
            if read_at.elapsed() > self.heartbeat_interval * REREAD_INTERVAL_HEARTBEATS {
                if let Ok(revision) = self.reread() {
                    read_at = Instant::now();
                    after = revision;
                }
            }
            match self.watch(after) {
                Ok(revision) => after = revision,
                Err(Unavailable) => std::thread::sleep(RETRY_PAUSE),
            }
        }
    }

    /// Waits for changes and publishes them; returns the revision to continue from.
    fn watch(&self, after: u64) -> Result<u64, Unavailable> {
        let sent_at = self.now();
        let hold = self.heartbeat_interval / WATCHES_PER_HEARTBEAT;
        let Some(events) = self.store.watch(OPEN_PREFIX, after, hold)? else {
            return self.reread();
        };
        let revision = after.max(events.revision);
        self.publish_events(events);
        self.publish_records_read(sent_at);
        Ok(revision)
    }

    /// Reads all open jobs again; returns the revision to continue from.
    fn reread(&self) -> Result<u64, Unavailable> {
        let sent_at = self.now();
        let (items, revision) = self.store.list(OPEN_PREFIX)?;
        let records = items.into_iter();
        self.publish_jobs(records.map(|item| (item.key, item.value, item.version)));
        self.publish_records_read(sent_at);
        Ok(revision)
    }

    fn publish_events(&self, events: Events) {
        let written = events.events.into_iter();
        self.publish_jobs(
            written.filter_map(|event| Some((event.put?, event.value, event.version))),
        );
    }

    /// Publishes all open jobs in one message, which leaves the controller actor's inbox free for workers'
    /// heartbeats.
    fn publish_jobs(&self, records: impl Iterator<Item = (String, Value, u64)>) {
        let jobs: Vec<AcceptedJob> = records
            .filter_map(|(key, value, version)| decode(&key, value, version))
            .collect();
        if !jobs.is_empty() {
            let _ = self.inbox.send(Message::JobsAccepted { jobs });
        }
    }

    fn publish_records_read(&self, sent_at: Time) {
        let token = self.token;
        let _ = self.inbox.send(Message::RecordsRead { token, sent_at });
    }
}

fn decode(key: &str, value: Value, version: u64) -> Option<AcceptedJob> {
    let record = serde_json::from_value::<OpenRecord>(value)
        .map_err(|error| warn!(key, %error, "cannot decode a job record"))
        .ok()?;
    Some(AcceptedJob { record, version })
}

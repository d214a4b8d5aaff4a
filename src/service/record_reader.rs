//! Reads the records for a new leader, then follows the open jobs for as long as its term lasts.

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

/// Heartbeat intervals after which all open jobs are read anew, as an event may have been lost.
const REREAD_HEARTBEATS: u32 = 8;
/// Watches in a heartbeat interval, at the least. The end of each proves up to when all
/// cancellations on record are known.
const WATCHES_PER_HEARTBEAT: u32 = 2;
/// The pause before a read that failed is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The reader of one term.
pub struct RecordReader {
    /// The state service.
    pub store: KeyValueStore,
    /// The controller's inbox.
    pub inbox: Sender<Message>,
    /// The present term; the reader ends with its own.
    pub term: Arc<AtomicU64>,
    /// The token of the term that it reads for.
    pub token: FencingToken,
    /// The zero of the controller's clock.
    pub epoch: Instant,
    /// The time between two heartbeats of a worker.
    pub report_interval: Duration,
}

impl RecordReader {
    /// Reads and follows until the term is over.
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

    /// Reads all records; returns the revision from which on changes are to be watched.
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
            if read_at.elapsed() > self.report_interval * REREAD_HEARTBEATS {
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

    /// Waits for changes and publishes them; returns the revision to go on from.
    fn watch(&self, after: u64) -> Result<u64, Unavailable> {
        let sent_at = self.now();
        let hold = self.report_interval / WATCHES_PER_HEARTBEAT;
        let Some(events) = self.store.watch(OPEN_PREFIX, after, hold)? else {
            return self.reread();
        };
        let revision = after.max(events.revision);
        self.publish_events(events);
        self.publish_records_read(sent_at);
        Ok(revision)
    }

    /// Reads all open jobs anew; returns the revision to go on from.
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

    /// Publishes open jobs in one message, however many there are: the controller's inbox keeps its
    /// room for workers' heartbeats.
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
        .map_err(|error| warn!(key, %error, "job record unreadable"))
        .ok()?;
    Some(AcceptedJob { record, version })
}

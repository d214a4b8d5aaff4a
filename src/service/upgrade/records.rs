//! Reads the upgrade records in the state service, and executes operations on them.

use crate::protocol::store::{Transaction, VersionedValue};
use crate::settings::Settings;
use crate::storage::key_value_store::{CommitOutcome, KeyValueStore, Unavailable};
use serde::de::DeserializeOwned;
use stairstage_upgrade::operation::{self, Change, ChangeOutcome, Operation, Request, Step};
use stairstage_upgrade::plan::Timing;
use stairstage_upgrade::records::{member_key, seen_key, Controller, Member, VERSION_KEY};
use stairstage_upgrade::{Snapshot, UpgradePolicy, VersionRecord};
use std::collections::BTreeMap;
use std::time::Duration;
use tracing::warn;

/// The key prefix of all upgrade records.
const RECORD_PREFIX: &str = "cluster/";
/// The pause after the state service was unavailable or rejected a change.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The names of all controllers in the settings, including this one, sorted.
pub fn configured_controllers(settings: &Settings) -> Vec<String> {
    let others = settings.peers.iter().map(|peer| peer.name.clone());
    let mut names: Vec<String> = others.chain([settings.name.clone()]).collect();
    names.sort();
    names
}

/// Reads all upgrade records; returns them with the revision of the state service at which they were read.
///
/// # Errors
/// When the state service is unavailable.
pub fn read(store: &KeyValueStore, controllers: &[String]) -> Result<(Snapshot, u64), Unavailable> {
    let (items, revision) = store.list(RECORD_PREFIX)?;
    let items = items.into_iter();
    let mut records: BTreeMap<String, VersionedValue> =
        items.map(|item| (item.key.clone(), item)).collect();
    let version = remove_decoded::<VersionRecord>(&mut records, VERSION_KEY);
    let controllers = controllers.iter().map(|name| Controller {
        name: name.clone(),
        member: remove_decoded(&mut records, &member_key(name)).map(|(record, mod_revision)| {
            Member {
                record,
                mod_revision,
            }
        }),
        seen: remove_decoded(&mut records, &seen_key(name)).map(|(seen, _)| seen),
    });
    let controllers = controllers.collect();
    let (version, mod_revision) = version.unwrap_or((VersionRecord::FIRST, 0));
    let snapshot = Snapshot {
        version,
        mod_revision,
        controllers,
    };
    Ok((snapshot, revision))
}

/// Removes a record from those that were read, and returns it decoded with the version of its key. A record
/// that cannot be decoded counts as absent.
fn remove_decoded<T: DeserializeOwned>(
    records: &mut BTreeMap<String, VersionedValue>,
    key: &str,
) -> Option<(T, u64)> {
    let item = records.remove(key)?;
    match serde_json::from_value(item.value) {
        Ok(value) => Some((value, item.version)),
        Err(error) => {
            warn!(key, %error, "cannot decode an upgrade record");
            None
        }
    }
}

/// Executes an operation; blocks until it is finished.
pub fn execute(
    store: &KeyValueStore,
    settings: &Settings,
    policy: &UpgradePolicy,
    request: Request,
    now_ms: impl Fn() -> u64,
) -> operation::Outcome {
    let controllers = configured_controllers(settings);
    let timing = timing(settings, policy, now_ms());
    let (mut operation, mut step) = Operation::begin(request, policy.clone(), timing);
    loop {
        step = match step {
            Step::Read => match read(store, &controllers) {
                Ok((snapshot, _)) => operation.read(Some(&snapshot), now_ms()),
                Err(Unavailable) => {
                    std::thread::sleep(RETRY_PAUSE);
                    operation.read(None, now_ms())
                }
            },
            Step::Commit(change) => operation.committed(commit(store, change)),
            Step::Finished(outcome) => return outcome,
        };
    }
}

/// The times that a plan depends on, taken from the settings and the policy.
pub fn timing(settings: &Settings, policy: &UpgradePolicy, now_ms: u64) -> Timing {
    Timing {
        now_ms,
        skew_ms: settings.cluster.skew_ms as u64,
        soak_s: policy.soak * settings.cluster.workers.cancel_s,
    }
}

fn commit(store: &KeyValueStore, change: Change) -> ChangeOutcome {
    let empty = Transaction::default();
    let conditions = change.conditions.into_iter();
    let transaction = conditions.fold(empty, |transaction, condition| {
        transaction.version(condition.key, condition.mod_revision)
    });
    let value = serde_json::to_value(change.record).expect("serializing plain data cannot fail");
    match store.commit(&transaction.put(VERSION_KEY, value)) {
        CommitOutcome::Applied(_) => ChangeOutcome::Applied,
        CommitOutcome::Conflict(_) => ChangeOutcome::Conflict,
        CommitOutcome::Rejected
        | CommitOutcome::RateLimited
        | CommitOutcome::TooLarge
        | CommitOutcome::LeaseExpired => {
            std::thread::sleep(RETRY_PAUSE);
            ChangeOutcome::Rejected
        }
        CommitOutcome::Indeterminate => ChangeOutcome::Indeterminate,
    }
}

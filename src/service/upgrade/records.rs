//! The records of upgrades in the state service, and the operations on them.

use crate::protocol::store::{Transaction, VersionedValue};
use crate::settings::Settings;
use crate::storage::key_value_store::{CommitOutcome, KeyValueStore, Unavailable};
use serde::de::DeserializeOwned;
use stairstage_upgrade::operation::{self, Change, Committed, Operation, Request, Step};
use stairstage_upgrade::plan::Timing;
use stairstage_upgrade::records::{member_key, seen_key, Controller, VERSION};
use stairstage_upgrade::{Snapshot, UpgradePolicy, VersionRecord};
use std::collections::BTreeMap;
use std::time::Duration;
use tracing::warn;

/// The prefix of all of them.
const CLUSTER: &str = "cluster/";
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The controllers that the settings name, this one among them.
pub fn configured(settings: &Settings) -> Vec<String> {
    let others = settings.peers.iter().map(|peer| peer.name.clone());
    let mut names: Vec<String> = others.chain([settings.name.clone()]).collect();
    names.sort();
    names
}

/// All records, and the revision as of which they were read.
pub fn read(store: &KeyValueStore, controllers: &[String]) -> Result<(Snapshot, u64), Unavailable> {
    let (items, revision) = store.list(CLUSTER)?;
    let items = items.into_iter();
    let mut records: BTreeMap<String, VersionedValue> = items.map(|i| (i.key.clone(), i)).collect();
    let version = take::<VersionRecord>(&mut records, VERSION);
    let controllers = controllers.iter().map(|name| Controller {
        name: name.clone(),
        member: take(&mut records, &member_key(name)),
        seen: take(&mut records, &seen_key(name)).map(|(seen, _)| seen),
    });
    let controllers = controllers.collect();
    let (version, stamp) = version.unwrap_or((VersionRecord::FIRST, 0));
    let snapshot = Snapshot {
        version,
        stamp,
        controllers,
    };
    Ok((snapshot, revision))
}

fn take<T: DeserializeOwned>(
    records: &mut BTreeMap<String, VersionedValue>,
    key: &str,
) -> Option<(T, u64)> {
    let item = records.remove(key)?;
    match serde_json::from_value(item.value) {
        Ok(value) => Some((value, item.version)),
        Err(error) => {
            warn!("{key}: cannot be read: {error}");
            None
        }
    }
}

/// Carries an operation out.
pub fn carry_out(
    store: &KeyValueStore,
    settings: &Settings,
    policy: &UpgradePolicy,
    request: Request,
    now_ms: impl Fn() -> u64,
) -> operation::Outcome {
    let controllers = configured(settings);
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

/// The figures of a plan.
pub fn timing(settings: &Settings, policy: &UpgradePolicy, now_ms: u64) -> Timing {
    Timing {
        now_ms,
        skew_ms: settings.cluster.skew_ms as u64,
        soak_s: policy.soak * settings.cluster.workers.cancel_s,
    }
}

fn commit(store: &KeyValueStore, change: Change) -> Committed {
    let none = Transaction::default();
    let conditions = change.conditions.into_iter();
    let transaction = conditions.fold(none, |transaction, (key, stamp)| {
        transaction.version(key, stamp)
    });
    let value = serde_json::to_value(change.record).expect("plain data");
    match store.commit(&transaction.put(VERSION, value)) {
        CommitOutcome::Applied(_) => Committed::Applied,
        CommitOutcome::Conflict(_) => Committed::Conflict,
        CommitOutcome::Refused
        | CommitOutcome::Limited
        | CommitOutcome::TooLarge
        | CommitOutcome::NoLease => {
            std::thread::sleep(RETRY_PAUSE);
            Committed::Refused
        }
        CommitOutcome::Unknown => Committed::Unknown,
    }
}

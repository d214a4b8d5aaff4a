//! Fetches the machine types from the cloud periodically.

use super::cloud_client::CloudClient;
use super::messages::Message;
use super::shared_machine_types::SharedMachineTypes;
use super::threads::spawn;
use crate::protocol::cloud::MachineType;
use crate::protocol::store::Transaction;
use crate::settings::Settings;
use crate::storage::key_value_store::{CommitOutcome, KeyValueStore};
use crate::storage::records::MACHINE_TYPES_KEY;
use crossbeam::channel::Sender;
use std::sync::Arc;
use std::time::Duration;
use tracing::{debug, warn};

/// The pause between two attempts while no machine types are known.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// The time between two fetches, as a multiple of the lag of the cloud's lists.
const FETCH_INTERVAL_LAGS: f64 = 4.0;
/// The minimum lag that is assumed, in seconds.
const MIN_LAG_S: f64 = 1.0;

/// Fetches the machine types periodically. The last ones seen are recorded in the state service, so that a
/// controller which starts while the cloud is down can still accept and place jobs.
struct MachineTypesRefresher {
    cloud: CloudClient,
    store: KeyValueStore,
    shared: Arc<SharedMachineTypes>,
    inbox: Sender<Message>,
    pause: Duration,
    max_record_bytes: usize,
}

/// Starts the refresher on a new thread.
///
/// # Errors
///
/// When the thread cannot be started.
pub fn start(
    settings: &Settings,
    store: &KeyValueStore,
    shared: &Arc<SharedMachineTypes>,
    inbox: &Sender<Message>,
) -> anyhow::Result<()> {
    let lag_s = settings.cluster.cloud.list_lag_s.max(MIN_LAG_S);
    let refresher = MachineTypesRefresher {
        cloud: CloudClient::new(settings),
        store: store.clone(),
        shared: shared.clone(),
        inbox: inbox.clone(),
        pause: Duration::from_secs_f64(lag_s * FETCH_INTERVAL_LAGS),
        max_record_bytes: settings.cluster.state.max_record_bytes(),
    };
    spawn("types", move || refresher.run())
}

impl MachineTypesRefresher {
    fn run(self) {
        let mut known: Vec<MachineType> = Vec::new();
        let mut recorded: Option<Vec<MachineType>> = None;
        loop {
            let fetched = self.cloud.machine_types();
            if recorded.is_none() {
                recorded = self.read_record();
            }
            let types = match fetched {
                Some(types) => types,
                None if known.is_empty() => recorded.clone().unwrap_or_default(),
                None => Vec::new(),
            };
            if types.is_empty() {
                std::thread::sleep(RETRY_PAUSE);
                continue;
            }
            let has_changed = |old: &Vec<MachineType>| !equal_except_prices(old, &types);
            if recorded.as_ref().is_some_and(has_changed) && self.record(&types) {
                recorded = Some(types.clone());
            }
            known.clone_from(&types);
            self.shared.set(types.clone());
            let _ = self.inbox.send(Message::MachineTypes(types));
            std::thread::sleep(self.pause);
        }
    }

    /// The recorded machine types, empty if there is no record; `None` if the state service is
    /// unreachable.
    fn read_record(&self) -> Option<Vec<MachineType>> {
        let read = self.store.read::<Vec<MachineType>>(MACHINE_TYPES_KEY);
        read.ok().map(|r| r.map_or(Vec::new(), |(types, _)| types))
    }

    /// Records the machine types; `false` if the write must be retried.
    fn record(&self, types: &[MachineType]) -> bool {
        let value = serde_json::to_value(types).expect("serializing plain data cannot fail");
        debug!(count = types.len(), "recording machine types");
        // Without a record the types are known only while the cloud lists them.
        if value.to_string().len() > self.max_record_bytes {
            warn!(
                count = types.len(),
                "machine types not recorded: the record would exceed the size limit"
            );
            return true;
        }
        let transaction = Transaction::default().put(MACHINE_TYPES_KEY, value);
        matches!(self.store.commit(&transaction), CommitOutcome::Applied(_))
    }
}

/// Whether two lists are equal apart from prices, which change all the time; the rest seldom changes.
fn equal_except_prices(a: &[MachineType], b: &[MachineType]) -> bool {
    let without_prices = |t: &MachineType| MachineType {
        price: 0.0,
        spot_price: 0.0,
        ..t.clone()
    };
    a.iter()
        .map(without_prices)
        .eq(b.iter().map(without_prices))
}

//! Calls to the cloud: rentals, returns, lists of machines, and the machine types.

use super::gateway::SharedTypes;
use super::messages::Message;
use super::spawn;
use crate::protocol::cloud::{
    ListedMachine, MachineList, MachineNames, MachineType, MachineTypes, Rent, LIST_PAGE,
};
use crate::protocol::store::Transaction;
use crate::protocol::TOO_MANY_REQUESTS;
use crate::settings::Settings;
use crate::storage::key_value_store::{CommitOutcome, KeyValueStore};
use crate::storage::records::MACHINE_TYPES_KEY;
use crate::transport::client::{Answer, Client};
use crossbeam::channel::{bounded, Receiver, Sender};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tracing::{debug, warn};

/// What the controller asks of the cloud.
pub enum CloudCall {
    Rent(Rent),
    Return(Vec<String>),
    List,
}

const CALLERS: usize = 3;
/// Calls that may wait: a rental for each offer, and a return in each half second.
const QUEUE: usize = 256;
const PATIENCE: Duration = Duration::from_secs(4);
const TRIES: u32 = 6;
/// Bytes of one page of a list, far above the 500 machines that it may hold.
const MAX_PAGE_BYTES: u64 = 4 * 1024 * 1024;

/// Starts the threads that make the calls; their answers come as messages.
pub fn start(settings: &Settings, inbox: &Sender<Message>) -> anyhow::Result<Sender<CloudCall>> {
    let (calls, to_call) = bounded(QUEUE);
    for _ in 0..CALLERS {
        let cloud = Cloud::new(settings);
        let (jobs, inbox) = (to_call.clone(), inbox.clone());
        spawn("cloud", move || cloud.carry_out(&jobs, &inbox))?;
    }
    Ok(calls)
}

/// Starts the thread that keeps the machine types current.
pub fn start_types(
    settings: &Settings,
    store: &KeyValueStore,
    shared: &Arc<SharedTypes>,
    inbox: &Sender<Message>,
) -> anyhow::Result<()> {
    let follower = TypesFollower {
        cloud: Cloud::new(settings),
        store: store.clone(),
        shared: shared.clone(),
        inbox: inbox.clone(),
        pause: Duration::from_secs_f64(settings.cluster.cloud.list_lag_s.max(1.0) * 4.0),
        most_bytes: settings.cluster.state.record_bytes(),
    };
    spawn("types", move || follower.run())
}

/// The cloud's client.
pub struct Cloud {
    client: Client,
    /// The time between two calls at the cloud's rate.
    call_interval: Duration,
}

impl Cloud {
    pub fn new(settings: &Settings) -> Cloud {
        Cloud {
            client: Client::new(settings.endpoints.cloud, CALLERS, MAX_PAGE_BYTES),
            call_interval: Duration::from_secs_f64(1.0 / settings.cluster.cloud.rps),
        }
    }

    fn carry_out(&self, calls: &Receiver<CloudCall>, inbox: &Sender<Message>) {
        for call in calls {
            let message = match call {
                CloudCall::Rent(rent) => {
                    let machines = self.rent(&rent);
                    Some(Message::MachinesRented(rent.request, machines))
                }
                CloudCall::Return(names) => {
                    let confirmed = self.give_back(&names);
                    Some(Message::MachinesReturned(names, confirmed))
                }
                CloudCall::List => self.list().map(Message::MachinesListed),
            };
            if let Some(message) = message {
                let _ = inbox.send(message);
            }
        }
    }

    /// `None` when the cloud gave no answer. The same request may be repeated: it rents only once.
    fn rent(&self, rent: &Rent) -> Option<Vec<String>> {
        for attempt in 0..TRIES {
            match self.client.post("/machines", rent, PATIENCE) {
                Answer::Response(200, body) => {
                    let names: Option<MachineNames> = serde_json::from_slice(&body).ok();
                    return names.map(|n| n.machines);
                }
                Answer::Response(503, body)
                    if String::from_utf8_lossy(&body).contains("capacity") =>
                {
                    return Some(Vec::new());
                }
                Answer::Response(400, body) => {
                    warn!("rental refused: {}", String::from_utf8_lossy(&body));
                    return Some(Vec::new());
                }
                answer => debug!("{}: no answer to a rental: {answer:?}", rent.request),
            }
            back_off(attempt);
        }
        None
    }

    fn give_back(&self, names: &[String]) -> bool {
        let body = json!({"fleet": names});
        for attempt in 0..TRIES {
            let answer = self.client.post("/machines/return", &body, PATIENCE);
            if let Answer::Response(200, _) = answer {
                return true;
            }
            back_off(attempt);
        }
        false
    }

    /// All machines, page by page. A page that is one call too many for the cloud's rate is asked for
    /// again: a large fleet has more pages than may come at once.
    pub fn list(&self) -> Option<Vec<ListedMachine>> {
        let mut machines: Vec<ListedMachine> = Vec::new();
        loop {
            let page = self.page_after(machines.last())?;
            let empty = page.machines.is_empty();
            machines.extend(page.machines);
            if !page.more || empty {
                return Some(machines);
            }
        }
    }

    fn page_after(&self, last: Option<&ListedMachine>) -> Option<MachineList> {
        let after = last.map_or(String::new(), |m| format!("after={}&", m.name));
        let path = format!("/machines?{after}limit={LIST_PAGE}");
        for attempt in 1..=TRIES {
            let answer = self.client.get(&path, PATIENCE);
            if !matches!(answer, Answer::Response(TOO_MANY_REQUESTS, _)) {
                return answer.ok();
            }
            std::thread::sleep(self.call_interval * attempt);
        }
        None
    }
}

/// Waits longer before each further try.
fn back_off(attempt: u32) {
    std::thread::sleep(Duration::from_millis(300) * (attempt + 1));
}

/// Keeps the machine types current. The last ones seen are kept in the state service, so that a
/// node which starts while the cloud is down can still take and place jobs.
struct TypesFollower {
    cloud: Cloud,
    store: KeyValueStore,
    shared: Arc<SharedTypes>,
    inbox: Sender<Message>,
    pause: Duration,
    most_bytes: usize,
}

impl TypesFollower {
    fn run(self) {
        let mut known: Vec<MachineType> = Vec::new();
        let mut recorded: Option<Vec<MachineType>> = None;
        loop {
            let fetched = self.fetch();
            if recorded.is_none() {
                let read = self.store.read::<Vec<MachineType>>(MACHINE_TYPES_KEY);
                recorded = read.ok().map(|r| r.map_or(Vec::new(), |(types, _)| types));
            }
            let types = match fetched {
                Some(types) => types,
                None if known.is_empty() => recorded.clone().unwrap_or_default(),
                None => Vec::new(),
            };
            if types.is_empty() {
                std::thread::sleep(Duration::from_secs(1));
                continue;
            }
            let changed = |old: &Vec<MachineType>| !same_but_prices(old, &types);
            if recorded.as_ref().is_some_and(changed) && self.record(&types) {
                recorded = Some(types.clone());
            }
            known.clone_from(&types);
            self.shared.set(types.clone());
            let _ = self.inbox.send(Message::MachineTypes(types));
            std::thread::sleep(self.pause);
        }
    }

    fn fetch(&self) -> Option<Vec<MachineType>> {
        let answer = self.cloud.client.get("/machine_types", PATIENCE);
        answer.ok::<MachineTypes>().map(|answer| answer.types)
    }

    /// Writes the types down; whether that is done with.
    fn record(&self, types: &[MachineType]) -> bool {
        let value = serde_json::to_value(types).expect("plain data");
        debug!("{} machine types are recorded", types.len());
        // Types that no record can hold are known only while the cloud tells them.
        if value.to_string().len() > self.most_bytes {
            warn!("{} machine types are too many to record", types.len());
            return true;
        }
        let transaction = Transaction::default().put(MACHINE_TYPES_KEY, value);
        matches!(self.store.commit(&transaction), CommitOutcome::Applied(_))
    }
}

/// Prices move all the time; what they are of seldom changes.
fn same_but_prices(a: &[MachineType], b: &[MachineType]) -> bool {
    let unpriced = |t: &MachineType| MachineType {
        price: 0.0,
        spot_price: 0.0,
        ..t.clone()
    };
    a.iter().map(unpriced).eq(b.iter().map(unpriced))
}

//! What speaks to the state service, the workers and the cloud for the controller.

use super::gateway::SharedTypes;
use super::messages::Message;
use super::spawn;
use crate::bookkeeping::records::{end_key, EndRecord, LEADER, TYPES};
use crate::bookkeeping::store::{Outcome, Store};
use crate::coordination::core::{Ordered, Written};
use crate::coordination::state::Name;
use crate::protocol::cloud::*;
use crate::protocol::store::{Change, Item, Transaction};
use crate::protocol::worker::{Orders, Report};
use crate::settings::Settings;
use crate::transport::client::{Answer, Client};
use crate::transport::direct_commands::DirectCommands;
use crate::transport::runtime::Runtime;
use crossbeam::channel::{bounded, Receiver, Sender, TrySendError};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tracing::{debug, warn};

pub enum CloudCall {
    Rent(Rent),
    Return(Vec<String>),
    List,
}

/// The ways to them.
pub struct Pool {
    inbox: Sender<Message>,
    writes: Sender<(u64, Transaction)>,
    orders: DirectCommands,
    cloud: Sender<CloudCall>,
    /// Jobs of which the ends are to be read.
    finds: Sender<Vec<Name>>,
}

const WRITERS: usize = 3;
const CLOUD_CALLERS: usize = 3;
const QUEUE: usize = 256;
/// The share of the state service's requests that ends may take which are looked up.
const FINDS_SHARE: f64 = 0.25;
/// A worker answers at once or hangs; its own reports bring what direct commands could not.
const ORDER_PATIENCE: Duration = Duration::from_millis(1500);
const CLOUD_PATIENCE: Duration = Duration::from_secs(4);
const CLOUD_TRIES: u32 = 6;
const MOST_REPORT: usize = 1024 * 1024;
const MOST_LIST: u64 = 4 * 1024 * 1024;

pub fn start(
    settings: &Settings,
    runtime: &Runtime,
    order_sockets: usize,
    store: &Store,
    types: &Arc<SharedTypes>,
    inbox: &Sender<Message>,
) -> anyhow::Result<Pool> {
    let (writes, to_write) = bounded(QUEUE);
    let (cloud, to_cloud) = bounded(QUEUE);
    for _ in 0..WRITERS {
        let (store, jobs, inbox) = (store.clone(), to_write.clone(), inbox.clone());
        spawn("writer", move || write_all(&store, &jobs, &inbox))?;
    }
    let client = Client::new(settings.endpoints.cloud, CLOUD_CALLERS, MOST_LIST);
    for _ in 0..CLOUD_CALLERS {
        let (client, jobs, inbox) = (client.clone(), to_cloud.clone(), inbox.clone());
        spawn("cloud", move || call_cloud(&client, &jobs, &inbox))?;
    }
    let (finds, to_find) = bounded(1);
    let find_pause = Duration::from_secs_f64(1.0 / (FINDS_SHARE * settings.cluster.state.rps));
    let (find_store, find_inbox) = (store.clone(), inbox.clone());
    spawn("finder", move || {
        find_all(&find_store, &to_find, &find_inbox, find_pause)
    })?;
    let pause = Duration::from_secs_f64(settings.cluster.cloud.list_lag_s.max(1.0) * 4.0);
    let (store, types, types_inbox) = (store.clone(), types.clone(), inbox.clone());
    let most_bytes = settings.cluster.state.record_bytes();
    spawn("types", move || {
        follow_types(&client, &store, &types, &types_inbox, pause, most_bytes)
    })?;
    Ok(Pool {
        inbox: inbox.clone(),
        writes,
        orders: DirectCommands::new(runtime, order_sockets, ORDER_PATIENCE, MOST_REPORT),
        cloud,
        finds,
    })
}

impl Pool {
    pub fn write(&self, id: u64, transaction: Transaction) {
        if self.writes.try_send((id, transaction)).is_err() {
            let _ = self.inbox.try_send(Message::Written(id, Written::Refused));
        }
    }

    pub fn order(&self, machine: Name, endpoint: &str, orders: &Orders) {
        let inbox = self.inbox.clone();
        let body = serde_json::to_vec(orders).expect("plain data");
        let taker = move |answer| {
            let message = Message::Ordered(machine.clone(), ordered(&answer));
            inbox.try_send(message).map_err(|_| answer)
        };
        self.orders.post(endpoint, "/orders", body, Box::new(taker));
    }

    /// Looks up how jobs ended.
    pub fn find(&self, ids: Vec<Name>) {
        if let Err(TrySendError::Full(ids)) = self.finds.try_send(ids) {
            let found = ids.into_iter().map(|id| (id, None)).collect();
            let _ = self.inbox.try_send(Message::Found(found));
        }
    }

    pub fn cloud(&self, call: CloudCall) {
        if let Err(TrySendError::Full(call) | TrySendError::Disconnected(call)) =
            self.cloud.try_send(call)
        {
            let message = match call {
                CloudCall::Rent(rent) => Message::Rented(rent.request, None),
                CloudCall::Return(names) => Message::Returned(names, false),
                CloudCall::List => return,
            };
            let _ = self.inbox.try_send(message);
        }
    }
}

fn find_all(store: &Store, jobs: &Receiver<Vec<Name>>, inbox: &Sender<Message>, pause: Duration) {
    for ids in jobs {
        let mut found = Vec::new();
        for id in ids {
            let end = store.read::<EndRecord>(&end_key(&id));
            found.push((id, end.ok().flatten().map(|(end, _)| end)));
            std::thread::sleep(pause);
        }
        let _ = inbox.send(Message::Found(found));
    }
}

fn write_all(store: &Store, jobs: &Receiver<(u64, Transaction)>, inbox: &Sender<Message>) {
    for (id, transaction) in jobs {
        let result = match store.commit(&transaction) {
            Outcome::Applied(revision) => Written::Applied(revision),
            Outcome::Refused | Outcome::NoLease => Written::Refused,
            Outcome::TooLarge => Written::TooLarge,
            Outcome::Conflict(failed) => Written::Reread(reread(store, &failed)),
            Outcome::Unknown => Written::Reread(reread(store, &written_keys(&transaction))),
        };
        let _ = inbox.send(Message::Written(id, result));
    }
}

/// The keys by which it shows whether a transaction was applied: those that it changes, and the
/// leader's record, on which it depends.
fn written_keys(txn: &Transaction) -> Vec<String> {
    let changed = |key: &String| {
        txn.changes.iter().any(|change| match change {
            Change::Put { key: k, .. } | Change::Delete { key: k } => k == key,
        })
    };
    let keys = txn.conditions.iter().map(|c| &c.key);
    keys.filter(|k| *k == LEADER || changed(k))
        .cloned()
        .collect()
}

/// Reads what keys hold, for as long as that takes.
fn reread(store: &Store, keys: &[String]) -> Vec<(String, Option<Item>)> {
    let mut items = Vec::new();
    for key in keys {
        loop {
            match store.get(key) {
                Ok(item) => break items.push((key.clone(), item)),
                Err(_) => std::thread::sleep(Duration::from_millis(200)),
            }
        }
    }
    items
}

fn ordered(answer: &Answer) -> Ordered {
    match answer {
        Answer::Response(200, _) => match answer.ok::<Report>() {
            Some(report) => Ordered::Executed(report),
            None => Ordered::Unknown,
        },
        Answer::Response(409, body) => Ordered::Rejected(serde_json::from_slice(body).ok()),
        Answer::Response(400, _) => Ordered::Rejected(None),
        Answer::NotSent => Ordered::NotSent,
        Answer::Response(..) | Answer::Unknown => Ordered::Unknown,
    }
}

fn call_cloud(client: &Client, jobs: &Receiver<CloudCall>, inbox: &Sender<Message>) {
    for call in jobs {
        let message = match call {
            CloudCall::Rent(rent) => {
                let machines = rent_machines(client, &rent);
                Some(Message::Rented(rent.request, machines))
            }
            CloudCall::Return(names) => {
                let confirmed = return_machines(client, &names);
                Some(Message::Returned(names, confirmed))
            }
            CloudCall::List => list_machines(client).map(Message::Listed),
        };
        if let Some(message) = message {
            let _ = inbox.send(message);
        }
    }
}

/// Keeps the machine types current. The last ones seen are kept in the state service, so that a
/// node which starts while the cloud is down can still take and place jobs.
fn follow_types(
    client: &Client,
    store: &Store,
    shared: &SharedTypes,
    inbox: &Sender<Message>,
    pause: Duration,
    most_bytes: usize,
) {
    let mut known: Vec<MachineType> = Vec::new();
    let mut recorded: Option<Vec<MachineType>> = None;
    loop {
        let fetched = client
            .get("/machine_types", CLOUD_PATIENCE)
            .ok::<MachineTypes>();
        if recorded.is_none() {
            let read = store.read::<Vec<MachineType>>(TYPES);
            recorded = read.ok().map(|r| r.map_or(Vec::new(), |(types, _)| types));
        }
        let types = match fetched {
            Some(answer) => answer.types,
            None if known.is_empty() => recorded.clone().unwrap_or_default(),
            None => Vec::new(),
        };
        if types.is_empty() {
            std::thread::sleep(Duration::from_secs(1));
            continue;
        }
        if let Some(old) = recorded
            .as_ref()
            .filter(|old| !same_but_prices(old, &types))
        {
            let value = serde_json::to_value(&types).expect("plain data");
            debug!(
                "{} machine types are recorded, {} were",
                types.len(),
                old.len()
            );
            // Types that no record can hold are known only while the cloud tells them.
            let fits = value.to_string().len() <= most_bytes;
            if !fits {
                warn!("{} machine types are too many to record", types.len());
            }
            let txn = Transaction::default().put(TYPES, value);
            if !fits || matches!(store.commit(&txn), Outcome::Applied(_)) {
                recorded = Some(types.clone());
            }
        }
        known.clone_from(&types);
        shared.set(types.clone());
        let _ = inbox.send(Message::Types(types));
        std::thread::sleep(pause);
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

/// Waits longer before each further try.
fn back_off(attempt: u32) {
    std::thread::sleep(Duration::from_millis(300) * (attempt + 1));
}

/// `None` when the cloud gave no answer. The same request may be repeated: it rents only once.
fn rent_machines(client: &Client, rent: &Rent) -> Option<Vec<String>> {
    for attempt in 0..CLOUD_TRIES {
        match client.post("/machines", rent, CLOUD_PATIENCE) {
            Answer::Response(200, body) => {
                let names: Option<MachineNames> = serde_json::from_slice(&body).ok();
                return names.map(|n| n.machines);
            }
            Answer::Response(503, body) if String::from_utf8_lossy(&body).contains("capacity") => {
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

fn return_machines(client: &Client, names: &[String]) -> bool {
    let body = json!({"fleet": names});
    for attempt in 0..CLOUD_TRIES {
        if let Answer::Response(200, _) = client.post("/machines/return", &body, CLOUD_PATIENCE) {
            return true;
        }
        back_off(attempt);
    }
    false
}

fn list_machines(client: &Client) -> Option<Vec<ListedMachine>> {
    let mut machines: Vec<ListedMachine> = Vec::new();
    loop {
        let after = machines
            .last()
            .map_or(String::new(), |m| format!("after={}&", m.name));
        let path = format!("/machines?{after}limit={LIST_PAGE}");
        let page: MachineList = client.get(&path, CLOUD_PATIENCE).ok()?;
        let empty = page.machines.is_empty();
        machines.extend(page.machines);
        if !page.more || empty {
            return Some(machines);
        }
    }
}

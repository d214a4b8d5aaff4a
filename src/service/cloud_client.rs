//! A client of the cloud: rentals, returns, lists of machines, and the machine types.

use crate::protocol::cloud::{
    ListedMachine, MachineList, MachineNames, MachineType, MachineTypes, RentalRequest,
    LIST_PAGE_SIZE,
};
use crate::protocol::TOO_MANY_REQUESTS;
use crate::settings::Settings;
use crate::transport::client::{Client, HttpOutcome};
use serde_json::json;
use std::time::Duration;
use tracing::{debug, warn};

/// Connections of one client.
const CONNECTIONS: usize = 3;
/// How long the cloud may take to answer one request.
const TIMEOUT: Duration = Duration::from_secs(4);
/// How many times a call is made before it has failed.
const MAX_ATTEMPTS: u32 = 6;
/// The pause after the first failed attempt; each further pause is longer by as much.
const BACKOFF: Duration = Duration::from_millis(300);
/// Bytes of one page of a list, far above the 500 machines that it may hold.
const MAX_PAGE_BYTES: u64 = 4 * 1024 * 1024;

/// A client of the cloud. Its calls block until they are answered or have failed for good.
pub struct CloudClient {
    client: Client,
    /// The time between two calls at the cloud's rate.
    call_interval: Duration,
}

impl CloudClient {
    /// A client of the cloud that the settings name.
    pub fn new(settings: &Settings) -> CloudClient {
        CloudClient {
            client: Client::new(settings.endpoints.cloud, CONNECTIONS, MAX_PAGE_BYTES),
            call_interval: Duration::from_secs_f64(1.0 / settings.cluster.cloud.rps),
        }
    }

    /// Rents machines and returns their names, none if the cloud refuses. `None` when it gave no
    /// answer. The same request may be repeated: it rents only once.
    pub(super) fn rent(&self, rent: &RentalRequest) -> Option<Vec<String>> {
        for attempt in 0..MAX_ATTEMPTS {
            match self.client.post("/machines", rent, TIMEOUT) {
                HttpOutcome::Response(200, body) => {
                    let names: Option<MachineNames> = serde_json::from_slice(&body).ok();
                    return names.map(|n| n.machines);
                }
                HttpOutcome::Response(503, body)
                    if String::from_utf8_lossy(&body).contains("capacity") =>
                {
                    return Some(Vec::new());
                }
                HttpOutcome::Response(400, body) => {
                    let reason = String::from_utf8_lossy(&body);
                    warn!(request = %rent.idempotency_key, %reason, "rental refused");
                    return Some(Vec::new());
                }
                answer => debug!(request = %rent.idempotency_key, ?answer, "rental unanswered"),
            }
            back_off(attempt);
        }
        None
    }

    /// Returns machines; whether the cloud has confirmed it.
    pub(super) fn return_machines(&self, names: &[String]) -> bool {
        let body = json!({"fleet": names});
        for attempt in 0..MAX_ATTEMPTS {
            let answer = self.client.post("/machines/return", &body, TIMEOUT);
            if let HttpOutcome::Response(200, _) = answer {
                return true;
            }
            back_off(attempt);
        }
        false
    }

    /// Lists all machines, page by page; `None` when the cloud gave no answer. A page that is one call
    /// too many for the cloud's rate is asked for again: a large fleet has more pages than may come at
    /// once.
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
        let path = format!("/machines?{after}limit={LIST_PAGE_SIZE}");
        for attempt in 1..=MAX_ATTEMPTS {
            let answer = self.client.get(&path, TIMEOUT);
            if !matches!(answer, HttpOutcome::Response(TOO_MANY_REQUESTS, _)) {
                return answer.ok();
            }
            std::thread::sleep(self.call_interval * attempt);
        }
        None
    }

    /// The machine types that the cloud offers now; `None` when it gave no answer.
    pub(super) fn machine_types(&self) -> Option<Vec<MachineType>> {
        let answer = self.client.get("/machine_types", TIMEOUT);
        answer.ok::<MachineTypes>().map(|answer| answer.types)
    }
}

/// Waits longer after each further attempt.
fn back_off(attempt: u32) {
    std::thread::sleep(BACKOFF * (attempt + 1));
}

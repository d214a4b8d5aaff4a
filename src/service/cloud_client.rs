//! The client of the cloud API: renting, returning and listing machines, and listing machine types.

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

/// Connections of each client.
const CONNECTIONS: usize = 3;
/// The timeout of one request.
const TIMEOUT: Duration = Duration::from_secs(4);
/// The maximum number of attempts at a call.
const MAX_ATTEMPTS: u32 = 6;
/// The pause after the first failed attempt. Each further pause is longer by the same amount.
const BACKOFF: Duration = Duration::from_millis(300);
/// The maximum size of one page of a list, far above that of the 500 machines that a page may contain.
const MAX_PAGE_BYTES: u64 = 4 * 1024 * 1024;

/// A client of the cloud. Its calls block until the cloud answers or all attempts have failed.
pub struct CloudClient {
    client: Client,
    /// The time between two calls at the cloud's rate limit.
    call_interval: Duration,
}

impl CloudClient {
    /// A client of the cloud at the endpoint in the settings.
    pub fn new(settings: &Settings) -> CloudClient {
        CloudClient {
            client: Client::new(settings.endpoints.cloud, CONNECTIONS, MAX_PAGE_BYTES),
            call_interval: Duration::from_secs_f64(1.0 / settings.cluster.cloud.rps),
        }
    }

    /// Rents machines and returns their names, none if the cloud rejects the rental; `None` if the cloud
    /// gave no answer. A rental is idempotent: repeating it with the same request id rents no more machines.
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
                    warn!(request = %rent.idempotency_key, %reason, "cloud rejected a rental");
                    return Some(Vec::new());
                }
                outcome => {
                    debug!(request = %rent.idempotency_key, ?outcome, "attempt at a rental failed");
                }
            }
            back_off(attempt);
        }
        None
    }

    /// Returns machines to the cloud; `true` if the cloud has confirmed it.
    pub(super) fn return_machines(&self, names: &[String]) -> bool {
        let body = json!({"fleet": names});
        for attempt in 0..MAX_ATTEMPTS {
            let outcome = self.client.post("/machines/return", &body, TIMEOUT);
            if let HttpOutcome::Response(200, _) = outcome {
                return true;
            }
            back_off(attempt);
        }
        false
    }

    /// Lists all machines, page by page; `None` if the cloud gave no answer. A call that exceeds the
    /// cloud's rate limit is retried: a large fleet has more pages than the limit allows in one burst.
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
            let outcome = self.client.get(&path, TIMEOUT);
            if !matches!(outcome, HttpOutcome::Response(TOO_MANY_REQUESTS, _)) {
                return outcome.ok();
            }
            std::thread::sleep(self.call_interval * attempt);
        }
        None
    }

    /// The machine types that the cloud currently offers; `None` if it gave no answer.
    pub(super) fn machine_types(&self) -> Option<Vec<MachineType>> {
        let outcome = self.client.get("/machine_types", TIMEOUT);
        outcome.ok::<MachineTypes>().map(|list| list.types)
    }
}

/// Sleeps longer after each further attempt.
fn back_off(attempt: u32) {
    std::thread::sleep(BACKOFF * (attempt + 1));
}

//! Requests and responses of the cloud's API.

use serde::{Deserialize, Serialize};

/// A type of machine that the cloud rents out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// The name of the type, such as `g8`.
    #[serde(rename = "sku")]
    pub name: String,
    /// CPUs of one machine.
    pub cpus: f64,
    /// GPUs of one machine.
    pub gpus: f64,
    /// Memory of one machine, in GB.
    #[serde(rename = "mem_gb")]
    pub memory_gb: f64,
    /// Size of the cache of task images, in GB.
    pub cache_gb: f64,
    /// The nominal rate at which a machine fetches images, in GB per second.
    #[serde(rename = "pull_gb_per_s")]
    pub fetch_gb_per_s: f64,
    /// The price of an on-demand machine per hour.
    pub price: f64,
    /// The current price of a spot machine per hour.
    #[serde(rename = "market_price")]
    pub spot_price: f64,
    /// The nominal boot time: from the rental request until a machine is up, in seconds.
    #[serde(rename = "startup_s")]
    pub boot_s: f64,
    /// The zones that offer this type.
    #[serde(rename = "berths")]
    pub zones: Vec<String>,
}

/// The response that lists the machine types.
#[derive(Debug, Deserialize)]
pub struct MachineTypes {
    /// All types on offer.
    #[serde(rename = "hulls")]
    pub types: Vec<MachineType>,
}

/// A request to rent machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RentalRequest {
    /// The idempotency key. The cloud rents nothing for a key that has already succeeded, so every
    /// rental needs a new key.
    #[serde(rename = "charter")]
    pub idempotency_key: String,
    /// The machine type.
    #[serde(rename = "hull")]
    pub kind: String,
    /// The zone.
    #[serde(rename = "berth")]
    pub zone: String,
    /// Whether to rent spot machines, which the cloud may reclaim.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// How many machines, at most [`MAX_RENTED`].
    pub count: u32,
}

/// Names of machines: the response to a rental, and the body of a request to return machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "fleet")]
    pub machines: Vec<String>,
}

/// The lifecycle state of a listed machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// Rented and charged, but not up yet. Because the list lags, the machine may actually be up.
    Booting,
    /// Up. Because the list lags, the machine may actually be gone.
    Running,
    /// Stopped by a fault: no longer charged, but listed until it is returned.
    Failed,
}

/// A machine in the cloud's list, which lags behind the actual state of the machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// The machine's name.
    #[serde(rename = "name_id")]
    pub name: String,
    /// The address of its worker, if known.
    #[serde(default)]
    pub endpoint: Option<String>,
    /// The machine type.
    #[serde(rename = "hull")]
    pub kind: String,
    /// The zone.
    #[serde(rename = "berth")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// The lifecycle state.
    #[serde(rename = "status")]
    pub state: MachineState,
    /// Seconds from the rental request to the moment that the list describes.
    pub age_s: f64,
}

/// A page of the cloud's list of machines, in the order of their names.
#[derive(Debug, Deserialize)]
pub struct MachineList {
    /// The machines of this page.
    #[serde(rename = "fleet")]
    pub machines: Vec<ListedMachine>,
    /// Whether there are machines after this page.
    #[serde(rename = "truncated")]
    pub more: bool,
}

/// The maximum number of names in one request to return machines.
pub const MAX_RETURNED: usize = 100;
/// The maximum number of entries in one page of the list.
pub const LIST_PAGE_SIZE: usize = 500;
/// The maximum number of machines in one rental.
pub const MAX_RENTED: u32 = 50;

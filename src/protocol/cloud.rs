//! What the cloud is asked and answers.

use serde::{Deserialize, Serialize};

/// A type of machine that the cloud rents.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    #[serde(rename = "sku")]
    pub name: String,
    pub cpus: f64,
    pub gpus: f64,
    #[serde(rename = "mem_gb")]
    pub memory_gb: f64,
    pub cache_gb: f64,
    #[serde(rename = "pull_gb_per_s")]
    pub fetch_gb_per_s: f64,
    pub price: f64,
    #[serde(rename = "market_price")]
    pub spot_price: f64,
    #[serde(rename = "startup_s")]
    pub boot_s: f64,
    #[serde(rename = "berths")]
    pub zones: Vec<String>,
}

#[derive(Debug, Deserialize)]
pub struct MachineTypes {
    #[serde(rename = "hulls")]
    pub types: Vec<MachineType>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rent {
    #[serde(rename = "charter")]
    pub request: String,
    #[serde(rename = "hull")]
    pub kind: String,
    #[serde(rename = "berth")]
    pub zone: String,
    #[serde(rename = "driftwood")]
    pub spot: bool,
    pub count: u32,
}

/// Names of machines: the answer to a rental, and the body of a return.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    #[serde(rename = "fleet")]
    pub machines: Vec<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    Booting,
    Running,
    Failed,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    #[serde(rename = "name_id")]
    pub name: String,
    #[serde(default)]
    pub endpoint: Option<String>,
    #[serde(rename = "hull")]
    pub kind: String,
    #[serde(rename = "berth")]
    pub zone: String,
    #[serde(rename = "driftwood")]
    pub spot: bool,
    #[serde(rename = "status")]
    pub state: MachineState,
    pub age_s: f64,
}

#[derive(Debug, Deserialize)]
pub struct MachineList {
    #[serde(rename = "fleet")]
    pub machines: Vec<ListedMachine>,
    #[serde(rename = "truncated")]
    pub more: bool,
}

/// The most names in one return, and entries in one page of the list.
pub const MAX_RETURNED: usize = 100;
pub const LIST_PAGE: usize = 500;
/// The most machines in one rental.
pub const MAX_RENTED: u32 = 50;

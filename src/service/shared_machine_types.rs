//! The machine types that the cloud offers, shared by the threads that validate submissions.

use crate::protocol::cloud::MachineType;
use std::sync::{Arc, RwLock};

/// The machine types as last fetched. Submissions are validated against these alone, without a request to
/// the controller actor.
#[derive(Default)]
pub struct SharedMachineTypes(RwLock<Arc<Vec<MachineType>>>);

impl SharedMachineTypes {
    /// The current machine types; empty until they have been fetched or read for the first time.
    pub fn get(&self) -> Arc<Vec<MachineType>> {
        let types = self.0.read().unwrap_or_else(|e| e.into_inner());
        types.clone()
    }

    /// Replaces the machine types.
    pub fn set(&self, types: Vec<MachineType>) {
        *self.0.write().unwrap_or_else(|e| e.into_inner()) = Arc::new(types);
    }
}

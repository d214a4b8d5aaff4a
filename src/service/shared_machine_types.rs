//! The machine types that the cloud offers, shared by the threads that validate submissions.

use crate::protocol::cloud::MachineType;
use std::sync::{Arc, RwLock};

/// The machine types as last fetched. A submission needs nothing else to be validated, and so does
/// not wait for the controller.
#[derive(Default)]
pub struct SharedMachineTypes(RwLock<Arc<Vec<MachineType>>>);

impl SharedMachineTypes {
    /// The current types; empty until the first have been fetched or read.
    pub fn get(&self) -> Arc<Vec<MachineType>> {
        let types = self.0.read().unwrap_or_else(|e| e.into_inner());
        types.clone()
    }

    /// Replaces the types.
    pub fn set(&self, types: Vec<MachineType>) {
        *self.0.write().unwrap_or_else(|e| e.into_inner()) = Arc::new(types);
    }
}

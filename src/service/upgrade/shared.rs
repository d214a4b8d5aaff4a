//! What this controller knows of the active version, shared by the actors that write or answer.

use stairstage_upgrade::fence::WriteFence;
use stairstage_upgrade::{VersionRange, VersionRecord};
use std::sync::{Arc, RwLock};

/// The clearance of this process.
#[derive(Clone)]
pub struct SharedWriteFence(Arc<RwLock<WriteFence>>);

impl SharedWriteFence {
    /// `staged` tells whether upgrades are staged at all.
    pub fn new(staged: bool) -> SharedWriteFence {
        let clearance = if staged {
            WriteFence::Unread
        } else {
            WriteFence::Unstaged
        };
        SharedWriteFence(Arc::new(RwLock::new(clearance)))
    }

    pub fn get(&self) -> WriteFence {
        *self.0.read().unwrap_or_else(|e| e.into_inner())
    }

    /// Takes in the version's record; whether anything is new.
    pub fn read(&self, record: &VersionRecord, stamp: u64) -> bool {
        let mut clearance = self.0.write().unwrap_or_else(|e| e.into_inner());
        let before = *clearance;
        clearance.read(VersionRange::OF_THIS_RELEASE, record, stamp);
        *clearance != before
    }
}

//! The write fence of this controller, shared by the threads that write records or serve users.

use stairstage_upgrade::fence::WriteFence;
use stairstage_upgrade::{VersionRange, VersionRecord};
use std::sync::{Arc, PoisonError, RwLock};

/// The write fence of this process.
#[derive(Clone)]
pub struct SharedWriteFence(Arc<RwLock<WriteFence>>);

impl SharedWriteFence {
    /// The fence before the version record has been read; `staged` is whether upgrades are staged at all.
    pub fn new(staged: bool) -> SharedWriteFence {
        let write_fence = if staged {
            WriteFence::Unread
        } else {
            WriteFence::Unstaged
        };
        SharedWriteFence(Arc::new(RwLock::new(write_fence)))
    }

    /// The current write fence.
    pub fn get(&self) -> WriteFence {
        *self.0.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a version record and the version of its key; returns whether the fence has changed.
    pub fn apply(&self, record: &VersionRecord, mod_revision: u64) -> bool {
        let mut write_fence = self.0.write().unwrap_or_else(PoisonError::into_inner);
        let before = *write_fence;
        write_fence.apply(VersionRange::OF_THIS_RELEASE, record, mod_revision);
        *write_fence != before
    }
}

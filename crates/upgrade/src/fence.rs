//! The write fence: which formats a controller may write, and when it must withdraw.
//!
//! Every transaction compares the `mod_revision` of the version record with the one that the controller
//! read last. A controller that has not yet seen a newly activated version therefore cannot write in an
//! old format: its transaction fails, and it reads the record again. A compare does not count towards the
//! state service's limit on write operations.

use crate::gate::FeatureGates;
use crate::records::VersionRecord;
use crate::version::{ClusterVersion, VersionRange};
use std::fmt;

/// The version record as a controller read it last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fence {
    /// The versions that the controller's release supports.
    supported: VersionRange,
    active: ClusterVersion,
    mod_revision: u64,
}

impl Fence {
    /// The fence of a controller that supports the versions `supported` and has read `record`.
    pub fn new(supported: VersionRange, record: &VersionRecord, mod_revision: u64) -> Fence {
        Fence {
            supported,
            active: record.active,
            mod_revision,
        }
    }

    /// Applies a version record that was read. A record whose `mod_revision` is not higher than the last
    /// one's is ignored.
    pub fn apply(&mut self, record: &VersionRecord, mod_revision: u64) {
        if mod_revision > self.mod_revision {
            self.active = record.active;
            self.mod_revision = mod_revision;
        }
    }

    /// The `mod_revision` that transactions compare; 0 while there is no version record.
    pub fn mod_revision(&self) -> u64 {
        self.mod_revision
    }

    /// The active version.
    pub fn active(&self) -> ClusterVersion {
        self.active
    }

    /// Whether the controller's release does not support the active version. The controller must then
    /// step down, stop renewing workers' leases and reject users' requests.
    pub fn must_withdraw(&self) -> bool {
        !self.supported.contains(self.active)
    }

    /// The feature gates at the active version.
    pub fn gates(&self) -> FeatureGates {
        FeatureGates::At(self.active)
    }
}

/// What a controller knows about the active version. This decides what it may write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFence {
    /// Staged upgrades are disabled on this controller.
    Unstaged,
    /// The version record has not been read yet.
    Unread,
    /// The version record has been read.
    Read(Fence),
}

/// Why a controller must not serve. Users get it as the reason when a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The version record has not been read yet.
    VersionUnread,
    /// The controller's release does not support this active version.
    Withdrawn(ClusterVersion),
}

impl fmt::Display for Refusal {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Refusal::VersionUnread => write!(out, "the cluster version is not known yet"),
            Refusal::Withdrawn(active) => write!(
                out,
                "the cluster is at version {active}, which this release does not support"
            ),
        }
    }
}

impl WriteFence {
    /// The `mod_revision` that transactions must compare, if any.
    pub fn mod_revision(&self) -> Option<u64> {
        match self {
            WriteFence::Read(fence) => Some(fence.mod_revision()),
            WriteFence::Unstaged | WriteFence::Unread => None,
        }
    }

    /// The feature gates that are open.
    pub fn gates(&self) -> FeatureGates {
        match self {
            WriteFence::Unstaged => FeatureGates::AllOpen,
            WriteFence::Unread => FeatureGates::At(ClusterVersion::FIRST),
            WriteFence::Read(fence) => fence.gates(),
        }
    }

    /// Why the controller may neither lead nor serve users at present; `None` if it may.
    pub fn refusal(&self) -> Option<Refusal> {
        match self {
            WriteFence::Unstaged => None,
            WriteFence::Unread => Some(Refusal::VersionUnread),
            WriteFence::Read(fence) => fence
                .must_withdraw()
                .then(|| Refusal::Withdrawn(fence.active())),
        }
    }

    /// Whether the controller must withdraw. This is permanent, as the active version never decreases.
    pub fn must_withdraw(&self) -> bool {
        matches!(self.refusal(), Some(Refusal::Withdrawn(_)))
    }

    /// Applies a version record that was read; does nothing if staged upgrades are disabled. A record
    /// whose `mod_revision` is not higher than the last one's is ignored.
    pub fn apply(&mut self, supported: VersionRange, record: &VersionRecord, mod_revision: u64) {
        match self {
            WriteFence::Unstaged => {}
            WriteFence::Unread => {
                *self = WriteFence::Read(Fence::new(supported, record, mod_revision));
            }
            WriteFence::Read(fence) => fence.apply(record, mod_revision),
        }
    }
}

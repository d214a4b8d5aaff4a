//! The write fence: what a controller may write, and when it must withdraw.
//!
//! Every transaction compares the stamp of the version record with the one that the controller has last
//! read. So nothing is written in an old format after a new version was activated that the writer does
//! not know of: the transaction fails, and the record is read again. A compare does not count towards
//! the state service's limit on changes.

use crate::gate::FeatureGates;
use crate::records::VersionRecord;
use crate::version::{ClusterVersion, VersionRange};
use std::fmt;

/// The version record as a controller has last read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fence {
    /// The versions that the controller's release supports.
    supported: VersionRange,
    active: ClusterVersion,
    stamp: u64,
}

impl Fence {
    /// The fence of a controller that supports these versions and has read this record.
    pub fn new(supported: VersionRange, record: &VersionRecord, stamp: u64) -> Fence {
        Fence {
            supported,
            active: record.active,
            stamp,
        }
    }

    /// Applies a record that was read; an older one than the last, by its stamp, is ignored.
    pub fn read(&mut self, record: &VersionRecord, stamp: u64) {
        if stamp > self.stamp {
            self.active = record.active;
            self.stamp = stamp;
        }
    }

    /// The stamp that transactions compare; 0 while there is no version record.
    pub fn stamp(&self) -> u64 {
        self.stamp
    }

    /// The active version.
    pub fn active(&self) -> ClusterVersion {
        self.active
    }

    /// Whether the controller's release does not support the active version. The controller must then
    /// step down, renew no worker's lease and serve no user.
    pub fn must_withdraw(&self) -> bool {
        !self.supported.contains(self.active)
    }

    /// The feature gates at the active version.
    pub fn gates(&self) -> FeatureGates {
        FeatureGates::At(self.active)
    }
}

/// What a controller knows of the active version, which decides what it may write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFence {
    /// Upgrades are not staged here.
    Unstaged,
    /// The version record has not been read yet.
    Unread,
    /// The version record has been read.
    Read(Fence),
}

/// Why a controller must not serve. Shown to users as the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The version record has not been read yet.
    VersionUnread,
    /// The active version is this one, which the controller's release does not support.
    Withdrawn(ClusterVersion),
}

impl fmt::Display for Refusal {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Refusal::VersionUnread => write!(out, "the cluster version is not known yet"),
            Refusal::Withdrawn(active) => write!(
                out,
                "the cluster is at version {active}, which this release does not work at"
            ),
        }
    }
}

impl WriteFence {
    /// The stamp that transactions must compare, if any.
    pub fn stamp(&self) -> Option<u64> {
        match self {
            WriteFence::Read(fence) => Some(fence.stamp()),
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

    /// Why the controller must neither lead nor serve users now; `None` if it may.
    pub fn refusal(&self) -> Option<Refusal> {
        match self {
            WriteFence::Unstaged => None,
            WriteFence::Unread => Some(Refusal::VersionUnread),
            WriteFence::Read(fence) => fence
                .must_withdraw()
                .then(|| Refusal::Withdrawn(fence.active())),
        }
    }

    /// Whether the controller must withdraw for good: the active version never decreases.
    pub fn must_withdraw(&self) -> bool {
        matches!(self.refusal(), Some(Refusal::Withdrawn(_)))
    }

    /// Applies a version record that was read, with its stamp; does nothing where upgrades are not
    /// staged. An older record than the last, by its stamp, is ignored.
    pub fn read(&mut self, supported: VersionRange, record: &VersionRecord, stamp: u64) {
        match self {
            WriteFence::Unstaged => {}
            WriteFence::Unread => *self = WriteFence::Read(Fence::new(supported, record, stamp)),
            WriteFence::Read(fence) => fence.read(record, stamp),
        }
    }
}

//! What a controller may write, and when it must withdraw.
//!
//! Every transaction names the stamp of the version's record among its conditions, as the controller
//! has last read it. So nothing is written in an old format after a rise that the writer does not
//! know of: the transaction fails, and the record is read anew. Comparing costs no change.

use crate::gate::Gates;
use crate::records::VersionRecord;
use crate::version::{ClusterVersion, VersionRange};
use std::fmt;

/// The active version as a controller has last read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fence {
    range: VersionRange,
    active: ClusterVersion,
    stamp: u64,
}

impl Fence {
    /// Of a controller that works at these versions and has read this record.
    pub fn new(range: VersionRange, record: &VersionRecord, stamp: u64) -> Fence {
        Fence {
            range,
            active: record.active,
            stamp,
        }
    }

    /// Takes in a record that was read later, or perhaps earlier: stamps only rise.
    pub fn read(&mut self, record: &VersionRecord, stamp: u64) {
        if stamp > self.stamp {
            self.active = record.active;
            self.stamp = stamp;
        }
    }

    /// The stamp that transactions name; 0 is a record that is absent.
    pub fn stamp(&self) -> u64 {
        self.stamp
    }

    pub fn active(&self) -> ClusterVersion {
        self.active
    }

    /// Whether the cluster has gone beyond what this controller reads. It must then lead no more,
    /// renew no lease and answer no user.
    pub fn must_withdraw(&self) -> bool {
        !self.range.contains(self.active)
    }

    pub fn gates(&self) -> Gates {
        Gates::At(self.active)
    }
}

/// What a controller knows of the active version, and so may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFence {
    /// Upgrades are not staged here.
    Unstaged,
    /// The record has not been read yet.
    Unread,
    Read(Fence),
}

/// Why a controller must not serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    VersionUnread,
    /// The cluster is at a version that its release does not work at.
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
    /// The stamp that transactions must name, if any.
    pub fn stamp(&self) -> Option<u64> {
        match self {
            WriteFence::Read(fence) => Some(fence.stamp()),
            WriteFence::Unstaged | WriteFence::Unread => None,
        }
    }

    pub fn gates(&self) -> Gates {
        match self {
            WriteFence::Unstaged => Gates::AllOpen,
            WriteFence::Unread => Gates::At(ClusterVersion::FIRST),
            WriteFence::Read(fence) => fence.gates(),
        }
    }

    /// Why the controller must neither lead nor answer users now, if so.
    pub fn refusal(&self) -> Option<Refusal> {
        match self {
            WriteFence::Unstaged => None,
            WriteFence::Unread => Some(Refusal::VersionUnread),
            WriteFence::Read(fence) => fence
                .must_withdraw()
                .then(|| Refusal::Withdrawn(fence.active())),
        }
    }

    /// Whether the controller must withdraw for good: the active version never goes down.
    pub fn must_withdraw(&self) -> bool {
        matches!(self.refusal(), Some(Refusal::Withdrawn(_)))
    }

    /// Takes in a record that was read; nothing where upgrades are not staged.
    pub fn read(&mut self, range: VersionRange, record: &VersionRecord, stamp: u64) {
        match self {
            WriteFence::Unstaged => {}
            WriteFence::Unread => *self = WriteFence::Read(Fence::new(range, record, stamp)),
            WriteFence::Read(fence) => fence.read(record, stamp),
        }
    }
}

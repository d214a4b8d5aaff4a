//! Cluster versions, and the range of them that a release works at.

use serde::{Deserialize, Serialize};
use std::fmt;

/// What all controllers of a cluster have agreed to write and do. It only rises.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClusterVersion(pub u32);

impl ClusterVersion {
    /// The version of a cluster that has no record of one.
    pub const FIRST: ClusterVersion = ClusterVersion(1);

    /// The version that an upgrade from this one leads to.
    pub fn next(self) -> ClusterVersion {
        ClusterVersion(self.0 + 1)
    }
}

impl fmt::Display for ClusterVersion {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{}", self.0)
    }
}

/// The versions that a release works at, from the oldest to the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRange {
    pub oldest: ClusterVersion,
    pub newest: ClusterVersion,
}

impl VersionRange {
    /// The range of this release.
    pub const OF_THIS_RELEASE: VersionRange = VersionRange {
        oldest: ClusterVersion::FIRST,
        newest: ClusterVersion(2),
    };

    pub fn contains(self, version: ClusterVersion) -> bool {
        (self.oldest..=self.newest).contains(&version)
    }
}

impl fmt::Display for VersionRange {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{} to {}", self.oldest, self.newest)
    }
}

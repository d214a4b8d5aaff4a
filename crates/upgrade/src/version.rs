//! Cluster versions, and the range of them that a release supports.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The version of the formats and behaviour that all controllers of a cluster share, independent of
/// their releases. It never decreases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClusterVersion(
    /// The number in records and output.
    pub u32,
);

impl ClusterVersion {
    /// The active version of a cluster without a version record.
    pub const FIRST: ClusterVersion = ClusterVersion(1);

    /// The version that finalizing an upgrade from this one activates.
    pub fn next(self) -> ClusterVersion {
        ClusterVersion(self.0 + 1)
    }
}

impl fmt::Display for ClusterVersion {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{}", self.0)
    }
}

/// The cluster versions that a release supports, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRange {
    /// The oldest version that it supports.
    pub oldest: ClusterVersion,
    /// The newest version that it supports.
    pub newest: ClusterVersion,
}

impl VersionRange {
    /// The range that this release supports.
    pub const OF_THIS_RELEASE: VersionRange = VersionRange {
        oldest: ClusterVersion::FIRST,
        newest: ClusterVersion(2),
    };

    /// Whether a release with this range supports `version`.
    pub fn contains(self, version: ClusterVersion) -> bool {
        (self.oldest..=self.newest).contains(&version)
    }
}

impl fmt::Display for VersionRange {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{} to {}", self.oldest, self.newest)
    }
}

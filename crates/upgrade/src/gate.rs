//! Feature gates: what a cluster may do only from a certain version on.

use crate::version::ClusterVersion;

/// A feature that releases without it would misread or refuse, so that it is off until the cluster
/// version that introduces it is active.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeatureGate {
    /// Jobs that depend on other jobs (`waits_on`) are accepted.
    Pipelines,
}

impl FeatureGate {
    /// The cluster version from which on the gate is open.
    pub fn min_version(self) -> ClusterVersion {
        match self {
            FeatureGate::Pipelines => ClusterVersion(2),
        }
    }
}

/// Which feature gates are open. Code for a gated feature asks here, and compares no versions itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeatureGates {
    /// All are, as upgrades are not staged: the operators see to it that no feature is used before all
    /// controllers have it.
    AllOpen,
    /// Those are whose minimum version is at most this one.
    At(ClusterVersion),
}

impl FeatureGates {
    /// Whether a gate is open.
    pub fn is_open(self, gate: FeatureGate) -> bool {
        match self {
            FeatureGates::AllOpen => true,
            FeatureGates::At(active) => active >= gate.min_version(),
        }
    }
}

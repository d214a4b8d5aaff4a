//! Feature gates: features that are off until the cluster reaches a certain version.

use crate::version::ClusterVersion;

/// A feature that older releases would misread or reject. It is off until the cluster version that
/// introduces it is active.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeatureGate {
    /// Jobs that depend on other jobs (`waits_on`) are accepted.
    Pipelines,
}

impl FeatureGate {
    /// The first cluster version at which the gate is open.
    pub fn min_version(self) -> ClusterVersion {
        match self {
            FeatureGate::Pipelines => ClusterVersion(2),
        }
    }
}

/// Which feature gates are open. Code for a gated feature calls [`FeatureGates::is_open`] and does not
/// compare versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeatureGates {
    /// All gates are open, because staged upgrades are disabled: operators must ensure that no feature is
    /// used before all controllers support it.
    AllOpen,
    /// The gates whose minimum version is at most this one are open.
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

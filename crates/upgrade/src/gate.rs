//! What a cluster may do only once every controller knows it.

use crate::version::ClusterVersion;

/// Something that a release without it would misread or refuse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gate {
    /// Jobs that wait for others are accepted (`waits_on`).
    Pipelines,
}

impl Gate {
    /// The version from which on it is open.
    pub fn since(self) -> ClusterVersion {
        match self {
            Gate::Pipelines => ClusterVersion(2),
        }
    }
}

/// The gates at the active version. The only way to ask whether something new is allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gates {
    /// Upgrades are not staged: whoever runs the service sees to it that nothing new is asked for
    /// before all controllers know it.
    AllOpen,
    /// Those of this version are open.
    At(ClusterVersion),
}

impl Gates {
    pub fn is_open(self, gate: Gate) -> bool {
        match self {
            Gates::AllOpen => true,
            Gates::At(active) => active >= gate.since(),
        }
    }
}

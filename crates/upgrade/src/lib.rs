//! Staged upgrades of the controllers of one cluster.
//!
//! A release is rolled out one controller at a time while the others serve. Features that only the new
//! release has stay off behind a [`FeatureGate`] until every configured controller has registered, with a
//! record on a lease, that it supports the next [`ClusterVersion`]. Then an operator, or a policy within
//! its maintenance windows, *finalizes* the upgrade by activating that version. The active version never
//! decreases; until the next version is activated, controllers may be rolled back at any time.
//!
//! The crate uses no clocks, threads or sockets:
//!
//! - [`version`]: cluster versions, and the range of them that a release supports;
//! - [`gate`]: the features that a cluster version enables;
//! - [`records`]: the records in the state service;
//! - [`plan`]: whether the next version may be activated, and every reason why not;
//! - [`operation`]: finalizing and aborting an upgrade; both are idempotent;
//! - [`fence`]: which formats a controller may write, and when it must withdraw;
//! - [`policy`], [`window`]: the operators' policy file and its maintenance windows;
//! - [`status`]: the state of an upgrade as operators see it.

pub mod fence;
pub mod gate;
pub mod operation;
pub mod plan;
pub mod policy;
pub mod records;
pub mod status;
pub mod version;
pub mod window;

pub use fence::Fence;
pub use gate::{FeatureGate, FeatureGates};
pub use plan::{Hold, Plan};
pub use policy::UpgradePolicy;
pub use records::{MemberRecord, SeenRecord, Snapshot, VersionRecord};
pub use version::{ClusterVersion, VersionRange};

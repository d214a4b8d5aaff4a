//! Staged upgrades of the controllers of one cluster.
//!
//! A release is rolled out controller by controller while all of them serve. Features that only the new
//! release has stay off behind a [`FeatureGate`] until every controller that the settings name has
//! registered, by a record on a lease, that it supports the next [`ClusterVersion`]. Then an operator, or
//! a policy within its maintenance windows, *finalizes* the upgrade by activating that version. The
//! active version never decreases; until it is activated, controllers may be rolled back at any time.
//!
//! The crate uses no clocks, threads or sockets:
//!
//! - [`version`]: cluster versions, and the range of them that a release supports;
//! - [`gate`]: the features that a cluster version enables;
//! - [`records`]: the records in the state service;
//! - [`plan`]: whether the next version may be activated, and every reason why not;
//! - [`operation`]: finalizing and aborting, which can be repeated at any point;
//! - [`fence`]: what a controller may write, and when it must withdraw;
//! - [`policy`], [`window`]: the operators' file, and its maintenance windows;
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

//! Staged upgrades of the controllers of one cluster.
//!
//! A release is rolled out controller by controller while all of them serve. What only the new
//! release knows stays off behind a [`Gate`] until every configured controller has shown, by a
//! record on a lease, that it can work at the next [`ClusterVersion`]; then an operator, or a policy
//! within its maintenance windows, *finalizes* the upgrade by raising the active version. It never
//! goes down: until then the former release can come back at any time.
//!
//! Everything here is free of clocks, threads and sockets:
//!
//! - [`version`], [`gate`]: versions, what releases work at, and what a version allows;
//! - [`records`]: what is kept in the state service;
//! - [`plan`]: whether the version may rise, and every reason why not;
//! - [`operation`]: the steps of finalizing and aborting, which can be repeated at any point;
//! - [`fence`]: what a controller may write at which version;
//! - [`policy`], [`window`]: the operators' file, and when it lets the version rise by itself;
//! - [`status`]: what operators are told.

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
pub use gate::{Gate, Gates};
pub use plan::{Hold, Plan};
pub use policy::UpgradePolicy;
pub use records::{MemberRecord, SeenRecord, Snapshot, VersionRecord};
pub use version::{ClusterVersion, VersionRange};

//! The records in the state service, and a snapshot of them. Later releases may only add optional
//! fields.
//!
//! The `mod_revision` of a record is the revision of the state service at which the record last changed.
//! Transactions compare it; 0 stands for a record that does not exist.

use crate::version::{ClusterVersion, VersionRange};
use serde::{Deserialize, Serialize};

/// The key of the version record.
pub const VERSION_KEY: &str = "cluster/version";
/// The prefix of the keys of member records.
const MEMBER_PREFIX: &str = "cluster/member/";
/// The prefix of the keys of last-seen records.
const SEEN_PREFIX: &str = "cluster/seen/";

/// The key of a controller's [`MemberRecord`].
pub fn member_key(controller: &str) -> String {
    format!("{MEMBER_PREFIX}{controller}")
}

/// The key of a controller's [`SeenRecord`].
pub fn seen_key(controller: &str) -> String {
    format!("{SEEN_PREFIX}{controller}")
}

/// The active version. A cluster without the record is at [`VersionRecord::FIRST`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// The version that is active.
    pub active: ClusterVersion,
    /// When it was activated, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// Whether an operator has aborted the upgrade to the next version, so that no policy finalizes it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub held: bool,
}

impl VersionRecord {
    /// The version that applies while there is no record.
    pub const FIRST: VersionRecord = VersionRecord {
        active: ClusterVersion::FIRST,
        since_ms: 0,
        held: false,
    };
}

/// A running controller. The record is attached to a lease, and is deleted with the lease after the
/// controller has stopped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The release that the controller runs.
    pub release: String,
    /// The cluster versions that the release supports.
    #[serde(flatten)]
    pub versions: VersionRange,
    /// When the controller's process started, in milliseconds since the Unix epoch.
    pub since_ms: u64,
}

/// When a controller last renewed its lease. The record outlives the controller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenRecord {
    /// The release that the controller ran.
    pub release: String,
    /// When it renewed its lease, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// A member record whose lease has not expired, with its `mod_revision`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The record.
    pub record: MemberRecord,
    /// The `mod_revision` of the record.
    pub mod_revision: u64,
}

/// A configured controller and its records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Controller {
    /// Its name in the settings.
    pub name: String,
    /// Its member record; `None` while the controller is not registered.
    pub member: Option<Member>,
    /// Its last-seen record; `None` if the controller has never registered.
    pub seen: Option<SeenRecord>,
}

impl Controller {
    /// Whether the controller is registered with a release that supports a later version than `version`.
    pub(crate) fn supports_later_than(&self, version: ClusterVersion) -> bool {
        let member = self.member.as_ref();
        member.is_some_and(|member| member.record.versions.newest > version)
    }
}

/// All records, read at one revision of the state service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The version record, or [`VersionRecord::FIRST`] if there is none.
    pub version: VersionRecord,
    /// The `mod_revision` of the version record; 0 if there is none.
    pub mod_revision: u64,
    /// The configured controllers.
    pub controllers: Vec<Controller>,
}

//! What is kept in the state service. Later releases only add optional fields.

use crate::version::{ClusterVersion, VersionRange};
use serde::{Deserialize, Serialize};

/// The key of the active version.
pub const VERSION: &str = "cluster/version";
/// The prefix of the keys of members, and of when they were last seen.
pub const MEMBER: &str = "cluster/member/";
pub const SEEN: &str = "cluster/seen/";

pub fn member_key(controller: &str) -> String {
    format!("{MEMBER}{controller}")
}

pub fn seen_key(controller: &str) -> String {
    format!("{SEEN}{controller}")
}

/// The active version. Without a record it is [`ClusterVersion::FIRST`], and nothing is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    pub active: ClusterVersion,
    /// When it rose, in milliseconds of the time of day.
    pub since_ms: u64,
    /// An operator has called the upgrade to the next version off.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub held: bool,
}

impl VersionRecord {
    /// What holds where there is no record.
    pub const FIRST: VersionRecord = VersionRecord {
        active: ClusterVersion::FIRST,
        since_ms: 0,
        held: false,
    };
}

/// A controller that runs; attached to a lease, so that it goes when the controller does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    pub release: String,
    #[serde(flatten)]
    pub versions: VersionRange,
    /// When its process registered, in milliseconds of the time of day.
    pub since_ms: u64,
}

/// When a controller was last heard of; it stays when the controller goes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenRecord {
    pub release: String,
    pub at_ms: u64,
}

/// A configured controller, as the records tell of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Controller {
    pub name: String,
    /// Its live record, with the record's stamp.
    pub member: Option<(MemberRecord, u64)>,
    pub seen: Option<SeenRecord>,
}

/// All records, as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    pub version: VersionRecord,
    /// The stamp of the version's record; 0 if there is none.
    pub stamp: u64,
    pub controllers: Vec<Controller>,
}

//! The leader's record.

use serde::{Deserialize, Serialize};

/// Which controller leads. The record is attached to the leader's lease, and the key's version is the
/// leader's fencing token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The leader's name.
    pub node: String,
}

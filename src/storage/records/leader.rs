//! The leader's record.

use serde::{Deserialize, Serialize};

/// The current leader. The key is attached to the leadership lease, and its version is the leader's
/// fencing token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The leader's name.
    pub node: String,
}

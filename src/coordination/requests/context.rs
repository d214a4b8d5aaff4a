//! What a request needs to know of the node that it has come to.

use crate::protocol::cloud::MachineType;
use crate::settings::Settings;
use stairstage_upgrade::fence::WriteFence;
use std::sync::Arc;

/// How many times a transaction is attempted that gets no response or meets a conflict.
pub(super) const MAX_ATTEMPTS: usize = 3;

/// The node's settings and state as of the arrival of a request.
#[derive(Clone)]
pub struct Context {
    /// The settings of the node.
    pub settings: Arc<Settings>,
    /// The machine types that the cloud offers; empty while they are not known.
    pub machine_types: Arc<Vec<MachineType>>,
    /// What may be written at the active cluster version.
    pub write_fence: WriteFence,
    /// The other controllers, in the order in which a request is forwarded to them.
    pub peers: Vec<String>,
    /// Whether another controller has forwarded the request. It is then forwarded no further.
    pub from_peer: bool,
    /// The wall clock in milliseconds since the Unix epoch, for records.
    pub now_ms: u64,
}

//! The settings and state of the controller that handles a request.

use crate::protocol::cloud::MachineType;
use crate::settings::Settings;
use stairstage_upgrade::fence::WriteFence;
use std::sync::Arc;

/// The maximum number of attempts for a transaction that gets no response or conflicts.
pub(super) const MAX_ATTEMPTS: usize = 3;

/// The settings and state of the controller when it received the request.
#[derive(Clone)]
pub struct Context {
    /// The settings of the controller.
    pub settings: Arc<Settings>,
    /// The machine types that the cloud offers; empty until they have been read.
    pub machine_types: Arc<Vec<MachineType>>,
    /// The memory on a leader that a job may take which this controller accepts now, in bytes.
    pub free_job_bytes: u64,
    /// Restricts writes to the active cluster version.
    pub write_fence: WriteFence,
    /// The peers, in the order in which a request is forwarded to them.
    pub peers: Vec<String>,
    /// Whether a peer has forwarded the request. Such a request is not forwarded again.
    pub from_peer: bool,
    /// The wall-clock time for records, in milliseconds since the Unix epoch.
    pub now_ms: u64,
}

//! Probes whether a leader that receives no heartbeats can reach other controllers.

use crate::service::messages::{Message, PeerReachability};
use crate::transport::peers::Peers;
use crossbeam::channel::Sender;
use std::time::Duration;

/// Finds out whether any other controller is reachable, and whether workers send heartbeats to it. Each
/// request times out after `timeout`; the result is sent to `inbox`.
pub fn probe(peers: &Peers, inbox: &Sender<Message>, timeout: Duration) {
    let mut reachability = PeerReachability::Unreachable;
    for name in peers.names() {
        match peers.receives_heartbeats(name, timeout) {
            Some(true) => {
                reachability = PeerReachability::ReachableWithWorkers;
                break;
            }
            Some(false) => reachability = PeerReachability::ReachableWithoutWorkers,
            None => {}
        }
    }
    let _ = inbox.send(Message::PeersProbed(reachability));
}

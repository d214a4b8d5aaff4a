//! What must always hold.

use super::{Cluster, UnknownRecord};
use crate::lease_store::LATEST_END;
use stairstage::storage::records::LEADER_KEY;

impl Cluster {
    /// What must hold at every moment.
    pub(super) fn check(&mut self) {
        let valid = |node: usize| Some((self.valid_token(node)?, node));
        let valid: Vec<(u64, usize)> = (0..self.nodes.len()).filter_map(valid).collect();
        let (now, lease) = (self.now, self.lease);
        assert!(valid.len() <= 1, "two leaders at {now}: {valid:?}");
        if let Some((token, node)) = valid.first().copied() {
            if let Some((highest, holder)) = self.highest_valid {
                assert!(token >= highest, "at {now} token {token} after {highest}");
                assert!(token > highest || node == holder, "two nodes with {token}");
            }
            self.highest_valid = Some((token, node));
        }
        self.note_unknown_record();
        if let Some(unknown) = self.unknown_record.as_ref().filter(|_| !self.store.outage) {
            let unknown_for = now - unknown.since;
            let most = lease + LATEST_END;
            assert!(
                unknown_for <= most,
                "at {now}: a leader that knows nothing of it"
            );
        }
    }

    pub(super) fn note_unknown_record(&mut self) {
        let version = self.store.version(LEADER_KEY);
        let processes = self.nodes.iter().filter_map(|node| node.process.as_ref());
        let known = processes.into_iter().any(|p| p.tokens.contains(&version));
        if version == 0 || known {
            self.unknown_record = None;
        } else if self.unknown_record.as_ref().map(|u| u.version) != Some(version) {
            let since = self.now;
            self.unknown_record = Some(UnknownRecord { version, since });
        }
    }
}

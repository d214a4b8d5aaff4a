//! The invariants of an election.

use super::{Cluster, UnknownRecord, ValidToken};
use crate::lease_store::MAX_EXPIRY_DELAY;
use stairstage::storage::records::LEADER_KEY;

impl Cluster {
    /// Asserts that at most one controller trusts its lease, that valid tokens only rise, that each token
    /// belongs to one controller, and that no record exists for longer than a lease while its controller does
    /// not know of it.
    pub(super) fn check_invariants(&mut self) {
        let valid_token = |controller: usize| {
            let token = self.valid_token(controller)?;
            Some(ValidToken { token, controller })
        };
        let valid: Vec<ValidToken> = (0..self.controllers.len())
            .filter_map(valid_token)
            .collect();
        let (now, lease) = (self.now, self.lease);
        assert!(valid.len() <= 1, "two leaders at {now}: {valid:?}");
        if let Some(current) = valid.first().copied() {
            if let Some(highest) = self.highest_valid {
                let (token, previous) = (current.token, highest.token);
                assert!(token >= previous, "at {now} token {token} after {previous}");
                let is_same_controller = current.controller == highest.controller;
                assert!(
                    token > previous || is_same_controller,
                    "two controllers with {token}"
                );
            }
            self.highest_valid = Some(current);
        }
        self.track_unknown_record();
        if let Some(unknown) = self.unknown_record.as_ref().filter(|_| !self.store.outage) {
            let unknown_for = now - unknown.since;
            let max_unknown_time = lease + MAX_EXPIRY_DELAY;
            assert!(
                unknown_for <= max_unknown_time,
                "at {now}: a controller does not know that the record names it as leader"
            );
        }
    }

    /// Tracks since when the record has had a version that no running process knows as its own.
    fn track_unknown_record(&mut self) {
        let version = self.store.version(LEADER_KEY);
        let processes = self
            .controllers
            .iter()
            .filter_map(|controller| controller.process.as_ref());
        let known = processes.into_iter().any(|p| p.tokens.contains(&version));
        if version == 0 || known {
            self.unknown_record = None;
        } else if self.unknown_record.as_ref().map(|u| u.version) != Some(version) {
            let since = self.now;
            self.unknown_record = Some(UnknownRecord { version, since });
        }
    }
}

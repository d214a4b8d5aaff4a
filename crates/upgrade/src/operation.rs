//! Finalizing and aborting an upgrade, as a state machine without I/O.
//!
//! Both read all records, decide, and change the version record in a compare-and-swap transaction that
//! compares every record on which the decision depends: finalizing compares the version record and the
//! member records of all controllers. If a controller starts or stops meanwhile, or another operator
//! changes the version record, the transaction fails, and the operation reads and decides again. If the
//! outcome of a transaction is indeterminate, the operation reads the records again to see whether the
//! change was applied.

use crate::plan::{Hold, Initiator, Plan, Timing};
use crate::policy::UpgradePolicy;
use crate::records::{member_key, Snapshot, VersionRecord, VERSION_KEY};
use crate::version::ClusterVersion;

/// How many times an operation reads the records before it finishes with [`Outcome::Undecided`].
const MAX_ATTEMPTS: usize = 5;

/// The goal of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// Activate the next version.
    Finalize(Initiator),
    /// Abort the upgrade to the next version, so that no policy finalizes it.
    Abort,
}

/// A record that a transaction compares.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// The key of the record.
    pub key: String,
    /// The `mod_revision` that the record must have; 0 if it must not exist.
    pub mod_revision: u64,
}

/// A compare-and-swap transaction on the version record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The conditions under which the change is applied.
    pub conditions: Vec<Condition>,
    /// The version record to write.
    pub record: VersionRecord,
}

/// The outcome of a [`Change`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change was applied.
    Applied,
    /// A condition failed because a record has changed.
    Conflict,
    /// The state service rejected the change.
    Rejected,
    /// There was no response: the change may have been applied, or may be applied later.
    Indeterminate,
}

/// What the driver of an operation must do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read all records, and pass them to [`Operation::read`].
    Read,
    /// Commit a change, and pass its outcome to [`Operation::committed`].
    Commit(Change),
    /// Nothing: the operation is finished.
    Finished(Outcome),
}

/// The outcome of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// This version is active; this operation or another one activated it.
    Finalized(ClusterVersion),
    /// The upgrade from this version is aborted.
    Aborted(ClusterVersion),
    /// The next version may not be activated, for all of these reasons.
    Refused(Vec<Hold>),
    /// There is no upgrade to abort: this version is active, and the active version never decreases.
    AlreadyFinalized(ClusterVersion),
    /// The state service was unavailable, or the records changed at every attempt.
    Undecided,
}

/// One operation: the driver carries out its steps and passes the results back.
#[derive(Clone, Debug)]
pub struct Operation {
    request: Request,
    policy: UpgradePolicy,
    timing: Timing,
    /// The version that was active when the records were first read.
    initial_version: Option<ClusterVersion>,
    attempts: usize,
}

impl Operation {
    /// Starts an operation; returns it with its first step.
    pub fn begin(request: Request, policy: UpgradePolicy, timing: Timing) -> (Operation, Step) {
        let operation = Operation {
            request,
            policy,
            timing,
            initial_version: None,
            attempts: 0,
        };
        (operation, Step::Read)
    }

    /// Continues with the records that were read, or with `None` if they could not be read.
    pub fn read(&mut self, snapshot: Option<&Snapshot>, now_ms: u64) -> Step {
        self.attempts += 1;
        self.timing.now_ms = now_ms;
        let Some(snapshot) = snapshot else {
            return self.retry();
        };
        let initial_version = *self.initial_version.get_or_insert(snapshot.version.active);
        match self.request {
            Request::Finalize(initiator) => self.finalize(initiator, snapshot, initial_version),
            Request::Abort => abort(snapshot),
        }
    }

    fn finalize(
        &mut self,
        initiator: Initiator,
        snapshot: &Snapshot,
        initial_version: ClusterVersion,
    ) -> Step {
        let active = snapshot.version.active;
        // Activated meanwhile, by this operation's own change whose outcome was indeterminate or by another
        // operation.
        if active > initial_version {
            return Step::Finished(Outcome::Finalized(active));
        }
        let plan = Plan::of(snapshot, &self.policy, initiator, &self.timing);
        // Already finalized, and no controller supports a later version: this is a repeated request.
        if plan.next.is_none() && active > ClusterVersion::FIRST {
            return Step::Finished(Outcome::Finalized(active));
        }
        let Some(next) = plan.ready() else {
            return Step::Finished(Outcome::Refused(plan.holds));
        };
        let record = VersionRecord {
            active: next,
            since_ms: self.timing.now_ms,
            held: false,
        };
        let members = snapshot.controllers.iter().map(|controller| {
            let member = controller.member.as_ref();
            Condition {
                key: member_key(&controller.name),
                mod_revision: member.map_or(0, |member| member.mod_revision),
            }
        });
        Step::Commit(Change {
            conditions: version_condition(snapshot).chain(members).collect(),
            record,
        })
    }

    /// Continues with the outcome of the change.
    pub fn committed(&mut self, outcome: ChangeOutcome) -> Step {
        match (outcome, self.request, self.initial_version) {
            (ChangeOutcome::Applied, Request::Finalize(_), Some(initial_version)) => {
                Step::Finished(Outcome::Finalized(initial_version.next()))
            }
            (ChangeOutcome::Applied, Request::Abort, Some(initial_version)) => {
                Step::Finished(Outcome::Aborted(initial_version))
            }
            _ => self.retry(),
        }
    }

    fn retry(&self) -> Step {
        if self.attempts < MAX_ATTEMPTS {
            Step::Read
        } else {
            Step::Finished(Outcome::Undecided)
        }
    }
}

fn version_condition(snapshot: &Snapshot) -> impl Iterator<Item = Condition> {
    std::iter::once(Condition {
        key: VERSION_KEY.to_string(),
        mod_revision: snapshot.mod_revision,
    })
}

fn abort(snapshot: &Snapshot) -> Step {
    let version = snapshot.version;
    if version.held {
        return Step::Finished(Outcome::Aborted(version.active));
    }
    let mut controllers = snapshot.controllers.iter();
    if !controllers.any(|controller| controller.supports_later_than(version.active)) {
        return Step::Finished(Outcome::AlreadyFinalized(version.active));
    }
    let record = VersionRecord {
        held: true,
        ..version
    };
    Step::Commit(Change {
        conditions: version_condition(snapshot).collect(),
        record,
    })
}

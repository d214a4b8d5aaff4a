//! The steps of finalizing and aborting an upgrade.
//!
//! Both read all records, decide, and change one of them by a transaction that hangs on everything
//! that the decision hung on: the version's record and every controller's. So a controller that comes
//! or goes meanwhile, or another operator, makes it fail, and it is decided anew. An answer that is
//! lost is never guessed: the records are read again, and tell whether there is anything left to do.

use crate::plan::{Asked, Hold, Plan, Timing};
use crate::policy::UpgradePolicy;
use crate::records::{member_key, Snapshot, VersionRecord, VERSION};
use crate::version::ClusterVersion;

/// How often an operation reads and decides at the most.
const TRIES: usize = 5;

/// What an operator or the policy wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// Raise the version by one.
    Finalize(Asked),
    /// Call the upgrade to the next version off.
    Abort,
}

/// A change of the version's record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Keys, and the stamps that they must have; 0 is an absent one.
    pub conditions: Vec<(String, u64)>,
    pub record: VersionRecord,
}

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Committed {
    Applied,
    /// Some record has changed meanwhile.
    Conflict,
    /// It was not carried out.
    Refused,
    /// There was no answer: it may have been carried out, or may yet be.
    Unknown,
}

/// What an operation asks its driver to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read all records: [`Operation::read`].
    Read,
    /// [`Operation::committed`].
    Commit(Change),
    Finished(Outcome),
}

/// How an operation has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The version is active, by this operation or by another.
    Finalized(ClusterVersion),
    /// The upgrade from this version is called off.
    CalledOff(ClusterVersion),
    /// Every reason why not.
    Refused(Vec<Hold>),
    /// There is no upgrade to call off: this version is active, and never goes down.
    AlreadyFinalized(ClusterVersion),
    /// The state service did not answer, or the records changed again and again.
    Unreached,
}

/// One operation.
#[derive(Clone, Debug)]
pub struct Operation {
    request: Request,
    policy: UpgradePolicy,
    timing: Timing,
    /// The version that was active when it began.
    began_at: Option<ClusterVersion>,
    tries: usize,
}

impl Operation {
    pub fn begin(request: Request, policy: UpgradePolicy, timing: Timing) -> (Operation, Step) {
        let operation = Operation {
            request,
            policy,
            timing,
            began_at: None,
            tries: 0,
        };
        (operation, Step::Read)
    }

    /// Takes the records; `None` if they could not be read.
    pub fn read(&mut self, snapshot: Option<&Snapshot>, now_ms: u64) -> Step {
        self.tries += 1;
        self.timing.now_ms = now_ms;
        let Some(snapshot) = snapshot else {
            return self.again();
        };
        let began_at = *self.began_at.get_or_insert(snapshot.version.active);
        match self.request {
            Request::Finalize(asked) => self.finalize(asked, snapshot, began_at),
            Request::Abort => abort(snapshot),
        }
    }

    fn finalize(&mut self, asked: Asked, snapshot: &Snapshot, began_at: ClusterVersion) -> Step {
        let active = snapshot.version.active;
        // Raised meanwhile, by a change of ours whose answer was lost or by somebody else.
        if active > began_at {
            return Step::Finished(Outcome::Finalized(active));
        }
        let plan = Plan::of(snapshot, &self.policy, asked, &self.timing);
        // Finalized before, and nothing has come since: a repeated step is done.
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
            let stamp = controller.member.as_ref().map_or(0, |(_, stamp)| *stamp);
            (member_key(&controller.name), stamp)
        });
        Step::Commit(Change {
            conditions: version_condition(snapshot).chain(members).collect(),
            record,
        })
    }

    /// Takes what became of the change.
    pub fn committed(&mut self, committed: Committed) -> Step {
        match (committed, self.request, self.began_at) {
            (Committed::Applied, Request::Finalize(_), Some(began_at)) => {
                Step::Finished(Outcome::Finalized(began_at.next()))
            }
            (Committed::Applied, Request::Abort, Some(began_at)) => {
                Step::Finished(Outcome::CalledOff(began_at))
            }
            _ => self.again(),
        }
    }

    fn again(&self) -> Step {
        if self.tries < TRIES {
            Step::Read
        } else {
            Step::Finished(Outcome::Unreached)
        }
    }
}

fn version_condition(snapshot: &Snapshot) -> impl Iterator<Item = (String, u64)> {
    std::iter::once((VERSION.to_string(), snapshot.stamp))
}

fn abort(snapshot: &Snapshot) -> Step {
    let version = snapshot.version;
    if version.held {
        return Step::Finished(Outcome::CalledOff(version.active));
    }
    let knows_later = snapshot.controllers.iter().any(|controller| {
        let member = controller.member.as_ref();
        member.is_some_and(|(member, _)| member.versions.newest > version.active)
    });
    if !knows_later {
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

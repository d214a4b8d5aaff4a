//! Whether the next cluster version may be activated, and every reason why not.

use crate::policy::{Finalize, UpgradePolicy};
use crate::records::{Controller, Member, Snapshot};
use crate::version::{ClusterVersion, VersionRange};
use std::fmt;

/// Who initiates the finalizing of an upgrade.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Initiator {
    /// An operator, who may finalize at any time.
    Operator,
    /// A controller, which finalizes when the policy allows it.
    Policy,
}

/// The times that a plan depends on besides the records.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// The time of day, in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// The maximum clock skew between two controllers, in milliseconds.
    pub skew_ms: u64,
    /// The soak time: how long each controller must have run before the policy may finalize, in seconds.
    pub soak_s: f64,
}

/// A reason for which the next version may not be activated. Shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Hold {
    /// No controller runs a release that supports a later version.
    NoLaterRelease,
    /// A controller is not registered: it is down, or runs a release without staged upgrades.
    NotRegistered {
        /// The controller's name.
        controller: String,
        /// Its last registration; `None` if it has never registered.
        last_seen: Option<LastSeen>,
    },
    /// A controller's release does not support the next version.
    UnsupportedVersion {
        /// The controller's name.
        controller: String,
        /// The release that it runs.
        release: String,
        /// The versions that the release supports.
        versions: VersionRange,
    },
    /// An operator has aborted the upgrade to the next version.
    Aborted,
    /// The policy leaves finalizing to an operator.
    ByHand,
    /// A controller has not run for the soak time.
    Soaking {
        /// The controller's name.
        controller: String,
        /// How much longer the controller must run, in seconds.
        left_s: u64,
    },
    /// No maintenance window is open.
    OutsideWindows {
        /// When the next window opens, as local time with its zone; `None` if none opens within a year.
        opens: Option<String>,
    },
}

/// The last registration of a controller that is not registered now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LastSeen {
    /// The release that it ran.
    pub release: String,
    /// How long ago the controller was last registered, in seconds.
    pub ago_s: u64,
}

impl fmt::Display for Hold {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Hold::NoLaterRelease => {
                write!(out, "no controller runs a release with a later version")
            }
            Hold::NotRegistered {
                controller,
                last_seen: Some(LastSeen { release, ago_s }),
            } => write!(
                out,
                "{controller} was last registered {ago_s} s ago, with release {release}"
            ),
            Hold::NotRegistered {
                controller,
                last_seen: None,
            } => write!(
                out,
                "{controller} has never registered: it is down, or runs a release without staged \
                 upgrades"
            ),
            Hold::UnsupportedVersion {
                controller,
                release,
                versions,
            } => write!(
                out,
                "{controller} runs release {release}, which supports only versions {versions}"
            ),
            Hold::Aborted => write!(
                out,
                "an operator has aborted the upgrade; `finalize` overrides this"
            ),
            Hold::ByHand => write!(out, "the policy leaves finalizing to an operator"),
            Hold::Soaking { controller, left_s } => {
                write!(out, "{controller} must run for {left_s} s more")
            }
            Hold::OutsideWindows { opens: Some(opens) } => {
                write!(
                    out,
                    "no maintenance window is open; the next one opens at {opens}"
                )
            }
            Hold::OutsideWindows { opens: None } => {
                write!(
                    out,
                    "no maintenance window is open, and none opens within a year"
                )
            }
        }
    }
}

/// The next version of the cluster, and whether it may be activated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The active version.
    pub active: ClusterVersion,
    /// The version that the upgrade activates; `None` if no controller supports a later one.
    pub next: Option<ClusterVersion>,
    /// Why the next version may not be activated; empty if it may.
    pub holds: Vec<Hold>,
}

impl Plan {
    /// The plan for a snapshot of the records. The policy applies only if it is the initiator.
    pub fn of(
        snapshot: &Snapshot,
        policy: &UpgradePolicy,
        initiator: Initiator,
        timing: &Timing,
    ) -> Plan {
        let active = snapshot.version.active;
        let supports_later = |controller: &Controller| controller.supports_later_than(active);
        let has_later = snapshot.controllers.iter().any(supports_later);
        let next = has_later.then(|| active.next());
        let mut holds = Vec::new();
        match next {
            None => holds.push(Hold::NoLaterRelease),
            Some(next) => {
                let controllers = snapshot.controllers.iter();
                let hold = |controller| controller_hold(controller, next, timing.now_ms);
                holds.extend(controllers.filter_map(hold));
            }
        }
        if initiator == Initiator::Policy {
            holds.extend(policy_holds(snapshot, policy, timing));
        }
        Plan {
            active,
            next,
            holds,
        }
    }

    /// The version that may be activated now; `None` if there is none or a hold blocks it.
    pub fn ready(&self) -> Option<ClusterVersion> {
        self.next.filter(|_| self.holds.is_empty())
    }
}

fn controller_hold(controller: &Controller, next: ClusterVersion, now_ms: u64) -> Option<Hold> {
    let name = controller.name.clone();
    let Some(Member { record: member, .. }) = &controller.member else {
        let last_seen = controller.seen.as_ref().map(|seen| LastSeen {
            release: seen.release.clone(),
            ago_s: seconds_since(seen.at_ms, now_ms),
        });
        return Some(Hold::NotRegistered {
            controller: name,
            last_seen,
        });
    };
    (!member.versions.contains(next)).then(|| Hold::UnsupportedVersion {
        controller: name,
        release: member.release.clone(),
        versions: member.versions,
    })
}

fn policy_holds(snapshot: &Snapshot, policy: &UpgradePolicy, timing: &Timing) -> Vec<Hold> {
    let mut holds = Vec::new();
    if snapshot.version.held {
        holds.push(Hold::Aborted);
    }
    if policy.finalize == Finalize::ByHand {
        holds.push(Hold::ByHand);
        return holds;
    }
    for controller in &snapshot.controllers {
        let Some(Member { record: member, .. }) = &controller.member else {
            continue;
        };
        let ran_s = seconds_since(member.since_ms + timing.skew_ms, timing.now_ms);
        let left_s = timing.soak_s - ran_s as f64;
        if left_s > 0.0 {
            holds.push(Hold::Soaking {
                controller: controller.name.clone(),
                left_s: left_s.ceil() as u64,
            });
        }
    }
    let (now_ms, skew_ms) = (timing.now_ms, timing.skew_ms);
    // Clocks differ by up to the skew: a window must be open at both ends, so that it is open by any clock.
    let is_open = [now_ms.saturating_sub(skew_ms), now_ms + skew_ms]
        .iter()
        .all(|at| policy.windows.is_open(*at));
    if !is_open {
        let opens = policy.windows.next_opening(now_ms);
        holds.push(Hold::OutsideWindows { opens });
    }
    holds
}

fn seconds_since(then_ms: u64, now_ms: u64) -> u64 {
    now_ms.saturating_sub(then_ms) / 1000
}

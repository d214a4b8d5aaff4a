//! Whether the cluster version may rise, and every reason why not.

use crate::policy::{Finalize, UpgradePolicy};
use crate::records::{Controller, Snapshot};
use crate::version::{ClusterVersion, VersionRange};
use std::fmt;

/// Who wants the version to rise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asked {
    /// An operator, who may do so at any time.
    ByOperator,
    /// The leading controller, as the policy says.
    ByPolicy,
}

/// The figures that a plan hangs on besides the records.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// The time of day in milliseconds, and how far it may be off.
    pub now_ms: u64,
    pub skew_ms: u64,
    /// How long each controller must have run before the policy may finalize, in seconds.
    pub soak_s: f64,
}

/// Something that keeps the version from rising.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Hold {
    /// No configured controller runs a release that knows a later version.
    NothingNew,
    /// It has no live record: it is down, or runs a release without staged upgrades.
    NotRegistered {
        controller: String,
        /// The release that it was last seen with, and how many seconds ago.
        seen: Option<(String, u64)>,
    },
    /// Its release does not work at the next version.
    CannotFollow {
        controller: String,
        release: String,
        versions: VersionRange,
    },
    /// An operator has called the upgrade to the next version off.
    CalledOff,
    /// The policy leaves it to an operator.
    ByHand,
    /// A controller has not run for long enough.
    Soaking { controller: String, left_s: u64 },
    /// No maintenance window is open; when the next one opens, as a time of day with its zone.
    OutsideWindows { opens: Option<String> },
}

impl fmt::Display for Hold {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Hold::NothingNew => write!(out, "no controller runs a release with a later version"),
            Hold::NotRegistered {
                controller,
                seen: Some((release, ago_s)),
            } => write!(
                out,
                "{controller} was last heard {ago_s} s ago with release {release}"
            ),
            Hold::NotRegistered {
                controller,
                seen: None,
            } => write!(
                out,
                "{controller} has never registered: it is down, or runs a release without staged \
                 upgrades"
            ),
            Hold::CannotFollow {
                controller,
                release,
                versions,
            } => write!(
                out,
                "{controller} runs release {release}, which works at versions {versions} only"
            ),
            Hold::CalledOff => write!(
                out,
                "an operator has called the upgrade off; `finalize` takes it up again"
            ),
            Hold::ByHand => write!(out, "the policy leaves it to an operator"),
            Hold::Soaking { controller, left_s } => {
                write!(out, "{controller} has to run for {left_s} s more")
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
                    "no maintenance window is open, nor will one within a year"
                )
            }
        }
    }
}

/// What comes next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    pub active: ClusterVersion,
    /// The version that the upgrade leads to, if any controller knows a later one.
    pub next: Option<ClusterVersion>,
    /// Why the version may not rise; empty if it may.
    pub holds: Vec<Hold>,
}

impl Plan {
    /// The plan that follows from the records.
    pub fn of(snapshot: &Snapshot, policy: &UpgradePolicy, asked: Asked, timing: &Timing) -> Plan {
        let active = snapshot.version.active;
        let newest = |c: &Controller| c.member.as_ref().map(|(member, _)| member.versions.newest);
        let latest = snapshot.controllers.iter().filter_map(newest).max();
        let next = latest
            .filter(|latest| *latest > active)
            .map(|_| active.next());
        let mut holds = Vec::new();
        match next {
            None => holds.push(Hold::NothingNew),
            Some(next) => {
                let controllers = snapshot.controllers.iter();
                holds.extend(controllers.filter_map(|c| controller_hold(c, next, timing.now_ms)));
            }
        }
        if asked == Asked::ByPolicy {
            holds.extend(policy_holds(snapshot, policy, timing));
        }
        Plan {
            active,
            next,
            holds,
        }
    }

    /// The version that may be taken on now.
    pub fn ready(&self) -> Option<ClusterVersion> {
        self.next.filter(|_| self.holds.is_empty())
    }
}

fn controller_hold(controller: &Controller, next: ClusterVersion, now_ms: u64) -> Option<Hold> {
    let name = controller.name.clone();
    let Some((member, _)) = &controller.member else {
        let seen = controller.seen.as_ref();
        return Some(Hold::NotRegistered {
            controller: name,
            seen: seen.map(|s| (s.release.clone(), seconds_since(s.at_ms, now_ms))),
        });
    };
    (!member.versions.contains(next)).then(|| Hold::CannotFollow {
        controller: name,
        release: member.release.clone(),
        versions: member.versions,
    })
}

fn policy_holds(snapshot: &Snapshot, policy: &UpgradePolicy, timing: &Timing) -> Vec<Hold> {
    let mut holds = Vec::new();
    if snapshot.version.held {
        holds.push(Hold::CalledOff);
    }
    if policy.finalize == Finalize::ByHand {
        holds.push(Hold::ByHand);
        return holds;
    }
    for controller in &snapshot.controllers {
        let Some((member, _)) = &controller.member else {
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
    // Whichever clock is right.
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

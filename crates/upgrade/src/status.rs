//! What operators are told of an upgrade, as text or JSON.

use crate::plan::Plan;
use crate::records::Snapshot;
use crate::version::{ClusterVersion, VersionRange};
use serde::Serialize;
use std::fmt;

/// A configured controller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ControllerStatus {
    pub name: String,
    /// What it runs; nothing if it has no live record.
    pub release: Option<String>,
    pub versions: Option<VersionRange>,
    /// Seconds since its process registered.
    pub runs_for_s: Option<u64>,
}

/// The state of the upgrade.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Status {
    pub active: ClusterVersion,
    pub next: Option<ClusterVersion>,
    pub controllers: Vec<ControllerStatus>,
    /// What keeps the version from rising, in plain words.
    pub holds: Vec<String>,
    /// Whether an operator has called the upgrade off.
    pub called_off: bool,
    /// Whether the release before the next version can come back everywhere.
    pub rollback_possible: bool,
}

impl Status {
    pub fn of(snapshot: &Snapshot, plan: &Plan, now_ms: u64) -> Status {
        let controllers = snapshot.controllers.iter().map(|controller| {
            let member = controller.member.as_ref().map(|(member, _)| member);
            ControllerStatus {
                name: controller.name.clone(),
                release: member.map(|member| member.release.clone()),
                versions: member.map(|member| member.versions),
                runs_for_s: member.map(|m| now_ms.saturating_sub(m.since_ms) / 1000),
            }
        });
        Status {
            active: plan.active,
            next: plan.next,
            controllers: controllers.collect(),
            holds: plan.holds.iter().map(ToString::to_string).collect(),
            called_off: snapshot.version.held,
            rollback_possible: plan.next.is_some(),
        }
    }
}

impl fmt::Display for Status {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self.next {
            Some(next) => writeln!(out, "cluster version {}, next {next}", self.active)?,
            None => writeln!(out, "cluster version {}", self.active)?,
        }
        for controller in &self.controllers {
            write!(out, "  {}: ", controller.name)?;
            match (&controller.release, controller.versions) {
                (Some(release), Some(versions)) => writeln!(
                    out,
                    "release {release}, versions {versions}, runs for {} s",
                    controller.runs_for_s.unwrap_or_default()
                )?,
                _ => writeln!(out, "no live record")?,
            }
        }
        for hold in &self.holds {
            writeln!(out, "held up: {hold}")?;
        }
        if self.rollback_possible {
            writeln!(
                out,
                "rollback: possible until version {} is finalized",
                self.active.next()
            )?;
        }
        Ok(())
    }
}

//! The state of an upgrade as operators see it, as text or JSON.

use crate::plan::Plan;
use crate::records::Snapshot;
use crate::version::{ClusterVersion, VersionRange};
use serde::Serialize;
use std::fmt;

/// A configured controller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ControllerStatus {
    /// Its name.
    pub name: String,
    /// The release that it runs; `None` if it is not registered.
    pub release: Option<String>,
    /// The cluster versions that the release supports; `None` if the controller is not registered.
    pub versions: Option<VersionRange>,
    /// Seconds since its process started; `None` if it is not registered.
    pub runs_for_s: Option<u64>,
}

/// The state of the upgrade.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Status {
    /// The active version.
    pub active: ClusterVersion,
    /// The version that the upgrade activates; `None` if no controller supports a later one.
    pub next: Option<ClusterVersion>,
    /// The configured controllers.
    pub controllers: Vec<ControllerStatus>,
    /// Why the next version may not be activated, as text.
    pub holds: Vec<String>,
    /// Whether an operator has aborted the upgrade.
    pub called_off: bool,
    /// Whether all controllers may be rolled back to the release before the next version.
    pub rollback_possible: bool,
}

impl Status {
    /// The status of a cluster with these records and this plan; `now_ms` is the time of day in
    /// milliseconds since the Unix epoch.
    pub fn of(snapshot: &Snapshot, plan: &Plan, now_ms: u64) -> Status {
        let controllers = snapshot.controllers.iter().map(|controller| {
            let member = controller.member.as_ref().map(|member| &member.record);
            ControllerStatus {
                name: controller.name.clone(),
                release: member.map(|member| member.release.clone()),
                versions: member.map(|member| member.versions),
                runs_for_s: member.map(|member| now_ms.saturating_sub(member.since_ms) / 1000),
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
                    "release {release}, versions {versions}, running for {} s",
                    controller.runs_for_s.unwrap_or_default()
                )?,
                _ => writeln!(out, "not registered")?,
            }
        }
        for hold in &self.holds {
            writeln!(out, "blocked: {hold}")?;
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

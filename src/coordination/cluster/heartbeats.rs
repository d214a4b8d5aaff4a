//! Heartbeats of workers, and the responses to them.

use super::reconciliation::IncarnationEnd;
use super::writes::completions::is_completion_unrecorded;
use super::{ClusterState, HeartbeatOutcome, MAX_COMMANDS};
use crate::coordination::state::{AllocationId, JobId, Machine, MachineName, MachinePhase};
use crate::coordination::Time;
use crate::protocol::ids::FencingToken;
use crate::protocol::job::parse_task;
use crate::protocol::worker::{
    Cause, Command, Heartbeat, HeartbeatResponse, TaskState, TaskStatus,
};
use tracing::{info, warn};

/// How a worker's heartbeat reached this controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// The worker sent it directly to this controller.
    Worker,
    /// The worker sent it to another controller, which forwarded it. It proves nothing about the
    /// network between this controller and the worker.
    Peer,
    /// The worker sent it in response to a direct command. It proves nothing about the response to the
    /// worker's last unsolicited heartbeat, which may still be in flight.
    CommandResponse,
}

impl ClusterState {
    /// Whether a heartbeat is newer than all earlier ones of its machine.
    fn is_newer(&self, heartbeat: &Heartbeat) -> bool {
        let machine = self.machines.get(heartbeat.machine.as_str());
        machine.is_none_or(|machine| machine.worker.is_newer(heartbeat))
    }

    /// Counts the tasks that a heartbeat lists as completed. Completion is final, so the age of the
    /// heartbeat does not matter.
    fn apply_completions(&mut self, heartbeat: &Heartbeat, now: Time) {
        let completed = heartbeat.tasks.iter();
        for status in completed.filter(|status| status.cause == Some(Cause::Done)) {
            let Some((job, task)) = parse_task(&status.task) else {
                continue;
            };
            let id: JobId = job.into();
            let job = self.jobs.get(&id).filter(|job| job.has_task(task));
            if job.is_some_and(|job| !job.is_done(task)) {
                self.complete_task(&id, task, now);
            }
        }
    }

    /// Applies the heartbeat in the response to a direct command; returns whether it was newer than all
    /// earlier ones.
    pub(crate) fn apply_command_response(&mut self, heartbeat: &Heartbeat, now: Time) -> bool {
        self.apply_heartbeat(heartbeat, HeartbeatSource::CommandResponse, now)
    }

    /// Applies a heartbeat from any source if it is newer than all earlier ones; returns whether it
    /// was. A delayed or duplicate heartbeat only proves which tasks have completed.
    fn apply_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
        now: Time,
    ) -> bool {
        let name: MachineName = heartbeat.machine.as_str().into();
        if !self.is_newer(heartbeat) || self.returned_machines.contains_key(&name) {
            self.apply_completions(heartbeat, now);
            return false;
        }
        if source != HeartbeatSource::Peer {
            self.heartbeats.note_heartbeat(now);
        }
        if source == HeartbeatSource::Worker {
            self.heartbeats.note_direct_heartbeat(now);
        }
        let is_unsolicited = source != HeartbeatSource::CommandResponse;
        let is_new_incarnation = self.update_machine(&name, heartbeat, is_unsolicited, now);
        if is_new_incarnation {
            self.end_incarnation(&name, IncarnationEnd::LaterHeartbeat, now);
        }
        self.reconcile(&name, heartbeat, now);
        if let Some(machine) = self.machines.get_mut(&name) {
            if !machine.is_empty() {
                machine.idle_since = now;
            }
        }
        if heartbeat.notice_s.is_some() {
            self.drain(&name, now);
        }
        true
    }

    /// Updates a machine from a heartbeat; returns whether the heartbeat starts a new incarnation of
    /// the worker.
    fn update_machine(
        &mut self,
        name: &MachineName,
        heartbeat: &Heartbeat,
        is_unsolicited: bool,
        now: Time,
    ) -> bool {
        let lease_s = self.settings.cluster.workers.lease_s;
        let machine = self.machines.entry(name.clone()).or_insert_with(|| {
            info!(machine = %name, "heartbeat from an unknown machine, adding it");
            let machine_type = heartbeat.kind.as_str().into();
            let zone = heartbeat.zone.as_str().into();
            Machine::new(name.clone(), machine_type, zone, heartbeat.spot, now)
        });
        machine.set_type_if_unknown(&heartbeat.kind, &heartbeat.zone, heartbeat.spot);
        let is_new_incarnation = machine.worker.begins_incarnation(heartbeat);
        machine
            .worker
            .apply(heartbeat, is_unsolicited, lease_s, now);
        if machine.phase == MachinePhase::Booting {
            machine.phase = MachinePhase::Up;
            machine.idle_since = now;
            self.needs_scheduling = true;
            info!(
                machine = %name,
                machine_type = %machine.machine_type,
                zone = %machine.zone,
                boot_s = format_args!("{:.0}", now - machine.rented_at),
                "machine is up"
            );
        }
        if machine.endpoint.as_deref() != Some(heartbeat.endpoint.as_str()) {
            machine.endpoint = Some(heartbeat.endpoint.clone());
        }
        machine.reclaim_at = heartbeat.notice_s.map(|notice_s| now + notice_s);
        is_new_incarnation
    }

    /// Applies a worker's unsolicited heartbeat, direct or forwarded, and responds to it.
    pub(crate) fn heartbeat_from(
        &mut self,
        source: HeartbeatSource,
        heartbeat: &Heartbeat,
        now: Time,
    ) -> HeartbeatOutcome {
        let token = self.leadership.token();
        if heartbeat.token > token {
            warn!(
                machine = %heartbeat.machine,
                acknowledged_token = %heartbeat.token,
                %token,
                "worker has seen a higher fencing token, stepping down"
            );
            self.leadership.step_down();
            return HeartbeatOutcome::SteppedDown;
        }
        if !self.apply_heartbeat(heartbeat, source, now) {
            return HeartbeatOutcome::Stale;
        }
        let name: MachineName = heartbeat.machine.as_str().into();
        let mut commands = Vec::new();
        if let Some(machine) = self.machines.get_mut(&name) {
            machine.worker.response_sent(token, now);
            commands = self.commands_for_unknown_tasks(&name, heartbeat);
        }
        commands.extend(self.commands(&name, Some(heartbeat.sequence), now));
        commands.truncate(MAX_COMMANDS);
        HeartbeatOutcome::Response(HeartbeatResponse { token, commands })
    }

    /// Commands that stop, and later forget, tasks that belong to no open job.
    fn commands_for_unknown_tasks(
        &self,
        name: &MachineName,
        heartbeat: &Heartbeat,
    ) -> Vec<Command> {
        let Some(machine) = self.machines.get(name) else {
            return Vec::new();
        };
        let commands = heartbeat.tasks.iter().filter_map(|status| {
            let parsed = parse_task(&status.task);
            let id = parsed.map(|(job, task)| AllocationId::new(job.into(), task, status.attempt));
            let is_known = |id| machine.allocations().contains_key(id);
            if id.as_ref().is_some_and(is_known) {
                return None;
            }
            self.command_for_unknown_task(id.as_ref(), status, heartbeat.token)
        });
        commands.collect()
    }

    fn command_for_unknown_task(
        &self,
        id: Option<&AllocationId>,
        status: &TaskStatus,
        acknowledged_token: FencingToken,
    ) -> Option<Command> {
        let (task, attempt) = (status.task.clone(), status.attempt);
        if status.state != TaskState::Exited {
            return Some(Command::Stop {
                task,
                attempt,
                grace_s: 0.0,
            });
        }
        // Only an attempt of an earlier term can be forgotten safely: a delayed duplicate of a launch
        // from this term would start the task again.
        let is_earlier = self.leadership.is_of_earlier_term(attempt);
        let is_fenced = is_earlier || acknowledged_token > self.leadership.first_token();
        let is_recorded = id
            .is_none_or(|id| !is_completion_unrecorded(&self.jobs, self.shards, &id.job, id.task));
        (is_recorded && is_fenced).then_some(Command::Forget { task, attempt })
    }
}

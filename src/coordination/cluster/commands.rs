//! Commands to workers, and the fencing tokens that the commands carry.

use super::writes::completions::is_completion_unrecorded;
use super::{ClusterState, CommandOutcome, Effect, MAX_COMMANDS};
use crate::coordination::state::{
    Allocation, AllocationId, AllocationState, Machine, MachineName, MachinePhase,
};
use crate::coordination::Time;
use crate::protocol::ids::{FencingToken, HeartbeatSequence};
use crate::protocol::worker::{Cause, Command, CommandBatch, Heartbeat, MAX_TASK_STATUS_BYTES};
use tracing::{debug, info};

/// Average number of exited tasks per machine that may wait to be forgotten before a new token is
/// drawn.
const MAX_EXITED_PER_MACHINE: usize = 4;

/// The share of a machine's heartbeat that tasks of arrays and gangs may take whose launches were sent
/// directly. Once they have exited, they can be forgotten only under a higher token; other tasks are launched
/// by responses to heartbeats and can be forgotten in the next response.
const DIRECT_LAUNCHES_SHARE: f64 = 0.5;

/// How commands reach a worker.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CommandRoute {
    /// In the response to the heartbeat with this sequence number.
    Response(HeartbeatSequence),
    /// Directly, without a heartbeat. Only commands that were never sent before go this way, and
    /// `forget` never does, since it must not overtake a launch.
    Direct,
}

/// The context that decides which command an allocation needs.
struct CommandContext {
    route: CommandRoute,
    token: FencingToken,
    acknowledged_token: FencingToken,
    /// Whether tasks may be started. A leader whose lease may have expired keeps tasks alive, but
    /// starts none.
    may_start: bool,
    /// The bytes of the heartbeat that further tasks may take whose launches are sent directly.
    direct_launch_bytes: f64,
}

impl CommandContext {
    /// The command that an allocation needs now, marked in the allocation as sent. An exited task is
    /// forgotten unless its completion `is_unrecorded`.
    fn command_for(
        &mut self,
        id: &AllocationId,
        allocation: &mut Allocation,
        is_unrecorded: impl Fn(&AllocationId) -> bool,
    ) -> Option<Command> {
        match allocation.state {
            AllocationState::Pending => None,
            AllocationState::Launching | AllocationState::Observed(_) => {
                if allocation.pending_stop.is_some() {
                    self.stop(id, allocation)
                } else {
                    self.start(id, allocation)
                }
            }
            AllocationState::Exited(cause) => {
                // A launch that was sent directly may arrive a second time; after a `forget` it would
                // start the task again.
                let token = allocation.direct_launch_token;
                let is_safe = token.is_none_or(|token| self.acknowledged_token > token);
                let is_kept = cause == Cause::Done && is_unrecorded(id);
                let may_forget = self.route != CommandRoute::Direct && is_safe && !is_kept;
                may_forget.then(|| Command::Forget {
                    task: id.task_name(),
                    attempt: id.attempt,
                })
            }
        }
    }

    fn stop(&self, id: &AllocationId, allocation: &mut Allocation) -> Option<Command> {
        let stop = allocation.pending_stop.as_mut()?;
        if self.route == CommandRoute::Direct && stop.sent {
            return None;
        }
        stop.sent = true;
        Some(Command::Stop {
            task: id.task_name(),
            attempt: id.attempt,
            grace_s: stop.grace_s,
        })
    }

    fn start(&mut self, id: &AllocationId, allocation: &mut Allocation) -> Option<Command> {
        let is_launching = allocation.state == AllocationState::Launching;
        if !is_launching || allocation.is_recovered || !self.may_start {
            return None;
        }
        match self.route {
            CommandRoute::Response(sequence) => {
                allocation.launch_response_sequence = Some(sequence);
            }
            CommandRoute::Direct if allocation.launch_was_sent() => return None,
            CommandRoute::Direct => {
                let profile = &allocation.profile;
                let bytes = profile.request.heartbeat_bytes;
                if bytes > self.direct_launch_bytes && !profile.is_service() {
                    return None;
                }
                self.direct_launch_bytes -= bytes;
                allocation.direct_launch_token = Some(self.token);
            }
        }
        Some(Command::Start {
            task: id.task_name(),
            attempt: id.attempt,
        })
    }
}

/// The bytes of a machine's heartbeat that further tasks may take whose launches are sent directly.
fn free_direct_launch_bytes(machine: &Machine) -> f64 {
    let acknowledged_token = machine.worker.acknowledged_token();
    let allocations = machine.allocations().values();
    let unforgettable = allocations.filter(|allocation| {
        let token = allocation.direct_launch_token;
        token.is_some_and(|token| token >= acknowledged_token)
    });
    let taken: f64 = unforgettable
        .map(|allocation| allocation.profile.request.heartbeat_bytes)
        .sum();
    DIRECT_LAUNCHES_SHARE * MAX_TASK_STATUS_BYTES as f64 - taken
}

/// Allocations whose directly sent launch may still arrive, which blocks releasing or forgetting them.
#[derive(Default)]
struct BlockingLaunches {
    exited: usize,
    /// The largest number of exited tasks on one machine.
    max_exited: usize,
    /// Whether any of these tasks has to be stopped or is missing.
    any_unwanted: bool,
}

impl ClusterState {
    /// The commands for a worker now: in the response to its heartbeat with this sequence number, or
    /// directly.
    pub(super) fn commands(
        &mut self,
        name: &MachineName,
        response_to: Option<HeartbeatSequence>,
        now: Time,
    ) -> Vec<Command> {
        let Some(machine) = self.machines.get_mut(name) else {
            return Vec::new();
        };
        let mut context = CommandContext {
            route: response_to.map_or(CommandRoute::Direct, CommandRoute::Response),
            token: self.leadership.token(),
            acknowledged_token: machine.worker.acknowledged_token(),
            may_start: self.leadership.holds_lease(now),
            direct_launch_bytes: free_direct_launch_bytes(machine),
        };
        let (jobs, shards) = (&self.jobs, self.shards);
        let is_unrecorded =
            |id: &AllocationId| is_completion_unrecorded(jobs, shards, &id.job, id.task);
        let allocations = machine.allocations_mut();
        let commands = allocations
            .filter_map(|(id, allocation)| context.command_for(id, allocation, is_unrecorded));
        let mut commands: Vec<Command> = commands.take(MAX_COMMANDS).collect();
        if commands.iter().any(Command::is_start) && self.leadership.note_launch() {
            let after_s = now - self.leadership.elected_at();
            info!(
                after_s = format_args!("{after_s:.2}"),
                "first task launched in this term"
            );
        }
        // Stops come first, so that a launch can take the resources that they free.
        commands.sort_by_key(|command| match command {
            Command::Stop { .. } => 0,
            Command::Forget { .. } => 1,
            Command::Start { .. } => 2,
        });
        commands
    }

    /// Sends commands that should not wait for the next heartbeat directly to the workers. A leader
    /// whose lease may have expired still stops tasks this way, but starts none.
    pub(crate) fn send_commands(&mut self, now: Time) {
        if self.leadership.has_stepped_down() {
            return;
        }
        for name in std::mem::take(&mut self.machines_to_notify) {
            let Some(machine) = self.machines.get(&name) else {
                continue;
            };
            let worker = &machine.worker;
            let is_reachable = machine.phase == MachinePhase::Up
                && machine.endpoint.is_some()
                && worker.last_heartbeat_at().is_some();
            // The machine is notified again when the commands in flight are answered, and the response
            // to its next heartbeat carries any remaining commands.
            if worker.commands_in_flight() || !is_reachable || !worker.accepts_commands(now) {
                continue;
            }
            let commands = self.commands(&name, None, now);
            if !commands.is_empty() {
                self.dispatch(&name, commands);
            }
        }
    }

    /// Sends commands directly. An empty batch only exchanges the token and a heartbeat.
    pub(super) fn dispatch(&mut self, name: &MachineName, commands: Vec<Command>) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let Some(endpoint) = machine.endpoint.clone() else {
            return;
        };
        machine.worker.commands_sent();
        self.effects.push(Effect::SendCommands {
            machine: name.clone(),
            endpoint,
            commands: CommandBatch {
                token: self.leadership.token(),
                incarnation: machine.worker.incarnation(),
                commands,
            },
        });
    }

    /// Applies the outcome of commands that were sent directly.
    pub(crate) fn commands_finished(
        &mut self,
        name: &MachineName,
        outcome: CommandOutcome,
        now: Time,
    ) {
        let pause_s = self.settings.cluster.workers.report_s;
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let worker = &mut machine.worker;
        worker.commands_finished();
        self.machines_to_notify.insert(name.clone());
        match outcome {
            CommandOutcome::Executed(heartbeat) => {
                worker.record_acknowledgement(true, now);
                self.apply_returned_heartbeat(name, &heartbeat, now);
            }
            CommandOutcome::Rejected(Some(heartbeat)) => {
                self.apply_returned_heartbeat(name, &heartbeat, now);
            }
            // The remaining commands go out with the responses to heartbeats; the failure proves
            // nothing about the machine.
            CommandOutcome::Rejected(None)
            | CommandOutcome::NotSent
            | CommandOutcome::Indeterminate => {
                worker.commands_unanswered(pause_s, now);
            }
        }
    }

    fn apply_returned_heartbeat(&mut self, name: &MachineName, heartbeat: &Heartbeat, now: Time) {
        if heartbeat.token > self.leadership.token() {
            self.leadership.step_down();
        } else if heartbeat.machine == **name {
            self.apply_command_response(heartbeat, now);
        }
    }

    /// Draws a higher token when launches that may still arrive block releasing or forgetting tasks.
    pub(super) fn raise_token_if_needed(&mut self, now: Time) {
        let pause_s = self.settings.cluster.workers.lease_s / 2.0;
        if !self.leadership.may_raise_token(pause_s, now) {
            return;
        }
        let blocking = self.blocking_launches();
        // Every worker sends a heartbeat at once when it sees a new token, so a few exited tasks do not
        // justify one.
        let machine_limit = MAX_COMMANDS / 4;
        let max_exited = (MAX_EXITED_PER_MACHINE * self.machines.len()).max(machine_limit);
        if blocking.any_unwanted
            || blocking.exited > max_exited
            || blocking.max_exited > machine_limit
        {
            let effect = self.leadership.raise_token();
            self.effects.push(effect);
        }
    }

    fn blocking_launches(&self) -> BlockingLaunches {
        let token = self.leadership.token();
        let mut blocking = BlockingLaunches::default();
        for machine in self.machines.values() {
            let mut exited = 0;
            let allocations = machine.allocations().iter();
            for (id, a) in allocations.filter(|(_, a)| a.direct_launch_token == Some(token)) {
                match a.state {
                    AllocationState::Pending => {}
                    AllocationState::Exited(_) => exited += 1,
                    AllocationState::Launching => {
                        let job = self.jobs.get(&id.job);
                        let is_cancelled = job.is_none_or(|job| job.cancelled);
                        blocking.any_unwanted |= a.pending_stop.is_some() || is_cancelled;
                    }
                    // The worker may have restarted and its counters caught up, so only a new token
                    // proves the task gone.
                    AllocationState::Observed(_) => blocking.any_unwanted |= a.is_missing,
                }
            }
            blocking.exited += exited;
            blocking.max_exited = blocking.max_exited.max(exited);
        }
        blocking
    }

    /// Applies the result of drawing a higher token; `None` if that failed.
    pub(crate) fn token_raised(&mut self, token: Option<FencingToken>, now: Time) {
        if self.leadership.token_raised(token, now) {
            debug!(token = %self.leadership.token(), "fencing token raised");
        }
    }
}

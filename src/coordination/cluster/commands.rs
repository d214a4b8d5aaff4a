//! Commands to workers, and the fencing tokens that they carry.

use super::writes::completions::is_completion_unrecorded;
use super::{ClusterState, CommandOutcome, Effect, MAX_COMMANDS};
use crate::coordination::state::{
    Allocation, AllocationId, AllocationState, MachineName, MachinePhase,
};
use crate::coordination::Time;
use crate::protocol::ids::{FencingToken, HeartbeatSequence};
use crate::protocol::worker::{Cause, Command, CommandBatch, Heartbeat};
use tracing::{debug, info};

/// Exited tasks that may stay on a machine, on average, until a new token lets them be forgotten.
const MAX_EXITED_PER_MACHINE: usize = 4;

/// How commands reach a worker.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CommandRoute {
    /// In the response to the heartbeat of this sequence number.
    Response(HeartbeatSequence),
    /// Directly. Only what was never sent goes this way, and `forget` never does: it must not overtake
    /// a launch.
    Direct,
}

/// What commands depend on besides the allocation.
struct CommandContext {
    route: CommandRoute,
    token: FencingToken,
    acknowledged_token: FencingToken,
    /// A leader whose lease may be over keeps tasks alive, but starts none.
    may_start: bool,
}

impl CommandContext {
    /// The command that an allocation needs now, noted in it as sent. An exited task is forgotten
    /// unless its completion `is_unrecorded`.
    fn command_for(
        &self,
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
                // A launch that was sent directly may arrive again, and after a `forget` it would
                // start the task anew.
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

    fn start(&self, id: &AllocationId, allocation: &mut Allocation) -> Option<Command> {
        let is_launching = allocation.state == AllocationState::Launching;
        if !is_launching || allocation.is_recovered || !self.may_start {
            return None;
        }
        match self.route {
            CommandRoute::Response(sequence) => {
                allocation.launch_response_sequence = Some(sequence);
            }
            CommandRoute::Direct if allocation.launch_was_sent() => return None,
            CommandRoute::Direct => allocation.direct_launch_token = Some(self.token),
        }
        Some(Command::Start {
            task: id.task_name(),
            attempt: id.attempt,
        })
    }
}

/// Launches that may still arrive and hold something up.
#[derive(Default)]
struct HeldLaunches {
    exited: usize,
    /// The most exited tasks on one machine.
    max_exited: usize,
    /// Whether any of them is to be stopped, or its task is missing.
    any_unwanted: bool,
}

impl ClusterState {
    /// What a worker is to do now: in the response to its heartbeat of this sequence number, or
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
        let context = CommandContext {
            route: response_to.map_or(CommandRoute::Direct, CommandRoute::Response),
            token: self.leadership.token(),
            acknowledged_token: machine.worker.acknowledged_token(),
            may_start: self.leadership.holds_lease(now),
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
                "first launch since the records were read"
            );
        }
        // Stops first: what they free, a launch behind them may take.
        commands.sort_by_key(|command| match command {
            Command::Stop { .. } => 0,
            Command::Forget { .. } => 1,
            Command::Start { .. } => 2,
        });
        commands
    }

    /// Sends directly to workers what should not wait for their next heartbeat. A leader whose lease
    /// may be over still stops tasks by this, but starts none.
    pub(crate) fn send_commands(&mut self, now: Time) {
        if self.leadership.is_deposed() {
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
            // The answer to commands in flight brings the machine back here, and the response to its
            // next heartbeat carries what there is.
            if worker.commands_in_flight() || !is_reachable || !worker.accepts_commands(now) {
                continue;
            }
            let commands = self.commands(&name, None, now);
            if !commands.is_empty() {
                self.dispatch(&name, commands);
            }
        }
    }

    /// Sends commands directly (perhaps none: then only the token and a heartbeat are exchanged).
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

    /// Takes in what became of commands that were sent directly.
    pub(crate) fn commands_answered(
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
                self.apply_answer(name, &heartbeat, now);
            }
            CommandOutcome::Rejected(Some(heartbeat)) => self.apply_answer(name, &heartbeat, now),
            // The rest goes with the responses to its heartbeats; nothing is concluded.
            CommandOutcome::Rejected(None) | CommandOutcome::NotSent | CommandOutcome::Unknown => {
                worker.commands_unanswered(pause_s, now);
            }
        }
    }

    fn apply_answer(&mut self, name: &MachineName, heartbeat: &Heartbeat, now: Time) {
        if heartbeat.token > self.leadership.token() {
            self.leadership.depose();
        } else if heartbeat.machine == **name {
            self.apply_command_response(heartbeat, now);
        }
    }

    /// Draws a higher token when launches that may still arrive hold something up.
    pub(super) fn raise_token_if_needed(&mut self, now: Time) {
        let pause_s = self.settings.cluster.workers.lease_s / 2.0;
        if !self.leadership.may_raise_token(pause_s, now) {
            return;
        }
        let held = self.held_launches();
        // Every worker sends a heartbeat on a new token at once, so exited tasks must be worth it.
        let many = MAX_COMMANDS / 4;
        let max_exited = (MAX_EXITED_PER_MACHINE * self.machines.len()).max(many);
        if held.any_unwanted || held.exited > max_exited || held.max_exited > many {
            let effect = self.leadership.raise_token();
            self.effects.push(effect);
        }
    }

    fn held_launches(&self) -> HeldLaunches {
        let token = self.leadership.token();
        let mut held = HeldLaunches::default();
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
                        held.any_unwanted |= a.pending_stop.is_some() || is_cancelled;
                    }
                    // Its process was back at once: only a new token proves the task gone.
                    AllocationState::Observed(_) => held.any_unwanted |= a.is_missing,
                }
            }
            held.exited += exited;
            held.max_exited = held.max_exited.max(exited);
        }
        held
    }

    /// A higher token was drawn; `None` if that failed.
    pub(crate) fn token_raised(&mut self, token: Option<FencingToken>, now: Time) {
        if self.leadership.token_raised(token, now) {
            debug!(token = %self.leadership.token(), "token raised");
        }
    }
}

//! Commands to workers, and the tokens that they carry.

use crate::coordination::cluster::{ClusterState, CommandOutcome, Effect, MAX_COMMANDS};
use crate::coordination::state::{Allocation, AllocationState, Job, MachinePhase, Name};
use crate::coordination::Time;
use crate::protocol::worker::{Cause, Command, CommandBatch};
use crate::storage::records::CompletionShards;
use std::collections::BTreeMap;
use tracing::{debug, info};

/// Exited tasks that may stay on a machine, on average, until a new token lets them be forgotten.
const EXITED_A_MACHINE: usize = 4;

/// Whether a task's completion is known here only: its worker must not forget it yet.
pub(crate) fn unrecorded(
    jobs: &BTreeMap<Name, Job>,
    id: &Name,
    task: u32,
    cut: CompletionShards,
) -> bool {
    jobs.get(id).is_some_and(|j| {
        let completion_record = j
            .completion_records
            .get(task as usize / cut.tasks_per_shard);
        !j.ended && completion_record.is_some_and(|c| c.dirty.is_some() || c.in_flight)
    })
}

impl ClusterState {
    /// What a worker should be told now: in the answer to its report `reply`, or directly. Only
    /// what was never sent goes directly, and `forget` never does: it must not overtake a launch.
    pub(crate) fn commands(&mut self, name: &Name, reply: Option<u64>, now: Time) -> Vec<Command> {
        let Some(m) = self.machines.get_mut(name) else {
            return Vec::new();
        };
        let (token, acknowledged_token) = (self.token, m.token);
        // A leader whose lease may be over keeps tasks alive, but starts nothing.
        let starts = now < self.lease_valid_until;
        let cut = self.cut;
        let mut commands = Vec::new();
        for (key, place) in m.places.iter_mut() {
            if commands.len() >= MAX_COMMANDS {
                break;
            }
            let (task, attempt) = (format!("{}/{}", key.0, key.1), key.2);
            match place.stage {
                AllocationState::Pending => {}
                AllocationState::Launching | AllocationState::Observed(_) => {
                    if let Some(stop) = &mut place.stop {
                        if reply.is_some() || !stop.sent {
                            stop.sent = true;
                            let grace_s = stop.grace_s;
                            commands.push(Command::Stop {
                                task,
                                attempt,
                                grace_s,
                            });
                        }
                    } else if place.stage == AllocationState::Launching
                        && !place.recovered
                        && starts
                    {
                        let sent = place.direct_launch_token.is_some()
                            || place.launch_response_sequence.is_some();
                        if let Some(sequence) = reply {
                            place.launch_response_sequence = Some(sequence);
                        } else if !sent {
                            place.direct_launch_token = Some(token);
                        } else {
                            continue;
                        }
                        commands.push(Command::Start { task, attempt });
                    }
                }
                AllocationState::Exited(cause) => {
                    // A launch that went straight to the worker may come again, and after a
                    // `forget` it would start the task anew.
                    let safe = place
                        .direct_launch_token
                        .is_none_or(|t| acknowledged_token > t);
                    let kept = cause == Cause::Done && unrecorded(&self.jobs, &key.0, key.1, cut);
                    if reply.is_some() && safe && !kept {
                        commands.push(Command::Forget { task, attempt });
                    }
                }
            }
        }
        if !self.launched && commands.iter().any(Command::is_start) {
            self.launched = true;
            let after_s = now - self.elected_at;
            info!("the first launch, {after_s:.2} s after the records were read");
        }
        // Stops first: what they free, a launch behind them may take.
        commands.sort_by_key(|c| match c {
            Command::Stop { .. } => 0,
            Command::Forget { .. } => 1,
            Command::Start { .. } => 2,
        });
        commands
    }

    /// Sends straight to workers what should not wait for their next report. A leader whose lease
    /// may be over still stops tasks by this, but starts none.
    pub(crate) fn send_orders(&mut self, now: Time) {
        if self.deposed {
            return;
        }
        let names = std::mem::take(&mut self.to_order);
        for name in names {
            let Some(m) = self.machines.get(&name) else {
                continue;
            };
            if m.order_in_flight {
                // Its answer brings the machine back here.
                continue;
            }
            let reachable =
                m.phase == MachinePhase::Up && m.endpoint.is_some() && m.heard.is_some();
            if !reachable || now < m.no_orders_until {
                // The answer to its next report brings what there is.
                continue;
            }
            let commands = self.commands(&name, None, now);
            if !commands.is_empty() {
                self.order(&name, commands);
            }
        }
    }

    /// Sends commands (perhaps none: then only the token and a report are exchanged).
    pub(crate) fn order(&mut self, name: &Name, commands: Vec<Command>) {
        let token = self.token;
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        let Some(endpoint) = m.endpoint.clone() else {
            return;
        };
        m.order_in_flight = true;
        self.effects.push(Effect::SendCommands {
            machine: name.clone(),
            endpoint,
            orders: CommandBatch {
                token,
                incarnation: m.incarnation,
                commands,
            },
        });
    }

    pub fn commands_answered(&mut self, name: &Name, result: CommandOutcome, now: Time) {
        let pause = self.settings.cluster.workers.report_s;
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        m.order_in_flight = false;
        self.to_order.insert(name.clone());
        if let CommandOutcome::Executed(_) = result {
            m.acknowledges(true, now);
        }
        match result {
            CommandOutcome::Executed(r) | CommandOutcome::Rejected(Some(r)) => {
                if r.token > self.token {
                    self.deposed = true;
                } else if r.machine == **name {
                    self.apply_command_response(&r, now);
                }
            }
            // The rest goes with the answers to its reports; nothing is concluded.
            CommandOutcome::Rejected(None) | CommandOutcome::NotSent | CommandOutcome::Unknown => {
                m.no_orders_until = now + pause;
                m.unanswered = Some(now);
            }
        }
    }

    /// Draws a new token when launches that may still arrive hold something up.
    pub(crate) fn raise_token(&mut self, now: Time) {
        let workers = &self.settings.cluster.workers;
        if self.raising || now - self.raised_at < workers.lease_s / 2.0 {
            return;
        }
        let token = self.token;
        let held = |p: &Allocation| p.direct_launch_token == Some(token);
        let (mut exited, mut most, mut unwanted) = (0, 0, false);
        for m in self.machines.values() {
            let mut here = 0;
            for (key, p) in m.places.iter().filter(|(_, p)| held(p)) {
                match p.stage {
                    AllocationState::Exited(_) => here += 1,
                    AllocationState::Launching => {
                        let cancelled = || self.jobs.get(&key.0).is_none_or(|j| j.cancelled);
                        unwanted |= p.stop.is_some() || cancelled();
                    }
                    // Its process was back at once: only a new token proves the task gone.
                    AllocationState::Observed(_) => unwanted |= p.missing,
                    AllocationState::Pending => {}
                }
            }
            exited += here;
            most = most.max(here);
        }
        // Every worker reports a new token at once, so exited tasks must be worth it.
        let many = exited > (EXITED_A_MACHINE * self.machines.len()).max(MAX_COMMANDS / 4);
        if unwanted || many || most > MAX_COMMANDS / 4 {
            self.raising = true;
            self.effects.push(Effect::RaiseToken);
        }
    }

    pub fn token_raised(&mut self, token: Option<u64>, now: Time) {
        self.raising = false;
        self.raised_at = now;
        if let Some(token) = token.filter(|t| *t > self.token) {
            debug!("token {token}");
            self.token = token;
        }
    }
}

//! Executes the effects that the cluster manager decides on.

use super::{Controller, Role};
use crate::coordination::cluster::Effect;
use crate::coordination::election::ElectionRequest;
use crate::coordination::state::JobId;
use crate::protocol::ids::FencingToken;
use crate::service::io_thread_pool::CloudCall;
use std::sync::atomic::Ordering;

impl Controller {
    pub(super) fn execute(&mut self, effect: Effect) {
        let io_threads = &self.handles.io_threads;
        match effect {
            Effect::Write { id, transaction } => io_threads.write(id, transaction),
            Effect::SendCommands {
                machine,
                endpoint,
                commands,
            } => io_threads.send_commands(machine, &endpoint, &commands),
            Effect::RentMachines(rent) => io_threads.call_cloud(CloudCall::Rent(rent)),
            Effect::ReturnMachines(names) => io_threads.call_cloud(CloudCall::Return(names)),
            Effect::RaiseToken => {
                let term = FencingToken(self.term.load(Ordering::Relaxed));
                self.send_election_request(ElectionRequest::RaiseToken { term });
            }
            Effect::JobFinished { id, state } => self.final_states.insert(&id, state),
            Effect::ReadFinalStates(ids) => self.read_final_states(ids),
        }
    }

    /// Applies the final states that this controller remembers, and enqueues reads of the others.
    fn read_final_states(&mut self, ids: Vec<JobId>) {
        let now = self.now();
        let mut unknown = Vec::new();
        for id in ids {
            match (self.final_states.get(&id).copied(), &mut self.role) {
                (Some(state), Role::Leading(manager)) => {
                    manager.final_state_recorded(&id, state, now);
                }
                _ => unknown.push(id),
            }
        }
        self.handles.io_threads.read_final_states(unknown);
    }
}

//! Dispatches each message to its handler.

use super::Controller;
use crate::protocol::cloud::MachineType;
use crate::service::messages::{IoOutcome, Message};
use crate::storage::records::JobFinalState;

impl Controller {
    pub(super) fn handle_message(&mut self, message: Message) {
        match message {
            Message::Election(event) => self.handle_election_event(event),
            Message::Heartbeat(received) => self.answer_heartbeat(received),
            Message::WriteFence(write_fence) => self.apply_write_fence(write_fence),
            Message::ReadLocalView { id, reply } => {
                let _ = reply.try_send(self.local_job_view(&id));
            }
            Message::JobsAccepted { jobs } => self.apply_accepted_jobs(jobs),
            Message::JobsFinished { final_states } => {
                for JobFinalState { job, state } in final_states {
                    self.apply_final_state(&job, state);
                }
            }
            Message::FinalStatesObserved { final_states } => {
                for JobFinalState { job, state } in final_states {
                    self.final_states.insert(&job, state);
                }
            }
            Message::RecordsLoaded {
                token,
                records,
                sent_at,
            } => self.start_leading(token, records, sent_at),
            Message::RecordsRead { token, sent_at } => self.apply_records_read(token, sent_at),
            Message::Io(outcome) => self.apply_io_outcome(outcome),
            Message::MachineTypes(types) => self.apply_machine_types(types),
            Message::PeersProbed(reachability) => self.apply_peer_reachability(reachability),
            Message::ReceivesHeartbeats { respond } => self.answer_receives_heartbeats(respond),
            Message::PromiseRequested { token, respond } => self.answer_promise(token, respond),
            Message::PromisesCollected { token } => self.apply_promises_collected(token),
            Message::PeerCancellations {
                peer,
                answer,
                accepted_jobs,
            } => self.apply_peer_cancellations(&peer, answer, accepted_jobs),
        }
    }

    /// Applies the outcome of an operation. It is dropped if this controller does not lead any more: the next
    /// leader reads the records.
    fn apply_io_outcome(&mut self, outcome: IoOutcome) {
        let now = self.now();
        let Some(manager) = self.role.manager_mut() else {
            return;
        };
        match outcome {
            IoOutcome::WriteFinished { id, outcome } => manager.write_finished(id, outcome, now),
            IoOutcome::CommandsFinished { machine, outcome } => {
                manager.commands_finished(&machine, outcome, now);
            }
            IoOutcome::FinalStatesRead { records } => manager.final_states_read(records, now),
            IoOutcome::MachinesRented { request, machines } => {
                manager.machines_rented(&request, machines, now);
            }
            IoOutcome::MachinesReturned {
                machines,
                confirmed,
            } => manager.machines_returned(&machines, confirmed, now),
            IoOutcome::MachinesListed(machines) => manager.machines_listed(&machines, now),
        }
    }

    fn apply_machine_types(&mut self, types: Vec<MachineType>) {
        if let Some(manager) = self.role.manager_mut() {
            manager.set_machine_types(types.clone());
        }
        self.machine_types = types;
    }
}

//! Sends command batches directly to workers and classifies their answers.

use crate::coordination::cluster::CommandOutcome;
use crate::coordination::state::MachineName;
use crate::protocol::worker::{CommandBatch, Heartbeat};
use crate::service::messages::{IoOutcome, Message};
use crate::settings::Settings;
use crate::transport::client::HttpOutcome;
use crate::transport::direct_commands::DirectCommands;
use crate::transport::runtime::Runtime;
use crossbeam::channel::Sender;
use std::time::Duration;

/// The timeout of a command batch: a worker answers at once or hangs. Commands that did not arrive are
/// sent again in the answer to the worker's next heartbeat.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(1500);
/// The maximum size of the heartbeat in a worker's answer.
const MAX_HEARTBEAT_BYTES: usize = 1024 * 1024;

/// Sends command batches without waiting for their answers.
pub(super) struct CommandDispatcher {
    inbox: Sender<Message>,
    requests: DirectCommands,
}

impl CommandDispatcher {
    pub(super) fn new(
        settings: &Settings,
        runtime: &Runtime,
        inbox: &Sender<Message>,
    ) -> CommandDispatcher {
        let connections = settings.command_connections();
        CommandDispatcher {
            inbox: inbox.clone(),
            requests: DirectCommands::new(
                runtime,
                connections,
                COMMAND_TIMEOUT,
                MAX_HEARTBEAT_BYTES,
            ),
        }
    }

    pub(super) fn send(&self, machine: MachineName, endpoint: &str, commands: &CommandBatch) {
        let inbox = self.inbox.clone();
        let body = serde_json::to_vec(commands).expect("serializing plain data cannot fail");
        let deliver_answer = move |answer| {
            let outcome = IoOutcome::CommandsAnswered {
                machine: machine.clone(),
                outcome: outcome_of(&answer),
            };
            inbox.try_send(Message::Io(outcome)).map_err(|_| answer)
        };
        self.requests
            .post(endpoint, "/orders", body, Box::new(deliver_answer));
    }
}

fn outcome_of(answer: &HttpOutcome) -> CommandOutcome {
    match answer {
        HttpOutcome::Response(200, _) => match answer.ok::<Heartbeat>() {
            Some(heartbeat) => CommandOutcome::Executed(heartbeat),
            None => CommandOutcome::Unknown,
        },
        HttpOutcome::Response(409, body) => {
            CommandOutcome::Rejected(serde_json::from_slice(body).ok())
        }
        HttpOutcome::Response(400, _) => CommandOutcome::Rejected(None),
        HttpOutcome::NotSent => CommandOutcome::NotSent,
        HttpOutcome::Response(..) | HttpOutcome::Indeterminate => CommandOutcome::Unknown,
    }
}

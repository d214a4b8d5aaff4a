//! Sends command batches directly to workers and classifies their responses.

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

/// The timeout of a command batch: a worker responds at once or hangs. Commands that did not arrive are
/// sent again in the response to the worker's next heartbeat.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(1500);
/// The maximum size of the heartbeat in a worker's response.
const MAX_HEARTBEAT_BYTES: usize = 1024 * 1024;

/// Sends command batches without waiting for their responses.
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
        let deliver_response = move |response| {
            let outcome = IoOutcome::CommandsFinished {
                machine: machine.clone(),
                outcome: outcome_of(&response),
            };
            inbox.try_send(Message::Io(outcome)).map_err(|_| response)
        };
        self.requests
            .post(endpoint, "/orders", body, Box::new(deliver_response));
    }
}

fn outcome_of(response: &HttpOutcome) -> CommandOutcome {
    match response {
        HttpOutcome::Response(200, _) => match response.ok::<Heartbeat>() {
            Some(heartbeat) => CommandOutcome::Executed(heartbeat),
            None => CommandOutcome::Indeterminate,
        },
        HttpOutcome::Response(409, body) => {
            CommandOutcome::Rejected(serde_json::from_slice(body).ok())
        }
        HttpOutcome::Response(400, _) => CommandOutcome::Rejected(None),
        HttpOutcome::NotSent => CommandOutcome::NotSent,
        HttpOutcome::Response(..) | HttpOutcome::Indeterminate => CommandOutcome::Indeterminate,
    }
}

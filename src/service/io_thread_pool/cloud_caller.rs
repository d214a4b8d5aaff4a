//! Makes the leader's calls to the cloud API.

use crate::protocol::cloud::RentalRequest;
use crate::service::cloud_client::CloudClient;
use crate::service::messages::{IoOutcome, Message};
use crate::service::threads::spawn;
use crate::settings::Settings;
use crossbeam::channel::{bounded, Receiver, Sender};

/// Threads that call the cloud. Each makes one call at a time.
const CALLERS: usize = 3;
/// Calls that may wait in the queue: a rental of each offer, and a return every half second.
const QUEUE_CAPACITY: usize = 256;

/// A call to the cloud.
pub enum CloudCall {
    /// Rent machines.
    Rent(RentalRequest),
    /// Return these machines.
    Return(Vec<String>),
    /// List all machines.
    List,
}

impl CloudCall {
    /// The outcome of a call that could not be enqueued; `None` if its outcome is not awaited.
    pub(super) fn into_failure(self) -> Option<IoOutcome> {
        match self {
            CloudCall::Rent(rent) => Some(IoOutcome::MachinesRented {
                request: rent.idempotency_key,
                machines: None,
            }),
            CloudCall::Return(machines) => Some(IoOutcome::MachinesReturned {
                machines,
                confirmed: false,
            }),
            CloudCall::List => None,
        }
    }
}

/// Starts the threads and returns their queue.
pub(super) fn start(
    settings: &Settings,
    inbox: &Sender<Message>,
) -> anyhow::Result<Sender<CloudCall>> {
    let (sender, receiver) = bounded(QUEUE_CAPACITY);
    for _ in 0..CALLERS {
        let cloud = CloudClient::new(settings);
        let (calls, inbox) = (receiver.clone(), inbox.clone());
        spawn("cloud", move || execute_all(&cloud, &calls, &inbox))?;
    }
    Ok(sender)
}

fn execute_all(cloud: &CloudClient, calls: &Receiver<CloudCall>, inbox: &Sender<Message>) {
    for call in calls {
        if let Some(outcome) = execute(cloud, call) {
            let _ = inbox.send(Message::Io(outcome));
        }
    }
}

fn execute(cloud: &CloudClient, call: CloudCall) -> Option<IoOutcome> {
    match call {
        CloudCall::Rent(rent) => {
            let machines = cloud.rent(&rent);
            Some(IoOutcome::MachinesRented {
                request: rent.idempotency_key,
                machines,
            })
        }
        CloudCall::Return(machines) => {
            let confirmed = cloud.return_machines(&machines);
            Some(IoOutcome::MachinesReturned {
                machines,
                confirmed,
            })
        }
        CloudCall::List => cloud.list().map(IoOutcome::MachinesListed),
    }
}

//! What the other actors tell the controller.

use crate::coordination::cluster::cancellation_evidence::PeerAnswer;
use crate::coordination::cluster::recovery::Records;
use crate::coordination::cluster::{CommandOutcome, WriteOutcome};
use crate::coordination::election::ElectionEvent;
use crate::coordination::requests::Located;
use crate::coordination::state::Name;
use crate::coordination::Time;
use crate::protocol::cloud::{ListedMachine, MachineType};
use crate::protocol::job::JobState;
use crate::protocol::worker::Heartbeat;
use crate::storage::records::{EndRecord, OpenRecord};
use crate::transport::Responder;
use crossbeam::channel::Sender;
use stairstage_upgrade::fence::WriteFence;

/// An event for the controller.
pub enum Message {
    Election(ElectionEvent),
    Report {
        report: Box<Heartbeat>,
        body: Vec<u8>,
        passed_on: bool,
        respond: Responder,
    },
    /// What this controller may do at the active version.
    WriteFence(WriteFence),
    /// What is known of a job here, and who leads.
    Locate(String, Sender<Located>),
    /// Jobs that were accepted or cancelled, as their records say, with the versions of these.
    JobsAccepted(Vec<(OpenRecord, u64)>),
    /// How jobs have ended, as the state service or the leader says.
    JobsEnded(Vec<(String, JobState)>),
    /// Ends that are on record, as a watch tells.
    EndsRecorded(Vec<(String, JobState)>),
    /// How jobs ended that were looked up, if they did.
    EndsFound(Vec<(Name, Option<EndRecord>)>),
    /// The records as read for a term, by a request that was sent then.
    RecordsLoaded {
        token: u64,
        records: Records,
        sent: Time,
    },
    /// All changes of open jobs that were on record at `sent` have been handed in.
    RecordsRead {
        token: u64,
        sent: Time,
    },
    Written(u64, WriteOutcome),
    CommandsAnswered(Name, CommandOutcome),
    MachinesRented(String, Option<Vec<String>>),
    MachinesReturned(Vec<String>, bool),
    MachinesListed(Vec<ListedMachine>),
    MachineTypes(Vec<MachineType>),
    /// Whether other controllers are reached by a leader to which no worker reports.
    PeersProbed(PeerReachability),
    /// Another controller asks whether any worker reports here.
    HearsWorkers(Responder),
    /// A new leader asks that no report be answered here with a lower token than its own.
    Promise(u64, Responder),
    /// All others have given that promise to this term's leader.
    Promised(u64),
    /// A peer has told which cancellations it has confirmed; `None` is no answer.
    PeerCancellations(String, Option<PeerAnswer>),
}

/// Whether other controllers are reached, and whether workers report to them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerReachability {
    /// No other controller answers.
    Unreachable,
    /// Some do, but no worker reports to them.
    ReachableWithoutWorkers,
    /// Workers report to one that answers.
    ReachableWithWorkers,
}

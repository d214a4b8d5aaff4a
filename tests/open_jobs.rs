//! The bound on the memory that open jobs may take on a leader.

mod common;

use common::{parse_submission, request_context, submission, SETTINGS};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;
use stairstage::coordination::cluster::accept_limits::AcceptLimits;
use stairstage::coordination::requests::{
    Context, Request, RequestEffect, RequestEvent, StoreAnswer, StoreCall,
};
use stairstage::protocol::ids::FencingToken;
use stairstage::settings::{Peer, Settings};
use stairstage::storage::open_job_budget::{AcceptLimit, OpenJobBudget};
use stairstage::storage::records::OpenRecord;
use stairstage_upgrade::fence::WriteFence;
use std::collections::VecDeque;

/// The settings of a cluster with this number of controllers.
fn settings(controllers: usize) -> Settings {
    let mut settings = Settings::parse("test", SETTINGS).unwrap();
    for number in 1..controllers {
        settings.peers.push(Peer {
            name: format!("n{number}"),
            zone: "z".into(),
            address: "127.0.0.1:9".parse().unwrap(),
        });
    }
    settings
}

/// The context of a submission while no further job may be open.
fn full() -> Context {
    Context {
        free_job_bytes: 0,
        ..request_context(WriteFence::Unstaged)
    }
}

/// Submits a job while no further job may be open, with this open record. Returns the status and the value
/// of Retry-After.
fn submit_when_full(record: Option<OpenRecord>) -> (u16, Option<u32>) {
    let body = submission("req-1", "sweep", "normal", 4).to_string();
    let (mut request, mut effects) = Request::submission(body.as_bytes(), full());
    loop {
        match effects.pop().expect("an effect") {
            RequestEffect::Store(StoreCall::Read(key)) => {
                let found = record.as_ref().filter(|_| key == "open/req-1");
                let item = found.map(|record| stairstage::protocol::store::VersionedValue {
                    key,
                    value: json!(record),
                    version: 1,
                });
                effects = request.on_event(RequestEvent::Store(StoreAnswer::Read(Ok(item))));
            }
            RequestEffect::Answer(answer) => return (answer.status(), answer.retry_after()),
            other => panic!("nothing is written: {other:?}"),
        }
    }
}

/// Guards against accepted jobs that no leader can hold.
#[test]
fn submission_beyond_the_memory_for_open_jobs_is_refused_before_it_is_recorded() {
    let (status, retry_after) = submit_when_full(None);
    assert_eq!(status, 503);
    assert!(retry_after.is_some());
}

#[test]
fn repeated_submission_is_answered_while_no_further_job_may_be_open() {
    let spec = parse_submission(&submission("req-1", "sweep", "normal", 4));
    let record = OpenRecord::accepted(spec, 0);
    assert_eq!(submit_when_full(Some(record)), (200, None));
}

#[test]
fn controllers_that_have_heard_from_no_leader_accept_some_jobs() {
    for controllers in 1..=7 {
        let settings = settings(controllers);
        let free = OpenJobBudget::new(&settings, 1).free_bytes();
        let max_bytes = AcceptLimits::new(&settings).max_bytes();
        assert!(free > 0 && free * controllers as u64 <= max_bytes);
    }
}

/// A step of a history of submissions.
#[derive(Clone, Debug)]
enum Step {
    /// A controller gets submissions of jobs that take this memory, as many as it accepts.
    Submit { controller: usize, bytes: u64 },
    /// A share of the jobs is finished.
    Finish { share: f64 },
    /// The leader reads the records.
    ReadRecords,
    /// The leader sends a controller its next limit, or asks for its first report.
    Send { controller: usize },
    /// A controller receives the oldest message that is on its way to it. Its report may reach the leader.
    Deliver { controller: usize, answered: bool },
    /// The oldest message on its way to a controller is lost.
    Lose { controller: usize },
    /// A controller's process restarts. The leader has read the records by then.
    Restart { controller: usize },
    /// Another leader begins its term and reads the records. Messages of the former one may still arrive.
    Elect,
}

fn step() -> impl Strategy<Value = Step> {
    let controller = 0usize..7;
    prop_oneof![
        4 => (controller.clone(), 1_000u64..400_000).prop_map(|(controller, bytes)| Step::Submit { controller, bytes }),
        1 => (0.0..1.0).prop_map(|share| Step::Finish { share }),
        3 => Just(Step::ReadRecords),
        4 => controller.clone().prop_map(|controller| Step::Send { controller }),
        4 => (controller.clone(), prop::bool::weighted(0.8)).prop_map(|(controller, answered)| Step::Deliver { controller, answered }),
        1 => controller.clone().prop_map(|controller| Step::Lose { controller }),
        1 => controller.prop_map(|controller| Step::Restart { controller }),
        1 => Just(Step::Elect),
    ]
}

/// A message of a leader to a controller: the incarnation that it knows, and its limit.
#[derive(Clone, Copy)]
struct Message {
    incarnation: u64,
    limit: AcceptLimit,
}

/// A controller, and the messages on their way to it.
struct Controller {
    name: String,
    budget: OpenJobBudget,
    incoming: VecDeque<(FencingToken, Option<Message>)>,
    /// The incarnation that the leader knows.
    known_incarnation: u64,
}

/// Controllers that accept jobs, and their leader.
struct Cluster {
    settings: Settings,
    controllers: Vec<Controller>,
    limits: AcceptLimits,
    token: FencingToken,
    now: f64,
    incarnations: u64,
    open_bytes: u64,
    /// The memory of the open jobs that the leader has read.
    read_bytes: u64,
}

impl Cluster {
    fn new(controllers: usize) -> Cluster {
        let settings = settings(controllers);
        let peers = settings.peers.iter().map(|peer| peer.name.clone());
        let names: Vec<String> = [settings.name.clone()].into_iter().chain(peers).collect();
        let controllers = names
            .into_iter()
            .zip(1..)
            .map(|(name, incarnation)| Controller {
                name,
                budget: OpenJobBudget::new(&settings, incarnation),
                incoming: VecDeque::new(),
                known_incarnation: 0,
            });
        let controllers: Vec<Controller> = controllers.collect();
        Cluster {
            incarnations: controllers.len() as u64,
            controllers,
            limits: AcceptLimits::new(&settings),
            settings,
            token: FencingToken(1),
            now: 0.0,
            open_bytes: 0,
            read_bytes: 0,
        }
    }

    fn read_records(&mut self) {
        self.read_bytes = self.open_bytes;
        self.limits.records_read(self.now);
    }

    fn send(&mut self, i: usize) {
        let controller = &mut self.controllers[i];
        let bytes = self.limits.next_limit(&controller.name, self.read_bytes);
        let message = bytes.map(|bytes| Message {
            incarnation: controller.known_incarnation,
            limit: AcceptLimit {
                token: self.token,
                bytes,
            },
        });
        controller.incoming.push_back((self.token, message));
    }

    fn deliver(&mut self, i: usize, answered: bool) {
        let controller = &mut self.controllers[i];
        let Some((token, message)) = controller.incoming.pop_front() else {
            return;
        };
        if let Some(message) = message {
            controller
                .budget
                .set_limit(message.incarnation, message.limit);
        }
        if answered && token == self.token {
            let report = controller.budget.report();
            controller.known_incarnation = report.incarnation;
            self.limits.reported(&controller.name, report, self.now);
        }
    }

    fn apply(&mut self, step: &Step) {
        self.now += 1.0;
        let count = self.controllers.len();
        match *step {
            Step::Submit { controller, bytes } => {
                let budget = &self.controllers[controller % count].budget;
                while bytes <= budget.free_bytes() {
                    budget.accepted(bytes);
                    self.open_bytes += bytes;
                }
            }
            Step::Finish { share } => {
                let finished = (share * self.read_bytes as f64) as u64;
                self.open_bytes -= finished;
                self.read_bytes -= finished;
            }
            Step::ReadRecords => self.read_records(),
            Step::Send { controller } => self.send(controller % count),
            Step::Deliver {
                controller,
                answered,
            } => self.deliver(controller % count, answered),
            Step::Lose { controller } => {
                self.controllers[controller % count].incoming.pop_front();
            }
            Step::Restart { controller } => {
                self.read_records();
                self.incarnations += 1;
                let controller = &mut self.controllers[controller % count];
                controller.budget = OpenJobBudget::new(&self.settings, self.incarnations);
            }
            Step::Elect => {
                self.token = FencingToken(self.token.0 + 1);
                self.limits = AcceptLimits::new(&self.settings);
                self.read_records();
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        rng_seed: RngSeed::Fixed(40),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Open jobs never take more memory than is allowed, with one to seven controllers, whatever messages
    /// between them are lost or late, and with changes of leader.
    #[test]
    fn open_jobs_stay_within_their_memory(
        controllers in 1usize..=7,
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut cluster = Cluster::new(controllers);
        let max_bytes = cluster.limits.max_bytes();
        for step in steps.iter().filter(|step| !matches!(step, Step::Restart { .. })) {
            cluster.apply(step);
            prop_assert!(cluster.open_bytes <= max_bytes, "{} of {}", cluster.open_bytes, max_bytes);
        }
    }

    /// Once a controller's messages arrive, it may use what finished jobs have freed, also after its
    /// process has restarted.
    #[test]
    fn freed_memory_is_used_again_after_lost_messages_and_restarts(
        controllers in 1usize..=7,
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut cluster = Cluster::new(controllers);
        steps.iter().for_each(|step| cluster.apply(step));
        cluster.open_bytes = 0;
        for _ in 0..4 {
            for i in 0..controllers {
                cluster.now += 1.0;
                cluster.controllers[i].incoming.clear();
                cluster.send(i);
                cluster.deliver(i, true);
            }
            cluster.now += 1.0;
            cluster.read_records();
        }
        for controller in &cluster.controllers {
            let first = OpenJobBudget::new(&cluster.settings, 0).free_bytes();
            prop_assert_eq!(controller.budget.free_bytes(), first);
        }
    }
}

//! Three nodes with their batchers, and who leads.

use crate::jobs;
use crate::state_service::StateService;
use stairstage::coordination::requests::polls::{Limits, Poll, PollBatcher, PollEffect};
use stairstage::coordination::requests::{Answer, RetryReason, StoreAnswer, StoreCall};
use stairstage::protocol::job::{JobState, JobStatus};
use stairstage::storage::key_value_store::{CommitOutcome, Unavailable};
use std::collections::{BTreeMap, VecDeque};

/// Controllers that users ask.
pub(crate) const NODES: usize = 3;
/// Seconds of a step.
const STEP_S: f64 = 0.01;
/// Seconds that most calls take.
const CALL_S: f64 = 0.01;
/// Seconds that the others take.
const SLOW_CALL_S: f64 = 0.3;
/// One of so many calls is slow.
const SLOW_EVERY: u64 = 50;
/// Requests a second that the state service takes from all.
const RPS: f64 = 200.0;
/// Conditions of a transaction.
const CONDITIONS: usize = 32;
/// The maximum number of records in a page.
const MAX_PAGE_LEN: usize = 400;
/// Records in a page for each poll that is queued.
const PAGE_LEN_PER_QUEUED: usize = 16;
/// A leader leads for so long.
const LED_S: f64 = 15.0;
/// Then nobody leads for so long.
const UNLED_S: f64 = 6.0;
/// The last node can't ask the state service in this part of the scenario.
const CUT_OFF_S: std::ops::Range<f64> = 20.0..100.0;

/// Who leads.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Leadership {
    /// One node after the other, with spells without any.
    Changes,
    Nobody,
}

/// A controller, as far as its polls go.
struct Node {
    batcher: PollBatcher,
    /// A call to the state service, and when its answer comes.
    call: Option<(f64, StoreCall)>,
    /// Whose polls it has: of users, or of another node by its number there.
    askers: BTreeMap<u64, Asker>,
}

/// Who gets the answer to a poll.
#[derive(Clone, Copy)]
enum Asker {
    User(usize),
    /// A node that can't ask the state service.
    Node {
        node: usize,
        number: u64,
    },
    /// A node that asks the leader first, for a user.
    Follower {
        node: usize,
        job: usize,
    },
}

/// An answer that a user has received.
pub(crate) struct DeliveredAnswer {
    pub job: usize,
    pub answer: Answer,
}

/// The nodes, the state service and the answers under way.
pub(crate) struct Cluster {
    pub now: f64,
    pub service: StateService,
    nodes: Vec<Node>,
    leadership: Leadership,
    cut_off: bool,
    limits: Limits,
    counter: u64,
    delivered: Vec<DeliveredAnswer>,
    /// When requests were sent, for the last second, and the maximum in any second.
    sent: VecDeque<f64>,
    max_sent_per_s: usize,
}

impl Cluster {
    pub(crate) fn new(seed: u64, jobs: usize, leadership: Leadership, cut_off: bool) -> Cluster {
        let limits = Limits {
            requests_per_s: 0.4 * RPS / NODES as f64,
            max_compares: CONDITIONS,
            max_jobs: 10_000,
        };
        let node = |_| Node {
            batcher: PollBatcher::new(limits),
            call: None,
            askers: BTreeMap::new(),
        };
        Cluster {
            now: 0.0,
            service: StateService::new(seed, RPS, jobs),
            nodes: (0..NODES).map(node).collect(),
            leadership,
            cut_off,
            limits,
            counter: 0,
            delivered: Vec::new(),
            sent: VecDeque::new(),
            max_sent_per_s: 0,
        }
    }

    /// Polls that a node can compare in a second, each with two conditions.
    pub(crate) fn polls_per_s(&self) -> f64 {
        self.reads_per_s() * (CONDITIONS / 2) as f64
    }

    /// Half of a node's requests.
    pub(crate) fn reads_per_s(&self) -> f64 {
        self.limits.requests_per_s / 2.0
    }

    /// Requests that read all records of one kind: full pages, or as many as it takes for few.
    pub(crate) fn pages(&self, jobs: usize) -> usize {
        jobs.div_ceil(MAX_PAGE_LEN) + MAX_PAGE_LEN / PAGE_LEN_PER_QUEUED
    }

    /// What the nodes may send in a second, together.
    pub(crate) fn requests_share(&self) -> f64 {
        self.limits.requests_per_s * NODES as f64
    }

    /// The most requests that the nodes have sent in any second.
    pub(crate) fn max_requests_per_s(&self) -> usize {
        self.max_sent_per_s
    }

    /// The node that leads at the moment.
    fn leader(&self) -> Option<usize> {
        let turn_s = LED_S + UNLED_S;
        let (turn, within) = ((self.now / turn_s) as usize, self.now % turn_s);
        let leads = self.leadership == Leadership::Changes && within < LED_S;
        leads.then_some(turn % NODES)
    }

    /// Whether a node does not reach the state service at the moment.
    fn is_cut_off(&self, node: usize) -> bool {
        self.cut_off && node == NODES - 1 && CUT_OFF_S.contains(&self.now)
    }

    /// A user asks a node, which asks the leader, if there is one.
    pub(crate) fn ask(&mut self, node: usize, job: usize) {
        let user = Asker::User(job);
        match self.leader() {
            Some(leader) if leader == node => {
                self.ask_batcher(node, job, self.leader_status(job), user);
            }
            Some(leader) => {
                let follower = Asker::Follower { node, job };
                self.ask_batcher(leader, job, self.leader_status(job), follower);
            }
            None => self.ask_batcher(node, job, None, user),
        }
    }

    /// The status of an open job at a leader.
    fn leader_status(&self, job: usize) -> Option<JobStatus> {
        let is_known = jobs::is_submitted(job) && !self.service.ends.contains_key(&job);
        is_known.then(|| JobStatus {
            id: jobs::id_of(job),
            state: JobState::Running,
            done: 0,
            running: 1,
        })
    }

    /// A node polls the records.
    fn ask_batcher(
        &mut self,
        node: usize,
        job: usize,
        leader_status: Option<JobStatus>,
        asker: Asker,
    ) {
        self.counter += 1;
        let poll = Poll {
            job: jobs::id_of(job),
            leader_status,
        };
        let number = self.counter;
        self.nodes[node].askers.insert(number, asker);
        let effects = self.nodes[node].batcher.enqueue(number, poll, self.now);
        self.carry_out(node, effects);
    }

    /// Takes the answers that users have received since the last call.
    pub(crate) fn take_delivered(&mut self) -> Vec<DeliveredAnswer> {
        std::mem::take(&mut self.delivered)
    }

    /// Time passes: calls are answered, and batchers tick.
    pub(crate) fn step(&mut self) {
        self.now += STEP_S;
        self.service.pass(STEP_S, self.now);
        for node in 0..NODES {
            self.receive(node);
            let effects = self.nodes[node].batcher.tick(self.now);
            self.carry_out(node, effects);
        }
    }

    /// A node gets the answer to its call, if that is due.
    fn receive(&mut self, node: usize) {
        let is_due = |call: &mut (f64, StoreCall)| call.0 <= self.now;
        let Some((_, call)) = self.nodes[node].call.take_if(is_due) else {
            return;
        };
        let answer = match (self.is_cut_off(node), &call) {
            (false, _) => self.service.answer(&call, self.now),
            (true, StoreCall::Commit(_)) => StoreAnswer::Committed(CommitOutcome::Rejected),
            (true, StoreCall::Read(_)) => StoreAnswer::Read(Err(Unavailable)),
            (true, StoreCall::List { .. }) => StoreAnswer::Listed(Err(Unavailable)),
        };
        let effects = self.nodes[node].batcher.on_answer(answer, self.now);
        self.carry_out(node, effects);
    }

    /// Carries out what a batcher asks for.
    fn carry_out(&mut self, node: usize, effects: Vec<PollEffect>) {
        for effect in effects {
            match effect {
                PollEffect::Store(call) => self.send(node, call),
                PollEffect::FinalStatesRecorded(..) => {}
                PollEffect::Answer(number, answer) => {
                    let asker = self.nodes[node].askers.remove(&number).expect("was asked");
                    self.answer(asker, answer);
                }
                PollEffect::Forward(number) => self.forward(node, number),
            }
        }
    }

    /// A node sends a call.
    fn send(&mut self, node: usize, call: StoreCall) {
        self.sent.push_back(self.now);
        self.sent.retain(|at| *at > self.now - 1.0);
        self.max_sent_per_s = self.max_sent_per_s.max(self.sent.len());
        self.counter += 1;
        let takes_s = match self.counter % SLOW_EVERY {
            0 => SLOW_CALL_S,
            _ => CALL_S,
        };
        self.nodes[node].call = Some((self.now + takes_s, call));
    }

    /// One that can't ask the state service asks the next node, once.
    fn forward(&mut self, node: usize, number: u64) {
        match self.nodes[node].askers[&number] {
            Asker::User(job) => {
                let asker = Asker::Node { node, number };
                self.ask_batcher((node + 1) % NODES, job, None, asker);
            }
            asker @ (Asker::Node { .. } | Asker::Follower { .. }) => {
                self.nodes[node].askers.remove(&number);
                self.answer(
                    asker,
                    Answer::RetryLater(RetryReason::StateServiceUnavailable),
                );
            }
        }
    }

    /// An answer goes to whoever asked.
    fn answer(&mut self, asker: Asker, answer: Answer) {
        match asker {
            Asker::User(job) => self.delivered.push(DeliveredAnswer { job, answer }),
            // What the leader can't answer now, the node looks up itself.
            Asker::Follower { node, job } if answer.status() == 503 => {
                self.ask_batcher(node, job, None, Asker::User(job));
            }
            Asker::Follower { job, .. } => self.delivered.push(DeliveredAnswer { job, answer }),
            Asker::Node { node, number } => {
                let first = self.nodes[node].askers.remove(&number).expect("was asked");
                self.answer(first, answer);
            }
        }
    }
}

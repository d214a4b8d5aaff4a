//! Three controllers with their poll batchers, and their leader.

use crate::jobs;
use crate::state_service::StateService;
use stairstage::coordination::requests::polls::{Limits, Poll, PollBatcher, PollEffect};
use stairstage::coordination::requests::{Answer, RetryReason, StoreAnswer, StoreCall};
use stairstage::protocol::job::{JobState, JobStatus};
use stairstage::storage::key_value_store::{CommitOutcome, Unavailable};
use std::collections::{BTreeMap, VecDeque};

/// Number of controllers.
pub(crate) const CONTROLLERS: usize = 3;
/// Seconds per simulation step.
const STEP_S: f64 = 0.01;
/// Seconds that most calls take.
const CALL_S: f64 = 0.01;
/// Seconds that a slow call takes.
const SLOW_CALL_S: f64 = 0.3;
/// One in this many calls is slow.
const SLOW_EVERY: u64 = 50;
/// The request limit of the state service per second, for all clients.
const RPS: f64 = 200.0;
/// The maximum number of conditions in a transaction.
const MAX_CONDITIONS: usize = 32;
/// The maximum number of records in a page.
const MAX_PAGE_LEN: usize = 400;
/// Records per page for each queued poll.
const PAGE_LEN_PER_QUEUED: usize = 16;
/// The time that each leader leads.
const LEADER_S: f64 = 15.0;
/// The time without a leader after that.
const NO_LEADER_S: f64 = 6.0;
/// The time range in which the last controller can't reach the state service.
const DISCONNECTED_S: std::ops::Range<f64> = 20.0..100.0;

/// How leadership changes during a scenario.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Leadership {
    /// The controllers lead in turn, with times without a leader in between.
    Changes,
    /// There is never a leader.
    None,
}

/// The state of a controller that its polls use.
struct Controller {
    batcher: PollBatcher,
    /// The call to the state service in progress, and when its response arrives.
    call: Option<(f64, StoreCall)>,
    /// Who gets the answer to each queued poll, by poll number.
    requesters: BTreeMap<u64, Requester>,
}

/// Who gets the answer to a poll.
#[derive(Clone, Copy)]
enum Requester {
    User(usize),
    /// A controller that can't reach the state service; `number` is its poll.
    Controller {
        controller: usize,
        number: u64,
    },
    /// A controller that forwards a user's poll to the leader first.
    Follower {
        controller: usize,
        job: usize,
    },
}

/// An answer that a user has received.
pub(crate) struct DeliveredAnswer {
    pub job: usize,
    pub answer: Answer,
}

/// The controllers, the state service and the answers that users have not taken yet.
pub(crate) struct Cluster {
    pub now: f64,
    pub service: StateService,
    controllers: Vec<Controller>,
    leadership: Leadership,
    disconnected: bool,
    limits: Limits,
    counter: u64,
    delivered: Vec<DeliveredAnswer>,
    /// When the requests of the last second were sent, and the maximum in any second.
    sent: VecDeque<f64>,
    max_sent_per_s: usize,
}

impl Cluster {
    pub(crate) fn new(
        seed: u64,
        jobs: usize,
        leadership: Leadership,
        disconnected: bool,
    ) -> Cluster {
        let limits = Limits {
            requests_per_s: 0.4 * RPS / CONTROLLERS as f64,
            max_compares: MAX_CONDITIONS,
            max_jobs: 10_000,
            confirmation_s: 15.0,
        };
        let controller = |_| Controller {
            batcher: PollBatcher::new(limits),
            call: None,
            requesters: BTreeMap::new(),
        };
        Cluster {
            now: 0.0,
            service: StateService::new(seed, RPS, jobs),
            controllers: (0..CONTROLLERS).map(controller).collect(),
            leadership,
            disconnected,
            limits,
            counter: 0,
            delivered: Vec::new(),
            sent: VecDeque::new(),
            max_sent_per_s: 0,
        }
    }

    /// Polls that a controller can compare per second, with two conditions each.
    pub(crate) fn polls_per_s(&self) -> f64 {
        self.reads_per_s() * (MAX_CONDITIONS / 2) as f64
    }

    /// Half of a controller's share of requests per second.
    pub(crate) fn reads_per_s(&self) -> f64 {
        self.limits.requests_per_s / 2.0
    }

    /// Requests needed to read all records of one kind: the full pages, plus the smaller pages that
    /// are read while few polls are queued.
    pub(crate) fn pages(&self, jobs: usize) -> usize {
        jobs.div_ceil(MAX_PAGE_LEN) + MAX_PAGE_LEN / PAGE_LEN_PER_QUEUED
    }

    /// The requests that all controllers together may send per second.
    pub(crate) fn requests_share(&self) -> f64 {
        self.limits.requests_per_s * CONTROLLERS as f64
    }

    /// The maximum number of requests that the controllers have sent in any second.
    pub(crate) fn max_requests_per_s(&self) -> usize {
        self.max_sent_per_s
    }

    /// The current leader.
    fn leader(&self) -> Option<usize> {
        let turn_s = LEADER_S + NO_LEADER_S;
        let (turn, within) = ((self.now / turn_s) as usize, self.now % turn_s);
        let leads = self.leadership == Leadership::Changes && within < LEADER_S;
        leads.then_some(turn % CONTROLLERS)
    }

    /// Whether a controller can't reach the state service now.
    fn is_disconnected(&self, controller: usize) -> bool {
        self.disconnected && controller == CONTROLLERS - 1 && DISCONNECTED_S.contains(&self.now)
    }

    /// A user polls a controller, which forwards the poll to the leader, if there is one.
    pub(crate) fn send_poll(&mut self, controller: usize, job: usize) {
        let user = Requester::User(job);
        match self.leader() {
            Some(leader) if leader == controller => {
                self.enqueue_poll(controller, job, self.leader_status(job), user);
            }
            Some(leader) => {
                let follower = Requester::Follower { controller, job };
                self.enqueue_poll(leader, job, self.leader_status(job), follower);
            }
            None => self.enqueue_poll(controller, job, None, user),
        }
    }

    /// The status of an open job as the leader knows it.
    fn leader_status(&self, job: usize) -> Option<JobStatus> {
        let is_known = jobs::is_submitted(job) && !self.service.final_states.contains_key(&job);
        is_known.then(|| JobStatus {
            id: jobs::id_of(job),
            state: JobState::Running,
            done: 0,
            running: 1,
        })
    }

    /// Queues a poll at a controller.
    fn enqueue_poll(
        &mut self,
        controller: usize,
        job: usize,
        leader_status: Option<JobStatus>,
        requester: Requester,
    ) {
        self.counter += 1;
        let poll = Poll {
            job: jobs::id_of(job),
            leader_status,
        };
        let number = self.counter;
        self.controllers[controller]
            .requesters
            .insert(number, requester);
        let effects = self.controllers[controller]
            .batcher
            .enqueue(number, poll, self.now);
        self.carry_out(controller, effects);
    }

    /// Takes the answers that users have received since the last call.
    pub(crate) fn take_delivered(&mut self) -> Vec<DeliveredAnswer> {
        std::mem::take(&mut self.delivered)
    }

    /// Advances the time by one step: answers calls and ticks the batchers.
    pub(crate) fn step(&mut self) {
        self.now += STEP_S;
        self.service.advance(STEP_S, self.now);
        for controller in 0..CONTROLLERS {
            self.receive(controller);
            let effects = self.controllers[controller].batcher.tick(self.now);
            self.carry_out(controller, effects);
        }
    }

    /// Delivers the response to a controller's call, if it is due.
    fn receive(&mut self, controller: usize) {
        let is_due = |call: &mut (f64, StoreCall)| call.0 <= self.now;
        let Some((_, call)) = self.controllers[controller].call.take_if(is_due) else {
            return;
        };
        let answer = match (self.is_disconnected(controller), &call) {
            (false, _) => self.service.answer(&call, self.now),
            (true, StoreCall::Commit(_)) => StoreAnswer::Committed(CommitOutcome::Rejected),
            (true, StoreCall::Read(_)) => StoreAnswer::Read(Err(Unavailable)),
            (true, StoreCall::List { .. }) => StoreAnswer::Listed(Err(Unavailable)),
        };
        let effects = self.controllers[controller]
            .batcher
            .on_answer(answer, self.now);
        self.carry_out(controller, effects);
    }

    /// Carries out the effects of a batcher.
    fn carry_out(&mut self, controller: usize, effects: Vec<PollEffect>) {
        for effect in effects {
            match effect {
                PollEffect::Store(call) => self.send(controller, call),
                PollEffect::FinalStatesRecorded(..) => {}
                PollEffect::Answer(number, answer) => {
                    let requester = self.controllers[controller]
                        .requesters
                        .remove(&number)
                        .expect("the poll is queued");
                    self.answer(requester, answer);
                }
                PollEffect::Forward(number) => self.forward(controller, number),
                PollEffect::DependenciesChecked(number, _) => panic!("no check {number}"),
            }
        }
    }

    /// Sends a controller's call to the state service.
    fn send(&mut self, controller: usize, call: StoreCall) {
        self.sent.push_back(self.now);
        self.sent.retain(|at| *at > self.now - 1.0);
        self.max_sent_per_s = self.max_sent_per_s.max(self.sent.len());
        self.counter += 1;
        let takes_s = match self.counter % SLOW_EVERY {
            0 => SLOW_CALL_S,
            _ => CALL_S,
        };
        self.controllers[controller].call = Some((self.now + takes_s, call));
    }

    /// Forwards a user's poll from a controller that can't reach the state service to the next one. A
    /// poll that was forwarded already is answered with 503.
    fn forward(&mut self, controller: usize, number: u64) {
        match self.controllers[controller].requesters[&number] {
            Requester::User(job) => {
                let requester = Requester::Controller { controller, number };
                self.enqueue_poll((controller + 1) % CONTROLLERS, job, None, requester);
            }
            requester @ (Requester::Controller { .. } | Requester::Follower { .. }) => {
                self.controllers[controller].requesters.remove(&number);
                self.answer(
                    requester,
                    Answer::RetryLater(RetryReason::StateServiceUnavailable),
                );
            }
        }
    }

    /// Delivers an answer to its requester.
    fn answer(&mut self, requester: Requester, answer: Answer) {
        match requester {
            Requester::User(job) => self.delivered.push(DeliveredAnswer { job, answer }),
            // The leader can't answer now: the follower reads the records.
            Requester::Follower { controller, job } if answer.status() == 503 => {
                self.enqueue_poll(controller, job, None, Requester::User(job));
            }
            Requester::Follower { job, .. } => self.delivered.push(DeliveredAnswer { job, answer }),
            Requester::Controller { controller, number } => {
                let first = self.controllers[controller]
                    .requesters
                    .remove(&number)
                    .expect("the poll is queued");
                self.answer(first, answer);
            }
        }
    }
}

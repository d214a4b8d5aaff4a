//! Simulates controllers that serve requests, the state service, and a leader whose state lags behind it.

use crate::common::{self, CommitError, Store};
use crate::coverage::Coverage;
use crate::jobs::{body_of, dependency_of, id_of, recorded_final_state, JOBS, NEVER_SUBMITTED};
use crate::model::{
    ActiveOperation, Controller, DelayedWrite, Delivery, Leader, Operation, Recipient, Waiting,
};
use crate::rules::{AnswerChecker, Kind, ReportedState, UserRequest};
use stairstage::coordination::requests::polls::{Limits, Poll, PollBatcher, PollEffect};
use stairstage::coordination::requests::{
    Answer, Context, PeerAnswer, Request, RequestEffect, RequestEvent, StoreAnswer, StoreCall,
};
use stairstage::protocol::job::JobState;
use stairstage::protocol::store::Transaction;
use stairstage::settings::Settings;
use stairstage::storage::key_value_store::{CommitOutcome, Unavailable};
use stairstage::storage::recent_jobs::RecentFinalStates;
use stairstage::storage::records::JobFinalState;
use stairstage_upgrade::fence::WriteFence;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Number of controllers.
pub(crate) const CONTROLLERS: usize = 3;
/// Final states that a controller keeps in memory: few, so that some are evicted.
const MAX_FINAL_STATES: usize = 3;

/// Controllers, their requests and the state service.
pub(crate) struct Simulation {
    pub store: Store,
    pub controllers: Vec<Controller>,
    pub checker: AnswerChecker,
    pub coverage: Coverage,
    /// Whether users query all controllers, and repeat the submission, after each reported state change.
    pub ask_after_each_change: bool,
    pub leader: Option<Leader>,
    pub settings: Arc<Settings>,
    running: BTreeMap<u64, ActiveOperation>,
    delayed: Vec<DelayedWrite>,
    counter: u64,
    /// The clock of the batchers, in seconds.
    now: f64,
}

/// The name of a controller.
pub(crate) fn name_of(controller: usize) -> String {
    format!("n{controller}")
}

/// The index of the controller with this name.
fn index_of(name: &str) -> usize {
    name[1..].parse().unwrap()
}

/// Seconds from one tick of a batcher to the next.
const TICK_S: f64 = 0.05;
/// A controller that the state service rejected tries again within this time, in seconds.
const REJECTION_RETRY_S: f64 = 1.0;
/// Keys per page of a listing: few, so that there are several pages.
const PAGE: usize = 2;

/// The job number in an id, if it has one.
fn job_of(id: &str) -> Option<u8> {
    id.strip_prefix("req-")?.parse().ok()
}

impl Simulation {
    pub(crate) fn new() -> Simulation {
        let settings = Arc::new(Settings::parse("test", common::SETTINGS).unwrap());
        let controller = |_| Controller {
            final_states: RecentFinalStates::new(MAX_FINAL_STATES),
            leader: Some(0),
            rejected: false,
            small_types: false,
            batcher: PollBatcher::new(Limits::of(&settings)),
            polls: BTreeMap::new(),
            applied: 0,
        };
        let mut simulation = Simulation {
            store: Store::default(),
            controllers: (0..CONTROLLERS).map(controller).collect(),
            checker: AnswerChecker::default(),
            coverage: Coverage::default(),
            ask_after_each_change: false,
            leader: None,
            settings,
            now: 0.0,
            running: BTreeMap::new(),
            delayed: Vec::new(),
            counter: 0,
        };
        simulation.elect(0);
        simulation
    }

    /// The context of a request at a controller.
    fn context(&self, controller: usize, from_peer: bool) -> Context {
        let mut machine_type = common::machine_type();
        if self.controllers[controller].small_types {
            machine_type.cpus = 0.5;
        }
        Context {
            settings: self.settings.clone(),
            machine_types: Arc::new(vec![machine_type]),
            free_job_bytes: u64::MAX,
            write_fence: WriteFence::Unstaged,
            peers: (0..CONTROLLERS)
                .filter(|i| *i != controller)
                .map(name_of)
                .collect(),
            from_peer,
            now_ms: 0,
        }
    }

    /// A user sends a request to a controller.
    pub(crate) fn send_request(&mut self, kind: Kind, job: u8, controller: usize) {
        if kind == Kind::Submit && job == NEVER_SUBMITTED {
            return;
        }
        let request = self.checker.request_sent(kind, job, controller);
        self.coverage.count_request(&request);
        self.start_request(kind, job, controller, Recipient::User(request));
    }

    /// Starts a request at a controller; returns its key.
    fn start_request(
        &mut self,
        kind: Kind,
        job: u8,
        controller: usize,
        recipient: Recipient,
    ) -> u64 {
        let context = self.context(controller, !matches!(recipient, Recipient::User(_)));
        let (request, effects) = match kind {
            Kind::Submit => Request::submission(&body_of(job), context),
            Kind::Query => Request::query(id_of(job), context),
            Kind::Cancel => Request::cancellation(id_of(job), context),
        };
        let operation = Operation::Request(Box::new(request), kind, recipient);
        self.start_operation(controller, Some(job), operation, |simulation, key| {
            simulation.request_effects(key, effects);
        })
    }

    /// Adds an operation at a controller and runs its first step; returns its key.
    fn start_operation(
        &mut self,
        controller: usize,
        job: Option<u8>,
        operation: Operation,
        first: impl FnOnce(&mut Simulation, u64),
    ) -> u64 {
        self.counter += 1;
        let key = self.counter;
        let running = ActiveOperation {
            controller,
            job,
            operation,
            waiting: Waiting::Forwarded,
        };
        self.running.insert(key, running);
        first(self, key);
        key
    }

    /// Carries out the effects of a request, and notes what it waits for.
    fn request_effects(&mut self, key: u64, effects: Vec<RequestEffect>) {
        for effect in effects {
            let controller = self.running[&key].controller;
            match effect {
                RequestEffect::ReadLocalView => self.wait(key, Waiting::LocalView),
                RequestEffect::Store(call) => self.wait(key, Waiting::Store(call)),
                RequestEffect::Forward(peer) => self.wait(key, Waiting::Peer(index_of(&peer))),
                RequestEffect::CheckDependencies(jobs) => panic!("few dependencies: {jobs:?}"),
                RequestEffect::JobAccepted { record, version } => {
                    self.job_accepted(controller, *record, version);
                }
                RequestEffect::FinalStateRecorded(state) => {
                    let job = self.running[&key].job.unwrap();
                    self.final_state_recorded(controller, job, state);
                }
                RequestEffect::ReadRecords(poll) => {
                    let recipient = self.finish(key);
                    self.enqueue_poll(controller, poll, recipient);
                }
                RequestEffect::Answer(answer) => {
                    let recipient = self.finish(key);
                    self.answer(recipient, answer);
                }
            }
        }
    }

    /// Hands a query to its controller's poll batcher.
    fn enqueue_poll(&mut self, controller: usize, poll: Poll, recipient: Recipient) {
        self.counter += 1;
        let (number, now) = (self.counter, self.now);
        let job = job_of(&poll.job).unwrap();
        let controller_state = &mut self.controllers[controller];
        controller_state.polls.insert(number, (job, recipient));
        let effects = controller_state.batcher.enqueue(number, poll, now);
        self.batcher_effects(controller, effects);
    }

    /// Carries out the effects of a poll batcher.
    fn batcher_effects(&mut self, controller: usize, effects: Vec<PollEffect>) {
        for effect in effects {
            match effect {
                PollEffect::Store(call) => {
                    self.start_operation(controller, None, Operation::Batch, |simulation, key| {
                        simulation.wait(key, Waiting::Store(call));
                    });
                }
                PollEffect::FinalStatesRecorded(final_states) => {
                    for JobFinalState { job, state } in final_states {
                        self.final_state_recorded(controller, job_of(&job).unwrap(), state);
                    }
                }
                PollEffect::Answer(number, answer) => {
                    let (_, recipient) =
                        self.controllers[controller].polls.remove(&number).unwrap();
                    self.answer(recipient, answer);
                }
                PollEffect::DependenciesChecked(number, _) => panic!("no check {number}"),
                PollEffect::Forward(number) => {
                    let (job, recipient) =
                        self.controllers[controller].polls.remove(&number).unwrap();
                    self.forward_poll(controller, job, recipient);
                }
            }
        }
    }

    /// Forwards a poll that the state service rejected to the peers.
    fn forward_poll(&mut self, controller: usize, job: u8, recipient: Recipient) {
        let context = self.context(controller, !matches!(recipient, Recipient::User(_)));
        let (request, effects) = Request::query_peers(id_of(job), context);
        let operation = Operation::Request(Box::new(request), Kind::Query, recipient);
        self.start_operation(controller, Some(job), operation, |simulation, key| {
            simulation.request_effects(key, effects);
        });
    }

    /// Makes an operation wait until a step resumes it.
    fn wait(&mut self, key: u64, waiting: Waiting) {
        self.running.get_mut(&key).unwrap().waiting = waiting;
    }

    /// Removes a finished operation; returns who gets its answer.
    fn finish(&mut self, key: u64) -> Recipient {
        let running = self
            .running
            .remove(&key)
            .expect("the operation is in progress");
        self.coverage.request_finished(key);
        match running.operation {
            Operation::Request(_, _, recipient) => recipient,
            Operation::Batch => Recipient::Nobody,
        }
    }

    /// Delivers an answer to its recipient.
    fn answer(&mut self, recipient: Recipient, answer: Answer) {
        let answer = PeerAnswer::from(answer);
        match recipient {
            Recipient::User(request) => self.answer_user(&request, &answer),
            Recipient::Request(key) => self.peer_answered(key, Some(answer)),
            Recipient::Nobody => {}
        }
    }

    /// Checks an answer and delivers it to the user.
    fn answer_user(&mut self, request: &UserRequest, answer: &PeerAnswer) {
        self.coverage.count_answer(request, answer);
        let new_state = self.checker.check_answer(request, answer, &self.store);
        if self.ask_after_each_change && new_state.is_some() {
            (0..CONTROLLERS)
                .for_each(|controller| self.send_request(Kind::Query, request.job, controller));
            self.send_request(
                Kind::Submit,
                request.job,
                (request.controller + 1) % CONTROLLERS,
            );
            if new_state == Some(ReportedState::Accepted) && request.job % 2 == 0 {
                self.send_request(
                    Kind::Cancel,
                    request.job,
                    (request.controller + 2) % CONTROLLERS,
                );
            }
        }
    }

    /// A forwarded request is answered, or times out.
    fn peer_answered(&mut self, key: u64, answer: Option<PeerAnswer>) {
        self.on_event(key, RequestEvent::Peer(answer));
    }

    /// Passes an event to an operation.
    fn on_event(&mut self, key: u64, event: RequestEvent) {
        match (&mut self.running.get_mut(&key).unwrap().operation, event) {
            (Operation::Request(request, ..), event) => {
                let effects = request.on_event(event);
                assert!(
                    !effects.is_empty(),
                    "an unanswered request has a next effect"
                );
                self.request_effects(key, effects);
            }
            (Operation::Batch, RequestEvent::Store(answer)) => {
                let controller = self.running[&key].controller;
                self.finish(key);
                let effects = self.controllers[controller]
                    .batcher
                    .on_answer(answer, self.now);
                self.batcher_effects(controller, effects);
            }
            (Operation::Batch, event) => panic!("unexpected event for a batcher: {event:?}"),
        }
    }

    /// Resumes one of the waiting operations, picked by number.
    pub(crate) fn advance(&mut self, pick: u8, delivery: Delivery) {
        let is_waiting = |r: &&u64| !matches!(self.running[r].waiting, Waiting::Forwarded);
        let keys: Vec<u64> = self.running.keys().filter(is_waiting).copied().collect();
        if !keys.is_empty() {
            self.resume(keys[pick as usize % keys.len()], delivery);
        }
    }

    /// Resumes an operation: what it waits for succeeds or fails.
    fn resume(&mut self, key: u64, delivery: Delivery) {
        let running = self.running.get_mut(&key).unwrap();
        let (controller, job) = (running.controller, running.job);
        match std::mem::replace(&mut running.waiting, Waiting::Forwarded) {
            Waiting::LocalView => {
                let view = (delivery != Delivery::Rejected)
                    .then(|| self.local_view(controller, job.unwrap()));
                self.on_event(key, RequestEvent::LocalView(view));
            }
            Waiting::Store(call) => {
                let answer = self.store_answer(key, controller, call, delivery);
                self.on_event(key, RequestEvent::Store(answer));
            }
            Waiting::Peer(peer) => self.forward(key, peer, job.unwrap(), delivery),
            Waiting::Forwarded => {}
        }
    }

    /// Forwards a request to a peer.
    fn forward(&mut self, key: u64, peer: usize, job: u8, delivery: Delivery) {
        let Operation::Request(_, kind, _) = self.running[&key].operation else {
            panic!("only requests are forwarded");
        };
        match delivery {
            Delivery::Answered => {
                self.coverage.forwarded += 1;
                self.start_request(kind, job, peer, Recipient::Request(key));
            }
            Delivery::ResponseLost | Delivery::Delayed => {
                self.start_request(kind, job, peer, Recipient::Nobody);
                self.peer_answered(key, None);
            }
            Delivery::RequestLost | Delivery::Rejected => self.peer_answered(key, None),
        }
    }

    /// The response of the state service to a call.
    fn store_answer(
        &mut self,
        sender: u64,
        controller: usize,
        call: StoreCall,
        delivery: Delivery,
    ) -> StoreAnswer {
        let rejected = self.controllers[controller].rejected || delivery == Delivery::Rejected;
        match call {
            StoreCall::Read(key) => {
                let answered = delivery == Delivery::Answered && !rejected;
                if answered {
                    self.coverage.count_read(&key, controller);
                }
                let item = answered.then(|| self.store.get(&key));
                StoreAnswer::Read(item.ok_or(Unavailable))
            }
            StoreCall::List { under, after, .. } => {
                let answered = delivery == Delivery::Answered && !rejected;
                let page = answered.then(|| self.store.page(&under, &after, PAGE));
                StoreAnswer::Listed(page.ok_or(Unavailable))
            }
            StoreCall::Commit(_) if rejected => {
                self.coverage.rejected += 1;
                StoreAnswer::Committed(CommitOutcome::Rejected)
            }
            StoreCall::Commit(transaction) => {
                StoreAnswer::Committed(self.commit(sender, controller, transaction, delivery))
            }
        }
    }

    /// Executes a transaction according to its delivery.
    pub(crate) fn commit(
        &mut self,
        sender: u64,
        controller: usize,
        transaction: Transaction,
        delivery: Delivery,
    ) -> CommitOutcome {
        match delivery {
            Delivery::Answered => self.apply(controller, &transaction),
            Delivery::ResponseLost => {
                if let CommitOutcome::Applied(_) = self.apply(controller, &transaction) {
                    self.coverage
                        .record_lost_response(sender, controller, &transaction);
                }
                CommitOutcome::Indeterminate
            }
            Delivery::Delayed => {
                let applied_before = self.controllers[controller].applied;
                self.delayed.push(DelayedWrite {
                    transaction,
                    controller,
                    sender,
                    applied_before,
                });
                CommitOutcome::Indeterminate
            }
            Delivery::RequestLost => CommitOutcome::Indeterminate,
            Delivery::Rejected => CommitOutcome::Rejected,
        }
    }

    /// Applies a transaction if its conditions hold.
    fn apply(&mut self, controller: usize, transaction: &Transaction) -> CommitOutcome {
        let conflicts = self.store.conflicts(transaction);
        match self.store.commit(transaction) {
            Ok(version) => {
                self.controllers[controller].applied +=
                    usize::from(!transaction.operations.is_empty());
                CommitOutcome::Applied(version)
            }
            Err(CommitError::Conflict) => CommitOutcome::Conflict(conflicts),
            Err(CommitError::TooLarge) => panic!("transaction too large: {transaction:?}"),
        }
    }

    /// Applies one of the delayed transactions, picked by number.
    pub(crate) fn apply_delayed_write(&mut self, pick: u8) {
        if self.delayed.is_empty() {
            return;
        }
        let delayed = self.delayed.remove(pick as usize % self.delayed.len());
        let after_newer = self.controllers[delayed.controller].applied > delayed.applied_before;
        let is_finished = !self.running.contains_key(&delayed.sender);
        let applied = matches!(
            self.apply(delayed.controller, &delayed.transaction),
            CommitOutcome::Applied(_)
        );
        self.coverage
            .count_delayed_write(applied, after_newer, is_finished);
    }

    /// Advances the clock by one tick, and ticks a controller's batcher.
    pub(crate) fn tick(&mut self, controller: usize) {
        self.now += TICK_S;
        let effects = self.controllers[controller].batcher.tick(self.now);
        self.batcher_effects(controller, effects);
    }

    /// Ends all faults: finishes the operations in progress, applies delayed transactions, and brings
    /// the leader and all controllers up to date.
    pub(crate) fn settle(&mut self) {
        self.ask_after_each_change = false;
        self.now += REJECTION_RETRY_S;
        for controller in &mut self.controllers {
            controller.rejected = false;
        }
        self.finish_all();
        while !self.delayed.is_empty() {
            self.apply_delayed_write(0);
        }
        if self.leader.is_none() {
            self.elect(0);
        }
        (0..JOBS).for_each(|job| self.deliver_to_leader(job));
        for job in (0..JOBS).filter(|job| dependency_of(*job).is_some()) {
            let dependency = dependency_of(job).and_then(|n| recorded_final_state(&self.store, n));
            if dependency == Some(JobState::Cancelled) {
                self.leader_finishes_job(job, Delivery::Answered);
            }
        }
        (0..CONTROLLERS).for_each(|controller| self.learn_leader(controller));
    }

    /// Finishes all operations in progress; all calls are answered.
    pub(crate) fn finish_all(&mut self) {
        loop {
            (0..CONTROLLERS).for_each(|controller| self.tick(controller));
            let is_waiting = |r: &&u64| !matches!(self.running[r].waiting, Waiting::Forwarded);
            let keys: VecDeque<u64> = self.running.keys().filter(is_waiting).copied().collect();
            let is_idle = |controller: &Controller| {
                controller.polls.is_empty() && controller.batcher.tick_interval_s().is_none()
            };
            if keys.is_empty() && self.controllers.iter().all(is_idle) {
                return;
            }
            for key in keys {
                self.resume(key, Delivery::Answered);
            }
        }
    }

    /// The state service rejects the controllers whose bits are set.
    pub(crate) fn reject(&mut self, bits: u8) {
        let before = self
            .controllers
            .iter()
            .filter(|controller| controller.rejected)
            .count();
        for (i, controller) in self.controllers.iter_mut().enumerate() {
            controller.rejected = bits & (1 << i) != 0;
        }
        let after = self
            .controllers
            .iter()
            .filter(|controller| controller.rejected)
            .count();
        if (before, after) == (1, CONTROLLERS) {
            for running in self.running.values() {
                if let Operation::Request(_, kind, _) = running.operation {
                    self.coverage.count_during_rejection(kind);
                }
            }
        }
    }

    /// Counts the requests in progress about a job whose final state has just been written.
    pub(crate) fn count_requests_during_final_write(&mut self, job: u8) {
        for running in self.running.values().filter(|r| r.job == Some(job)) {
            if let Operation::Request(_, kind, _) = running.operation {
                self.coverage.count_during_final_write(kind);
            }
        }
    }
}

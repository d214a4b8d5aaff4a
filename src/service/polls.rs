//! Answers users' polls from the records: executes the effects that [`PollBatcher`] decides on.

use super::final_state_notifier::FinalStateNotifier;
use super::replies::{busy, reply_to_user};
use super::request_queue::{RequestQueue, RequestTask};
use super::store_calls::execute_store_call;
use super::threads::spawn;
use crate::coordination::requests::polls::{
    CheckedDependencies, Limits, Poll, PollBatcher, PollEffect,
};
use crate::coordination::requests::{Answer, RetryReason};
use crate::coordination::Time;
use crate::settings::Settings;
use crate::storage::key_value_store::KeyValueStore;
use crate::storage::records::JobFinalState;
use crate::transport::Responder;
use crossbeam::channel::{bounded, Receiver, RecvTimeoutError, Sender, TrySendError};
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// How long the driver waits for input while the batcher has no work.
const IDLE_PAUSE: Duration = Duration::from_secs(1);

/// How long a gateway waits for a check of dependencies.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);

/// A poll and where its reply is sent.
pub struct UserPoll {
    /// The poll.
    pub poll: Poll,
    /// Whether another controller has forwarded the poll. It is then not forwarded again.
    pub from_peer: bool,
    /// Sends the reply.
    pub respond: Responder,
}

enum Input {
    Poll(UserPoll),
    /// A submission names these dependencies.
    CheckDependencies {
        jobs: Vec<String>,
        reply: Sender<CheckedDependencies>,
    },
    /// This controller has accepted a job.
    Accepted {
        job: String,
        waits_on: Vec<String>,
    },
    /// The final states of jobs have been recorded.
    FinalStates(Vec<JobFinalState>),
}

/// The sender of the driver's queue: polls, and events that help to answer them.
#[derive(Clone)]
pub struct PollQueue(Sender<Input>);

impl PollQueue {
    /// Enqueues a poll to be answered from the records. If the queue is full, the poll is rejected
    /// immediately.
    pub fn enqueue(&self, poll: UserPoll) {
        let sent = self.0.try_send(Input::Poll(poll));
        if let Err(TrySendError::Full(input) | TrySendError::Disconnected(input)) = sent {
            if let Input::Poll(poll) = input {
                (poll.respond)(busy());
            }
        }
    }

    /// Checks the dependencies that a submission names; blocks until the result is known or the check has
    /// timed out.
    pub fn check_dependencies(&self, jobs: Vec<String>) -> CheckedDependencies {
        let (reply, result) = bounded(1);
        let check = Input::CheckDependencies { jobs, reply };
        if self.0.try_send(check).is_err() {
            return CheckedDependencies::RateLimited;
        }
        let result = result.recv_timeout(CHECK_TIMEOUT);
        result.unwrap_or(CheckedDependencies::RateLimited)
    }

    /// This controller has accepted a job. If the queue is full the event is dropped, and a poll of the job
    /// then costs a read.
    pub fn job_accepted(&self, job: String, waits_on: Vec<String>) {
        let _ = self.0.try_send(Input::Accepted { job, waits_on });
    }

    /// Final states of jobs have been recorded. If the queue is full the event is dropped, and a poll of such
    /// a job then costs a read.
    pub fn final_states_recorded(&self, final_states: Vec<JobFinalState>) {
        let _ = self.0.try_send(Input::FinalStates(final_states));
    }
}

/// Starts the driver's thread. Polls that another controller must answer are sent to `requests`.
///
/// # Errors
///
/// When the thread cannot be started.
pub fn start(
    settings: &Settings,
    store: &KeyValueStore,
    final_state_notifier: &FinalStateNotifier,
    requests: &RequestQueue,
) -> anyhow::Result<PollQueue> {
    let (sender, receiver) = bounded(settings.waiting_polls());
    let driver = PollDriver {
        batcher: PollBatcher::new(Limits::of(settings)),
        pending: HashMap::new(),
        checks: HashMap::new(),
        last_number: 0,
        epoch: Instant::now(),
        store: store.clone(),
        final_state_notifier: final_state_notifier.clone(),
        requests: requests.clone(),
    };
    spawn("polls", move || driver.run(&receiver))?;
    Ok(PollQueue(sender))
}

struct PollDriver {
    batcher: PollBatcher,
    /// The polls that the batcher has not answered yet, by their number.
    pending: HashMap<u64, UserPoll>,
    /// Where the results of the checks of dependencies are sent, by their number.
    checks: HashMap<u64, Sender<CheckedDependencies>>,
    last_number: u64,
    epoch: Instant,
    store: KeyValueStore,
    final_state_notifier: FinalStateNotifier,
    requests: RequestQueue,
}

impl PollDriver {
    fn run(mut self, inputs: &Receiver<Input>) {
        loop {
            let pause = self
                .batcher
                .tick_interval_s()
                .map_or(IDLE_PAUSE, Duration::from_secs_f64);
            match inputs.recv_timeout(pause) {
                Ok(input) => self.handle_input(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for input in inputs.try_iter() {
                self.handle_input(input);
            }
            let effects = self.batcher.tick(self.now());
            self.execute(effects);
        }
    }

    fn now(&self) -> Time {
        self.epoch.elapsed().as_secs_f64()
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Poll(user_poll) => {
                self.last_number += 1;
                let poll = user_poll.poll.clone();
                self.pending.insert(self.last_number, user_poll);
                let effects = self.batcher.enqueue(self.last_number, poll, self.now());
                self.execute(effects);
            }
            Input::CheckDependencies { jobs, reply } => {
                self.last_number += 1;
                self.checks.insert(self.last_number, reply);
                let now = self.now();
                let effects = self.batcher.check_dependencies(self.last_number, jobs, now);
                self.execute(effects);
            }
            Input::Accepted { job, waits_on } => self.batcher.job_accepted(&job, &waits_on),
            Input::FinalStates(final_states) => {
                for JobFinalState { job, state } in final_states {
                    self.batcher.final_state_recorded(&job, state);
                }
            }
        }
    }

    /// Forwards a poll to another controller, or rejects it if another controller has forwarded it.
    fn forward(&self, poll: UserPoll) {
        if poll.from_peer {
            (poll.respond)(reply_to_user(Answer::RetryLater(
                RetryReason::StateServiceUnavailable,
            )));
        } else {
            self.requests
                .enqueue(RequestTask::forward_poll(poll.poll.job, poll.respond));
        }
    }

    fn execute(&mut self, effects: Vec<PollEffect>) {
        let mut effects = VecDeque::from(effects);
        while let Some(effect) = effects.pop_front() {
            match effect {
                PollEffect::Store(call) => {
                    let answer = execute_store_call(&self.store, call);
                    effects.extend(self.batcher.on_answer(answer, self.now()));
                }
                PollEffect::FinalStatesRecorded(states) => {
                    self.final_state_notifier.publish(states);
                }
                PollEffect::Answer(number, answer) => {
                    if let Some(poll) = self.pending.remove(&number) {
                        (poll.respond)(reply_to_user(answer));
                    }
                }
                PollEffect::DependenciesChecked(number, result) => {
                    if let Some(reply) = self.checks.remove(&number) {
                        let _ = reply.try_send(result);
                    }
                }
                PollEffect::Forward(number) => {
                    if let Some(poll) = self.pending.remove(&number) {
                        self.forward(poll);
                    }
                }
            }
        }
    }
}

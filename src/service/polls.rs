//! The stage of users' polls that the records answer: carries out what [`PollBatcher`] decides.

use super::end_notifier::EndNotifier;
use super::gateway::{self, reply_of, store_answer, Task};
use super::{busy, spawn};
use crate::coordination::requests::polls::{Effect, Limits, Poll, PollBatcher};
use crate::coordination::requests::{Answer, Reason};
use crate::coordination::Time;
use crate::protocol::job::JobState;
use crate::settings::Settings;
use crate::storage::key_value_store::KeyValueStore;
use crate::transport::Responder;
use crossbeam::channel::{bounded, Receiver, RecvTimeoutError, Sender, TrySendError};
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// While nothing waits, the stage looks up from its channel so often.
const IDLE: Duration = Duration::from_secs(1);

/// A poll and who gets its answer.
pub struct UserPoll {
    pub poll: Poll,
    /// Whether another controller has handed it on. It is then handed on no further.
    pub from_peer: bool,
    pub respond: Responder,
}

enum Input {
    Poll(UserPoll),
    /// A job that was accepted here, and what it waits for.
    Accepted(String, Vec<String>),
    /// Jobs whose ends are on record.
    Ended(Vec<(String, JobState)>),
}

/// Where polls are handed in, and what helps to answer them.
#[derive(Clone)]
pub struct Polls(Sender<Input>);

impl Polls {
    /// Answers from the records; at once where the stage has no room.
    pub fn look_up(&self, poll: UserPoll) {
        let sent = self.0.try_send(Input::Poll(poll));
        if let Err(TrySendError::Full(input) | TrySendError::Disconnected(input)) = sent {
            if let Input::Poll(poll) = input {
                (poll.respond)(busy());
            }
        }
    }

    /// Notes that a job was accepted here. What is not noted is read when it is asked for.
    pub fn accepted(&self, job: String, waits_on: Vec<String>) {
        let _ = self.0.try_send(Input::Accepted(job, waits_on));
    }

    /// Notes that ends are on record. What is not noted is read when it is asked for.
    pub fn ended(&self, ends: Vec<(String, JobState)>) {
        let _ = self.0.try_send(Input::Ended(ends));
    }
}

/// Starts the stage; `gateway` takes the polls that another controller must answer.
pub fn start(
    settings: &Settings,
    store: &KeyValueStore,
    ends: &EndNotifier,
    gateway: &Sender<Task>,
) -> anyhow::Result<Polls> {
    let (tx, rx) = bounded(settings.waiting_polls());
    let stage = Stage {
        batcher: PollBatcher::new(Limits::of(settings)),
        asked: HashMap::new(),
        last_number: 0,
        begun: Instant::now(),
        store: store.clone(),
        ends: ends.clone(),
        gateway: gateway.clone(),
    };
    spawn("polls", move || stage.run(&rx))?;
    Ok(Polls(tx))
}

struct Stage {
    batcher: PollBatcher,
    /// Who gets the answers to the polls that the batcher has.
    asked: HashMap<u64, UserPoll>,
    last_number: u64,
    begun: Instant,
    store: KeyValueStore,
    ends: EndNotifier,
    gateway: Sender<Task>,
}

impl Stage {
    fn run(mut self, inputs: &Receiver<Input>) {
        loop {
            let pause = self.batcher.pause_s().map_or(IDLE, Duration::from_secs_f64);
            match inputs.recv_timeout(pause) {
                Ok(input) => self.take(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for input in inputs.try_iter() {
                self.take(input);
            }
            let effects = self.batcher.next(self.now());
            self.carry_out(effects);
        }
    }

    fn now(&self) -> Time {
        self.begun.elapsed().as_secs_f64()
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Poll(asked) => {
                self.last_number += 1;
                let poll = asked.poll.clone();
                self.asked.insert(self.last_number, asked);
                let effects = self.batcher.ask(self.last_number, poll, self.now());
                self.carry_out(effects);
            }
            Input::Accepted(job, waits_on) => self.batcher.accepted(&job, &waits_on),
            Input::Ended(ends) => {
                for (job, state) in ends {
                    self.batcher.ended(&job, state);
                }
            }
        }
    }

    /// Has another controller answer, unless this one was asked by another itself.
    fn hand_on(&self, asked: UserPoll) {
        if asked.from_peer {
            (asked.respond)(reply_of(Answer::Later(Reason::NoStateService)))
        } else {
            gateway::offer(&self.gateway, Task::hand_on(asked.poll.job, asked.respond))
        }
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        let mut effects = VecDeque::from(effects);
        while let Some(effect) = effects.pop_front() {
            match effect {
                Effect::Store(call) => {
                    let answer = store_answer(&self.store, call);
                    effects.extend(self.batcher.on(answer, self.now()));
                }
                Effect::Ended(ends) => self.ends.note(ends),
                Effect::Answer(number, answer) => {
                    if let Some(asked) = self.asked.remove(&number) {
                        (asked.respond)(reply_of(answer));
                    }
                }
                Effect::HandOn(number) => {
                    if let Some(asked) = self.asked.remove(&number) {
                        self.hand_on(asked);
                    }
                }
            }
        }
    }
}

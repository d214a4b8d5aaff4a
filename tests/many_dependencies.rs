//! Repeated submissions and polls of jobs with many dependencies, which no leader answers.

mod common;

use common::{parse_submission, request_context, submission, Store};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;
use stairstage::coordination::requests::polls::{
    CheckedDependencies, Limits, Poll, PollBatcher, PollEffect,
};
use stairstage::coordination::requests::{
    Answer, LocalJobView, Request, RequestEffect, RequestEvent, StoreAnswer, StoreCall,
};
use stairstage::protocol::job::JobState;
use stairstage::storage::records::{final_state_key, open_key, OpenRecord};
use stairstage_upgrade::fence::WriteFence;

/// The job that is polled.
const JOB: &str = "req-999999";
/// For how long a user retries, in seconds.
const RETRY_FOR_S: f64 = 60.0;
/// Seconds from one tick of the batcher to the next.
const TICK_S: f64 = 0.02;
/// About as many jobs as a submission of 64 KiB can name.
const MAX_NAMED: usize = 4000;

/// The share of one of three controllers in the polls' requests, at 200 requests per second and 8 write
/// operations in a transaction.
const LIMITS: Limits = Limits {
    requests_per_s: 0.4 * 200.0 / 3.0,
    max_compares: 32,
    max_jobs: 10_000,
    confirmation_s: 15.0,
};

/// The name of a dependency.
fn dependency(number: usize) -> String {
    // Neighbouring numbers are far apart in the order of names.
    format!("req-{:06}", number * 7919 % 900_000)
}

/// A key-value store without limits on sizes.
fn empty_store() -> Store {
    Store {
        value_bytes: usize::MAX,
        ..Store::default()
    }
}

/// Stores the record of an open job with these dependencies.
fn store_open(store: &mut Store, id: &str, waits_on: &[String]) {
    let mut body = submission(id, "sweep", "normal", 1);
    body["waits_on"] = json!(waits_on);
    let record = OpenRecord::accepted(parse_submission(&body), 0);
    let value = serde_json::to_value(record).unwrap();
    store.values.insert(open_key(id), (value, 1));
}

/// Replaces the open record of a job by its final state record.
fn finish(store: &mut Store, id: &str, state: &str) {
    store.values.remove(&open_key(id));
    let final_state = json!({ "state": state });
    store.values.insert(final_state_key(id), (final_state, 2));
}

/// How the dependencies of the polled job depend on each other.
#[derive(Clone, Copy, Debug)]
enum Graph {
    /// The job depends on each of them, and they have no dependencies.
    Flat(usize),
    /// Each depends on the next one, and the job on the first.
    Chain(usize),
    /// Layers of this width: the job depends on the first layer, each job of a layer on all of the next.
    Layers { width: usize, depth: usize },
}

impl Graph {
    /// The number of dependencies.
    fn len(self) -> usize {
        match self {
            Graph::Flat(len) | Graph::Chain(len) => len,
            Graph::Layers { width, depth } => width * depth,
        }
    }

    /// The store with the open jobs of this graph.
    fn store(self) -> Store {
        let (width, depth) = match self {
            Graph::Flat(len) => (len, 1),
            Graph::Chain(len) => (1, len),
            Graph::Layers { width, depth } => (width, depth),
        };
        let layer = |number: usize| -> Vec<String> {
            let in_layer = number * width..(number + 1) * width;
            in_layer
                .filter(|_| number < depth)
                .map(dependency)
                .collect()
        };
        let mut store = empty_store();
        store_open(&mut store, JOB, &layer(0));
        for number in 0..depth {
            for job in layer(number) {
                store_open(&mut store, &job, &layer(number + 1));
            }
        }
        store
    }
}

/// An answer to the user.
enum Answered {
    Poll(Answer),
    Check(CheckedDependencies),
}

/// A controller without a leader, and a user that repeats a request until it is answered.
struct Controller {
    store: Store,
    batcher: PollBatcher,
    now: f64,
    requests: usize,
    polls: u64,
}

impl Controller {
    fn new(store: Store) -> Controller {
        Controller {
            store,
            batcher: PollBatcher::new(LIMITS),
            now: 0.0,
            requests: 0,
            polls: 0,
        }
    }

    fn answer_of(&mut self, call: StoreCall) -> StoreAnswer {
        self.requests += 1;
        match call {
            StoreCall::Read(key) => StoreAnswer::Read(Ok(self.store.get(&key))),
            StoreCall::Commit(transaction) => {
                StoreAnswer::Committed(self.store.check_conditions(&transaction))
            }
            StoreCall::List {
                under,
                after,
                limit,
            } => StoreAnswer::Listed(Ok(self.store.page(&under, &after, limit))),
        }
    }

    /// Executes effects; returns the answer to the user, if there is one.
    fn execute(&mut self, mut effects: Vec<PollEffect>) -> Option<Answered> {
        let mut answered = None;
        while let Some(effect) = effects.pop() {
            match effect {
                PollEffect::Store(call) => {
                    let answer = self.answer_of(call);
                    effects.extend(self.batcher.on_answer(answer, self.now));
                }
                PollEffect::Answer(_, answer) => answered = Some(Answered::Poll(answer)),
                PollEffect::DependenciesChecked(_, result) => {
                    answered = Some(Answered::Check(result));
                }
                PollEffect::FinalStatesRecorded(_) => {}
                PollEffect::Forward(_) => panic!("the state service answers"),
            }
        }
        answered
    }

    fn tick(&mut self) -> Option<Answered> {
        self.now += TICK_S;
        let effects = self.batcher.tick(self.now);
        self.execute(effects)
    }

    /// Polls the job once.
    fn poll(&mut self) -> Answer {
        self.polls += 1;
        let poll = Poll {
            job: JOB.into(),
            leader_status: None,
        };
        let effects = self.batcher.enqueue(self.polls, poll, self.now);
        match self.wait_for_answer(effects) {
            Answered::Poll(answer) => answer,
            Answered::Check(result) => panic!("{result:?}"),
        }
    }

    fn wait_for_answer(&mut self, effects: Vec<PollEffect>) -> Answered {
        let mut answered = self.execute(effects);
        while answered.is_none() {
            answered = self.tick();
        }
        answered.expect("an answer")
    }

    /// Checks the dependencies of a submission, again a second after each rejection, for as long as a user
    /// retries. Returns the last result.
    fn check_until_answered(&mut self, jobs: &[String]) -> CheckedDependencies {
        let until = self.now + RETRY_FOR_S;
        loop {
            self.polls += 1;
            let (check, now) = (self.polls, self.now);
            let effects = self.batcher.check_dependencies(check, jobs.to_vec(), now);
            let Answered::Check(result) = self.wait_for_answer(effects) else {
                panic!("there are no polls");
            };
            let retry_at = self.now + 1.0;
            if result != CheckedDependencies::RateLimited || retry_at > until {
                return result;
            }
            while self.now < retry_at {
                self.tick();
            }
        }
    }

    /// Polls the job again after each `Retry-After`, for as long as a user retries. Returns the status of
    /// the last answer.
    fn poll_until_answered(&mut self) -> u16 {
        let until = self.now + RETRY_FOR_S;
        loop {
            let answer = self.poll();
            let retry_at = self.now + answer.retry_after().map_or(0.0, f64::from);
            if answer.status() == 200 || retry_at > until {
                return answer.status();
            }
            while self.now < retry_at {
                self.tick();
            }
        }
    }
}

/// Checks that polls of the job with these dependencies get 200 while none of them is cancelled, within
/// the controller's share of the requests.
fn check_answered(graph: Graph) {
    let mut controller = Controller::new(graph.store());
    assert_eq!(controller.poll_until_answered(), 200, "{graph:?}");
    let allowed = (1.0 + controller.now) * LIMITS.requests_per_s;
    let requests = controller.requests;
    assert!(
        (requests as f64) < allowed,
        "{graph:?}: {requests} requests"
    );
}

/// Guards against polls and repeated submissions of a job that are never answered because the job has
/// many dependencies.
#[test]
fn job_with_as_many_dependencies_as_a_submission_can_name_is_answered_without_a_leader() {
    check_answered(Graph::Flat(MAX_NAMED));
}

#[test]
fn job_at_the_end_of_a_long_chain_is_answered_without_a_leader() {
    check_answered(Graph::Chain(1000));
}

#[test]
fn job_with_shared_dependencies_is_answered_without_a_leader() {
    check_answered(Graph::Layers {
        width: 30,
        depth: 30,
    });
}

#[test]
fn job_with_many_finished_dependencies_is_answered_without_a_leader() {
    let graph = Graph::Flat(300);
    let mut store = graph.store();
    (0..graph.len()).for_each(|number| finish(&mut store, &dependency(number), "done"));
    assert_eq!(Controller::new(store).poll_until_answered(), 200);
}

/// Guards against a repeated submission that gets 503 although the job was accepted: from 24 dependencies
/// on, the search for a cancelled one gave up.
#[test]
fn repeated_submission_of_a_job_with_many_dependencies_is_answered_like_a_query() {
    let graph = Graph::Flat(900);
    let mut controller = Controller::new(graph.store());
    let mut body = submission(JOB, "sweep", "normal", 1);
    body["waits_on"] = json!((0..900).map(dependency).collect::<Vec<_>>());
    let context = request_context(WriteFence::Unstaged);
    let (mut request, mut effects) = Request::submission(body.to_string().as_bytes(), context);
    loop {
        let event = match effects.pop().expect("an effect") {
            RequestEffect::Store(call) => RequestEvent::Store(controller.answer_of(call)),
            RequestEffect::ReadLocalView => RequestEvent::LocalView(Some(LocalJobView {
                status: None,
                is_leader: false,
                leader: None,
            })),
            RequestEffect::ReadRecords(poll) => {
                assert_eq!(poll.job, JOB);
                break;
            }
            other => panic!("{other:?}"),
        };
        effects = request.on_event(event);
    }
    assert_eq!(controller.poll_until_answered(), 200);
}

/// A store in which jobs that are not named have finished, in great number.
fn store_with_history() -> Store {
    let mut store = empty_store();
    for number in 0..20_000 {
        finish(&mut store, &format!("req-{:06}", 900_000 + number), "done");
        finish(&mut store, &format!("req-{:06}x", number * 45), "done");
    }
    store
}

/// Guards against a submission that is never accepted because it names hundreds of finished jobs.
#[test]
fn submission_that_names_hundreds_of_finished_jobs_is_checked_within_its_retries() {
    let mut store = store_with_history();
    let named: Vec<String> = (0..900).map(dependency).collect();
    named.iter().for_each(|job| finish(&mut store, job, "done"));
    let mut controller = Controller::new(store);
    let result = controller.check_until_answered(&named);
    assert_eq!(result, CheckedDependencies::Accepted);
    let allowed = (1.0 + controller.now) * LIMITS.requests_per_s;
    assert!((controller.requests as f64) < allowed);
}

#[test]
fn submission_with_many_dependencies_is_accepted_once_they_are_checked() {
    let mut body = submission(JOB, "sweep", "normal", 1);
    body["waits_on"] = json!((0..900).map(dependency).collect::<Vec<_>>());
    let context = request_context(WriteFence::Unstaged);
    let (mut request, effects) = Request::submission(body.to_string().as_bytes(), context);
    let absent = || RequestEvent::Store(StoreAnswer::Read(Ok(None)));
    assert!(
        matches!(&effects[..], [RequestEffect::Store(StoreCall::Read(key))] if *key == open_key(JOB))
    );
    request.on_event(absent());
    let effects = request.on_event(absent());
    assert!(matches!(&effects[..], [RequestEffect::CheckDependencies(jobs)] if jobs.len() == 900));
    let checked = RequestEvent::DependenciesChecked(CheckedDependencies::Accepted);
    let effects = request.on_event(checked);
    assert!(
        matches!(&effects[..], [RequestEffect::Store(StoreCall::Commit(_))]),
        "{effects:?}"
    );
}

/// The state of a job that a submission names.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Named {
    Open,
    Done,
    Cancelled,
    NeverAccepted,
}

fn named() -> impl Strategy<Value = Vec<Named>> {
    let mostly_accepted = prop_oneof![
        200 => Just(Named::Open),
        200 => Just(Named::Done),
        1 => Just(Named::Cancelled),
        1 => Just(Named::NeverAccepted),
    ];
    prop::collection::vec(mostly_accepted, 1..600)
}

fn graph() -> impl Strategy<Value = Graph> {
    prop_oneof![
        (1usize..1000).prop_map(Graph::Flat),
        (1usize..200).prop_map(Graph::Chain),
        (1usize..25, 1usize..25).prop_map(|(width, depth)| Graph::Layers { width, depth }),
    ]
}

/// How many of the dependencies are done, counted from the last ones, on which the others depend.
fn done_share() -> impl Strategy<Value = f64> {
    prop_oneof![Just(0.0), 0.0..1.0, Just(1.0)]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        rng_seed: RngSeed::Fixed(43),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A job is reported as pending unless one of its dependencies is cancelled, however many there are. A
    /// cancellation that follows is respected within half of `cancel_s`.
    #[test]
    fn jobs_with_any_dependencies_are_answered_unless_one_is_cancelled(
        graph in graph(),
        done_share in done_share(),
        cancelled in any::<prop::sample::Index>(),
        is_cancelled_later in any::<bool>(),
    ) {
        let mut store = graph.store();
        let open = graph.len() - ((graph.len() as f64 * done_share) as usize);
        (open..graph.len()).for_each(|number| finish(&mut store, &dependency(number), "done"));
        let mut controller = Controller::new(store);
        let cancelled = (open > 0).then(|| dependency(cancelled.index(open)));
        if !is_cancelled_later {
            if let Some(job) = &cancelled {
                finish(&mut controller.store, job, "cancelled");
            }
        }
        let expected = if cancelled.is_some() && !is_cancelled_later { 503 } else { 200 };
        prop_assert_eq!(controller.poll_until_answered(), expected);
        if let Some(job) = cancelled.filter(|_| is_cancelled_later) {
            finish(&mut controller.store, &job, "cancelled");
            let until = controller.now + LIMITS.confirmation_s;
            while controller.now < until {
                controller.tick();
            }
            prop_assert_eq!(controller.poll_until_answered(), 503);
            controller.batcher.final_state_recorded(JOB, JobState::Cancelled);
            prop_assert_eq!(controller.poll_until_answered(), 200);
        }
    }

    /// The check of a submission's dependencies finds which were never accepted, or else whether one is
    /// cancelled, however many there are.
    #[test]
    fn checks_of_any_dependencies_find_unknown_and_cancelled_ones(states in named()) {
        let mut store = empty_store();
        let jobs: Vec<String> = (0..states.len()).map(dependency).collect();
        for (job, state) in jobs.iter().zip(&states) {
            match state {
                Named::Open => store_open(&mut store, job, &[]),
                Named::Done => finish(&mut store, job, "done"),
                Named::Cancelled => finish(&mut store, job, "cancelled"),
                Named::NeverAccepted => {}
            }
        }
        let state_of = |job: &String| states[jobs.iter().position(|j| j == job).unwrap()];
        match Controller::new(store).check_until_answered(&jobs) {
            CheckedDependencies::NeverAccepted(job) => {
                prop_assert_eq!(state_of(&job), Named::NeverAccepted);
            }
            CheckedDependencies::Cancelled => {
                prop_assert!(!states.contains(&Named::NeverAccepted));
                prop_assert!(states.contains(&Named::Cancelled));
            }
            CheckedDependencies::Accepted => {
                let is_accepted = |state: &Named| matches!(state, Named::Open | Named::Done);
                prop_assert!(states.iter().all(is_accepted));
            }
            other => panic!("{other:?}"),
        }
    }
}

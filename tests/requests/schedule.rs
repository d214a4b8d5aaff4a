//! Generates schedules and runs them.

use crate::coverage::Coverage;
use crate::jobs::{dependency_of, id_of, recorded_final_state, JOBS};
use crate::model::Delivery;
use crate::rules::Kind;
use crate::simulation::{Simulation, CONTROLLERS};
use proptest::prelude::*;
use proptest::strategy::Union;
use proptest::test_runner::{RngSeed, TestRunner};
use stairstage::protocol::job::JobState;
use std::cell::RefCell;

/// A fixed seed: each run has the same schedules.
const SEED: u64 = 20;
/// Number of schedules per test.
const CASES: u32 = 300;
/// Number of steps in a schedule.
const STEPS: std::ops::Range<usize> = 50..300;
/// Jobs below this number can be accepted and reach a final state.
const ACCEPTED_JOBS: u8 = 5;
/// One bit for each controller.
const ALL_CONTROLLERS: u8 = (1 << CONTROLLERS) - 1;

/// A step of a schedule.
#[derive(Clone, Debug)]
enum Step {
    UserRequest(Kind, u8, usize),
    /// Resumes one of the waiting operations.
    Advance(u8, Delivery),
    /// The batcher of a controller ticks.
    Tick(usize),
    ApplyDelayedWrite(u8),
    DeliverToLeader(u8),
    LeaderFinishesJob(u8, Delivery),
    ExpireLease,
    Elect(usize),
    LearnLeader(usize),
    /// The state service rejects the controllers whose bits are set.
    Reject(u8),
    /// A controller gets a list of machine types: only ones that are too small, or the usual ones.
    SetMachineTypes(usize, bool),
}

/// The weights of the steps and faults in a schedule.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    pub response_lost: u32,
    pub delayed: u32,
    pub request_lost: u32,
    pub rejected: u32,
    /// The state service rejects controllers for a while.
    pub rejection_periods: u32,
    /// The leader records the final state of a job.
    pub final_writes: u32,
    pub cancellations: u32,
    /// Whether users query all controllers, and repeat the submission, after each reported state change.
    pub ask_after_each_change: bool,
    /// Requests about jobs that are never accepted, and changes of the machine types.
    pub invalid_jobs: u32,
    /// Changes of the leader that not all controllers learn at once.
    pub elections: u32,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            response_lost: 2,
            delayed: 2,
            request_lost: 1,
            rejected: 1,
            rejection_periods: 1,
            final_writes: 3,
            cancellations: 4,
            ask_after_each_change: false,
            invalid_jobs: 1,
            elections: 1,
        }
    }
}

/// One of the jobs that may be accepted. Most requests are about the first two, so that they overlap.
fn accepted_job() -> impl Strategy<Value = u8> {
    prop_oneof![4 => 0..2u8, 1 => 2..ACCEPTED_JOBS]
}

/// One of the options by their weights; an option of weight 0 never occurs.
fn any_of<T: std::fmt::Debug>(options: Vec<(u32, BoxedStrategy<T>)>) -> Union<BoxedStrategy<T>> {
    Union::new_weighted(
        options
            .into_iter()
            .filter(|(weight, _)| *weight > 0)
            .collect(),
    )
}

/// No controller, one, or all, as bits.
fn rejected_controllers() -> impl Strategy<Value = u8> {
    let one = (0..CONTROLLERS).prop_map(|controller| 1 << controller);
    prop_oneof![1 => Just(0), 2 => one, 2 => Just(ALL_CONTROLLERS)]
}

impl Faults {
    /// No faults: users submit, query and cancel, and the leader records no final state.
    pub(crate) const NONE: Faults = Faults {
        response_lost: 0,
        delayed: 0,
        request_lost: 0,
        rejected: 0,
        rejection_periods: 0,
        final_writes: 0,
        cancellations: 1,
        ask_after_each_change: false,
        invalid_jobs: 0,
        elections: 0,
    };

    /// How a call is delivered.
    fn delivery(self) -> impl Strategy<Value = Delivery> {
        any_of(vec![
            (20, Just(Delivery::Answered).boxed()),
            (self.response_lost, Just(Delivery::ResponseLost).boxed()),
            (self.delayed, Just(Delivery::Delayed).boxed()),
            (self.request_lost, Just(Delivery::RequestLost).boxed()),
            (self.rejected, Just(Delivery::Rejected).boxed()),
        ])
    }

    /// A user's request to one of the controllers.
    fn user_request(self) -> impl Strategy<Value = Step> {
        let kind = prop_oneof![
            5 => Just(Kind::Submit),
            6 => Just(Kind::Query),
            self.cancellations => Just(Kind::Cancel),
        ];
        let invalid_jobs = (self.invalid_jobs, (ACCEPTED_JOBS..JOBS).boxed());
        let job = any_of(vec![(10, accepted_job().boxed()), invalid_jobs]);
        (kind, job, 0..CONTROLLERS)
            .prop_map(|(kind, job, controller)| Step::UserRequest(kind, job, controller))
    }

    /// Any step.
    fn step(self) -> impl Strategy<Value = Step> {
        let controllers = || 0..CONTROLLERS;
        let advance = (any::<u8>(), self.delivery())
            .prop_map(|(pick, delivery)| Step::Advance(pick, delivery));
        let finish = (accepted_job(), self.delivery())
            .prop_map(|(job, delivery)| Step::LeaderFinishesJob(job, delivery));
        let types = (controllers(), any::<bool>())
            .prop_map(|(controller, small)| Step::SetMachineTypes(controller, small));
        any_of(vec![
            (10, self.user_request().boxed()),
            (30, advance.boxed()),
            (3, controllers().prop_map(Step::Tick).boxed()),
            (3, any::<u8>().prop_map(Step::ApplyDelayedWrite).boxed()),
            (4, accepted_job().prop_map(Step::DeliverToLeader).boxed()),
            (self.final_writes, finish.boxed()),
            (self.elections, Just(Step::ExpireLease).boxed()),
            (
                2 * self.elections,
                controllers().prop_map(Step::Elect).boxed(),
            ),
            (
                self.elections,
                controllers().prop_map(Step::LearnLeader).boxed(),
            ),
            (self.invalid_jobs, types.boxed()),
            (
                self.rejection_periods,
                rejected_controllers().prop_map(Step::Reject).boxed(),
            ),
        ])
    }

    /// Runs many schedules; returns what they have covered.
    pub(crate) fn run(self) -> Coverage {
        let coverage = RefCell::new(Coverage::default());
        let mut runner = TestRunner::new(ProptestConfig {
            rng_seed: RngSeed::Fixed(SEED),
            cases: CASES,
            failure_persistence: None,
            ..ProptestConfig::default()
        });
        let steps = prop::collection::vec(self.step(), STEPS);
        let result = runner.run(&steps, |steps| {
            *coverage.borrow_mut() += run_schedule(&steps, self.ask_after_each_change);
            Ok(())
        });
        if let Err(error) = result {
            panic!("{error}");
        }
        coverage.into_inner()
    }
}

/// Carries out one step.
fn carry_out_step(simulation: &mut Simulation, step: &Step) {
    match *step {
        Step::UserRequest(kind, job, controller) => simulation.send_request(kind, job, controller),
        Step::Advance(pick, delivery) => simulation.advance(pick, delivery),
        Step::Tick(controller) => simulation.tick(controller),
        Step::ApplyDelayedWrite(pick) => simulation.apply_delayed_write(pick),
        Step::DeliverToLeader(job) => simulation.deliver_to_leader(job),
        Step::LeaderFinishesJob(job, delivery) => simulation.leader_finishes_job(job, delivery),
        Step::ExpireLease => simulation.expire_lease(),
        Step::Elect(controller) => simulation.elect(controller),
        Step::LearnLeader(controller) => simulation.learn_leader(controller),
        Step::Reject(bits) => simulation.reject(bits),
        Step::SetMachineTypes(controller, small) => {
            simulation.controllers[controller].small_types = small;
        }
    }
}

/// Runs a schedule, ends all faults, and checks that every accepted job is still known.
fn run_schedule(steps: &[Step], ask_after_each_change: bool) -> Coverage {
    let mut simulation = Simulation::new();
    simulation.ask_after_each_change = ask_after_each_change;
    steps
        .iter()
        .for_each(|step| carry_out_step(&mut simulation, step));
    simulation.settle();
    assert_every_accepted_job_is_known(&mut simulation);
    simulation.coverage
}

/// Checks that, once the faults are over, every controller answers queries, repeated submissions and
/// cancellations of every job whose state was reported.
fn assert_every_accepted_job_is_known(simulation: &mut Simulation) {
    for job in 0..JOBS {
        for kind in [Kind::Query, Kind::Submit, Kind::Cancel] {
            let is_reported = simulation.checker.reported(job).is_some()
                && !is_dependency_cancelled(simulation, job);
            let before = simulation.coverage.answers(kind, 200);
            (0..CONTROLLERS).for_each(|controller| simulation.send_request(kind, job, controller));
            simulation.finish_all();
            let known = simulation.coverage.answers(kind, 200) - before;
            assert!(
                !is_reported || known == CONTROLLERS,
                "reported job is not known to all controllers: {kind:?} {}",
                id_of(job)
            );
        }
    }
}

/// Whether a dependency is cancelled, and the job has no final state on record yet.
fn is_dependency_cancelled(simulation: &Simulation, job: u8) -> bool {
    let final_state = |job| recorded_final_state(&simulation.store, job);
    let dependency = dependency_of(job);
    final_state(job).is_none()
        && dependency.is_some_and(|n| {
            final_state(n) == Some(JobState::Cancelled) || is_dependency_cancelled(simulation, n)
        })
}

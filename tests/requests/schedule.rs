//! Generated schedules, and how one is played.

use crate::coverage::Coverage;
use crate::jobs::{dependency_of, id_of, recorded_end, JOBS};
use crate::parts::Fate;
use crate::rules::Kind;
use crate::simulation::{Simulation, NODES};
use proptest::prelude::*;
use proptest::strategy::Union;
use proptest::test_runner::{RngSeed, TestRunner};
use stairstage::protocol::job::JobState;
use std::cell::RefCell;

/// The same schedules in each run.
const SEED: u64 = 20;
/// Schedules of each test.
const CASES: u32 = 300;
/// Steps of a schedule.
const STEPS: std::ops::Range<usize> = 50..300;
/// Jobs below this number are accepted and end.
const ENDING: u8 = 5;
/// A bit for each node.
const ALL_NODES: u8 = (1 << NODES) - 1;

/// What happens next.
#[derive(Clone, Debug)]
enum Step {
    Ask(Kind, u8, usize),
    /// One of those that wait is answered, or not.
    Advance(u8, Fate),
    /// The batcher of a node ticks.
    Tick(usize),
    LateWrite(u8),
    DeliverToLeader(u8),
    LeaderEndsJob(u8, Fate),
    Depose,
    Elect(usize),
    Follow(usize),
    /// The state service refuses the nodes whose bits are set.
    Refuse(u8),
    /// A node learns of other machine types.
    Types(usize, bool),
}

/// The weights of the kinds of faults in a schedule.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    pub answer_lost: u32,
    pub late: u32,
    pub lost: u32,
    pub refused: u32,
    /// The state service refuses nodes for a while.
    pub refusals: u32,
    pub ends: u32,
    pub cancellations: u32,
    /// Whether users query all nodes at once whenever a new state is reported.
    pub close_looks: bool,
    /// Requests about jobs that are never accepted, and changes of the machine types.
    pub odd: u32,
    /// Changes of leader that not all nodes learn of at once.
    pub elections: u32,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            answer_lost: 2,
            late: 2,
            lost: 1,
            refused: 1,
            refusals: 1,
            ends: 3,
            cancellations: 4,
            close_looks: false,
            odd: 1,
            elections: 1,
        }
    }
}

/// One of the jobs that may be accepted; most requests meet at the same few.
fn accepted_job() -> impl Strategy<Value = u8> {
    prop_oneof![4 => 0..2u8, 1 => 2..ENDING]
}

/// One of these, each as often as its share says; those without a share never.
fn any_of<T: std::fmt::Debug>(options: Vec<(u32, BoxedStrategy<T>)>) -> Union<BoxedStrategy<T>> {
    Union::new_weighted(
        options
            .into_iter()
            .filter(|(share, _)| *share > 0)
            .collect(),
    )
}

/// None, one, or all, as bits.
fn refused_nodes() -> impl Strategy<Value = u8> {
    let one = (0..NODES).prop_map(|node| 1 << node);
    prop_oneof![1 => Just(0), 2 => one, 2 => Just(ALL_NODES)]
}

impl Faults {
    /// Users ask, cancel and submit again, and no job ends.
    pub(crate) const NONE: Faults = Faults {
        answer_lost: 0,
        late: 0,
        lost: 0,
        refused: 0,
        refusals: 0,
        ends: 0,
        cancellations: 1,
        close_looks: false,
        odd: 0,
        elections: 0,
    };

    /// What becomes of a call.
    fn fate(self) -> impl Strategy<Value = Fate> {
        any_of(vec![
            (20, Just(Fate::Answered).boxed()),
            (self.answer_lost, Just(Fate::AnswerLost).boxed()),
            (self.late, Just(Fate::Late).boxed()),
            (self.lost, Just(Fate::Lost).boxed()),
            (self.refused, Just(Fate::Refused).boxed()),
        ])
    }

    /// A user asks for something.
    fn ask(self) -> impl Strategy<Value = Step> {
        let kind = prop_oneof![
            5 => Just(Kind::Submit),
            6 => Just(Kind::Query),
            self.cancellations => Just(Kind::Cancel),
        ];
        let odd = (self.odd, (ENDING..JOBS).boxed());
        let job = any_of(vec![(10, accepted_job().boxed()), odd]);
        (kind, job, 0..NODES).prop_map(|(kind, job, node)| Step::Ask(kind, job, node))
    }

    /// Any step.
    fn step(self) -> impl Strategy<Value = Step> {
        let nodes = || 0..NODES;
        let advance = (any::<u8>(), self.fate()).prop_map(|(pick, fate)| Step::Advance(pick, fate));
        let end =
            (accepted_job(), self.fate()).prop_map(|(job, fate)| Step::LeaderEndsJob(job, fate));
        let types = (nodes(), any::<bool>()).prop_map(|(node, small)| Step::Types(node, small));
        any_of(vec![
            (10, self.ask().boxed()),
            (30, advance.boxed()),
            (3, nodes().prop_map(Step::Tick).boxed()),
            (3, any::<u8>().prop_map(Step::LateWrite).boxed()),
            (4, accepted_job().prop_map(Step::DeliverToLeader).boxed()),
            (self.ends, end.boxed()),
            (self.elections, Just(Step::Depose).boxed()),
            (2 * self.elections, nodes().prop_map(Step::Elect).boxed()),
            (self.elections, nodes().prop_map(Step::Follow).boxed()),
            (self.odd, types.boxed()),
            (
                self.refusals,
                refused_nodes().prop_map(Step::Refuse).boxed(),
            ),
        ])
    }

    /// Plays many schedules; returns what they have covered.
    pub(crate) fn play(self) -> Coverage {
        let coverage = RefCell::new(Coverage::default());
        let mut runner = TestRunner::new(ProptestConfig {
            rng_seed: RngSeed::Fixed(SEED),
            cases: CASES,
            failure_persistence: None,
            ..ProptestConfig::default()
        });
        let steps = prop::collection::vec(self.step(), STEPS);
        let played = runner.run(&steps, |steps| {
            *coverage.borrow_mut() += play(&steps, self.close_looks);
            Ok(())
        });
        if let Err(error) = played {
            panic!("{error}");
        }
        coverage.into_inner()
    }
}

/// Carries out one step.
fn carry_out_step(simulation: &mut Simulation, step: &Step) {
    match *step {
        Step::Ask(kind, job, node) => simulation.ask(kind, job, node),
        Step::Advance(pick, fate) => simulation.advance(pick, fate),
        Step::Tick(node) => simulation.tick(node),
        Step::LateWrite(pick) => simulation.late_write(pick),
        Step::DeliverToLeader(job) => simulation.deliver_to_leader(job),
        Step::LeaderEndsJob(job, fate) => simulation.leader_ends_job(job, fate),
        Step::Depose => simulation.depose(),
        Step::Elect(node) => simulation.elect(node),
        Step::Follow(node) => simulation.follow(node),
        Step::Refuse(bits) => simulation.refuse(bits),
        Step::Types(node, small) => simulation.nodes[node].small_types = small,
    }
}

/// Plays a schedule to its end, and checks what is known then.
fn play(steps: &[Step], close_looks: bool) -> Coverage {
    let mut simulation = Simulation::new();
    simulation.close_looks = close_looks;
    steps
        .iter()
        .for_each(|step| carry_out_step(&mut simulation, step));
    simulation.settle();
    every_accepted_job_is_known(&mut simulation);
    simulation.coverage
}

/// Once the faults are over, every node knows every job that was accepted, accepts its submission again
/// and cancels it, if it has not ended.
fn every_accepted_job_is_known(simulation: &mut Simulation) {
    for job in 0..JOBS {
        for kind in [Kind::Query, Kind::Submit, Kind::Cancel] {
            let is_reported = simulation.ledger.reported(job).is_some()
                && !is_dependency_cancelled(simulation, job);
            let before = simulation.coverage.answers(kind, 200);
            (0..NODES).for_each(|node| simulation.ask(kind, job, node));
            simulation.finish_all();
            let known = simulation.coverage.answers(kind, 200) - before;
            assert!(
                !is_reported || known == NODES,
                "forgotten: {kind:?} {}",
                id_of(job)
            );
        }
    }
}

/// Whether a dependency is cancelled, and the end of the job itself is not on record yet.
fn is_dependency_cancelled(simulation: &Simulation, job: u8) -> bool {
    let end = |job| recorded_end(&simulation.store, job);
    let needed = dependency_of(job);
    end(job).is_none()
        && needed.is_some_and(|n| {
            end(n) == Some(JobState::Cancelled) || is_dependency_cancelled(simulation, n)
        })
}

//! Simulated upgrades with generated events: controllers of old and new releases start, stop, roll back
//! and write, while two operators finalize and abort, responses are lost and changes are applied late.
//! The invariants are checked against the records at every step.

use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use stairstage_upgrade::fence::WriteFence;
use stairstage_upgrade::operation::{
    Change, ChangeOutcome, Condition, Operation, Outcome, Request, Step,
};
use stairstage_upgrade::plan::{Initiator, Timing};
use stairstage_upgrade::records::{member_key, Controller, Member, VERSION_KEY};
use stairstage_upgrade::{
    ClusterVersion, FeatureGate, MemberRecord, Snapshot, UpgradePolicy, VersionRange, VersionRecord,
};
use std::cell::RefCell;
use std::collections::BTreeMap;

/// The number of controllers in each simulation.
const CONTROLLERS: usize = 3;
/// The number of operators who finalize and abort at the same time.
const OPERATORS: usize = 2;
/// The number of simulations.
const CASES: u32 = 400;
/// A fixed seed, so that each run simulates the same events.
const SEED: u64 = 24;
/// The oldest and newest version that each release supports.
const RELEASES: [(u32, u32); 4] = [(1, 1), (1, 2), (2, 3), (3, 3)];

/// One step of a simulation.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A controller's process starts with a release and replaces the process that ran before.
    Start { controller: usize, release: usize },
    /// A controller's process stops; its lease expires with it or later.
    Stop {
        controller: usize,
        lease_expires: bool,
    },
    /// The lease of a stopped process expires.
    LeaseExpires(usize),
    /// A controller reads the version record.
    ReadVersion(usize),
    /// A controller writes a record in the newest format that its gates allow.
    Write(usize),
    /// An operator starts an operation, unless one is in progress.
    BeginOperation { operator: usize, aborts: bool },
    /// An operator's operation takes its next step.
    StepOperation { operator: usize, fate: Fate },
    /// A delayed change without a response is applied.
    ApplyDelayed,
}

/// What happens to a call to the state service.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Answered,
    /// The call is executed, and its response is lost.
    ResponseLost,
    /// There is no response, and the call may be executed later.
    Delayed,
    Refused,
}

/// A running process of a controller.
struct Process {
    versions: VersionRange,
    write_fence: WriteFence,
}

/// How often each kind of event has occurred.
#[derive(Default)]
struct Counts {
    activations: usize,
    fenced_writes: usize,
    writes: usize,
    withdrawals: usize,
    aborted: usize,
    delayed: usize,
    refused: usize,
}

/// The records, the processes of controllers and the operations of operators.
struct Simulation {
    mod_revision: u64,
    version: Option<(VersionRecord, u64)>,
    members: BTreeMap<String, Member>,
    processes: Vec<Option<Process>>,
    operations: Vec<Option<(Operation, Step)>>,
    /// The `mod_revision` of the version record that each operator read last.
    last_read: [u64; OPERATORS],
    /// Delayed changes, each with the `mod_revision` of the version record on which it is based.
    delayed: Vec<(Change, u64)>,
    counts: Counts,
}

/// The name of a controller.
fn name_of(controller: usize) -> String {
    format!("deckhand-{controller}")
}

/// The versions that a release supports.
fn range_of(release: usize) -> VersionRange {
    let (oldest, newest) = RELEASES[release];
    VersionRange {
        oldest: ClusterVersion(oldest),
        newest: ClusterVersion(newest),
    }
}

impl Simulation {
    fn new() -> Simulation {
        Simulation {
            mod_revision: 0,
            version: None,
            members: BTreeMap::new(),
            processes: (0..CONTROLLERS).map(|_| None).collect(),
            operations: (0..OPERATORS).map(|_| None).collect(),
            last_read: [0; OPERATORS],
            delayed: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// The active version according to the version record.
    fn active(&self) -> ClusterVersion {
        self.version
            .map_or(ClusterVersion::FIRST, |(v, _)| v.active)
    }

    /// The `mod_revision` of the version record; 0 without a record.
    fn version_mod_revision(&self) -> u64 {
        self.version.map_or(0, |(_, mod_revision)| mod_revision)
    }

    /// All records as an operation reads them.
    fn snapshot(&self) -> Snapshot {
        let controllers = (0..CONTROLLERS).map(|i| Controller {
            name: name_of(i),
            member: self.members.get(&name_of(i)).cloned(),
            seen: None,
        });
        Snapshot {
            version: self.version.map_or(VersionRecord::FIRST, |(v, _)| v),
            mod_revision: self.version_mod_revision(),
            controllers: controllers.collect(),
        }
    }

    /// The `mod_revision` of a key; 0 without a record.
    fn mod_revision_of(&self, key: &str) -> u64 {
        if key == VERSION_KEY {
            return self.version_mod_revision();
        }
        let member = (0..CONTROLLERS)
            .map(name_of)
            .find(|name| member_key(name) == key);
        let member = member.and_then(|name| self.members.get(&name));
        member.map_or(0, |member| member.mod_revision)
    }

    /// Applies a change of the version record if its conditions hold, and checks that the version increases
    /// by one and that all controllers support it.
    fn apply(&mut self, change: &Change, based_on: u64) -> bool {
        let holds =
            |condition: &Condition| self.mod_revision_of(&condition.key) == condition.mod_revision;
        if !change.conditions.iter().all(holds) {
            return false;
        }
        let current = self.version_mod_revision();
        assert_eq!(based_on, current, "based on a stale version record");
        let (before, after) = (self.active(), change.record.active);
        assert!(after >= before, "the version decreased");
        if after > before {
            assert_eq!(
                after,
                before.next(),
                "the version increased by more than one"
            );
            for i in 0..CONTROLLERS {
                let member = self.members.get(&name_of(i));
                let supported = member.is_some_and(|member| member.record.versions.contains(after));
                assert!(supported, "{} does not support {after}", name_of(i));
            }
            self.counts.activations += 1;
        }
        self.mod_revision += 1;
        self.version = Some((change.record, self.mod_revision));
        true
    }

    /// A process starts with a release and registers.
    fn start(&mut self, controller: usize, release: usize) {
        let versions = range_of(release);
        self.mod_revision += 1;
        let record = MemberRecord {
            release: format!("0.{release}"),
            versions,
            since_ms: 0,
        };
        let mod_revision = self.mod_revision;
        self.members.insert(
            name_of(controller),
            Member {
                record,
                mod_revision,
            },
        );
        let write_fence = WriteFence::Unread;
        self.processes[controller] = Some(Process {
            versions,
            write_fence,
        });
    }

    /// A controller reads the version record and withdraws if it does not support the active version.
    fn read_version(&mut self, controller: usize) {
        let snapshot = self.snapshot();
        let Some(process) = &mut self.processes[controller] else {
            return;
        };
        let (record, mod_revision) = (snapshot.version, snapshot.mod_revision);
        process
            .write_fence
            .apply(process.versions, &record, mod_revision);
        let supported = process.versions.contains(record.active);
        assert_eq!(process.write_fence.must_withdraw(), !supported);
        self.counts.withdrawals += usize::from(!supported);
    }

    /// A controller writes in the format of the version that it believes to be active. A write that compares
    /// a stale `mod_revision` fails; any other must be in the format of the active version.
    fn write(&mut self, controller: usize) {
        let (active, mod_revision) = (self.active(), self.version_mod_revision());
        let Some(process) = &mut self.processes[controller] else {
            return;
        };
        let write_fence = process.write_fence;
        if write_fence.refusal().is_some() {
            return;
        }
        let pipelines = write_fence.gates().is_open(FeatureGate::Pipelines);
        if write_fence.mod_revision() != Some(mod_revision) {
            self.counts.fenced_writes += 1;
            return;
        }
        self.counts.writes += 1;
        assert!(
            process.versions.contains(active),
            "wrote at an unsupported version"
        );
        assert_eq!(
            pipelines,
            active >= ClusterVersion(2),
            "wrote in an old format"
        );
    }

    /// An operator starts finalizing or aborting, unless an operation is in progress.
    fn begin_operation(&mut self, operator: usize, aborts: bool) {
        let request = if aborts {
            Request::Abort
        } else {
            Request::Finalize(Initiator::Operator)
        };
        let timing = Timing {
            now_ms: 0,
            skew_ms: 0,
            soak_s: 0.0,
        };
        let begun = Operation::begin(request, UpgradePolicy::default(), timing);
        self.operations[operator].get_or_insert(begun);
    }

    /// The operation of an operator takes its next step.
    fn step_operation(&mut self, operator: usize, fate: Fate) {
        let Some((mut operation, step)) = self.operations[operator].take() else {
            return;
        };
        let next = match step {
            Step::Read => {
                let snapshot = (fate == Fate::Answered).then(|| self.snapshot());
                if let Some(snapshot) = &snapshot {
                    self.last_read[operator] = snapshot.mod_revision;
                }
                operation.read(snapshot.as_ref(), 0)
            }
            Step::Commit(change) => {
                let committed = self.commit(operator, change, fate);
                operation.committed(committed)
            }
            Step::Finished(outcome) => return self.check_outcome(outcome),
        };
        self.operations[operator] = Some((operation, next));
    }

    /// Commits a change with the given fate of the call.
    fn commit(&mut self, operator: usize, change: Change, fate: Fate) -> ChangeOutcome {
        let based_on = self.last_read[operator];
        match fate {
            Fate::Answered if self.apply(&change, based_on) => ChangeOutcome::Applied,
            Fate::Answered => ChangeOutcome::Conflict,
            Fate::ResponseLost => {
                self.apply(&change, based_on);
                ChangeOutcome::Indeterminate
            }
            Fate::Delayed => {
                self.delayed.push((change, based_on));
                ChangeOutcome::Indeterminate
            }
            Fate::Refused => ChangeOutcome::Rejected,
        }
    }

    /// Checks that the outcome of an operation agrees with the records.
    fn check_outcome(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Finalized(version) => assert!(self.active() >= version),
            Outcome::Aborted(_) => self.counts.aborted += 1,
            Outcome::AlreadyFinalized(version) => assert!(self.active() >= version),
            Outcome::Refused(holds) => {
                assert!(!holds.is_empty(), "a refusal has a reason");
                self.counts.refused += 1;
            }
            Outcome::Undecided => {}
        }
    }

    /// Simulates an event.
    fn handle(&mut self, event: Event) {
        match event {
            Event::Start {
                controller,
                release,
            } => self.start(controller, release),
            Event::Stop {
                controller,
                lease_expires,
            } => {
                self.processes[controller] = None;
                if lease_expires {
                    self.members.remove(&name_of(controller));
                }
            }
            Event::LeaseExpires(controller) if self.processes[controller].is_none() => {
                self.members.remove(&name_of(controller));
            }
            Event::LeaseExpires(_) => {}
            Event::ReadVersion(controller) => self.read_version(controller),
            Event::Write(controller) => self.write(controller),
            Event::BeginOperation { operator, aborts } => self.begin_operation(operator, aborts),
            Event::StepOperation { operator, fate } => self.step_operation(operator, fate),
            Event::ApplyDelayed => {
                if let Some((change, based_on)) = self.delayed.pop() {
                    self.counts.delayed += usize::from(self.apply(&change, based_on));
                }
            }
        }
    }
}

/// Generates the fate of a call.
fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        10 => Just(Fate::Answered),
        1 => Just(Fate::ResponseLost),
        3 => Just(Fate::Delayed),
        1 => Just(Fate::Refused),
    ]
}

/// Generates an event.
fn event() -> impl Strategy<Value = Event> {
    let controllers = || 0..CONTROLLERS;
    let operators = || 0..OPERATORS;
    prop_oneof![
        3 => (controllers(), prop_oneof![1 => Just(0usize), 6 => Just(1), 3 => Just(2), 1 => Just(3)])
            .prop_map(|(controller, release)| Event::Start { controller, release }),
        1 => (controllers(), any::<bool>())
            .prop_map(|(controller, lease_expires)| Event::Stop { controller, lease_expires }),
        1 => controllers().prop_map(Event::LeaseExpires),
        4 => controllers().prop_map(Event::ReadVersion),
        6 => controllers().prop_map(Event::Write),
        3 => (operators(), prop::bool::weighted(0.2))
            .prop_map(|(operator, aborts)| Event::BeginOperation { operator, aborts }),
        8 => (operators(), fate()).prop_map(|(operator, fate)| Event::StepOperation { operator, fate }),
        3 => Just(Event::ApplyDelayed),
    ]
}

#[test]
fn no_old_format_is_written_after_activation_and_no_unsupported_version_is_activated() {
    let totals = RefCell::new(Counts::default());
    let mut runner = TestRunner::new(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        cases: CASES,
        failure_persistence: None,
        ..ProptestConfig::default()
    });
    let events = prop::collection::vec(event(), 100..400);
    let result = runner.run(&events, |events| {
        let mut simulation = Simulation::new();
        events
            .into_iter()
            .for_each(|event| simulation.handle(event));
        let mut totals = totals.borrow_mut();
        totals.activations += simulation.counts.activations;
        totals.fenced_writes += simulation.counts.fenced_writes;
        totals.writes += simulation.counts.writes;
        totals.withdrawals += simulation.counts.withdrawals;
        totals.aborted += simulation.counts.aborted;
        totals.delayed += simulation.counts.delayed;
        totals.refused += simulation.counts.refused;
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
    let counts = totals.into_inner();
    for (what, times) in [
        ("activations", counts.activations),
        ("fenced writes", counts.fenced_writes),
        ("writes", counts.writes),
        ("withdrawals", counts.withdrawals),
        ("aborts", counts.aborted),
        ("delayed changes", counts.delayed),
        ("refusals", counts.refused),
    ] {
        assert!(times > 20, "{what} occurred only {times} times");
    }
}

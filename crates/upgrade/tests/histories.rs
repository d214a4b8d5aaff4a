//! Generated histories: controllers of old and new releases come, go, roll back and write, while two
//! operators finalize and abort, answers are lost and changes are carried out late. The rules are
//! checked at every step against the records themselves.

use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use stairstage_upgrade::fence::WriteFence;
use stairstage_upgrade::operation::{
    Change, ChangeOutcome, Condition, Operation, Outcome, Request, Step,
};
use stairstage_upgrade::plan::{Initiator, Timing};
use stairstage_upgrade::records::{member_key, Controller, Member, VERSION};
use stairstage_upgrade::{
    ClusterVersion, FeatureGate, MemberRecord, Snapshot, UpgradePolicy, VersionRange, VersionRecord,
};
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Controllers of each history.
const CONTROLLERS: usize = 3;
/// Operators who finalize and abort at the same time.
const OPERATORS: usize = 2;
/// Histories that are played.
const CASES: u32 = 400;
/// The same histories in each run.
const SEED: u64 = 24;
/// Releases, and the versions that they work at.
const RELEASES: [(u32, u32); 4] = [(1, 1), (1, 2), (2, 3), (3, 3)];

/// What happens next.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A controller's process starts with a release, whatever ran there before.
    Start {
        controller: usize,
        release: usize,
    },
    /// It ends, and its lease with it, at once or later.
    End {
        controller: usize,
        lease_ends: bool,
    },
    /// The lease of a process that has ended is over.
    LeaseEnds(usize),
    /// A controller reads the version's record.
    Reads(usize),
    /// It writes a record in the newest format that it may.
    Writes(usize),
    /// An operator begins, or takes the next step.
    Asks {
        operator: usize,
        aborts: bool,
    },
    Steps {
        operator: usize,
        fate: Fate,
    },
    /// A change without an answer is carried out after all.
    Late,
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Answered,
    /// Carried out, and the answer is lost.
    AnswerLost,
    /// Unanswered, and perhaps carried out later.
    Late,
    Refused,
}

/// A process of a controller.
struct Process {
    versions: VersionRange,
    write_fence: WriteFence,
}

/// How often each has come about.
#[derive(Default)]
struct Seen {
    rises: usize,
    fenced_writes: usize,
    writes: usize,
    withdrawn: usize,
    called_off: usize,
    late: usize,
    refused: usize,
}

/// The records, the processes of controllers and the operations of operators.
struct World {
    stamp: u64,
    version: Option<(VersionRecord, u64)>,
    members: BTreeMap<String, Member>,
    processes: Vec<Option<Process>>,
    operations: Vec<Option<(Operation, Step)>>,
    /// The stamp of the version's record that each operator has read last.
    read: [u64; OPERATORS],
    /// With the stamp that each was decided by.
    late: Vec<(Change, u64)>,
    seen: Seen,
}

/// The name of a controller.
fn name_of(controller: usize) -> String {
    format!("deckhand-{controller}")
}

/// The versions that a release works at.
fn range_of(release: usize) -> VersionRange {
    let (oldest, newest) = RELEASES[release];
    VersionRange {
        oldest: ClusterVersion(oldest),
        newest: ClusterVersion(newest),
    }
}

impl World {
    fn new() -> World {
        World {
            stamp: 0,
            version: None,
            members: BTreeMap::new(),
            processes: (0..CONTROLLERS).map(|_| None).collect(),
            operations: (0..OPERATORS).map(|_| None).collect(),
            read: [0; OPERATORS],
            late: Vec::new(),
            seen: Seen::default(),
        }
    }

    /// The version that is active by the record.
    fn active(&self) -> ClusterVersion {
        self.version
            .map_or(ClusterVersion::FIRST, |(v, _)| v.active)
    }

    /// The stamp of the record of the version, 0 without one.
    fn version_stamp(&self) -> u64 {
        self.version.map_or(0, |(_, stamp)| stamp)
    }

    /// All records, as an operation reads them.
    fn snapshot(&self) -> Snapshot {
        let controllers = (0..CONTROLLERS).map(|i| Controller {
            name: name_of(i),
            member: self.members.get(&name_of(i)).cloned(),
            seen: None,
        });
        Snapshot {
            version: self.version.map_or(VersionRecord::FIRST, |(v, _)| v),
            stamp: self.version_stamp(),
            controllers: controllers.collect(),
        }
    }

    /// The stamp of a key, 0 without a record.
    fn stamp_of(&self, key: &str) -> u64 {
        if key == VERSION {
            return self.version_stamp();
        }
        let member = (0..CONTROLLERS)
            .map(name_of)
            .find(|name| member_key(name) == key);
        let member = member.and_then(|name| self.members.get(&name));
        member.map_or(0, |member| member.stamp)
    }

    /// Carries a change of the version out, if its conditions hold; checks the rules of rises.
    fn apply(&mut self, change: &Change, decided_by: u64) -> bool {
        let holds = |condition: &Condition| self.stamp_of(&condition.key) == condition.stamp;
        if !change.conditions.iter().all(holds) {
            return false;
        }
        let current = self.version_stamp();
        assert_eq!(decided_by, current, "decided by an earlier record");
        let (before, after) = (self.active(), change.record.active);
        assert!(after >= before, "the version never goes down");
        if after > before {
            assert_eq!(after, before.next(), "versions rise one by one");
            for i in 0..CONTROLLERS {
                let member = self.members.get(&name_of(i));
                let follows = member.is_some_and(|member| member.record.versions.contains(after));
                assert!(follows, "{} can't follow to {after}", name_of(i));
            }
            self.seen.rises += 1;
        }
        self.stamp += 1;
        self.version = Some((change.record, self.stamp));
        true
    }

    /// A process starts with a release, and registers.
    fn start(&mut self, controller: usize, release: usize) {
        let versions = range_of(release);
        self.stamp += 1;
        let record = MemberRecord {
            release: format!("0.{release}"),
            versions,
            since_ms: 0,
        };
        let stamp = self.stamp;
        self.members
            .insert(name_of(controller), Member { record, stamp });
        let write_fence = WriteFence::Unread;
        self.processes[controller] = Some(Process {
            versions,
            write_fence,
        });
    }

    /// A controller reads the record of the version, and withdraws if it cannot follow.
    fn reads(&mut self, controller: usize) {
        let snapshot = self.snapshot();
        let Some(process) = &mut self.processes[controller] else {
            return;
        };
        let (record, stamp) = (snapshot.version, snapshot.stamp);
        process.write_fence.read(process.versions, &record, stamp);
        let follows = process.versions.contains(record.active);
        assert_eq!(process.write_fence.must_withdraw(), !follows);
        self.seen.withdrawn += usize::from(!follows);
    }

    /// What is written is in the format of the version that its writer believes to be active.
    fn writes(&mut self, controller: usize) {
        let (active, stamp) = (self.active(), self.version_stamp());
        let Some(process) = &mut self.processes[controller] else {
            return;
        };
        let write_fence = process.write_fence;
        if write_fence.refusal().is_some() {
            return;
        }
        let pipelines = write_fence.gates().is_open(FeatureGate::Pipelines);
        if write_fence.stamp() != Some(stamp) {
            self.seen.fenced_writes += 1;
            return;
        }
        self.seen.writes += 1;
        assert!(process.versions.contains(active), "writes beyond its range");
        assert_eq!(pipelines, active >= ClusterVersion(2), "an old format");
    }

    /// An operator begins to finalize or to abort, unless an operation is under way.
    fn asks(&mut self, operator: usize, aborts: bool) {
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
    fn steps(&mut self, operator: usize, fate: Fate) {
        let Some((mut operation, step)) = self.operations[operator].take() else {
            return;
        };
        let next = match step {
            Step::Read => {
                let snapshot = (fate == Fate::Answered).then(|| self.snapshot());
                if let Some(snapshot) = &snapshot {
                    self.read[operator] = snapshot.stamp;
                }
                operation.read(snapshot.as_ref(), 0)
            }
            Step::Commit(change) => {
                let committed = self.commit(operator, change, fate);
                operation.committed(committed)
            }
            Step::Finished(outcome) => return self.finished(outcome),
        };
        self.operations[operator] = Some((operation, next));
    }

    /// A change is carried out as far as its fate allows.
    fn commit(&mut self, operator: usize, change: Change, fate: Fate) -> ChangeOutcome {
        let decided_by = self.read[operator];
        match fate {
            Fate::Answered if self.apply(&change, decided_by) => ChangeOutcome::Applied,
            Fate::Answered => ChangeOutcome::Conflict,
            Fate::AnswerLost => {
                self.apply(&change, decided_by);
                ChangeOutcome::Indeterminate
            }
            Fate::Late => {
                self.late.push((change, decided_by));
                ChangeOutcome::Indeterminate
            }
            Fate::Refused => ChangeOutcome::Refused,
        }
    }

    /// An outcome agrees with the records.
    fn finished(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Finalized(version) => assert!(self.active() >= version),
            Outcome::Aborted(_) => self.seen.called_off += 1,
            Outcome::AlreadyFinalized(version) => assert!(self.active() >= version),
            Outcome::Refused(holds) => {
                assert!(!holds.is_empty(), "a refusal has a reason");
                self.seen.refused += 1;
            }
            Outcome::Undecided => {}
        }
    }

    /// One event happens.
    fn handle(&mut self, event: Event) {
        match event {
            Event::Start {
                controller,
                release,
            } => self.start(controller, release),
            Event::End {
                controller,
                lease_ends,
            } => {
                self.processes[controller] = None;
                if lease_ends {
                    self.members.remove(&name_of(controller));
                }
            }
            Event::LeaseEnds(controller) if self.processes[controller].is_none() => {
                self.members.remove(&name_of(controller));
            }
            Event::LeaseEnds(_) => {}
            Event::Reads(controller) => self.reads(controller),
            Event::Writes(controller) => self.writes(controller),
            Event::Asks { operator, aborts } => self.asks(operator, aborts),
            Event::Steps { operator, fate } => self.steps(operator, fate),
            Event::Late => {
                if let Some((change, decided_by)) = self.late.pop() {
                    self.seen.late += usize::from(self.apply(&change, decided_by));
                }
            }
        }
    }
}

/// What becomes of a call.
fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        10 => Just(Fate::Answered),
        1 => Just(Fate::AnswerLost),
        3 => Just(Fate::Late),
        1 => Just(Fate::Refused),
    ]
}

/// Any event.
fn event() -> impl Strategy<Value = Event> {
    let controllers = || 0..CONTROLLERS;
    let operators = || 0..OPERATORS;
    prop_oneof![
        3 => (controllers(), prop_oneof![1 => Just(0usize), 6 => Just(1), 3 => Just(2), 1 => Just(3)])
            .prop_map(|(controller, release)| Event::Start { controller, release }),
        1 => (controllers(), any::<bool>())
            .prop_map(|(controller, lease_ends)| Event::End { controller, lease_ends }),
        1 => controllers().prop_map(Event::LeaseEnds),
        4 => controllers().prop_map(Event::Reads),
        6 => controllers().prop_map(Event::Writes),
        3 => (operators(), prop::bool::weighted(0.2))
            .prop_map(|(operator, aborts)| Event::Asks { operator, aborts }),
        8 => (operators(), fate()).prop_map(|(operator, fate)| Event::Steps { operator, fate }),
        3 => Just(Event::Late),
    ]
}

#[test]
fn nothing_is_written_in_an_old_format_after_a_rise_and_none_rises_past_a_controller() {
    let totals = RefCell::new(Seen::default());
    let mut runner = TestRunner::new(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        cases: CASES,
        failure_persistence: None,
        ..ProptestConfig::default()
    });
    let events = prop::collection::vec(event(), 100..400);
    let played = runner.run(&events, |events| {
        let mut world = World::new();
        events.into_iter().for_each(|event| world.handle(event));
        let mut totals = totals.borrow_mut();
        totals.rises += world.seen.rises;
        totals.fenced_writes += world.seen.fenced_writes;
        totals.writes += world.seen.writes;
        totals.withdrawn += world.seen.withdrawn;
        totals.called_off += world.seen.called_off;
        totals.late += world.seen.late;
        totals.refused += world.seen.refused;
        Ok(())
    });
    if let Err(error) = played {
        panic!("{error}");
    }
    let seen = totals.into_inner();
    for (what, times) in [
        ("rises", seen.rises),
        ("fenced writes", seen.fenced_writes),
        ("writes", seen.writes),
        ("withdrawals", seen.withdrawn),
        ("aborts", seen.called_off),
        ("late changes", seen.late),
        ("refusals", seen.refused),
    ] {
        assert!(times > 20, "{what} came about {times} times only");
    }
}

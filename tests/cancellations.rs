//! Which cancellations a leader provably knows, and until when it renews the leases of workers.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stairstage::coordination::cluster::cancellation_evidence::{
    renewal_window_s, CancellationEvidence, PeerAnswer,
};
use stairstage::settings::WorkerTimings;
use stairstage::storage::cancellation_log::{CancellationLog, Cursor};
use std::collections::BTreeSet;

/// Entries that a log keeps in these histories: few, so that gaps come about.
const CAPACITY: usize = 5;

/// What happens next.
#[derive(Clone, Debug)]
enum Step {
    Pass {
        tenths: u8,
    },
    /// A peer confirms a cancellation, which is on record before.
    Confirm {
        peer: u8,
    },
    /// A cancellation is written, and nobody is told of it.
    Write,
    /// A peer that reads the records confirms an earlier one.
    ConfirmRecorded {
        peer: u8,
        number: u8,
    },
    /// A question to a peer leaves; it is answered, and the answer arrives, in later steps.
    Ask {
        peer: u8,
    },
    Answer {
        peer: u8,
    },
    Arrive {
        peer: u8,
        lost: bool,
    },
    /// The records are asked for; they are read, and the answer arrives, in later steps.
    AskRecords,
    Read,
    ArriveRecords {
        lost: bool,
    },
    Restart {
        peer: u8,
    },
}

/// Any step.
fn step() -> impl Strategy<Value = Step> {
    let peer = || 0..2u8;
    prop_oneof![
        4 => (1..40u8).prop_map(|tenths| Step::Pass { tenths }),
        4 => peer().prop_map(|peer| Step::Confirm { peer }),
        1 => Just(Step::Write),
        2 => (peer(), any::<u8>()).prop_map(|(peer, number)| Step::ConfirmRecorded { peer, number }),
        6 => peer().prop_map(|peer| Step::Ask { peer }),
        6 => peer().prop_map(|peer| Step::Answer { peer }),
        6 => (peer(), prop::bool::weighted(0.1)).prop_map(|(peer, lost)| Step::Arrive { peer, lost }),
        2 => Just(Step::AskRecords),
        2 => Just(Step::Read),
        2 => prop::bool::weighted(0.2).prop_map(|lost| Step::ArriveRecords { lost }),
        1 => peer().prop_map(|peer| Step::Restart { peer }),
    ]
}

/// A question under way, and the answer as far as there is one.
type Question = (
    Cursor,
    f64,
    Option<stairstage::storage::cancellation_log::CancellationPage>,
);

/// A leader that asks two peers, and the records.
struct World {
    now: f64,
    evidence: CancellationEvidence,
    logs: Vec<CancellationLog>,
    incarnations: u64,
    questions: Vec<Option<Question>>,
    records: BTreeSet<String>,
    reading: Option<(f64, Option<BTreeSet<String>>)>,
    /// Every cancellation that a user was told of, and when first.
    confirmed: Vec<(String, f64)>,
    known: BTreeSet<String>,
}

/// The name of a peer.
fn name(peer: usize) -> String {
    format!("n{peer}")
}

impl World {
    fn new() -> World {
        let names = [name(0), name(1)];
        World {
            now: 0.0,
            evidence: CancellationEvidence::new(&names),
            logs: (1..3)
                .map(|i| CancellationLog::with_incarnation(i, CAPACITY))
                .collect(),
            incarnations: 2,
            questions: vec![None, None],
            records: BTreeSet::new(),
            reading: None,
            confirmed: Vec::new(),
            known: BTreeSet::new(),
        }
    }

    /// Writes a cancellation; returns its job.
    fn write(&mut self) -> String {
        let job = format!("req-{}", self.records.len());
        self.records.insert(job.clone());
        job
    }

    /// A peer tells a user of a cancellation.
    fn confirm(&mut self, peer: usize, job: String) {
        self.logs[peer].record(&job);
        self.confirmed.push((job, self.now));
    }

    /// Plays a step.
    fn apply(&mut self, step: Step) {
        match step {
            Step::Pass { tenths } => self.now += f64::from(tenths) / 10.0,
            Step::Write => {
                self.write();
            }
            Step::Confirm { peer } => {
                let job = self.write();
                self.confirm(peer as usize, job);
            }
            Step::ConfirmRecorded { peer, number } => {
                let count = self.records.len().max(1);
                let job = self.records.iter().nth(number as usize % count).cloned();
                if let Some(job) = job {
                    self.confirm(peer as usize, job);
                }
            }
            Step::Ask { peer } => {
                let cursor = self.evidence.cursor(&name(peer as usize));
                let question = &mut self.questions[peer as usize];
                question.get_or_insert((cursor, self.now, None));
            }
            Step::Answer { peer } => {
                if let Some((cursor, _, page)) = &mut self.questions[peer as usize] {
                    *page = Some(self.logs[peer as usize].page(*cursor));
                }
            }
            Step::Arrive { peer, lost } => self.arrive(peer as usize, lost),
            Step::AskRecords => {
                self.reading.get_or_insert((self.now, None));
            }
            Step::Read => {
                if let Some((_, read)) = &mut self.reading {
                    *read = Some(self.records.clone());
                }
            }
            Step::ArriveRecords { lost } => {
                if let Some((sent, Some(read))) = self.reading.take_if(|r| r.1.is_some()) {
                    if !lost {
                        self.known.extend(read);
                        self.evidence.records_read(sent);
                    }
                }
            }
            Step::Restart { peer } => {
                self.incarnations += 1;
                let log = CancellationLog::with_incarnation(self.incarnations, CAPACITY);
                self.logs[peer as usize] = log;
            }
        }
    }

    /// The answer of a peer arrives, or is lost.
    fn arrive(&mut self, peer: usize, lost: bool) {
        let answered = self.questions[peer].take_if(|q| q.2.is_some());
        if let Some((asked, sent, Some(page))) = answered.filter(|_| !lost) {
            self.known
                .extend(page.jobs.iter().map(|job| job.to_string()));
            self.evidence.peer_answered(&PeerAnswer {
                peer: name(peer),
                requested_from: asked,
                sent,
                received: self.now,
                page,
            });
        }
    }

    /// Every cancellation that a user was told of before the proven moment is known.
    fn check(&self) {
        let Some(known_until) = self.evidence.known_until(self.now) else {
            return;
        };
        assert!(known_until <= self.now);
        for (job, at) in &self.confirmed {
            let known = self.known.contains(job);
            assert!(
                known || *at >= known_until,
                "{job}: confirmed at {at}, proven {known_until}"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_cancellation_confirmed_before_the_proven_moment_is_known(
        steps in prop::collection::vec(step(), 20..200),
    ) {
        let mut world = World::new();
        for step in steps {
            world.apply(step);
            world.check();
        }
    }

    /// A lease renewed at the last moment ends before a task of a job that was cancelled just after
    /// the proven moment must be gone, however the clocks of the two machines drift.
    #[test]
    fn a_lease_that_is_renewed_ends_before_an_unknown_cancellation_must(
        lease_s in 0.5f64..200.0,
        cancel_s in 0.5f64..400.0,
        leader_drift in -0.0005f64..0.0005,
        worker_drift in -0.0005f64..0.0005,
        share in 0.0f64..1.0,
    ) {
        let workers = WorkerTimings { report_s: 1.0, lease_s, gang_wait_s: 1.0, gang_peer_s: 1.0, cancel_s };
        let mut evidence = CancellationEvidence::new(&[name(0)]);
        evidence.records_read(0.0);
        let renewed_at = renewal_window_s(&workers) * share;
        prop_assert!(!evidence.may_renew(&workers, renewal_window_s(&workers)));
        if evidence.may_renew(&workers, renewed_at) {
            let renewed_after = renewed_at / (1.0 + leader_drift);
            let over_after = renewed_after + lease_s / (1.0 + worker_drift);
            prop_assert!(over_after <= cancel_s, "over after {over_after} of {cancel_s} s");
        }
    }
}

/// The evidence of a leader with one peer, which it has asked before it read the records.
fn asked_once(log: &CancellationLog) -> CancellationEvidence {
    let mut evidence = CancellationEvidence::new(&[name(0)]);
    ask(&mut evidence, log, 1.0);
    evidence.records_read(2.0);
    evidence
}

/// Asks the peer once; returns the jobs in its answer.
fn ask(evidence: &mut CancellationEvidence, log: &CancellationLog, now: f64) -> Vec<String> {
    let asked = evidence.cursor(&name(0));
    let page = log.page(asked);
    let jobs = page.jobs.iter().map(|job| job.to_string()).collect();
    evidence.peer_answered(&PeerAnswer {
        peer: name(0),
        requested_from: asked,
        sent: now,
        received: now,
        page,
    });
    jobs
}

#[test]
fn while_the_peers_answer_an_outage_of_any_length_ends_no_lease() {
    let log = CancellationLog::with_incarnation(1, CAPACITY);
    let mut evidence = asked_once(&log);
    for second in 3..2000 {
        ask(&mut evidence, &log, f64::from(second));
        assert_eq!(
            evidence.known_until(f64::from(second)),
            Some(f64::from(second))
        );
    }
}

#[test]
fn a_peer_that_has_restarted_proves_nothing_until_the_records_are_read_again() {
    let log = CancellationLog::with_incarnation(1, CAPACITY);
    let mut evidence = asked_once(&log);
    ask(&mut evidence, &log, 3.0);
    assert_eq!(evidence.known_until(3.0), Some(3.0));
    log.record("req-1");
    let restarted = CancellationLog::with_incarnation(2, CAPACITY);
    assert!(ask(&mut evidence, &restarted, 4.0).is_empty());
    ask(&mut evidence, &restarted, 5.0);
    assert_eq!(
        evidence.known_until(5.0),
        Some(2.0),
        "the records alone count"
    );
    evidence.records_read(4.5);
    assert_eq!(evidence.known_until(5.0), Some(5.0));
}

#[test]
fn a_peer_whose_log_has_dropped_entries_proves_nothing_until_the_records_are_read_again() {
    let log = CancellationLog::with_incarnation(1, CAPACITY);
    let mut evidence = asked_once(&log);
    for job in 0..=CAPACITY {
        log.record(&format!("req-{job}"));
    }
    assert!(ask(&mut evidence, &log, 3.0).is_empty());
    ask(&mut evidence, &log, 4.0);
    assert_eq!(evidence.known_until(4.0), Some(2.0));
}

#[test]
fn a_controller_without_others_knows_all_that_it_has_confirmed_itself() {
    let mut evidence = CancellationEvidence::new(&[]);
    assert_eq!(
        evidence.known_until(1.0),
        None,
        "but not what its earlier process had"
    );
    evidence.records_read(2.0);
    assert_eq!(evidence.known_until(9.0), Some(9.0));
}

#[test]
fn without_an_answer_of_every_peer_only_the_records_count() {
    let names = [name(0), name(1)];
    let mut evidence = CancellationEvidence::new(&names);
    assert_eq!(evidence.known_until(1.0), None, "nothing has been read");
    let log = CancellationLog::with_incarnation(1, CAPACITY);
    ask(&mut evidence, &log, 1.0);
    evidence.records_read(2.0);
    ask(&mut evidence, &log, 9.0);
    assert_eq!(
        evidence.known_until(9.0),
        Some(2.0),
        "the other peer is silent"
    );
}

#[test]
fn a_long_log_is_read_page_by_page() {
    let log = CancellationLog::with_incarnation(1, 10_000);
    let mut evidence = asked_once(&log);
    for job in 0..2500 {
        log.record(&format!("req-{job}"));
        log.record(&format!("req-{job}"));
    }
    let mut told = Vec::new();
    for _ in 0..3 {
        assert_ne!(evidence.known_until(3.0), Some(3.0), "more is to come");
        told.extend(ask(&mut evidence, &log, 3.0));
    }
    assert_eq!(told.len(), 2500, "each once");
    assert_eq!(evidence.known_until(3.0), Some(3.0));
}

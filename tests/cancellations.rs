//! Up to which time a leader provably knows all confirmed cancellations, and how long it therefore renews
//! the leases of workers.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stairstage::coordination::cluster::cancellation_evidence::{
    renewal_window_s, CancellationEvidence, PeerCancellations,
};
use stairstage::settings::WorkerTimings;
use stairstage::storage::cancellation_log::{CancellationLog, Cursor};
use std::collections::BTreeSet;

/// Entries that a log retains in these tests: few, so that readers find gaps.
const LOG_CAPACITY: usize = 5;

/// A step of a generated history.
#[derive(Clone, Debug)]
enum Step {
    /// Time passes, in tenths of a second.
    Pass { tenths: u8 },
    /// A cancellation is stored, and then confirmed by a peer.
    Confirm { peer: u8 },
    /// A cancellation is stored, but confirmed by no peer.
    Write,
    /// A peer that reads the records confirms an earlier cancellation.
    ConfirmRecorded { peer: u8, number: u8 },
    /// A request is sent to a peer; its response is created and received in later steps.
    SendRequest { peer: u8 },
    /// A peer creates its response.
    CreateResponse { peer: u8 },
    /// The response of a peer is received, or is lost.
    ReceiveResponse { peer: u8, lost: bool },
    /// A request for the records is sent; they are read and received in later steps.
    SendRead,
    /// The state service reads the records.
    ReadRecords,
    /// The records that were read are received, or are lost.
    ReceiveRecords { lost: bool },
    /// A peer restarts with an empty log.
    Restart { peer: u8 },
}

fn step() -> impl Strategy<Value = Step> {
    let peer = || 0..2u8;
    prop_oneof![
        4 => (1..40u8).prop_map(|tenths| Step::Pass { tenths }),
        4 => peer().prop_map(|peer| Step::Confirm { peer }),
        1 => Just(Step::Write),
        2 => (peer(), any::<u8>()).prop_map(|(peer, number)| Step::ConfirmRecorded { peer, number }),
        6 => peer().prop_map(|peer| Step::SendRequest { peer }),
        6 => peer().prop_map(|peer| Step::CreateResponse { peer }),
        6 => (peer(), prop::bool::weighted(0.1))
            .prop_map(|(peer, lost)| Step::ReceiveResponse { peer, lost }),
        2 => Just(Step::SendRead),
        2 => Just(Step::ReadRecords),
        2 => prop::bool::weighted(0.2).prop_map(|lost| Step::ReceiveRecords { lost }),
        1 => peer().prop_map(|peer| Step::Restart { peer }),
    ]
}

/// A pending request to a peer: its cursor, when it was sent, and the response once it is created.
type PendingRequest = (
    Cursor,
    f64,
    Option<stairstage::storage::cancellation_log::CancellationPage>,
);

/// A leader that requests the cancellations confirmed by two peers, and reads the records.
struct History {
    now: f64,
    evidence: CancellationEvidence,
    logs: Vec<CancellationLog>,
    incarnations: u64,
    requests: Vec<Option<PendingRequest>>,
    /// Jobs whose cancellation is stored.
    records: BTreeSet<String>,
    /// A pending read of the records: when it was sent, and what was read.
    pending_read: Option<(f64, Option<BTreeSet<String>>)>,
    /// Every cancellation that was confirmed to a user, and when.
    confirmed: Vec<(String, f64)>,
    /// Jobs that the leader knows to be cancelled.
    known: BTreeSet<String>,
}

fn name(peer: usize) -> String {
    format!("n{peer}")
}

impl History {
    fn new() -> History {
        let names = [name(0), name(1)];
        History {
            now: 0.0,
            evidence: CancellationEvidence::new(&names),
            logs: (1..3)
                .map(|i| CancellationLog::with_incarnation(i, LOG_CAPACITY))
                .collect(),
            incarnations: 2,
            requests: vec![None, None],
            records: BTreeSet::new(),
            pending_read: None,
            confirmed: Vec::new(),
            known: BTreeSet::new(),
        }
    }

    /// Stores a cancellation; returns the id of its job.
    fn write(&mut self) -> String {
        let job = format!("req-{}", self.records.len());
        self.records.insert(job.clone());
        job
    }

    /// A peer confirms a cancellation to a user.
    fn confirm(&mut self, peer: usize, job: String) {
        self.logs[peer].record(&job);
        self.confirmed.push((job, self.now));
    }

    /// Executes a step.
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
            Step::SendRequest { peer } => {
                let cursor = self.evidence.cursor(&name(peer as usize));
                let request = &mut self.requests[peer as usize];
                request.get_or_insert((cursor, self.now, None));
            }
            Step::CreateResponse { peer } => {
                if let Some((cursor, _, page)) = &mut self.requests[peer as usize] {
                    *page = Some(self.logs[peer as usize].page(*cursor));
                }
            }
            Step::ReceiveResponse { peer, lost } => self.receive_response(peer as usize, lost),
            Step::SendRead => {
                self.pending_read.get_or_insert((self.now, None));
            }
            Step::ReadRecords => {
                if let Some((_, read)) = &mut self.pending_read {
                    *read = Some(self.records.clone());
                }
            }
            Step::ReceiveRecords { lost } => {
                if let Some((sent, Some(read))) = self.pending_read.take_if(|r| r.1.is_some()) {
                    if !lost {
                        self.known.extend(read);
                        self.evidence.records_read(sent);
                    }
                }
            }
            Step::Restart { peer } => {
                self.incarnations += 1;
                let log = CancellationLog::with_incarnation(self.incarnations, LOG_CAPACITY);
                self.logs[peer as usize] = log;
            }
        }
    }

    /// The response of a peer is received, or is lost.
    fn receive_response(&mut self, peer: usize, lost: bool) {
        let answered = self.requests[peer].take_if(|q| q.2.is_some());
        if let Some((cursor, sent, Some(page))) = answered.filter(|_| !lost) {
            self.known
                .extend(page.jobs.iter().map(|job| job.to_string()));
            self.evidence.peer_answered(&PeerCancellations {
                peer: name(peer),
                requested_from: cursor,
                sent,
                received: self.now,
                page,
            });
        }
    }

    /// Checks that the leader knows every cancellation that was confirmed before the time that its evidence
    /// proves.
    fn check(&self) {
        let Some(known_until) = self.evidence.known_until(self.now) else {
            return;
        };
        assert!(known_until <= self.now);
        for (job, at) in &self.confirmed {
            let known = self.known.contains(job);
            assert!(
                known || *at >= known_until,
                "{job}: confirmed at {at}, known until {known_until}"
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
    fn all_cancellations_confirmed_before_the_proven_time_are_known(
        steps in prop::collection::vec(step(), 20..200),
    ) {
        let mut history = History::new();
        for step in steps {
            history.apply(step);
            history.check();
        }
    }

    /// A cancellation that was confirmed just after the proven time is unknown to the leader. Its tasks must
    /// have stopped `cancel_s` later, so a lease that was renewed at the last moment must have expired by
    /// then, however the clocks of leader and worker drift.
    #[test]
    fn renewed_lease_expires_before_the_time_limit_of_an_unknown_cancellation(
        lease_s in 0.5f64..200.0,
        cancel_s in 0.5f64..400.0,
        leader_drift in -0.0005f64..0.0005,
        worker_drift in -0.0005f64..0.0005,
        renewal_share in 0.0f64..1.0,
    ) {
        let workers = WorkerTimings { report_s: 1.0, lease_s, gang_wait_s: 1.0, gang_peer_s: 1.0, cancel_s };
        let mut evidence = CancellationEvidence::new(&[name(0)]);
        evidence.records_read(0.0);
        let renewed_at = renewal_window_s(&workers) * renewal_share;
        prop_assert!(!evidence.may_renew(&workers, renewal_window_s(&workers)));
        if evidence.may_renew(&workers, renewed_at) {
            let renewed_after = renewed_at / (1.0 + leader_drift);
            let expired_after = renewed_after + lease_s / (1.0 + worker_drift);
            prop_assert!(expired_after <= cancel_s, "expired after {expired_after} of {cancel_s} s");
        }
    }
}

/// The evidence of a leader that has received a response of its only peer at 1 s, and a read of the records
/// that was sent at 2 s.
fn initial_evidence(log: &CancellationLog) -> CancellationEvidence {
    let mut evidence = CancellationEvidence::new(&[name(0)]);
    ask(&mut evidence, log, 1.0);
    evidence.records_read(2.0);
    evidence
}

/// Sends one request to the only peer; returns the jobs in the response, which is received at once.
fn ask(evidence: &mut CancellationEvidence, log: &CancellationLog, now: f64) -> Vec<String> {
    let cursor = evidence.cursor(&name(0));
    let page = log.page(cursor);
    let jobs = page.jobs.iter().map(|job| job.to_string()).collect();
    evidence.peer_answered(&PeerCancellations {
        peer: name(0),
        requested_from: cursor,
        sent: now,
        received: now,
        page,
    });
    jobs
}

#[test]
fn cancellations_are_known_up_to_now_in_any_outage_while_all_peers_respond() {
    let log = CancellationLog::with_incarnation(1, LOG_CAPACITY);
    let mut evidence = initial_evidence(&log);
    for second in 3..2000 {
        ask(&mut evidence, &log, f64::from(second));
        assert_eq!(
            evidence.known_until(f64::from(second)),
            Some(f64::from(second))
        );
    }
}

#[test]
fn restarted_peer_proves_nothing_until_the_records_are_read_again() {
    let log = CancellationLog::with_incarnation(1, LOG_CAPACITY);
    let mut evidence = initial_evidence(&log);
    ask(&mut evidence, &log, 3.0);
    assert_eq!(evidence.known_until(3.0), Some(3.0));
    log.record("req-1");
    let restarted = CancellationLog::with_incarnation(2, LOG_CAPACITY);
    assert!(ask(&mut evidence, &restarted, 4.0).is_empty());
    ask(&mut evidence, &restarted, 5.0);
    assert_eq!(
        evidence.known_until(5.0),
        Some(2.0),
        "only the read of the records counts"
    );
    evidence.records_read(4.5);
    assert_eq!(evidence.known_until(5.0), Some(5.0));
}

#[test]
fn peer_whose_log_has_dropped_entries_proves_nothing_until_the_records_are_read_again() {
    let log = CancellationLog::with_incarnation(1, LOG_CAPACITY);
    let mut evidence = initial_evidence(&log);
    for job in 0..=LOG_CAPACITY {
        log.record(&format!("req-{job}"));
    }
    assert!(ask(&mut evidence, &log, 3.0).is_empty());
    ask(&mut evidence, &log, 4.0);
    assert_eq!(evidence.known_until(4.0), Some(2.0));
}

#[test]
fn controller_without_peers_knows_all_cancellations_once_it_has_read_the_records() {
    let mut evidence = CancellationEvidence::new(&[]);
    assert_eq!(
        evidence.known_until(1.0),
        None,
        "an earlier process may have confirmed cancellations"
    );
    evidence.records_read(2.0);
    assert_eq!(evidence.known_until(9.0), Some(9.0));
}

#[test]
fn only_the_records_count_until_every_peer_has_responded() {
    let names = [name(0), name(1)];
    let mut evidence = CancellationEvidence::new(&names);
    assert_eq!(
        evidence.known_until(1.0),
        None,
        "the records have not been read"
    );
    let log = CancellationLog::with_incarnation(1, LOG_CAPACITY);
    ask(&mut evidence, &log, 1.0);
    evidence.records_read(2.0);
    ask(&mut evidence, &log, 9.0);
    assert_eq!(
        evidence.known_until(9.0),
        Some(2.0),
        "the other peer has not responded"
    );
}

#[test]
fn long_log_is_read_page_by_page() {
    let log = CancellationLog::with_incarnation(1, 10_000);
    let mut evidence = initial_evidence(&log);
    for job in 0..2500 {
        log.record(&format!("req-{job}"));
        log.record(&format!("req-{job}"));
    }
    let mut received = Vec::new();
    for _ in 0..3 {
        assert_ne!(evidence.known_until(3.0), Some(3.0), "more pages follow");
        received.extend(ask(&mut evidence, &log, 3.0));
    }
    assert_eq!(received.len(), 2500, "each job once");
    assert_eq!(evidence.known_until(3.0), Some(3.0));
}

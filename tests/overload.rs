//! Guards against user queries that use up the request limit of the state service: the leader needs most
//! of it for its lease and its records.

mod common;

use common::{request_context, SETTINGS};
use stairstage::coordination::requests::polls::{Limits, Poll, PollBatcher, PollEffect};
use stairstage::coordination::requests::{
    Context, LocalJobView, Request, RequestEffect, RequestEvent, StoreAnswer, StoreCall,
};
use stairstage::settings::{Peer, Settings};
use stairstage::storage::key_value_store::CommitOutcome;
use stairstage_upgrade::fence::WriteFence;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Queries that one of three controllers receives within a second, as from users of 6,000 machines.
const QUERIES: usize = 400;
/// The share of the state service's request limit that user queries may use at all controllers together.
/// The leader needs the rest for its lease and its records.
const QUERIES_SHARE: f64 = 0.4;

/// The context of a query at a controller with two peers.
fn context() -> Context {
    let mut settings = Settings::parse("test", SETTINGS).unwrap();
    for name in ["b", "c"] {
        settings.peers.push(Peer {
            name: name.into(),
            zone: "z".into(),
            address: "127.0.0.1:9".parse().unwrap(),
        });
    }
    Context {
        settings: Arc::new(settings),
        ..request_context(WriteFence::Unstaged)
    }
}

/// The poll that a query turns into when the leader does not answer in time.
fn poll_of_query(job: &str) -> Poll {
    let (mut request, effects) = Request::query(job.to_string(), context());
    let mut effects = VecDeque::from(effects);
    while let Some(effect) = effects.pop_front() {
        let event = match effect {
            RequestEffect::ReadLocalView => RequestEvent::LocalView(Some(LocalJobView {
                status: None,
                is_leader: false,
                leader: Some("b".into()),
            })),
            RequestEffect::Forward(_) => RequestEvent::Peer(None),
            RequestEffect::ReadRecords(poll) => return poll,
            other => panic!("a query has no other effect: {other:?}"),
        };
        effects.extend(request.on_event(event));
    }
    panic!("the query stopped without a poll");
}

/// Counts calls to the state service, and answers by status.
#[derive(Default)]
struct Counts {
    calls: usize,
    answers: BTreeMap<u16, usize>,
}

impl Counts {
    /// Carries out the effects of a batcher against a state service without jobs.
    fn carry_out(&mut self, batcher: &mut PollBatcher, effects: Vec<PollEffect>, now: f64) {
        let mut effects = VecDeque::from(effects);
        while let Some(effect) = effects.pop_front() {
            match effect {
                PollEffect::Store(StoreCall::Commit(transaction)) => {
                    assert!(transaction.operations.is_empty(), "a query must not write");
                    self.calls += 1;
                    let answer = StoreAnswer::Committed(CommitOutcome::Applied(1));
                    effects.extend(batcher.on_answer(answer, now));
                }
                PollEffect::Answer(_, answer) => {
                    *self.answers.entry(answer.status()).or_default() += 1;
                }
                other => panic!("unexpected effect, the state service has no jobs: {other:?}"),
            }
        }
    }
}

#[test]
fn queries_leave_most_state_service_requests_to_the_leader() {
    let settings = context().settings;
    let mut batcher = PollBatcher::new(Limits::of(&settings));
    let mut counts = Counts::default();
    for i in 0..QUERIES {
        let now = i as f64 / QUERIES as f64;
        let poll = poll_of_query(&format!("req-{i}"));
        let effects = batcher.enqueue(i as u64, poll, now);
        counts.carry_out(&mut batcher, effects, now);
        let effects = batcher.tick(now);
        counts.carry_out(&mut batcher, effects, now);
    }
    let mut now = 1.0;
    while let Some(pause_s) = batcher.tick_interval_s() {
        now += pause_s;
        let effects = batcher.tick(now);
        counts.carry_out(&mut batcher, effects, now);
    }
    let calls = counts.calls;
    let max_calls = QUERIES_SHARE * settings.cluster.state.rps / 3.0;
    assert!(
        calls as f64 <= max_calls,
        "{calls} calls, at most {max_calls:.0} are allowed"
    );
    assert_eq!(counts.answers, BTreeMap::from([(404, QUERIES)]));
}

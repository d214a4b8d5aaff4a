//! More questions of users than the state service can answer beside the leader's own requests.

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

/// Questions that come to one of three nodes within a second, as users of a fleet of 6,000 machines ask.
const QUESTIONS: usize = 400;
/// What the users of all nodes may cost the state service, as a share of its requests: the leader needs
/// the others for its lease and its records.
const USERS_SHARE: f64 = 0.4;

/// What a question finds at a node with two peers.
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

/// What a question costs while the leader does not answer in time: it goes to the node's batcher.
fn poll_of_question(job: &str) -> Poll {
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
            other => panic!("a question costs nothing else: {other:?}"),
        };
        effects.extend(request.on_event(event));
    }
    panic!("a question goes on until it is answered");
}

/// Calls to the state service, and answers by their status.
#[derive(Default)]
struct Seen {
    calls: usize,
    answers: BTreeMap<u16, usize>,
}

impl Seen {
    /// Carries out what a batcher asks for: no job is known.
    fn carry_out(&mut self, batcher: &mut PollBatcher, effects: Vec<PollEffect>, now: f64) {
        let mut effects = VecDeque::from(effects);
        while let Some(effect) = effects.pop_front() {
            match effect {
                PollEffect::Store(StoreCall::Commit(transaction)) => {
                    assert!(
                        transaction.operations.is_empty(),
                        "a question writes nothing"
                    );
                    self.calls += 1;
                    let answer = StoreAnswer::Committed(CommitOutcome::Applied(1));
                    effects.extend(batcher.on_answer(answer, now));
                }
                PollEffect::Answer(_, answer) => {
                    *self.answers.entry(answer.status()).or_default() += 1;
                }
                other => panic!("no job is known to the state service: {other:?}"),
            }
        }
    }
}

#[test]
fn questions_leave_the_leader_most_requests_of_the_state_service() {
    let settings = context().settings;
    let mut batcher = PollBatcher::new(Limits::of(&settings));
    let mut seen = Seen::default();
    for i in 0..QUESTIONS {
        let now = i as f64 / QUESTIONS as f64;
        let poll = poll_of_question(&format!("req-{i}"));
        let effects = batcher.enqueue(i as u64, poll, now);
        seen.carry_out(&mut batcher, effects, now);
        let effects = batcher.tick(now);
        seen.carry_out(&mut batcher, effects, now);
    }
    let mut now = 1.0;
    while let Some(pause_s) = batcher.tick_interval_s() {
        now += pause_s;
        let effects = batcher.tick(now);
        seen.carry_out(&mut batcher, effects, now);
    }
    let calls = seen.calls;
    let part = USERS_SHARE * settings.cluster.state.rps / 3.0;
    assert!(
        calls as f64 <= part,
        "{calls} calls in a second of {part:.0}"
    );
    assert_eq!(seen.answers, BTreeMap::from([(404, QUESTIONS)]));
}

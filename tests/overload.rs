//! More questions of users than the state service can answer beside the leader's own requests.

mod common;

use common::*;
use stairstage::coordination::requests::{
    Context, Effect, Event, Located, Request, StoreAnswer, StoreCall,
};
use stairstage::settings::{Peer, Settings};
use std::collections::VecDeque;
use std::sync::Arc;

/// Questions that come to one of three nodes within a second, as users of a fleet of 6,000 machines ask.
const QUESTIONS: usize = 400;
/// What the users of all nodes may cost the state service, as a share of its requests: the leader needs
/// the others for its lease and its records.
const USERS_SHARE: f64 = 0.4;

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
        types: Arc::new(vec![machine_type()]),
        peers: vec!["b".into(), "c".into()],
        from_peer: false,
        now_ms: 0,
    }
}

/// Carries a question out while the leader does not answer in time; the calls to the state service.
fn calls_of_question(job: &str) -> usize {
    let (mut request, effects) = Request::query(job.to_string(), context());
    let mut effects = VecDeque::from(effects);
    let mut calls = 0;
    while let Some(effect) = effects.pop_front() {
        let event = match effect {
            Effect::Locate => Event::Located(Some(Located {
                status: None,
                leads: false,
                leader: Some("b".into()),
            })),
            Effect::Ask(_) => Event::Peer(None),
            Effect::Store(call) => {
                calls += 1;
                match call {
                    StoreCall::Read(_) => Event::Store(StoreAnswer::Read(Ok(None))),
                    StoreCall::Commit(_) => panic!("a question writes nothing"),
                }
            }
            _ => break,
        };
        effects.extend(request.on(event));
    }
    calls
}

/// Known red: see KNOWN-RED.txt.
#[test]
fn questions_leave_the_leader_most_requests_of_the_state_service() {
    let questions = (0..QUESTIONS).map(|i| calls_of_question(&format!("req-{i}")));
    let calls: usize = questions.sum();
    let state = context().settings.cluster.state.clone();
    let part = USERS_SHARE * state.rps / 3.0;
    assert!(
        calls as f64 <= part,
        "{calls} calls in a second of {part:.0}"
    );
}

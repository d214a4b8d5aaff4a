//! Several nodes that serve requests, the state service, and a leader whose state lags behind it.

use crate::common::{self, Refusal, Store};
use crate::coverage::Coverage;
use crate::jobs::{body_of, dependency_of, id_of, recorded_end, JOBS, NEVER_SUBMITTED};
use crate::parts::{Fate, LateWrite, Leader, Machine, Node, Origin, Running, Waiting};
use crate::rules::{Kind, Ledger, Question, ReportedState};
use stairstage::coordination::requests::polls::{Limits, Poll, PollBatcher, PollEffect};
use stairstage::coordination::requests::{
    Answer, Context, PeerAnswer, Request, RequestEffect, RequestEvent, StoreAnswer, StoreCall,
};
use stairstage::protocol::job::JobState;
use stairstage::protocol::store::Transaction;
use stairstage::settings::Settings;
use stairstage::storage::key_value_store::{CommitOutcome, Unavailable};
use stairstage::storage::recent_jobs::RecentFinalStates;
use stairstage_upgrade::fence::WriteFence;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Controllers that users ask.
pub(crate) const NODES: usize = 3;
/// Ends that a node remembers: few, so that some are forgotten.
const ENDS_KEPT: usize = 3;

/// Nodes, their requests and the state service.
pub(crate) struct Simulation {
    pub store: Store,
    pub nodes: Vec<Node>,
    pub ledger: Ledger,
    pub coverage: Coverage,
    /// Whether users query all nodes, and repeat the submission, whenever a new state is reported.
    pub close_looks: bool,
    pub leader: Option<Leader>,
    pub settings: Arc<Settings>,
    running: BTreeMap<u64, Running>,
    late: Vec<LateWrite>,
    counter: u64,
    /// The batchers' clock.
    now: f64,
}

/// The name of a node.
pub(crate) fn name_of(node: usize) -> String {
    format!("n{node}")
}

/// The node of a name.
fn number_of(name: &str) -> usize {
    name[1..].parse().unwrap()
}

/// Seconds from one tick of a batcher to the next.
const TICK_S: f64 = 0.05;
/// A node that could not ask the state service tries again within so many seconds.
const MOMENT_S: f64 = 1.0;
/// Keys in a page of a list: few, so that there are several pages.
const PAGE: usize = 2;

/// The job of an id, if there is one.
fn job_of(id: &str) -> Option<u8> {
    id.strip_prefix("req-")?.parse().ok()
}

impl Simulation {
    pub(crate) fn new() -> Simulation {
        let settings = Arc::new(Settings::parse("test", common::SETTINGS).unwrap());
        let node = |_| Node {
            ends: RecentFinalStates::new(ENDS_KEPT),
            leader: Some(0),
            refused: false,
            small_types: false,
            batcher: PollBatcher::new(Limits::of(&settings)),
            polls: BTreeMap::new(),
            applied: 0,
        };
        let mut simulation = Simulation {
            store: Store::default(),
            nodes: (0..NODES).map(node).collect(),
            ledger: Ledger::default(),
            coverage: Coverage::default(),
            close_looks: false,
            leader: None,
            settings,
            now: 0.0,
            running: BTreeMap::new(),
            late: Vec::new(),
            counter: 0,
        };
        simulation.elect(0);
        simulation
    }

    /// What a request finds at a node.
    fn context(&self, node: usize, from_peer: bool) -> Context {
        let mut machine_type = common::machine_type();
        if self.nodes[node].small_types {
            machine_type.cpus = 0.5;
        }
        Context {
            settings: self.settings.clone(),
            machine_types: Arc::new(vec![machine_type]),
            write_fence: WriteFence::Unstaged,
            peers: (0..NODES).filter(|i| *i != node).map(name_of).collect(),
            from_peer,
            now_ms: 0,
        }
    }

    /// A user sends a request to a node.
    pub(crate) fn ask(&mut self, kind: Kind, job: u8, node: usize) {
        if kind == Kind::Submit && job == NEVER_SUBMITTED {
            return;
        }
        let question = self.ledger.asks(kind, job, node);
        self.coverage.asked(&question);
        self.begin(kind, job, node, Origin::User(question));
    }

    /// A request begins at a node; returns its key.
    fn begin(&mut self, kind: Kind, job: u8, node: usize, origin: Origin) -> u64 {
        let context = self.context(node, !matches!(origin, Origin::User(_)));
        let (request, effects) = match kind {
            Kind::Submit => Request::submission(&body_of(job), context),
            Kind::Query => Request::query(id_of(job), context),
            Kind::Cancel => Request::cancellation(id_of(job), context),
        };
        let machine = Machine::Request(Box::new(request), kind, origin);
        self.run(node, Some(job), machine, |simulation, key| {
            simulation.request_effects(key, effects);
        })
    }

    /// A machine begins at a node with what it does first; returns its key.
    fn run(
        &mut self,
        node: usize,
        job: Option<u8>,
        machine: Machine,
        first: impl FnOnce(&mut Simulation, u64),
    ) -> u64 {
        self.counter += 1;
        let key = self.counter;
        let running = Running {
            node,
            job,
            machine,
            waiting: Waiting::Child,
        };
        self.running.insert(key, running);
        first(self, key);
        key
    }

    /// Carries out what a request asks for, up to what it waits for.
    fn request_effects(&mut self, key: u64, effects: Vec<RequestEffect>) {
        for effect in effects {
            let node = self.running[&key].node;
            match effect {
                RequestEffect::ReadLocalView => self.wait(key, Waiting::LocalView),
                RequestEffect::Store(call) => self.wait(key, Waiting::Store(call)),
                RequestEffect::Forward(peer) => self.wait(key, Waiting::Peer(number_of(&peer))),
                RequestEffect::JobAccepted { record, version } => {
                    self.job_accepted(node, *record, version);
                }
                RequestEffect::FinalStateRecorded(state) => {
                    let job = self.running[&key].job.unwrap();
                    self.job_end_recorded(node, job, state);
                }
                RequestEffect::ReadRecords(poll) => {
                    let origin = self.finish(key);
                    self.enqueue_poll(node, poll, origin);
                }
                RequestEffect::Answer(answer) => {
                    let origin = self.finish(key);
                    self.answer(origin, answer);
                }
            }
        }
    }

    /// A request goes on as a poll of its node.
    fn enqueue_poll(&mut self, node: usize, poll: Poll, origin: Origin) {
        self.counter += 1;
        let (number, now) = (self.counter, self.now);
        let job = job_of(&poll.job).unwrap();
        let node_parts = &mut self.nodes[node];
        node_parts.polls.insert(number, (job, origin));
        let effects = node_parts.batcher.enqueue(number, poll, now);
        self.batcher_effects(node, effects);
    }

    /// Carries out what a batcher asks for.
    fn batcher_effects(&mut self, node: usize, effects: Vec<PollEffect>) {
        for effect in effects {
            match effect {
                PollEffect::Store(call) => {
                    self.run(node, None, Machine::Batch, |simulation, key| {
                        simulation.wait(key, Waiting::Store(call));
                    });
                }
                PollEffect::FinalStatesRecorded(ends) => {
                    for (id, state) in ends {
                        self.job_end_recorded(node, job_of(&id).unwrap(), state);
                    }
                }
                PollEffect::Answer(number, answer) => {
                    let (_, origin) = self.nodes[node].polls.remove(&number).unwrap();
                    self.answer(origin, answer);
                }
                PollEffect::Forward(number) => {
                    let (job, origin) = self.nodes[node].polls.remove(&number).unwrap();
                    self.forward_poll(node, job, origin);
                }
            }
        }
    }

    /// A poll for which the state service refuses its node.
    fn forward_poll(&mut self, node: usize, job: u8, origin: Origin) {
        let context = self.context(node, !matches!(origin, Origin::User(_)));
        let (request, effects) = Request::query_peers(id_of(job), context);
        let machine = Machine::Request(Box::new(request), Kind::Query, origin);
        self.run(node, Some(job), machine, |simulation, key| {
            simulation.request_effects(key, effects);
        });
    }

    /// A machine waits until a step lets it go on.
    fn wait(&mut self, key: u64, waiting: Waiting) {
        self.running.get_mut(&key).unwrap().waiting = waiting;
    }

    /// A request is over; returns who gets its answer.
    fn finish(&mut self, key: u64) -> Origin {
        let running = self.running.remove(&key).expect("runs");
        self.coverage.finished(key);
        match running.machine {
            Machine::Request(_, _, origin) => origin,
            Machine::Batch => Origin::Nobody,
        }
    }

    /// An answer goes to whoever asked.
    fn answer(&mut self, origin: Origin, answer: Answer) {
        let answer = PeerAnswer::from(answer);
        match origin {
            Origin::User(question) => self.tell(&question, &answer),
            Origin::Request(key) => self.peer_answered(key, Some(answer)),
            Origin::Nobody => {}
        }
    }

    /// A user gets an answer, which is checked.
    fn tell(&mut self, question: &Question, answer: &PeerAnswer) {
        self.coverage.answered(question, answer);
        let news = self.ledger.answered(question, answer, &self.store);
        if self.close_looks && news.is_some() {
            (0..NODES).for_each(|node| self.ask(Kind::Query, question.job, node));
            self.ask(Kind::Submit, question.job, (question.node + 1) % NODES);
            if news == Some(ReportedState::Accepted) && question.job % 2 == 0 {
                self.ask(Kind::Cancel, question.job, (question.node + 2) % NODES);
            }
        }
    }

    /// A request hears from another node, or does not.
    fn peer_answered(&mut self, key: u64, answer: Option<PeerAnswer>) {
        self.on(key, RequestEvent::Peer(answer));
    }

    /// A machine goes on with an event.
    fn on(&mut self, key: u64, event: RequestEvent) {
        match (&mut self.running.get_mut(&key).unwrap().machine, event) {
            (Machine::Request(request, ..), event) => {
                let effects = request.on_event(event);
                assert!(
                    !effects.is_empty(),
                    "a request goes on until it is answered"
                );
                self.request_effects(key, effects);
            }
            (Machine::Batch, RequestEvent::Store(answer)) => {
                let node = self.running[&key].node;
                self.finish(key);
                let effects = self.nodes[node].batcher.on_answer(answer, self.now);
                self.batcher_effects(node, effects);
            }
            (Machine::Batch, event) => panic!("{event:?} for a batcher"),
        }
    }

    /// One of those that wait is answered, or not.
    pub(crate) fn advance(&mut self, pick: u8, fate: Fate) {
        let waits = |r: &&u64| !matches!(self.running[r].waiting, Waiting::Child);
        let keys: Vec<u64> = self.running.keys().filter(waits).copied().collect();
        if !keys.is_empty() {
            self.resume(keys[pick as usize % keys.len()], fate);
        }
    }

    /// What a machine waits for comes about, or fails.
    fn resume(&mut self, key: u64, fate: Fate) {
        let running = self.running.get_mut(&key).unwrap();
        let (node, job) = (running.node, running.job);
        match std::mem::replace(&mut running.waiting, Waiting::Child) {
            Waiting::LocalView => {
                let view = (fate != Fate::Refused).then(|| self.locate(node, job.unwrap()));
                self.on(key, RequestEvent::LocalView(view));
            }
            Waiting::Store(call) => {
                let answer = self.store_answer(key, node, call, fate);
                self.on(key, RequestEvent::Store(answer));
            }
            Waiting::Peer(peer) => self.forward(key, peer, job.unwrap(), fate),
            Waiting::Child => {}
        }
    }

    /// A request is handed on to another node.
    fn forward(&mut self, key: u64, peer: usize, job: u8, fate: Fate) {
        let Machine::Request(_, kind, _) = self.running[&key].machine else {
            panic!("only requests are handed on");
        };
        match fate {
            Fate::Answered => {
                self.coverage.forwarded += 1;
                self.begin(kind, job, peer, Origin::Request(key));
            }
            Fate::AnswerLost | Fate::Late => {
                self.begin(kind, job, peer, Origin::Nobody);
                self.peer_answered(key, None);
            }
            Fate::Lost | Fate::Refused => self.peer_answered(key, None),
        }
    }

    /// What the state service answers to a call.
    fn store_answer(&mut self, by: u64, node: usize, call: StoreCall, fate: Fate) -> StoreAnswer {
        let refused = self.nodes[node].refused || fate == Fate::Refused;
        match call {
            StoreCall::Read(key) => {
                let answered = fate == Fate::Answered && !refused;
                if answered {
                    self.coverage.read(&key, node);
                }
                let item = answered.then(|| self.store.item(&key));
                StoreAnswer::Read(item.ok_or(Unavailable))
            }
            StoreCall::List { under, after, .. } => {
                let answered = fate == Fate::Answered && !refused;
                let page = answered.then(|| self.store.page(&under, &after, PAGE));
                StoreAnswer::Listed(page.ok_or(Unavailable))
            }
            StoreCall::Commit(_) if refused => {
                self.coverage.refused += 1;
                StoreAnswer::Committed(CommitOutcome::Rejected)
            }
            StoreCall::Commit(transaction) => {
                StoreAnswer::Committed(self.commit(by, node, transaction, fate))
            }
        }
    }

    /// A transaction is carried out as far as its fate allows.
    pub(crate) fn commit(
        &mut self,
        by: u64,
        node: usize,
        transaction: Transaction,
        fate: Fate,
    ) -> CommitOutcome {
        match fate {
            Fate::Answered => self.apply(node, &transaction),
            Fate::AnswerLost => {
                if let CommitOutcome::Applied(_) = self.apply(node, &transaction) {
                    self.coverage.answer_lost(by, node, &transaction);
                }
                CommitOutcome::Indeterminate
            }
            Fate::Late => {
                let applied_before = self.nodes[node].applied;
                self.late.push(LateWrite {
                    transaction,
                    node,
                    by,
                    applied_before,
                });
                CommitOutcome::Indeterminate
            }
            Fate::Lost => CommitOutcome::Indeterminate,
            Fate::Refused => CommitOutcome::Rejected,
        }
    }

    /// A transaction is carried out if its conditions hold.
    fn apply(&mut self, node: usize, transaction: &Transaction) -> CommitOutcome {
        let conflicts = self.store.conflicts(transaction);
        match self.store.commit(transaction) {
            Ok(version) => {
                self.nodes[node].applied += usize::from(!transaction.operations.is_empty());
                CommitOutcome::Applied(version)
            }
            Err(Refusal::Conflict) => CommitOutcome::Conflict(conflicts),
            Err(Refusal::TooLarge) => panic!("too large: {transaction:?}"),
        }
    }

    /// A transaction that was given up on is carried out.
    pub(crate) fn late_write(&mut self, pick: u8) {
        if self.late.is_empty() {
            return;
        }
        let late = self.late.remove(pick as usize % self.late.len());
        let is_newer = self.nodes[late.node].applied > late.applied_before;
        let is_given_up = !self.running.contains_key(&late.by);
        let applied = matches!(
            self.apply(late.node, &late.transaction),
            CommitOutcome::Applied(_)
        );
        self.coverage.late_write(applied, is_newer, is_given_up);
    }

    /// The batcher of a node ticks, a while later.
    pub(crate) fn tick(&mut self, node: usize) {
        self.now += TICK_S;
        let effects = self.nodes[node].batcher.tick(self.now);
        self.batcher_effects(node, effects);
    }

    /// All faults end: what is in flight is finished, and what was late is carried out. Nodes ask
    /// the state service again after a moment.
    pub(crate) fn settle(&mut self) {
        self.close_looks = false;
        self.now += MOMENT_S;
        for node in &mut self.nodes {
            node.refused = false;
        }
        self.finish_all();
        while !self.late.is_empty() {
            self.late_write(0);
        }
        if self.leader.is_none() {
            self.elect(0);
        }
        (0..JOBS).for_each(|job| self.deliver_to_leader(job));
        for job in (0..JOBS).filter(|job| dependency_of(*job).is_some()) {
            let needed = dependency_of(job).and_then(|n| recorded_end(&self.store, n));
            if needed == Some(JobState::Cancelled) {
                self.leader_ends_job(job, Fate::Answered);
            }
        }
        (0..NODES).for_each(|node| self.follow(node));
    }

    /// Lets all that is in flight come to its end, with answers to all calls.
    pub(crate) fn finish_all(&mut self) {
        loop {
            (0..NODES).for_each(|node| self.tick(node));
            let waits = |r: &&u64| !matches!(self.running[r].waiting, Waiting::Child);
            let keys: VecDeque<u64> = self.running.keys().filter(waits).copied().collect();
            let idle =
                |node: &Node| node.polls.is_empty() && node.batcher.tick_interval_s().is_none();
            if keys.is_empty() && self.nodes.iter().all(idle) {
                return;
            }
            for key in keys {
                self.resume(key, Fate::Answered);
            }
        }
    }

    /// The state service refuses the nodes whose bits are set.
    pub(crate) fn refuse(&mut self, bits: u8) {
        let before = self.nodes.iter().filter(|node| node.refused).count();
        for (i, node) in self.nodes.iter_mut().enumerate() {
            node.refused = bits & (1 << i) != 0;
        }
        let after = self.nodes.iter().filter(|node| node.refused).count();
        if (before, after) == (1, NODES) {
            for running in self.running.values() {
                if let Machine::Request(_, kind, _) = running.machine {
                    self.coverage.refusal_met(kind);
                }
            }
        }
    }

    /// The end of a job is written; requests about it are under way.
    pub(crate) fn end_met_requests(&mut self, job: u8) {
        for running in self.running.values().filter(|r| r.job == Some(job)) {
            if let Machine::Request(_, kind, _) = running.machine {
                self.coverage.end_met(kind);
            }
        }
    }
}

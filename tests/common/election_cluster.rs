//! The elections of several nodes in virtual time, against a model of the state service, with
//! networks, clocks and processes that fail. What must always hold is checked after every event.

use super::lease_store::{LeaseStore, Micros, Random, SECOND};
use stairstage::bookkeeping::records::LEADER;
use stairstage::bookkeeping::store::{Outcome, Renewal, Unavailable};
use stairstage::coordination::election::{
    Election, ElectionEvent, ElectionRequest, Input, Operation, Step,
};
use stairstage::protocol::store::{Events, Transaction};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// What the store's client waits for an answer.
const CLIENT_TIMEOUT: Micros = 12 * SECOND / 10;
/// One way between a node and the state service: usually, and now and then.
const LATENCY: (Micros, Micros) = (100, 5_000);
const SLOW_LATENCY: (Micros, Micros) = (100_000, 300_000);
const SLOW_SHARE: f64 = 0.02;
/// When a transaction is carried out that is late.
const LATE: (Micros, Micros) = (SECOND / 2, 12 * SECOND);
/// How often a leader writes something that depends on its token.
const WRITE_INTERVAL: Micros = 3 * SECOND / 20;
/// Clocks of different nodes drift apart by 0.05% at the most.
const CLOCK_RATES: [f64; 3] = [0.99975, 1.00025, 1.0];
/// How late a slow controller takes an event in.
const SLOW_CONTROLLER: Micros = SECOND;
const SETTING_KEY: &str = "written-by-a-leader";

/// What goes wrong with a node, and until when.
#[derive(Default)]
struct Troubles {
    paused: Micros,
    refused: Micros,
    cut: Micros,
    answers_lost: Micros,
    late_commits: Micros,
    slow_controller: Micros,
}

/// What the controller of a leading node keeps.
struct ModelTerm {
    first_token: u64,
    token: u64,
    valid_until: f64,
    raising: bool,
}

struct Process {
    id: u64,
    started: Micros,
    election: Election,
    /// Counts operations, so that an answer finds the one that it belongs to.
    operation_number: u64,
    operation: Operation,
    requests: VecDeque<ElectionRequest>,
    term: Option<ModelTerm>,
    /// When the controller takes in the last event that it was told.
    notified_at: Micros,
    /// Tokens that this process knows to be its own.
    tokens: BTreeSet<u64>,
}

struct Node {
    name: String,
    clock_rate: f64,
    troubles: Troubles,
    process: Option<Process>,
}

/// One process of a node.
#[derive(Clone, Copy, PartialEq, Eq)]
struct ProcessId {
    node: usize,
    process: u64,
}

#[derive(Clone)]
enum Call {
    Election {
        number: u64,
        operation: Operation,
    },
    /// The controller's own write, conditional on its token.
    Write {
        token: u64,
    },
}

enum Occurrence {
    /// A call leaves its node.
    Send(ProcessId, Call),
    /// It arrives at the state service. The caller may no longer wait for the answer.
    Arrive(ProcessId, Call, bool),
    Answer(ProcessId, u64, Input),
    /// The version of the leader's record that made the controller's write fail.
    WriteFailed(ProcessId, u64),
    WatchOver(ProcessId, u64),
    WaitOver(ProcessId, u64),
    Notified(ProcessId, ElectionEvent),
    WriteDue(ProcessId),
    Start(usize),
    OutageOver,
}

struct Watch {
    by: ProcessId,
    number: u64,
    after: u64,
}

/// The leader's record, and since when it has been there without its node knowing of it.
struct UnknownRecord {
    version: u64,
    since: Micros,
}

pub struct Cluster {
    pub now: Micros,
    pub store: LeaseStore,
    /// Elections of which a controller was told.
    pub elections: u32,
    /// Leaders that learned from a failed write that they lead no more.
    pub deposed_by_conflict: u32,
    lease: Micros,
    nodes: Vec<Node>,
    queue: BTreeMap<(Micros, u64), Occurrence>,
    occurrences: u64,
    processes: u64,
    watches: Vec<Watch>,
    random: Random,
    outage_until: Micros,
    trouble_share: f64,
    highest_valid: Option<(u64, usize)>,
    unknown_record: Option<UnknownRecord>,
}

impl Cluster {
    /// Nodes whose leases have that length. The troubles of requests meet `trouble_share` of them.
    pub fn new(lease: Micros, latest_end: Micros, trouble_share: f64, seed: u64) -> Cluster {
        let nodes = CLOCK_RATES.iter().enumerate().map(|(i, rate)| Node {
            name: format!("node-{i}"),
            clock_rate: *rate,
            troubles: Troubles::default(),
            process: None,
        });
        let mut cluster = Cluster {
            now: 0,
            store: LeaseStore::new(seed, latest_end),
            elections: 0,
            deposed_by_conflict: 0,
            lease,
            nodes: nodes.collect(),
            queue: BTreeMap::new(),
            occurrences: 0,
            processes: 0,
            watches: Vec::new(),
            random: Random::new(!seed),
            outage_until: 0,
            trouble_share,
            highest_valid: None,
            unknown_record: None,
        };
        for node in 0..cluster.nodes.len() {
            cluster.start(node);
        }
        cluster
    }

    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }

    /// The node that believes its lease valid.
    pub fn leader(&self) -> Option<usize> {
        let leads = |node: &usize| self.valid_token(*node).is_some();
        (0..self.nodes.len()).find(leads)
    }

    /// The token of a node that believes its lease valid.
    pub fn valid_token(&self, node: usize) -> Option<u64> {
        let process = self.nodes[node].process.as_ref()?;
        let term = process.term.as_ref()?;
        (self.local_time(node) < term.valid_until).then_some(term.token)
    }

    /// The node that is named in the leader's record, whether or not it knows.
    pub fn recorded_leader(&self) -> Option<usize> {
        let record = self.store.leader()?;
        self.nodes.iter().position(|node| node.name == record.node)
    }

    /// Plays until then.
    pub fn run_until(&mut self, end: Micros) {
        loop {
            let next_event = self.queue.first_key_value().map(|((at, _), _)| *at);
            let next = [next_event, self.store.next_lease_end(), Some(end)];
            let next = next.into_iter().flatten().min().unwrap().max(self.now);
            self.now = next;
            self.store.expire(next);
            if next_event == Some(next) {
                let (_, occurrence) = self.queue.pop_first().unwrap();
                self.occur(occurrence);
            }
            self.answer_watches();
            self.check();
            let idle = self
                .queue
                .first_key_value()
                .is_none_or(|((at, _), _)| *at > end);
            if next == end && idle {
                return;
            }
        }
    }

    pub fn run_for(&mut self, time: Micros) {
        self.run_until(self.now + time);
    }

    /// Plays until a node other than `former` leads, and fails if that takes longer.
    pub fn run_until_led(&mut self, former: Option<usize>, within: Micros) -> usize {
        let end = self.now + within;
        while self.now < end {
            self.run_for(SECOND / 100);
            match self.leader() {
                Some(leader) if Some(leader) != former => return leader,
                _ => {}
            }
        }
        panic!("nobody but {former:?} leads within {within} microseconds");
    }

    /// Ends a node's process, which is back after a while.
    pub fn restart(&mut self, node: usize, away: Micros) {
        if self.nodes[node].process.take().is_some() {
            self.schedule(self.now + away, Occurrence::Start(node));
        }
    }

    /// A node stands still while its clock runs on.
    pub fn pause(&mut self, node: usize, time: Micros) {
        self.nodes[node].troubles.paused = self.now + time;
    }

    /// The state service refuses one node alone.
    pub fn refuse(&mut self, node: usize, time: Micros) {
        self.nodes[node].troubles.refused = self.now + time;
    }

    /// A node is cut off from the state service; what it sends may be held back until the end.
    pub fn cut(&mut self, node: usize, time: Micros) {
        self.nodes[node].troubles.cut = self.now + time;
    }

    /// Transactions of a node are carried out without an answer.
    pub fn lose_answers(&mut self, node: usize, time: Micros) {
        self.nodes[node].troubles.answers_lost = self.now + time;
    }

    /// Transactions of a node get no answer, and are carried out seconds later.
    pub fn delay_commits(&mut self, node: usize, time: Micros) {
        self.nodes[node].troubles.late_commits = self.now + time;
    }

    /// The controller of a node takes in what the election tells it a second late.
    pub fn slow_controller(&mut self, node: usize, time: Micros) {
        self.nodes[node].troubles.slow_controller = self.now + time;
    }

    /// The state service refuses everybody.
    pub fn begin_outage(&mut self, time: Micros) {
        self.store.outage = true;
        self.outage_until = self.outage_until.max(self.now + time);
        self.schedule(self.outage_until, Occurrence::OutageOver);
    }

    /// The controller hands over, if it leads.
    pub fn resign(&mut self, node: usize) {
        let Some(process) = &mut self.nodes[node].process else {
            return;
        };
        if let Some(term) = process.term.take() {
            let term = term.first_token;
            self.request(node, ElectionRequest::Resign { term });
        }
    }

    /// The controller asks for a higher token, if it leads.
    pub fn raise_token(&mut self, node: usize) {
        let Some(process) = &mut self.nodes[node].process else {
            return;
        };
        if let Some(term) = process.term.as_mut().filter(|term| !term.raising) {
            term.raising = true;
            let term = term.first_token;
            self.request(node, ElectionRequest::RaiseToken { term });
        }
    }

    /// Ends all troubles but what is under way.
    pub fn heal(&mut self) {
        for node in &mut self.nodes {
            node.troubles = Troubles::default();
        }
        if self.store.outage {
            self.outage_until = self.now;
            self.end_outage();
        }
    }

    fn schedule(&mut self, at: Micros, occurrence: Occurrence) {
        self.occurrences += 1;
        self.queue.insert((at, self.occurrences), occurrence);
    }

    fn local_time(&self, node: usize) -> f64 {
        let Some(process) = &self.nodes[node].process else {
            return 0.0;
        };
        (self.now - process.started) as f64 * self.nodes[node].clock_rate / SECOND as f64
    }

    /// When a process's clock shows at least that time, whatever the rounding.
    fn real_time(&self, node: usize, local: f64) -> Micros {
        let started = self.nodes[node].process.as_ref().map_or(0, |p| p.started);
        started + (local / self.nodes[node].clock_rate * SECOND as f64) as Micros + 2
    }

    fn process(&mut self, id: ProcessId) -> Option<&mut Process> {
        let process = self.nodes[id.node].process.as_mut();
        process.filter(|process| process.id == id.process)
    }

    fn process_id(&self, node: usize) -> Option<ProcessId> {
        let process = self.nodes[node].process.as_ref()?.id;
        Some(ProcessId { node, process })
    }

    fn occur(&mut self, occurrence: Occurrence) {
        if let Some(until) = self.paused_until(&occurrence) {
            return self.schedule(until, occurrence);
        }
        match occurrence {
            Occurrence::Send(by, call) => self.send(by, call),
            Occurrence::Arrive(by, call, awaited) => self.arrive(by, call, awaited),
            Occurrence::Answer(by, number, input) => self.answered(by, number, input),
            Occurrence::WriteFailed(by, version) => self.write_failed(by, version),
            Occurrence::WatchOver(by, number) => self.watch_over(by, number),
            Occurrence::WaitOver(by, number) => self.wait_over(by, number),
            Occurrence::Notified(by, event) => self.notified(by, event),
            Occurrence::WriteDue(by) => self.write(by),
            Occurrence::Start(node) => self.start(node),
            Occurrence::OutageOver if self.now >= self.outage_until => self.end_outage(),
            Occurrence::OutageOver => {}
        }
    }

    /// Until when what happens within a node has to wait, as the node stands still.
    fn paused_until(&self, occurrence: &Occurrence) -> Option<Micros> {
        let by = match occurrence {
            Occurrence::Send(by, _)
            | Occurrence::Answer(by, ..)
            | Occurrence::WriteFailed(by, _)
            | Occurrence::WaitOver(by, _)
            | Occurrence::Notified(by, _)
            | Occurrence::WriteDue(by) => by,
            Occurrence::Arrive(..)
            | Occurrence::WatchOver(..)
            | Occurrence::Start(_)
            | Occurrence::OutageOver => return None,
        };
        let paused = self.nodes[by.node].troubles.paused;
        (self.now < paused).then_some(paused)
    }

    fn start(&mut self, node: usize) {
        if self.nodes[node].process.is_some() {
            return;
        }
        self.processes += 1;
        let lease = Duration::from_micros(self.lease);
        let mut election = Election::new(self.nodes[node].name.clone(), lease);
        let first = election.start();
        self.nodes[node].process = Some(Process {
            id: self.processes,
            started: self.now,
            election,
            operation_number: 0,
            operation: first.operation.clone(),
            requests: VecDeque::new(),
            term: None,
            notified_at: self.now,
            tokens: BTreeSet::new(),
        });
        let by = ProcessId {
            node,
            process: self.processes,
        };
        self.carry_out(by, first);
        self.schedule(self.now + WRITE_INTERVAL, Occurrence::WriteDue(by));
    }

    fn end_outage(&mut self) {
        self.store.end_outage(self.now);
        if let Some(unknown) = &mut self.unknown_record {
            unknown.since = self.now;
        }
    }

    fn handle(&mut self, by: ProcessId, input: Input) {
        let now = self.local_time(by.node);
        if let Some(process) = self.process(by) {
            let step = process.election.handle(input, now);
            self.carry_out(by, step);
        }
    }

    fn carry_out(&mut self, by: ProcessId, step: Step) {
        let slow = self.nodes[by.node].troubles.slow_controller > self.now;
        let now = self.now;
        let Some(process) = self.process(by) else {
            return;
        };
        process.operation_number += 1;
        process.operation = step.operation.clone();
        let number = process.operation_number;
        let delay = if slow { SLOW_CONTROLLER } else { 0 };
        process.notified_at = process.notified_at.max(now + delay);
        let notified_at = process.notified_at;
        for event in step.events {
            self.note_token(by, &event);
            self.schedule(notified_at, Occurrence::Notified(by, event));
        }
        match step.operation {
            Operation::Wait { until } => self.wait(by, number, until),
            operation => {
                let call = Call::Election { number, operation };
                self.schedule(now, Occurrence::Send(by, call));
            }
        }
    }

    fn note_token(&mut self, by: ProcessId, event: &ElectionEvent) {
        let token = match event {
            ElectionEvent::Elected { token } | ElectionEvent::TokenRaised(Some(token)) => *token,
            _ => return,
        };
        let name = &self.nodes[by.node].name;
        assert_eq!(
            self.store.leader_versions.get(&token),
            Some(name),
            "the state service has given this token to another node, or to none"
        );
        let Some(process) = self.process(by) else {
            return;
        };
        let last = process.tokens.last().copied();
        assert!(last < Some(token), "token {token} after {last:?}");
        process.tokens.insert(token);
    }

    fn wait(&mut self, by: ProcessId, number: u64, until: f64) {
        let Some(process) = self.process(by) else {
            return;
        };
        let at = match process.requests.is_empty() {
            true => self.real_time(by.node, until).max(self.now),
            false => self.now,
        };
        self.schedule(at, Occurrence::WaitOver(by, number));
    }

    fn wait_over(&mut self, by: ProcessId, number: u64) {
        let Some(process) = self.process(by) else {
            return;
        };
        if process.operation_number != number {
            return;
        }
        let input = match process.requests.pop_front() {
            Some(request) => Input::Requested(request),
            None => Input::Elapsed,
        };
        self.handle(by, input);
    }

    fn request(&mut self, node: usize, request: ElectionRequest) {
        let Some(by) = self.process_id(node) else {
            return;
        };
        let Some(process) = self.process(by) else {
            return;
        };
        process.requests.push_back(request);
        if matches!(process.operation, Operation::Wait { .. }) {
            let number = process.operation_number;
            self.schedule(self.now, Occurrence::WaitOver(by, number));
        }
    }

    fn latency(&mut self) -> Micros {
        let (low, high) = match self.random.chance(SLOW_SHARE) {
            true => SLOW_LATENCY,
            false => LATENCY,
        };
        self.random.between(low, high)
    }

    fn send(&mut self, by: ProcessId, call: Call) {
        if self.process(by).is_none() {
            return;
        }
        if let Call::Election { number, operation } = &call {
            let timeout = self.now + timeout_of(operation);
            let input = unanswered(operation);
            self.schedule(timeout, Occurrence::Answer(by, *number, input));
        }
        let commits = is_commit(&call);
        let (cut, late) = {
            let troubles = &self.nodes[by.node].troubles;
            (troubles.cut, troubles.late_commits > self.now && commits)
        };
        if self.now < cut {
            return self.send_into_cut(by, call, cut);
        }
        if late && self.random.chance(self.trouble_share) {
            let at = self.now + self.random.between(LATE.0, LATE.1);
            return self.schedule(at, Occurrence::Arrive(by, call, false));
        }
        let at = self.now + self.latency();
        self.schedule(at, Occurrence::Arrive(by, call, true));
    }

    /// A connection cannot be made, or what is sent on one is held back.
    fn send_into_cut(&mut self, by: ProcessId, call: Call, until: Micros) {
        if self.random.chance(0.5) {
            return self.schedule(until, Occurrence::Arrive(by, call, false));
        }
        if let Call::Election { number, operation } = call {
            let at = self.now + self.latency();
            self.schedule(at, Occurrence::Answer(by, number, refused(&operation)));
        }
    }

    fn arrive(&mut self, by: ProcessId, call: Call, awaited: bool) {
        let refused_alone = self.nodes[by.node].troubles.refused > self.now;
        if (self.store.outage || refused_alone) && !is_watch(&call) {
            match (awaited, call) {
                // It is carried out after the outage, as it is late anyway.
                (false, call) => {
                    let at = self.now + SECOND / 2;
                    self.schedule(at, Occurrence::Arrive(by, call, false));
                }
                (true, Call::Election { number, operation }) => {
                    let input = refused(&operation);
                    self.reply(by, Occurrence::Answer(by, number, input));
                }
                (true, Call::Write { .. }) => {}
            }
            return;
        }
        match call {
            Call::Write { token } => self.write_arrived(by, token),
            Call::Election { number, operation } => {
                let commits = matches!(operation, Operation::Commit { .. });
                let input = self.carried_out(by, number, operation);
                let lost = commits && self.loses_answer(by);
                if let Some(input) = input.filter(|_| awaited && !lost) {
                    self.reply(by, Occurrence::Answer(by, number, input));
                }
            }
        }
    }

    fn loses_answer(&mut self, by: ProcessId) -> bool {
        let troubled = self.nodes[by.node].troubles.answers_lost > self.now;
        troubled && self.random.chance(self.trouble_share)
    }

    fn reply(&mut self, by: ProcessId, answer: Occurrence) {
        if self.nodes[by.node].troubles.cut <= self.now {
            let at = self.now + self.latency();
            self.schedule(at, answer);
        }
    }

    /// What the state service answers to an operation; a watch is answered later.
    fn carried_out(&mut self, by: ProcessId, number: u64, operation: Operation) -> Option<Input> {
        Some(match operation {
            Operation::Read { .. } => Input::Read(Ok(self.store.leader())),
            Operation::Watch { after, hold } => {
                self.watches.push(Watch { by, number, after });
                let at = self.now + hold.as_micros() as Micros;
                self.schedule(at, Occurrence::WatchOver(by, number));
                return None;
            }
            Operation::Grant { life } => {
                let life = life.as_micros() as Micros;
                Input::Granted(Ok(self.store.grant(life, self.now)))
            }
            Operation::Commit { transaction, .. } => {
                Input::Committed(self.store.commit(&transaction))
            }
            Operation::Renew { lease, .. } => {
                let renewal = self.store.renew(lease, self.now);
                // A late copy of a renewal gives its lease another full time.
                if let Some(unknown) = &mut self.unknown_record {
                    unknown.since = self.now;
                }
                Input::Renewed(renewal)
            }
            Operation::Release { lease } => {
                self.store.release(lease);
                Input::Released
            }
            Operation::Wait { .. } => return None,
        })
    }

    fn watch_over(&mut self, by: ProcessId, number: u64) {
        let asked = |watch: &Watch| watch.by == by && watch.number == number;
        let Some(position) = self.watches.iter().position(asked) else {
            return;
        };
        self.watches.swap_remove(position);
        if !self.store.outage && self.nodes[by.node].troubles.refused <= self.now {
            let events = self.store.leader_changes_after(u64::MAX);
            self.reply(by, Occurrence::Answer(by, number, watched(events)));
        }
    }

    fn answer_watches(&mut self) {
        if self.store.outage {
            return;
        }
        for position in (0..self.watches.len()).rev() {
            let Watch { by, number, after } = self.watches[position];
            let refused = self.nodes[by.node].troubles.refused > self.now;
            let events = self.store.leader_changes_after(after);
            if !refused && !events.events.is_empty() {
                self.watches.swap_remove(position);
                self.reply(by, Occurrence::Answer(by, number, watched(events)));
            }
        }
    }

    fn answered(&mut self, by: ProcessId, number: u64, input: Input) {
        let process = self.process(by);
        if process.is_some_and(|process| process.operation_number == number) {
            self.handle(by, input);
        }
    }

    fn notified(&mut self, by: ProcessId, event: ElectionEvent) {
        let now = self.local_time(by.node);
        let Some(process) = self.process(by) else {
            return;
        };
        match (event, &mut process.term) {
            (ElectionEvent::Elected { token }, term) => {
                *term = Some(ModelTerm {
                    first_token: token,
                    token,
                    valid_until: now,
                    raising: false,
                });
                self.elections += 1;
            }
            (ElectionEvent::Lease { valid_until }, Some(term)) => term.valid_until = valid_until,
            (ElectionEvent::TokenRaised(token), Some(term)) => {
                term.raising = false;
                term.token = term.token.max(token.unwrap_or(0));
            }
            (ElectionEvent::Deposed, term) => *term = None,
            _ => {}
        }
    }

    /// A leader writes something every now and then, as long as it trusts its lease.
    fn write(&mut self, by: ProcessId) {
        if self.process(by).is_none() {
            return;
        }
        if let Some(token) = self.valid_token(by.node) {
            self.schedule(self.now, Occurrence::Send(by, Call::Write { token }));
        }
        self.schedule(self.now + WRITE_INTERVAL, Occurrence::WriteDue(by));
    }

    fn write_arrived(&mut self, by: ProcessId, token: u64) {
        let value = serde_json::json!(token);
        let write = Transaction::default()
            .version(LEADER, token)
            .put(SETTING_KEY, value);
        match self.store.commit(&write) {
            Outcome::Applied(_) => {
                let last = self.store.leader_versions.last_key_value();
                let last = last.map(|(version, _)| *version);
                assert_eq!(last, Some(token), "a write of a deposed leader was applied");
            }
            _ => {
                let version = self.store.version(LEADER);
                self.reply(by, Occurrence::WriteFailed(by, version));
            }
        }
    }

    /// The controller takes the leader's record into account as it does after each failed write.
    fn write_failed(&mut self, by: ProcessId, leader_version: u64) {
        let Some(process) = self.process(by) else {
            return;
        };
        let lost = process.term.as_ref().is_some_and(|term| {
            (leader_version > term.token || leader_version == 0) && !term.raising
        });
        if lost {
            self.deposed_by_conflict += 1;
            self.resign(by.node);
        }
    }

    /// What must hold at every moment.
    fn check(&mut self) {
        let valid = |node: usize| Some((self.valid_token(node)?, node));
        let valid: Vec<(u64, usize)> = (0..self.nodes.len()).filter_map(valid).collect();
        let (now, lease) = (self.now, self.lease);
        assert!(valid.len() <= 1, "two leaders at {now}: {valid:?}");
        if let Some((token, node)) = valid.first().copied() {
            if let Some((highest, holder)) = self.highest_valid {
                assert!(token >= highest, "at {now} token {token} after {highest}");
                assert!(token > highest || node == holder, "two nodes with {token}");
            }
            self.highest_valid = Some((token, node));
        }
        self.note_unknown_record();
        if let Some(unknown) = self.unknown_record.as_ref().filter(|_| !self.store.outage) {
            let unknown_for = now - unknown.since;
            let most = lease + super::lease_store::LATEST_END;
            assert!(
                unknown_for <= most,
                "at {now}: a leader that knows nothing of it"
            );
        }
    }

    fn note_unknown_record(&mut self) {
        let version = self.store.version(LEADER);
        let processes = self.nodes.iter().filter_map(|node| node.process.as_ref());
        let known = processes.into_iter().any(|p| p.tokens.contains(&version));
        if version == 0 || known {
            self.unknown_record = None;
        } else if self.unknown_record.as_ref().map(|u| u.version) != Some(version) {
            let since = self.now;
            self.unknown_record = Some(UnknownRecord { version, since });
        }
    }
}

fn is_commit(call: &Call) -> bool {
    match call {
        Call::Election { operation, .. } => matches!(operation, Operation::Commit { .. }),
        Call::Write { .. } => true,
    }
}

fn is_watch(call: &Call) -> bool {
    matches!(
        call,
        Call::Election {
            operation: Operation::Watch { .. },
            ..
        }
    )
}

fn watched(events: Events) -> Input {
    Input::Watched(Ok(Some(events)))
}

fn timeout_of(operation: &Operation) -> Micros {
    let micros = |duration: &Duration| duration.as_micros() as Micros;
    match operation {
        Operation::Read { timeout } | Operation::Commit { timeout, .. } => {
            timeout.as_ref().map_or(CLIENT_TIMEOUT, micros)
        }
        Operation::Renew { timeout, .. } => micros(timeout),
        Operation::Watch { hold, .. } => micros(hold) + CLIENT_TIMEOUT,
        Operation::Grant { .. } | Operation::Release { .. } | Operation::Wait { .. } => {
            CLIENT_TIMEOUT
        }
    }
}

/// How an operation ends that gets no answer.
fn unanswered(operation: &Operation) -> Input {
    match operation {
        Operation::Commit { .. } => Input::Committed(Outcome::Unknown),
        other => refused(other),
    }
}

/// How an operation ends that is not carried out.
fn refused(operation: &Operation) -> Input {
    match operation {
        Operation::Read { .. } => Input::Read(Err(Unavailable)),
        Operation::Watch { .. } => Input::Watched(Err(Unavailable)),
        Operation::Grant { .. } => Input::Granted(Err(Unavailable)),
        Operation::Commit { .. } => Input::Committed(Outcome::Refused),
        Operation::Renew { .. } => Input::Renewed(Renewal::Unavailable),
        Operation::Release { .. } => Input::Released,
        Operation::Wait { .. } => Input::Elapsed,
    }
}

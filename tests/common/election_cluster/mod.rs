//! The elections of several nodes in virtual time, against a model of the state service, with
//! networks, clocks and processes that fail. What must always hold is checked after every event.

mod calls;
mod controllers;
mod faults;
mod invariants;

use crate::lease_store::{LeaseStore, Micros, Random, SECOND};
use stairstage::coordination::election::{
    Election, ElectionEvent, ElectionRequest, Input, Operation,
};
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

pub(crate) struct Cluster {
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
    pub(crate) fn new(lease: Micros, latest_end: Micros, trouble_share: f64, seed: u64) -> Cluster {
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

    pub(crate) fn nodes(&self) -> usize {
        self.nodes.len()
    }

    /// The node that believes its lease valid.
    pub(crate) fn leader(&self) -> Option<usize> {
        let leads = |node: &usize| self.valid_token(*node).is_some();
        (0..self.nodes.len()).find(leads)
    }

    /// The token of a node that believes its lease valid.
    pub(crate) fn valid_token(&self, node: usize) -> Option<u64> {
        let process = self.nodes[node].process.as_ref()?;
        let term = process.term.as_ref()?;
        (self.local_time(node) < term.valid_until).then_some(term.token)
    }

    /// The node that is named in the leader's record, whether or not it knows.
    pub(crate) fn recorded_leader(&self) -> Option<usize> {
        let record = self.store.leader()?;
        self.nodes.iter().position(|node| node.name == record.node)
    }

    /// Plays until then.
    pub(crate) fn run_until(&mut self, end: Micros) {
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

    pub(crate) fn run_for(&mut self, time: Micros) {
        self.run_until(self.now + time);
    }

    /// Plays until a node other than `former` leads, and fails if that takes longer.
    pub(crate) fn run_until_led(&mut self, former: Option<usize>, within: Micros) -> usize {
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
}

//! A discrete-event simulation of the elections of several nodes against a model of the state service.
//! Networks, clocks and processes fail, and the invariants are checked after every event.

mod calls;
mod controllers;
mod faults;
mod invariants;

use crate::lease_store::{LeaseStore, Micros, Random, SECOND};
use stairstage::coordination::election::{
    Election, ElectionEvent, ElectionRequest, Input, Operation,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::RangeInclusive;
use std::time::Duration;

/// The timeout of requests to the state service.
const CLIENT_TIMEOUT: Micros = 12 * SECOND / 10;
/// The one-way latency between a node and the state service.
const LATENCY: RangeInclusive<Micros> = 100..=5_000;
/// The one-way latency of a slow message.
const SLOW_LATENCY: RangeInclusive<Micros> = 100_000..=300_000;
/// The probability that a message is slow.
const SLOW_PROBABILITY: f64 = 0.02;
/// The delay after which a delayed transaction is applied.
const COMMIT_DELAY: RangeInclusive<Micros> = SECOND / 2..=12 * SECOND;
/// The interval of a leader's writes that are conditional on its token.
const WRITE_INTERVAL: Micros = 3 * SECOND / 20;
/// The rates of the nodes' clocks, which drift apart by at most 0.05%.
const CLOCK_RATES: [f64; 3] = [0.99975, 1.00025, 1.0];
/// The time after which a slow controller handles an event.
const CONTROLLER_DELAY: Micros = SECOND;
/// The key that leaders write.
const WRITTEN_KEY: &str = "written-by-a-leader";

/// The faults of a node, each with the time until which it lasts.
#[derive(Default)]
struct Faults {
    /// The node is paused.
    paused_until: Micros,
    /// The state service rejects the node's requests.
    rejected_until: Micros,
    /// The node is partitioned from the state service.
    partitioned_until: Micros,
    /// Responses to the node's transactions are lost.
    responses_lost_until: Micros,
    /// The node's transactions are applied late.
    commits_delayed_until: Micros,
    /// The node's controller handles events late.
    controller_slow_until: Micros,
}

/// The term of a leader, as its controller knows it.
struct ModelTerm {
    first_token: u64,
    token: u64,
    valid_until: f64,
    /// Whether the controller has requested a higher token and has no response yet.
    raising: bool,
}

/// A running controller process.
struct Process {
    id: u64,
    started: Micros,
    election: Election,
    /// Numbers the operations, so that a response is matched with its operation.
    operation_number: u64,
    operation: Operation,
    requests: VecDeque<ElectionRequest>,
    term: Option<ModelTerm>,
    /// When the controller handles the last event that was reported to it.
    notified_at: Micros,
    /// The tokens that this process knows to be its own.
    tokens: BTreeSet<u64>,
}

/// A node, whose process may be down.
struct Node {
    name: String,
    clock_rate: f64,
    faults: Faults,
    process: Option<Process>,
}

/// Identifies a process among all that a node has had.
#[derive(Clone, Copy, PartialEq, Eq)]
struct ProcessId {
    node: usize,
    process: u64,
}

/// A request to the state service.
#[derive(Clone)]
enum Call {
    /// An operation of the election.
    Election { number: u64, operation: Operation },
    /// The controller's own write, conditional on its token.
    Write { token: u64 },
}

/// An event of the simulation.
enum SimulatedEvent {
    /// A call leaves its node.
    Send(ProcessId, Call),
    /// A call arrives at the state service.
    Arrive {
        id: ProcessId,
        call: Call,
        /// Whether the caller still waits for the response.
        is_awaited: bool,
    },
    /// An operation's outcome reaches its process.
    Respond {
        id: ProcessId,
        operation_number: u64,
        input: Input,
    },
    /// The controller learns that its write has failed.
    WriteFailed {
        id: ProcessId,
        /// The version that the leader's record has instead.
        leader_version: u64,
    },
    /// A watch times out.
    WatchTimeout {
        id: ProcessId,
        operation_number: u64,
    },
    /// The wait of a process is over, or the process has a request to handle.
    WaitOver {
        id: ProcessId,
        operation_number: u64,
    },
    /// An event of the election reaches the controller.
    Notified(ProcessId, ElectionEvent),
    /// The controller writes if it leads.
    WriteDue(ProcessId),
    /// A node's process starts.
    Start(usize),
    /// An outage of the state service ends.
    OutageOver,
}

/// A watch of the leader's record that the state service holds open.
struct Watch {
    id: ProcessId,
    operation_number: u64,
    after: u64,
}

/// A leader's record that its own node does not know of, and since when.
struct UnknownRecord {
    version: u64,
    since: Micros,
}

/// A token that was valid, with the node that held it.
#[derive(Clone, Copy, Debug)]
struct ValidToken {
    token: u64,
    node: usize,
}

/// The simulation.
pub(crate) struct Cluster {
    pub now: Micros,
    pub store: LeaseStore,
    /// Elections that were reported to a controller.
    pub elections: u32,
    /// Leaders that learned from a failed write that they are deposed.
    pub deposed_by_conflict: u32,
    lease: Micros,
    nodes: Vec<Node>,
    /// The events by their time and by the order in which they were scheduled.
    queue: BTreeMap<(Micros, u64), SimulatedEvent>,
    scheduled_events: u64,
    /// The number of processes that have been started.
    processes: u64,
    watches: Vec<Watch>,
    random: Random,
    outage_until: Micros,
    fault_rate: f64,
    highest_valid: Option<ValidToken>,
    unknown_record: Option<UnknownRecord>,
}

impl Cluster {
    /// Creates nodes whose leases last for `lease`. A fault of requests affects each request with the
    /// probability `fault_rate`.
    pub(crate) fn new(
        lease: Micros,
        max_expiry_delay: Micros,
        fault_rate: f64,
        seed: u64,
    ) -> Cluster {
        let nodes = CLOCK_RATES.iter().enumerate().map(|(i, rate)| Node {
            name: format!("node-{i}"),
            clock_rate: *rate,
            faults: Faults::default(),
            process: None,
        });
        let mut cluster = Cluster {
            now: 0,
            store: LeaseStore::new(seed, max_expiry_delay),
            elections: 0,
            deposed_by_conflict: 0,
            lease,
            nodes: nodes.collect(),
            queue: BTreeMap::new(),
            scheduled_events: 0,
            processes: 0,
            watches: Vec::new(),
            random: Random::new(!seed),
            outage_until: 0,
            fault_rate,
            highest_valid: None,
            unknown_record: None,
        };
        for node in 0..cluster.nodes.len() {
            cluster.start(node);
        }
        cluster
    }

    /// The number of nodes.
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

    /// The node that the leader's record names, whether or not that node knows it.
    pub(crate) fn recorded_leader(&self) -> Option<usize> {
        let record = self.store.leader()?;
        self.nodes.iter().position(|node| node.name == record.name)
    }

    /// Simulates until the time `end`.
    pub(crate) fn run_until(&mut self, end: Micros) {
        loop {
            let next_event = self.queue.first_key_value().map(|((at, _), _)| *at);
            let candidates = [next_event, self.store.next_lease_expiry(), Some(end)];
            let next = candidates.into_iter().flatten().min().unwrap();
            let next = next.max(self.now);
            self.now = next;
            self.store.expire(next);
            if next_event == Some(next) {
                let (_, event) = self.queue.pop_first().unwrap();
                self.dispatch(event);
            }
            self.notify_watches();
            self.check_invariants();
            let is_idle = self
                .queue
                .first_key_value()
                .is_none_or(|((at, _), _)| *at > end);
            if next == end && is_idle {
                return;
            }
        }
    }

    /// Simulates for `time`.
    pub(crate) fn run_for(&mut self, time: Micros) {
        self.run_until(self.now + time);
    }

    /// Simulates until a node other than `former` leads, and fails if that takes longer than `within`.
    pub(crate) fn run_until_elected(&mut self, former: Option<usize>, within: Micros) -> usize {
        let end = self.now + within;
        while self.now < end {
            self.run_for(SECOND / 100);
            match self.leader() {
                Some(leader) if Some(leader) != former => return leader,
                _ => {}
            }
        }
        panic!("no node other than {former:?} leads within {within} microseconds");
    }

    /// Schedules an event at a time.
    fn schedule(&mut self, at: Micros, event: SimulatedEvent) {
        self.scheduled_events += 1;
        self.queue.insert((at, self.scheduled_events), event);
    }

    /// The clock reading of a node, in seconds since its process started.
    fn local_time(&self, node: usize) -> f64 {
        let Some(process) = &self.nodes[node].process else {
            return 0.0;
        };
        (self.now - process.started) as f64 * self.nodes[node].clock_rate / SECOND as f64
    }

    /// The time when the clock of a process shows at least `local`, with a margin of 2 microseconds for
    /// rounding.
    fn real_time(&self, node: usize, local: f64) -> Micros {
        let started = self.nodes[node].process.as_ref().map_or(0, |p| p.started);
        started + (local / self.nodes[node].clock_rate * SECOND as f64) as Micros + 2
    }

    /// A process, if it is still running.
    fn process(&mut self, id: ProcessId) -> Option<&mut Process> {
        let process = self.nodes[id.node].process.as_mut();
        process.filter(|process| process.id == id.process)
    }

    /// The process that runs on a node.
    fn process_id(&self, node: usize) -> Option<ProcessId> {
        let process = self.nodes[node].process.as_ref()?.id;
        Some(ProcessId { node, process })
    }

    /// Handles an event.
    fn dispatch(&mut self, event: SimulatedEvent) {
        if let Some(until) = self.paused_until(&event) {
            return self.schedule(until, event);
        }
        match event {
            SimulatedEvent::Send(id, call) => self.send(id, call),
            SimulatedEvent::Arrive {
                id,
                call,
                is_awaited,
            } => self.arrive(id, call, is_awaited),
            SimulatedEvent::Respond {
                id,
                operation_number,
                input,
            } => self.responded(id, operation_number, input),
            SimulatedEvent::WriteFailed { id, leader_version } => {
                self.write_failed(id, leader_version);
            }
            SimulatedEvent::WatchTimeout {
                id,
                operation_number,
            } => self.watch_timed_out(id, operation_number),
            SimulatedEvent::WaitOver {
                id,
                operation_number,
            } => self.wait_over(id, operation_number),
            SimulatedEvent::Notified(id, event) => self.notified(id, event),
            SimulatedEvent::WriteDue(id) => self.write(id),
            SimulatedEvent::Start(node) => self.start(node),
            SimulatedEvent::OutageOver if self.now >= self.outage_until => self.end_outage(),
            SimulatedEvent::OutageOver => {}
        }
    }

    /// The time until which an event within a node is postponed because the node is paused.
    fn paused_until(&self, event: &SimulatedEvent) -> Option<Micros> {
        let id = match event {
            SimulatedEvent::Send(id, _)
            | SimulatedEvent::Respond { id, .. }
            | SimulatedEvent::WriteFailed { id, .. }
            | SimulatedEvent::WaitOver { id, .. }
            | SimulatedEvent::Notified(id, _)
            | SimulatedEvent::WriteDue(id) => id,
            SimulatedEvent::Arrive { .. }
            | SimulatedEvent::WatchTimeout { .. }
            | SimulatedEvent::Start(_)
            | SimulatedEvent::OutageOver => return None,
        };
        let paused = self.nodes[id.node].faults.paused_until;
        (self.now < paused).then_some(paused)
    }

    /// Starts a process on a node that has none.
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
        let id = ProcessId {
            node,
            process: self.processes,
        };
        self.apply_step(id, first);
        self.schedule(self.now + WRITE_INTERVAL, SimulatedEvent::WriteDue(id));
    }
}

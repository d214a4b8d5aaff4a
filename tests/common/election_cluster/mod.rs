//! A discrete-event simulation of the elections of several controllers against a model of the state service.
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
/// The one-way latency between a controller and the state service.
const LATENCY: RangeInclusive<Micros> = 100..=5_000;
/// The one-way latency of a slow message.
const SLOW_LATENCY: RangeInclusive<Micros> = 100_000..=300_000;
/// The probability that a message is slow.
const SLOW_PROBABILITY: f64 = 0.02;
/// The delay after which a delayed transaction is applied.
const COMMIT_DELAY: RangeInclusive<Micros> = SECOND / 2..=12 * SECOND;
/// The interval of a leader's writes that are conditional on its token.
const WRITE_INTERVAL: Micros = 3 * SECOND / 20;
/// The rates of the controllers' clocks, which drift apart by at most 0.05%.
const CLOCK_RATES: [f64; 3] = [0.99975, 1.00025, 1.0];
/// The time after which a slow controller handles an event.
const CONTROLLER_DELAY: Micros = SECOND;
/// The key that leaders write.
const WRITTEN_KEY: &str = "written-by-a-leader";

/// The faults of a controller, each with the time until which it lasts.
#[derive(Default)]
struct Faults {
    /// The controller is paused.
    paused_until: Micros,
    /// The state service rejects the controller's requests.
    rejected_until: Micros,
    /// The controller is partitioned from the state service.
    partitioned_until: Micros,
    /// Responses to the controller's transactions are lost.
    responses_lost_until: Micros,
    /// The controller's transactions are applied late.
    commits_delayed_until: Micros,
    /// The controller handles the events of its election late.
    controller_slow_until: Micros,
}

/// The term of a leader, as the events of its election have reported it.
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
    /// When the controller handles the last event that its election has reported.
    notified_at: Micros,
    /// The tokens that this process knows to be its own.
    tokens: BTreeSet<u64>,
}

/// A controller, whose process may be down.
struct Controller {
    name: String,
    clock_rate: f64,
    faults: Faults,
    process: Option<Process>,
}

/// Identifies a process among all that a controller has had.
#[derive(Clone, Copy, PartialEq, Eq)]
struct ProcessId {
    controller: usize,
    process: u64,
}

/// A request to the state service.
#[derive(Clone)]
enum Call {
    /// An operation of the election.
    Election { number: u64, operation: Operation },
    /// A write of the controller that is conditional on its token.
    Write { token: u64 },
}

/// An event of the simulation.
enum SimulatedEvent {
    /// A call leaves its controller.
    Send(ProcessId, Call),
    /// A call arrives at the state service.
    Arrive {
        id: ProcessId,
        call: Call,
        /// Whether the caller gets the response.
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
    /// A controller's process starts.
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

/// A version of the leader's record that its controller does not know as its own, and since when.
struct UnknownRecord {
    version: u64,
    since: Micros,
}

/// A token that was valid, with the controller that held it.
#[derive(Clone, Copy, Debug)]
struct ValidToken {
    token: u64,
    controller: usize,
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
    controllers: Vec<Controller>,
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
    /// Creates controllers whose leases last for `lease`. A fault of requests affects each request with the
    /// probability `fault_rate`.
    pub(crate) fn new(
        lease: Micros,
        max_expiry_delay: Micros,
        fault_rate: f64,
        seed: u64,
    ) -> Cluster {
        let controllers = CLOCK_RATES.iter().enumerate().map(|(i, rate)| Controller {
            name: format!("controller-{i}"),
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
            controllers: controllers.collect(),
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
        for controller in 0..cluster.controllers.len() {
            cluster.start(controller);
        }
        cluster
    }

    /// The number of controllers.
    pub(crate) fn controllers(&self) -> usize {
        self.controllers.len()
    }

    /// The controller that believes its lease valid.
    pub(crate) fn leader(&self) -> Option<usize> {
        let leads = |controller: &usize| self.valid_token(*controller).is_some();
        (0..self.controllers.len()).find(leads)
    }

    /// The token of a controller that believes its lease valid.
    pub(crate) fn valid_token(&self, controller: usize) -> Option<u64> {
        let process = self.controllers[controller].process.as_ref()?;
        let term = process.term.as_ref()?;
        (self.local_time(controller) < term.valid_until).then_some(term.token)
    }

    /// The controller that the leader's record names, whether or not that controller knows it.
    pub(crate) fn recorded_leader(&self) -> Option<usize> {
        let record = self.store.leader()?;
        self.controllers
            .iter()
            .position(|controller| controller.name == record.name)
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

    /// Simulates until a controller other than `former` leads, and fails if that takes longer than `within`.
    pub(crate) fn run_until_elected(&mut self, former: Option<usize>, within: Micros) -> usize {
        let end = self.now + within;
        while self.now < end {
            self.run_for(SECOND / 100);
            match self.leader() {
                Some(leader) if Some(leader) != former => return leader,
                _ => {}
            }
        }
        panic!("no controller other than {former:?} leads within {within} microseconds");
    }

    /// Schedules an event at a time.
    fn schedule(&mut self, at: Micros, event: SimulatedEvent) {
        self.scheduled_events += 1;
        self.queue.insert((at, self.scheduled_events), event);
    }

    /// The clock reading of a controller, in seconds since its process started.
    fn local_time(&self, controller: usize) -> f64 {
        let Some(process) = &self.controllers[controller].process else {
            return 0.0;
        };
        (self.now - process.started) as f64 * self.controllers[controller].clock_rate
            / SECOND as f64
    }

    /// The time when the clock of a process shows at least `local`, with a margin of 2 microseconds for
    /// rounding.
    fn real_time(&self, controller: usize, local: f64) -> Micros {
        let started = self.controllers[controller]
            .process
            .as_ref()
            .map_or(0, |p| p.started);
        started + (local / self.controllers[controller].clock_rate * SECOND as f64) as Micros + 2
    }

    /// A process, if it is still running.
    fn process(&mut self, id: ProcessId) -> Option<&mut Process> {
        let process = self.controllers[id.controller].process.as_mut();
        process.filter(|process| process.id == id.process)
    }

    /// The running process of a controller.
    fn process_id(&self, controller: usize) -> Option<ProcessId> {
        let process = self.controllers[controller].process.as_ref()?.id;
        Some(ProcessId {
            controller,
            process,
        })
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
            SimulatedEvent::Start(controller) => self.start(controller),
            SimulatedEvent::OutageOver if self.now >= self.outage_until => self.end_outage(),
            SimulatedEvent::OutageOver => {}
        }
    }

    /// The time until which an event within a controller is postponed because the controller is paused.
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
        let paused = self.controllers[id.controller].faults.paused_until;
        (self.now < paused).then_some(paused)
    }

    /// Starts a process of a controller that has none.
    fn start(&mut self, controller: usize) {
        if self.controllers[controller].process.is_some() {
            return;
        }
        self.processes += 1;
        let lease = Duration::from_micros(self.lease);
        let mut election = Election::new(self.controllers[controller].name.clone(), lease);
        let first = election.start();
        self.controllers[controller].process = Some(Process {
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
            controller,
            process: self.processes,
        };
        self.apply_step(id, first);
        self.schedule(self.now + WRITE_INTERVAL, SimulatedEvent::WriteDue(id));
    }
}

//! Timed histories, which run in simulated time: workers send heartbeats periodically, tasks complete
//! after their run time, and messages may be delayed.

use super::job::{JobShape, RunTimes};
use super::leader::Leader;
use super::network::{Faults, Network};
use super::settings::machine_types;
use super::worker::{AwaitedResponse, Worker, RESPONSE_TIMEOUT_S, RETRY_S};
use super::world::World;
use stairstage::coordination::cluster::{Effect, HeartbeatOutcome};
use stairstage::protocol::cloud::{ListedMachine, MachineState};
use stairstage::protocol::job::JobKind;
use stairstage::protocol::worker::{Command, CommandBatch};

/// Length of a simulation tick in seconds.
const TICK_S: f64 = 0.25;
/// Heartbeat intervals vary by up to this fraction in both directions.
const HEARTBEAT_JITTER: f64 = 0.25;
/// Simulation ticks per call of the leader's `tick`.
const TICKS_PER_MANAGER_TICK: u64 = 4;
/// Simulation ticks per machine list that the leader receives.
const TICKS_PER_MACHINE_LIST: u64 = 16;
/// Queries of a leader to each peer per heartbeat interval.
const PEER_QUERIES_PER_HEARTBEAT: f64 = 4.0;
/// Number of open jobs that keeps the teams at their quotas.
const MIN_OPEN_JOBS: usize = 16;
/// Probability per tick that an open job is cancelled.
const CANCELLATION_PROBABILITY: f64 = 0.15;
/// Once all faults are over, every job finishes within this time.
const SETTLE_TIMEOUT_S: f64 = 150.0;

/// The machines of a timed history: four in the first zone and two in the second, one of them spot.
fn fleet() -> Vec<Worker> {
    let mut fleet: Vec<Worker> = (0..6).map(|i| Worker::new(i, 0.0)).collect();
    for w in &mut fleet[4..] {
        w.zone = "y";
    }
    fleet[3].kind = "g4";
    fleet[5].kind = "g4";
    fleet[5].spot = true;
    fleet
}

/// Plays a history once for each seed, and lets it settle after the last fault.
pub(crate) fn for_each_seed(seeds: u64, history: impl Fn(&mut World)) {
    for seed in 0..seeds {
        let _report = ReportSeedOnPanic(seed);
        let mut world = timed_world(seed);
        history(&mut world);
        world.settle();
    }
}

/// Prints the seed of a history that fails.
struct ReportSeedOnPanic(u64);

impl Drop for ReportSeedOnPanic {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("history failed with seed {}", self.0);
        }
    }
}

/// A cluster without jobs, whose leader has received a heartbeat from every machine.
fn timed_world(seed: u64) -> World {
    let mut world = World::new(machine_types(), fleet());
    world.network = Some(Network::new(seed));
    world.elect();
    world.run_for(3.0);
    world
}

impl World {
    /// Sets the message faults from now on.
    pub(crate) fn set_faults(&mut self, faults: Faults) {
        self.network_mut().faults = faults;
    }

    /// Returns `true` with this probability.
    pub(crate) fn chance(&mut self, probability: f64) -> bool {
        self.network_mut().random.chance(probability)
    }

    /// A random number in this range.
    pub(crate) fn between(&mut self, low: f64, high: f64) -> f64 {
        self.network_mut().random.between(low, high)
    }

    /// The index of a random machine that is not terminated, or 0 if there is none.
    pub(crate) fn random_worker(&mut self) -> usize {
        let present: Vec<usize> = (0..self.workers.len())
            .filter(|i| !self.workers[*i].terminated)
            .collect();
        if present.is_empty() {
            return 0;
        }
        present[self.network_mut().random.below(present.len())]
    }

    /// Submits a job, and returns its id.
    pub(crate) fn submit_shape(&mut self, shape: &JobShape) -> String {
        let id = format!("req-{}", self.jobs.len());
        let run_times = RunTimes {
            first_s: shape.run_s,
            stagger_s: shape.stagger_s,
        };
        self.submit(&id, &shape.submission(&id), run_times, false);
        id
    }

    /// Cancels each job with this probability.
    pub(crate) fn cancel_random_jobs(&mut self, probability: f64) {
        let not_cancelled = self.jobs.iter().filter(|(_, j)| j.cancelled_at.is_none());
        let ids: Vec<String> = not_cancelled.map(|(id, _)| id.clone()).collect();
        for id in ids {
            if self.chance(probability) {
                self.cancel(&id);
            }
        }
    }

    /// Runs the simulation for this time, tick by tick.
    pub(crate) fn run_for(&mut self, seconds: f64) {
        let ticks = (seconds / TICK_S).ceil() as u64;
        for _ in 0..ticks {
            self.advance_time(TICK_S);
            self.deliver_due();
            self.advance_tasks();
            for i in 0..self.workers.len() {
                self.send_heartbeat_if_due(i);
            }
            self.run_controllers();
        }
    }

    /// Like `run_for`, while small jobs keep the teams at their quotas and random jobs are cancelled.
    pub(crate) fn run_under_load(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            while self.open_jobs() < MIN_OPEN_JOBS {
                let shape = self.random_small_shape();
                self.submit_shape(&shape);
            }
            if self.chance(CANCELLATION_PROBABILITY) {
                self.cancel_random_open_job();
            }
            self.run_for(TICK_S);
        }
    }

    /// The number of open jobs.
    fn open_jobs(&self) -> usize {
        self.jobs.values().filter(|j| j.is_open()).count()
    }

    /// Cancels a random open job, often while its tasks are being launched.
    fn cancel_random_open_job(&mut self) {
        let open = self.jobs.iter().filter(|(_, j)| j.is_open());
        let ids: Vec<String> = open.map(|(id, _)| id.clone()).collect();
        if !ids.is_empty() {
            let i = self.network_mut().random.below(ids.len());
            self.cancel(&ids[i]);
        }
    }

    /// A random small job of either team.
    fn random_small_shape(&mut self) -> JobShape {
        let random = &mut self.network_mut().random;
        JobShape {
            tasks: 1 + random.below(2) as u32,
            run_s: random.between(0.5, 5.0),
            team: ["t", "u"][random.below(2)],
            one_zone: random.chance(0.2),
            ..JobShape::default()
        }
    }

    /// Updates the leader's and former leaders' view of the cluster, and applies their decisions.
    fn run_controllers(&mut self) {
        let now = self.now;
        let tick = (now / TICK_S).round() as u64;
        let list = (tick % TICKS_PER_MACHINE_LIST == 0).then(|| self.listed_machines());
        let announced_until = self.announced_until();
        let Some(leader) = &mut self.leader else {
            return;
        };
        if let Some(list) = list {
            leader.manager.machines_listed(&list, now);
        }
        if tick % TICKS_PER_MANAGER_TICK == 0 {
            leader.manager.tick(now);
        }
        let pause_s = self.settings.cluster.workers.report_s / PEER_QUERIES_PER_HEARTBEAT;
        leader.query_peers(&self.peers, now, pause_s);
        if leader.reaches_store {
            leader.records_read(announced_until);
        }
        leader.manager.step(now);
        let deposed = leader.manager.has_stepped_down();
        self.run_former_leaders();
        let workers = &self.settings.cluster.workers;
        self.former_leaders.retain(|l| l.may_renew(now, workers));
        self.apply_effects();
        if deposed {
            self.replace_leader();
        }
    }

    /// Lets former leaders decide. They must neither start tasks nor write records; they may only stop
    /// tasks of jobs that they know to be cancelled.
    fn run_former_leaders(&mut self) {
        let now = self.now;
        for id in self
            .former_leaders
            .iter()
            .map(Leader::id)
            .collect::<Vec<_>>()
        {
            let Some(former) = self.controller(id) else {
                continue;
            };
            former.manager.step(now);
            for effect in former.manager.take_effects() {
                match &effect {
                    Effect::Write { .. } => panic!("a former leader writes: {effect:?}"),
                    Effect::SendCommands {
                        commands: batch, ..
                    } => {
                        let stops = |c: &Command| matches!(c, Command::Stop { .. });
                        let only_stops = batch.commands.iter().all(stops);
                        assert!(
                            only_stops,
                            "a former leader sends a command other than Stop: {batch:?}"
                        );
                    }
                    _ => {}
                }
                self.apply_effect(id, effect);
            }
        }
    }

    /// The cloud's machine list, which lags by `list_lag_s`.
    fn listed_machines(&self) -> Vec<ListedMachine> {
        let lag_s = self.settings.cluster.cloud.list_lag_s;
        let listed = self.workers.iter().filter(|w| !w.terminated);
        let listed = listed.filter(|w| self.now - w.up_at > lag_s);
        let item = |w: &Worker| ListedMachine {
            name: w.name.clone(),
            endpoint: Some("127.0.0.1:9".into()),
            kind: w.kind.into(),
            zone: w.zone.into(),
            spot: w.spot,
            state: MachineState::Running,
            age_s: self.now - w.up_at,
        };
        listed.map(item).collect()
    }

    /// Sends a worker's heartbeat if it is due.
    fn send_heartbeat_if_due(&mut self, i: usize) {
        let now = self.now;
        let w = &mut self.workers[i];
        if !w.is_up(now) || w.hung {
            return;
        }
        if let Some(awaited) = w.awaited_response {
            if now - awaited.sent > RESPONSE_TIMEOUT_S {
                w.awaited_response = None;
                w.next_heartbeat_at = now + RETRY_S;
            }
        } else if now >= w.next_heartbeat_at {
            self.send_heartbeat(i);
        }
    }

    /// Sends a heartbeat to the leader that the worker reaches, if any, and accepts or awaits the
    /// response.
    fn send_heartbeat(&mut self, i: usize) {
        let now = self.now;
        let report_s = self.settings.cluster.workers.report_s;
        let jitter = self.between(1.0 - HEARTBEAT_JITTER, 1.0 + HEARTBEAT_JITTER);
        let w = &mut self.workers[i];
        let heartbeat = w.scheduled_heartbeat(now);
        w.next_heartbeat_at = now + report_s * jitter;
        let awaited = AwaitedResponse {
            sequence: heartbeat.sequence.0,
            sent: now,
        };
        let (inbound_lost, incarnation) = (w.inbound_lost, w.incarnation);
        let Some(receiver) = self.receiving_leader(i) else {
            self.workers[i].next_heartbeat_at = now + RETRY_S;
            return;
        };
        self.network_mut().duplicate(&heartbeat, now);
        if self.network_mut().delays_heartbeat(&heartbeat, now) {
            self.workers[i].awaited_response = Some(awaited);
            return;
        }
        let leader = self.controller(receiver).expect("the receiving leader");
        let lease_expired = now >= leader.manager.lease_valid_until();
        let HeartbeatOutcome::Response(response) = leader.manager.heartbeat(&heartbeat, now) else {
            self.workers[i].next_heartbeat_at = now + RETRY_S;
            return;
        };
        let starts = |c: &Command| matches!(c, Command::Start { .. });
        assert!(
            !lease_expired || !response.commands.iter().any(starts),
            "a leader with an expired lease starts tasks: {response:?}"
        );
        self.workers[i].awaited_response = Some(awaited);
        match self.network_mut().response_delay_s() {
            Some(0.0) if !inbound_lost => self.accept_response(i, &response, now),
            Some(delay_s) if !inbound_lost => {
                let message = super::network::Message::HeartbeatResponse {
                    machine: heartbeat.machine,
                    incarnation,
                    sequence: heartbeat.sequence.0,
                    sent: now,
                    response,
                };
                self.network_mut().send(now + delay_s, message);
            }
            _ => {}
        }
        self.apply_effects();
    }

    /// The leader or former leader that answers a worker's heartbeats, if any.
    fn receiving_leader(&self, i: usize) -> Option<u64> {
        let w = &self.workers[i];
        let leader = match (w.partitioned, w.with_former_leader) {
            _ if w.heartbeats_lost => None,
            (true, true) => self.former_leaders.last(),
            (true, false) => None,
            (false, _) => self.leader.as_ref(),
        };
        let workers = &self.settings.cluster.workers;
        leader
            .filter(|l| l.may_renew(self.now, workers))
            .map(|l| l.id())
    }

    /// Stops the leader; there is none until the next election.
    pub(crate) fn stop_leader(&mut self) {
        self.leader = None;
    }

    /// Elects another leader, and replays the heartbeats kept for an election. A previous leader that
    /// still runs is isolated.
    pub(crate) fn replace_leader(&mut self) {
        self.elect();
        let now = self.now;
        self.network_mut().replay_heartbeats(now);
    }

    /// Stops the leader, and elects another one after this time.
    pub(crate) fn change_leader(&mut self, after_s: f64) {
        self.stop_leader();
        self.run_under_load(after_s);
        self.replace_leader();
    }

    /// Partitions all machines of a zone.
    pub(crate) fn partition_zone(&mut self, zone: &str, with_former_leader: bool) {
        for w in self.workers.iter_mut().filter(|w| w.zone == zone) {
            w.partitioned = true;
            w.with_former_leader = with_former_leader;
        }
    }

    /// Restores all links of a machine; commands held back arrive, unless the machine hangs.
    pub(crate) fn reconnect(&mut self, i: usize) {
        let w = &mut self.workers[i];
        w.partitioned = false;
        w.with_former_leader = false;
        w.inbound_lost = false;
        w.heartbeats_lost = false;
        if !w.hung {
            let held = std::mem::take(&mut w.held_commands);
            self.deliver_held_commands(i, &held);
        }
    }

    /// Resumes a hung machine and delivers the commands held back.
    pub(crate) fn resume(&mut self, i: usize) {
        if self.workers[i].hung {
            let now = self.now;
            let held = self.workers[i].resume(now);
            self.deliver_held_commands(i, &held);
        }
    }

    /// Delivers commands that were held back, in order; their sender no longer waits for a response.
    fn deliver_held_commands(&mut self, i: usize, held: &[CommandBatch]) {
        for batch in held {
            self.deliver_commands(i, batch);
        }
    }

    /// Resumes and reconnects all machines.
    pub(crate) fn reconnect_all(&mut self) {
        for i in 0..self.workers.len() {
            self.resume(i);
            self.reconnect(i);
        }
    }

    /// Ends all faults, cancels all services, and checks that every job finishes in time.
    pub(crate) fn settle(&mut self) {
        self.set_faults(Faults::default());
        self.cloud_is_down = false;
        self.reconnect_all();
        self.rentable += self.workers.iter().filter(|w| w.terminated).count();
        if self.leader.as_ref().is_none_or(|l| !l.reaches_store) {
            self.replace_leader();
        }
        self.former_leaders.clear();
        let services = self.jobs.iter().filter(|(_, j)| j.is_service());
        for id in services.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.cancel(&id);
        }
        let until = self.now + SETTLE_TIMEOUT_S;
        while self.now < until
            && !self
                .store
                .with_prefix(stairstage::storage::records::OPEN_PREFIX)
                .is_empty()
        {
            self.run_for(1.0);
            self.check_no_starvation();
        }
        self.check_final_states();
    }

    /// Submits jobs of random shapes.
    pub(crate) fn submit_random_jobs(&mut self, count: usize) {
        for _ in 0..count {
            let shape = self.random_shape();
            self.submit_shape(&shape);
        }
    }

    /// A random job shape that the initial machines can run.
    pub(crate) fn random_shape(&mut self) -> JobShape {
        let random = &mut self.network_mut().random;
        let zones = [None, None, Some("z"), Some("y")];
        let kind = [
            JobKind::Array,
            JobKind::Array,
            JobKind::Gang,
            JobKind::Service,
        ][random.below(4)];
        JobShape {
            kind,
            tasks: 1 + random.below(4) as u32,
            run_s: random.between(2.0, 25.0),
            stagger_s: 0.0,
            team: ["t", "u"][random.below(2)],
            zone: zones[random.below(4)],
            machine_type: None,
            one_zone: random.chance(0.3),
            spread: false,
            spot: random.chance(0.7),
        }
    }
}

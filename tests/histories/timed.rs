//! Histories with a clock of their own: workers report by themselves, tasks end, messages take time.

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

/// Seconds between two moments at which anything happens.
const TICK_S: f64 = 0.25;
/// Heartbeat intervals differ by up to this share.
const HEARTBEAT_SPREAD: f64 = 0.25;
/// Ticks from one slower decision of the leader to the next.
const TICKS_A_DECISION: u64 = 4;
/// Ticks from one list of machines to the next.
const TICKS_A_LIST: u64 = 16;
/// Questions of a leader to each other controller in a heartbeat interval.
const PEER_QUERIES: f64 = 4.0;
/// Open jobs that keep the teams at their limits.
const SMALL_JOBS: usize = 16;
/// The share of ticks in which one of them is cancelled.
const CANCELLED_SHARE: f64 = 0.15;
/// Once all faults are over, every job has come to its end within this time.
const QUIET_S: f64 = 150.0;

/// Machines of a timed history: the second zone has fewer, and one of them is a spot machine.
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

/// Plays the same history with other random numbers, again and again, each to its end.
pub(crate) fn for_each_seed(seeds: u64, history: impl Fn(&mut World)) {
    for seed in 0..seeds {
        let _named = NamedSeed(seed);
        let mut world = timed_world(seed);
        history(&mut world);
        world.settle();
    }
}

/// Names the seed of a history that fails.
struct NamedSeed(u64);

impl Drop for NamedSeed {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("the history with seed {} fails", self.0);
        }
    }
}

/// A leader that has heard all machines, which are without work.
fn timed_world(seed: u64) -> World {
    let mut world = World::new(machine_types(), fleet());
    world.network = Some(Network::new(seed));
    world.elect();
    world.run_for(3.0);
    world
}

impl World {
    /// What goes wrong with messages from now on.
    pub(crate) fn set_faults(&mut self, faults: Faults) {
        self.net().faults = faults;
    }

    /// Whether something happens that does in this share of cases.
    pub(crate) fn chance(&mut self, share: f64) -> bool {
        self.net().random.chance(share)
    }

    /// A number in this range.
    pub(crate) fn between(&mut self, low: f64, high: f64) -> f64 {
        self.net().random.between(low, high)
    }

    /// One of the machines that are there.
    pub(crate) fn some_worker(&mut self) -> usize {
        let there: Vec<usize> = (0..self.workers.len())
            .filter(|i| !self.workers[*i].gone)
            .collect();
        if there.is_empty() {
            return 0;
        }
        there[self.net().random.below(there.len())]
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

    /// The users of this share of jobs cancel them.
    pub(crate) fn cancel_some(&mut self, share: f64) {
        let open = self.jobs.iter().filter(|(_, j)| j.cancelled_at.is_none());
        let ids: Vec<String> = open.map(|(id, _)| id.clone()).collect();
        for id in ids {
            if self.chance(share) {
                self.cancel(&id);
            }
        }
    }

    /// Lets time pass in ticks, with all that happens in each.
    pub(crate) fn run_for(&mut self, seconds: f64) {
        let ticks = (seconds / TICK_S).ceil() as u64;
        for _ in 0..ticks {
            self.pass(TICK_S);
            self.deliver_due();
            self.progress();
            for i in 0..self.workers.len() {
                self.send_heartbeat_if_due(i);
            }
            self.let_controllers_decide();
        }
    }

    /// The same, while small jobs keep the teams at their limits, and some are cancelled at once.
    pub(crate) fn run_busy(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            while self.open_jobs() < SMALL_JOBS {
                let shape = self.small_shape();
                self.submit_shape(&shape);
            }
            if self.chance(CANCELLED_SHARE) {
                self.cancel_one();
            }
            self.run_for(TICK_S);
        }
    }

    /// Jobs that have not come to their end.
    fn open_jobs(&self) -> usize {
        self.jobs.values().filter(|j| j.is_open()).count()
    }

    /// The user of some open job cancels it: as likely as not, its tasks are just being launched.
    fn cancel_one(&mut self) {
        let open = self.jobs.iter().filter(|(_, j)| j.is_open());
        let ids: Vec<String> = open.map(|(id, _)| id.clone()).collect();
        if !ids.is_empty() {
            let i = self.net().random.below(ids.len());
            self.cancel(&ids[i]);
        }
    }

    /// A small job of either team.
    fn small_shape(&mut self) -> JobShape {
        let random = &mut self.net().random;
        JobShape {
            tasks: 1 + random.below(2) as u32,
            run_s: random.between(0.5, 5.0),
            team: ["t", "u"][random.below(2)],
            one_zone: random.chance(0.2),
            ..JobShape::default()
        }
    }

    /// The leader and former leaders decide, with what they have learned until now.
    fn let_controllers_decide(&mut self) {
        let now = self.now;
        let tick = (now / TICK_S).round() as u64;
        let list = (tick % TICKS_A_LIST == 0).then(|| self.machine_list());
        let known_until = self.known_until();
        let Some(leader) = &mut self.leader else {
            return;
        };
        if let Some(list) = list {
            leader.manager.machines_listed(&list, now);
        }
        if tick % TICKS_A_DECISION == 0 {
            leader.manager.tick(now);
        }
        let pause_s = self.settings.cluster.workers.report_s / PEER_QUERIES;
        leader.ask_peers(&self.peers, now, pause_s);
        if leader.reaches_store {
            leader.records_read(known_until);
        }
        leader.manager.step(now);
        let deposed = leader.manager.is_deposed();
        self.let_formers_decide();
        let workers = &self.settings.cluster.workers;
        self.former_leaders.retain(|l| l.may_renew(now, workers));
        self.effects();
        if deposed {
            self.replace_leader();
        }
    }

    /// A former leader neither starts nor records anything; it stops what it knows to be cancelled.
    fn let_formers_decide(&mut self) {
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
                        assert!(only_stops, "a former leader acts: {batch:?}");
                    }
                    _ => {}
                }
                self.carry_out(id, effect);
            }
        }
    }

    /// The cloud's list, which lags.
    fn machine_list(&self) -> Vec<ListedMachine> {
        let lag_s = self.settings.cluster.cloud.list_lag_s;
        let listed = self.workers.iter().filter(|w| !w.gone);
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

    /// A worker reports if it is time to.
    fn send_heartbeat_if_due(&mut self, i: usize) {
        let now = self.now;
        let w = &mut self.workers[i];
        if !w.is_up(now) || w.hung {
            return;
        }
        if let Some(awaited) = w.awaited {
            if now - awaited.sent > RESPONSE_TIMEOUT_S {
                w.awaited = None;
                w.next_heartbeat_at = now + RETRY_S;
            }
        } else if now >= w.next_heartbeat_at {
            self.send_heartbeat(i);
        }
    }

    /// Sends a heartbeat to the leader that the worker reaches, if any, and takes or awaits the
    /// response.
    fn send_heartbeat(&mut self, i: usize) {
        let now = self.now;
        let report_s = self.settings.cluster.workers.report_s;
        let spread = self.between(1.0 - HEARTBEAT_SPREAD, 1.0 + HEARTBEAT_SPREAD);
        let w = &mut self.workers[i];
        let heartbeat = w.own_heartbeat(now);
        w.next_heartbeat_at = now + report_s * spread;
        let awaited = AwaitedResponse {
            sequence: heartbeat.sequence.0,
            sent: now,
        };
        let (inbound_lost, incarnation) = (w.inbound_lost, w.incarnation);
        let Some(receiver) = self.receiving_leader(i) else {
            self.workers[i].next_heartbeat_at = now + RETRY_S;
            return;
        };
        self.net().copy(&heartbeat, now);
        if self.net().holds(&heartbeat, now) {
            self.workers[i].awaited = Some(awaited);
            return;
        }
        let leader = self.controller(receiver).expect("it hears");
        let in_doubt = now >= leader.manager.lease_valid_until();
        let HeartbeatOutcome::Answer(answer) = leader.manager.heartbeat(&heartbeat, now) else {
            self.workers[i].next_heartbeat_at = now + RETRY_S;
            return;
        };
        let starts = |c: &Command| matches!(c, Command::Start { .. });
        assert!(
            !in_doubt || !answer.commands.iter().any(starts),
            "a leader in doubt starts tasks: {answer:?}"
        );
        self.workers[i].awaited = Some(awaited);
        match self.net().response_delay_s() {
            Some(0.0) if !inbound_lost => self.accept_response(i, &answer, now),
            Some(delay_s) if !inbound_lost => {
                let message = super::network::Message::HeartbeatResponse {
                    machine: heartbeat.machine,
                    incarnation,
                    sequence: heartbeat.sequence.0,
                    sent: now,
                    answer,
                };
                self.net().send(now + delay_s, message);
            }
            _ => {}
        }
        self.effects();
    }

    /// The controller that answers a worker's reports.
    fn receiving_leader(&self, i: usize) -> Option<u64> {
        let w = &self.workers[i];
        let heard = match (w.partitioned, w.with_former_leader) {
            _ if w.heartbeats_lost => None,
            (true, true) => self.former_leaders.last(),
            (true, false) => None,
            (false, _) => self.leader.as_ref(),
        };
        let workers = &self.settings.cluster.workers;
        heard
            .filter(|l| l.may_renew(self.now, workers))
            .map(|l| l.id())
    }

    /// The leader ends, and nobody leads until the next election.
    pub(crate) fn end_leader(&mut self) {
        self.leader = None;
    }

    /// Another controller leads; the former leader is out of reach, or in doubt.
    pub(crate) fn replace_leader(&mut self) {
        self.elect();
        let now = self.now;
        self.net().release_kept(now);
    }

    /// Ends the leader and has another elected some time later.
    pub(crate) fn change_leader(&mut self, after_s: f64) {
        self.end_leader();
        self.run_busy(after_s);
        self.replace_leader();
    }

    /// Machines of a zone, or all but those, are cut off.
    pub(crate) fn cut_zone(&mut self, zone: &str, with_former_leader: bool) {
        for w in self.workers.iter_mut().filter(|w| w.zone == zone) {
            w.partitioned = true;
            w.with_former_leader = with_former_leader;
        }
    }

    /// All links of a machine are whole again; what was held up arrives.
    pub(crate) fn reconnect(&mut self, i: usize) {
        let w = &mut self.workers[i];
        w.partitioned = false;
        w.with_former_leader = false;
        w.inbound_lost = false;
        w.heartbeats_lost = false;
        if !w.hung {
            let held = std::mem::take(&mut w.held);
            self.hand_out(i, &held);
        }
    }

    /// A machine that hangs runs again.
    pub(crate) fn resume(&mut self, i: usize) {
        if self.workers[i].hung {
            let now = self.now;
            let held = self.workers[i].resume(now);
            self.hand_out(i, &held);
        }
    }

    /// What was held up arrives in order; nobody waits for its answer any more.
    fn hand_out(&mut self, i: usize, held: &[CommandBatch]) {
        for batch in held {
            self.deliver(i, batch);
        }
    }

    /// No machine hangs or is out of reach any more.
    pub(crate) fn reconnect_all(&mut self) {
        for i in 0..self.workers.len() {
            self.resume(i);
            self.reconnect(i);
        }
    }

    /// All faults are over: every job that nobody has cancelled comes to its end.
    pub(crate) fn settle(&mut self) {
        self.set_faults(Faults::default());
        self.cloud_is_down = false;
        self.reconnect_all();
        self.rentable += self.workers.iter().filter(|w| w.gone).count();
        if self.leader.as_ref().is_none_or(|l| !l.reaches_store) {
            self.replace_leader();
        }
        self.former_leaders.clear();
        let services = self.jobs.iter().filter(|(_, j)| j.is_service());
        for id in services.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.cancel(&id);
        }
        let until = self.now + QUIET_S;
        while self.now < until
            && !self
                .store
                .with_prefix(stairstage::storage::records::OPEN_PREFIX)
                .is_empty()
        {
            self.run_for(1.0);
            self.check_nothing_left_waiting();
        }
        self.check_ends();
    }

    /// Submits jobs of any shape.
    pub(crate) fn submit_some(&mut self, count: usize) {
        for _ in 0..count {
            let shape = self.some_shape();
            self.submit_shape(&shape);
        }
    }

    /// A job of any shape that these machines can run.
    pub(crate) fn some_shape(&mut self) -> JobShape {
        let random = &mut self.net().random;
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

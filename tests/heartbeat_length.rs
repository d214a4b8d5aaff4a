//! Work of any size, number and run time beside a worker that cannot send a heartbeat of more than 64 KiB.

mod common;

use common::{
    for_each_effect, machine_type, manager_with_token, parse_submission, submission, AttemptId,
    Store,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;
use stairstage::coordination::cluster::{CommandOutcome, Effect, HeartbeatOutcome, WriteOutcome};
use stairstage::coordination::manager::ClusterManager;
use stairstage::protocol::cloud::MachineType;
use stairstage::protocol::ids::{FencingToken, HeartbeatSequence, Incarnation};
use stairstage::protocol::store::Transaction;
use stairstage::protocol::worker::{
    max_task_status_bytes, Cause, Command, CommandBatch, Heartbeat, TaskState, TaskStatus,
};
use stairstage::protocol::BODY_LIMIT;
use stairstage::storage::records::{open_key, OpenRecord, LEADER_KEY};
use std::collections::{BTreeMap, BTreeSet};

/// Seconds between two heartbeats while nothing changes, as in the settings.
const REPORT_S: f64 = 2.0;
/// The least seconds between two heartbeats.
const MIN_REPORT_S: f64 = 0.5;
/// Seconds between two steps of the simulation.
const STEP_S: f64 = 0.25;
/// Seconds within which some waiting task completes or starts while a machine has the resources.
const MAX_WAIT_S: f64 = 90.0;
/// Heartbeats at the least interval that a task takes of its machine besides its run time: the ones that report
/// its exit, carry the command to forget it, lack it, carry the next launch and show the next task.
const MAX_FORGET_REPORTS: f64 = 5.0;
/// Seconds within which the largest jobs start.
const MAX_START_S: f64 = 240.0;
/// CPUs of a machine.
const CPUS: f64 = 64.0;

/// A task on a machine, which exits as done at this time unless it is a replica.
struct WorkerTask {
    ends_at: f64,
    is_done: bool,
}

/// A worker that follows the protocol, and has no heartbeat to send if it would be too long.
struct Worker {
    name: String,
    sequence: u64,
    token: u64,
    tasks: BTreeMap<AttemptId, WorkerTask>,
    has_changed: bool,
    next_report_at: f64,
    last_report_at: f64,
    run_s: BTreeMap<String, f64>,
    gangs: BTreeSet<String>,
    done: BTreeSet<String>,
}

/// The job of a task.
fn job_of(task: &str) -> &str {
    task.rsplit_once('/').unwrap().0
}

impl Worker {
    fn new(number: usize, jobs: &[JobPlan]) -> Worker {
        let run_s = |job: &JobPlan| {
            if job.kind == Kind::Service {
                f64::INFINITY
            } else {
                job.run_s
            }
        };
        Worker {
            name: format!("m-{number:06}"),
            sequence: 0,
            token: 0,
            tasks: BTreeMap::new(),
            has_changed: false,
            next_report_at: 0.0,
            last_report_at: f64::NEG_INFINITY,
            run_s: jobs
                .iter()
                .map(|job| (job.id.clone(), run_s(job)))
                .collect(),
            gangs: (jobs.iter())
                .filter(|job| job.kind == Kind::Gang)
                .map(|job| job.id.clone())
                .collect(),
            done: BTreeSet::new(),
        }
    }

    fn advance(&mut self, now: f64) {
        for (id, task) in &mut self.tasks {
            if !task.is_done && task.ends_at <= now {
                task.is_done = true;
                self.has_changed = true;
                self.done.insert(id.task.clone());
            }
        }
    }

    fn runs(&self, id: &AttemptId) -> bool {
        self.tasks.get(id).is_some_and(|task| !task.is_done)
    }

    fn execute(&mut self, commands: &[Command], now: f64) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    let id = AttemptId::new(task, *attempt);
                    let run_s = self.run_s[job_of(task)];
                    let started = WorkerTask {
                        ends_at: now + run_s,
                        is_done: false,
                    };
                    self.tasks.entry(id).or_insert(started);
                }
                Command::Stop { task, attempt, .. } => {
                    let id = AttemptId::new(task, *attempt);
                    // Tasks of a gang that are behind the others are stopped when it completes.
                    let is_of_gang = self.gangs.contains(job_of(task));
                    assert!(
                        is_of_gang || !self.runs(&id),
                        "nothing has to be stopped: {task}"
                    );
                    if let Some(task) = self.tasks.get_mut(&id) {
                        task.is_done = true;
                    }
                }
                Command::Forget { task, attempt } => {
                    let id = AttemptId::new(task, *attempt);
                    assert!(!self.runs(&id), "{task} is forgotten while it runs");
                    self.tasks.remove(&id);
                }
            }
            self.has_changed = true;
        }
    }

    fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        let status = |(id, task): (&AttemptId, &WorkerTask)| TaskStatus {
            task: id.task.clone(),
            attempt: id.attempt,
            state: if task.is_done {
                TaskState::Exited
            } else {
                TaskState::Running
            },
            cause: task.is_done.then_some(Cause::Done),
            saved: None,
        };
        let heartbeat = Heartbeat {
            machine: self.name.clone(),
            endpoint: "127.0.0.1:9".into(),
            kind: "m64".into(),
            zone: "z".into(),
            spot: false,
            incarnation: Incarnation(1),
            sequence: HeartbeatSequence(self.sequence),
            token: FencingToken(self.token),
            notice_s: None,
            tasks: self.tasks.iter().map(status).collect(),
        };
        let bytes = serde_json::to_string(&heartbeat).unwrap().len();
        assert!(
            bytes <= BODY_LIMIT,
            "{} has a heartbeat of {bytes} bytes",
            self.name
        );
        heartbeat
    }

    /// Executes commands that were sent directly.
    fn execute_batch(&mut self, batch: &CommandBatch, now: f64) -> CommandOutcome {
        if batch.token.0 < self.token {
            return CommandOutcome::Rejected(Some(self.heartbeat()));
        }
        self.has_changed |= batch.token.0 > self.token;
        self.token = batch.token.0;
        self.execute(&batch.commands, now);
        CommandOutcome::Executed(self.heartbeat())
    }

    fn is_report_due(&self, now: f64) -> bool {
        let is_changed = self.has_changed && now >= self.last_report_at + MIN_REPORT_S;
        is_changed || now >= self.next_report_at
    }

    fn report(&mut self, leader: &mut ClusterManager, now: f64) {
        self.has_changed = false;
        self.last_report_at = now;
        self.next_report_at = now + REPORT_S;
        match leader.heartbeat(&self.heartbeat(), now) {
            HeartbeatOutcome::Response(response) => {
                self.has_changed |= response.token.0 > self.token;
                self.token = response.token.0;
                self.execute(&response.commands, now);
            }
            other => panic!("{other:?}"),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Array,
    Gang,
    Service,
}

impl Kind {
    /// The name in a submission.
    fn name(self) -> &'static str {
        match self {
            Kind::Array => "sweep",
            Kind::Gang => "group",
            Kind::Service => "standing",
        }
    }
}

#[derive(Clone, Debug)]
struct JobPlan {
    id: String,
    kind: Kind,
    tasks: u32,
    cpus: f64,
    run_s: f64,
}

/// A deployment with one leader at a time.
struct World {
    leader: ClusterManager,
    store: Store,
    workers: Vec<Worker>,
    jobs: Vec<JobPlan>,
    finished: BTreeSet<String>,
}

impl World {
    fn new(machines: usize, jobs: &[JobPlan]) -> World {
        let mut world = World {
            leader: manager_with_token(1),
            store: Store::default(),
            workers: (1..=machines)
                .map(|number| Worker::new(number, jobs))
                .collect(),
            jobs: jobs.to_vec(),
            finished: BTreeSet::new(),
        };
        for job in jobs {
            let mut body = submission(&job.id, job.kind.name(), "normal", job.tasks);
            body["cpus"] = json!(job.cpus);
            body["mem_gb"] = json!(0.0);
            body["size_gb"] = json!(0.0);
            body["passage_s"] = json!(if job.kind == Kind::Service {
                0.0
            } else {
                job.run_s.max(1.0)
            });
            let record = OpenRecord::accepted(parse_submission(&body), 0);
            let value = serde_json::to_value(&record).unwrap();
            let key = open_key(&job.id);
            world
                .store
                .commit(&Transaction::default().put(key, value))
                .unwrap();
        }
        world.elect(0.0);
        world
    }

    /// Replaces the leader by one that reads the records.
    fn elect(&mut self, now: f64) {
        let token = draw_token(&mut self.store);
        self.leader = manager_with_token(token.0);
        self.leader.set_machine_types(vec![large_machine_type()]);
        self.leader
            .recover(self.store.records(), (1000.0 * now) as u64, now);
    }

    fn step(&mut self, now: f64) {
        for worker in &mut self.workers {
            worker.advance(now);
            if worker.is_report_due(now) {
                worker.report(&mut self.leader, now);
            }
        }
        let (store, workers, finished) = (&mut self.store, &mut self.workers, &mut self.finished);
        for_each_effect(&mut self.leader, now, |leader, effect| match effect {
            Effect::Write { id, transaction } => {
                let outcome = match store.commit(&transaction) {
                    Ok(revision) => WriteOutcome::Applied(revision),
                    // The token was raised after the write was sent.
                    Err(_) => store.indeterminate_outcome(&transaction),
                };
                leader.write_finished(id, outcome, now);
            }
            Effect::SendCommands {
                machine, commands, ..
            } => {
                let worker = workers
                    .iter_mut()
                    .find(|worker| worker.name == *machine)
                    .unwrap();
                let outcome = worker.execute_batch(&commands, now);
                leader.commands_finished(&machine, outcome, now);
            }
            Effect::RaiseToken => leader.token_raised(Some(draw_token(store)), now),
            Effect::JobFinished { id, .. } => {
                finished.insert(id.to_string());
            }
            _ => {}
        });
    }

    /// Tasks that have completed, and replicas that run.
    fn progress(&self) -> usize {
        let of_worker = |worker: &Worker| {
            let replicas = worker
                .tasks
                .values()
                .filter(|task| task.ends_at.is_infinite());
            worker.done.len() + replicas.count()
        };
        self.workers.iter().map(of_worker).sum()
    }

    fn is_settled(&self) -> bool {
        let replicas = self
            .jobs
            .iter()
            .filter(|job| job.kind == Kind::Service)
            .map(|job| job.tasks as usize);
        let wanted: usize = replicas.sum();
        let running = |worker: &Worker| {
            worker
                .tasks
                .values()
                .filter(|task| task.ends_at.is_infinite())
                .count()
        };
        let running: usize = self.workers.iter().map(running).sum();
        let arrays = self.jobs.iter().filter(|job| job.kind == Kind::Array);
        running == wanted
            && arrays
                .map(|job| &job.id)
                .all(|id| self.finished.contains(id))
    }
}

fn draw_token(store: &mut Store) -> FencingToken {
    let transaction = Transaction::default().put(LEADER_KEY, json!({"node": "a"}));
    FencingToken(store.commit(&transaction).unwrap())
}

fn large_machine_type() -> MachineType {
    MachineType {
        name: "m64".into(),
        cpus: CPUS,
        memory_gb: 256.0,
        ..machine_type()
    }
}

/// Runs jobs until all arrays are done and all replicas run; returns the seconds that this takes. A new leader is
/// elected at `failover_at`.
fn run(machines: usize, jobs: &[JobPlan], failover_at: f64) -> f64 {
    let mut world = World::new(machines, jobs);
    let (mut now, mut has_failed_over) = (0.0, false);
    let (mut progress, mut progress_at) = (0, 0.0);
    while !world.is_settled() {
        now += STEP_S;
        if now >= failover_at && !has_failed_over {
            has_failed_over = true;
            world.elect(now);
        }
        world.step(now);
        if world.progress() > progress {
            (progress, progress_at) = (world.progress(), now);
        }
        let longest_run_s = jobs.iter().map(|job| job.run_s).fold(0.0, f64::max);
        assert!(
            now - progress_at < MAX_WAIT_S + longest_run_s,
            "nothing more is done after {progress}"
        );
    }
    now
}

fn job_plans() -> impl Strategy<Value = Vec<JobPlan>> {
    let cpus = prop_oneof![Just(0.0), Just(0.001), Just(0.05), Just(0.25), Just(1.0)];
    let run_s = prop_oneof![Just(0.0), 0.05..2.0, 2.0..30.0];
    let job = ("[0-9a-z]{1,39}", 0..5u32, 1..1_500u32, cpus, run_s);
    prop::collection::vec(job, 1..5).prop_map(|jobs| {
        let plan = |(number, job): (usize, (String, u32, u32, f64, f64))| {
            let (id, kind, tasks, cpus, run_s) = job;
            // The number makes ids distinct. The replicas of all services fit on one machine.
            let is_service = kind == 0;
            let kind = if is_service {
                Kind::Service
            } else {
                Kind::Array
            };
            JobPlan {
                id: format!("req-{number}{id}"),
                kind,
                tasks: if is_service { 1 + tasks % 50 } else { tasks },
                cpus: if is_service { cpus.min(0.25) } else { cpus },
                run_s,
            }
        };
        jobs.into_iter().enumerate().map(plan).collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 50,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    /// Guards against workers that lose their leases with all work on the machine, as they have no heartbeat that
    /// they may send: too many small tasks run there, or too many short ones have exited there.
    #[test]
    fn heartbeat_of_every_machine_stays_within_the_limit(
        machines in 1..3usize,
        jobs in job_plans(),
        failover_at in 0.0..40.0,
    ) {
        run(machines, &jobs, failover_at);
    }

    #[test]
    fn status_of_a_task_is_no_longer_than_its_bound(
        id in "req-[0-9a-zA-Z]{1,40}",
        task in 0..100_000u32,
        attempt in any::<u64>(),
        saved in any::<bool>(),
    ) {
        let status = TaskStatus {
            task: format!("{id}/{task}"),
            attempt,
            state: TaskState::Exited,
            cause: Some(Cause::GangIncomplete),
            saved: Some(saved),
        };
        let text = serde_json::to_string(&status).unwrap();
        let spaces = text.matches([':', ',']).count() + 1;
        prop_assert!(text.len() + 1 + spaces <= max_task_status_bytes(&id), "{text}");
    }
}

/// Guards against short tasks that wait for half a lease once the heartbeat of their machine is full: exited tasks
/// were kept there until the next token and the next write of their job's completed tasks.
#[test]
fn short_tasks_are_not_held_back_for_half_a_lease() {
    for (run_s, cpus) in [(0.2, 0.25), (0.5, 1.0), (1.0, 0.25), (2.0, 0.5)] {
        let job = JobPlan {
            id: "req-000001".into(),
            kind: Kind::Array,
            tasks: 5_000,
            cpus,
            run_s,
        };
        let rounds = f64::from(job.tasks) * cpus / CPUS;
        let took_s = run(1, &[job], f64::INFINITY);
        let limit_s = rounds * (run_s + MAX_FORGET_REPORTS * MIN_REPORT_S);
        assert!(took_s < limit_s, "{took_s} s for tasks of {run_s} s");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 20,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    /// Guards against a gang that waits for ever beside an array whose short tasks take the heartbeat of its machine
    /// again and again, and against a small job that does.
    #[test]
    fn gang_and_small_job_start_beside_an_array_of_tiny_tasks(
        gang_tasks in 1..480u32,
        array_run_s in prop_oneof![0.1..2.0, 2.0..10.0, 10.0..60.0],
        cpus in 0.001..0.1,
    ) {
        let job = |id: &str, kind, tasks, run_s| JobPlan { id: id.into(), kind, tasks, cpus, run_s };
        let jobs = [
            job("req-000001", Kind::Array, 50_000, array_run_s),
            job("req-000002", Kind::Gang, gang_tasks, 5.0),
            job("req-000003", Kind::Array, 1, 5.0),
        ];
        let mut world = World::new(1, &jobs);
        let mut now = 0.0;
        let mut waiting: BTreeMap<&str, f64> =
            [("req-000002", MAX_START_S), ("req-000003", MAX_WAIT_S)].into();
        while !waiting.is_empty() {
            now += STEP_S;
            world.step(now);
            let leader = &world.leader;
            waiting.retain(|id, _| {
                let job = leader.job(id);
                job.is_some_and(|job| job.allocated() + job.completed() == 0)
            });
            for (id, limit_s) in &waiting {
                prop_assert!(now < *limit_s, "{id} waits for {now} s");
            }
        }
    }
}

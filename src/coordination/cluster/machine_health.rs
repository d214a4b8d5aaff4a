//! Machines that are silent, faulty or about to be taken; jobs that fail wherever they run.

use crate::coordination::cluster::{ClusterState, Effect, DRIFT};
use crate::coordination::state::{AllocationId, Machine, MachinePhase, Name, WAITS_WITH_ROOM_S};
use crate::coordination::Time;
use crate::protocol::cloud::MAX_RETURNED;
use crate::protocol::job::JobKind;
use tracing::{info, warn};

/// Distinct jobs that must fail on a machine, and then complete a task elsewhere, before it is held to
/// be faulty.
const FAULTY_MACHINE_JOBS: usize = 2;
/// Distinct machines that a job must fail on before it is held to be faulty.
const FAULTY_JOB_MACHINES: usize = 3;
/// Each further failure of a job doubles its pause, up to this share of the time for which no job
/// waits while there is room.
const MAX_DOUBLINGS: u32 = 6;
const LONGEST_PAUSE_SHARE: f64 = 0.5;

/// Heartbeat intervals without a report after which a machine is asked, and after which it is held to
/// hang if it did not answer. An interval may be a quarter longer by itself: few are, and asking
/// those costs less than hearing of the others later.
const LATE_REPORTS: f64 = 1.15;
const SUSPECT_REPORTS: f64 = 1.3;
/// Heartbeat intervals without a report of any worker to this node itself after which its own network may
/// be at fault; for a leader that most machines know, at the latest after so many times as long as chance
/// explains. Before, workers may still wait for an answer of the former leader.
const UNHEARD_REPORTS: f64 = 1.3;
const UNHEARD_GAPS: f64 = 2.0;
const KNOWN_SHARE: f64 = 0.9;
/// Machines that leave commands unanswered when many fail together: more than this share of the fleet,
/// and than so many.
const MASS_FAILURE_SHARE: f64 = 0.02;
const MASS_FAILURE_LEAST: usize = 2;

impl ClusterState {
    pub(crate) fn succeeded_on(&mut self, name: &Name, image: &str) {
        if let Some(m) = self.machines.get_mut(name) {
            m.failures.clear();
            m.faults.clear();
            m.images.insert(image.to_string());
        }
    }

    /// A task failed that had been placed at `since`. The job pauses when it fails on several
    /// machines, or again where it failed before. Tasks that fail together count once. The machine
    /// comes last from now on; whether it is at fault shows once the job runs elsewhere.
    pub(crate) fn failed_on(&mut self, id: &Name, name: &Name, since: Time, now: Time) {
        let report_s = self.settings.cluster.workers.report_s;
        if let Some(m) = self.machines.get_mut(name) {
            m.failures.insert(id.clone());
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let again = job.failed_on.get(name).is_some_and(|t| since > *t);
        job.failed_on.insert(name.clone(), now);
        let count = job.failed_on.len();
        if (count >= FAULTY_JOB_MACHINES || again) && now >= job.retry_at {
            job.setbacks += 1;
            let pause_s = report_s * f64::from(1 << job.setbacks.min(MAX_DOUBLINGS));
            let pause_s = pause_s.min(LONGEST_PAUSE_SHARE * WAITS_WITH_ROOM_S);
            job.retry_at = now + pause_s;
            // A pause and a reservation behind it must not add up: it counts as waiting with room.
            self.withheld.entry(id.clone()).or_insert(now);
            warn!("{id}: failed on {count} machines, waits {pause_s:.0} s");
        }
    }

    /// A task of the job has completed, so the job is sound: machines on which it failed before are
    /// faulty, if others prove the same. A job that never completes anything proves nothing.
    pub(crate) fn proves_faults(&mut self, id: &Name) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let failed_on = std::mem::take(&mut job.failed_on);
        if failed_on.len() >= FAULTY_JOB_MACHINES {
            return;
        }
        for name in failed_on.keys() {
            let Some(m) = self.machines.get_mut(name) else {
                continue;
            };
            m.faults.insert(id.clone());
            if m.faults.len() >= FAULTY_MACHINE_JOBS && !m.quarantined {
                let jobs = m.faults.len();
                warn!("{name}: quarantined, tasks of {jobs} jobs failed there");
                m.quarantined = true;
            }
        }
    }

    /// A start was refused: the next try waits for a newer picture of the machine.
    pub(crate) fn refused_on(&mut self, id: &Name, now: Time) {
        let pause_s = self.settings.cluster.workers.report_s / 2.0;
        if let Some(job) = self.jobs.get_mut(id) {
            job.retry_at = job.retry_at.max(now + pause_s);
        }
    }

    /// The cloud takes the machine soon: what can save does, the rest moves.
    pub(crate) fn drain(&mut self, name: &Name, now: Time) {
        let Some(m) = self.machines.get(name) else {
            return;
        };
        let left_s = m.taken_at.map_or(0.0, |t| t - now);
        let mut stops = Vec::new();
        for (key, place) in m.live() {
            let Some(job) = self.jobs.get(&key.0) else {
                continue;
            };
            // Work that ends in time, by its prediction, is left to end.
            if place.predicted_end(now) < now + left_s {
                continue;
            }
            let saves = job.spec.checkpoint_s > 0.0 && job.spec.save_s < left_s;
            stops.push((key.clone(), if saves { job.spec.save_s } else { 0.0 }));
        }
        for (key, grace_s) in stops {
            self.stop_orderly(name, &key, grace_s, now);
        }
    }

    /// Stops a task so that it can save. The tasks of a gang save together or not at all: those
    /// that are not told within `gang_peer_s` of the first fail, and the save with them.
    fn stop_orderly(&mut self, name: &Name, key: &AllocationId, grace_s: f64, now: Time) {
        let job = self.jobs.get(&key.0);
        if job.is_some_and(|j| j.spec.kind == JobKind::Gang) {
            self.stop_all(&key.0, grace_s, now)
        } else {
            self.stop(name, key, grace_s, now)
        }
    }

    /// Looks after machines that are silent, failed or never came up.
    pub(crate) fn check_machines(&mut self, now: Time) {
        let cut_off = now - self.last_heard > self.silence_of_all_s();
        self.survey_machines(now);
        self.return_silent(cut_off, now);
        self.return_unusable(now);
        self.send_returns();
        self.probe_machines(now);
    }

    /// For how long a machine has been silent. While nobody is heard, the silence of one says nothing
    /// about it.
    fn silent_s(&self, m: &Machine, now: Time) -> f64 {
        let lease_s = self.settings.cluster.workers.lease_s * DRIFT;
        let since = self.elected_at.max(self.hears_since);
        let last = m.heard.unwrap_or(m.rented);
        // One that answers commands but sends no reports is as good as silent, once that has cost it its
        // lease. So is one on which answers have no effect, though it is heard.
        let sends_no_reports = now - m.answered > lease_s;
        let last = if sends_no_reports {
            last.min(m.answered)
        } else {
            last
        };
        let last = m.unresponsive_since.map_or(last, |t| t.min(last));
        now - last.max(since)
    }

    /// Whether no worker reports to this node itself, though there are machines: its own network may be
    /// at fault. Many workers leave short gaps only, once they have found this leader.
    pub fn receives_no_heartbeats(&self, now: Time) -> bool {
        let interval_s = UNHEARD_REPORTS * self.settings.cluster.workers.report_s;
        let patience_s = if self.known_to_most {
            interval_s.min(UNHEARD_GAPS * self.silence_of_all_s())
        } else {
            interval_s
        };
        let last = self.reported_here.unwrap_or(self.elected_at);
        now - last > patience_s && !self.machines.is_empty()
    }

    /// Since when a machine has left a command unanswered, if not for a fault of our own network.
    fn unanswered_since(&self, m: &Machine) -> Option<Time> {
        m.unanswered.filter(|t| *t > self.gap_ended)
    }

    /// Notes how many machines are up, whether most know this leader's token, and since when many have
    /// left commands unanswered.
    fn survey_machines(&mut self, now: Time) {
        let (mut up, mut known, mut unanswered, mut first) = (0, 0, 0, now);
        for m in self
            .machines
            .values()
            .filter(|m| m.phase == MachinePhase::Up)
        {
            up += 1;
            known += usize::from(m.token >= self.first_token);
            if let Some(since) = self.unanswered_since(m) {
                unanswered += 1;
                first = first.min(since);
            }
        }
        self.up = up;
        self.known_to_most |= up > 0 && known as f64 >= KNOWN_SHARE * up as f64;
        let many = MASS_FAILURE_LEAST.max((MASS_FAILURE_SHARE * up as f64) as usize);
        let since = self.mass_failure_since.unwrap_or(first);
        self.mass_failure_since = (unanswered > many).then_some(since);
    }

    /// Machines that count as silent, and for how long they have been.
    fn silent_machines(&self, now: Time) -> Vec<(Name, f64)> {
        let silence_s = self.silence_s();
        let suspect_s = self.settings.cluster.workers.report_s * SUSPECT_REPORTS;
        let up = self
            .machines
            .values()
            .filter(|m| m.phase == MachinePhase::Up);
        let silent = up.filter_map(|m| {
            let silent_s = self.silent_s(m, now);
            // A report is missing, and a command got no answer: it hangs, or is cut off.
            let suspect = self.unanswered_since(m).is_some() && silent_s > suspect_s;
            (silent_s > silence_s || suspect).then(|| (m.name.clone(), silent_s))
        });
        silent.collect()
    }

    /// Gives back machines that are silent. Many at once: it is rather our own network that is cut. But
    /// not for ever: what has not been answered for a lease has lost its tasks anyway, and a picture
    /// that holds nothing but machines that are gone must come to an end.
    fn return_silent(&mut self, cut_off: bool, now: Time) {
        let silent = self.silent_machines(now);
        let many = cut_off || silent.len() * 2 > self.up.max(2);
        let lost_s = self.settings.cluster.workers.lease_s * DRIFT + self.silence_s();
        if many && !silent.is_empty() {
            warn!("{} of {} machines are silent", silent.len(), self.up);
        }
        for (name, silent_s) in silent {
            if !many || silent_s > lost_s {
                warn!("{name}: silent for {silent_s:.0} s, is returned");
                self.give_back(&name);
            }
        }
    }

    /// Gives back machines that failed, never came up, are faulty or were to be emptied.
    fn return_unusable(&mut self, now: Time) {
        let patience = self.settings.policy.boot_patience;
        let kept = self.machines.values();
        let kept = kept.filter(|m| m.phase != MachinePhase::Returning);
        let unusable = kept.filter_map(|m| {
            let boot_s = self.type_of(&m.kind)?.boot_s;
            let why = if m.listed_failed {
                "has failed"
            } else if m.phase == MachinePhase::Booting && now - m.rented > patience * boot_s {
                "has not come up"
            } else if m.quarantined && m.is_empty() {
                "is faulty"
            } else if m.draining && m.is_empty() {
                "is emptied"
            } else {
                return None;
            };
            Some((m.name.clone(), why))
        });
        for (name, why) in unusable.collect::<Vec<_>>() {
            info!("{name}: {why}, is returned");
            self.give_back(&name);
        }
    }

    /// Speaks to machines that have not been heard, whose report is missing, or that acknowledge
    /// no answer: a reply shows that the way there is open, and that no older command reaches them
    /// any more.
    fn probe_machines(&mut self, now: Time) {
        let late_s = self.settings.cluster.workers.report_s * LATE_REPORTS;
        let unheard = |m: &&Machine| {
            let late = m.heard.is_none_or(|t| now - t > late_s);
            m.phase == MachinePhase::Up && (late || m.unresponsive_since.is_some())
        };
        let machines = || self.machines.values();
        // As many at a time as there are connections for: more would only wait for those.
        let in_flight = machines().filter(|m| m.order_in_flight).count();
        let most = self
            .settings
            .command_connections()
            .saturating_sub(in_flight);
        let ready = machines()
            .filter(unheard)
            .filter(|m| !m.order_in_flight && now >= m.no_orders_until && m.endpoint.is_some());
        let names: Vec<Name> = ready.map(|m| m.name.clone()).take(most).collect();
        for name in names {
            self.order(&name, Vec::new());
        }
    }

    /// Decides that a machine is to be returned; it counts until the cloud has confirmed it.
    pub(crate) fn give_back(&mut self, name: &Name) {
        if let Some(m) = self.machines.get_mut(name) {
            m.phase = MachinePhase::Returning;
        }
    }

    fn send_returns(&mut self) {
        let mut names = Vec::new();
        for m in self.machines.values_mut() {
            if m.phase == MachinePhase::Returning
                && !m.return_in_flight
                && names.len() < MAX_RETURNED
            {
                m.return_in_flight = true;
                names.push(m.name.to_string());
            }
        }
        if !names.is_empty() {
            self.effects.push(Effect::ReturnMachines(names));
        }
    }

    /// What the cloud answered to a return: a 200 proves that the machines are gone.
    pub fn machines_returned(&mut self, names: &[String], confirmed: bool, now: Time) {
        for name in names {
            let name: Name = name.as_str().into();
            if confirmed {
                info!("{name}: returned");
                self.machine_gone(&name, now);
            } else if let Some(m) = self.machines.get_mut(&name) {
                m.return_in_flight = false;
            }
        }
    }
}

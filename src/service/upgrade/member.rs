//! Keeps this controller's record alive, follows the active version, and finalizes by the policy.

use super::records;
use super::SharedWriteFence;
use crate::protocol::store::{LeaseId, Transaction};
use crate::service::clock::wall_ms;
use crate::service::messages::Message;
use crate::service::spawn;
use crate::settings::Settings;
use crate::storage::key_value_store::{CommitOutcome, KeyValueStore, Renewal, Unavailable};
use crossbeam::channel::Sender;
use stairstage_upgrade::operation::{Outcome as Finalized, Request};
use stairstage_upgrade::plan::{Asked, Plan};
use stairstage_upgrade::policy::Finalize;
use stairstage_upgrade::records::{member_key, seen_key, VERSION};
use stairstage_upgrade::{MemberRecord, SeenRecord, Snapshot, UpgradePolicy, VersionRange};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// A lease is renewed so many times in its life.
const RENEWALS: u32 = 3;
/// The state service's bounds on leases.
const SHORTEST_LEASE: Duration = Duration::from_millis(200);
const LONGEST_LEASE: Duration = Duration::from_secs(600);
/// Watches that end at once, without news, must not be repeated at once.
const MIN_PAUSE: Duration = Duration::from_millis(100);

struct Member {
    settings: Arc<Settings>,
    policy: UpgradePolicy,
    store: KeyValueStore,
    clearance: SharedWriteFence,
    controller: Sender<Message>,
    lease: Option<LeaseId>,
    lease_life: Duration,
    since_ms: u64,
    told: Option<Plan>,
}

/// Starts it on a thread of its own, if the operators have named a file.
pub fn start(
    settings: &Arc<Settings>,
    store: &KeyValueStore,
    clearance: &SharedWriteFence,
    controller: &Sender<Message>,
) -> anyhow::Result<()> {
    let Some(policy) = settings.upgrade.clone() else {
        return Ok(());
    };
    let life = policy.member_lease * settings.cluster.workers.report_s;
    let member = Member {
        settings: settings.clone(),
        store: store.clone(),
        clearance: clearance.clone(),
        controller: controller.clone(),
        lease: None,
        lease_life: Duration::from_secs_f64(life).clamp(SHORTEST_LEASE, LONGEST_LEASE),
        since_ms: wall_ms(),
        told: None,
        policy,
    };
    spawn("upgrade", move || member.run())
}

impl Member {
    fn run(mut self) {
        loop {
            let begun = Instant::now();
            if self.round().is_err() {
                std::thread::sleep(self.lease_life / (2 * RENEWALS));
            }
            std::thread::sleep(MIN_PAUSE.saturating_sub(begun.elapsed()));
        }
    }

    /// Renews the record, reads what others have, and waits for a change of the version until it is
    /// time to renew again.
    fn round(&mut self) -> Result<(), Unavailable> {
        let registered = self.keep_registered();
        let controllers = records::configured(&self.settings);
        let (snapshot, revision) = records::read(&self.store, &controllers)?;
        self.version_read(&snapshot);
        registered?;
        self.finalize_if_due(&snapshot);
        let hold = self.lease_life / RENEWALS;
        self.store.watch(VERSION, revision, hold).map(|_| ())
    }

    fn keep_registered(&mut self) -> Result<(), Unavailable> {
        let patience = self.lease_life / RENEWALS;
        if let Some(lease) = self.lease {
            match self.store.renew(lease, patience) {
                Renewal::Renewed => return self.note_seen(),
                Renewal::Unavailable => return Err(Unavailable),
                Renewal::Expired => self.lease = None,
            }
        }
        self.register()
    }

    fn register(&mut self) -> Result<(), Unavailable> {
        let lease = self.store.grant(self.lease_life)?;
        let record = MemberRecord {
            release: release(),
            versions: VersionRange::OF_THIS_RELEASE,
            since_ms: self.since_ms,
        };
        let value = serde_json::to_value(record).expect("plain data");
        let key = member_key(&self.settings.name);
        let transaction = Transaction::default().put_leased(key, value, lease);
        match self.store.commit(&transaction) {
            CommitOutcome::Applied(_) => {
                self.lease = Some(lease);
                self.note_seen()
            }
            // A copy that is carried out later goes with its lease.
            _ => {
                self.store.release(lease);
                Err(Unavailable)
            }
        }
    }

    fn note_seen(&self) -> Result<(), Unavailable> {
        let record = SeenRecord {
            release: release(),
            at_ms: wall_ms(),
        };
        let value = serde_json::to_value(record).expect("plain data");
        let key = seen_key(&self.settings.name);
        match self.store.commit(&Transaction::default().put(key, value)) {
            CommitOutcome::Applied(_) => Ok(()),
            _ => Err(Unavailable),
        }
    }

    fn version_read(&self, snapshot: &Snapshot) {
        if !self.clearance.read(&snapshot.version, snapshot.stamp) {
            return;
        }
        let clearance = self.clearance.get();
        match clearance.refusal() {
            Some(why) => warn!("{why}: withdraws"),
            None => info!("the cluster is at version {}", snapshot.version.active),
        }
        let _ = self.controller.send(Message::WriteFence(clearance));
    }

    /// Any controller may: the change hangs on all that it was decided by, so that one of them does.
    fn finalize_if_due(&mut self, snapshot: &Snapshot) {
        if self.policy.finalize != Finalize::Automatic {
            return;
        }
        let timing = records::timing(&self.settings, &self.policy, wall_ms());
        let plan = Plan::of(snapshot, &self.policy, Asked::ByPolicy, &timing);
        if plan.ready().is_some() {
            let request = Request::Finalize(Asked::ByPolicy);
            let (store, settings) = (&self.store, &self.settings);
            let outcome = records::carry_out(store, settings, &self.policy, request, wall_ms);
            if let Finalized::Finalized(version) = outcome {
                info!("finalized version {version}");
            }
        }
        self.tell(plan);
    }

    /// Tells once what holds the upgrade up.
    fn tell(&mut self, plan: Plan) {
        let is_news = self.told.as_ref().map(|told| told.next) != Some(plan.next);
        if is_news {
            for hold in &plan.holds {
                info!("the cluster version does not rise: {hold}");
            }
        }
        self.told = Some(plan);
    }
}

/// The release that runs here.
fn release() -> String {
    env!("CARGO_PKG_VERSION").to_string()
}

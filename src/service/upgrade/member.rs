//! This controller's membership in the cluster: keeps its member record alive, follows the active version,
//! and finalizes upgrades if the policy says so.

use super::records;
use super::SharedWriteFence;
use crate::protocol::store::{LeaseId, Transaction};
use crate::service::clock::wall_ms;
use crate::service::messages::Message;
use crate::service::spawn;
use crate::settings::Settings;
use crate::storage::key_value_store::{CommitOutcome, KeyValueStore, Renewal, Unavailable};
use crossbeam::channel::Sender;
use stairstage_upgrade::operation::{Outcome, Request};
use stairstage_upgrade::plan::{Initiator, Plan};
use stairstage_upgrade::policy::Finalize;
use stairstage_upgrade::records::{member_key, seen_key, VERSION_KEY};
use stairstage_upgrade::{MemberRecord, SeenRecord, Snapshot, UpgradePolicy, VersionRange};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Renewals of a lease within its duration.
const RENEWALS_PER_LEASE: u32 = 3;
/// The minimum duration of a lease, not below that of the state service.
const MIN_LEASE: Duration = Duration::from_millis(200);
/// The maximum duration of a lease, not above that of the state service.
const MAX_LEASE: Duration = Duration::from_secs(600);
/// The minimum time between two rounds, in case watch requests return immediately.
const MIN_ROUND: Duration = Duration::from_millis(100);

/// Registers this controller as a member of the cluster and keeps the registration alive.
struct Membership {
    settings: Arc<Settings>,
    policy: UpgradePolicy,
    store: KeyValueStore,
    write_fence: SharedWriteFence,
    controller: Sender<Message>,
    /// The lease of the member record, while this controller is registered.
    lease: Option<LeaseId>,
    lease_duration: Duration,
    /// When this process started, in milliseconds since the Unix epoch.
    since_ms: u64,
    /// The plan for which the holds were last logged.
    logged_plan: Option<Plan>,
}

/// Starts the membership on a new thread, if upgrades are staged.
///
/// # Errors
/// When the thread cannot be started.
pub fn start(
    settings: &Arc<Settings>,
    store: &KeyValueStore,
    write_fence: &SharedWriteFence,
    controller: &Sender<Message>,
) -> anyhow::Result<()> {
    let Some(policy) = settings.upgrade.clone() else {
        return Ok(());
    };
    let lease_s = policy.member_lease * settings.cluster.workers.report_s;
    let membership = Membership {
        settings: settings.clone(),
        store: store.clone(),
        write_fence: write_fence.clone(),
        controller: controller.clone(),
        lease: None,
        lease_duration: Duration::from_secs_f64(lease_s).clamp(MIN_LEASE, MAX_LEASE),
        since_ms: wall_ms(),
        logged_plan: None,
        policy,
    };
    spawn("upgrade", move || membership.run())
}

impl Membership {
    fn run(mut self) {
        loop {
            let started_at = Instant::now();
            if self.run_round().is_err() {
                std::thread::sleep(self.lease_duration / (2 * RENEWALS_PER_LEASE));
            }
            std::thread::sleep(MIN_ROUND.saturating_sub(started_at.elapsed()));
        }
    }

    /// Renews the lease, reads all records, and waits for a change of the version record until the next
    /// renewal is due.
    fn run_round(&mut self) -> Result<(), Unavailable> {
        let registered = self.keep_registered();
        let controllers = records::configured_controllers(&self.settings);
        let (snapshot, revision) = records::read(&self.store, &controllers)?;
        self.update_write_fence(&snapshot);
        registered?;
        self.finalize_if_due(&snapshot);
        let watch_timeout = self.lease_duration / RENEWALS_PER_LEASE;
        self.store
            .watch(VERSION_KEY, revision, watch_timeout)
            .map(|_| ())
    }

    /// Renews the lease, or registers again if it has expired.
    fn keep_registered(&mut self) -> Result<(), Unavailable> {
        let timeout = self.lease_duration / RENEWALS_PER_LEASE;
        if let Some(lease) = self.lease {
            match self.store.renew(lease, timeout) {
                Renewal::Renewed => return self.write_seen_record(),
                Renewal::Unavailable => return Err(Unavailable),
                Renewal::Expired => self.lease = None,
            }
        }
        self.register()
    }

    fn register(&mut self) -> Result<(), Unavailable> {
        let lease = self.store.grant(self.lease_duration)?;
        let record = MemberRecord {
            release: release(),
            versions: VersionRange::OF_THIS_RELEASE,
            since_ms: self.since_ms,
        };
        let value = serde_json::to_value(record).expect("serializing plain data cannot fail");
        let key = member_key(&self.settings.name);
        let transaction = Transaction::default().put_leased(key, value, lease);
        match self.store.commit(&transaction) {
            CommitOutcome::Applied(_) => {
                self.lease = Some(lease);
                self.write_seen_record()
            }
            // The write may still take effect later; releasing the lease then removes the record.
            _ => {
                self.store.release(lease);
                Err(Unavailable)
            }
        }
    }

    fn write_seen_record(&self) -> Result<(), Unavailable> {
        let record = SeenRecord {
            release: release(),
            at_ms: wall_ms(),
        };
        let value = serde_json::to_value(record).expect("serializing plain data cannot fail");
        let key = seen_key(&self.settings.name);
        match self.store.commit(&Transaction::default().put(key, value)) {
            CommitOutcome::Applied(_) => Ok(()),
            _ => Err(Unavailable),
        }
    }

    fn update_write_fence(&self, snapshot: &Snapshot) {
        if !self
            .write_fence
            .apply(&snapshot.version, snapshot.mod_revision)
        {
            return;
        }
        let write_fence = self.write_fence.get();
        match write_fence.refusal() {
            // The operators' documentation quotes this message.
            Some(reason) => warn!("{reason}: withdraws"),
            None => info!(version = %snapshot.version.active, "cluster version active"),
        }
        let _ = self.controller.send(Message::WriteFence(write_fence));
    }

    /// Finalizes an upgrade that is ready. Every controller tries this; the change is a compare-and-swap
    /// transaction, so only one of them succeeds.
    fn finalize_if_due(&mut self, snapshot: &Snapshot) {
        if self.policy.finalize != Finalize::Automatic {
            return;
        }
        let timing = records::timing(&self.settings, &self.policy, wall_ms());
        let plan = Plan::of(snapshot, &self.policy, Initiator::Policy, &timing);
        if plan.ready().is_some() {
            let request = Request::Finalize(Initiator::Policy);
            let (store, settings) = (&self.store, &self.settings);
            let outcome = records::execute(store, settings, &self.policy, request, wall_ms);
            if let Outcome::Finalized(version) = outcome {
                info!(%version, "upgrade finalized");
            }
        }
        self.log_holds(plan);
    }

    /// Logs why the next version is not activated, once for each version.
    fn log_holds(&mut self, plan: Plan) {
        let logged_next = self.logged_plan.as_ref().map(|logged| logged.next);
        if logged_next != Some(plan.next) {
            for hold in &plan.holds {
                info!(%hold, "upgrade not finalized");
            }
        }
        self.logged_plan = Some(plan);
    }
}

/// The release of this program.
fn release() -> String {
    env!("CARGO_PKG_VERSION").to_string()
}

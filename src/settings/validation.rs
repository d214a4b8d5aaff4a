//! Validates the platform's settings file. Only the first invalid value is reported.

use super::error::{InvalidValue, Rule};
use super::platform::{
    CloudLimits, ProcessLimits, StateServiceLimits, Team, WorkerTimings, LONGEST_HEARTBEAT_INTERVAL,
};
use super::sockets::MIN_SOCKETS;
use super::state_limits::MIN_OPERATIONS;
use super::Settings;

type Check = Result<(), InvalidValue>;

pub(super) fn check(settings: &Settings) -> Check {
    let cluster = &settings.cluster;
    check_positive(settings)?;
    check_workers(&cluster.workers)?;
    check_cloud(&cluster.cloud)?;
    check_operations(&cluster.state)?;
    check_limits(&cluster.limits)?;
    check_teams(&cluster.teams)?;
    check_peers(settings)
}

/// Checks the durations, rates and sizes that must be above 0.
fn check_positive(settings: &Settings) -> Check {
    let cluster = &settings.cluster;
    let (workers, state) = (&cluster.workers, &cluster.state);
    let required = [
        ("settings.workers.report_s", workers.report_s),
        ("settings.workers.lease_s", workers.lease_s),
        ("settings.workers.gang_wait_s", workers.gang_wait_s),
        ("settings.workers.gang_peer_s", workers.gang_peer_s),
        ("settings.workers.cancel_s", workers.cancel_s),
        ("settings.state.rps", state.rps),
        ("settings.state.write_rps", state.write_rps),
        ("settings.state.value_kb", state.value_kb),
        ("settings.cloud.rps", cluster.cloud.rps),
        ("settings.limits.ram_mb", cluster.limits.ram_mb),
    ];
    let optional = [
        ("settings.state.next.write_rps", state.next.write_rps),
        ("settings.state.next.value_kb", state.next.value_kb),
    ];
    for (field, value) in required {
        positive(field, value)?;
    }
    for (field, value) in optional {
        if let Some(value) = value {
            positive(field, value)?;
        }
    }
    Ok(())
}

fn check_workers(workers: &WorkerTimings) -> Check {
    if workers.lease_s <= LONGEST_HEARTBEAT_INTERVAL * workers.report_s {
        return Err(InvalidValue::new(
            "settings.workers.lease_s",
            workers.lease_s,
            Rule::LeaseOutlastsHeartbeats,
        ));
    }
    if workers.cancel_s <= workers.lease_s {
        return Err(InvalidValue::new(
            "settings.workers.cancel_s",
            workers.cancel_s,
            Rule::CancellationOutlastsLease,
        ));
    }
    Ok(())
}

fn check_cloud(cloud: &CloudLimits) -> Check {
    not_negative("settings.cloud.list_lag_s", cloud.list_lag_s)
}

fn check_operations(state: &StateServiceLimits) -> Check {
    let operations = [
        ("settings.state.txn_ops", Some(state.txn_ops)),
        ("settings.state.next.txn_ops", state.next.txn_ops),
    ];
    for (field, value) in operations {
        if let Some(value) = value.filter(|value| *value < MIN_OPERATIONS) {
            return Err(InvalidValue::new(field, value, Rule::EnoughOperations));
        }
    }
    Ok(())
}

fn check_limits(limits: &ProcessLimits) -> Check {
    if limits.max_sockets < MIN_SOCKETS {
        return Err(InvalidValue::new(
            "settings.limits.max_sockets",
            limits.max_sockets,
            Rule::EnoughSockets,
        ));
    }
    Ok(())
}

fn check_teams(teams: &[Team]) -> Check {
    for (index, team) in teams.iter().enumerate() {
        let resources = [
            ("cpus", team.cpus),
            ("cpus_max", team.cpus_max),
            ("gpus", team.gpus),
            ("gpus_max", team.gpus_max),
        ];
        for (name, value) in resources {
            not_negative(format!("settings.teams[{index}].{name}"), value)?;
        }
    }
    Ok(())
}

fn check_peers(settings: &Settings) -> Check {
    if settings.peers.iter().any(|peer| peer.name == settings.name) {
        return Err(InvalidValue::new(
            "others",
            &settings.name,
            Rule::OtherControllersOnly,
        ));
    }
    Ok(())
}

fn positive(field: &str, value: f64) -> Check {
    if !value.is_finite() || value <= 0.0 {
        return Err(InvalidValue::new(field, value, Rule::Positive));
    }
    Ok(())
}

fn not_negative(field: impl Into<String>, value: f64) -> Check {
    if !value.is_finite() || value < 0.0 {
        return Err(InvalidValue::new(field, value, Rule::NotNegative));
    }
    Ok(())
}

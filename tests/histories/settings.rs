//! The settings of all histories.

use super::common;
use stairstage::protocol::cloud::MachineType;

/// The zones of the machines.
pub(crate) const ZONES: [&str; 2] = ["z", "y"];

/// Two teams with CPU quotas, and narrow next limits for the state service.
pub(crate) const SETTINGS: &str = r#"
host_name = "a"
zone = "z"
front = "127.0.0.1:1"
cluster_listen = "127.0.0.1:2"
[endpoints]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[settings]
[[settings.teams]]
name = "t"
cpus = 4.0
cpus_max = 10.0
[[settings.teams]]
name = "u"
cpus = 2.0
cpus_max = 5.0
[settings.workers]
report_s = 2.0
lease_s = 12.0
gang_wait_s = 20.0
gang_peer_s = 4.0
cancel_s = 30.0
[settings.state]
rps = 200.0
write_rps = 100.0
value_kb = 16.0
txn_ops = 8
next = { write_rps = 60.0, value_kb = 0.2, txn_ops = 4 }
[settings.cloud]
rps = 10.0
list_lag_s = 4.0
[settings.limits]
ram_mb = 100.0
max_sockets = 500
"#;

/// Two machine types of the same size, each in both zones.
pub(crate) fn machine_types() -> Vec<MachineType> {
    ["m4", "g4"]
        .map(|name| MachineType {
            name: name.into(),
            zones: ZONES.map(String::from).to_vec(),
            ..common::machine_type()
        })
        .to_vec()
}

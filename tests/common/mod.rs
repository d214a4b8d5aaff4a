//! What several tests of the core begin with.

use serde_json::{json, Value};
use stairstage::protocol::cloud::MachineType;
use stairstage::protocol::job::JobSpec;

/// The only type of machine: room for four tasks of a job as described below.
pub fn machine_type() -> MachineType {
    MachineType {
        name: "m4".into(),
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 10.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.5,
        boot_s: 10.0,
        zones: vec!["z".into()],
    }
}

/// A submission of small tasks that never save.
pub fn submission(id: &str, rig: &str, precedence: &str, tasks: u32) -> Value {
    json!({"name_id":id,"duty":"c","crew":"t","rig":rig,"precedence":precedence,"legs":tasks,
        "cpus":1.0,"gpus":0.0,"mem_gb":1.0,"kit":"i","size_gb":1.0,"hulls":null,"berth":null,
        "same_place":false,"spread":false,"driftwood":false,"passage_s":20.0,
        "fix_interval_s":0.0,"fix_s":0.0,"due_s":null})
}

pub fn parsed(submission: &Value) -> JobSpec {
    JobSpec::parse(submission.to_string().as_bytes()).unwrap()
}

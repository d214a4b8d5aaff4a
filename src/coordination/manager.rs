//! The leading controller's manager of the cluster.

pub use super::cluster::ClusterState as ClusterManager;

//! Control tasks: follow the store, store crashes, elect stewards, plan replicas and check the health of hosts.

pub(crate) mod crashes;
pub(crate) mod election;
pub(crate) mod era;
pub(crate) mod health_check;
pub(crate) mod host_client;
pub(crate) mod steward;
pub(crate) mod topics;

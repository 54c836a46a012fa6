//! Control tasks of a node, which run beside the requests.

pub mod admit;
pub mod configure;
pub mod gossip;
pub mod host_list;
pub mod keys;
pub mod outage;
pub mod outlier;
pub mod peer;
pub mod prefix;
pub mod probe;
pub mod quarantine;
pub mod steward;

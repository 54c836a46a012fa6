//! Control work of a node: one task for each duty.

pub mod admit;
pub mod configure;
pub mod eject;
pub mod keys;
pub mod list;
pub mod observe;
pub mod outage;
pub mod peer;
pub mod prefix;
pub mod probe;
pub mod quarantine;
pub mod steward;

//! Tasks that keep a node's knowledge fresh and its replicas whole.

pub(crate) mod duty;
pub(crate) mod follow;
pub(crate) mod inspect;
pub(crate) mod steward;
pub(crate) mod watch;

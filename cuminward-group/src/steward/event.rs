//! Events that a steward reports to the time line.

use std::time::Duration;

use cuminward_core::{host, id};
use cuminward_derive::record;

use crate::placement;

/// An event of a steward.
#[record]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event {
    /// This node has become the steward.
    TermStarted {
        /// Fencing token of the term.
        fence: id::Fence,
    },
    /// This node is no longer the steward.
    TermEnded {
        /// Fencing token of the term.
        fence: id::Fence,
        /// Why the term ended.
        cause: End,
    },
    /// The lease lapsed while the log is unavailable; hosts that ignore fencing tokens get no orders.
    LeaseLapsed {
        /// Fencing token of the term.
        fence: id::Fence,
    },
    /// Hosts that ignore fencing tokens may get orders from now on.
    UnfencedAllowed {
        /// Fencing token of the term.
        fence: id::Fence,
        /// Time since the start of the term.
        waited: Duration,
    },
    /// A host's group was confirmed under the current term.
    HostConfirmed {
        /// The host.
        host: id::Host,
        /// Group that the host is in.
        membership: Option<host::Membership>,
    },
    /// A host was started again.
    HostRestarted {
        /// The host.
        host: id::Host,
        /// The new start of the host.
        incarnation: id::Incarnation,
    },
    /// A host hasn't answered for so long that it counts as lost.
    HostLost {
        /// The host.
        host: id::Host,
    },
    /// A host that counted as lost answers again.
    HostBack {
        /// The host.
        host: id::Host,
    },
    /// Orders to form a group are sent.
    GroupForming {
        /// Name of the group.
        group: id::Group,
        /// Formation of the group.
        generation: id::Generation,
        /// What is formed.
        form: placement::Form,
    },
    /// Orders to release a group are sent.
    GroupReleasing {
        /// What is released and why.
        release: placement::Release,
    },
    /// A whole group drains: it receives no new work from now on and is released later.
    GroupRetiring {
        /// What will be released and why.
        release: placement::Release,
    },
    /// Most hosts of a fabric domain stopped answering; repair of their groups is held back.
    FabricDark {
        /// The fabric domain.
        fabric: id::Fabric,
    },
    /// Most hosts of a dark fabric domain answer again.
    FabricBack {
        /// The fabric domain.
        fabric: id::Fabric,
    },
    /// A host refused an order.
    OrderRefused {
        /// The host.
        host: id::Host,
        /// Code of the refusal.
        code: String,
    },
    /// The answer to an order was lost.
    OrderUnknown {
        /// The host.
        host: id::Host,
    },
    /// The number of declared replicas that can't be formed changed.
    ReplicasMissing {
        /// Number of replicas.
        count: usize,
    },
}

/// Why a term ended.
#[cuminward_derive::value]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// A later claim started a new term.
    Superseded,
    /// A host has seen a larger fencing token.
    Fenced,
    /// The lease wasn't renewed although the log was available.
    NotRenewed,
    /// The node shuts down.
    Shutdown,
}

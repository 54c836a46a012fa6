//! What a steward has to tell the time line.

use std::time::Duration;

use cuminward_core::{host, id};
use cuminward_derive::record;

use crate::placement;

/// Something that happened at a steward.
#[record]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event {
    /// This node has become the steward.
    TermStarted {
        /// Fencing number of the term.
        fence: id::Fence,
    },
    /// This node is no longer the steward.
    TermEnded {
        /// Fencing number of the term.
        fence: id::Fence,
        /// Why the term ended.
        cause: End,
    },
    /// The lease lapsed while the log is away; hosts that ignore fencing numbers get no orders.
    LeaseLapsed {
        /// Fencing number of the term.
        fence: id::Fence,
    },
    /// Hosts that ignore fencing numbers may get orders from now on.
    UnfencedAllowed {
        /// Fencing number of the term.
        fence: id::Fence,
        /// Time since the start of the term.
        waited: Duration,
    },
    /// A host's present group was learned under the present term.
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
    /// A host hasn't answered for long enough to count as lost.
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
    /// A whole group receives no new work from now on and is released later.
    GroupRetiring {
        /// What will be released and why.
        release: placement::Release,
    },
    /// Most hosts of a fabric domain stopped answering; repair is held back.
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
    /// Replicas are wanted that can't be formed.
    ReplicasMissing {
        /// Number of replicas.
        count: usize,
    },
}

/// Why a term ended.
#[cuminward_derive::value]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// Another claim came later.
    Superseded,
    /// A host has seen a larger fencing number.
    Fenced,
    /// The lease could not be renewed though the log was there.
    NotRenewed,
    /// The node shuts down.
    Shutdown,
}

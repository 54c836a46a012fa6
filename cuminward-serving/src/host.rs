//! State that a host reports about itself.

use std::time::Duration;

use crate::id;

/// A host of an engine or of a plain service, as described by its entry in the host list.
#[derive(Debug, Clone, PartialEq)]
pub struct Host {
    /// Identifier.
    pub id: id::Host,
    /// Service that the host runs.
    pub service: id::Service,
    /// IP address and port.
    pub address: String,
    /// Failure domain.
    pub domain: id::Domain,
    /// Number of requests that the host runs concurrently.
    pub slots: u32,
    /// Whether the host accepts new work.
    pub state: State,
    /// Time for which the host was still going to be cold when it wrote the entry.
    pub cold_left: Duration,
    /// Start time, in milliseconds since the Unix epoch; 0 if unknown. Distinguishes the
    /// incarnations of a host that restarts under the same identifier.
    pub started_ms: u64,
    /// Number of orders that the host has accepted since its start.
    pub seq: id::Seq,
    /// Fabric domain, if the host belongs to an engine.
    pub fabric: Option<id::Fabric>,
    /// Models whose weights are staged on the host.
    pub staged: Vec<id::Model>,
    /// Model that the host runs or ran last.
    pub model: Option<id::Model>,
    /// Whether the host is carrying out an order.
    pub is_busy: bool,
    /// Membership of the host in a group, if it is in one.
    pub membership: Option<Membership>,
    /// Factor by which the host is slower than usual. The host list does not contain it: the host
    /// returns it only when it is asked for its report.
    pub slowdown: f64,
}

/// Whether a host accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The host accepts new work.
    Ready,
    /// The host is leaving and accepts no new work.
    Draining,
}

/// Membership of a host in one formation of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Membership {
    /// Group.
    pub group: id::Group,
    /// Number of the formation.
    pub epoch: id::Epoch,
    /// Index in the list of members; 0 is the head.
    pub rank: usize,
    /// Phase of the host in the formation.
    pub phase: Phase,
}

/// Phase of a host in the formation of its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The host loads weights or connects to the other members.
    Joining,
    /// The host is ready to serve.
    Ready,
    /// The head accepts requests.
    Open,
    /// The head accepts no new requests and finishes those in flight.
    Closing,
    /// The head has detected that a member is missing.
    Broken,
}

/// Access
impl Host {
    /// Returns whether the weights of a model are staged on the host.
    pub fn has_staged(&self, model: &str) -> bool {
        self.staged.iter().any(|it| it == model)
    }

    /// Returns whether the host's own report, with its start time (0 if unknown) and its
    /// membership, is of the same incarnation and formation as this entry. If it is not, decisions
    /// that are based on the entry are void.
    pub fn is_consistent_with(&self, started_ms: u64, membership: Option<&Membership>) -> bool {
        let formation = |it: &Membership| (it.group.clone(), it.epoch);
        let is_same_incarnation =
            self.started_ms == started_ms || self.started_ms == 0 || started_ms == 0;
        is_same_incarnation && self.membership.as_ref().map(formation) == membership.map(formation)
    }

    /// Returns whether the host is the head of a group that serves requests or finishes the last
    /// ones.
    pub fn is_serving_head(&self) -> bool {
        self.membership
            .as_ref()
            .is_some_and(|it| it.rank == 0 && matches!(it.phase, Phase::Open | Phase::Closing))
    }
}

//! What a host says about itself.

use std::time::Duration;

use crate::id;

/// A host of an engine or of a plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct Host {
    /// Identity.
    pub id: id::Host,
    /// Service that it serves.
    pub service: id::Service,
    /// IP address and port.
    pub address: String,
    /// Failure domain.
    pub domain: id::Domain,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// How much longer it stayed cold when it wrote this.
    pub cold_left: Duration,
    /// When it started, in milliseconds since the Unix epoch; 0 if unknown. Tells apart two lives under
    /// one identity.
    pub started_ms: u64,
    /// Orders that it has accepted since its start.
    pub seq: id::Seq,
    /// Fabric domain of an engine's host.
    pub fabric: Option<id::Fabric>,
    /// Models whose weights are on the host.
    pub staged: Vec<id::Model>,
    /// Model that it runs or ran last.
    pub model: Option<id::Model>,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// Group that it is in.
    pub membership: Option<Membership>,
    /// Factor by which it is slower than usual; known from its own report only.
    pub slowdown: f64,
}

/// Whether a host takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It does.
    Ready,
    /// It is leaving.
    Draining,
}

/// A host's place in a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Membership {
    /// Group.
    pub group: id::Group,
    /// Formation of the group.
    pub epoch: id::Epoch,
    /// Place in the list of members; 0 is the head.
    pub rank: usize,
    /// How far the host is.
    pub phase: Phase,
}

/// How far a host is with its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It loads weights or connects.
    Joining,
    /// It is ready to serve.
    Ready,
    /// The head takes requests.
    Open,
    /// The head takes no new requests and finishes those it has.
    Closing,
    /// The head has noticed that a member is missing.
    Broken,
}

/// Access
impl Host {
    /// Tells whether the weights of a model are on the host.
    pub fn has_staged(&self, model: &str) -> bool {
        self.staged.iter().any(|it| it == model)
    }

    /// Tells whether what the host says of itself, with 0 for an unknown start, leaves it in the life and the
    /// formation that are known of it. If not, decisions on what is known don't hold.
    pub fn is_consistent_with(&self, started_ms: u64, membership: Option<&Membership>) -> bool {
        let formation = |it: &Membership| (it.group.clone(), it.epoch);
        let is_same_life = self.started_ms == started_ms || self.started_ms == 0 || started_ms == 0;
        is_same_life && self.membership.as_ref().map(formation) == membership.map(formation)
    }

    /// Tells whether the host is the head of a group that serves or finishes requests.
    pub fn is_serving_head(&self) -> bool {
        self.membership
            .as_ref()
            .is_some_and(|it| it.rank == 0 && matches!(it.phase, Phase::Open | Phase::Closing))
    }
}

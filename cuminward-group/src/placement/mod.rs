//! Placement: which groups of one failure domain to form and which to release.
//!
//! The decision is a function of what is known now. It names hosts only; numbers of formations and
//! orders come from [`crate::steward`].

use std::time::Duration;

use cuminward_core::id;
use cuminward_derive::{record, value};

mod first_fit;

/// What the decision looks at.
#[record]
#[derive(Default)]
pub struct Input {
    /// Time since the start of the process.
    pub now: Duration,
    /// Engines of the failure domain.
    pub hosts: Vec<Host>,
    /// Groups that exist on the hosts.
    pub groups: Vec<Group>,
    /// Replicas that operators declared for the failure domain, the most important ones first.
    pub demands: Vec<Demand>,
    /// Bounds of the plan.
    pub limits: Limits,
}

/// An engine's host.
#[record]
pub struct Host {
    /// Name of the host.
    pub host: id::Host,
    /// Fabric domain of the host.
    pub fabric: id::Fabric,
    /// Whether the host may be used.
    pub state: State,
    /// Weights that the host is known to have loaded.
    pub weights: Option<Weights>,
    /// Whether the host is leaving or drained.
    pub leaving: bool,
}

/// Whether a host may be used.
#[value]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The host is confirmed to be in no group, and no order to it is open.
    Free,
    /// The host is in a group.
    Member,
    /// What the host is doing isn't known, or an order to it is open.
    Unsure,
    /// The host doesn't answer.
    Down,
}

/// Weights that a host has loaded.
#[record]
#[derive(Eq, PartialOrd, Ord)]
pub struct Weights {
    /// The model.
    pub model: id::Model,
    /// Version of the model.
    pub version: id::Version,
}

/// A formation that at least one host reports.
#[record]
pub struct Group {
    /// Name of the group.
    pub group: id::Group,
    /// Formation of the group.
    pub generation: id::Generation,
    /// Service that it was formed for.
    pub service: id::Service,
    /// Model and version that it runs.
    pub weights: Weights,
    /// All members, whether or not they are still in the group.
    pub members: Vec<id::Host>,
    /// How far the group is.
    pub health: Health,
}

/// How far a group is.
#[value]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// Every member is ready.
    Whole,
    /// Members load weights or have orders under way.
    Loading,
    /// At least one member isn't known well enough.
    Unsure,
    /// The formation can't serve again.
    Broken,
}

/// Replicas that operators declared.
#[record]
pub struct Demand {
    /// The service.
    pub service: id::Service,
    /// Model and version that the replicas run.
    pub weights: Weights,
    /// Hosts that form one replica.
    pub size: usize,
    /// Replicas wanted.
    pub count: usize,
}

/// Bounds of a plan.
#[record]
pub struct Limits {
    /// Largest number of hosts that may load weights from the store at the same time.
    pub loads: usize,
}

/// What is to be done.
#[record]
#[derive(Default)]
pub struct Plan {
    /// Groups to release.
    pub release: Vec<Release>,
    /// Groups to form.
    pub form: Vec<Form>,
    /// Replicas that are wanted and can't be formed now.
    pub missing: usize,
}

/// A group to release.
#[record]
pub struct Release {
    /// Name of the group.
    pub group: id::Group,
    /// Formation of the group.
    pub generation: id::Generation,
    /// Why it is released.
    pub cause: Cause,
}

/// Why a group is released.
#[value]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// It lost a member.
    Broken,
    /// Fewer replicas are declared, or the service or version is gone.
    Surplus,
    /// A member is leaving or drained.
    Leaving,
    /// Its hosts make room for the next version.
    Rolling,
    /// It moves to another fabric domain, so that its hosts complete another replica.
    Consolidation,
}

/// A group to form.
#[record]
pub struct Form {
    /// Service that it is formed for.
    pub service: id::Service,
    /// Model and version to run.
    pub weights: Weights,
    /// The members; the first one is the head.
    pub members: Vec<id::Host>,
}

/// Way of placing groups.
#[value]
#[serde(rename_all = "kebab-case")]
pub enum Strategy {
    /// Takes the first fabric domain with enough free hosts.
    FirstFit,
}

/// Hosts that may load weights at the same time unless set otherwise.
const DEFAULT_LOADS: usize = 16;

impl Default for Limits {
    fn default() -> Limits {
        Limits { loads: DEFAULT_LOADS }
    }
}

/// Decides what is to be done.
pub fn plan(input: &Input, strategy: Strategy) -> Plan {
    match strategy {
        Strategy::FirstFit => first_fit::plan(input),
    }
}

//! Placement: which groups of one failure domain to form and which to release.
//!
//! The decision is a function of what is known now. It names hosts only; numbers of formations and
//! orders come from [`crate::steward`].
//!
//! - Broken groups are released at once, unless their fabric domain is held back.
//! - A version that is no longer in force goes group by group: one is released for each whole group
//!   beyond the declared number. Without spare hosts for a next group, one is released beforehand, so the
//!   service runs one replica short while its hosts load the next version.
//! - A group with a leaving member is released and replaced.
//! - Groups stay formed while their failure domain is taken out.
//! - No more hosts than [`Limits::loads`] load weights at the same time.

use std::{collections::BTreeSet, time::Duration};

use cuminward_core::id;
use cuminward_derive::{record, value};

mod consolidation;
mod form;
mod pool;
mod retire;

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
    /// Fabric domains that went dark a short time ago: their groups are neither released nor replaced.
    pub held: BTreeSet<id::Fabric>,
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
    /// Whether its release has been decided and it finishes the work that it has.
    pub retiring: bool,
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
    /// Replicas that are wanted and can't be formed for lack of hosts in one fabric domain.
    pub missing: usize,
    /// Replicas that are wanted and wait until fewer hosts load weights.
    pub deferred: usize,
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
    /// Takes the first hosts of the first fabric domain with enough free ones.
    FirstFit,
    /// Takes hosts that have the weights already, then the fabric domain with the fewest free hosts.
    BestFit,
    /// Takes hosts that have the weights already, then the fabric domain that keeps most hosts beside
    /// its groups as spares.
    Spares,
    /// Like `Spares`, and moves small groups to complete larger ones.
    Consolidation,
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
    let mut plan = Plan::default();
    let mut pool = pool::Pool::new(input);
    form::form(input, strategy, &mut pool, &mut plan);
    retire::retire(input, strategy, &mut plan);
    if strategy == Strategy::Consolidation && plan.missing > 0 {
        consolidation::consolidate(input, &mut pool, &mut plan);
    }
    plan
}

/// Access
impl Input {
    /// Fabric domain of a host; empty for hosts that aren't listed.
    fn fabric(&self, host: &str) -> &str {
        let listed = self.hosts.iter().find(|it| it.host == host);
        listed.map_or("", |it| it.fabric.as_str())
    }

    /// Tells whether a group has a member that is leaving or drained.
    fn leaving(&self, group: &Group) -> bool {
        self.hosts.iter().any(|it| it.leaving && group.members.contains(&it.host))
    }

    /// Tells whether a group is left alone since its fabric domain went dark.
    fn holds(&self, group: &Group) -> bool {
        !self.held.is_empty() && group.members.iter().any(|it| self.held.contains(self.fabric(it)))
    }

    /// Tells whether a group counts as one of the declared replicas.
    fn counts(&self, group: &Group, demand: &Demand) -> bool {
        let useful = self.holds(group) || group.health != Health::Broken;
        useful && !group.retiring && demand.matches(group) && !self.leaving(group)
    }

    /// Number of groups that count for a declaration.
    fn present(&self, demand: &Demand) -> usize {
        self.groups.iter().filter(|it| self.counts(it, demand)).count()
    }
}

/// Access
impl Demand {
    /// Tells whether a group runs what is declared.
    fn matches(&self, group: &Group) -> bool {
        self.service == group.service
            && self.weights == group.weights
            && self.size == group.members.len()
    }
}

/// Access
impl Group {
    /// Makes the decision to release the group.
    fn release(&self, cause: Cause) -> Release {
        Release { group: self.group.clone(), generation: self.generation, cause }
    }
}

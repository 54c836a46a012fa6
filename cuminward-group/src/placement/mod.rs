//! Placement (gang scheduling): which groups of one failure domain to form and which to release.
//!
//! A group is formed whole or not at all, on hosts of one fabric domain. [`plan`] is a pure function of its
//! input. A plan names hosts only; [`crate::steward`] numbers formations and orders.
//!
//! - Broken groups are released at once, unless repair of their fabric domain is held back.
//! - Groups of a version that is no longer declared are replaced in a rolling update: one is released for
//!   each whole group beyond the declared number. Without spare hosts for a new group, one old group is
//!   released first, so the service runs one replica short while those hosts load the new version.
//! - A group with a leaving member is released and replaced.
//! - Groups stay formed while their failure domain is taken out.
//! - No more hosts than [`Limits::loads`] load weights at the same time.

use std::{collections::BTreeSet, time::Duration};

use cuminward_core::id;
use cuminward_derive::{record, value};

mod consolidation;
mod form;
mod pool;
mod release;

/// Inputs of [`plan`].
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
    /// Fabric domains that went dark a short time ago, whose repair is held back: their groups are neither
    /// released nor replaced.
    pub held: BTreeSet<id::Fabric>,
    /// Limits of the plan.
    pub limits: Limits,
}

/// A host that runs an engine.
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
    /// The host's state isn't confirmed, or an order to it is open.
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
    /// All members of the formation, also those that have left the group.
    pub members: Vec<id::Host>,
    /// Health of the group.
    pub health: Health,
    /// Whether the group drains: it finishes the work that it has and is released afterwards.
    pub retiring: bool,
}

/// Health of a group.
#[value]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// Every member is ready.
    Whole,
    /// Members load weights or have orders under way.
    Loading,
    /// The state of at least one member isn't confirmed.
    Unsure,
    /// The formation can't serve again.
    Broken,
}

/// Replicas of one service and version that operators declared.
#[record]
pub struct Demand {
    /// The service.
    pub service: id::Service,
    /// Model and version that the replicas run.
    pub weights: Weights,
    /// Number of hosts of one replica.
    pub size: usize,
    /// Number of replicas.
    pub count: usize,
}

/// Limits of a plan.
#[record]
pub struct Limits {
    /// Largest number of hosts that may load weights from the store at the same time.
    pub loads: usize,
}

/// Groups to release and to form.
#[record]
#[derive(Default)]
pub struct Plan {
    /// Groups to release.
    pub release: Vec<Release>,
    /// Groups to form.
    pub form: Vec<Form>,
    /// Number of declared replicas that can't be formed, since no fabric domain has enough free hosts.
    pub missing: usize,
    /// Number of declared replicas that wait until fewer hosts load weights.
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
    /// A rolling update replaces its version.
    Rolling,
    /// It was moved to another fabric domain, so that its hosts complete a larger replica.
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

/// Bin-packing strategy that chooses the hosts of a group.
#[value]
#[serde(rename_all = "kebab-case")]
pub enum Strategy {
    /// First fit: the first hosts of the first fabric domain with enough free hosts.
    FirstFit,
    /// Best fit: prefers hosts that have the weights loaded, then the fabric domain with the fewest free
    /// hosts.
    BestFit,
    /// Prefers hosts that have the weights loaded, then the fabric domain in which most free hosts remain
    /// as spares after it is filled with groups of this size.
    Spares,
    /// Like `Spares`, and moves small groups so that their hosts complete larger groups.
    Consolidation,
}

/// Default of [`Limits::loads`].
const DEFAULT_LOADS: usize = 16;

impl Default for Limits {
    fn default() -> Limits {
        Limits { loads: DEFAULT_LOADS }
    }
}

/// Decides which groups to form and which to release.
pub fn plan(input: &Input, strategy: Strategy) -> Plan {
    let mut plan = Plan::default();
    let mut pool = pool::Pool::new(input);
    form::form(input, strategy, &mut pool, &mut plan);
    release::release_groups(input, strategy, &mut plan);
    if strategy == Strategy::Consolidation && plan.missing > 0 {
        consolidation::consolidate(input, &mut pool, &mut plan);
    }
    plan
}

/// Access
impl Input {
    /// Returns the fabric domain of a host; empty if the host isn't listed.
    fn fabric(&self, host: &str) -> &str {
        let listed = self.hosts.iter().find(|it| it.host == host);
        listed.map_or("", |it| it.fabric.as_str())
    }

    /// Returns whether a group has a member that is leaving or drained.
    fn has_leaving_member(&self, group: &Group) -> bool {
        self.hosts.iter().any(|it| it.leaving && group.members.contains(&it.host))
    }

    /// Returns whether repair of a group is held back, since its fabric domain went dark.
    fn is_repair_held(&self, group: &Group) -> bool {
        !self.held.is_empty() && group.members.iter().any(|it| self.held.contains(self.fabric(it)))
    }

    /// Returns whether a group counts towards the replicas of a declaration.
    fn counts_for(&self, group: &Group, demand: &Demand) -> bool {
        let useful = self.is_repair_held(group) || group.health != Health::Broken;
        useful && !group.retiring && demand.matches(group) && !self.has_leaving_member(group)
    }

    /// Returns the number of groups that count towards a declaration.
    fn count_present(&self, demand: &Demand) -> usize {
        self.groups.iter().filter(|it| self.counts_for(it, demand)).count()
    }
}

/// Access
impl Demand {
    /// Returns whether a group has the declared service, weights and size.
    fn matches(&self, group: &Group) -> bool {
        self.service == group.service
            && self.weights == group.weights
            && self.size == group.members.len()
    }
}

/// Access
impl Group {
    /// Returns the release of the group for `cause`.
    fn release(&self, cause: Cause) -> Release {
        Release { group: self.group.clone(), generation: self.generation, cause }
    }
}

//! Routing tables: snapshots of the usable replicas.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::Arc,
};

use cuminward_core::{catalog, id, replica};

use super::policy;
use crate::{load, prefix};

/// Snapshot of one failure domain's usable replicas, by model.
#[derive(Debug, Default)]
pub struct Table {
    models: HashMap<id::Model, Vec<Service>>,
    policy: policy::Affinity,
}

/// A declared service with its replicas.
#[derive(Debug)]
pub struct Service {
    teams: BTreeSet<id::Team>,
    pools: Vec<Pool>,
}

/// Replicas of one version.
#[derive(Debug)]
pub struct Pool {
    version: id::Version,
    candidates: Vec<Candidate>,
}

/// A replica that a request may be sent to.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The replica.
    pub replica: replica::Replica,
    /// Current load of the replica.
    pub gauge: Arc<load::Gauge>,
}

/// Groups and hosts that must not be used although their replicas are complete.
#[derive(Debug, Default, Clone)]
pub struct Exclusions {
    /// Groups that are quarantined or ejected.
    pub groups: HashSet<id::Group>,
    /// Hosts that are leaving or drained; replicas with such a member get no new requests.
    pub hosts: HashSet<id::Host>,
}

/// Gauges of all replicas, kept from one snapshot to the next.
#[derive(Debug, Default)]
pub struct Registry {
    gauges: HashMap<Formation, Arc<load::Gauge>>,
    options: prefix::Options,
}

/// Identifies one formation of a group.
type Formation = (id::Group, id::Generation, id::Incarnation);

/// Life cycle
impl Table {
    /// Builds the snapshot of one failure domain. Services have no replicas if the domain isn't in
    /// service or the service isn't declared there.
    pub fn build(
        domain: &str,
        replicas: &[replica::Replica],
        catalog: &catalog::Catalog,
        excluded: &Exclusions,
        registry: &mut Registry,
    ) -> Table {
        let in_service = catalog.in_service(domain);
        let mut table = Table::default();
        for model in catalog.models.values() {
            let usable = in_service && model.replicas.contains_key(domain);
            let usable: &[replica::Replica] = if usable { replicas } else { &[] };
            let service = Service::build(model, usable, catalog, excluded, registry);
            table.models.entry(model.model.clone()).or_default().push(service);
        }
        table
    }
}

impl Service {
    /// Builds a declared service with the replicas that may be used, by version.
    fn build(
        model: &catalog::Model,
        replicas: &[replica::Replica],
        catalog: &catalog::Catalog,
        excluded: &Exclusions,
        registry: &mut Registry,
    ) -> Service {
        let usable = |it: &&replica::Replica| {
            it.service == model.name
                && it.model == model.model
                && !excluded.groups.contains(&it.group)
                && !it.members.iter().any(|it| excluded.hosts.contains(it))
                && !it.members.iter().any(|it| catalog.drained.contains(it))
        };
        let pool = |version: &id::Version| Pool {
            version: version.clone(),
            candidates: replicas
                .iter()
                .filter(usable)
                .filter(|it| it.version == *version)
                .map(|it| registry.candidate(it, model.slots))
                .collect(),
        };
        let pools = model.versions.iter().map(pool).collect();
        Service { teams: model.teams.clone(), pools }
    }
}

/// Access
impl Table {
    /// Returns the services of a model, or `None` if the model isn't declared.
    pub fn services(&self, model: &str) -> Option<&[Service]> {
        self.models.get(model).map(Vec::as_slice)
    }

    /// Returns the default policy. Its round-robin position belongs to this snapshot.
    pub fn policy(&self) -> &policy::Affinity {
        &self.policy
    }

    /// Returns all replicas of the snapshot.
    pub fn candidates(&self) -> impl Iterator<Item = &Candidate> {
        let services = self.models.values().flatten();
        services.flat_map(|it| &it.pools).flat_map(|it| &it.candidates)
    }
}

impl Service {
    /// Returns whether a team may use the service.
    pub fn allows(&self, team: &str) -> bool {
        self.teams.contains(team)
    }

    /// Returns the replicas by version, the preferred version first.
    pub fn pools(&self) -> &[Pool] {
        &self.pools
    }
}

impl Pool {
    /// Returns the version.
    pub fn version(&self) -> &str {
        &self.version
    }

    /// Returns the replicas.
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }
}

/// Life cycle
impl Registry {
    /// Creates a registry whose prefix indexes have the given options.
    pub fn new(options: prefix::Options) -> Registry {
        Registry { gauges: HashMap::new(), options }
    }
}

/// Mutation
impl Registry {
    /// Drops the gauges of formations that are not among the given replicas.
    pub fn retain(&mut self, replicas: &[replica::Replica]) {
        let known: HashSet<Formation> = replicas.iter().map(formation).collect();
        self.gauges.retain(|it, _| known.contains(it));
    }

    /// Returns a replica with its gauge, which is created if the formation is new.
    fn candidate(&mut self, replica: &replica::Replica, limit: u32) -> Candidate {
        let options = self.options;
        let gauge = || Arc::new(load::Gauge::new(limit, options));
        let gauge = self.gauges.entry(formation(replica)).or_insert_with(gauge);
        Candidate { replica: replica.clone(), gauge: Arc::clone(gauge) }
    }
}

/// Returns the formation of a replica.
fn formation(replica: &replica::Replica) -> Formation {
    (replica.group.clone(), replica.generation, replica.incarnation)
}

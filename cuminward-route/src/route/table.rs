//! Snapshots of the replicas that may be used.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::Arc,
};

use cuminward_core::{catalog, id, replica};

use super::policy;
use crate::{load, prefix};

/// Replicas of one failure domain that requests may be sent to, by model.
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
    /// Its live figures.
    pub gauge: Arc<load::Gauge>,
}

/// What may not be used although it is whole.
#[derive(Debug, Default, Clone)]
pub struct Exclusions {
    /// Groups that are quarantined or ejected.
    pub groups: HashSet<id::Group>,
    /// Hosts that leave or are drained; a replica with one of them receives no new work.
    pub hosts: HashSet<id::Host>,
}

/// Live figures of all replicas, kept from one snapshot to the next.
#[derive(Debug, Default)]
pub struct Registry {
    gauges: HashMap<Formation, Arc<load::Gauge>>,
    options: prefix::Options,
}

/// One formation of a group.
type Formation = (id::Group, id::Generation, id::Incarnation);

/// Life cycle
impl Table {
    /// Builds the snapshot of one failure domain. A domain that isn't in service has no replicas;
    /// a service not declared in the domain has none either.
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
    /// Services that serve a model, or `None` when it isn't declared.
    pub fn services(&self, model: &str) -> Option<&[Service]> {
        self.models.get(model).map(Vec::as_slice)
    }

    /// The default policy, with its turn in this snapshot.
    pub fn policy(&self) -> &policy::Affinity {
        &self.policy
    }

    /// All replicas of the snapshot.
    pub fn candidates(&self) -> impl Iterator<Item = &Candidate> {
        let services = self.models.values().flatten();
        services.flat_map(|it| &it.pools).flat_map(|it| &it.candidates)
    }
}

impl Service {
    /// Tells whether a team may use the service.
    pub fn allows(&self, team: &str) -> bool {
        self.teams.contains(team)
    }

    /// Replicas by version, the preferred version first.
    pub fn pools(&self) -> &[Pool] {
        &self.pools
    }
}

impl Pool {
    /// The version.
    pub fn version(&self) -> &str {
        &self.version
    }

    /// The replicas.
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }
}

/// Life cycle
impl Registry {
    /// Makes a registry whose prefix indexes have the given size.
    pub fn new(options: prefix::Options) -> Registry {
        Registry { gauges: HashMap::new(), options }
    }
}

/// Mutation
impl Registry {
    /// Forgets formations that are not among the given replicas.
    pub fn retain(&mut self, replicas: &[replica::Replica]) {
        let known: HashSet<Formation> = replicas.iter().map(formation).collect();
        self.gauges.retain(|it, _| known.contains(it));
    }

    fn candidate(&mut self, replica: &replica::Replica, limit: u32) -> Candidate {
        let options = self.options;
        let gauge = || Arc::new(load::Gauge::new(limit, options));
        let gauge = self.gauges.entry(formation(replica)).or_insert_with(gauge);
        Candidate { replica: replica.clone(), gauge: Arc::clone(gauge) }
    }
}

fn formation(replica: &replica::Replica) -> Formation {
    (replica.group.clone(), replica.generation, replica.incarnation)
}

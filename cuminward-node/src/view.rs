//! The snapshot that requests read: configuration, team keys, replicas and hosts of plain services.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, atomic::AtomicU32},
};

use cuminward_core::{catalog, host, id};
use cuminward_route::{
    admission, prefix,
    route::{self, Registry, Table},
};
use subtle::ConstantTimeEq;

use crate::{request::usage, state};

/// Immutable snapshot that requests read; it is replaced as a whole.
#[derive(Debug, Default)]
pub struct View {
    /// Configuration in force.
    pub catalog: Arc<catalog::Catalog>,
    /// Routing table of the routable replicas.
    pub table: Table,
    /// Slots of each replica, by group.
    pub slots: HashMap<id::Group, Arc<admission::Holder>>,
    /// Hosts of each plain service.
    pub plains: HashMap<id::Service, Vec<Host>>,
    /// Slot usage of each model and plain service, by name.
    pub usage: HashMap<String, Arc<usage::Usage>>,
    /// Number of requests in flight of each team.
    pub teams: HashMap<id::Team, Arc<AtomicU32>>,
    keys: Vec<Key>,
}

/// A host of a plain service.
#[derive(Debug, Clone)]
pub struct Host {
    /// Name of the host.
    pub host: id::Host,
    /// IP address and port of the host.
    pub address: String,
    /// Slots of the host.
    pub slots: Arc<admission::Holder>,
}

/// Hash of a team's bearer key.
#[derive(Debug)]
struct Key {
    hash: blake3::Hash,
    team: id::Team,
}

/// State that is carried over from one snapshot to the next.
#[derive(Debug)]
pub struct Retained {
    registry: Registry,
    teams: HashMap<id::Team, Arc<AtomicU32>>,
    upstreams: HashSet<admission::Upstream>,
    usage: HashMap<String, Arc<usage::Usage>>,
}

/// Builds snapshots; the lock serialises concurrent builds.
pub type Builder = Mutex<Retained>;

/// Life cycle
impl Default for Retained {
    fn default() -> Retained {
        Retained {
            registry: Registry::new(prefix::Options { entries: PREFIXES_PER_REPLICA }),
            teams: HashMap::new(),
            upstreams: HashSet::new(),
            usage: HashMap::new(),
        }
    }
}

/// Maximum number of cached prefixes that are tracked for each replica.
const PREFIXES_PER_REPLICA: usize = 4_096;

/// Access
impl View {
    /// Returns the team of a bearer key.
    ///
    /// Compares the key with every known key in constant time, so that the time of an answer
    /// reveals nothing about them.
    pub fn find_team(&self, key: &str) -> Option<&id::Team> {
        let hash = blake3::hash(key.as_bytes());
        let matches = |it: &Key| bool::from(it.hash.as_bytes().ct_eq(hash.as_bytes()));
        self.keys.iter().fold(None, |found, it| if matches(it) { Some(&it.team) } else { found })
    }
}

/// Rebuilds the snapshot from the current configuration, hosts and replicas.
pub fn refresh(state: &state::State) {
    let mut kept = state.view_builder.lock().expect("no code panics while it has the lock");
    let catalog = state.catalog.load_full();
    let replicas = state.replicas.load();
    let hosts = state.hosts.load();
    let mut used = HashSet::new();
    let table = Table::build(
        &state.settings.domain,
        &replicas.routable,
        &catalog,
        &route::Exclusions::default(),
        &mut kept.registry,
    );
    kept.registry.retain(&replicas.routable);
    let slots: HashMap<id::Group, Arc<admission::Holder>> = table
        .candidates()
        .filter_map(|it| {
            let declared = catalog.models.get(&it.replica.service)?;
            let upstream = admission::replica_upstream(&it.replica.group, it.replica.generation);
            let limits = admission::Limits::from(declared);
            Some((it.replica.group.clone(), register_upstream(state, &mut used, upstream, limits)))
        })
        .collect();
    let plains: HashMap<id::Service, Vec<Host>> = catalog
        .plains
        .values()
        .map(|it| (it.name.clone(), plain_hosts(state, &mut used, it, &hosts.hosts, &catalog)))
        .collect();
    remove_unused(state, &mut kept.upstreams, used);
    let teams = team_counters(&catalog, &mut kept.teams);
    let keys = team_keys(&catalog);
    let usage = build_usage(&catalog, &table, &slots, &plains, &kept.usage);
    kept.usage.clone_from(&usage);
    state.view.store(Arc::new(View { catalog, table, slots, plains, usage, teams, keys }));
    state.slot_freed.notify_one();
}

/// Builds the slot usage of each declared model and plain service.
fn build_usage(
    catalog: &catalog::Catalog,
    table: &Table,
    slots: &HashMap<id::Group, Arc<admission::Holder>>,
    plains: &HashMap<id::Service, Vec<Host>>,
    former: &HashMap<String, Arc<usage::Usage>>,
) -> HashMap<String, Arc<usage::Usage>> {
    let mut upstreams: HashMap<String, Vec<usage::Upstream>> = HashMap::new();
    for model in catalog.models.values() {
        upstreams.entry(model.model.clone()).or_default();
    }
    for candidate in table.candidates() {
        let replica = &candidate.replica;
        let declared = catalog.models.get(&replica.service);
        let (Some(declared), Some(slots)) = (declared, slots.get(&replica.group)) else { continue };
        let upstream = usage::Upstream {
            slots: Arc::clone(slots),
            limits: declared.into(),
            gauge: Some(Arc::clone(&candidate.gauge)),
        };
        upstreams.entry(replica.model.clone()).or_default().push(upstream);
    }
    for service in catalog.plains.values() {
        let hosts = plains.get(&service.name).map_or(&[][..], Vec::as_slice);
        let upstream = |it: &Host| usage::Upstream {
            slots: Arc::clone(&it.slots),
            limits: service.into(),
            gauge: None,
        };
        upstreams.entry(service.name.clone()).or_default().extend(hosts.iter().map(upstream));
    }
    let usage = |(name, upstreams): (String, Vec<usage::Upstream>)| {
        let former = former.get(&name).map(AsRef::as_ref);
        let usage = usage::Usage::new(&catalog.teams, upstreams, former);
        (name, Arc::new(usage))
    };
    upstreams.into_iter().map(usage).collect()
}

/// Returns the live hosts of a plain service in this failure domain; none while the domain is out
/// of service.
fn plain_hosts(
    state: &state::State,
    used: &mut HashSet<admission::Upstream>,
    service: &catalog::Plain,
    hosts: &[host::Entry],
    catalog: &catalog::Catalog,
) -> Vec<Host> {
    let domain = &state.settings.domain;
    if !catalog.in_service(domain) {
        return Vec::new();
    }
    let usable = |it: &&host::Entry| {
        it.role == host::Role::Plain
            && it.service == service.name
            && it.domain == *domain
            && it.state == host::State::Live
            && !catalog.drained.contains(&it.host)
    };
    let plain = |it: &host::Entry| Host {
        host: it.host.clone(),
        address: it.address.clone(),
        slots: register_upstream(state, used, it.host.clone(), admission::Limits::from(service)),
    };
    hosts.iter().filter(usable).map(plain).collect()
}

/// Registers an upstream at the admission controller and marks it as used.
fn register_upstream(
    state: &state::State,
    used: &mut HashSet<admission::Upstream>,
    upstream: admission::Upstream,
    limits: admission::Limits,
) -> Arc<admission::Holder> {
    let options = admission::Options::new(limits);
    let holder = state.admission().set_upstream(state.now(), &upstream, options);
    used.insert(upstream);
    holder
}

/// Removes the upstreams that are no longer used and run no request of this node.
fn remove_unused(
    state: &state::State,
    known: &mut HashSet<admission::Upstream>,
    mut used: HashSet<admission::Upstream>,
) {
    let mut admission = state.admission();
    for upstream in known.difference(&used).cloned().collect::<Vec<_>>() {
        if admission.holder(&upstream).is_some_and(|it| it.in_use() > 0) {
            used.insert(upstream);
        } else {
            admission.remove_upstream(&upstream);
        }
    }
    *known = used;
}

/// Returns the counters of the declared teams; known teams keep theirs.
fn team_counters(
    catalog: &catalog::Catalog,
    known: &mut HashMap<id::Team, Arc<AtomicU32>>,
) -> HashMap<id::Team, Arc<AtomicU32>> {
    known.retain(|it, _| catalog.teams.contains_key(it));
    for team in catalog.teams.keys() {
        known.entry(team.clone()).or_default();
    }
    known.clone()
}

/// Collects the keys of all teams; hashes that are not valid are skipped.
fn team_keys(catalog: &catalog::Catalog) -> Vec<Key> {
    let of_team = |team: &catalog::Team| {
        let hashes = team.keys.iter().filter_map(|it| blake3::Hash::from_hex(it).ok());
        let team = team.name.clone();
        hashes.map(move |hash| Key { hash, team: team.clone() }).collect::<Vec<_>>()
    };
    catalog.teams.values().flat_map(of_team).collect()
}

//! The snapshot that requests read: configuration, keys, replicas and plain hosts.

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

/// What requests read; replaced as a whole.
#[derive(Debug, Default)]
pub struct View {
    /// Configuration in force.
    pub catalog: Arc<catalog::Catalog>,
    /// Replicas that may be routed to.
    pub table: Table,
    /// Slots of each replica, by group.
    pub slots: HashMap<id::Group, Arc<admission::Holder>>,
    /// Hosts of each plain service.
    pub plains: HashMap<id::Service, Vec<Host>>,
    /// Use of each model and plain service, by name.
    pub usage: HashMap<String, Arc<usage::Usage>>,
    /// Requests in flight of each team.
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

/// A team's bearer key.
#[derive(Debug)]
struct Key {
    hash: blake3::Hash,
    team: id::Team,
}

/// What is kept from one snapshot to the next.
#[derive(Debug)]
pub struct Retained {
    registry: Registry,
    teams: HashMap<id::Team, Arc<AtomicU32>>,
    upstreams: HashSet<admission::Upstream>,
    usage: HashMap<String, Arc<usage::Usage>>,
}

/// Makes snapshots, one at a time.
pub type Builder = Mutex<Retained>;

/// Life cycle
impl Default for Retained {
    fn default() -> Retained {
        Retained {
            registry: Registry::new(prefix::Options { entries: PREFIXES }),
            teams: HashMap::new(),
            upstreams: HashSet::new(),
            usage: HashMap::new(),
        }
    }
}

/// Prefixes that are remembered for each replica.
const PREFIXES: usize = 4_096;

/// Access
impl View {
    /// Finds the team of a bearer key; compares with every key, in constant time.
    pub fn find_team(&self, key: &str) -> Option<&id::Team> {
        let hash = blake3::hash(key.as_bytes());
        let matches = |it: &Key| bool::from(it.hash.as_bytes().ct_eq(hash.as_bytes()));
        self.keys.iter().fold(None, |found, it| if matches(it) { Some(&it.team) } else { found })
    }
}

/// Replaces the snapshot by one of the present configuration, hosts and replicas.
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
            Some((it.replica.group.clone(), holder(state, &mut used, upstream, limits)))
        })
        .collect();
    let plains: HashMap<id::Service, Vec<Host>> = catalog
        .plains
        .values()
        .map(|it| (it.name.clone(), plain_hosts(state, &mut used, it, &hosts.hosts, &catalog)))
        .collect();
    forget(state, &mut kept.upstreams, used);
    let teams = teams(&catalog, &mut kept.teams);
    let keys = keys(&catalog);
    let usage = use_of_all(&catalog, &table, &slots, &plains, &kept.usage);
    kept.usage.clone_from(&usage);
    state.view.store(Arc::new(View { catalog, table, slots, plains, usage, teams, keys }));
    state.slot_freed.notify_one();
}

/// Use of each declared model and plain service.
fn use_of_all(
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

/// Live hosts of a plain service in this failure domain.
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
        slots: holder(state, used, it.host.clone(), admission::Limits::from(service)),
    };
    hosts.iter().filter(usable).map(plain).collect()
}

fn holder(
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

/// Forgets the upstreams that are no longer used and run no request of this node.
fn forget(
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

/// Counters of the declared teams; those of known teams are kept.
fn teams(
    catalog: &catalog::Catalog,
    known: &mut HashMap<id::Team, Arc<AtomicU32>>,
) -> HashMap<id::Team, Arc<AtomicU32>> {
    known.retain(|it, _| catalog.teams.contains_key(it));
    for team in catalog.teams.keys() {
        known.entry(team.clone()).or_default();
    }
    known.clone()
}

fn keys(catalog: &catalog::Catalog) -> Vec<Key> {
    let of_team = |team: &catalog::Team| {
        let hashes = team.keys.iter().filter_map(|it| blake3::Hash::from_hex(it).ok());
        let team = team.name.clone();
        hashes.map(move |hash| Key { hash, team: team.clone() }).collect::<Vec<_>>()
    };
    catalog.teams.values().flat_map(of_team).collect()
}

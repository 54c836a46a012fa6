//! What the control tasks know: declarations, hosts and their losses.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use cuminward_adapter::{catalog as declared, host as listed, topic};
use cuminward_event::{kind::Kind, sink::Sink};
use cuminward_serving::{
    catalog, engine, host, id, loss,
    replica::{self, Group},
    slowdown,
    table::{Record, Table},
};

use super::{
    gauge::Gauge,
    view::{self, Member, Pool, Upstream, View},
};

/// What a node knows.
pub(crate) struct Knowledge {
    node: id::Node,
    events: Arc<Sink>,
    /// Declarations as they were written.
    pub(crate) declarations: Table,
    /// The list of hosts as they wrote it.
    pub(crate) listing: Table,
    pub(crate) catalog: Option<Arc<catalog::Catalog>>,
    pub(crate) evacuated: BTreeSet<id::Domain>,
    pub(crate) hosts: BTreeMap<id::Host, host::Host>,
    /// Until when hosts are cold.
    cold: BTreeMap<id::Host, Duration>,
    /// Hosts that don't answer.
    losses: loss::Tracker,
    /// Hosts that are slow.
    paces: slowdown::Tracker,
    gauges: HashMap<String, Arc<Gauge>>,
}

/// Life cycle
impl Knowledge {
    /// Knows nothing yet.
    pub(crate) fn new(node: id::Node, events: Arc<Sink>) -> Knowledge {
        Knowledge {
            node,
            events,
            declarations: Table::default(),
            listing: Table::default(),
            catalog: None,
            evacuated: BTreeSet::new(),
            hosts: BTreeMap::new(),
            cold: BTreeMap::new(),
            losses: loss::Tracker::default(),
            paces: slowdown::Tracker::default(),
            gauges: HashMap::new(),
        }
    }
}

/// Access
impl Knowledge {
    /// Hosts that don't answer.
    pub(crate) fn lost(&self, now: Duration) -> BTreeSet<id::Host> {
        self.losses.lost_hosts(now)
    }

    /// Services with a model engine.
    pub(crate) fn engines(&self) -> Vec<(id::Service, engine::Engine)> {
        let Some(catalog) = &self.catalog else { return Vec::new() };
        let engines = catalog.services.iter();
        engines.filter_map(|(name, it)| Some((name.clone(), it.engine.clone()?))).collect()
    }

    /// Hosts of a service.
    pub(crate) fn hosts_of(&self, service: &str) -> BTreeMap<id::Host, host::Host> {
        let hosts = self.hosts.iter().filter(|(_, it)| it.service == service);
        hosts.map(|(id, it)| (id.clone(), it.clone())).collect()
    }
}

/// Mutation
impl Knowledge {
    /// Takes in a declaration; tells whether anything changed.
    pub(crate) fn declare(&mut self, record: &Record) -> bool {
        if !self.declarations.apply(record.clone()) {
            return false;
        }
        self.read_declaration(&record.key, record.value.as_deref());
        true
    }

    /// Takes in all declarations up to an offset.
    pub(crate) fn declare_all(&mut self, records: Vec<Record>, end: id::Offset) {
        for record in &records {
            self.declare(record);
        }
        for key in self.declarations.apply_snapshot(records, end) {
            self.read_declaration(&key, None);
        }
    }

    fn read_declaration(&mut self, key: &str, value: Option<&[u8]>) {
        if let Some(domain) = topic::evacuated_domain(key) {
            let (is_new, state) = match value {
                Some(_) => (self.evacuated.insert(domain.to_owned()), "out"),
                None => (self.evacuated.remove(domain), "in"),
            };
            if is_new {
                let (domain, state) = (domain.to_owned(), state.to_owned());
                self.events.emit(Kind::DomainSwitched { domain, state });
            }
            return;
        }
        let Some(value) = value.filter(|_| key == topic::CATALOG_KEY) else { return };
        let offset = self.declarations.end().saturating_sub(1);
        match declared::decode(value) {
            Ok(catalog) => self.set_catalog(catalog, offset),
            Err(error) => {
                let cause = error.to_string();
                self.events.emit(Kind::CatalogUnreadable { offset, cause });
            }
        }
    }

    fn set_catalog(&mut self, catalog: catalog::Catalog, offset: id::Offset) {
        if self.catalog.as_ref().is_none_or(|it| it.version < catalog.version) {
            let (version, routes) = (catalog.version, catalog.routes.len() as u64);
            self.events.emit(Kind::CatalogInForce { version, routes, offset });
            self.catalog = Some(Arc::new(catalog));
        }
    }

    /// Takes in an entry of the list of hosts; tells whether anything changed.
    pub(crate) fn list(&mut self, now: Duration, record: &Record) -> bool {
        if !self.listing.apply(record.clone()) {
            return false;
        }
        self.read_entry(now, &record.key, record.value.as_deref());
        true
    }

    /// Takes in the whole list of hosts up to an offset.
    pub(crate) fn list_all(&mut self, now: Duration, records: Vec<Record>, end: id::Offset) {
        for record in &records {
            self.list(now, record);
        }
        for key in self.listing.apply_snapshot(records, end) {
            self.read_entry(now, &key, None);
        }
    }

    fn read_entry(&mut self, now: Duration, id: &str, value: Option<&[u8]>) {
        let Some(value) = value else {
            self.paces.forget(id);
            if self.hosts.remove(id).is_some() {
                self.events.emit(Kind::HostUnlisted { host: id.to_owned() });
            }
            return;
        };
        log::trace!("entry of host {id}: {}", String::from_utf8_lossy(value));
        match listed::decode(id, value) {
            Ok(host) => self.set_host(now, host),
            Err(error) => {
                let (host, cause) = (id.to_owned(), error.to_string());
                self.events.emit(Kind::HostUnreadable { host, cause });
                self.hosts.remove(id);
            }
        }
    }

    fn set_host(&mut self, now: Duration, mut host: host::Host) {
        let id = host.id.clone();
        if host.cold_left > Duration::ZERO {
            self.cold.insert(id.clone(), now + host.cold_left);
        }
        let known = self.hosts.get(&id).filter(|it| it.started_ms == host.started_ms);
        if known.is_none() {
            self.losses.clear_loss(&id);
            self.paces.forget(&id);
        }
        host.slowdown = self.paces.factor(&id);
        self.hosts.insert(id, host);
    }

    /// Notes how slow a host is, which is to be asked again after `interval` if it is slow; tells whether
    /// that is new.
    pub(crate) fn set_pace(
        &mut self,
        now: Duration,
        id: &str,
        pace: slowdown::Factor,
        interval: Duration,
    ) -> bool {
        let Some(host) = self.hosts.get_mut(id) else { return false };
        let is_new = self.paces.record(now, id, pace, interval);
        host.slowdown = self.paces.factor(id);
        is_new
    }

    /// Notes that a host didn't answer and is to be asked again after `interval`; tells whether that is
    /// new.
    pub(crate) fn lose(&mut self, now: Duration, id: &str, interval: Duration) -> bool {
        self.losses.record_loss(now, id, interval)
    }

    /// Notes that another node says that a host is lost; tells whether the host is to be asked.
    pub(crate) fn hear(&mut self, now: Duration, id: &str) -> bool {
        self.losses.record_report(now, id)
    }

    /// Tells whether another node said lately that a host is lost.
    pub(crate) fn is_heard(&self, now: Duration, id: &str) -> bool {
        self.losses.has_recent_report(now, id)
    }

    /// Notes that a host answers; tells whether it counted as lost.
    pub(crate) fn find(&mut self, id: &str) -> bool {
        self.losses.clear_loss(id)
    }

    /// Forgets losses that weren't confirmed; tells whether there were any.
    pub(crate) fn expire_losses(&mut self, now: Duration) -> bool {
        self.losses.expire(now)
    }

    /// Lost and slow hosts that are still listed and have to be asked again now, and every `interval`.
    pub(crate) fn due_questions(&mut self, now: Duration, interval: Duration) -> Vec<Member> {
        let slow = self.paces.take_due_probes(now, interval);
        let due = self.losses.take_due_probes(now, interval).into_iter().chain(slow);
        due.filter_map(|host| {
            let address = self.hosts.get(&host)?.address.clone();
            Some(Member { host, address })
        })
        .collect()
    }

    /// Makes the view of requests.
    pub(crate) fn view(&mut self, now: Duration) -> View {
        let Some(catalog) = self.catalog.clone() else { return View::default() };
        let lost = self.lost(now);
        let mut services: HashMap<id::Service, Pool> = HashMap::new();
        for (name, service) in &catalog.services {
            let pool = match &service.engine {
                Some(engine) => self.replicas(now, name, service, engine, &lost),
                None => self.plain(now, name, service),
            };
            services.insert(name.clone(), pool);
        }
        let view = View::new(catalog, services);
        let used: BTreeSet<String> = view.all().map(|it| it.name.clone()).collect();
        self.gauges.retain(|name, it| used.contains(name) || it.in_flight() > 0);
        view
    }

    fn replicas(
        &mut self,
        now: Duration,
        name: &str,
        service: &catalog::Service,
        engine: &engine::Engine,
        lost: &BTreeSet<id::Host>,
    ) -> Pool {
        let hosts: Vec<host::Host> =
            self.hosts.values().filter(|it| it.service == name).cloned().collect();
        let mut pool = Pool::default();
        for model in &engine.models {
            pool.models.insert(model.name.clone(), Vec::new());
        }
        for group in replica::find_groups(&hosts) {
            let Some(model) = group.declared_model(engine) else { continue };
            let is_usable = group.is_open(model.size)
                && group.is_staying()
                && !group.members.values().any(|it| lost.contains(&it.id));
            let Some(head) = group.head().filter(|_| is_usable) else { continue };
            if self.evacuated.contains(&head.domain) {
                continue;
            }
            let upstream = self.replica(now, service, engine, &group, head);
            if let Some(replicas) = pool.models.get_mut(&model.name) {
                replicas.push(Arc::new(upstream));
            }
        }
        pool
    }

    fn replica(
        &mut self,
        now: Duration,
        service: &catalog::Service,
        engine: &engine::Engine,
        group: &Group<'_>,
        head: &host::Host,
    ) -> Upstream {
        let name = format!("{}/{}", group.name, group.epoch);
        let members = group.members.values();
        let members = members.map(|it| Member { host: it.id.clone(), address: it.address.clone() });
        let key = view::key(&name);
        Upstream {
            key,
            affinity: view::affinity(&self.node, key),
            host: head.id.clone(),
            address: head.address.clone(),
            domain: head.domain.clone(),
            slots: engine.slots,
            members: members.collect(),
            pace: group.members.values().map(|it| it.slowdown).fold(slowdown::NORMAL, f64::max),
            cold_rate: service.cold_rate,
            gauge: self.gauge(now, &name, &head.id),
            name,
        }
    }

    fn plain(&mut self, now: Duration, name: &str, service: &catalog::Service) -> Pool {
        let usable = self.hosts.values().filter(|it| {
            it.service == name
                && it.state == host::State::Ready
                && !self.evacuated.contains(&it.domain)
        });
        let hosts: Vec<host::Host> = usable.cloned().collect();
        let mut pool = Pool::default();
        for host in hosts {
            let name = format!("{}/{}", host.id, host.started_ms);
            let member = Member { host: host.id.clone(), address: host.address.clone() };
            let key = view::key(&name);
            pool.plain.push(Arc::new(Upstream {
                key,
                affinity: view::affinity(&self.node, key),
                gauge: self.gauge(now, &name, &host.id),
                name,
                host: host.id,
                address: host.address,
                domain: host.domain,
                slots: host.slots,
                members: vec![member],
                pace: slowdown::NORMAL,
                cold_rate: service.cold_rate,
            }));
        }
        pool
    }

    fn gauge(&mut self, now: Duration, name: &str, host: &str) -> Arc<Gauge> {
        let gauge = Arc::clone(self.gauges.entry(name.to_owned()).or_default());
        if let Some(until) = self.cold.get(host).filter(|until| **until > now) {
            gauge.set_cold(*until);
        }
        gauge
    }
}

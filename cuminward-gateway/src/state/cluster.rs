//! Newest known state of the cluster: declarations, hosts, and which hosts are lost or slow.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use cuminward_adapter::host as host_record;
use cuminward_event::{kind::Kind, sink::Sink};
use cuminward_serving::{
    catalog, departure, engine,
    freshness::Watermark,
    host, id, leaving, loss, nodes,
    position::Position,
    replica::{self, Group},
    restore, slowdown,
    table::{Batch, Record, Table},
};

use crate::settings;

use super::{
    declarations::Declarations,
    notices,
    routing::{self, Key, Member, Pool, Snapshot, Upstream},
    stats::Stats,
};

/// Newest known state of the cluster.
pub(crate) struct Cluster {
    node: id::Node,
    events: Arc<Sink>,
    /// Bound on the requests to cold hosts.
    pub(crate) cold: settings::Cold,
    /// All nodes.
    pub(crate) nodes: nodes::List,
    /// When the store came back from an older copy.
    restore: restore::Watch,
    /// Newest known declarations.
    pub(crate) declarations: Declarations,
    /// Newest records of the host list, as the hosts wrote them.
    pub(crate) host_list: Table,
    /// How fresh the declarations and the host list are.
    pub(crate) freshness: Freshness,
    pub(crate) hosts: BTreeMap<id::Host, host::Host>,
    /// Whether hosts came, left or changed their address since the last call of
    /// [`Cluster::take_changed_addresses`].
    are_addresses_changed: bool,
    /// Hosts that are leaving or have left.
    departures: departure::Tracker,
    /// Hosts that have left and are listed again since the store came back from an older copy.
    withheld: BTreeSet<id::Host>,
    /// Time until which each host is cold, since the node's start.
    cold_until: BTreeMap<id::Host, Duration>,
    /// Hosts that don't answer.
    losses: loss::Tracker,
    /// Hosts that are slow.
    slowdowns: slowdown::Tracker,
    /// Hosts that said that they are leaving.
    leaving: leaving::Tracker,
    /// What hosts say of themselves, by host and start.
    notices: HashMap<Key, Arc<notices::Host>>,
    /// Load and health of upstreams, by name.
    stats: HashMap<String, Arc<Stats>>,
}

/// How fresh a node's copies of the topics are.
#[derive(Debug, Clone, Default)]
pub(crate) struct Freshness {
    pub(crate) declarations: Watermark,
    pub(crate) listing: Watermark,
}

/// Life cycle
impl Cluster {
    /// Creates a state without any records.
    pub(crate) fn new(node: id::Node, cold: settings::Cold, events: Arc<Sink>) -> Cluster {
        Cluster {
            nodes: nodes::List::new(node.clone()),
            node,
            declarations: Declarations::new(Arc::clone(&events)),
            events,
            cold,
            restore: restore::Watch::default(),
            host_list: Table::default(),
            freshness: Freshness::default(),
            hosts: BTreeMap::new(),
            are_addresses_changed: false,
            departures: departure::Tracker::default(),
            withheld: BTreeSet::new(),
            cold_until: BTreeMap::new(),
            losses: loss::Tracker::default(),
            slowdowns: slowdown::Tracker::default(),
            leaving: leaving::Tracker::default(),
            notices: HashMap::new(),
            stats: HashMap::new(),
        }
    }
}

/// Access
impl Cluster {
    /// Returns the hosts that count as lost.
    pub(crate) fn lost_hosts(&self, now: Duration) -> BTreeSet<id::Host> {
        self.losses.lost_hosts(now)
    }

    /// Returns the lost hosts that won't go on, as far as that is known.
    pub(crate) fn gone_hosts(&self, now: Duration) -> BTreeSet<id::Host> {
        self.losses.gone_hosts(now, self.hosts.len())
    }

    /// Returns whether the host list may contain entries of before, as the store has just come back from an
    /// older copy.
    pub(crate) fn is_host_list_unsettled(&self, now: Duration) -> bool {
        self.restore.is_within(now, restore::HOST_GRACE)
    }

    /// Returns the hosts that didn't answer a recent probe of this node.
    pub(crate) fn probed_losses(&self, now: Duration) -> Vec<id::Host> {
        self.losses.probed_losses(now).cloned().collect()
    }

    /// Returns whether this node is one of the nodes that probe a host while it is lost.
    pub(crate) fn is_prober(&self, host: &str) -> bool {
        self.nodes.rank(routing::key(host)) < loss::PROBERS
    }

    /// Iterates over what hosts say of themselves, by host and start.
    pub(crate) fn all_notices(&self) -> impl Iterator<Item = (Key, &Arc<notices::Host>)> {
        self.notices.iter().map(|(key, it)| (*key, it))
    }

    /// Returns what a start of a host says of itself.
    pub(crate) fn notices_of(&self, key: Key) -> Option<Arc<notices::Host>> {
        self.notices.get(&key).cloned()
    }

    /// Returns the hosts that said that they are leaving.
    pub(crate) fn leaving_hosts(&self) -> &leaving::Tracker {
        &self.leaving
    }

    /// Returns the services that have a model engine, with their engines.
    pub(crate) fn engines(&self) -> Vec<(id::Service, engine::Engine)> {
        let Some(catalog) = &self.declarations.catalog else { return Vec::new() };
        let engines = catalog.services.iter();
        engines.filter_map(|(name, it)| Some((name.clone(), it.engine.clone()?))).collect()
    }

    /// Returns the hosts of a service.
    pub(crate) fn hosts_of(&self, service: &str) -> BTreeMap<id::Host, host::Host> {
        let hosts = self.hosts.iter().filter(|(_, it)| it.service == service);
        hosts.map(|(id, it)| (id.clone(), it.clone())).collect()
    }
}

/// Mutation
impl Cluster {
    /// Applies a record of a declaration. Returns whether it is newer than the known one.
    pub(crate) fn apply_declaration(&mut self, now: Duration, record: &Record) -> bool {
        self.restore.observe(now, record.position.era);
        self.declarations.apply(record)
    }

    /// Replaces all declarations by the complete list of the newest records before the position `end`.
    pub(crate) fn replace_declarations(
        &mut self,
        now: Duration,
        records: Vec<Record>,
        end: Position,
    ) {
        self.restore.observe(now, end.era);
        self.declarations.replace(records, end);
    }

    /// Applies what another node has of the declarations. Returns whether anything changed.
    pub(crate) fn apply_declarations(&mut self, now: Duration, batch: Batch) -> bool {
        if let Some(end) = batch.whole_before {
            self.replace_declarations(now, batch.records, end);
            return true;
        }
        let records = batch.records.iter();
        records.fold(false, |changed, it| self.apply_declaration(now, it) | changed)
    }

    /// Applies what another node has of the host list. Returns whether anything changed.
    pub(crate) fn apply_listing(&mut self, now: Duration, batch: Batch) -> bool {
        if let Some(end) = batch.whole_before {
            self.replace_host_list(now, batch.records, end);
            return true;
        }
        let records = batch.records.iter();
        records.fold(false, |changed, it| self.apply_host_record(now, it) | changed)
    }

    /// Applies records that don't tell what else was deleted, as nodes of earlier builds send them. The copies
    /// count as complete only up to where they were. Returns whether anything changed.
    pub(crate) fn apply_incomplete(
        &mut self,
        now: Duration,
        declarations: Batch,
        listing: Batch,
    ) -> bool {
        if !declarations.records.is_empty() {
            self.declarations.withhold();
        }
        if !listing.records.is_empty() {
            let end = self.host_list.end();
            self.host_list.withhold(end);
        }
        let is_changed = self.apply_declarations(now, declarations);
        self.apply_listing(now, listing) | is_changed
    }

    /// Records that the declarations are complete up to the moment `at`, unless some may be lacking.
    pub(crate) fn confirm_declarations(&mut self, at: Duration) {
        if !self.declarations.is_withholding() {
            self.freshness.declarations.advance(at, self.declarations.end());
        }
    }

    /// Records that the host list is complete up to the moment `at`, unless records of it are withheld.
    pub(crate) fn confirm_listing(&mut self, at: Duration) {
        if !self.host_list.is_withholding() {
            self.freshness.listing.advance(at, self.host_list.end());
        }
    }

    /// Removes what nobody wrote again in time after the store came back from an older copy. Returns whether
    /// anything changed.
    pub(crate) fn drop_former_eras(&mut self, now: Duration) -> bool {
        let mut is_changed = false;
        if !self.restore.is_within(now, restore::DECLARATION_GRACE) {
            is_changed |= self.declarations.drop_former_eras();
        }
        if !self.restore.is_within(now, restore::HOST_GRACE) {
            let dropped = self.host_list.drop_former_eras(|_| true);
            is_changed |= !dropped.is_empty();
            for host in dropped {
                self.process_host_record(now, &host, None);
            }
        }
        if !self.restore.is_within(now, restore::DEPARTURE_GRACE) {
            is_changed |= self.apply_withheld(now);
        }
        is_changed
    }

    /// Applies the entries that were withheld.
    fn apply_withheld(&mut self, now: Duration) -> bool {
        let withheld = std::mem::take(&mut self.withheld);
        for id in &withheld {
            let Some(record) = self.host_list.record(id) else { continue };
            self.process_host_record(now, id, record.value.as_deref());
        }
        !withheld.is_empty()
    }

    /// Applies a record of the host list. Returns whether it is newer than the known one.
    pub(crate) fn apply_host_record(&mut self, now: Duration, record: &Record) -> bool {
        self.restore.observe(now, record.position.era);
        if !self.host_list.apply(record.clone()) {
            return false;
        }
        self.process_host_record(now, &record.key, record.value.as_deref());
        true
    }

    /// Replaces the host list by the complete list of the newest records before the position `end`.
    pub(crate) fn replace_host_list(&mut self, now: Duration, records: Vec<Record>, end: Position) {
        self.restore.observe(now, end.era);
        for record in &records {
            self.apply_host_record(now, record);
        }
        for key in self.host_list.apply_snapshot(records, end) {
            self.process_host_record(now, &key, None);
        }
    }

    fn process_host_record(&mut self, now: Duration, id: &str, value: Option<&[u8]>) {
        let Some(value) = value else {
            self.slowdowns.forget(id);
            if let Some(host) = self.hosts.remove(id) {
                self.are_addresses_changed = true;
                self.departures.record(now, &host);
                self.events.emit(Kind::HostRemoved { host: id.to_owned() });
            }
            return;
        };
        log::trace!("record of host {id}: {}", String::from_utf8_lossy(value));
        match host_record::decode(id, value) {
            Ok(host) => self.set_host(now, host),
            Err(error) => {
                let (host, cause) = (id.to_owned(), error.to_string());
                self.events.emit(Kind::HostEntryInvalid { host, cause });
                self.are_addresses_changed |= self.hosts.remove(id).is_some();
            }
        }
    }

    fn set_host(&mut self, now: Duration, mut host: host::Host) {
        let id = host.id.clone();
        if self.departures.contradicts(&host) {
            if self.restore.is_within(now, restore::DEPARTURE_GRACE) {
                // The entry may be one of before, which the store has again.
                self.withheld.insert(id);
                return;
            }
            self.departures.forget(&id);
        }
        if host.state == host::State::Draining {
            self.departures.record(now, &host);
        }
        if host.cold_left > Duration::ZERO {
            self.cold_until.insert(id.clone(), now + host.cold_left);
        }
        let known = self.hosts.get(&id).filter(|it| it.started_ms == host.started_ms);
        if known.is_none() {
            self.losses.clear_loss(&id);
            self.slowdowns.forget(&id);
        }
        host.slowdown = self.slowdowns.factor(&id);
        self.apply_leaving(&mut host);
        let address = host.address.clone();
        let former = self.hosts.insert(id, host);
        self.are_addresses_changed |= former.is_none_or(|it| it.address != address);
    }

    /// Makes a host draining if it said that it is leaving, whatever its entry says. A newer start ends that.
    fn apply_leaving(&mut self, host: &mut host::Host) {
        if self.leaving.contains(&host.id, host.started_ms) {
            host.state = host::State::Draining;
        } else if self.leaving.clear_earlier(host) {
            let (host, start) = (host.id.clone(), host.started_ms);
            self.events.emit(Kind::HostReturned { host, start });
        }
    }

    /// Records that a start of a host is leaving. Returns whether that is new; it isn't if a newer start is listed.
    pub(crate) fn mark_leaving(&mut self, now: Duration, start: &leaving::Start) -> bool {
        let listed = self.hosts.get_mut(&start.host);
        if listed.as_ref().is_some_and(|it| it.started_ms > start.started_ms) {
            return false;
        }
        if !self.leaving.record(now, start) {
            return false;
        }
        if let Some(host) = listed {
            host.state = host::State::Draining;
        }
        if let Some(it) = self.notices.get(&notices::key(&start.host, start.started_ms)) {
            it.mark_leaving();
        }
        true
    }

    /// Records the slowdown factor that a host reported. A slow host is probed again after `interval`.
    /// Returns whether the known factor changed.
    pub(crate) fn set_slowdown(
        &mut self,
        now: Duration,
        id: &str,
        slowdown: slowdown::Factor,
        interval: Duration,
    ) -> bool {
        let Some(host) = self.hosts.get_mut(id) else { return false };
        let is_changed = self.slowdowns.record(now, id, slowdown, interval);
        host.slowdown = self.slowdowns.factor(id);
        is_changed
    }

    /// Returns the hosts by address if any of these changed since the last call.
    pub(crate) fn take_changed_addresses(&mut self) -> Option<HashMap<String, id::Host>> {
        let hosts = self.hosts.iter().map(|(id, it)| (it.address.clone(), id.clone()));
        std::mem::take(&mut self.are_addresses_changed).then(|| hosts.collect())
    }

    /// Marks a host as lost because it didn't answer, or refused a connection; it is probed again after
    /// `interval`. Returns whether it didn't count as lost before.
    pub(crate) fn mark_lost(
        &mut self,
        now: Duration,
        id: &str,
        is_refusal: bool,
        interval: Duration,
    ) -> bool {
        if is_refusal {
            self.losses.record_refusal(now, id, interval)
        } else {
            self.losses.record_loss(now, id, interval)
        }
    }

    /// Records that another node reported a host as lost. Returns whether this node should probe the
    /// host.
    pub(crate) fn record_reported_loss(&mut self, now: Duration, id: &str) -> bool {
        self.losses.record_report(now, id)
    }

    /// Records that another node no longer reports a host as lost. Returns whether the host counted as lost
    /// until now.
    pub(crate) fn withdraw_reported_loss(&mut self, now: Duration, id: &str) -> bool {
        self.losses.record_withdrawal(now, id)
    }

    /// Returns whether another node recently reported a host as lost.
    pub(crate) fn is_reported_lost(&self, now: Duration, id: &str) -> bool {
        self.losses.has_recent_report(now, id)
    }

    /// Removes all losses that this node found. Returns whether there were any.
    pub(crate) fn clear_losses(&mut self) -> bool {
        self.losses.clear()
    }

    /// Records that a host has answered. Returns whether it counted as lost before.
    pub(crate) fn mark_reachable(&mut self, id: &str) -> bool {
        self.losses.clear_loss(id)
    }

    /// Removes losses that no probe confirmed in time. Returns whether there were any.
    pub(crate) fn expire_losses(&mut self, now: Duration) -> bool {
        self.losses.expire(now)
    }

    /// Returns the lost and slow hosts in the host list that are due for a probe of this node, and
    /// schedules their next one after `interval`. A steward probes all lost hosts.
    pub(crate) fn take_due_probes(
        &mut self,
        now: Duration,
        interval: Duration,
        is_steward: bool,
    ) -> Vec<Member> {
        let slow = self.slowdowns.take_due_probes(now, interval);
        let nodes = &self.nodes;
        let is_prober = |host: &str| is_steward || nodes.rank(routing::key(host)) < loss::PROBERS;
        let lost = self.losses.take_due_probes(now, interval, is_prober);
        let due = lost.into_iter().chain(slow);
        due.filter_map(|host| {
            let address = self.hosts.get(&host)?.address.clone();
            Some(Member { host, address })
        })
        .collect()
    }

    /// Creates the routing snapshot for requests.
    pub(crate) fn snapshot(&mut self, now: Duration) -> Snapshot {
        let Some(catalog) = self.declarations.catalog.clone() else { return Snapshot::default() };
        let lost = self.lost_hosts(now);
        let mut services: HashMap<id::Service, Pool> = HashMap::new();
        for (name, service) in &catalog.services {
            let pool = match &service.engine {
                Some(engine) => self.replica_pool(now, name, service, engine, &lost),
                None => self.plain_pool(now, name, service),
            };
            services.insert(name.clone(), pool);
        }
        let snapshot = Snapshot::new(catalog, services);
        let used: BTreeSet<String> = snapshot.routable().map(|it| it.name.clone()).collect();
        self.stats.retain(|name, it| used.contains(name) || it.in_flight() > 0);
        self.notices.retain(|_, it| {
            Arc::strong_count(it) > 1 || it.is_limited_lately(now) || it.is_paused(now)
        });
        snapshot
    }

    fn replica_pool(
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
            if self.declarations.evacuated.contains(&head.domain) {
                continue;
            }
            let upstream = self.replica_upstream(now, service, engine, &group, head);
            if let Some(replicas) = pool.models.get_mut(&model.name) {
                replicas.push(Arc::new(upstream));
            }
        }
        pool
    }

    fn replica_upstream(
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
        let key = routing::key(&name);
        Upstream {
            key,
            affinity: routing::affinity(&self.node, key),
            host: head.id.clone(),
            address: head.address.clone(),
            domain: head.domain.clone(),
            slots: engine.slots,
            members: members.collect(),
            slowdown: group.members.values().map(|it| it.slowdown).fold(slowdown::NORMAL, f64::max),
            cold_share: self.cold_share(now, service, &head.id),
            notices: self.notices(head),
            stats: self.upstream_stats(now, &name, &head.id),
            name,
        }
    }

    fn plain_pool(&mut self, now: Duration, name: &str, service: &catalog::Service) -> Pool {
        let usable = self.hosts.values().filter(|it| {
            it.service == name
                && it.state == host::State::Ready
                && !self.declarations.evacuated.contains(&it.domain)
        });
        let hosts: Vec<host::Host> = usable.cloned().collect();
        let mut pool = Pool::default();
        for host in hosts {
            let name = format!("{}/{}", host.id, host.started_ms);
            let member = Member { host: host.id.clone(), address: host.address.clone() };
            let key = routing::key(&name);
            pool.plain.push(Arc::new(Upstream {
                key,
                affinity: routing::affinity(&self.node, key),
                stats: self.upstream_stats(now, &name, &host.id),
                cold_share: self.cold_share(now, service, &host.id),
                notices: self.notices(&host),
                name,
                host: host.id,
                address: host.address,
                domain: host.domain,
                slots: host.slots,
                members: vec![member],
                slowdown: slowdown::NORMAL,
            }));
        }
        pool
    }

    /// Returns this node's share of the rate of requests that a host sustains while it is cold; `None` if
    /// the host is warm or its rate isn't limited.
    fn cold_share(&self, now: Duration, service: &catalog::Service, host: &str) -> Option<f64> {
        let rate = service.cold_rate?;
        self.cold_until.get(host).filter(|until| **until > now)?;
        Some(self.cold.limit(rate).share(self.nodes.standing(routing::key(host))))
    }

    /// Returns what the present start of a listed host says of itself.
    pub(crate) fn listed_notices(&mut self, id: &str) -> Option<Arc<notices::Host>> {
        let host = self.hosts.get(id)?.clone();
        Some(self.notices(&host))
    }

    /// Returns what the present start of a host says of itself.
    fn notices(&mut self, host: &host::Host) -> Arc<notices::Host> {
        let key = notices::key(&host.id, host.started_ms);
        if !self.notices.contains_key(&key) {
            let was_limited = self.notices.values().any(|it| it.is_limited_start_of(&host.id));
            let start = leaving::Start { host: host.id.clone(), started_ms: host.started_ms };
            self.notices.insert(key, Arc::new(notices::Host::new(start, was_limited)));
        }
        let notices = Arc::clone(&self.notices[&key]);
        if self.leaving.contains(&host.id, host.started_ms) {
            notices.mark_leaving();
        }
        if notices.is_limited() {
            notices.set_standing(self.nodes.standing(routing::key(&host.id)));
        }
        notices
    }

    fn upstream_stats(&mut self, now: Duration, name: &str, host: &str) -> Arc<Stats> {
        let stats = Arc::clone(self.stats.entry(name.to_owned()).or_default());
        if let Some(until) = self.cold_until.get(host).filter(|until| **until > now) {
            stats.set_cold_until(*until);
        }
        stats
    }
}

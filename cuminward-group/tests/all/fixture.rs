//! Fake hosts, and a driver that connects stewards to them and to an in-memory log of claims.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use cuminward_core::{catalog, host, id};
use cuminward_group::{order, steward};

/// A fake host that runs an engine.
#[derive(Debug, Clone)]
pub(crate) struct Host {
    pub(crate) report: host::Report,
    pub(crate) enforces: bool,
    pub(crate) up: bool,
}

impl Host {
    /// Carries out an order as the protocol requires; a host that ignores fencing tokens accepts every order.
    pub(crate) fn order(&mut self, order: &order::Order) -> steward::Answer {
        if self.enforces && order.fence < self.report.fence {
            return steward::Answer::Stale { fence: self.report.fence };
        }
        self.report.fence = self.report.fence.max(order.fence);
        let refused = |code: &str| steward::Answer::Refused { code: code.to_owned() };
        let present = self.report.membership.as_ref().map(|it| (&it.group, it.generation));
        match &order.action {
            order::Action::Fence => {}
            order::Action::Form(it) => match present {
                None => self.report.membership = Some(membership(it)),
                Some(key) if key == (&it.group, it.generation) => {}
                Some(_) if !self.enforces => self.report.membership = Some(membership(it)),
                Some(_) => return refused("in-group"),
            },
            order::Action::Release(it) if present == Some((&it.group, it.generation)) => {
                self.report.membership = None;
            }
            order::Action::Release(_) if !self.enforces => self.report.membership = None,
            order::Action::Release(_) => return refused("other-group"),
        }
        steward::Answer::Accepted(self.report.clone())
    }
}

fn membership(form: &order::Form) -> host::Membership {
    host::Membership {
        group: form.group.clone(),
        generation: form.generation,
        service: form.service.clone(),
        model: form.model.clone(),
        version: form.version.clone(),
        members: form.members.iter().map(|it| it.host.clone()).collect(),
        phase: host::Phase::Loading,
    }
}

/// Fake hosts of one failure domain and its stream of claims.
#[derive(Debug, Clone, Default)]
pub(crate) struct Cluster {
    pub(crate) hosts: BTreeMap<id::Host, Host>,
    pub(crate) claims: Vec<steward::claim::Claim>,
}

pub(crate) const DOMAIN: &str = "mercado";

impl Cluster {
    /// Makes `fabrics` fabric domains of `size` hosts; every `ignoring`th host ignores fencing.
    pub(crate) fn new(fabrics: usize, size: usize, ignoring: usize) -> Cluster {
        let mut cluster = Cluster::default();
        for number in 0..fabrics * size {
            let name = format!("f{}-h{}", number / size, number % size);
            let enforces = ignoring == 0 || number % ignoring != 0;
            let report = host::Report {
                host: name.clone(),
                incarnation: 1,
                fence: 0,
                membership: None,
                load: None,
            };
            cluster.hosts.insert(name, Host { report, enforces, up: true });
        }
        cluster
    }

    pub(crate) fn entries(&self) -> Vec<host::Entry> {
        let entry = |name: &id::Host| host::Entry {
            host: name.clone(),
            domain: DOMAIN.to_owned(),
            fabric: name.split('-').next().unwrap_or_default().to_owned(),
            address: format!("{name}:1"),
            role: host::Role::Engine,
            service: String::new(),
            state: host::State::Live,
        };
        self.hosts.keys().map(entry).collect()
    }

    pub(crate) fn catalog(&self, services: &[(&str, u32, u32)]) -> Arc<catalog::Catalog> {
        let mut catalog = catalog::Catalog::default();
        for (name, it) in &self.hosts {
            let fencing =
                if it.enforces { catalog::Fencing::Enforced } else { catalog::Fencing::Ignored };
            let traits = catalog::Traits { host: name.clone(), fencing, fabric: None };
            catalog.hosts.insert(name.clone(), traits);
        }
        catalog.domains.insert(DOMAIN.to_owned(), domain());
        for (name, size, count) in services {
            catalog.models.insert((*name).to_owned(), model(name, *size, *count));
        }
        Arc::new(catalog)
    }

    pub(crate) fn observations(&self, at: Duration) -> BTreeMap<id::Host, host::Observation> {
        let up = self.hosts.iter().filter(|it| it.1.up);
        let seen = |it: &Host| host::Observation { report: it.report.clone(), at };
        up.map(|(name, it)| (name.clone(), seen(it))).collect()
    }

    /// Turns the members of complete formations ready, and ready members of incomplete formations broken.
    pub(crate) fn advance(&mut self) {
        let before = self.hosts.clone();
        for it in self.hosts.values_mut() {
            let Some(own) = &mut it.report.membership else { continue };
            let inside = |name: &id::Host| {
                let other = before.get(name).filter(|it| it.up);
                let other = other.and_then(|it| it.report.membership.as_ref());
                other.is_some_and(|it| (&it.group, it.generation) == (&own.group, own.generation))
            };
            let is_complete = own.members.iter().all(inside);
            own.phase = match (own.phase, is_complete) {
                (host::Phase::Loading, true) => host::Phase::Ready,
                (host::Phase::Ready, false) => host::Phase::Broken,
                (phase, _) => phase,
            };
        }
    }
}

fn domain() -> catalog::Domain {
    catalog::Domain {
        name: DOMAIN.to_owned(),
        region: "sacatepequez".to_owned(),
        service: catalog::Availability::InService,
    }
}

pub(crate) fn model(name: &str, size: u32, count: u32) -> catalog::Model {
    catalog::Model {
        name: name.to_owned(),
        model: name.to_owned(),
        versions: vec!["v1".to_owned()],
        hosts_per_replica: size,
        replicas: [(DOMAIN.to_owned(), count)].into(),
        teams: Default::default(),
        slots: 8,
        cold_slots: 1,
        warm_up: Duration::from_secs(30),
    }
}

/// A steward with its position in the stream of claims.
pub(crate) struct Node {
    pub(crate) steward: steward::Steward,
    pub(crate) read: usize,
    /// Hosts whose answers to this node don't arrive.
    pub(crate) unresponsive: Vec<id::Host>,
    pub(crate) events: Vec<steward::event::Event>,
}

impl Node {
    pub(crate) fn new(name: &str, cluster: &Cluster, services: &[(&str, u32, u32)]) -> Node {
        let options = steward::OptionsBuilder::default()
            .node(name)
            .incarnation(1)
            .domain(DOMAIN)
            .build()
            .expect("every required setting is given");
        let mut steward = steward::Steward::new(options);
        let nodes = vec!["n1".to_owned(), "n2".to_owned()];
        steward.step(Duration::ZERO, steward::Input::Nodes(nodes));
        steward.step(Duration::ZERO, steward::Input::Hosts(cluster.entries()));
        steward.step(Duration::ZERO, steward::Input::Catalog(cluster.catalog(services)));
        Node { steward, read: 0, unresponsive: Vec::new(), events: Vec::new() }
    }

    /// Runs one tick, with every output answered at once.
    pub(crate) fn tick(&mut self, now: Duration, cluster: &mut Cluster, log: bool) {
        let mut inputs = Vec::new();
        if log {
            inputs.extend(self.unread(cluster));
            inputs.push(steward::Input::LogRead);
        }
        inputs.push(steward::Input::Tick);
        self.run(now, inputs, cluster, log);
    }

    /// Passes one input while the log is unavailable, with every output answered at once.
    pub(crate) fn input(&mut self, now: Duration, input: steward::Input, cluster: &mut Cluster) {
        self.run(now, vec![input], cluster, false);
    }

    fn run(
        &mut self,
        now: Duration,
        mut inputs: Vec<steward::Input>,
        cluster: &mut Cluster,
        log: bool,
    ) {
        while !inputs.is_empty() {
            let input = inputs.remove(0);
            for output in self.steward.step(now, input) {
                inputs.extend(self.answer(now, output, cluster, log));
            }
        }
    }

    fn unread(&mut self, cluster: &Cluster) -> Vec<steward::Input> {
        let record = |(at, claim): (usize, &steward::claim::Claim)| steward::Input::Record {
            offset: at as id::Offset,
            claim: claim.clone(),
        };
        let unread = cluster.claims.iter().enumerate().skip(self.read).map(record).collect();
        self.read = cluster.claims.len();
        unread
    }

    fn answer(
        &mut self,
        now: Duration,
        output: steward::Output,
        cluster: &mut Cluster,
        log: bool,
    ) -> Option<steward::Input> {
        match output {
            steward::Output::Append(claim) => {
                let sequence = claim.sequence;
                let outcome = if log { steward::Append::Done } else { steward::Append::Failed };
                if log {
                    cluster.claims.push(claim);
                }
                Some(steward::Input::Appended { sequence, outcome })
            }
            steward::Output::Send(it) if self.unresponsive.contains(&it.host) => None,
            steward::Output::Read { host, .. } if self.unresponsive.contains(&host) => None,
            steward::Output::Send(it) => {
                let host = cluster.hosts.get_mut(&it.host).filter(|it| it.up);
                let outcome = host.map_or(steward::Answer::Unknown, |host| host.order(&it.order));
                Some(steward::Input::OrderCompleted {
                    host: it.host,
                    order: it.order.order,
                    outcome,
                })
            }
            steward::Output::Read { host, .. } => Some(read(now, host, cluster)),
            steward::Output::Retire { .. } => None,
            steward::Output::Event(event) => {
                self.events.push(event);
                None
            }
        }
    }
}

/// Reads a host's state.
pub(crate) fn read(now: Duration, name: id::Host, cluster: &Cluster) -> steward::Input {
    match cluster.hosts.get(&name).filter(|it| it.up) {
        None => steward::Input::Unreachable(name),
        Some(it) => {
            let observation = host::Observation { report: it.report.clone(), at: now };
            steward::Input::Observed { observation, asked: now }
        }
    }
}

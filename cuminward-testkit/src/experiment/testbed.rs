//! The cluster of a running experiment, with the history of the actions on it.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError, RwLock},
    time::{Duration, Instant},
};

use cuminward_core::{change, host, id};
use cuminward_standin::{engine::control, hosts, load, log, plain};
use miette::{ensure, miette};
use tokio::sync;

use crate::{cluster, experiment::runner};

/// Time within which an added node has to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The cluster of a running experiment.
pub struct Testbed {
    /// The cluster; it has no nodes in a baseline.
    pub cluster: sync::RwLock<cluster::Cluster>,
    /// Start of the load.
    pub start: Instant,
    balanced_nodes: RwLock<Vec<SocketAddr>>,
    pub(super) history: Mutex<History>,
}

/// Actions on the cluster, from which violations are counted.
#[derive(Debug, Default)]
pub struct History {
    /// Failure domains that were taken out of service.
    pub take_outs: Vec<TakeOut>,
    /// Upstreams that were listed as leaving.
    pub departures: Vec<Departure>,
    /// Partitioned failure domains, with the end of the partition.
    pub partitions: Vec<(id::Domain, Option<Instant>)>,
    /// Accepted revisions, with the time at which they were accepted.
    pub accepted: Vec<(id::Revision, Instant)>,
    /// Number of refused changes.
    pub refused: u64,
    /// Number of graceful shutdowns.
    pub shutdowns: u64,
    /// Number of graceful shutdowns that cut off requests.
    pub interrupting_shutdowns: u64,
    /// Reports of load beyond the setup's.
    pub bursts: Vec<load::Report>,
    /// Events, with their time since the start of the load.
    pub events: Vec<(Duration, String)>,
}

/// A failure domain that was taken out of service.
#[derive(Debug, Clone)]
pub struct TakeOut {
    /// Name of the failure domain.
    pub domain: id::Domain,
    /// Time at which the change was accepted.
    pub from: Instant,
    /// Time at which the change that brings it back was sent.
    pub until: Option<Instant>,
}

/// An upstream that was listed as leaving.
#[derive(Debug, Clone)]
pub struct Departure {
    /// Name of the host.
    pub host: id::Host,
    /// Whether it is an engine host, not a plain one.
    pub engine: bool,
    /// Time at which the platform listed it as leaving.
    pub from: Instant,
}

/// Life cycle
impl Testbed {
    /// Creates a testbed whose load starts now.
    pub fn new(cluster: cluster::Cluster) -> Testbed {
        Testbed {
            balanced_nodes: RwLock::new(cluster.callers()),
            cluster: sync::RwLock::new(cluster),
            start: Instant::now(),
            history: Mutex::default(),
        }
    }
}

/// Access
impl Testbed {
    /// Locks the history of the actions.
    pub fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the caller address of the node that the load balancer picks for a request, `None` if
    /// no node is ready.
    pub fn pick_node(&self, index: usize) -> Option<SocketAddr> {
        let balanced_nodes = self.balanced_nodes.read().unwrap_or_else(PoisonError::into_inner);
        balanced_nodes.get(index % balanced_nodes.len().max(1)).copied()
    }

    /// Returns the memberships of the ready replicas, ordered by the names of their members.
    pub async fn ready_replicas(&self) -> Vec<host::Membership> {
        let cluster = self.cluster.read().await;
        let mut ready: Vec<host::Membership> = cluster
            .environment
            .fleet()
            .ready_heads()
            .into_iter()
            .filter_map(|it| it.membership)
            .collect();
        ready.sort_by(|a, b| a.members.cmp(&b.members));
        ready
    }

    /// Waits until at least `count` replicas are ready; returns whether they were within the limit.
    pub async fn wait_ready(&self, count: usize, limit: Duration) -> bool {
        let start = Instant::now();
        while self.ready_replicas().await.len() < count {
            if limit < start.elapsed() {
                return false;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        true
    }

    /// Whether the run has no nodes, so that callers use the engines directly.
    pub async fn is_baseline(&self) -> bool {
        self.cluster.read().await.nodes().next().is_none()
    }
}

/// Mutation
impl Testbed {
    /// Records an event for the report.
    pub fn record_event(&self, text: impl Into<String>) {
        self.history().events.push((self.start.elapsed(), text.into()));
    }

    /// Updates the nodes that get requests to those that are ready, as the platform's load balancer
    /// does.
    pub async fn refresh_balancer(&self) {
        let cluster = self.cluster.read().await;
        let ready = cluster.nodes().filter(|(_, it)| it.state().check_ready().is_ok());
        let ready = ready.map(|(_, it)| it.addresses().callers).collect();
        *self.balanced_nodes.write().unwrap_or_else(PoisonError::into_inner) = ready;
    }

    /// Injects a fault into the engine hosts.
    pub async fn inject_engine_fault(&self, fault: control::Fault) {
        self.record_event(format!("{fault:?}"));
        self.cluster.read().await.environment.fleet().inject(&fault).await;
    }

    /// Injects a fault into the plain hosts.
    pub async fn inject_plain_fault(&self, fault: plain::Fault) {
        self.record_event(format!("{fault:?}"));
        self.cluster.read().await.environment.plain().inject(&fault).await;
    }

    /// Injects a fault into the log.
    pub async fn inject_log_fault(&self, fault: log::Fault) {
        self.record_event(format!("{fault:?}"));
        self.cluster.read().await.environment.log().inject(&fault);
    }

    /// Applies a change through the operator interface; returns whether it was accepted.
    pub async fn apply(&self, action: change::Action) -> bool {
        let applied = {
            let cluster = self.cluster.read().await;
            cluster.apply([action]).await
        };
        match applied {
            Ok(revision) => {
                self.record_event(format!("revision {revision} accepted"));
                self.history().accepted.push((revision, Instant::now()));
                true
            }
            Err(error) => {
                self.record_event(format!("change refused: {error}"));
                self.history().refused += 1;
                false
            }
        }
    }

    /// Takes a failure domain out of service.
    ///
    /// # Errors
    ///
    /// A report if the change isn't accepted.
    pub async fn take_out(&self, domain: &str) -> miette::Result<()> {
        self.record_event(format!("take {domain} out"));
        let baseline = self.is_baseline().await;
        let accepted = baseline || self.apply(change::Action::TakeOut(domain.to_owned())).await;
        ensure!(accepted, "taking {domain} out of service wasn't accepted");
        let out = TakeOut { domain: domain.to_owned(), from: Instant::now(), until: None };
        self.history().take_outs.push(out);
        Ok(())
    }

    /// Brings a failure domain back into service.
    ///
    /// # Errors
    ///
    /// A report if the change isn't accepted.
    pub async fn bring_back(&self, domain: &str) -> miette::Result<()> {
        self.record_event(format!("bring {domain} back"));
        let now = Instant::now();
        for out in self.history().take_outs.iter_mut().filter(|it| it.domain == domain) {
            out.until.get_or_insert(now);
        }
        let baseline = self.is_baseline().await;
        let accepted = baseline || self.apply(change::Action::BringBack(domain.to_owned())).await;
        ensure!(accepted, "bringing {domain} back into service wasn't accepted");
        Ok(())
    }

    /// Sets the state of a host in the host list to leaving.
    pub async fn mark_leaving(&self, host: &str, engine: bool) {
        self.record_event(format!("{host} begins to leave"));
        let state = host::State::Leaving;
        let change = hosts::Change::SetState { host: host.to_owned(), state };
        self.cluster.read().await.environment.host_list().change(change);
        let leaving = Departure { host: host.to_owned(), engine, from: Instant::now() };
        self.history().departures.push(leaving);
    }

    /// Starts a new node, waits until it is ready, and stops the old one gracefully.
    ///
    /// # Errors
    ///
    /// A report if the new node can't be started or doesn't become ready, or if there is no old
    /// one.
    pub async fn replace_node(&self, old: &str, new: &str, domain: &str) -> miette::Result<()> {
        self.record_event(format!("{new} replaces {old}"));
        self.cluster.write().await.add(new, domain).await?;
        let start = Instant::now();
        while self.cluster.read().await.node(new).state().check_ready().is_err() {
            ensure!(
                start.elapsed() < READY_TIMEOUT,
                "node {new} didn't become ready within {READY_TIMEOUT:?}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let taken = self.cluster.write().await.remove(old);
        let member = taken.ok_or_else(|| miette!("there is no node {old}"))?;
        let finished = member.stop().await;
        self.cluster.read().await.environment.remove_node(old);
        let mut history = self.history();
        history.shutdowns += 1;
        history.interrupting_shutdowns += u64::from(!finished);
        Ok(())
    }

    /// Partitions a failure domain from the others, and from the platform if `platform` is set.
    pub async fn partition(&self, domain: &str, platform: bool) {
        self.record_event(format!("{domain} is cut off; from the platform: {platform}"));
        self.history().partitions.push((domain.to_owned(), None));
        let cluster = self.cluster.read().await;
        for (name, node) in cluster.nodes() {
            let view = cluster.view(name);
            if node.state().settings.domain != domain {
                view.cut_domain(domain);
                continue;
            }
            runner::DOMAINS.iter().filter(|it| **it != domain).for_each(|it| view.cut_domain(it));
            if platform {
                view.cut_platform();
            }
        }
    }

    /// Ends the partition of a failure domain.
    pub async fn heal(&self, domain: &str) {
        self.record_event(format!("{domain} is connected again"));
        let cluster = self.cluster.read().await;
        for (name, _) in cluster.nodes() {
            let view = cluster.view(name);
            runner::DOMAINS.iter().for_each(|it| view.heal_domain(it));
            view.heal_platform();
        }
        let now = Instant::now();
        for (_, end) in self.history().partitions.iter_mut().filter(|(name, _)| name == domain) {
            end.get_or_insert(now);
        }
    }
}

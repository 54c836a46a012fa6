//! A running experiment: the cluster, what was done to it and when.

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

/// Time within which an added node has to turn ready.
const READY: Duration = Duration::from_secs(10);

/// Time between two looks at something that is waited for.
const LOOK: Duration = Duration::from_millis(50);

/// A cluster under an experiment.
pub struct Stage {
    /// The cluster; without nodes in a baseline.
    pub cluster: sync::RwLock<cluster::Cluster>,
    /// Intended start of the first request.
    pub begun: Instant,
    balanced: RwLock<Vec<SocketAddr>>,
    pub(super) marks: Mutex<Marks>,
}

/// What was done, for the checks.
#[derive(Debug, Default)]
pub struct Marks {
    /// Failure domains that were taken out.
    pub out: Vec<Out>,
    /// Upstreams that began to leave.
    pub leaving: Vec<Leaving>,
    /// Failure domains that were cut off, with the end of the cut.
    pub cut: Vec<(id::Domain, Option<Instant>)>,
    /// Accepted revisions, with the time of their acceptance.
    pub accepted: Vec<(id::Revision, Instant)>,
    /// Changes that were refused.
    pub refused: u64,
    /// Graceful shutdowns.
    pub shutdowns: u64,
    /// Graceful shutdowns that cut requests off.
    pub shutdowns_cutting: u64,
    /// Reports of additional load.
    pub bursts: Vec<load::Report>,
    /// What happened, with the time since the start of the load.
    pub happened: Vec<(Duration, String)>,
}

/// A failure domain that was taken out.
#[derive(Debug, Clone)]
pub struct Out {
    /// Name of the failure domain.
    pub domain: id::Domain,
    /// Time at which the operator heard that it was taken out.
    pub from: Instant,
    /// Time at which it was asked to be brought back.
    pub until: Option<Instant>,
}

/// An upstream that leaves.
#[derive(Debug, Clone)]
pub struct Leaving {
    /// Name of the host.
    pub host: id::Host,
    /// Whether it is an engine host.
    pub engine: bool,
    /// Time at which the platform listed it as leaving.
    pub from: Instant,
}

/// Life cycle
impl Stage {
    /// Starts the watch over a cluster.
    pub fn new(cluster: cluster::Cluster) -> Stage {
        Stage {
            balanced: RwLock::new(cluster.callers()),
            cluster: sync::RwLock::new(cluster),
            begun: Instant::now(),
            marks: Mutex::default(),
        }
    }
}

/// Access
impl Stage {
    /// What was done so far.
    pub fn marks(&self) -> MutexGuard<'_, Marks> {
        self.marks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Address of the node that the balancer gives to a request.
    pub fn balance(&self, index: usize) -> Option<SocketAddr> {
        let balanced = self.balanced.read().unwrap_or_else(PoisonError::into_inner);
        balanced.get(index % balanced.len().max(1)).copied()
    }

    /// Members of the replicas that are ready, head first, in the order of their names.
    pub async fn ready(&self) -> Vec<host::Membership> {
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

    /// Waits until so many replicas are ready; tells whether they were within the limit.
    pub async fn wait_ready(&self, count: usize, limit: Duration) -> bool {
        let begun = Instant::now();
        while self.ready().await.len() < count {
            if limit < begun.elapsed() {
                return false;
            }
            tokio::time::sleep(LOOK).await;
        }
        true
    }

    /// Whether the run has no nodes, so that callers go straight to the engines.
    pub async fn is_baseline(&self) -> bool {
        self.cluster.read().await.nodes().next().is_none()
    }
}

/// Mutation
impl Stage {
    /// Notes what happens, for the report.
    pub fn note(&self, text: impl Into<String>) {
        self.marks().happened.push((self.begun.elapsed(), text.into()));
    }

    /// Spreads requests over the nodes that are ready, as the platform's balancer does.
    pub async fn refresh_balancer(&self) {
        let cluster = self.cluster.read().await;
        let ready = cluster.nodes().filter(|(_, it)| it.state().check_ready().is_ok());
        let ready = ready.map(|(_, it)| it.addresses().callers).collect();
        *self.balanced.write().unwrap_or_else(PoisonError::into_inner) = ready;
    }

    /// Changes the behaviour of engines.
    pub async fn fault(&self, fault: control::Fault) {
        self.note(format!("{fault:?}"));
        self.cluster.read().await.environment.fleet().inject(&fault).await;
    }

    /// Changes the behaviour of plain hosts.
    pub async fn plain_fault(&self, fault: plain::Fault) {
        self.note(format!("{fault:?}"));
        self.cluster.read().await.environment.plain().inject(&fault).await;
    }

    /// Changes the behaviour of the log.
    pub async fn log_fault(&self, fault: log::Fault) {
        self.note(format!("{fault:?}"));
        self.cluster.read().await.environment.log().inject(&fault);
    }

    /// Applies a change through the operators' interface; tells whether it was accepted.
    pub async fn apply(&self, action: change::Action) -> bool {
        let applied = {
            let cluster = self.cluster.read().await;
            cluster.apply([action]).await
        };
        match applied {
            Ok(revision) => {
                self.note(format!("revision {revision} accepted"));
                self.marks().accepted.push((revision, Instant::now()));
                true
            }
            Err(error) => {
                self.note(format!("change refused: {error}"));
                self.marks().refused += 1;
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
        self.note(format!("take {domain} out"));
        let baseline = self.is_baseline().await;
        let accepted = baseline || self.apply(change::Action::TakeOut(domain.to_owned())).await;
        ensure!(accepted, "the change wasn't accepted");
        let out = Out { domain: domain.to_owned(), from: Instant::now(), until: None };
        self.marks().out.push(out);
        Ok(())
    }

    /// Brings a failure domain back into service.
    ///
    /// # Errors
    ///
    /// A report if the change isn't accepted.
    pub async fn bring_back(&self, domain: &str) -> miette::Result<()> {
        self.note(format!("bring {domain} back"));
        let now = Instant::now();
        for out in self.marks().out.iter_mut().filter(|it| it.domain == domain) {
            out.until.get_or_insert(now);
        }
        let baseline = self.is_baseline().await;
        let accepted = baseline || self.apply(change::Action::BringBack(domain.to_owned())).await;
        ensure!(accepted, "the change wasn't accepted");
        Ok(())
    }

    /// Lists a host as leaving.
    pub async fn leave(&self, host: &str, engine: bool) {
        self.note(format!("{host} begins to leave"));
        let state = host::State::Leaving;
        let change = hosts::Change::SetState { host: host.to_owned(), state };
        self.cluster.read().await.environment.host_list().change(change);
        let leaving = Leaving { host: host.to_owned(), engine, from: Instant::now() };
        self.marks().leaving.push(leaving);
    }

    /// Replaces a node gracefully by a new one of another name.
    ///
    /// # Errors
    ///
    /// A report if the new node doesn't turn ready, or the old one isn't there.
    pub async fn replace(&self, old: &str, new: &str, domain: &str) -> miette::Result<()> {
        self.note(format!("{new} replaces {old}"));
        self.cluster.write().await.add(new, domain).await?;
        let begun = Instant::now();
        while self.cluster.read().await.node(new).state().check_ready().is_err() {
            ensure!(begun.elapsed() < READY, "{new} didn't turn ready");
            tokio::time::sleep(LOOK).await;
        }
        let taken = self.cluster.write().await.remove(old);
        let member = taken.ok_or_else(|| miette!("there is no node {old}"))?;
        let finished = member.stop().await;
        self.cluster.read().await.environment.remove_node(old);
        let mut marks = self.marks();
        marks.shutdowns += 1;
        marks.shutdowns_cutting += u64::from(!finished);
        Ok(())
    }

    /// Cuts a failure domain off from the others, and from the platform where told.
    pub async fn cut(&self, domain: &str, platform: bool) {
        self.note(format!("{domain} is cut off; from the platform: {platform}"));
        self.marks().cut.push((domain.to_owned(), None));
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

    /// Ends a cut.
    pub async fn heal(&self, domain: &str) {
        self.note(format!("{domain} is connected again"));
        let cluster = self.cluster.read().await;
        for (name, _) in cluster.nodes() {
            let view = cluster.view(name);
            runner::DOMAINS.iter().for_each(|it| view.heal_domain(it));
            view.heal_platform();
        }
        let now = Instant::now();
        for (_, end) in self.marks().cut.iter_mut().filter(|(name, _)| name == domain) {
            end.get_or_insert(now);
        }
    }
}

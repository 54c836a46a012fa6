//! Real nodes over a world of stand-ins, in one process.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use cuminward_core::{change, host, id};
use cuminward_node::{node, settings};
use cuminward_operator::client;
use cuminward_standin::{environment, view};
use miette::{IntoDiagnostic, miette};
use tokio::runtime::{self, Runtime};

use crate::declare;

/// Token of the operator that changes the configuration.
pub const OPERATOR_TOKEN: &str = "operator-token";

/// Secret that the nodes share.
const SECRET: &str = "a secret of the test cluster";

/// Time within which nodes have to be ready.
const STARTING: Duration = Duration::from_secs(10);

/// Time between two looks at something that is waited for.
const LOOK: Duration = Duration::from_millis(20);

/// Nodes over a world of stand-ins.
pub struct Cluster {
    /// What surrounds the nodes.
    pub environment: environment::Environment,
    nodes: BTreeMap<id::Node, Member>,
    views: Option<BTreeMap<id::Node, view::View>>,
    timing: settings::Timing,
    limits: settings::Limits,
    routing: settings::Routing,
}

/// A node with threads of its own, as if it were a process of its own.
pub struct Member {
    node: Option<node::Node>,
    runtime: Option<Runtime>,
}

/// Threads of a node.
const THREADS: usize = 2;

/// What a cluster consists of.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// What surrounds the nodes.
    pub environment: environment::Options,
    /// Whether each node sees the world through links of its own, which can be cut.
    pub views: bool,
    /// Nodes in each failure domain.
    pub nodes_per_domain: u32,
    /// Intervals and bounds of the nodes' control work.
    pub timing: settings::Timing,
    /// Bounds of the nodes' requests.
    pub limits: settings::Limits,
    /// The nodes' choice of upstreams.
    pub routing: settings::Routing,
}

/// Life cycle
impl Cluster {
    /// Starts the world and the nodes, named `{domain}-{index}`.
    ///
    /// # Errors
    ///
    /// A report if a port can't be bound.
    pub async fn start(options: Options) -> miette::Result<Cluster> {
        let domains: Vec<id::Domain> =
            options.environment.domains.iter().map(|it| it.name.clone()).collect();
        let environment =
            environment::Environment::start(options.environment).await.into_diagnostic()?;
        let (timing, limits, routing) = (options.timing, options.limits, options.routing);
        let views = options.views.then(BTreeMap::new);
        let mut cluster =
            Cluster { environment, nodes: BTreeMap::new(), views, timing, limits, routing };
        for domain in &domains {
            for index in 0..options.nodes_per_domain {
                cluster.add(&format!("{domain}-{index}"), domain).await?;
            }
        }
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    /// Stops all nodes gracefully; tells whether all of them finished their requests in time.
    pub async fn stop(self) -> bool {
        let stopping = self.nodes.into_values().map(Member::stop);
        let finished = futures::future::join_all(stopping).await;
        self.environment.stop().await;
        finished.into_iter().all(|it| it)
    }
}

/// Access
impl Cluster {
    /// A node by name.
    ///
    /// # Panics
    ///
    /// If there is no such node.
    pub fn node(&self, name: &str) -> &node::Node {
        self.nodes[name].node()
    }

    /// What a node sees of the world.
    ///
    /// # Panics
    ///
    /// If the cluster was started without views, or there is no such node.
    pub fn view(&self, name: &str) -> &view::View {
        &self.views.as_ref().expect("the cluster has views")[name]
    }

    /// All nodes by name.
    pub fn nodes(&self) -> impl Iterator<Item = (&id::Node, &node::Node)> {
        self.nodes.iter().map(|(name, it)| (name, it.node()))
    }

    /// Addresses of the nodes' HTTP interfaces, by the order of their names.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.nodes.values().map(|it| it.node().addresses().callers).collect()
    }

    /// A client of the operators' interfaces of all nodes.
    ///
    /// # Errors
    ///
    /// A report if there is no node.
    pub fn operator(&self) -> miette::Result<client::Client> {
        let endpoints =
            self.nodes.values().map(|it| format!("http://{}", it.node().addresses().operators));
        let options = client::OptionsBuilder::default()
            .endpoints(endpoints.collect::<Vec<_>>())
            .token(OPERATOR_TOKEN.to_owned())
            .build()
            .into_diagnostic()?;
        client::Client::new(options).map_err(|it| miette!("{it}"))
    }

    /// Applies changes one after the other and returns the last revision.
    ///
    /// # Errors
    ///
    /// A report of the first change that isn't accepted.
    pub async fn apply(
        &self,
        actions: impl IntoIterator<Item = change::Action>,
    ) -> miette::Result<id::Revision> {
        let operator = self.operator()?;
        let mut revision = 0;
        for action in actions {
            let change = uuid::Uuid::now_v7().to_string();
            let applied = operator.apply(change, None, action).await;
            revision = applied.map_err(|it| miette!("{it}"))?.revision;
        }
        Ok(revision)
    }

    /// Declares all domains, the teams, the assistant and the order desk.
    ///
    /// # Errors
    ///
    /// A report of the first change that isn't accepted.
    pub async fn declare(
        &self,
        replicas: u32,
        hosts_per_replica: u32,
        limits: &declare::Limits,
    ) -> miette::Result<id::Revision> {
        let domains = &self.environment.options().domains;
        let names: Vec<id::Domain> = domains.iter().map(|it| it.name.clone()).collect();
        let fencing = |it: &environment::Domain| match it.fencing {
            true => cuminward_core::catalog::Fencing::Enforced,
            false => cuminward_core::catalog::Fencing::Ignored,
        };
        let by_domain: BTreeMap<_, _> =
            domains.iter().map(|it| (it.name.clone(), fencing(it))).collect();
        let traits = self.environment.fleet().entries().into_iter().map(|it| {
            change::Action::DeclareHost(cuminward_core::catalog::Traits {
                fencing: by_domain[&it.domain],
                host: it.host,
                fabric: None,
            })
        });
        let mut actions: Vec<change::Action> =
            domains.iter().map(|it| declare::domain(&it.name, &it.region)).collect();
        actions.extend(traits);
        actions.extend(declare::TEAMS.iter().map(declare::team));
        actions.push(declare::assistant(&names, replicas, hosts_per_replica, limits));
        actions.push(declare::desk(limits));
        self.apply(actions).await
    }

    /// Waits until every node takes requests.
    ///
    /// # Errors
    ///
    /// A report if that takes too long.
    pub async fn wait_ready(&self) -> miette::Result<()> {
        let ready = || self.nodes.values().all(|it| it.node().state().check_ready().is_ok());
        if wait(STARTING, ready).await {
            Ok(())
        } else {
            Err(miette!("nodes were not ready in time"))
        }
    }

    /// Waits until every node has so many routable replicas.
    ///
    /// # Errors
    ///
    /// A report if that takes longer than `limit`.
    pub async fn wait_replicas(&self, count: usize, limit: Duration) -> miette::Result<()> {
        let all = || {
            let enough = |it: &Member| it.node().state().replicas.load().routable.len() == count;
            self.nodes.values().all(enough)
        };
        if wait(limit, all).await {
            Ok(())
        } else {
            Err(miette!("replicas were not formed in time"))
        }
    }
}

/// Mutation
impl Cluster {
    /// Starts a node and lists it.
    ///
    /// # Errors
    ///
    /// A report if a port can't be bound.
    pub async fn add(&mut self, name: &str, domain: &str) -> miette::Result<()> {
        if let Some(views) = &mut self.views
            && !views.contains_key(name)
        {
            views.insert(name.to_owned(), self.environment.start_view().await.into_diagnostic()?);
        }
        let settings = self.settings(name, domain);
        let member = Member::start(settings).await?;
        let address = member.node().addresses().peers.to_string();
        self.environment.add_node(environment::node_entry(name, domain, &address));
        self.nodes.insert(name.to_owned(), member);
        Ok(())
    }

    /// Takes a node out of the cluster, to be stopped or killed; it stays in the host list.
    pub fn remove(&mut self, name: &str) -> Option<Member> {
        self.nodes.remove(name)
    }

    /// Settings of a node of this cluster.
    pub fn settings(&self, name: &str, domain: &str) -> settings::Settings {
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        let [log, hosts, weights] = self.platform(name).map(|it| it.to_string());
        settings::Settings {
            node: name.to_owned(),
            domain: domain.to_owned(),
            listen: settings::Listen { callers: local, operators: local, peers: local },
            platform: settings::Platform {
                log,
                hosts,
                weights,
                retention: settings::DEFAULT_RETENTION,
            },
            secret: settings::Secret::new(SECRET),
            operators: vec![settings::Operator {
                name: "operator".to_owned(),
                token_hash: blake3::hash(OPERATOR_TOKEN.as_bytes()).to_hex().to_string(),
                role: settings::file::Role::Write,
            }],
            limits: self.limits.clone(),
            routing: self.routing.clone(),
            timing: self.timing.clone(),
        }
    }
}

/// Access
impl Cluster {
    /// Addresses of log, host list and weight store for a node.
    fn platform(&self, name: &str) -> [SocketAddr; 3] {
        match self.views.as_ref().and_then(|it| it.get(name)) {
            Some(view) => [view.log_address(), view.hosts_address(), view.weights_address()],
            None => {
                let environment = &self.environment;
                [
                    environment.log_address(),
                    environment.hosts_address(),
                    environment.weights_address(),
                ]
            }
        }
    }
}

/// Life cycle
impl Member {
    /// Starts a node with threads of its own, which have its name.
    ///
    /// # Errors
    ///
    /// A report if a port can't be bound.
    pub async fn start(settings: settings::Settings) -> miette::Result<Member> {
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(THREADS)
            .thread_name(settings.node.clone())
            .enable_all()
            .build()
            .into_diagnostic()?;
        let starting = runtime.spawn(node::Node::start(settings));
        let node = starting.await.into_diagnostic()??;
        Ok(Member { node: Some(node), runtime: Some(runtime) })
    }

    /// Stops the node gracefully; tells whether it finished its requests in time.
    pub async fn stop(mut self) -> bool {
        let (Some(node), Some(runtime)) = (self.node.take(), &self.runtime) else { return false };
        runtime.spawn(node.stop()).await.unwrap_or(false)
    }

    /// Ends the node at once, with all its connections, as if its process were killed.
    pub fn kill(self) {
        drop(self);
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Access
impl Member {
    /// The node.
    pub fn node(&self) -> &node::Node {
        self.node.as_ref().expect("the node is there until it is stopped")
    }
}

/// Waits until a condition holds; tells whether it did within the limit.
pub async fn wait(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let begun = Instant::now();
    while !condition() {
        if limit < begun.elapsed() {
            return false;
        }
        tokio::time::sleep(LOOK).await;
    }
    true
}

/// Entry of a node in the host list that is about to leave.
pub fn leaving(mut entry: host::Entry) -> host::Entry {
    entry.state = host::State::Leaving;
    entry
}

//! Real nodes and the stand-ins of their environment, in one process.

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

/// Time within which all nodes have to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Nodes and the stand-ins of their environment.
pub struct Cluster {
    /// Stand-ins of the platform and the upstreams.
    pub environment: environment::Environment,
    nodes: BTreeMap<id::Node, Member>,
    views: Option<BTreeMap<id::Node, view::View>>,
    timing: settings::Timing,
    limits: settings::Limits,
    routing: settings::Routing,
}

/// A node that runs on its own threads and can be stopped or killed alone, like a process.
pub struct Member {
    node: Option<node::Node>,
    runtime: Option<Runtime>,
}

/// Worker threads of each node.
const THREADS_PER_NODE: usize = 2;

/// Options of a cluster.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Stand-ins of the platform and the upstreams.
    pub environment: environment::Options,
    /// Whether each node reaches its environment through its own links, which can be cut.
    pub views: bool,
    /// Number of nodes in each failure domain.
    pub nodes_per_domain: u32,
    /// Intervals and timeouts of the nodes' control loops.
    pub timing: settings::Timing,
    /// Limits that the nodes apply to requests.
    pub limits: settings::Limits,
    /// Settings by which the nodes choose upstreams.
    pub routing: settings::Routing,
}

/// Life cycle
impl Cluster {
    /// Starts the stand-ins and the nodes, which are named `{domain}-{index}`, and waits until the
    /// nodes are ready.
    ///
    /// # Errors
    ///
    /// A report if a port can't be bound or a node doesn't become ready in time.
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

    /// Stops all nodes gracefully and returns whether all of them finished their requests in time.
    pub async fn stop(self) -> bool {
        let stops = self.nodes.into_values().map(Member::stop);
        let finished = futures::future::join_all(stops).await;
        self.environment.stop().await;
        finished.into_iter().all(|it| it)
    }
}

/// Access
impl Cluster {
    /// Returns a node by name.
    ///
    /// # Panics
    ///
    /// If there is no such node.
    pub fn node(&self, name: &str) -> &node::Node {
        self.nodes[name].node()
    }

    /// Returns the links through which a node reaches its environment.
    ///
    /// # Panics
    ///
    /// If the cluster was started without views, or there is no such node.
    pub fn view(&self, name: &str) -> &view::View {
        &self.views.as_ref().expect("the cluster has views")[name]
    }

    /// Returns all nodes, ordered by name.
    pub fn nodes(&self) -> impl Iterator<Item = (&id::Node, &node::Node)> {
        self.nodes.iter().map(|(name, it)| (name, it.node()))
    }

    /// Returns the addresses of the nodes' interfaces for callers, ordered by node name.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.nodes.values().map(|it| it.node().addresses().callers).collect()
    }

    /// Returns a client that can reach the operator interfaces of all nodes.
    ///
    /// # Errors
    ///
    /// A report if the cluster has no nodes.
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

    /// Applies changes one after the other and returns the revision of the last one.
    ///
    /// # Errors
    ///
    /// A report of the first change that isn't accepted; later changes aren't sent.
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

    /// Declares all failure domains and engine hosts, the teams, the assistant with a number of
    /// replicas in each failure domain, and the order desk; returns the last revision.
    ///
    /// # Errors
    ///
    /// A report of the first change that isn't accepted; later changes aren't sent.
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

    /// Waits until every node is ready to serve requests.
    ///
    /// # Errors
    ///
    /// A report if that takes more than 10 seconds.
    pub async fn wait_ready(&self) -> miette::Result<()> {
        let ready = || self.nodes.values().all(|it| it.node().state().check_ready().is_ok());
        if wait(READY_TIMEOUT, ready).await {
            Ok(())
        } else {
            Err(miette!("not all nodes became ready within {READY_TIMEOUT:?}"))
        }
    }

    /// Waits until every node has exactly `count` routable replicas.
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
            Err(miette!("not all nodes had {count} routable replicas within {limit:?}"))
        }
    }
}

/// Mutation
impl Cluster {
    /// Starts a node and adds it to the host list.
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

    /// Removes a node from the cluster and returns it, still running. It stays in the host list.
    pub fn remove(&mut self, name: &str) -> Option<Member> {
        self.nodes.remove(name)
    }

    /// Returns the settings of a node of this cluster.
    pub fn settings(&self, name: &str, domain: &str) -> settings::Settings {
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        let [log, hosts, weights] = self.platform_addresses(name).map(|it| it.to_string());
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
    /// Returns the addresses at which a node reaches the log, the host list and the weight store.
    fn platform_addresses(&self, name: &str) -> [SocketAddr; 3] {
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
    /// Starts a node on its own threads, which are named after it.
    ///
    /// # Errors
    ///
    /// A report if a port can't be bound.
    pub async fn start(settings: settings::Settings) -> miette::Result<Member> {
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(THREADS_PER_NODE)
            .thread_name(settings.node.clone())
            .enable_all()
            .build()
            .into_diagnostic()?;
        let starting = runtime.spawn(node::Node::start(settings));
        let node = starting.await.into_diagnostic()??;
        Ok(Member { node: Some(node), runtime: Some(runtime) })
    }

    /// Stops the node gracefully and returns whether it finished its requests in time.
    pub async fn stop(mut self) -> bool {
        let (Some(node), Some(runtime)) = (self.node.take(), &self.runtime) else { return false };
        runtime.spawn(node.stop()).await.unwrap_or(false)
    }

    /// Ends the node at once and closes its connections, as if its process were killed.
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
    /// Returns the running node.
    pub fn node(&self) -> &node::Node {
        self.node.as_ref().expect("only `stop`, which consumes the member, takes the node")
    }
}

/// Polls a condition until it holds or the limit has passed; returns whether it held.
pub async fn wait(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let start = Instant::now();
    while !condition() {
        if limit < start.elapsed() {
            return false;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    true
}

/// Returns an entry of the host list with its state set to leaving.
pub fn leaving(mut entry: host::Entry) -> host::Entry {
    entry.state = host::State::Leaving;
    entry
}

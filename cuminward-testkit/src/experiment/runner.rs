//! Runs an experiment: starts the cluster, generates load, injects faults and counts violations.

use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cuminward_core::id;
use cuminward_standin::{
    engine::{self, control, counter},
    environment, load, log, plain,
};
use miette::ensure;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio_util::sync::CancellationToken;

use crate::{
    cluster::{self, Cluster},
    declare,
    experiment::{Name, Setup, baseline, desk, promise, report, scenario, testbed, watch},
};

/// Names of the failure domains.
pub const DOMAINS: [&str; 3] = ["mercado", "bodega", "alcaldia"];

/// Number of fabric domains in each failure domain.
pub const FABRICS: u32 = 2;

/// Number of engine hosts in each fabric domain: one replica and a spare host.
pub const HOSTS_PER_FABRIC: u32 = 5;

/// Replicas of each failure domain.
pub const REPLICAS: u32 = 2;

/// Hosts of each replica.
pub const HOSTS_PER_REPLICA: u32 = 4;

/// Number of plain hosts in each failure domain.
pub const PLAINS: u32 = 2;

/// Nodes of each failure domain.
pub const NODES: u32 = 2;

/// Time after which the members of a group detect the loss of another member.
const LOSS_NOTICE: Duration = Duration::from_secs(2);

/// Timeout of a chat.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Time within which all replicas have to be ready.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two updates of the revision watch and the load balancer.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Concurrency limits of an upstream, both those that are declared and those of the stand-ins.
const LIMITS: declare::Limits =
    declare::Limits { slots: 16, cold_slots: 2, warm_up: Duration::from_secs(3) };

/// Result of an experiment.
pub struct Outcome {
    /// Report of the experiment.
    pub report: report::Report,
    /// Chats of the run with nodes, for the plot.
    pub chats: load::Report,
}

/// Runs an experiment and, if `with_baseline` is set and the experiment is comparable, its
/// baseline.
///
/// # Errors
///
/// A report if the cluster couldn't be started, or a fault couldn't be injected.
pub async fn run(name: Name, seed: u64, with_baseline: bool) -> miette::Result<Outcome> {
    let parts = scenario::parts(name, seed);
    let setup = scenario::setup(&parts);
    let (run, chats) = run_once(&parts, setup, seed, NODES).await?;
    let baseline = match with_baseline && setup.comparable {
        true => Some(run_once(&parts, setup, seed, 0).await?.0),
        false => None,
    };
    let parts = if name == Name::Together { parts } else { Vec::new() };
    Ok(Outcome { report: report::Report { name, seed, parts, run, baseline }, chats })
}

/// Runs experiments at the same time with `nodes` nodes in each failure domain; 0 runs the
/// baseline.
///
/// # Errors
///
/// A report if the cluster couldn't be started, or a fault couldn't be injected.
pub async fn run_once(
    parts: &[Name],
    setup: Setup,
    seed: u64,
    nodes: u32,
) -> miette::Result<(report::Run, load::Report)> {
    let cluster = start(setup, nodes).await?;
    let counters = cluster.environment.fleet().counters();
    let testbed = Arc::new(testbed::Testbed::new(cluster));
    let heads = baseline::Heads::default();
    if nodes == 0 {
        heads.repair(&testbed).await;
    }
    let end = CancellationToken::new();
    let watching = tokio::spawn(monitor(Arc::clone(&testbed), heads.clone(), end.clone()));
    let calls = tokio::spawn({
        let testbed = Arc::clone(&testbed);
        async move { desk::run(&testbed, seed, setup.duration).await }
    });
    let chats = tokio::spawn(send_chats(Arc::clone(&testbed), heads, setup, seed));
    tokio::time::sleep(setup.fault_delay).await;
    let mut faults = tokio::task::JoinSet::new();
    for (index, part) in parts.iter().copied().enumerate() {
        let testbed = Arc::clone(&testbed);
        let mut random = Pcg64::seed_from_u64(seed.wrapping_mul(31).wrapping_add(index as u64));
        random.random::<u64>();
        faults.spawn(async move { scenario::inject_faults(part, &testbed, &mut random).await });
    }
    for injected in faults.join_all().await {
        injected?;
    }
    let faults_end = testbed.start.elapsed();
    let calls = calls.await.expect("callers don't panic");
    let chats = chats.await.expect("callers don't panic");
    end.cancel();
    let watch = watching.await.expect("the watch doesn't panic");
    let evidence = Finished { setup, faults_end, calls, chats, watch, before: counters };
    evidence.report(testbed).await
}

/// Starts a cluster with `nodes` nodes in each failure domain, and waits until all replicas are
/// ready and warmed up.
async fn start(setup: Setup, nodes: u32) -> miette::Result<Cluster> {
    let mut cluster = Cluster::start(options(setup, nodes)).await?;
    if nodes == 0 {
        baseline::form_groups(&cluster.environment).await?;
    } else {
        let have_read_log =
            || cluster.nodes().all(|(_, it)| it.state().configured.load(Ordering::Acquire));
        ensure!(
            cluster::wait(FORMATION_TIMEOUT, have_read_log).await,
            "not all nodes read the log within {FORMATION_TIMEOUT:?}"
        );
        cluster.declare(REPLICAS, HOSTS_PER_REPLICA, &LIMITS).await?;
        cluster.wait_replicas(REPLICAS as usize, FORMATION_TIMEOUT).await?;
    }
    for domain in DOMAINS {
        let expect = control::Fault::Expect { domain: domain.to_owned(), groups: REPLICAS };
        cluster.environment.fleet().inject(&expect).await;
    }
    tokio::time::sleep(LIMITS.warm_up).await;
    cluster = check_ready(cluster)?;
    Ok(cluster)
}

fn check_ready(cluster: Cluster) -> miette::Result<Cluster> {
    let count = cluster.environment.fleet().ready_heads().len();
    ensure!(count == DOMAINS.len() * REPLICAS as usize, "only {count} replicas are ready");
    Ok(cluster)
}

fn options(setup: Setup, nodes: u32) -> cluster::Options {
    let domain = |name: &&str| environment::Domain {
        fabrics: FABRICS,
        plains: [(declare::DESK.to_owned(), PLAINS)].into(),
        ..environment::Domain::new(name, "sacatepequez", HOSTS_PER_FABRIC)
    };
    cluster::Options {
        environment: environment::Options {
            domains: DOMAINS.iter().map(domain).collect(),
            list_lag: Duration::from_millis(500),
            engine: engine::Options {
                slots: LIMITS.slots,
                cold_bound: LIMITS.cold_slots,
                warm_up: LIMITS.warm_up,
                loss_notice: LOSS_NOTICE,
                ..engine::Options::default()
            },
            plain: plain::Options {
                slots: LIMITS.slots,
                cold_bound: LIMITS.cold_slots,
                warm_up: LIMITS.warm_up,
                ..plain::Options::default()
            },
            log: log::Options::default(),
            ..environment::Options::default()
        },
        views: setup.views,
        nodes_per_domain: nodes,
        ..cluster::Options::default()
    }
}

/// Watches the revisions and keeps the load balancer up to date until `end` is cancelled; in a
/// baseline, repairs the groups instead.
async fn monitor(
    testbed: Arc<testbed::Testbed>,
    heads: baseline::Heads,
    end: CancellationToken,
) -> watch::Watch {
    let mut watch = watch::Watch::default();
    while !end.is_cancelled() {
        match testbed.is_baseline().await {
            true => heads.repair(&testbed).await,
            false => {
                watch.poll(&testbed).await;
                testbed.refresh_balancer().await;
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    watch
}

/// Sends chats through the nodes, or directly to the group heads in a baseline.
async fn send_chats(
    testbed: Arc<testbed::Testbed>,
    heads: baseline::Heads,
    setup: Setup,
    seed: u64,
) -> load::Report {
    let options = load_options(setup, seed);
    load::run_with_targets(&options, |index| match testbed.pick_node(index) {
        Some(address) => load::Target::Chat { address },
        None => heads.target(index),
    })
    .await
}

/// Returns the load of a setup, in which each team has a share by its weight.
pub fn load_options(setup: Setup, seed: u64) -> load::Options {
    load::Options {
        seed,
        rate: setup.rate,
        duration: setup.duration,
        timeout: REQUEST_TIMEOUT,
        teams: declare::TEAMS
            .iter()
            .map(|it| load::Team {
                name: it.name.to_owned(),
                key: it.key.to_owned(),
                weight: f64::from(it.weight),
            })
            .collect(),
        model: declare::MODEL.to_owned(),
        versions: vec![declare::VERSION.to_owned()],
        max_tokens: setup.max_tokens,
        ..load::Options::default()
    }
}

/// Results of a run whose load has ended.
struct Finished {
    setup: Setup,
    faults_end: Duration,
    calls: Vec<desk::Sample>,
    chats: load::Report,
    watch: watch::Watch,
    before: counter::Counters,
}

impl Finished {
    async fn report(
        self,
        testbed: Arc<testbed::Testbed>,
    ) -> miette::Result<(report::Run, load::Report)> {
        let measures = self.measures(&testbed).await;
        let Some(testbed) = Arc::into_inner(testbed) else {
            return Err(miette::miette!("a task still uses the cluster"));
        };
        let cluster = testbed.cluster.into_inner();
        let mut history = testbed.history.into_inner().unwrap_or_default();
        let promises = promise::count(&promise::Evidence {
            environment: &cluster.environment,
            history: &history,
            chats: &self.chats,
            calls: &self.calls,
            watch: &self.watch,
        });
        let failed = self.calls.iter().filter(|it| it.end != desk::End::Complete);
        let happened = std::mem::take(&mut history.events);
        let run = report::Run {
            promises,
            measures,
            calls: report::Calls::new(&self.calls),
            failed_calls: failed.cloned().collect(),
            happened: happened.into_iter().map(|(at, it)| (at.as_secs_f64(), it)).collect(),
        };
        cluster.stop().await;
        Ok((run, self.chats))
    }

    async fn measures(&self, testbed: &testbed::Testbed) -> report::Measures {
        let cluster = testbed.cluster.read().await;
        let now = cluster.environment.fleet().counters();
        let total = |it: &BTreeMap<id::Domain, f64>| it.values().sum::<f64>();
        let (from, to) = (self.setup.fault_delay.as_secs_f64(), self.faults_end.as_secs_f64());
        let spares = HOSTS_PER_FABRIC * FABRICS - REPLICAS * HOSTS_PER_REPLICA;
        let spares = f64::from(spares) * DOMAINS.len() as f64;
        let before = &self.before;
        report::Measures {
            group_down_seconds: total(&now.group_down_seconds) - total(&before.group_down_seconds),
            stranded_seconds: total(&now.stranded_seconds) - total(&before.stranded_seconds),
            spare_seconds: spares * testbed.start.elapsed().as_secs_f64(),
            crashes: now.crashes - before.crashes,
            before: self.chats.between(0.0, from),
            during: self.chats.between(from, to),
            after: self.chats.between(to, f64::INFINITY),
        }
    }
}

//! Runs an experiment: cluster, mixed load, faults, counts.

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
    experiment::{Name, Setup, baseline, desk, promise, report, scenario, stage, watch},
};

/// Names of the failure domains.
pub const DOMAINS: [&str; 3] = ["mercado", "bodega", "alcaldia"];

/// Fabric domains of each failure domain.
pub const FABRICS: u32 = 2;

/// Engine hosts of each fabric domain: one replica and a spare host.
pub const HOSTS_PER_FABRIC: u32 = 5;

/// Replicas of each failure domain.
pub const REPLICAS: u32 = 2;

/// Hosts of each replica.
pub const HOSTS_PER_REPLICA: u32 = 4;

/// Plain hosts of each failure domain.
pub const PLAINS: u32 = 2;

/// Nodes of each failure domain.
pub const NODES: u32 = 2;

/// Time until the members of a group notice that another one has gone.
const LOSS_NOTICE: Duration = Duration::from_secs(2);

/// Longest time of one request.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Time within which all replicas have to be formed.
const FORMING: Duration = Duration::from_secs(30);

/// Time between two looks of the watch and the balancer.
const LOOK: Duration = Duration::from_millis(100);

/// What an upstream bears; declared and built in alike.
const LIMITS: declare::Limits =
    declare::Limits { slots: 16, cold_slots: 2, warm_up: Duration::from_secs(3) };

/// Result of a run.
pub struct Outcome {
    /// What the run showed.
    pub report: report::Report,
    /// Chats of the run, for the plot.
    pub chats: load::Report,
}

/// Runs an experiment and, where asked and meaningful, its baseline.
///
/// # Errors
///
/// A report if the run could not be made.
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

/// Runs experiments at the same time with a number of nodes; none means the baseline.
///
/// # Errors
///
/// A report if the run could not be made.
pub async fn run_once(
    parts: &[Name],
    setup: Setup,
    seed: u64,
    nodes: u32,
) -> miette::Result<(report::Run, load::Report)> {
    let cluster = start(setup, nodes).await?;
    let counters = cluster.environment.fleet().counters();
    let stage = Arc::new(stage::Stage::new(cluster));
    let heads = baseline::Heads::default();
    if nodes == 0 {
        heads.repair(&stage).await;
    }
    let end = CancellationToken::new();
    let watching = tokio::spawn(follow(Arc::clone(&stage), heads.clone(), end.clone()));
    let calls = tokio::spawn({
        let stage = Arc::clone(&stage);
        async move { desk::run(&stage, seed, setup.duration).await }
    });
    let chats = tokio::spawn(chat(Arc::clone(&stage), heads, setup, seed));
    tokio::time::sleep(setup.fault_delay).await;
    let mut faults = tokio::task::JoinSet::new();
    for (index, part) in parts.iter().copied().enumerate() {
        let stage = Arc::clone(&stage);
        let mut random = Pcg64::seed_from_u64(seed.wrapping_mul(31).wrapping_add(index as u64));
        random.random::<u64>();
        faults.spawn(async move { scenario::disturb(part, &stage, &mut random).await });
    }
    for disturbed in faults.join_all().await {
        disturbed?;
    }
    let disturbed = stage.begun.elapsed();
    let calls = calls.await.expect("callers don't panic");
    let chats = chats.await.expect("callers don't panic");
    end.cancel();
    let watch = watching.await.expect("the watch doesn't panic");
    let evidence = Finished { setup, disturbed, calls, chats, watch, before: counters };
    evidence.report(stage).await
}

/// Starts the world with so many nodes in each domain, and waits until all replicas are formed.
async fn start(setup: Setup, nodes: u32) -> miette::Result<Cluster> {
    let mut cluster = Cluster::start(options(setup, nodes)).await?;
    if nodes == 0 {
        baseline::form_all(&cluster.environment).await?;
    } else {
        let known = || cluster.nodes().all(|(_, it)| it.state().configured.load(Ordering::Acquire));
        ensure!(cluster::wait(FORMING, known).await, "the nodes didn't read the log in time");
        cluster.declare(REPLICAS, HOSTS_PER_REPLICA, &LIMITS).await?;
        cluster.wait_replicas(REPLICAS as usize, FORMING).await?;
    }
    for domain in DOMAINS {
        let expect = control::Fault::Expect { domain: domain.to_owned(), groups: REPLICAS };
        cluster.environment.fleet().inject(&expect).await;
    }
    tokio::time::sleep(LIMITS.warm_up).await;
    cluster = ready(cluster)?;
    Ok(cluster)
}

fn ready(cluster: Cluster) -> miette::Result<Cluster> {
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

/// Looks at the revisions and keeps the balancer up to date until the end.
async fn follow(
    stage: Arc<stage::Stage>,
    heads: baseline::Heads,
    end: CancellationToken,
) -> watch::Watch {
    let mut watch = watch::Watch::default();
    while !end.is_cancelled() {
        match stage.is_baseline().await {
            true => heads.repair(&stage).await,
            false => {
                watch.look(&stage).await;
                stage.refresh_balancer().await;
            }
        }
        tokio::time::sleep(LOOK).await;
    }
    watch
}

/// Chats through the nodes, or straight at the heads in a baseline.
async fn chat(
    stage: Arc<stage::Stage>,
    heads: baseline::Heads,
    setup: Setup,
    seed: u64,
) -> load::Report {
    let options = load_options(setup, seed);
    load::run_with_targets(&options, |index| match stage.balance(index) {
        Some(address) => load::Target::Chat { address },
        None => heads.target(index),
    })
    .await
}

/// Load of a setup: both teams with their weights.
pub fn load_options(setup: Setup, seed: u64) -> load::Options {
    load::Options {
        seed,
        rate: setup.rate,
        duration: setup.duration,
        timeout: TIMEOUT,
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

/// What is left when the load has ended.
struct Finished {
    setup: Setup,
    disturbed: Duration,
    calls: Vec<desk::Heard>,
    chats: load::Report,
    watch: watch::Watch,
    before: counter::Counters,
}

impl Finished {
    async fn report(self, stage: Arc<stage::Stage>) -> miette::Result<(report::Run, load::Report)> {
        let measures = self.measures(&stage).await;
        let Some(stage) = Arc::into_inner(stage) else {
            return Err(miette::miette!("a task still uses the cluster"));
        };
        let cluster = stage.cluster.into_inner();
        let mut marks = stage.marks.into_inner().unwrap_or_default();
        let promises = promise::count(&promise::Evidence {
            environment: &cluster.environment,
            marks: &marks,
            chats: &self.chats,
            calls: &self.calls,
            watch: &self.watch,
        });
        let failed = self.calls.iter().filter(|it| it.end != desk::End::Complete);
        let happened = std::mem::take(&mut marks.happened);
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

    async fn measures(&self, stage: &stage::Stage) -> report::Measures {
        let cluster = stage.cluster.read().await;
        let now = cluster.environment.fleet().counters();
        let total = |it: &BTreeMap<id::Domain, f64>| it.values().sum::<f64>();
        let (from, to) = (self.setup.fault_delay.as_secs_f64(), self.disturbed.as_secs_f64());
        let spares = HOSTS_PER_FABRIC * FABRICS - REPLICAS * HOSTS_PER_REPLICA;
        let spares = f64::from(spares) * DOMAINS.len() as f64;
        let before = &self.before;
        report::Measures {
            group_down_seconds: total(&now.group_down_seconds) - total(&before.group_down_seconds),
            stranded_seconds: total(&now.stranded_seconds) - total(&before.stranded_seconds),
            spare_seconds: spares * stage.begun.elapsed().as_secs_f64(),
            crashes: now.crashes - before.crashes,
            before: self.chats.between(0.0, from),
            during: self.chats.between(from, to),
            after: self.chats.between(to, f64::INFINITY),
        }
    }
}

//! One run: a site, nodes, callers, faults, and the verdict.

use std::{
    io,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rustix::process::Signal;
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};

use crate::{
    caller::{self, Caller, SUCCESS},
    judge::{Counts, Judge, Kind, Sent},
    node::{GRACE, Node},
    site::{self, DOMAINS, Site},
    trouble::{self, Trouble},
};

/// How to run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of the load and of the faults.
    pub seed: u64,
    /// Time in which faults come.
    pub duration: Duration,
    /// Nodes.
    pub nodes: usize,
    /// Callers.
    pub callers: usize,
    /// The daemon.
    pub daemon: PathBuf,
    /// Where logs and settings of the nodes go.
    pub directory: PathBuf,
}

/// What came of a run.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Requests by how they ended.
    pub counts: Counts,
    /// Faults that were injected, and when.
    pub troubles: Vec<(Duration, Trouble)>,
    /// Promises that were broken.
    pub violations: Vec<String>,
}

/// Longest time until the nodes serve everything, at the start and after the last fault.
const RECOVERY: Duration = Duration::from_secs(12);

/// Shortest and longest pause between two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 60..1200;

/// Time after the last request in which upstreams may still run it.
const LATE_RUNS: Duration = Duration::from_secs(3);

/// Time without faults before a node is stopped on its own.
const CALM: Duration = Duration::from_secs(4);

/// Requests that may be cut while a node stops as planned.
const MAX_CUT: u64 = 0;

/// Runs a soak.
///
/// # Errors
///
/// A process can't be started or a port isn't free.
pub async fn run(options: &Options) -> io::Result<Outcome> {
    let site = Arc::new(Site::start().await?);
    let nodes: Arc<[Node]> = start_nodes(options, &site).await?.into();
    let judge = Arc::new(Judge::default());
    check_recovery("start", &site, &nodes, &judge).await;
    let mut callers = JoinSet::new();
    for index in 0..options.callers {
        let name = format!("c{index}");
        let seed = options.seed ^ (index as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let caller = Caller::new(Arc::clone(&nodes), Arc::clone(&judge), name, seed);
        callers.spawn(caller.run());
    }
    let troubles = make_trouble(options, &site, &nodes).await;
    check_recovery("faults", &site, &nodes, &judge).await;
    stop_one(options, &nodes, &judge).await;
    callers.shutdown().await;
    time::sleep(LATE_RUNS).await;
    let mut violations = judge.violations(&site.crew.runs());
    violations.extend(site.crew.violations());
    Ok(Outcome { counts: judge.counts(), troubles, violations })
}

async fn start_nodes(options: &Options, site: &Site) -> io::Result<Vec<Node>> {
    let mut nodes = Vec::new();
    for index in 0..options.nodes {
        let domain = DOMAINS[index % DOMAINS.len()];
        let name = format!("n{index}");
        let (daemon, directory): (&Path, &Path) = (&options.daemon, &options.directory);
        nodes.push(Node::start(&name, domain, daemon, directory, site.store.address).await?);
    }
    Ok(nodes)
}

/// Injects faults for the time of the options and ends all of them. Returns what was injected.
async fn make_trouble(
    options: &Options,
    site: &Arc<Site>,
    nodes: &Arc<[Node]>,
) -> Vec<(Duration, Trouble)> {
    let mut random = Pcg64::seed_from_u64(options.seed);
    let begun = Instant::now();
    let mut injected = JoinSet::new();
    let mut troubles = Vec::new();
    while begun.elapsed() < options.duration {
        let trouble = trouble::draw(&mut random, nodes.len(), site.links.len());
        let lasts = trouble::duration(&mut random);
        troubles.push((begun.elapsed(), trouble));
        log::info!("{:.1} s: {trouble:?} for {lasts:?}", begun.elapsed().as_secs_f64());
        let inject = trouble::inject(trouble, lasts, Arc::clone(site), Arc::clone(nodes));
        injected.spawn(inject);
        time::sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
    }
    while injected.join_next().await.is_some() {}
    site.heal();
    troubles
}

/// Checks that every node serves every kind of request, and the newest configuration, within the time
/// for recovery.
async fn check_recovery(after: &str, site: &Site, nodes: &[Node], judge: &Judge) {
    let begun = Instant::now();
    let mut round = 0;
    loop {
        round += 1;
        let mut missing = Vec::new();
        for node in nodes {
            missing.extend(unserved(after, round, site, node, judge).await);
        }
        if missing.is_empty() {
            log::info!("all is served {:.1} s after the {after}", begun.elapsed().as_secs_f64());
            return;
        }
        if begun.elapsed() > RECOVERY {
            judge.accuse(format!("RECOVER: {RECOVERY:?} after the {after}: {missing:?}"));
            return;
        }
        time::sleep(Duration::from_millis(200)).await;
    }
}

/// What a node doesn't serve.
async fn unserved(after: &str, round: u32, site: &Site, node: &Node, judge: &Judge) -> Vec<String> {
    let address = node.addresses().callers;
    let mut missing = Vec::new();
    for kind in [Kind::Idempotent, Kind::Once, Kind::Stream] {
        let id = format!("check-{after}-{round}-{}-{kind:?}", node.name());
        let sent = Sent::new(id, kind);
        judge.send(sent.clone());
        let got = caller::ask(address, &sent).await;
        judge.get(&sent, got.as_ref(), site::EVENTS);
        if !got.is_some_and(|it| it.status == SUCCESS && it.is_complete) {
            missing.push(format!("{} {kind:?}", node.name()));
        }
    }
    let version = site.version();
    let mut sent = Sent::new(format!("check-{after}-{round}-{}", node.name()), Kind::Idempotent);
    sent.line = format!("GET {}{round}", site::prefix(version));
    judge.send(sent.clone());
    let got = caller::ask(address, &sent).await;
    if got.is_none_or(|it| it.status != SUCCESS) {
        missing.push(format!("{} version {version}", node.name()));
    }
    missing
}

/// Stops a node while nothing else happens: no request that it took may be cut.
async fn stop_one(options: &Options, nodes: &[Node], judge: &Judge) {
    time::sleep(CALM).await;
    let node = &nodes[options.seed as usize % nodes.len()];
    let before = judge.counts().failed;
    node.signal(Signal::TERM);
    time::sleep(GRACE + Duration::from_millis(500)).await;
    let cut = judge.counts().failed - before;
    if cut > MAX_CUT {
        judge.accuse(format!("LOST: {cut} requests failed while {} stopped", node.name()));
    }
    if node.is_running() {
        judge.accuse(format!("{} still runs after its grace period", node.name()));
    }
}

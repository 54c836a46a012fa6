//! One soak run: starts the testbed, nodes and callers, injects faults, and checks the guarantees.

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
    checker::{Checker, Counts, Kind, Request},
    fault::{self, Fault},
    history::History,
    limit, lost,
    node::{Node, SHUTDOWN_GRACE},
    process, recover,
    testbed::{self, DOMAINS, Testbed},
    upgrade,
};

/// Options of a run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of the load and of the faults.
    pub seed: u64,
    /// Time during which faults are injected.
    pub duration: Duration,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of callers.
    pub callers: usize,
    /// Weights of faults that can be left out.
    pub weights: fault::Weights,
    /// Path of the daemon's executable.
    pub daemon: PathBuf,
    /// Path of another build's executable. Every other node starts with it; then the nodes are replaced one after the
    /// other, all by `daemon`, all by this one, and so on.
    pub former: Option<PathBuf>,
    /// Directory for the logs and settings of the nodes.
    pub directory: PathBuf,
}

/// Outcome of a run.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Numbers of requests by outcome.
    pub counts: Counts,
    /// Injected faults, each with the time since the start of fault injection.
    pub faults: Vec<(Duration, Fault)>,
    /// What callers saw while nodes were stranded.
    pub strandings: Vec<recover::Report>,
    /// Descriptions of the violated guarantees.
    pub violations: Vec<String>,
}

/// Longest time until all nodes serve all kinds of requests, after the start and after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Range of the pause between two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 60..1200;

/// Time after the last request during which upstreams may still run it.
const LATE_RUN_WAIT: Duration = Duration::from_secs(3);

/// Time without faults before the graceful stop of a node is checked.
const QUIET_PERIOD: Duration = Duration::from_secs(4);

/// Number of requests that may fail during the graceful stop of a node.
const MAX_LOST_ON_STOP: u64 = 0;

/// Runs a soak test and returns the faults and violations.
///
/// # Errors
///
/// Fails if no port is free, a file can't be written, or a process can't be started.
pub async fn run(options: &Options) -> io::Result<Outcome> {
    let processes = process::Registry::default();
    let testbed = Arc::new(Testbed::start(&processes, options.weights.refusals > 0).await?);
    let nodes: Arc<[Node]> = start_nodes(options, &testbed, &processes).await?.into();
    let history = Arc::new(History::default());
    let checker = Arc::new(Checker::default());
    check_recovery("start", &testbed, &nodes, &checker).await;
    let mut callers = JoinSet::new();
    for index in 0..options.callers {
        let name = format!("c{index}");
        let seed = options.seed ^ (index as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let (nodes, checker) = (Arc::clone(&nodes), Arc::clone(&checker));
        let load = caller::Load {
            has_single_streams: options.weights.pauses > 0,
            has_repeats: options.weights.refusals > 0,
        };
        let caller = Caller::new(nodes, checker, name, seed, load);
        callers.spawn(caller.run());
    }
    let (faults, ()) = tokio::join!(
        inject_faults(options, &testbed, &nodes, &history),
        upgrade::run(options, &nodes, &history)
    );
    check_recovery("faults", &testbed, &nodes, &checker).await;
    check_graceful_stop(options, &nodes, &checker).await;
    callers.shutdown().await;
    time::sleep(LATE_RUN_WAIT).await;
    let (tries, events) = (checker.tries(), history.events());
    let runs = testbed.cluster.runs();
    let mut violations = checker.violations(&runs);
    violations.extend(testbed.cluster.violations());
    violations.extend(lost::find(&lost::Records {
        tries: &tries,
        runs: &runs,
        broken_off: &testbed.cluster.broken_off(),
        events: &events,
        hosts: &testbed.hosts(),
        nodes: nodes.len(),
    }));
    violations.extend(limit::find(&limit::Records {
        tries: &tries,
        arrivals: &testbed.cluster.arrivals(),
        limits: &testbed.cluster.limits(),
        events: &events,
        hosts: &testbed.hosts(),
        nodes: nodes.len(),
    }));
    let strandings = recover::report(&tries, &events, nodes.len());
    let is_violation = |it: &&recover::Report| it.is_violation();
    violations.extend(strandings.iter().filter(is_violation).map(|it| format!("RECOVER: {it}")));
    Ok(Outcome { counts: checker.counts(), faults, strandings, violations })
}

async fn start_nodes(
    options: &Options,
    testbed: &Testbed,
    processes: &process::Registry,
) -> io::Result<Vec<Node>> {
    let mut nodes = Vec::new();
    for index in 0..options.nodes {
        let domain = DOMAINS[index % DOMAINS.len()];
        let former = options.former.as_ref().filter(|_| index % 2 == 1);
        let daemon: &Path = former.unwrap_or(&options.daemon);
        let directory: &Path = &options.directory;
        let store = testbed.store.address;
        nodes.push(Node::start(index, processes, domain, daemon, directory, store).await?);
    }
    Ok(nodes)
}

/// Injects random faults for the duration in the options, waits until all of them have ended, and returns
/// them. While nodes are stranded, only faults are drawn that spare the nodes, so that they stay in touch.
async fn inject_faults(
    options: &Options,
    testbed: &Arc<Testbed>,
    nodes: &Arc<[Node]>,
    history: &Arc<History>,
) -> Vec<(Duration, Fault)> {
    let mut random = Pcg64::seed_from_u64(options.seed);
    let started = Instant::now();
    let mut injected = JoinSet::new();
    let mut faults = Vec::new();
    let mut stranded_for = Duration::ZERO;
    while started.elapsed() < options.duration {
        let mut draw =
            || fault::draw(&mut random, options.weights, nodes.len(), testbed.links.len());
        let mut fault = draw();
        while !stranded_for.is_zero() && !fault.spares_nodes() {
            fault = draw();
        }
        let duration = fault::draw_duration(&mut random, fault);
        if let Fault::Strand(..) = fault {
            stranded_for = duration;
        }
        faults.push((started.elapsed(), fault));
        log::info!(
            "{:.1} s: injecting {fault:?} for {duration:?}",
            started.elapsed().as_secs_f64()
        );
        let inject = fault::inject(fault, duration, Arc::clone(testbed), Arc::clone(nodes));
        let history = Arc::clone(history);
        injected.spawn(async move {
            let number = history.begin(fault);
            inject.await;
            history.end(number);
        });
        let pause = Duration::from_millis(random.random_range(PAUSE_MS));
        stranded_for = stranded_for.saturating_sub(pause);
        time::sleep(pause).await;
    }
    while injected.join_next().await.is_some() {}
    testbed.heal();
    faults
}

/// Checks that every node serves every kind of request and the latest configuration within
/// [`RECOVERY_TIMEOUT`]; records a violation otherwise.
async fn check_recovery(after: &str, testbed: &Testbed, nodes: &[Node], checker: &Checker) {
    let started = Instant::now();
    let mut round = 0;
    loop {
        round += 1;
        let mut missing = Vec::new();
        for node in nodes {
            missing.extend(find_unserved(after, round, testbed, node, checker).await);
        }
        if missing.is_empty() {
            log::info!(
                "all nodes serve all requests {:.1} s after the {after}",
                started.elapsed().as_secs_f64()
            );
            return;
        }
        if started.elapsed() > RECOVERY_TIMEOUT {
            checker.record_violation(format!(
                "RECOVER: {RECOVERY_TIMEOUT:?} after the {after}: {missing:?}"
            ));
            return;
        }
        time::sleep(Duration::from_millis(200)).await;
    }
}

/// Sends one request of each kind, and one to the route of the latest configuration, to a node. Returns
/// descriptions of those that it doesn't answer successfully.
async fn find_unserved(
    after: &str,
    round: u32,
    testbed: &Testbed,
    node: &Node,
    checker: &Checker,
) -> Vec<String> {
    let address = node.addresses().callers;
    let mut missing = Vec::new();
    for kind in [Kind::Idempotent, Kind::Once, Kind::Stream] {
        let id = format!("check-{after}-{round}-{}-{kind:?}", node.name());
        let sent = Request::new(id, kind);
        checker.record_request(sent.clone());
        let reply = caller::send_once(address, &sent).await;
        checker.record_reply(&sent, reply.as_ref(), testbed::STREAM_EVENTS);
        if !reply.is_some_and(|it| it.status == SUCCESS && it.is_complete) {
            missing.push(format!("{} {kind:?}", node.name()));
        }
    }
    let version = testbed.version();
    let mut sent = Request::new(format!("check-{after}-{round}-{}", node.name()), Kind::Idempotent);
    sent.line = format!("GET {}{round}", testbed::version_prefix(version));
    checker.record_request(sent.clone());
    let reply = caller::send_once(address, &sent).await;
    if reply.is_none_or(|it| it.status != SUCCESS) {
        missing.push(format!("{} version {version}", node.name()));
    }
    missing
}

/// Stops a node with SIGTERM while no faults are active, and checks that no request fails and that the
/// process exits within its grace period.
async fn check_graceful_stop(options: &Options, nodes: &[Node], checker: &Checker) {
    time::sleep(QUIET_PERIOD).await;
    let node = &nodes[options.seed as usize % nodes.len()];
    let failed_before = checker.counts().failed;
    node.signal(Signal::TERM);
    time::sleep(SHUTDOWN_GRACE + Duration::from_millis(500)).await;
    let lost = checker.counts().failed - failed_before;
    if lost > MAX_LOST_ON_STOP {
        checker.record_violation(format!(
            "LOST: {lost} requests failed while {} stopped",
            node.name()
        ));
    }
    if node.is_running() {
        checker.record_violation(format!("{} still runs after its grace period", node.name()));
    }
}

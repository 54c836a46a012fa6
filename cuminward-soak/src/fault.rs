//! Faults: draws them at random and injects them. Faults may overlap.

use std::{sync::Arc, time::Duration};

use cuminward_adapter_fake::cluster::{Limit, Refusals};
use cuminward_standin::link::{Disruption, Link};
use http::StatusCode;
use rand::RngExt;
use rand_pcg::Pcg64;
use rustix::process::Signal;
use tokio::time::{self, Instant};

use crate::{
    node::{Node, SHUTDOWN_GRACE},
    testbed::{DOMAINS, HOSTS, Testbed},
};

/// Range of a fault's duration, in milliseconds: of pauses, of strandings, of refusals, of limits, and of
/// all other faults.
const PAUSE_MS: std::ops::Range<u64> = 500..1500;
const STRANDING_MS: std::ops::Range<u64> = 4000..12000;
const REFUSALS_MS: std::ops::Range<u64> = 3000..9000;
const LIMIT_MS: std::ops::Range<u64> = 6000..12000;
const DURATION_MS: std::ops::Range<u64> = 200..3500;

/// Numbers of hosts that may pause together.
const PAUSED_HOSTS: [usize; 3] = [1, HOSTS * 2 / 3, HOSTS];

/// Numbers of hosts that may refuse requests together.
const REFUSING_HOSTS: [usize; 2] = [HOSTS * 2 / 3, HOSTS];
/// Such a host refuses one in this many requests, and needs this time for others that aren't streams.
const REFUSAL_RATIO: u64 = 4;
const SLOW_ANSWER: Duration = Duration::from_millis(300);

/// Numbers of hosts that may name a limit together, and range of the limits, in tenths of a request a second.
const LIMITED_HOSTS: [usize; 2] = [HOSTS / 3, HOSTS * 2 / 3];
const LIMIT_TENTHS: std::ops::Range<u32> = 20..60;

/// Weight of all faults without a weight of their own.
const BASE_WEIGHT: u32 = 26;

/// Time between the crash of a host and its removal from the platform's host list.
const HOST_REMOVAL_DELAY: Duration = Duration::from_millis(1500);

/// Time for which a reset host refuses connections.
const RESET_DURATION: Duration = Duration::from_millis(50);

/// Longest wait for the exit of a killed process, and the interval at which its state is polled.
const EXIT_TIMEOUT: Duration = Duration::from_secs(15);
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Added latency of a delayed link.
const LINK_DELAY: Duration = Duration::from_millis(120);

/// Weights of faults, relative to that of all others together. With 0 for all, a seed draws the same faults as
/// before these existed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Weights {
    /// Weight of pauses of hosts.
    pub pauses: u32,
    /// Weight of strandings of nodes.
    pub strandings: u32,
    /// Weight of hosts that refuse requests and send copies of the refusals. Unless it is 0, callers send requests
    /// again that must run once and were refused.
    pub refusals: u32,
    /// Weight of hosts that name a limit.
    pub limits: u32,
}

impl Default for Weights {
    fn default() -> Weights {
        Weights { pauses: 3, strandings: 1, refusals: 2, limits: 2 }
    }
}

/// Nodes that lose their paths to all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// One node.
    Node(usize),
    /// Two thirds of the nodes, from this one on.
    Most(usize),
    /// All nodes of this node's failure domain.
    Domain(usize),
}

/// A fault; the numbers are indices of nodes or hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The process of a node is killed and started again after the duration.
    Kill(usize),
    /// The processes of all nodes are killed and started again after the duration.
    KillAll,
    /// The process of a node is stopped with SIGTERM and started again.
    Terminate(usize),
    /// The process of a node is suspended with SIGSTOP.
    Freeze(usize),
    /// The process of a node receives SIGHUP and reloads its settings.
    Hangup(usize),
    /// The store refuses all requests.
    StoreDown,
    /// The connections between a node and the store carry no data.
    StoreCut(usize),
    /// The open connections between a node and the store stop carrying data and never recover.
    StoreSilent(usize),
    /// Reads that wait at the store aren't woken up by new records.
    StoreDeaf,
    /// The store compacts the platform's topics, so that their older records are gone.
    Compact,
    /// A host crashes and is started again after the duration.
    Crash(usize),
    /// The connections to a host carry no data.
    CutHost(usize),
    /// The data that a host sends doesn't arrive.
    CutAnswers(usize),
    /// The open connections to a host stop carrying data and never recover.
    SilenceHost(usize),
    /// All connections to a host are closed, and new ones are refused for a moment.
    ResetHost(usize),
    /// The latency of the connections to a host is increased.
    Delay(usize),
    /// Orders to hosts are carried out late and without an answer.
    LateOrders,
    /// A new version of the configuration is declared.
    Configure,
    /// Sound hosts, this many from the first one on, send and read nothing on any connection, and then go on.
    Pause(usize, usize),
    /// Hosts, this many from the first one on, refuse a part of the requests and send a copy of each refusal late.
    Refuse(usize, usize),
    /// Hosts, this many from the first one on, name a limit in all their responses, in tenths of a request a second.
    NameLimit(usize, usize, u32),
    /// The paths between some nodes and all hosts are disrupted.
    Strand(Scope, Disruption),
}

/// Access
impl Fault {
    /// Returns whether all nodes keep running and reaching the store and, but for the disrupted hosts, the hosts.
    pub fn spares_nodes(&self) -> bool {
        matches!(
            self,
            Fault::Hangup(_)
                | Fault::Crash(_)
                | Fault::CutHost(_)
                | Fault::CutAnswers(_)
                | Fault::SilenceHost(_)
                | Fault::ResetHost(_)
                | Fault::Delay(_)
                | Fault::LateOrders
                | Fault::Configure
                | Fault::Pause(..)
                | Fault::Refuse(..)
        )
    }
}

/// Access
impl Scope {
    /// Returns the numbers of the nodes, out of `count`.
    pub fn nodes(&self, count: usize) -> Vec<usize> {
        match *self {
            Scope::Node(node) => vec![node],
            Scope::Most(first) => (first..first + count * 2 / 3).map(|it| it % count).collect(),
            Scope::Domain(node) => {
                let domain = node % DOMAINS.len();
                (0..count).filter(|it| it % DOMAINS.len() == domain).collect()
            }
        }
    }
}

/// Draws a fault; `nodes` and `hosts` are the numbers of nodes and hosts.
pub fn draw(random: &mut Pcg64, weights: Weights, nodes: usize, hosts: usize) -> Fault {
    let node = random.random_range(0..nodes);
    let host = random.random_range(0..hosts);
    let refusals_from = BASE_WEIGHT + weights.pauses;
    let limits_from = refusals_from + weights.refusals;
    let strandings_from = limits_from + weights.limits;
    match random.random_range(0..strandings_from + weights.strandings) {
        0 | 1 => Fault::Kill(node),
        2 => Fault::KillAll,
        3 | 4 => Fault::Terminate(node),
        5 | 6 => Fault::Freeze(node),
        7 => Fault::Hangup(node),
        8 => Fault::StoreDown,
        9 | 10 => Fault::StoreCut(node),
        11 => Fault::StoreSilent(node),
        12 => Fault::StoreDeaf,
        13 => Fault::Compact,
        14..=16 => Fault::Crash(host),
        17 | 18 => Fault::CutHost(host),
        19 => Fault::CutAnswers(host),
        20 => Fault::SilenceHost(host),
        21 => Fault::ResetHost(host),
        22 => Fault::Delay(host),
        23 => Fault::LateOrders,
        24 | 25 => Fault::Configure,
        it if it < refusals_from => {
            Fault::Pause(host, PAUSED_HOSTS[random.random_range(0..PAUSED_HOSTS.len())])
        }
        it if it < limits_from => {
            Fault::Refuse(host, REFUSING_HOSTS[random.random_range(0..REFUSING_HOSTS.len())])
        }
        it if it < strandings_from => draw_limit(random, host),
        _ => draw_stranding(random, node),
    }
}

fn draw_limit(random: &mut Pcg64, first: usize) -> Fault {
    let count = LIMITED_HOSTS[random.random_range(0..LIMITED_HOSTS.len())];
    Fault::NameLimit(first, count, random.random_range(LIMIT_TENTHS))
}

fn draw_stranding(random: &mut Pcg64, node: usize) -> Fault {
    let scope = match random.random_range(0..3) {
        0 => Scope::Node(node),
        1 => Scope::Most(node),
        _ => Scope::Domain(node),
    };
    let disruption = match random.random_range(0..3) {
        0 => Disruption::Hang,
        1 => Disruption::Reset,
        _ => Disruption::Refuse,
    };
    Fault::Strand(scope, disruption)
}

/// Draws the duration of a fault.
pub fn draw_duration(random: &mut Pcg64, fault: Fault) -> Duration {
    let range = match fault {
        Fault::Pause(..) => PAUSE_MS,
        Fault::Strand(..) => STRANDING_MS,
        Fault::Refuse(..) => REFUSALS_MS,
        Fault::NameLimit(..) => LIMIT_MS,
        _ => DURATION_MS,
    };
    Duration::from_millis(random.random_range(range))
}

/// Injects a fault and ends it after `duration`. Returns once the fault has ended; a silenced connection
/// stays silent.
pub async fn inject(fault: Fault, duration: Duration, testbed: Arc<Testbed>, nodes: Arc<[Node]>) {
    let link = |host: usize| &testbed.links[host].1;
    let store = |node: usize| &nodes[node].store;
    match fault {
        Fault::Kill(at) => kill(&nodes[at..=at], duration).await,
        Fault::KillAll => kill(&nodes, duration).await,
        Fault::Terminate(at) => terminate(&nodes[at]).await,
        Fault::Freeze(at) => {
            let signal = |signal| nodes[at].signal(signal);
            apply_for(duration, || signal(Signal::STOP), || signal(Signal::CONT)).await;
        }
        Fault::Hangup(at) => nodes[at].signal(Signal::HUP),
        Fault::StoreDown => {
            let refusal = Some(StatusCode::SERVICE_UNAVAILABLE);
            apply_for(
                duration,
                || testbed.store.set_refusal(refusal),
                || testbed.store.set_refusal(None),
            )
            .await;
        }
        Fault::StoreCut(at) => apply_for(duration, || store(at).cut(), || store(at).heal()).await,
        Fault::StoreSilent(at) => store(at).silence(),
        Fault::StoreDeaf => {
            apply_for(
                duration,
                || testbed.store.set_wakeups_suppressed(true),
                || testbed.store.set_wakeups_suppressed(false),
            )
            .await;
        }
        Fault::Compact => testbed.store.compact_platform_topics(),
        Fault::Crash(host) => crash(host, duration, &testbed).await,
        Fault::CutHost(host) => {
            apply_for(duration, || link(host).cut(), || link(host).heal()).await;
        }
        Fault::Pause(first, count) => {
            let paused = || hosts_from(first, count).map(link);
            apply_for(duration, || paused().for_each(Link::cut), || paused().for_each(Link::heal))
                .await;
        }
        Fault::Refuse(first, count) => {
            let until = Instant::now() + duration;
            let refusals = Refusals { ratio: REFUSAL_RATIO, answer: SLOW_ANSWER, until };
            for host in hosts_from(first, count) {
                testbed.cluster.refuse(&testbed.links[host].0, refusals);
            }
            time::sleep(duration).await;
        }
        Fault::NameLimit(first, count, tenths) => {
            let rate = f64::from(tenths) / 10.0;
            let (from, until) = (Instant::now(), Instant::now() + duration);
            for at in hosts_from(first, count) {
                let host = testbed.links[at].0.clone();
                testbed.cluster.name_limit(Limit { host, rate, from, until });
            }
            time::sleep(duration).await;
        }
        Fault::CutAnswers(host) => {
            apply_for(duration, || link(host).cut_backward(), || link(host).heal()).await;
        }
        Fault::SilenceHost(host) => link(host).silence(),
        Fault::ResetHost(host) => {
            apply_for(RESET_DURATION, || link(host).refuse(), || link(host).heal()).await;
        }
        Fault::Delay(host) => {
            let delay = |delay| link(host).delay(delay);
            apply_for(duration, || delay(LINK_DELAY), || delay(Duration::ZERO)).await;
        }
        Fault::LateOrders => {
            let set = |is_on| testbed.cluster.set_late_orders(is_on);
            apply_for(duration, || set(true), || set(false)).await;
        }
        Fault::Configure => testbed.configure(),
        Fault::Strand(scope, disruption) => {
            let stranded = scope.nodes(nodes.len());
            let strand = |disruption| testbed.strand(&stranded, disruption);
            apply_for(duration, || strand(Some(disruption)), || strand(None)).await;
        }
    }
}

/// Returns the numbers of `count` hosts from the first one on.
pub fn hosts_from(first: usize, count: usize) -> impl Iterator<Item = usize> {
    (first..first + count).map(|it| it % HOSTS)
}

/// Calls `begin`, waits for `duration`, and calls `end`.
async fn apply_for(duration: Duration, begin: impl FnOnce(), end: impl FnOnce()) {
    begin();
    time::sleep(duration).await;
    end();
}

async fn kill(nodes: &[Node], duration: Duration) {
    let start_counts: Vec<u32> = nodes.iter().map(end).collect();
    time::sleep(duration).await;
    for (node, start_count) in nodes.iter().zip(start_counts) {
        restart(node, start_count).await;
    }
}

async fn terminate(node: &Node) {
    node.signal(Signal::TERM);
    time::sleep(SHUTDOWN_GRACE).await;
    // A process that another fault suspended hasn't handled SIGTERM yet.
    restart(node, end(node)).await;
}

/// Kills the process of a node. Returns how often one had been started then.
pub(crate) fn end(node: &Node) -> u32 {
    node.signal(Signal::KILL);
    node.start_count()
}

/// Starts a node once its killed process has exited, unless another fault has started it since.
pub(crate) async fn restart(node: &Node, start_count: u32) {
    let mut waited = Duration::ZERO;
    loop {
        match node.restart_after(start_count) {
            Ok(true) => return,
            Ok(false) if waited < EXIT_TIMEOUT => {}
            Ok(false) => return log::error!("node {} still runs after {waited:?}", node.name()),
            Err(error) => return log::error!("can't restart node {}: {error}", node.name()),
        }
        time::sleep(EXIT_POLL_INTERVAL).await;
        waited += EXIT_POLL_INTERVAL;
    }
}

async fn crash(host: usize, duration: Duration, testbed: &Testbed) {
    let (id, link) = &testbed.links[host];
    testbed.cluster.crash(id);
    link.refuse();
    if duration > HOST_REMOVAL_DELAY {
        time::sleep(HOST_REMOVAL_DELAY).await;
        testbed.cluster.remove_entry(id);
    }
    time::sleep(duration.saturating_sub(HOST_REMOVAL_DELAY).max(Duration::from_millis(100))).await;
    link.heal();
    testbed.cluster.restart(id);
}

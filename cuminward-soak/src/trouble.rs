//! Faults, drawn from a seed, in series and overlapping.

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use rand::RngExt;
use rand_pcg::Pcg64;
use rustix::process::Signal;
use tokio::time;

use crate::{
    node::{GRACE, Node},
    site::Site,
};

/// Shortest and longest time that a fault lasts, in milliseconds.
const LASTS_MS: std::ops::Range<u64> = 200..3500;

/// Time after a crash at which the platform removes a host from its list.
const LAPSE: Duration = Duration::from_millis(1500);

/// Time for which a reset host takes no connections.
const RESET: Duration = Duration::from_millis(50);

/// Time in which a process that was killed is gone, and interval at which that is looked at.
const EXIT: Duration = Duration::from_secs(3);
const LOOK: Duration = Duration::from_millis(50);

/// Delay of a slow link.
const DELAY: Duration = Duration::from_millis(120);

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// A process is killed.
    Kill(usize),
    /// All processes are killed.
    KillAll,
    /// A process is stopped and started again.
    Terminate(usize),
    /// A process stands still.
    Freeze(usize),
    /// A process is told to read its settings.
    Hangup(usize),
    /// The store turns everybody away.
    StoreDown,
    /// A node's connections to the store carry nothing.
    StoreCut(usize),
    /// A node's open connections to the store go silent for good.
    StoreSilent(usize),
    /// Reads at the store that wait hear of nothing.
    StoreDeaf,
    /// The store forgets its history.
    Compact,
    /// A host crashes.
    Crash(usize),
    /// A host is cut off.
    CutHost(usize),
    /// What a host sends doesn't arrive.
    CutAnswers(usize),
    /// Open connections to a host go silent for good.
    SilenceHost(usize),
    /// All connections to a host are closed.
    ResetHost(usize),
    /// A host is far away.
    Delay(usize),
    /// Orders get no answer and are carried out late.
    LateOrders,
    /// The configuration changes.
    Configure,
}

/// Draws a fault for so many nodes and hosts.
pub fn draw(random: &mut Pcg64, nodes: usize, hosts: usize) -> Trouble {
    let node = random.random_range(0..nodes);
    let host = random.random_range(0..hosts);
    match random.random_range(0..26) {
        0 | 1 => Trouble::Kill(node),
        2 => Trouble::KillAll,
        3 | 4 => Trouble::Terminate(node),
        5 | 6 => Trouble::Freeze(node),
        7 => Trouble::Hangup(node),
        8 => Trouble::StoreDown,
        9 | 10 => Trouble::StoreCut(node),
        11 => Trouble::StoreSilent(node),
        12 => Trouble::StoreDeaf,
        13 => Trouble::Compact,
        14..=16 => Trouble::Crash(host),
        17 | 18 => Trouble::CutHost(host),
        19 => Trouble::CutAnswers(host),
        20 => Trouble::SilenceHost(host),
        21 => Trouble::ResetHost(host),
        22 => Trouble::Delay(host),
        23 => Trouble::LateOrders,
        _ => Trouble::Configure,
    }
}

/// Draws how long a fault lasts.
pub fn duration(random: &mut Pcg64) -> Duration {
    Duration::from_millis(random.random_range(LASTS_MS))
}

/// Injects a fault and ends it after a time.
pub async fn inject(trouble: Trouble, lasts: Duration, site: Arc<Site>, nodes: Arc<[Node]>) {
    let link = |host: usize| &site.links[host].1;
    let store = |node: usize| &nodes[node].store;
    match trouble {
        Trouble::Kill(at) => kill(&nodes[at..=at], lasts).await,
        Trouble::KillAll => kill(&nodes, lasts).await,
        Trouble::Terminate(at) => terminate(&nodes[at]).await,
        Trouble::Freeze(at) => {
            let signal = |signal| nodes[at].signal(signal);
            during(lasts, || signal(Signal::STOP), || signal(Signal::CONT)).await;
        }
        Trouble::Hangup(at) => nodes[at].signal(Signal::HUP),
        Trouble::StoreDown => {
            let refusal = Some(StatusCode::SERVICE_UNAVAILABLE);
            during(lasts, || site.store.set_refusal(refusal), || site.store.set_refusal(None))
                .await;
        }
        Trouble::StoreCut(at) => during(lasts, || store(at).cut(), || store(at).heal()).await,
        Trouble::StoreSilent(at) => store(at).silence(),
        Trouble::StoreDeaf => {
            during(
                lasts,
                || site.store.set_wakeups_suppressed(true),
                || site.store.set_wakeups_suppressed(false),
            )
            .await;
        }
        Trouble::Compact => site.store.compact_platform_topics(),
        Trouble::Crash(host) => crash(host, lasts, &site).await,
        Trouble::CutHost(host) => {
            during(lasts, || link(host).cut(), || link(host).heal()).await;
        }
        Trouble::CutAnswers(host) => {
            during(lasts, || link(host).cut_backward(), || link(host).heal()).await;
        }
        Trouble::SilenceHost(host) => link(host).silence(),
        Trouble::ResetHost(host) => {
            during(RESET, || link(host).refuse(), || link(host).heal()).await;
        }
        Trouble::Delay(host) => {
            let delay = |delay| link(host).delay(delay);
            during(lasts, || delay(DELAY), || delay(Duration::ZERO)).await;
        }
        Trouble::LateOrders => {
            let set = |is_on| site.crew.set_late_orders(is_on);
            during(lasts, || set(true), || set(false)).await;
        }
        Trouble::Configure => site.configure(),
    }
}

/// Begins something and ends it after a time.
async fn during(lasts: Duration, begin: impl FnOnce(), end: impl FnOnce()) {
    begin();
    time::sleep(lasts).await;
    end();
}

async fn kill(nodes: &[Node], lasts: Duration) {
    for node in nodes {
        node.signal(Signal::KILL);
    }
    time::sleep(lasts).await;
    for node in nodes {
        restart(node).await;
    }
}

async fn terminate(node: &Node) {
    node.signal(Signal::TERM);
    time::sleep(GRACE).await;
    // A process that was frozen meanwhile hasn't stopped yet.
    node.signal(Signal::KILL);
    restart(node).await;
}

/// Starts a node once its killed process is gone, unless another fault's end has started it.
async fn restart(node: &Node) {
    let mut waited = Duration::ZERO;
    while node.is_running() {
        if waited > EXIT {
            return;
        }
        time::sleep(LOOK).await;
        waited += LOOK;
    }
    if let Err(error) = node.restart() {
        log::error!("{} can't be started: {error}", node.name());
    }
}

async fn crash(host: usize, lasts: Duration, site: &Site) {
    let (id, link) = &site.links[host];
    site.crew.crash(id);
    link.refuse();
    if lasts > LAPSE {
        time::sleep(LAPSE).await;
        site.crew.remove_entry(id);
    }
    time::sleep(lasts.saturating_sub(LAPSE).max(Duration::from_millis(100))).await;
    link.heal();
    site.crew.restart(id);
}

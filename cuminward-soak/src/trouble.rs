//! Faults, drawn from a seed, in series and overlapping.

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use rand::RngExt;
use rand_pcg::Pcg64;
use rustix::process::Signal;
use tokio::time;

use crate::{
    node::{self, Node},
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
    match trouble {
        Trouble::Kill(_) | Trouble::KillAll | Trouble::Terminate(_) | Trouble::Freeze(_) => {
            disturb(trouble, lasts, &nodes).await;
        }
        Trouble::Hangup(node) => nodes[node].signal(Signal::HUP),
        Trouble::StoreDown => {
            site.store.refuse(Some(StatusCode::SERVICE_UNAVAILABLE));
            time::sleep(lasts).await;
            site.store.refuse(None);
        }
        Trouble::StoreCut(node) => {
            nodes[node].store.cut();
            time::sleep(lasts).await;
            nodes[node].store.heal();
        }
        Trouble::StoreSilent(node) => nodes[node].store.silence(),
        Trouble::StoreDeaf => {
            site.store.set_deaf(true);
            time::sleep(lasts).await;
            site.store.set_deaf(false);
        }
        Trouble::Compact => {
            site.store.compact("keyed.op");
            site.store.compact("keyed.servers");
        }
        Trouble::LateOrders => {
            site.crew.set_late_orders(true);
            time::sleep(lasts).await;
            site.crew.set_late_orders(false);
        }
        Trouble::Configure => site.configure(),
        Trouble::Crash(host) => crash(host, lasts, &site).await,
        Trouble::CutHost(_)
        | Trouble::CutAnswers(_)
        | Trouble::SilenceHost(_)
        | Trouble::ResetHost(_)
        | Trouble::Delay(_) => disturb_link(trouble, lasts, &site).await,
    }
}

async fn disturb(trouble: Trouble, lasts: Duration, nodes: &[Node]) {
    match trouble {
        Trouble::Kill(at) => {
            nodes[at].signal(Signal::KILL);
            time::sleep(lasts).await;
            restart(&nodes[at]).await;
        }
        Trouble::KillAll => {
            for node in nodes {
                node.signal(Signal::KILL);
            }
            time::sleep(lasts).await;
            for node in nodes {
                restart(node).await;
            }
        }
        Trouble::Terminate(at) => {
            nodes[at].signal(Signal::TERM);
            time::sleep(node::GRACE).await;
            // A process that was frozen meanwhile hasn't stopped yet.
            nodes[at].signal(Signal::KILL);
            restart(&nodes[at]).await;
        }
        Trouble::Freeze(at) => {
            nodes[at].signal(Signal::STOP);
            time::sleep(lasts).await;
            nodes[at].signal(Signal::CONT);
        }
        _ => {}
    }
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
        site.crew.unlist(id);
    }
    time::sleep(lasts.saturating_sub(LAPSE).max(Duration::from_millis(100))).await;
    link.heal();
    site.crew.restart(id);
}

async fn disturb_link(trouble: Trouble, lasts: Duration, site: &Site) {
    let link = |host: usize| &site.links[host].1;
    match trouble {
        Trouble::CutHost(host) => {
            link(host).cut();
            time::sleep(lasts).await;
            link(host).heal();
        }
        Trouble::CutAnswers(host) => {
            link(host).cut_backward();
            time::sleep(lasts).await;
            link(host).heal();
        }
        Trouble::SilenceHost(host) => link(host).silence(),
        Trouble::ResetHost(host) => {
            link(host).refuse();
            time::sleep(RESET).await;
            link(host).heal();
        }
        Trouble::Delay(host) => {
            link(host).delay(DELAY);
            time::sleep(lasts).await;
            link(host).delay(Duration::ZERO);
        }
        _ => {}
    }
}

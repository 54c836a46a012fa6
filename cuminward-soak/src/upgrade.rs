//! Roll-outs of one build of the daemon in place of another, and back.

use std::{path::Path, time::Duration};

use rustix::process::Signal;
use tokio::time::{self, Instant};

use crate::{
    fault::{self, Fault},
    history::History,
    node::{Node, SHUTDOWN_GRACE},
    soak::Options,
};

/// Pause after the replacement of a node.
const PAUSE: Duration = Duration::from_millis(300);

/// Interval at which the exit of a process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Replaces the nodes one after the other for the duration in the options, if they name two builds: all by the present
/// build, then all by the former one, and so on.
pub async fn run(options: &Options, nodes: &[Node], history: &History) {
    let Some(former) = &options.former else { return };
    let started = Instant::now();
    let builds: [&Path; 2] = [&options.daemon, former];
    let replacements = builds
        .into_iter()
        .cycle()
        .flat_map(|build| (0..nodes.len()).map(move |node| (build, node)));
    for (build, node) in replacements {
        if started.elapsed() >= options.duration {
            return;
        }
        log::info!("node {node} goes on with {}", build.display());
        nodes[node].set_daemon(build);
        replace(node, nodes, history).await;
        time::sleep(PAUSE).await;
    }
}

/// Ends the process of a node and starts a new one: every third time without a warning, else with SIGTERM.
async fn replace(number: usize, nodes: &[Node], history: &History) {
    let node = &nodes[number];
    let (fault, signal) = match number % 3 {
        2 => (Fault::Kill(number), Signal::KILL),
        _ => (Fault::Terminate(number), Signal::TERM),
    };
    let event = history.begin(fault);
    node.signal(signal);
    let signalled = Instant::now();
    while node.is_running() && signalled.elapsed() < SHUTDOWN_GRACE {
        time::sleep(POLL_INTERVAL).await;
    }
    // A process that another fault suspended hasn't handled SIGTERM yet.
    fault::restart(node, fault::end(node)).await;
    history.end(event);
}

//! A request crashes each server that begins to run it, and comes again after all processes were killed at the same
//! moment.

use std::{collections::HashSet, io, path::Path, time::Duration};

use crate::{
    Verdict,
    consumer::{self, Exchange},
    server::{self, Server},
    site::{self, Site},
};

/// Time without disruption after which a machine is in touch.
const STABLE_WINDOW: Duration = Duration::from_millis(3000);

/// Crashes after which the request may come again [`MAX_RETRIES`] times.
const CRASHES: usize = 3;
const MAX_RETRIES: usize = 3;

const MACHINES: [(&str, &str); 3] = [
    ("front-mercado-1", "mercado"),
    ("front-bodega-1", "bodega"),
    ("front-alcaldia-1", "alcaldia"),
];
const SERVERS: usize = 6;

/// When all processes are killed, and when they are started again.
const KILLS_AT: [Duration; 2] = [Duration::from_millis(12_000), Duration::from_millis(24_000)];
const DOWN_TIME: Duration = Duration::from_millis(1000);

/// When the crashing request begins to come, each time at [`TRIES`] moments, [`GAP`] apart.
const COMES_AT: [Duration; 3] =
    [Duration::from_millis(6000), Duration::from_millis(17_000), Duration::from_millis(29_000)];
const TRIES: usize = 5;
const GAP: Duration = Duration::from_millis(1000);

const WORK: Duration = Duration::from_millis(100);
const CONSUMERS: usize = 5;
const KEY: &str = "k1";

/// Runs the case.
pub fn run(folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let mut site = Site::start(folder, &MACHINES, WORK)?;
    let mut servers = Vec::new();
    for index in 0..SERVERS {
        let zone = MACHINES[index % MACHINES.len()].1;
        servers.push(site.server(&format!("s{index}"), site::DESK, zone)?);
    }
    site.start_traffic(CONSUMERS, &[KEY])?;
    let mut tries = Vec::new();
    // Since when all machines run without a disruption.
    let mut calm_since = Duration::ZERO;
    for (round, comes_at) in COMES_AT.into_iter().enumerate() {
        for number in 0..TRIES {
            site.wait_until(comes_at + GAP * number as u32);
            tries.push(send(&site, &servers, round * TRIES + number, calm_since));
        }
        if let Some(kill_at) = KILLS_AT.get(round).filter(|_| has_trouble) {
            site.wait_until(*kill_at);
            site.restart_all(DOWN_TIME)?;
            calm_since = site.record.now();
        }
    }
    let exchanges = site.stop_traffic();
    Ok(judge(&site, &tries, &exchanges, &servers))
}

/// One coming of the crashing request.
struct Try {
    /// Crashes before it.
    crashes_before: usize,
    /// Servers that it reached.
    reached: usize,
    /// Whether it was sent to a machine in touch, that long after the third crash.
    counts: bool,
    at: Duration,
    status: u16,
}

fn send(site: &Site, servers: &[Server], number: usize, calm_since: Duration) -> Try {
    let crashes = || servers.iter().map(Server::crashes).sum::<usize>();
    let node = &site.nodes[number % site.nodes.len()];
    let id = format!("{}/{KEY}/crash-{number}", node.name);
    let call = site::call(server::CRASHING_PATH, KEY);
    let crashes_before = crashes();
    let exchange = consumer::exchange(&mut None, &node.callers, &call, id, &site.record);
    let status = exchange.answer.as_ref().map_or(0, |it| it.status());
    site.record.write(&format!("consumer {} got {status}", exchange.id));
    let reached = servers.iter().filter(|it| it.runs().contains(&exchange.id)).count();
    let counts = exchange.sent_at > calm_since + STABLE_WINDOW;
    Try { crashes_before, reached, counts, at: exchange.sent_at, status }
}

/// Counts the comings that reached servers later than the stable window after the third crash, sent by machines in
/// touch.
fn judge(site: &Site, tries: &[Try], exchanges: &[Exchange], servers: &[Server]) -> Verdict {
    let mut text = Vec::new();
    for it in tries {
        text.push(format!(
            "at {} ms, after {} crashes: {} servers reached, status {}",
            it.at.as_millis(),
            it.crashes_before,
            it.reached,
            it.status
        ));
    }
    let third = tries.iter().find(|it| it.crashes_before + it.reached >= CRASHES);
    let until = third.map(|it| it.at + STABLE_WINDOW);
    let is_late = |it: &&Try| it.counts && until.is_some_and(|until| it.at > until);
    let late = tries.iter().filter(is_late).filter(|it| it.reached > 0).count();
    let first_late_at = tries.iter().filter(is_late).find(|it| it.reached > 0).map(|it| it.at);
    let runs: Vec<HashSet<String>> = servers.iter().map(Server::runs).collect();
    // A request that was cut by the kill of its machine got no answer at all.
    let is_lost = |it: &&Exchange| {
        let is_beside = first_late_at.is_some_and(|at| it.answered_at > at);
        let has_failed = it.answer.is_some() && !it.is_success();
        is_beside && has_failed && runs.iter().any(|runs| runs.contains(&it.id))
    };
    let lost = exchanges.iter().filter(is_lost).count();
    text.push(format!(
        "the request reached servers in {late} retries later than {} ms after the third crash, {MAX_RETRIES} are \
         allowed; after the first of these, {lost} other requests ran and were answered with a failure",
        STABLE_WINDOW.as_millis(),
    ));
    let text = text.join("\n");
    site.record.write(&text);
    Verdict { is_broken: late > MAX_RETRIES, text }
}

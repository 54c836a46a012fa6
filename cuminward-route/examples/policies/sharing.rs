//! Measures what a team at ten times its share costs the others, at one node.

use std::{collections::BinaryHeap, time::Duration};

use cuminward_route::fair_queue::{Capacity, Entry, Options, Queue};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::{exponential, percentile};

const TEAMS: usize = 10;
const SLOTS: u32 = 110;
/// Mean time that a request runs, in seconds.
const RUN: f64 = 11.6;
/// Part of its share that each team uses.
const USED: f64 = 0.6;
const SECONDS: f64 = 3_600.0;
/// Time to the first token of a request that doesn't wait, in seconds.
const FIRST: f64 = 0.2;
/// Requests that a team may have in flight.
const LIMIT: u32 = 200;

/// An event: when, and the team whose request arrives or ends.
#[derive(PartialEq)]
struct Due(f64, usize, bool);

impl Eq for Due {}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        other.0.total_cmp(&self.0)
    }
}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Times to the first token of the other teams and of the hot one, and the hot team's refusals.
struct Figures {
    others: Vec<f64>,
    hot: Vec<f64>,
    refused: u64,
    others_refused: u64,
}

/// Runs the load with and without the hot team's excess and prints the figures.
pub(crate) fn run(seed: u64) {
    println!("\nsharing: {TEAMS} teams, {SLOTS} slots, seed {seed}");
    println!(
        "load                      headroom  others TTFT p95  others refused  hot p50  hot refused"
    );
    for headroom_permille in [0, 100, 200, 300] {
        for (name, hot) in [
            ("hot team silent", 0.0),
            ("hot team at its share", 1.0),
            ("hot team at 10 times", 10.0),
        ] {
            let mut it = play(seed, hot, headroom_permille);
            println!(
                "{name:<25} {:>7}% {:>13.0} ms {:>15} {:>5.1} s {:>12}",
                headroom_permille / 10,
                percentile(&mut it.others, 0.95) * 1e3,
                it.others_refused,
                percentile(&mut it.hot, 0.5),
                it.refused
            );
        }
    }
}

fn play(seed: u64, hot: f64, headroom_permille: u32) -> Figures {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut arrivals: Vec<Pcg64> =
        (0..TEAMS).map(|it| Pcg64::seed_from_u64(seed * 1000 + it as u64)).collect();
    let share = f64::from(SLOTS) / TEAMS as f64 / RUN;
    let mean = |team: usize| if team == 0 { 1.0 / (share * hot) } else { 1.0 / (share * USED) };
    let mut queue = Queue::new(Options { headroom_permille, ..Options::default() });
    let mut due = BinaryHeap::new();
    for (team, arrivals) in arrivals.iter_mut().enumerate() {
        if team > 0 || hot > 0.0 {
            due.push(Due(exponential(arrivals, mean(team)), team, true));
        }
    }
    let mut free = SLOTS;
    let mut figures =
        Figures { others: Vec::new(), hot: Vec::new(), refused: 0, others_refused: 0 };
    while let Some(Due(at, team, arrives)) = due.pop() {
        if at > SECONDS {
            break;
        }
        let now = Duration::from_secs_f64(at);
        if arrives {
            due.push(Due(at + exponential(&mut arrivals[team], mean(team)), team, true));
            let refused = queue.push(now, entry(team, at)).is_err();
            figures.refused += u64::from(refused && team == 0);
            figures.others_refused += u64::from(refused && team > 0);
        } else {
            queue.finish(&format!("team-{team}"));
            free += 1;
        }
        for it in queue.expire(now) {
            figures.refused += u64::from(it.item.0 == 0);
            figures.others_refused += u64::from(it.item.0 > 0);
        }
        while let Some(it) = queue.pop(now, &Capacity { slots: SLOTS, free, weights: TEAMS as u32 })
        {
            free -= 1;
            let (team, arrival) = it.item;
            due.push(Due(at + exponential(&mut random, RUN), team, false));
            let first = at - arrival + FIRST;
            if team == 0 { figures.hot.push(first) } else { figures.others.push(first) }
        }
    }
    figures
}

fn entry(team: usize, at: f64) -> Entry<(usize, f64)> {
    Entry {
        team: format!("team-{team}"),
        weight: 1,
        limit: LIMIT,
        priority: 0,
        cost: 1,
        deadline: Duration::from_secs_f64(at + 30.0),
        item: (team, at),
    }
}

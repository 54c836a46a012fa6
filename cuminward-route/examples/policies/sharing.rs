//! Simulates fair queueing at one node: how much a team at ten times its share slows down the others.

use std::{collections::BinaryHeap, time::Duration};

use cuminward_route::fair_queue::{Capacity, Entry, Options, Queue};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::{exponential, percentile};

const TEAMS: usize = 10;
const SLOTS: u32 = 110;
/// Mean time that a request runs, in seconds.
const MEAN_RUN_TIME: f64 = 11.6;
/// Fraction of its share that each team but the hot one uses.
const UTILIZATION: f64 = 0.6;
/// Duration of the simulation, in seconds.
const SECONDS: f64 = 3_600.0;
/// Time to the first token of a request that doesn't wait, in seconds.
const FIRST_TOKEN_TIME: f64 = 0.2;
/// Requests that a team may have in flight.
const TEAM_LIMIT: u32 = 200;

/// Event: its time in seconds, the team, and whether a request of the team arrives (else it ends).
#[derive(PartialEq)]
struct Event(f64, usize, bool);

impl Eq for Event {}

impl Ord for Event {
    fn cmp(&self, other: &Event) -> std::cmp::Ordering {
        other.0.total_cmp(&self.0)
    }
}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Event) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Results of a simulation.
struct Stats {
    /// Times to the first token, in seconds, of the other teams and of the hot team.
    others: Vec<f64>,
    hot: Vec<f64>,
    /// Refused requests of the hot team and of the other teams.
    refused: u64,
    others_refused: u64,
}

/// Simulates the load for several headrooms, with and without excess of the hot team, and prints the
/// results.
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
            let mut it = simulate(seed, hot, headroom_permille);
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

/// Simulates the load; `hot` is the load of the hot team as a multiple of its share.
fn simulate(seed: u64, hot: f64, headroom_permille: u32) -> Stats {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut arrivals: Vec<Pcg64> =
        (0..TEAMS).map(|it| Pcg64::seed_from_u64(seed * 1000 + it as u64)).collect();
    let share = f64::from(SLOTS) / TEAMS as f64 / MEAN_RUN_TIME;
    let mean =
        |team: usize| if team == 0 { 1.0 / (share * hot) } else { 1.0 / (share * UTILIZATION) };
    let mut queue = Queue::new(Options { headroom_permille, ..Options::default() });
    let mut events = BinaryHeap::new();
    for (team, arrivals) in arrivals.iter_mut().enumerate() {
        if team > 0 || hot > 0.0 {
            events.push(Event(exponential(arrivals, mean(team)), team, true));
        }
    }
    let mut free = SLOTS;
    let mut stats = Stats { others: Vec::new(), hot: Vec::new(), refused: 0, others_refused: 0 };
    while let Some(Event(at, team, arrives)) = events.pop() {
        if at > SECONDS {
            break;
        }
        let now = Duration::from_secs_f64(at);
        if arrives {
            events.push(Event(at + exponential(&mut arrivals[team], mean(team)), team, true));
            let refused = queue.push(now, entry(team, at)).is_err();
            stats.refused += u64::from(refused && team == 0);
            stats.others_refused += u64::from(refused && team > 0);
        } else {
            queue.finish(&format!("team-{team}"));
            free += 1;
        }
        for it in queue.expire(now) {
            stats.refused += u64::from(it.item.0 == 0);
            stats.others_refused += u64::from(it.item.0 > 0);
        }
        while let Some(it) = queue.pop(now, &Capacity { slots: SLOTS, free, weights: TEAMS as u32 })
        {
            free -= 1;
            let (team, arrival) = it.item;
            events.push(Event(at + exponential(&mut random, MEAN_RUN_TIME), team, false));
            let first_token = at - arrival + FIRST_TOKEN_TIME;
            if team == 0 { stats.hot.push(first_token) } else { stats.others.push(first_token) }
        }
    }
    stats
}

fn entry(team: usize, at: f64) -> Entry<(usize, f64)> {
    Entry {
        team: format!("team-{team}"),
        weight: 1,
        limit: TEAM_LIMIT,
        priority: 0,
        cost: 1,
        deadline: Duration::from_secs_f64(at + 30.0),
        item: (team, at),
    }
}

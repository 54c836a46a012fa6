//! Compares the routing policies: several nodes send a seeded load to the replicas of a domain.
//!
//! Each node sees its own requests at once, the load reports of the replicas 500 ms late and the
//! cache events 1 s late, with gaps. A replica processes prompts one after the other and generates
//! all replies concurrently.

use std::{
    collections::{BinaryHeap, HashMap, VecDeque},
    time::Duration,
};

use cuminward_core::{cache, catalog, host, replica};
use cuminward_route::{
    load,
    route::{self, Choice, Exclusions, Query, Registry, Table, policy},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::{exponential, percentile};

const REPLICAS: usize = 42;
const NODES: usize = 11;
/// Duration of the simulation, in seconds.
const SECONDS: f64 = 120.0;
/// Time after which results count, in seconds.
const WARM_UP: f64 = 30.0;
/// Requests per second to the whole domain.
const RATE: f64 = 418.0;
/// Number of different shared prefixes, such as conversations and common instructions.
const SHARED_PREFIXES: usize = 1500;
/// Blocks of a prompt in the shared prefix and after it.
const SHARED_BLOCKS: usize = 48;
const OWN_BLOCKS: usize = 8;
/// Blocks that a replica's cache holds.
const CACHE_BLOCKS: usize = 6_000;
/// Time to compute one block of a prompt, in seconds.
const BLOCK_TIME: f64 = 0.0016;
/// Mean number of tokens of a reply.
const TOKENS: f64 = 215.0;
/// Time per token of a single reply, and the additional time for each concurrent reply, in seconds.
const TOKEN_TIME: f64 = 0.020;
const CONCURRENCY_TIME: f64 = 0.000_18;
/// Delay of load reports and of cache events, in seconds.
const LOAD_LAG: f64 = 0.5;
const EVENT_LAG: f64 = 1.0;
/// Gaps in a node's cache events of one replica, per second.
const GAP_RATE: f64 = 0.05;

/// Simulated replica with an LRU prefix cache.
#[derive(Default)]
struct Engine {
    /// Time at which all prompts so far will be processed, in seconds.
    busy_until: f64,
    running: u32,
    /// Cached block ids, with the clock of their last use.
    cache: HashMap<u64, u64>,
    /// Uses of blocks, oldest first; a use is outdated if the cache has a later one.
    order: VecDeque<(u64, u64)>,
    clock: u64,
    /// Cache events since the last poll.
    events: Vec<cache::Event>,
    seq: u64,
}

/// Scheduled event; the earliest one is processed first.
#[derive(PartialEq)]
struct Event {
    /// Time of the event, in seconds.
    at: f64,
    kind: Kind,
}

#[derive(PartialEq)]
enum Kind {
    /// A request arrives.
    Arrival,
    /// A request ends.
    End { engine: usize, request: usize },
    /// The replicas send their load.
    Report,
    /// A node receives cache events, one batch for each replica.
    Events { node: usize, batches: Vec<cache::Batch> },
    /// The nodes receive the load of the replicas.
    Load { loads: Vec<u32> },
    /// The nodes poll the replicas for cache events.
    Poll,
}

impl Eq for Event {}

impl Ord for Event {
    fn cmp(&self, other: &Event) -> std::cmp::Ordering {
        other.at.total_cmp(&self.at)
    }
}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Event) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Results of one policy.
#[derive(Default)]
struct Stats {
    /// Cached blocks and all blocks of the prompts.
    hits: usize,
    blocks: usize,
    /// Times to the first token and between tokens, in seconds.
    first_token: Vec<f64>,
    token: Vec<f64>,
    /// Samples of the largest load divided by the mean load.
    imbalance: Vec<f64>,
}

impl Engine {
    /// Processes a prompt. Returns the number of leading blocks that were cached.
    fn process(&mut self, ids: &[u64]) -> usize {
        let hits = ids.iter().take_while(|it| self.cache.contains_key(it)).count();
        for &id in ids {
            self.touch(id);
        }
        while self.cache.len() > CACHE_BLOCKS {
            self.evict();
        }
        hits
    }

    /// Records the use of a block, which is added if it isn't cached.
    fn touch(&mut self, id: u64) {
        self.clock += 1;
        if self.cache.insert(id, self.clock).is_none() {
            self.emit(cache::Kind::Stored, id);
        }
        self.order.push_back((id, self.clock));
    }

    /// Removes the oldest use, and the block if it hasn't been used since.
    fn evict(&mut self) {
        let Some((id, clock)) = self.order.pop_front() else { return };
        if self.cache.get(&id) == Some(&clock) {
            self.cache.remove(&id);
            self.emit(cache::Kind::Removed, id);
        }
    }

    /// Adds a cache event.
    fn emit(&mut self, kind: cache::Kind, id: u64) {
        self.events.push(cache::Event { seq: self.seq, kind, prefix: format!("{id:016x}") });
        self.seq += 1;
    }
}

/// Simulates the load with each policy and prints the results.
pub(crate) fn run(seed: u64) {
    println!("routing: {REPLICAS} replicas, {NODES} nodes, {RATE} requests/s, seed {seed}");
    println!("policy         hit rate  TTFT p50  TTFT p95  token p95  imbalance");
    print("round robin", &simulate(&policy::RoundRobin::default(), seed));
    print("least loaded", &simulate(&policy::LeastLoaded, seed));
    print("affinity 1.25", &simulate(&policy::Affinity::default(), seed));
    for (name, bound_permille) in [("affinity 1.1", 1100), ("affinity 1.5", 1500)] {
        let policy = policy::Affinity::new(bound_permille, 250);
        print(name, &simulate(&policy, seed));
    }
    let policy = policy::Affinity::new(u64::MAX / 1_000_000, 0);
    print("affinity only", &simulate(&policy, seed));
}

fn print(name: &str, stats: &Stats) {
    let mut first_token = stats.first_token.clone();
    let mut token = stats.token.clone();
    let imbalance = stats.imbalance.iter().sum::<f64>() / stats.imbalance.len() as f64;
    println!(
        "{name:<14} {:>7.1}% {:>6.0} ms {:>6.0} ms {:>7.1} ms {imbalance:>10.2}",
        stats.hits as f64 * 100.0 / stats.blocks as f64,
        percentile(&mut first_token, 0.5) * 1e3,
        percentile(&mut first_token, 0.95) * 1e3,
        percentile(&mut token, 0.95) * 1e3,
    );
}

/// Simulates the load with one policy.
fn simulate(policy: &impl policy::Policy, seed: u64) -> Stats {
    let mut random = Pcg64::seed_from_u64(seed);
    let tables: Vec<Table> = (0..NODES).map(|_| table()).collect();
    let gauges: Vec<Vec<_>> =
        tables.iter().map(|it| it.candidates().map(|it| it.gauge.clone()).collect()).collect();
    let mut engines: Vec<Engine> = (0..REPLICAS).map(|_| Engine::default()).collect();
    let mut guards: HashMap<usize, load::Guard> = HashMap::new();
    let mut stats = Stats::default();
    let mut events = BinaryHeap::new();
    events.push(Event { at: 0.0, kind: Kind::Arrival });
    events.push(Event { at: 0.1, kind: Kind::Report });
    events.push(Event { at: 0.2, kind: Kind::Poll });
    let mut count = 0;
    while let Some(Event { at, kind }) = events.pop() {
        if at > SECONDS {
            break;
        }
        match kind {
            Kind::Arrival => {
                count += 1;
                events.push(Event {
                    at: at + exponential(&mut random, 1.0 / RATE),
                    kind: Kind::Arrival,
                });
                let ids = prompt(&mut random, count);
                let node = random.random_range(0..NODES);
                let query =
                    Query { model: "m", version: None, team: "t", prefixes: &ids, avoid: &[] };
                let uniform = random.random();
                let choice =
                    route::choose_with(policy, &tables[node], &query, &policy::Gauges, uniform);
                let Choice::Replica(chosen) = choice else { panic!("all replicas are usable") };
                chosen.gauge.prefixes().insert_all(&ids);
                guards.insert(count, chosen.gauge.enter());
                let index: usize =
                    chosen.replica.group.parse().expect("the groups are named by their index");
                let engine = &mut engines[index];
                let hits = engine.process(&ids);
                let start = engine.busy_until.max(at);
                engine.busy_until = start + (ids.len() - hits) as f64 * BLOCK_TIME;
                engine.running += 1;
                let token = TOKEN_TIME + CONCURRENCY_TIME * f64::from(engine.running);
                let first_token = engine.busy_until + token - at;
                let tokens = exponential(&mut random, TOKENS).ceil();
                events.push(Event {
                    at: at + first_token + tokens * token,
                    kind: Kind::End { engine: index, request: count },
                });
                if at > WARM_UP {
                    stats.hits += hits;
                    stats.blocks += ids.len();
                    stats.first_token.push(first_token);
                    stats.token.push(token);
                }
            }
            Kind::End { engine, request } => {
                engines[engine].running -= 1;
                guards.remove(&request);
            }
            Kind::Report => {
                let loads: Vec<u32> = engines.iter().map(|it| it.running).collect();
                if at > WARM_UP {
                    let total: u32 = loads.iter().sum();
                    let max = loads.iter().copied().max().unwrap_or(0);
                    let mean = f64::from(total) / REPLICAS as f64;
                    stats.imbalance.push(f64::from(max) / mean);
                }
                events.push(Event { at: at + LOAD_LAG, kind: Kind::Load { loads } });
                events.push(Event { at: at + 0.25, kind: Kind::Report });
            }
            Kind::Load { loads } => {
                for gauges in &gauges {
                    for (gauge, &running) in gauges.iter().zip(&loads) {
                        let age = Duration::from_secs_f64(LOAD_LAG);
                        let load = host::Load { running, queued: 0, cache_permille: 0, age };
                        gauge.report(&load);
                    }
                }
            }
            Kind::Poll => {
                let batches: Vec<(Vec<cache::Event>, u64)> =
                    engines.iter_mut().map(|it| (std::mem::take(&mut it.events), it.seq)).collect();
                for node in 0..NODES {
                    let batches = batches
                        .iter()
                        .map(|(events, next)| cache::Batch {
                            next: *next,
                            gap: random.random_bool(GAP_RATE * 0.2),
                            events: events.clone(),
                        })
                        .collect();
                    events.push(Event { at: at + EVENT_LAG, kind: Kind::Events { node, batches } });
                }
                events.push(Event { at: at + 0.2, kind: Kind::Poll });
            }
            Kind::Events { node, batches } => {
                for (gauge, batch) in gauges[node].iter().zip(&batches) {
                    gauge.prefixes().apply(batch);
                }
            }
        }
    }
    stats
}

/// Draws the block ids of a prompt: a shared prefix, popular ones more often, then blocks of its own.
fn prompt(random: &mut impl rand::Rng, request: usize) -> Vec<u64> {
    let skewed = random.random_range(0.0..1.0f64).powi(2);
    let prefix = (skewed * SHARED_PREFIXES as f64) as usize;
    let id = |a: usize, b: usize| {
        xxhash_rust::xxh3::xxh3_64_with_seed(&(a as u64).to_le_bytes(), b as u64) | 1
    };
    let shared = (0..SHARED_BLOCKS).map(|it| id(prefix, it));
    let own = (0..OWN_BLOCKS).map(|it| id(request + (1 << 40), it));
    shared.chain(own).collect()
}

fn table() -> Table {
    let model = catalog::Model {
        name: "s".into(),
        model: "m".into(),
        versions: vec!["1".into()],
        hosts_per_replica: 4,
        replicas: [("d".to_owned(), REPLICAS as u32)].into(),
        teams: ["t".to_owned()].into(),
        slots: 160,
        cold_slots: 8,
        warm_up: Duration::from_secs(60),
    };
    let service = catalog::Availability::InService;
    let domain = catalog::Domain { name: "d".into(), region: "r".into(), service };
    let catalog = catalog::Catalog {
        models: [("s".to_owned(), model)].into(),
        domains: [("d".to_owned(), domain)].into(),
        ..Default::default()
    };
    let replicas: Vec<replica::Replica> = (0..REPLICAS).map(replica).collect();
    Table::build("d", &replicas, &catalog, &Exclusions::default(), &mut Registry::default())
}

fn replica(index: usize) -> replica::Replica {
    replica::Replica {
        group: index.to_string(),
        generation: 1,
        service: "s".into(),
        model: "m".into(),
        version: "1".into(),
        members: Vec::new(),
        address: String::new(),
        incarnation: 1,
        confirmed: Duration::ZERO,
    }
}

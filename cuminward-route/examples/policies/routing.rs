//! Weighs the routing policies: several nodes send one seeded load to the replicas of a domain.
//!
//! Each node knows its own requests at once, the replicas' load 500 ms late and the cache events
//! 1 s late with gaps. A replica computes prompts one after the other and all replies together.

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
const SECONDS: f64 = 120.0;
/// Time after which results count, in seconds.
const WARM: f64 = 30.0;
/// Requests a second to the whole domain.
const RATE: f64 = 418.0;
/// Conversations and shared instructions that prompts begin with.
const FAMILIES: usize = 1500;
const FAMILY_BLOCKS: usize = 48;
const OWN_BLOCKS: usize = 8;
/// Blocks that a replica's cache holds.
const CACHE_BLOCKS: usize = 6_000;
/// Time to compute one block of a prompt, in seconds.
const BLOCK_TIME: f64 = 0.0016;
const TOKENS: f64 = 215.0;
/// Time for a token of a lone reply, and what each further reply adds, in seconds.
const TOKEN_TIME: f64 = 0.020;
const SHARING_TIME: f64 = 0.000_18;
/// Delay of load reports and of cache events, in seconds.
const LOAD_LAG: f64 = 0.5;
const EVENT_LAG: f64 = 1.0;
const GAP: f64 = 0.05;

/// A replica with its cache.
#[derive(Default)]
struct Engine {
    busy_until: f64,
    running: u32,
    cache: HashMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
    clock: u64,
    events: Vec<cache::Event>,
    seq: u64,
}

/// What happens next; the earliest first.
#[derive(PartialEq)]
struct Due {
    at: f64,
    what: What,
}

#[derive(PartialEq)]
enum What {
    Arrival,
    End { engine: usize, request: usize },
    Report,
    Events { node: usize, batches: Vec<cache::Batch> },
    Load { loads: Vec<u32> },
    Poll,
}

impl Eq for Due {}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        other.at.total_cmp(&self.at)
    }
}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Figures of one policy.
#[derive(Default)]
struct Figures {
    hits: usize,
    blocks: usize,
    first: Vec<f64>,
    between: Vec<f64>,
    imbalance: Vec<f64>,
}

impl Engine {
    /// Computes the prompt; returns the cached blocks.
    fn prompt(&mut self, ids: &[u64]) -> usize {
        let hits = ids.iter().take_while(|it| self.cache.contains_key(it)).count();
        for &id in ids {
            self.touch(id);
        }
        while self.cache.len() > CACHE_BLOCKS {
            self.evict();
        }
        hits
    }

    fn touch(&mut self, id: u64) {
        self.clock += 1;
        if self.cache.insert(id, self.clock).is_none() {
            self.note(cache::Kind::Stored, id);
        }
        self.order.push_back((id, self.clock));
    }

    fn evict(&mut self) {
        let Some((id, clock)) = self.order.pop_front() else { return };
        if self.cache.get(&id) == Some(&clock) {
            self.cache.remove(&id);
            self.note(cache::Kind::Removed, id);
        }
    }

    fn note(&mut self, kind: cache::Kind, id: u64) {
        self.events.push(cache::Event { seq: self.seq, kind, prefix: format!("{id:016x}") });
        self.seq += 1;
    }
}

/// Runs the load with each policy and prints the figures.
pub(crate) fn run(seed: u64) {
    println!("routing: {REPLICAS} replicas, {NODES} nodes, {RATE} requests/s, seed {seed}");
    println!("policy         hit rate  TTFT p50  TTFT p95  token p95  imbalance");
    print("round robin", &play(&policy::RoundRobin::default(), seed));
    print("least loaded", &play(&policy::LeastLoaded, seed));
    print("affinity 1.25", &play(&policy::Affinity::default(), seed));
    for (name, bound_permille) in [("affinity 1.1", 1100), ("affinity 1.5", 1500)] {
        let policy = policy::Affinity::new(bound_permille, 250);
        print(name, &play(&policy, seed));
    }
    let policy = policy::Affinity::new(u64::MAX / 1_000_000, 0);
    print("affinity only", &play(&policy, seed));
}

fn print(name: &str, figures: &Figures) {
    let mut first = figures.first.clone();
    let mut between = figures.between.clone();
    let imbalance = figures.imbalance.iter().sum::<f64>() / figures.imbalance.len() as f64;
    println!(
        "{name:<14} {:>7.1}% {:>6.0} ms {:>6.0} ms {:>7.1} ms {imbalance:>10.2}",
        figures.hits as f64 * 100.0 / figures.blocks as f64,
        percentile(&mut first, 0.5) * 1e3,
        percentile(&mut first, 0.95) * 1e3,
        percentile(&mut between, 0.95) * 1e3,
    );
}

/// Runs the load with one policy.
fn play(policy: &impl policy::Policy, seed: u64) -> Figures {
    let mut random = Pcg64::seed_from_u64(seed);
    let tables: Vec<Table> = (0..NODES).map(|_| table()).collect();
    let gauges: Vec<Vec<_>> =
        tables.iter().map(|it| it.candidates().map(|it| it.gauge.clone()).collect()).collect();
    let mut engines: Vec<Engine> = (0..REPLICAS).map(|_| Engine::default()).collect();
    let mut guards: HashMap<usize, load::Guard> = HashMap::new();
    let mut figures = Figures::default();
    let mut due = BinaryHeap::new();
    due.push(Due { at: 0.0, what: What::Arrival });
    due.push(Due { at: 0.1, what: What::Report });
    due.push(Due { at: 0.2, what: What::Poll });
    let mut count = 0;
    while let Some(Due { at, what }) = due.pop() {
        if at > SECONDS {
            break;
        }
        match what {
            What::Arrival => {
                count += 1;
                due.push(Due {
                    at: at + exponential(&mut random, 1.0 / RATE),
                    what: What::Arrival,
                });
                let ids = prompt(&mut random, count);
                let node = random.random_range(0..NODES);
                let query =
                    Query { model: "m", version: None, team: "t", prefixes: &ids, avoid: &[] };
                let draw = random.random();
                let choice =
                    route::choose_with(policy, &tables[node], &query, &policy::Gauges, draw);
                let Choice::Replica(chosen) = choice else { panic!("all replicas are usable") };
                chosen.gauge.prefixes().insert_all(&ids);
                guards.insert(count, chosen.gauge.enter());
                let index: usize = chosen.replica.group.parse().expect("groups have numbers");
                let engine = &mut engines[index];
                let hits = engine.prompt(&ids);
                let start = engine.busy_until.max(at);
                engine.busy_until = start + (ids.len() - hits) as f64 * BLOCK_TIME;
                engine.running += 1;
                let token = TOKEN_TIME + SHARING_TIME * f64::from(engine.running);
                let first = engine.busy_until + token - at;
                let tokens = exponential(&mut random, TOKENS).ceil();
                due.push(Due {
                    at: at + first + tokens * token,
                    what: What::End { engine: index, request: count },
                });
                if at > WARM {
                    figures.hits += hits;
                    figures.blocks += ids.len();
                    figures.first.push(first);
                    figures.between.push(token);
                }
            }
            What::End { engine, request } => {
                engines[engine].running -= 1;
                guards.remove(&request);
            }
            What::Report => {
                let loads: Vec<u32> = engines.iter().map(|it| it.running).collect();
                if at > WARM {
                    let total: u32 = loads.iter().sum();
                    let most = loads.iter().copied().max().unwrap_or(0);
                    let mean = f64::from(total) / REPLICAS as f64;
                    figures.imbalance.push(f64::from(most) / mean);
                }
                due.push(Due { at: at + LOAD_LAG, what: What::Load { loads } });
                due.push(Due { at: at + 0.25, what: What::Report });
            }
            What::Load { loads } => {
                for gauges in &gauges {
                    for (gauge, &running) in gauges.iter().zip(&loads) {
                        let age = Duration::from_secs_f64(LOAD_LAG);
                        let load = host::Load { running, queued: 0, cache_permille: 0, age };
                        gauge.report(&load);
                    }
                }
            }
            What::Poll => {
                let batches: Vec<(Vec<cache::Event>, u64)> =
                    engines.iter_mut().map(|it| (std::mem::take(&mut it.events), it.seq)).collect();
                for node in 0..NODES {
                    let batches = batches
                        .iter()
                        .map(|(events, next)| cache::Batch {
                            next: *next,
                            gap: random.random_bool(GAP * 0.2),
                            events: events.clone(),
                        })
                        .collect();
                    due.push(Due { at: at + EVENT_LAG, what: What::Events { node, batches } });
                }
                due.push(Due { at: at + 0.2, what: What::Poll });
            }
            What::Events { node, batches } => {
                for (gauge, batch) in gauges[node].iter().zip(&batches) {
                    gauge.prefixes().apply(batch);
                }
            }
        }
    }
    figures
}

/// Block ids of a prompt: a popular beginning, then its own end.
fn prompt(random: &mut impl rand::Rng, request: usize) -> Vec<u64> {
    let skewed = random.random_range(0.0..1.0f64).powi(2);
    let family = (skewed * FAMILIES as f64) as usize;
    let id = |a: usize, b: usize| {
        xxhash_rust::xxh3::xxh3_64_with_seed(&(a as u64).to_le_bytes(), b as u64) | 1
    };
    let shared = (0..FAMILY_BLOCKS).map(|it| id(family, it));
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

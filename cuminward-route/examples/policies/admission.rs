//! Compares methods of admission control in one failure domain by messages and waiting times.
//!
//! Granting slots in advance ("credits") is simulated with the library's controllers over a network
//! with a delay. For requesting a slot per request and for relaying through the owner, the messages
//! are calculated from the same load.

use std::{collections::BTreeMap, collections::BinaryHeap, time::Duration};

use cuminward_route::admission::{Controller, Limits, Options, Slot, message};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::{exponential, percentile};

const NODES: usize = 44;
const UPSTREAMS: usize = 42;
const SLOTS: u32 = 160;
/// Requests per second at one node.
const RATE: f64 = 9.5;
/// Mean time that a request runs, in seconds.
const MEAN_RUN_TIME: f64 = 11.6;
/// Mean number of tokens of a reply.
const TOKENS: f64 = 215.0;
/// Duration of the simulation, in seconds.
const SECONDS: f64 = 120.0;
/// Time after which results count, in seconds.
const WARM_UP: f64 = 60.0;
/// Duration of one step.
const STEP: Duration = Duration::from_millis(1);
/// One-way delay of a message between two nodes.
const DELAY: Duration = Duration::from_millis(1);
/// Time between two ticks of a node, in milliseconds.
const TICK: u32 = 20;
/// Upstreams that a request tries before it waits for the first one.
const CHOICES: [usize; 2] = [1, 2];

/// One node with its requests.
struct Node {
    controller: Controller,
    /// Requests that wait for a slot, by upstream, with their arrival.
    waiting: BTreeMap<usize, Vec<f64>>,
    running: BinaryHeap<Running>,
    /// Time of the next arrival, in seconds.
    next: f64,
    /// For each upstream, whether this node owns it.
    owns: Vec<bool>,
    /// Upstreams that a request tries.
    choices: usize,
}

/// Running request: the time at which it ends, in seconds, and its slot.
struct Running(f64, #[allow(dead_code, reason = "dropping it frees the slot")] Slot);

impl PartialEq for Running {
    fn eq(&self, other: &Running) -> bool {
        self.0 == other.0
    }
}

impl Eq for Running {}

impl Ord for Running {
    fn cmp(&self, other: &Running) -> std::cmp::Ordering {
        other.0.total_cmp(&self.0)
    }
}

impl PartialOrd for Running {
    fn partial_cmp(&self, other: &Running) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Results of a simulation.
#[derive(Default)]
struct Stats {
    requests: u64,
    /// Messages between nodes and their size.
    batches: u64,
    bytes: u64,
    /// Time that each request waited for its slot, in seconds.
    waits: Vec<f64>,
    /// Requests to an upstream that their node owns.
    owned: u64,
}

/// Simulates the load and prints the results.
pub(crate) fn run(seed: u64) {
    println!("\nadmission: {NODES} nodes, {UPSTREAMS} upstreams, seed {seed}");
    println!("way                  messages/request  B/s a node  no wait  wait p95  wait p99");
    for choices in CHOICES {
        let stats = simulate(seed, choices);
        if choices == 1 {
            print_others(&stats);
        }
        print_credits(choices, stats);
    }
}

/// Prints the calculated results of the methods that aren't simulated.
fn print_others(it: &Stats) {
    let remote = 1.0 - it.owned as f64 / it.requests as f64;
    let rtt = 2.0 * DELAY.as_secs_f64() * 1e3;
    for (method, messages, note) in [
        ("slot per request", 3.0, "(round trip only)"),
        ("relay by owner", 2.0 + TOKENS, "(and for each token)"),
    ] {
        let no_wait = 100.0 * (1.0 - remote);
        println!(
            "{method:<20} {:>15.2} {:>11} {no_wait:>7.1}% {rtt:>6.1} ms {rtt:>6.1} ms {note}",
            messages * remote,
            "-",
        );
    }
}

/// Prints the results of the simulation.
fn print_credits(choices: usize, mut it: Stats) {
    let no_wait = it.waits.iter().filter(|it| **it == 0.0).count() as f64 / it.waits.len() as f64;
    println!(
        "credits, {choices} choice(s) {:>15.2} {:>11.0} {:>7.1}% {:>6.1} ms {:>6.1} ms",
        it.batches as f64 / it.requests as f64,
        it.bytes as f64 / (SECONDS - WARM_UP) / NODES as f64,
        100.0 * no_wait,
        percentile(&mut it.waits, 0.95) * 1e3,
        percentile(&mut it.waits, 0.99) * 1e3,
    );
}

/// Simulates all nodes; each request tries `choices` upstreams.
fn simulate(seed: u64, choices: usize) -> Stats {
    let mut random = Pcg64::seed_from_u64(seed);
    let names: Vec<String> = (0..NODES).map(|it| format!("node-{it}")).collect();
    let upstreams: Vec<String> = (0..UPSTREAMS).map(|it| format!("group-{it}#1")).collect();
    let limits = Limits { slots: SLOTS, cold_slots: 8, warm_up: Duration::from_secs(30) };
    let mut nodes: Vec<Node> = names
        .iter()
        .map(|name| {
            let mut controller = Controller::new(name.clone(), 1);
            controller.set_nodes(Duration::ZERO, names.clone(), names.clone());
            for it in &upstreams {
                controller.set_upstream(Duration::ZERO, it, Options::new(limits));
            }
            let owns = upstreams.iter().map(|it| controller.owner(it).is_some()).collect();
            Node {
                controller,
                waiting: BTreeMap::new(),
                running: BinaryHeap::new(),
                next: 0.0,
                owns,
                choices,
            }
        })
        .collect();
    let mut stats = Stats::default();
    let mut messages: Vec<(Duration, usize, message::Batch)> = Vec::new();
    let mut now = Duration::ZERO;
    let mut step = 0;
    while now.as_secs_f64() < SECONDS {
        now += STEP;
        step += 1;
        let is_counted = now.as_secs_f64() > WARM_UP;
        let due: Vec<_> = messages.extract_if(.., |it| it.0 <= now).collect();
        for (_, to, batch) in due {
            nodes[to].controller.receive(now, batch);
        }
        for (index, node) in nodes.iter_mut().enumerate() {
            node.step(&mut random, now, &upstreams, is_counted, &mut stats);
            if (step + index as u32).is_multiple_of(TICK / STEP.as_millis() as u32) {
                node.controller.tick(now);
                if step % 1000 < TICK {
                    node.observe(now);
                }
            }
            let work = node.controller.take_work();
            for it in work.probes {
                node.controller.observe(now, &it, 1, None, now);
            }
            for (to, batch) in work.batches {
                if is_counted {
                    stats.batches += 1;
                    stats.bytes += size(&batch);
                }
                let to = names.iter().position(|it| *it == to).expect("the node is listed");
                messages.push((now + DELAY, to, batch));
            }
        }
    }
    stats
}

impl Node {
    /// Reports the state of all owned upstreams to the controller.
    fn observe(&mut self, now: Duration) {
        let owned: Vec<String> = self.controller.owned().cloned().collect();
        owned.iter().for_each(|it| self.controller.observe(now, it, 1, None, now));
    }

    /// Draws upstreams at random and returns the first one with a free slot, else the first one drawn.
    fn choose(&self, random: &mut Pcg64, upstreams: &[String]) -> usize {
        let free = |it: &usize| {
            let holder = self.controller.holder(&upstreams[*it]).expect("the upstream was added");
            holder.in_use() < holder.allowance()
        };
        let drawn: Vec<usize> =
            (0..self.choices).map(|_| random.random_range(0..UPSTREAMS)).collect();
        drawn.iter().copied().find(free).unwrap_or(drawn[0])
    }

    /// Ends requests, adds new arrivals and acquires slots for waiting requests.
    fn step(
        &mut self,
        random: &mut Pcg64,
        now: Duration,
        upstreams: &[String],
        is_counted: bool,
        stats: &mut Stats,
    ) {
        let at = now.as_secs_f64();
        while self.running.peek().is_some_and(|it| it.0 <= at) {
            self.running.pop();
        }
        while self.next <= at {
            let upstream = self.choose(random, upstreams);
            self.waiting.entry(upstream).or_default().push(at);
            self.next += exponential(random, 1.0 / RATE);
            if is_counted {
                stats.requests += 1;
                stats.owned += u64::from(self.owns[upstream]);
            }
        }
        for (&upstream, waiting) in &mut self.waiting {
            let holder = self
                .controller
                .holder(&upstreams[upstream])
                .expect("the upstream was added")
                .clone();
            while let Some(&arrival) = waiting.first() {
                let Some(slot) = holder.acquire(now) else { break };
                waiting.remove(0);
                self.running.push(Running(at + exponential(random, MEAN_RUN_TIME), slot));
                if is_counted {
                    stats.waits.push(at - arrival);
                }
            }
            holder.set_waiting(waiting.len() as u32);
        }
        let without_slots: Vec<usize> =
            self.waiting.iter().filter(|it| !it.1.is_empty()).map(|it| *it.0).collect();
        without_slots.iter().for_each(|&it| self.controller.report(now, &upstreams[it]));
    }
}

/// Returns the size of a batch as JSON, in bytes; a binary codec needs less.
fn size(batch: &message::Batch) -> u64 {
    serde_json::to_vec(batch).expect("a batch can be serialized").len() as u64
}

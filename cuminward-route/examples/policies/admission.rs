//! Weighs the ways of admission at the size of one failure domain: messages and waiting.
//!
//! Credits run through the library's nodes over a network with a delay. For a slot per request and
//! for relaying through the owner the messages are counted on the same load.

use std::{collections::BTreeMap, collections::BinaryHeap, time::Duration};

use cuminward_route::admission::{Controller, Limits, Options, Slot, message};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::{exponential, percentile};

const NODES: usize = 44;
const UPSTREAMS: usize = 42;
const SLOTS: u32 = 160;
/// Requests a second at one node.
const RATE: f64 = 9.5;
/// Mean time that a request runs, in seconds.
const RUN: f64 = 11.6;
const TOKENS: f64 = 215.0;
const SECONDS: f64 = 120.0;
const WARM: f64 = 60.0;
const STEP: Duration = Duration::from_millis(1);
/// One way between two nodes of a domain.
const DELAY: Duration = Duration::from_millis(1);
/// Time between two ticks of a node.
const TICK: u32 = 20;
/// Upstreams that a request tries before it waits for the first one.
const CHOICES: [usize; 2] = [1, 2];

/// Work at one node.
struct Place {
    node: Controller,
    /// Requests that wait for a slot, by upstream, with their arrival.
    waiting: BTreeMap<usize, Vec<f64>>,
    running: BinaryHeap<End>,
    next: f64,
    /// Whether this node owns each upstream.
    owns: Vec<bool>,
    /// Upstreams that a request tries.
    choices: usize,
}

/// A request that runs until a time.
struct End(f64, #[allow(dead_code, reason = "dropping it frees the slot")] Slot);

impl PartialEq for End {
    fn eq(&self, other: &End) -> bool {
        self.0 == other.0
    }
}

impl Eq for End {}

impl Ord for End {
    fn cmp(&self, other: &End) -> std::cmp::Ordering {
        other.0.total_cmp(&self.0)
    }
}

impl PartialOrd for End {
    fn partial_cmp(&self, other: &End) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Figures of the credits.
#[derive(Default)]
struct Figures {
    requests: u64,
    batches: u64,
    bytes: u64,
    waits: Vec<f64>,
    owned: u64,
}

/// Runs the load and prints the figures.
pub(crate) fn run(seed: u64) {
    println!("\nadmission: {NODES} nodes, {UPSTREAMS} upstreams, seed {seed}");
    println!("way                  messages/request  B/s a node  no wait  wait p95  wait p99");
    for choices in CHOICES {
        let figures = play(seed, choices);
        if choices == 1 {
            print_others(&figures);
        }
        print_credits(choices, figures);
    }
}

fn print_others(it: &Figures) {
    let away = 1.0 - it.owned as f64 / it.requests as f64;
    let trip = 2.0 * DELAY.as_secs_f64() * 1e3;
    for (way, messages, note) in [
        ("slot per request", 3.0, "(round trip only)"),
        ("relay by owner", 2.0 + TOKENS, "(and for each token)"),
    ] {
        let none = 100.0 * (1.0 - away);
        println!(
            "{way:<20} {:>15.2} {:>11} {none:>7.1}% {trip:>6.1} ms {trip:>6.1} ms {note}",
            messages * away,
            "-",
        );
    }
}

fn print_credits(choices: usize, mut it: Figures) {
    let none = it.waits.iter().filter(|it| **it == 0.0).count() as f64 / it.waits.len() as f64;
    println!(
        "credits, {choices} choice(s) {:>15.2} {:>11.0} {:>7.1}% {:>6.1} ms {:>6.1} ms",
        it.batches as f64 / it.requests as f64,
        it.bytes as f64 / (SECONDS - WARM) / NODES as f64,
        100.0 * none,
        percentile(&mut it.waits, 0.95) * 1e3,
        percentile(&mut it.waits, 0.99) * 1e3,
    );
}

fn play(seed: u64, choices: usize) -> Figures {
    let mut random = Pcg64::seed_from_u64(seed);
    let names: Vec<String> = (0..NODES).map(|it| format!("node-{it}")).collect();
    let upstreams: Vec<String> = (0..UPSTREAMS).map(|it| format!("group-{it}#1")).collect();
    let limits = Limits { slots: SLOTS, cold_slots: 8, warm_up: Duration::from_secs(30) };
    let mut places: Vec<Place> = names
        .iter()
        .map(|name| {
            let mut node = Controller::new(name.clone(), 1);
            node.set_nodes(Duration::ZERO, names.clone(), names.clone());
            for it in &upstreams {
                node.set_upstream(Duration::ZERO, it, Options::new(limits));
            }
            let owns = upstreams.iter().map(|it| node.owner(it).is_some()).collect();
            Place {
                node,
                waiting: BTreeMap::new(),
                running: BinaryHeap::new(),
                next: 0.0,
                owns,
                choices,
            }
        })
        .collect();
    let mut figures = Figures::default();
    let mut messages: Vec<(Duration, usize, message::Batch)> = Vec::new();
    let mut now = Duration::ZERO;
    let mut step = 0;
    while now.as_secs_f64() < SECONDS {
        now += STEP;
        step += 1;
        let counted = now.as_secs_f64() > WARM;
        let due: Vec<_> = messages.extract_if(.., |it| it.0 <= now).collect();
        for (_, to, batch) in due {
            places[to].node.receive(now, batch);
        }
        for (index, place) in places.iter_mut().enumerate() {
            place.work(&mut random, now, &upstreams, counted, &mut figures);
            if (step + index as u32).is_multiple_of(TICK / STEP.as_millis() as u32) {
                place.node.tick(now);
                if step % 1000 < TICK {
                    place.observe(now);
                }
            }
            let work = place.node.take_work();
            for it in work.probes {
                place.node.observe(now, &it, 1, None, now);
            }
            for (to, batch) in work.batches {
                if counted {
                    figures.batches += 1;
                    figures.bytes += size(&batch);
                }
                let to = names.iter().position(|it| *it == to).expect("it is listed");
                messages.push((now + DELAY, to, batch));
            }
        }
    }
    figures
}

impl Place {
    fn observe(&mut self, now: Duration) {
        let owned: Vec<String> = self.node.owned().cloned().collect();
        owned.iter().for_each(|it| self.node.observe(now, it, 1, None, now));
    }

    /// Draws upstreams until one has a free slot; the first one else.
    fn choose(&self, random: &mut Pcg64, upstreams: &[String]) -> usize {
        let free = |it: &usize| {
            let holder = self.node.holder(&upstreams[*it]).expect("it was added");
            holder.in_use() < holder.allowance()
        };
        let drawn: Vec<usize> =
            (0..self.choices).map(|_| random.random_range(0..UPSTREAMS)).collect();
        drawn.iter().copied().find(free).unwrap_or(drawn[0])
    }

    /// Ends requests, lets new ones arrive and takes slots for them.
    fn work(
        &mut self,
        random: &mut Pcg64,
        now: Duration,
        upstreams: &[String],
        counted: bool,
        figures: &mut Figures,
    ) {
        let at = now.as_secs_f64();
        while self.running.peek().is_some_and(|it| it.0 <= at) {
            self.running.pop();
        }
        while self.next <= at {
            let upstream = self.choose(random, upstreams);
            self.waiting.entry(upstream).or_default().push(at);
            self.next += exponential(random, 1.0 / RATE);
            if counted {
                figures.requests += 1;
                figures.owned += u64::from(self.owns[upstream]);
            }
        }
        for (&upstream, waiting) in &mut self.waiting {
            let holder = self.node.holder(&upstreams[upstream]).expect("it was added").clone();
            while let Some(&arrival) = waiting.first() {
                let Some(slot) = holder.acquire(now) else { break };
                waiting.remove(0);
                self.running.push(End(at + exponential(random, RUN), slot));
                if counted {
                    figures.waits.push(at - arrival);
                }
            }
            holder.set_waiting(waiting.len() as u32);
        }
        let short: Vec<usize> =
            self.waiting.iter().filter(|it| !it.1.is_empty()).map(|it| *it.0).collect();
        short.iter().for_each(|&it| self.node.report(now, &upstreams[it]));
    }
}

/// Bytes of a batch as JSON; a binary codec needs less.
fn size(batch: &message::Batch) -> u64 {
    serde_json::to_vec(batch).expect("batches are plain data").len() as u64
}

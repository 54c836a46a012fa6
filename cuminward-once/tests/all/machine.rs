//! State machine test of ledgers and stores with a faulty log.
//!
//! Two nodes claim a few keys in random steps. The log loses responses, rejects, delays and trims
//! records; nodes pause and restart. The test checks that no two requests of a key are sent within the
//! window and that a refused request is not sent.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use cuminward_once::{
    claim::{self, Claim, Verdict},
    key,
    ledger::{Answer, Input, Ledger, Options, Outcome, Output},
    record::{Entry, KeyBatch, Page, Record},
    store::{self, Action, Store},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const NODES: usize = 2;
const KEYS: u8 = 2;
/// Length of the window; a few times [`claim::START_TIMEOUT`].
const WINDOW: Duration = Duration::from_secs(20);

/// A random step.
#[derive(Debug, Clone)]
enum Step {
    /// A caller's request with a key arrives at a node.
    Request { node: usize, key: u8 },
    /// The oldest append of a node takes effect; its response arrives or is lost.
    Store { node: usize, answered: bool },
    /// The log rejects the oldest append of a node.
    Reject { node: usize },
    /// A node reads a page.
    Read { node: usize, max: usize },
    /// A node processes the verdicts that it has received.
    Process { node: usize },
    /// Time advances for all nodes.
    Advance { ms: u64 },
    /// A node restarts.
    Restart { node: usize },
    /// The log trims its oldest records.
    Trim { count: u64 },
}

/// Generates the steps; which steps are possible doesn't depend on the state.
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let node = 0..NODES;
        prop_oneof![
            6 => (node.clone(), 0..KEYS).prop_map(|(node, key)| Step::Request { node, key }),
            6 => (node.clone(), any::<bool>())
                .prop_map(|(node, answered)| Step::Store { node, answered }),
            1 => node.clone().prop_map(|node| Step::Reject { node }),
            8 => (node.clone(), 1..4_usize).prop_map(|(node, max)| Step::Read { node, max }),
            8 => node.clone().prop_map(|node| Step::Process { node }),
            4 => prop_oneof![10..1_000_u64, 1_000..15_000_u64].prop_map(|ms| Step::Advance { ms }),
            1 => node.prop_map(|node| Step::Restart { node }),
            1 => (1..4_u64).prop_map(|count| Step::Trim { count }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// A node with its ledger and store.
struct Node {
    ledger: Ledger,
    store: Store,
    appends: Vec<KeyBatch>,
    next: u64,
    claims: BTreeMap<u64, key::Hash>,
    /// Received verdicts that the node has not processed yet, as if it were paused.
    verdicts: Vec<(u64, Verdict)>,
}

fn node(index: usize, incarnation: u64) -> Node {
    let options = Options { window: WINDOW, ..Options::default() };
    Node {
        ledger: Ledger::new(format!("n{index}"), incarnation, options),
        store: Store::new(store::Options::default()),
        appends: Vec::new(),
        next: 0,
        claims: BTreeMap::new(),
        verdicts: Vec::new(),
    }
}

/// The nodes, the log and the requests that were sent.
struct Cluster {
    now: Duration,
    nodes: Vec<Node>,
    log: Vec<Entry>,
    oldest: u64,
    incarnation: u64,
    /// Appends of nodes that have restarted, still in flight.
    orphans: Vec<KeyBatch>,
    /// Time of the last sent request of each key.
    sent: BTreeMap<key::Hash, Duration>,
    /// Claims that were refused, by node, incarnation and number.
    refused: BTreeSet<(usize, u64, u64)>,
    incarnations: Vec<u64>,
}

impl Cluster {
    fn step(&mut self, index: usize, input: Input) {
        let now = self.now;
        let outputs = self.nodes[index].ledger.step(now, input);
        for output in outputs {
            match output {
                Output::Append(started) => self.nodes[index].appends.push(started),
                Output::Decide { number, verdict } => {
                    self.nodes[index].verdicts.push((number, verdict));
                }
            }
        }
    }

    /// Processes the verdicts that a node has received.
    fn process_verdicts(&mut self, index: usize) {
        let verdicts = std::mem::take(&mut self.nodes[index].verdicts);
        for (number, verdict) in verdicts {
            let Some(hash) = self.nodes[index].claims.remove(&number) else { continue };
            let store = &mut self.nodes[index].store;
            match verdict {
                Verdict::First { .. } if store.start(self.now, &hash) => {
                    store.finish(self.now, &hash, None);
                    self.send(index, number, hash);
                }
                Verdict::First { .. } => {
                    self.refused.insert((index, self.incarnations[index], number));
                }
                Verdict::Repeated { .. } => store.forget(&hash),
                Verdict::Refused(reason) => {
                    store.refuse(self.now, &hash, Some(reason));
                    self.refused.insert((index, self.incarnations[index], number));
                }
            }
        }
    }

    fn send(&mut self, index: usize, number: u64, hash: key::Hash) {
        let is_refused = self.refused.contains(&(index, self.incarnations[index], number));
        assert!(!is_refused, "a refused request was sent");
        let last = self.sent.insert(hash, self.now);
        let min_distance = WINDOW - claim::START_TIMEOUT;
        let is_repeated = last.is_some_and(|it| self.now - it <= min_distance);
        assert!(!is_repeated, "{hash:?} was sent at {last:?} and at {:?}", self.now);
    }

    fn request(&mut self, index: usize, key: u8) {
        let hash = [key; 16];
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.store.begin(now, hash) != Action::Claim {
            return;
        }
        let number = node.next;
        node.next += 1;
        node.claims.insert(number, hash);
        let claim = Claim { hash, issuer: format!("n{index}") };
        self.step(index, Input::Claim { number, claim });
    }

    fn append(&mut self, started: KeyBatch) {
        let offset = self.log.len() as u64;
        let at_ms = self.now.as_millis() as u64;
        self.log.push(Entry { offset, at_ms, record: Record::Started(started) });
    }

    fn read(&mut self, index: usize, max: usize) {
        let position = self.nodes[index].ledger.position();
        let input = if position < self.oldest {
            Input::Trimmed { oldest: self.oldest }
        } else {
            let entries = self.log.iter().skip(position as usize).take(max).cloned().collect();
            Input::Read(Page { oldest: self.oldest, next: self.log.len() as u64, entries })
        };
        self.step(index, input);
    }

    fn restart(&mut self, index: usize) {
        self.incarnation += 1;
        self.incarnations[index] = self.incarnation;
        let old = std::mem::replace(&mut self.nodes[index], node(index, self.incarnation));
        self.orphans.extend(old.appends);
    }
}

struct Machine;

impl StateMachineTest for Machine {
    type SystemUnderTest = Cluster;
    type Reference = Steps;

    fn init_test((): &()) -> Cluster {
        Cluster {
            now: Duration::ZERO,
            nodes: (0..NODES).map(|it| node(it, 0)).collect(),
            log: Vec::new(),
            oldest: 0,
            incarnation: 0,
            orphans: Vec::new(),
            sent: BTreeMap::new(),
            refused: BTreeSet::new(),
            incarnations: vec![0; NODES],
        }
    }

    fn apply(mut cluster: Cluster, (): &(), step: Step) -> Cluster {
        match step {
            Step::Request { node, key } => cluster.request(node, key),
            Step::Store { node, answered } => {
                if let Some(orphan) = cluster.orphans.pop() {
                    cluster.append(orphan);
                } else if !cluster.nodes[node].appends.is_empty() {
                    let started = cluster.nodes[node].appends.remove(0);
                    let batch = started.batch.clone();
                    cluster.append(started);
                    let outcome = if answered { Outcome::Stored } else { Outcome::Unknown };
                    cluster.step(node, Input::Appended(Answer { batch, outcome }));
                }
            }
            Step::Reject { node } => {
                if !cluster.nodes[node].appends.is_empty() {
                    let batch = cluster.nodes[node].appends.remove(0).batch;
                    let outcome = Outcome::NotStored;
                    cluster.step(node, Input::Appended(Answer { batch, outcome }));
                }
            }
            Step::Read { node, max } => cluster.read(node, max),
            Step::Process { node } => cluster.process_verdicts(node),
            Step::Advance { ms } => {
                cluster.now += Duration::from_millis(ms);
                (0..NODES).for_each(|it| cluster.step(it, Input::Tick));
            }
            Step::Restart { node } => cluster.restart(node),
            Step::Trim { count } => {
                cluster.oldest = (cluster.oldest + count).min(cluster.log.len() as u64);
            }
        }
        cluster
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 1000,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(2026),
        ..Config::default()
    })]

    #[test]
    fn requests_are_sent_at_most_once(sequential 1..200 => Machine);
}

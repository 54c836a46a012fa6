//! State machine test: two stewards and fake hosts, some of which ignore fencing tokens, under random
//! interleavings, faults and delays.
//!
//! Invariants after every step: the state that the steward of the newest term confirmed for a host is the
//! host's actual state, and no host is in two whole replicas. After some time without faults, every declared
//! replica is whole.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use cuminward_core::{host, id};
use cuminward_group::{assembly, placement, steward};
use proptest::{prelude::*, test_runner::RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use super::fixture::{Cluster, Node, read};

const SERVICES: &[(&str, u32, u32)] = &[("a", 2, 2)];
const HOSTS: usize = 5;
const ORDER_BOUND: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(250);
const SETTLE_TIME: Duration = Duration::from_secs(120);

#[derive(Clone, Debug)]
pub(crate) enum Transition {
    Tick(usize),
    ReadLog(usize),
    Advance(u64),
    Deliver {
        pick: usize,
        lost: bool,
    },
    Restart(usize),
    TogglePower(usize),
    ToggleLog,
    LoseAppend,
    /// One node reads the log, the other one only gets ticks; the bits of `mask` select what is delivered.
    SingleReader {
        node: usize,
        steps: u32,
        mask: u64,
        restart: usize,
    },
}

/// The reference has no state: the invariants are checked on the system itself.
pub(crate) struct Reference;

impl ReferenceStateMachine for Reference {
    type State = ();
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Transition> {
        prop_oneof![
            4 => (0..2_usize).prop_map(Transition::Tick),
            4 => (0..2_usize).prop_map(Transition::ReadLog),
            3 => (100..2_000_u64).prop_map(Transition::Advance),
            12 => (any::<usize>(), prop::bool::weighted(0.1))
                .prop_map(|(pick, lost)| Transition::Deliver { pick, lost }),
            1 => (0..HOSTS).prop_map(Transition::Restart),
            1 => (0..HOSTS).prop_map(Transition::TogglePower),
            6 => (0..2_usize, 4..70_u32, any::<u64>(), 0..HOSTS)
                .prop_map(|(node, steps, mask, restart)|
                    Transition::SingleReader { node, steps, mask, restart }),
            1 => Just(Transition::ToggleLog),
            1 => Just(Transition::LoseAppend),
        ]
        .boxed()
    }

    fn apply((): (), _: &Transition) {}
}

enum InFlight {
    Order { node: usize, sent: Duration, dispatch: Box<steward::Dispatch>, awaits_answer: bool },
    Read { node: usize, asked: Duration, host: id::Host },
}

pub(crate) struct System {
    cluster: Cluster,
    nodes: Vec<Node>,
    in_flight: Vec<InFlight>,
    now: Duration,
    log: bool,
    lose_append: bool,
    restarted: BTreeSet<(usize, id::Host)>,
}

impl System {
    fn new() -> System {
        let cluster = Cluster::new(1, HOSTS, 2);
        let nodes = ["n1", "n2"].map(|it| Node::new(it, &cluster, SERVICES)).into();
        System {
            cluster,
            nodes,
            in_flight: Vec::new(),
            now: Duration::ZERO,
            log: true,
            lose_append: false,
            restarted: BTreeSet::new(),
        }
    }

    fn input(&mut self, node: usize, input: steward::Input) {
        let outputs = self.nodes[node].steward.step(self.now, input);
        for output in outputs {
            self.output(node, output);
        }
    }

    fn output(&mut self, node: usize, output: steward::Output) {
        let sent = self.now;
        match output {
            steward::Output::Append(claim) => self.append(node, claim),
            steward::Output::Send(dispatch) => {
                let dispatch = Box::new(dispatch);
                self.in_flight.push(InFlight::Order { node, sent, dispatch, awaits_answer: true });
            }
            steward::Output::Read { host, .. } => {
                self.in_flight.push(InFlight::Read { node, asked: sent, host });
            }
            steward::Output::Event(steward::event::Event::HostRestarted { host, .. }) => {
                self.restarted.remove(&(node, host));
            }
            steward::Output::Event(_) | steward::Output::Retire { .. } => {}
        }
    }

    fn append(&mut self, node: usize, claim: steward::claim::Claim) {
        let sequence = claim.sequence;
        let outcome = match (self.log, std::mem::take(&mut self.lose_append)) {
            (false, _) => steward::Append::Failed,
            (true, false) => steward::Append::Done,
            (true, true) => steward::Append::Unknown,
        };
        if self.log {
            self.cluster.claims.push(claim);
        }
        self.input(node, steward::Input::Appended { sequence, outcome });
    }

    fn read_log(&mut self, node: usize) {
        if !self.log {
            return;
        }
        for (at, claim) in self.cluster.claims.clone().into_iter().enumerate() {
            if at >= self.nodes[node].read {
                self.input(node, steward::Input::Record { offset: at as id::Offset, claim });
            }
        }
        self.nodes[node].read = self.cluster.claims.len();
        self.input(node, steward::Input::LogRead);
    }

    fn deliver(&mut self, at: usize, lost: bool) {
        match self.in_flight.remove(at) {
            InFlight::Read { node, asked, host } => {
                let input = match read(self.now, host, &self.cluster) {
                    steward::Input::Observed { observation, .. } => {
                        steward::Input::Observed { observation, asked }
                    }
                    other => other,
                };
                if !lost {
                    self.input(node, input);
                }
            }
            InFlight::Order { node, dispatch, awaits_answer, .. } => {
                let host = self.cluster.hosts.get_mut(&dispatch.host).filter(|it| it.up);
                let answer = host.map_or(steward::Answer::Unknown, |it| it.order(&dispatch.order));
                let outcome = if lost { steward::Answer::Unknown } else { answer };
                let (host, order) = (dispatch.host.clone(), dispatch.order.order.clone());
                if awaits_answer {
                    self.input(node, steward::Input::OrderCompleted { host, order, outcome });
                }
            }
        }
    }

    /// Advances the time. Senders stop waiting after the timeout, and orders take effect within their bound;
    /// only orders of earlier terms to hosts that enforce fencing may take any time.
    fn advance(&mut self, by: Duration) {
        let until = self.now + by;
        while let Some(at) = self.in_flight.iter().position(|it| self.is_due(it, until)) {
            self.deliver(at, true);
        }
        self.now = until;
        self.time_out_orders();
        self.cluster.advance();
    }

    fn is_due(&self, message: &InFlight, until: Duration) -> bool {
        let InFlight::Order { sent, dispatch, .. } = message else { return false };
        let enforces = self.cluster.hosts[&dispatch.host].enforces;
        let earlier = Some(dispatch.order.fence) != self.newest_fence();
        *sent + ORDER_BOUND <= until && !(enforces && earlier)
    }

    /// Returns the fencing token of the newest term.
    fn newest_fence(&self) -> Option<id::Fence> {
        let mut claims = self.cluster.claims.iter().enumerate();
        let newest = claims.rfind(|it| it.1.kind == steward::claim::Kind::Claim);
        newest.map(|it| it.0 as id::Fence)
    }

    fn time_out_orders(&mut self) {
        let mut given_up = Vec::new();
        for message in &mut self.in_flight {
            if let InFlight::Order { node, sent, dispatch, awaits_answer } = message
                && *awaits_answer
                && self.now >= *sent + dispatch.timeout
            {
                *awaits_answer = false;
                given_up.push((*node, dispatch.host.clone(), dispatch.order.order.clone()));
            }
        }
        for (node, host, order) in given_up {
            let outcome = steward::Answer::Unknown;
            self.input(node, steward::Input::OrderCompleted { host, order, outcome });
        }
    }

    fn run_single_reader(&mut self, node: usize, steps: u32, mask: u64, restart: usize) {
        for step in 0..steps {
            let bits = mask.rotate_right(step);
            self.read_log(node);
            self.input(node, steward::Input::Tick);
            if bits & 1 == 1 {
                self.input(1 - node, steward::Input::Tick);
            }
            for shift in [1, 2, 3] {
                if (bits >> shift) & 1 == 1 && !self.in_flight.is_empty() {
                    let at = (bits >> 8) as usize % self.in_flight.len();
                    self.deliver(at, (bits >> 4) & 15 == 15);
                }
            }
            if bits & 7 == 7 {
                self.restart((restart + step as usize) % HOSTS);
            }
            self.check();
            self.advance(STEP);
        }
    }

    fn name(&self, index: usize) -> id::Host {
        self.cluster
            .hosts
            .keys()
            .nth(index)
            .cloned()
            .expect("the index is below the number of hosts")
    }

    fn restart(&mut self, index: usize) {
        let name = self.name(index);
        let host = self.cluster.hosts.get_mut(&name).expect("the name is one of the hosts");
        host.report.incarnation += 1;
        host.report.fence = 0;
        host.report.membership = None;
        self.restarted.extend((0..self.nodes.len()).map(|it| (it, name.clone())));
    }

    fn toggle_power(&mut self, index: usize) {
        let name = self.name(index);
        let host = self.cluster.hosts.get_mut(&name).expect("the name is one of the hosts");
        host.up = !host.up;
    }

    /// Ends all faults and answers every output at once for [`SETTLE_TIME`]; returns the number of whole
    /// replicas.
    fn settle(&mut self) -> usize {
        self.log = true;
        self.cluster.hosts.values_mut().for_each(|it| it.up = true);
        let end = self.now + SETTLE_TIME;
        while self.now < end {
            for node in 0..self.nodes.len() {
                self.read_log(node);
                self.input(node, steward::Input::Tick);
            }
            while !self.in_flight.is_empty() {
                self.deliver(0, false);
            }
            self.advance(STEP);
        }
        self.routable().len()
    }

    fn routable(&self) -> Vec<BTreeSet<id::Host>> {
        let observations: BTreeMap<id::Host, host::Observation> =
            self.cluster.observations(self.now);
        let outcome = assembly::assemble(&assembly::Input {
            silent: &BTreeSet::new(),
            observations: &observations,
            hosts: &self.cluster.entries(),
            catalog: &self.cluster.catalog(SERVICES),
            now: self.now,
            freshness: Duration::from_secs(2),
        });
        outcome.routable.into_iter().map(|it| it.members.into_iter().collect()).collect()
    }

    /// Checks the invariants.
    fn check(&self) {
        for node in 0..self.nodes.len() {
            let fence = self.nodes[node].steward.fence();
            if fence.is_some() && fence == self.newest_fence() {
                self.check_confirmed(node);
            }
        }
        let mut used = BTreeSet::new();
        for host in self.routable().into_iter().flatten() {
            assert!(used.insert(host.clone()), "{host} is in two whole replicas");
        }
    }

    /// Compares the states that the steward of the newest term confirmed with the actual ones.
    fn check_confirmed(&self, node: usize) {
        let input = self.nodes[node].steward.placement_input(self.now);
        for view in &input.hosts {
            if self.restarted.contains(&(node, view.host.clone())) {
                continue;
            }
            let actual = self.cluster.hosts[&view.host].report.membership.as_ref();
            let actual = actual.map(|it| (it.group.clone(), it.generation));
            match view.state {
                placement::State::Free => assert_eq!(actual, None, "{} is free", view.host),
                placement::State::Member => {
                    let known = input.groups.iter().any(|it| {
                        it.members.contains(&view.host)
                            && actual == Some((it.group.clone(), it.generation))
                    });
                    assert!(known, "{} is in {actual:?}, unknown to the steward", view.host);
                }
                placement::State::Unsure | placement::State::Down => {}
            }
        }
    }
}

pub(crate) struct Test;

impl StateMachineTest for Test {
    type SystemUnderTest = System;
    type Reference = Reference;

    fn init_test(_: &()) -> System {
        System::new()
    }

    fn apply(mut system: System, _: &(), transition: Transition) -> System {
        match transition {
            Transition::Tick(node) => system.input(node, steward::Input::Tick),
            Transition::ReadLog(node) => system.read_log(node),
            Transition::Advance(by) => system.advance(Duration::from_millis(by)),
            Transition::Deliver { pick, lost } if !system.in_flight.is_empty() => {
                system.deliver(pick % system.in_flight.len(), lost);
            }
            Transition::Deliver { .. } => {}
            Transition::Restart(index) => system.restart(index),
            Transition::TogglePower(index) => system.toggle_power(index),
            Transition::ToggleLog => system.log = !system.log,
            Transition::LoseAppend => system.lose_append = true,
            Transition::SingleReader { node, steps, mask, restart } => {
                system.run_single_reader(node, steps, mask, restart);
            }
        }
        system
    }

    fn check_invariants(system: &System, _: &()) {
        system.check();
    }

    fn teardown(mut system: System, (): ()) {
        assert_eq!(system.settle(), 2, "every declared replica is whole after a quiet time");
    }
}

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(config(1))]
    #[test]
    fn invariants_hold(sequential 20..100 => Test);
}

prop_state_machine! {
    #![proptest_config(config(2))]
    #[test]
    fn invariants_hold_in_long_runs(sequential 100..300 => Test);
}

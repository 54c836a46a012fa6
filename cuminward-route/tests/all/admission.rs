//! Tests of admission control across many nodes, with faults between them.

use std::{sync::Arc, time::Duration};

use cuminward_core::id;
use cuminward_route::admission::{
    Controller, Holder, Input, Limits, Options, Owner, Slot, message, reserve,
};
use googletest::prelude::*;
use proptest::{prelude::*, test_runner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const UPSTREAM: &str = "desk-1";

/// Longest delay of a message.
const MAX_DELAY: Duration = Duration::from_millis(400);

/// Duration of one step.
const STEP: Duration = Duration::from_millis(20);

const LIMITS: Limits = Limits { slots: 48, cold_slots: 6, warm_up: Duration::from_secs(10) };

/// One node with the requests that it runs.
struct Member {
    name: id::Node,
    node: Controller,
    /// Running requests, with the time at which each one ends.
    running: Vec<(Duration, Slot)>,
    /// Incarnation of the upstream to which the node has connections.
    connected: id::Incarnation,
    /// Side of the network partition; nodes exchange messages only within a side.
    side: u32,
    /// Number of requests that the node wants to run at the same time.
    demand: u32,
    leaving: bool,
}

/// A failure domain with one upstream.
struct Domain {
    random: Pcg64,
    now: Duration,
    members: Vec<Member>,
    /// Messages in transit, with the time of delivery and the receiver.
    messages: Vec<(Duration, id::Node, message::Batch)>,
    /// Probe results in transit: time of delivery, receiver, incarnation and time of the probe.
    observations: Vec<(Duration, id::Node, id::Incarnation, Duration)>,
    /// Incarnation of the upstream and when it started.
    incarnation: id::Incarnation,
    started: Duration,
    /// Probability that a message is lost.
    loss: f64,
    /// Number of node names that have been used.
    named: usize,
    max_running: u32,
    /// Number of requests that got a slot.
    served: u64,
}

/// Event in a domain; numbers of type `u64` are seeds.
#[derive(Debug, Clone)]
enum Event {
    /// Runs this many steps.
    Run(u32),
    /// Partitions the network.
    Split(u64),
    /// Ends the partition.
    Heal,
    /// Partitions and heals the network several times in quick succession.
    Flap(u64),
    /// Restarts the upstream.
    Restart,
    /// Changes the demand of all nodes.
    Demand(u64),
    /// Replaces a node by a new process with the same name.
    Replace(usize),
    /// Turns the loss of messages on or off.
    Loss(bool),
    /// Adds a node.
    Join(u64),
    /// Shuts a node down.
    Leave(usize, u64),
}

impl Domain {
    fn new(count: usize, seed: u64) -> Domain {
        let members = (0..count).map(|it| member(it, 1)).collect();
        let mut domain = Domain {
            random: Pcg64::seed_from_u64(seed),
            now: Duration::ZERO,
            members,
            messages: Vec::new(),
            observations: Vec::new(),
            incarnation: 1,
            started: Duration::ZERO,
            loss: 0.0,
            named: count,
            max_running: 0,
            served: 0,
        };
        domain.update_nodes();
        domain
    }

    /// Returns the upstream's current concurrency limit, computed independently of the library.
    fn upstream_limit(&self) -> u32 {
        let age = self.now - self.started;
        if age >= LIMITS.warm_up {
            return LIMITS.slots;
        }
        let rise = f64::from(LIMITS.slots - LIMITS.cold_slots);
        LIMITS.cold_slots + (rise * age.as_secs_f64() / LIMITS.warm_up.as_secs_f64()) as u32
    }

    /// Returns the number of requests that run on the upstream.
    fn running(&self) -> u32 {
        self.members.iter().map(|it| it.running.len() as u32).sum()
    }

    /// Sends every node the list of nodes and those of them that it can reach.
    fn update_nodes(&mut self) {
        let listed: Vec<id::Node> = self.members.iter().map(|it| it.name.clone()).collect();
        for index in 0..self.members.len() {
            let side = self.members[index].side;
            let live = self.members.iter().filter(|it| it.side == side && !it.leaving);
            let live = live.map(|it| it.name.clone()).collect();
            let node = &mut self.members[index].node;
            node.set_nodes(self.now, listed.clone(), live);
            node.set_upstream(self.now, UPSTREAM, options());
        }
    }

    fn apply(&mut self, event: &Event) {
        match *event {
            Event::Run(steps) => (0..steps).for_each(|_| self.step()),
            Event::Split(seed) => self.split(seed),
            Event::Heal => self.split(0),
            Event::Flap(seed) => self.flap(seed),
            Event::Restart => self.restart(),
            Event::Demand(seed) => self.demand(seed),
            Event::Replace(index) => self.replace(index),
            Event::Join(seed) => self.join(seed),
            Event::Leave(index, seed) => self.leave(index, seed),
            Event::Loss(on) => self.loss = if on { 0.3 } else { 0.0 },
        }
    }

    /// Partitions the network into three sides at random, or into one if `seed` is 0.
    fn split(&mut self, seed: u64) {
        let mut random = Pcg64::seed_from_u64(seed);
        let sides = if seed == 0 { 1 } else { 3 };
        for member in &mut self.members {
            member.side = random.random_range(0..sides);
        }
        self.propagate(&mut random);
    }

    /// Sends all nodes the current lists one after the other, with steps in between at random.
    fn propagate(&mut self, random: &mut Pcg64) {
        let listed: Vec<id::Node> = self.members.iter().map(|it| it.name.clone()).collect();
        let staying = self.members.iter().filter(|it| !it.leaving);
        let sides: Vec<(id::Node, u32)> = staying.map(|it| (it.name.clone(), it.side)).collect();
        for name in &listed {
            let Some(member) = self.members.iter_mut().find(|it| it.name == *name) else {
                continue;
            };
            let live = sides.iter().filter(|it| it.1 == member.side).map(|it| it.0.clone());
            member.node.set_nodes(self.now, listed.clone(), live.collect());
            if random.random_bool(0.3) {
                self.step();
            }
        }
    }

    /// Adds a node to the list.
    fn join(&mut self, seed: u64) {
        let side = self.members.first().map_or(0, |it| it.side);
        let mut new = Member { side, demand: 20, ..member(self.named, 1) };
        self.named += 1;
        new.node.set_upstream(self.now, UPSTREAM, options());
        self.members.push(new);
        self.propagate(&mut Pcg64::seed_from_u64(seed));
    }

    /// Shuts a node down: it no longer owns upstreams, finishes its requests and leaves the list.
    fn leave(&mut self, index: usize, seed: u64) {
        if self.members.len() == 1 {
            return;
        }
        let index = index % self.members.len();
        self.members[index].leaving = true;
        self.propagate(&mut Pcg64::seed_from_u64(seed));
    }

    /// Partitions the network for less time than messages may be delayed.
    fn flap(&mut self, seed: u64) {
        for seed in [seed, 0, seed.rotate_left(7), 0] {
            self.split(seed);
            (0..4).for_each(|_| self.step());
        }
    }

    /// Restarts the upstream without notice; its running requests are lost.
    fn restart(&mut self) {
        self.incarnation += 1;
        self.started = self.now;
        self.members.iter_mut().for_each(|it| it.running.clear());
    }

    /// Changes the demand of all nodes at random; about half of them become idle.
    fn demand(&mut self, seed: u64) {
        let mut random = Pcg64::seed_from_u64(seed);
        for member in &mut self.members {
            member.demand = if random.random_bool(0.5) { 0 } else { random.random_range(0..40) };
        }
    }

    /// Replaces a node by a new process with the same name, as after a crash.
    fn replace(&mut self, index: usize) {
        let index = index % self.members.len();
        let epoch = 2 + self.now.as_millis() as u32;
        let (side, demand) = (self.members[index].side, self.members[index].demand);
        let name = self.members[index].name.clone();
        let node = Controller::new(name.clone(), epoch);
        self.members[index] = Member { name, node, side, demand, ..member(index, epoch) };
        self.update_nodes();
    }

    /// Advances the time by one step. Checks that the running requests are within the upstream's
    /// limit.
    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for index in 0..self.members.len() {
            self.work(index);
            self.members[index].node.tick(self.now);
            self.send(index);
        }
        let ended = |it: &Member| it.leaving && it.running.is_empty();
        if self.members.iter().any(|it| !ended(it)) {
            self.members.retain(|it| !ended(it));
        }
        let running = self.running();
        self.max_running = self.max_running.max(running);
        assert!(
            running <= self.upstream_limit(),
            "{running} requests run at {:?}, the limit is {}",
            self.now,
            self.upstream_limit()
        );
    }

    /// Ends and starts requests at a node.
    fn work(&mut self, index: usize) {
        let now = self.now;
        let member = &mut self.members[index];
        member.running.retain(|it| it.0 > now);
        let holder = member.node.holder(UPSTREAM).expect("every node has the upstream").clone();
        if member.connected != self.incarnation {
            holder.on_disconnect();
            member.connected = self.incarnation;
        }
        if member.leaving {
            member.demand = 0;
        }
        while (member.running.len() as u32) < member.demand {
            let Some(slot) = holder.acquire(now) else { break };
            let end = now + Duration::from_millis(self.random.random_range(50..4_000));
            member.running.push((end, slot));
            self.served += 1;
        }
        holder.set_waiting(member.demand.saturating_sub(member.running.len() as u32));
    }

    /// Sends a node's messages and probes. Messages may be lost, duplicated and delayed.
    fn send(&mut self, index: usize) {
        let work = self.members[index].node.take_work();
        let asked = self.now;
        let polled = self.random.random_bool(0.05);
        if !work.probes.is_empty() || polled {
            let due = self.now + self.delay();
            let name = self.members[index].name.clone();
            self.observations.push((due, name, self.incarnation, asked));
        }
        for (to, batch) in work.batches {
            let Some(other) = self.members.iter().find(|it| it.name == to) else { continue };
            let is_unreachable = other.side != self.members[index].side;
            for _ in 0..1 + u32::from(self.random.random_bool(0.05)) {
                let lost = self.random.random_bool(self.loss);
                let due = self.now + self.delay();
                if !lost && !is_unreachable {
                    self.messages.push((due, to.clone(), batch.clone()));
                }
            }
        }
    }

    /// Draws the delay of a message; most are short.
    fn delay(&mut self) -> Duration {
        MAX_DELAY.mul_f64(self.random.random_range(0.0..1.0f64).powi(4))
    }

    /// Delivers the messages and probe results that are due.
    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.messages.extract_if(.., |it| it.0 <= now).collect();
        for (_, to, batch) in due {
            if let Some(member) = self.members.iter_mut().find(|it| it.name == to) {
                member.node.receive(now, batch);
            }
        }
        let due: Vec<_> = self.observations.extract_if(.., |it| it.0 <= now).collect();
        for (_, to, incarnation, asked) in due {
            if let Some(member) = self.members.iter_mut().find(|it| it.name == to) {
                member.node.observe(now, UPSTREAM, incarnation, None, asked);
            }
        }
    }
}

fn options() -> Options {
    Options {
        lease: Duration::from_secs(3),
        max_run_time: Duration::from_secs(5),
        ..Options::new(LIMITS)
    }
}

fn member(index: usize, epoch: u32) -> Member {
    let name = format!("node-{index}");
    let node = Controller::new(name.clone(), epoch);
    Member { name, node, running: Vec::new(), connected: 0, side: 0, demand: 0, leaving: false }
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (1..200u32).prop_map(Event::Run),
        3 => any::<u64>().prop_map(Event::Demand),
        1 => any::<u64>().prop_map(Event::Split),
        1 => Just(Event::Heal),
        1 => any::<u64>().prop_map(Event::Flap),
        1 => Just(Event::Restart),
        1 => any::<usize>().prop_map(Event::Replace),
        1 => any::<bool>().prop_map(Event::Loss),
        1 => any::<u64>().prop_map(Event::Join),
        1 => any::<(usize, u64)>().prop_map(|(index, seed)| Event::Leave(index, seed)),
    ]
}

/// Generates faults: each may happen at any time. The reference is the upstream's own limit, so the
/// state is only the seed.
struct Faults;

impl ReferenceStateMachine for Faults {
    type State = u64;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_seed: &u64) -> BoxedStrategy<Event> {
        event().boxed()
    }

    fn apply(seed: u64, _event: &Event) -> u64 {
        seed
    }
}

/// Runs the generated events in a domain of `COUNT` nodes.
struct Run<const COUNT: usize>;

impl<const COUNT: usize> StateMachineTest for Run<COUNT> {
    type SystemUnderTest = Domain;
    type Reference = Faults;

    fn init_test(&seed: &u64) -> Domain {
        let mut domain = Domain::new(COUNT, seed);
        domain.demand(seed);
        domain
    }

    fn apply(mut domain: Domain, _seed: &u64, event: Event) -> Domain {
        domain.apply(&event);
        domain
    }

    fn check_invariants(domain: &Domain, _seed: &u64) {
        assert!(domain.running() <= domain.upstream_limit());
    }
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(9),
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(config(128))]

    #[test]
    fn never_exceeds_the_limit_of_the_upstream_at_2_nodes(sequential 5..40 => Run<2>);
}

prop_state_machine! {
    #![proptest_config(config(64))]

    #[test]
    fn never_exceeds_the_limit_of_the_upstream_at_9_nodes(sequential 5..40 => Run<9>);
}

prop_state_machine! {
    #![proptest_config(config(16))]

    #[test]
    fn never_exceeds_the_limit_of_the_upstream_at_44_nodes(sequential 5..40 => Run<44>);
}

/// An upstream that fails all requests must get the cold limit again, although its incarnation hasn't
/// changed.
#[gtest]
fn an_upstream_that_fails_all_requests_restarts_its_slow_start() {
    let mut domain = Domain::new(2, 3);
    domain.members.iter_mut().for_each(|it| it.demand = 48);
    domain.apply(&Event::Run(1_000));
    let (now, owner) = (domain.now, |it: &&mut Member| it.node.owner(UPSTREAM).is_some());
    let member = domain.members.iter_mut().find(owner).expect("one node owns the upstream");
    member.node.on_upstream_failing(now, UPSTREAM);
    let owner = member.node.owner(UPSTREAM).expect("the node still owns the upstream");
    expect_that!(owner.limit(now), eq(LIMITS.cold_slots));
    domain.apply(&Event::Run(300));
    expect_that!(domain.running(), le(6 + 42 * 6 / 10));
}

/// Without faults the nodes together must reach the limit, also after a partition has healed.
#[gtest]
fn uses_the_whole_limit() {
    for count in [2, 9, 44] {
        let mut domain = Domain::new(count, 1);
        domain.members.iter_mut().for_each(|it| it.demand = 48);
        domain.apply(&Event::Run(1_000));
        expect_that!(domain.running(), ge(46), "{count} nodes");
        domain.apply(&Event::Split(5));
        domain.apply(&Event::Run(300));
        domain.apply(&Event::Heal);
        domain.apply(&Event::Run(1_000));
        expect_that!(domain.running(), ge(46), "{count} nodes, healed");
    }
}

#[gtest]
fn a_busy_node_gets_the_unused_slots_of_others() {
    let mut domain = Domain::new(9, 2);
    domain.members.iter_mut().for_each(|it| it.demand = 48);
    domain.apply(&Event::Run(800));
    domain.members.iter_mut().skip(1).for_each(|it| it.demand = 0);
    domain.apply(&Event::Run(500));
    expect_that!(domain.members[0].running.len(), ge(44));
}

/// Nodes with different lists must not reserve more than the total together.
#[gtest]
fn reserves_never_exceed_the_total_with_different_lists() {
    let listed: Vec<id::Node> = (0..44).map(|it| format!("node-{it}")).collect();
    for total in 0..60 {
        let core = &listed[..9];
        let lists = [core, &listed[..20], &listed];
        let sum: u32 = core
            .iter()
            .enumerate()
            .map(|(index, it)| reserve::share(total, lists[index % 3], UPSTREAM, it))
            .sum();
        expect_that!(sum, le(total));
        let all: u32 = listed.iter().map(|it| reserve::share(total, &listed, UPSTREAM, it)).sum();
        expect_that!(all, eq(total));
    }
}

#[gtest]
fn outdated_grants_are_ignored() {
    struct Case {
        from: &'static str,
        change: fn(&mut message::Grant),
        expected: u32,
    }
    let cases = [
        Case { from: "a", change: |_| {}, expected: 9 },
        Case { from: "b", change: |_| {}, expected: 2 },
        Case { from: "a", change: |it| it.session = 6, expected: 2 },
        Case { from: "a", change: |it| it.join -= 2, expected: 2 },
        Case { from: "a", change: |it| it.reset -= 1, expected: 2 },
        Case { from: "a", change: |it| it.seq = 0, expected: 2 },
    ];
    for (number, case) in cases.iter().enumerate() {
        let lease = Duration::from_secs(3);
        let holder = Arc::new(Holder::new(UPSTREAM.to_owned(), 2, lease, 1));
        for owner in ["a", "b", "a"] {
            holder.follow(Some(owner));
        }
        holder.on_disconnect();
        holder
            .on_invitation("a", &message::Invitation { upstream: UPSTREAM.to_owned(), session: 7 });
        let (_, holdings) = holder.report(Duration::ZERO).expect("the first report is due");
        let mut grant = message::Grant {
            upstream: UPSTREAM.to_owned(),
            session: 7,
            join: holdings.join,
            seq: 1,
            reset: holdings.reset,
            slots: 9,
            reserve: 2,
            echo: holdings.sent,
            started: None,
        };
        (case.change)(&mut grant);
        holder.on_grant(Duration::ZERO, case.from, &grant);
        expect_that!(holder.allowance(), eq(case.expected), "case {number}");
        let slots: Vec<Slot> = std::iter::from_fn(|| holder.acquire(lease)).collect();
        expect_that!(slots.len(), eq(2), "the lease of case {number} has expired");
    }
}

/// When no messages get through, nodes must be able to use a new upstream within their reserves, but
/// only once they have been listed for so long that all others have seen it.
#[gtest]
fn a_new_upstream_is_used_within_the_reserves() {
    for (listed_for, expected) in [(29, 0), (30, options().reserved())] {
        let now = Duration::from_secs(listed_for);
        let names: Vec<id::Node> = (0..9).map(|it| format!("node-{it}")).collect();
        let allowance = |name: &id::Node| {
            let mut node = Controller::new(name.clone(), 1);
            let alone = vec![name.clone()];
            node.set_nodes(Duration::ZERO, names.clone(), alone);
            let holder = node.set_upstream(now, "desk-2", options());
            node.observe(now, "desk-2", 1, None, now);
            (0..100).for_each(|it| node.tick(now + STEP * it));
            holder.allowance()
        };
        let sum: u32 = names.iter().map(allowance).sum();
        expect_that!(sum, eq(expected), "listed for {listed_for} s");
    }
}

/// A reserve has no lease. It must count as committed until the node reports a lower one, even if the
/// node doesn't report any more, hasn't acknowledged the grant or has switched to another owner.
#[gtest]
fn reserves_count_until_the_node_lowers_them() {
    for released in [false, true] {
        let now = Duration::from_secs(1);
        let mut owner = Owner::new(UPSTREAM.to_owned(), 1, options(), now);
        let node = "a".to_owned();
        owner.step(now, Input::Listed(vec![node.clone()]));
        let holdings = message::Holdings {
            upstream: UPSTREAM.to_owned(),
            join: 1,
            session: Some(1),
            report: 1,
            ack: 0,
            reset: 0,
            in_use: 0,
            allowance: 0,
            reserve: 0,
            waiting: 0,
            sent: now,
            started: None,
        };
        owner.step(now, Input::Holdings(node.clone(), holdings));
        owner.step(now, Input::Observed { incarnation: 1, load: None, asked: now });
        let all = (0..9).map(|it| format!("node-{it}")).chain([node.clone()]);
        owner.step(now, Input::Listed(all.collect()));
        if released {
            let upstream = UPSTREAM.to_owned();
            let release = message::Release { upstream, join: 1, in_use: 0, reserve: 3 };
            owner.step(now, Input::Release(node.clone(), release));
        }
        expect_that!(owner.committed(), ge(options().reserved()), "released: {released}");
        owner.step(now + Duration::from_secs(9), Input::Tick);
        expect_that!(owner.committed(), ge(options().reserved()), "released: {released}");
    }
}

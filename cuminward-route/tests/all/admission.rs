//! Tests of admission over many nodes, with faults between them.

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

/// Time of one step.
const STEP: Duration = Duration::from_millis(20);

const LIMITS: Limits = Limits { slots: 48, cold_slots: 6, warm_up: Duration::from_secs(10) };

/// One node with the work that it runs.
struct Member {
    name: id::Node,
    node: Controller,
    running: Vec<(Duration, Slot)>,
    /// Start of the upstream that the node has connections to.
    connected: id::Incarnation,
    side: u32,
    demand: u32,
    leaving: bool,
}

/// A failure domain with one upstream.
struct Domain {
    random: Pcg64,
    now: Duration,
    members: Vec<Member>,
    messages: Vec<(Duration, id::Node, message::Batch)>,
    observations: Vec<(Duration, id::Node, id::Incarnation, Duration)>,
    incarnation: id::Incarnation,
    started: Duration,
    loss: f64,
    named: usize,
    most: u32,
    served: u64,
}

/// What happens in a domain.
#[derive(Debug, Clone)]
enum Event {
    Run(u32),
    Split(u64),
    Heal,
    Flap(u64),
    Restart,
    Demand(u64),
    Replace(usize),
    Loss(bool),
    Join(u64),
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
            most: 0,
            served: 0,
        };
        domain.relist();
        domain
    }

    fn bearable(&self) -> u32 {
        let age = self.now - self.started;
        if age >= LIMITS.warm_up {
            return LIMITS.slots;
        }
        let rise = f64::from(LIMITS.slots - LIMITS.cold_slots);
        LIMITS.cold_slots + (rise * age.as_secs_f64() / LIMITS.warm_up.as_secs_f64()) as u32
    }

    fn running(&self) -> u32 {
        self.members.iter().map(|it| it.running.len() as u32).sum()
    }

    /// Tells every node who is listed and who answers it.
    fn relist(&mut self) {
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

    fn split(&mut self, seed: u64) {
        let mut random = Pcg64::seed_from_u64(seed);
        let sides = if seed == 0 { 1 } else { 3 };
        for member in &mut self.members {
            member.side = random.random_range(0..sides);
        }
        self.spread(&mut random);
    }

    /// The nodes notice a change one after the other.
    fn spread(&mut self, random: &mut Pcg64) {
        let listed: Vec<id::Node> = self.members.iter().map(|it| it.name.clone()).collect();
        let stay = self.members.iter().filter(|it| !it.leaving);
        let sides: Vec<(id::Node, u32)> = stay.map(|it| (it.name.clone(), it.side)).collect();
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

    /// A new node is listed.
    fn join(&mut self, seed: u64) {
        let side = self.members.first().map_or(0, |it| it.side);
        let mut new = Member { side, demand: 20, ..member(self.named, 1) };
        self.named += 1;
        new.node.set_upstream(self.now, UPSTREAM, options());
        self.members.push(new);
        self.spread(&mut Pcg64::seed_from_u64(seed));
    }

    /// A node shuts down: it owns nothing more, finishes its requests and leaves the list.
    fn leave(&mut self, index: usize, seed: u64) {
        if self.members.len() == 1 {
            return;
        }
        let index = index % self.members.len();
        self.members[index].leaving = true;
        self.spread(&mut Pcg64::seed_from_u64(seed));
    }

    /// Nodes lose each other for a moment, shorter than messages may take.
    fn flap(&mut self, seed: u64) {
        for seed in [seed, 0, seed.rotate_left(7), 0] {
            self.split(seed);
            (0..4).for_each(|_| self.step());
        }
    }

    /// The upstream starts anew without warning; what it ran is lost.
    fn restart(&mut self) {
        self.incarnation += 1;
        self.started = self.now;
        self.members.iter_mut().for_each(|it| it.running.clear());
    }

    fn demand(&mut self, seed: u64) {
        let mut random = Pcg64::seed_from_u64(seed);
        for member in &mut self.members {
            member.demand = if random.random_bool(0.5) { 0 } else { random.random_range(0..40) };
        }
    }

    /// A node dies and starts anew with the same name.
    fn replace(&mut self, index: usize) {
        let index = index % self.members.len();
        let epoch = 2 + self.now.as_millis() as u32;
        let (side, demand) = (self.members[index].side, self.members[index].demand);
        let name = self.members[index].name.clone();
        let node = Controller::new(name.clone(), epoch);
        self.members[index] = Member { name, node, side, demand, ..member(index, epoch) };
        self.relist();
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for index in 0..self.members.len() {
            self.work(index);
            self.members[index].node.tick(self.now);
            self.post(index);
        }
        let ended = |it: &Member| it.leaving && it.running.is_empty();
        if self.members.iter().any(|it| !ended(it)) {
            self.members.retain(|it| !ended(it));
        }
        let running = self.running();
        self.most = self.most.max(running);
        assert!(
            running <= self.bearable(),
            "{running} run at {:?}, {} are bearable",
            self.now,
            self.bearable()
        );
    }

    /// Ends and begins requests at a node.
    fn work(&mut self, index: usize) {
        let now = self.now;
        let member = &mut self.members[index];
        member.running.retain(|it| it.0 > now);
        let holder = member.node.holder(UPSTREAM).expect("every node knows it").clone();
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

    fn post(&mut self, index: usize) {
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
            let cut = other.side != self.members[index].side;
            for _ in 0..1 + u32::from(self.random.random_bool(0.05)) {
                let lost = self.random.random_bool(self.loss);
                let due = self.now + self.delay();
                if !lost && !cut {
                    self.messages.push((due, to.clone(), batch.clone()));
                }
            }
        }
    }

    fn delay(&mut self) -> Duration {
        MAX_DELAY.mul_f64(self.random.random_range(0.0..1.0f64).powi(4))
    }

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

/// The faults that may happen: any, at any time. The upstream's own count is the reference.
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

/// A domain of `COUNT` nodes.
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
        assert!(domain.running() <= domain.bearable());
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
    fn never_exceeds_what_the_upstream_bears_at_2_nodes(sequential 5..40 => Run<2>);
}

prop_state_machine! {
    #![proptest_config(config(64))]

    #[test]
    fn never_exceeds_what_the_upstream_bears_at_9_nodes(sequential 5..40 => Run<9>);
}

prop_state_machine! {
    #![proptest_config(config(16))]

    #[test]
    fn never_exceeds_what_the_upstream_bears_at_44_nodes(sequential 5..40 => Run<44>);
}

/// An upstream that fails everything is cold again, though its incarnation is the same.
#[gtest]
fn an_upstream_that_fails_everything_warms_up_anew() {
    let mut domain = Domain::new(2, 3);
    domain.members.iter_mut().for_each(|it| it.demand = 48);
    domain.apply(&Event::Run(1_000));
    let (now, owner) = (domain.now, |it: &&mut Member| it.node.owner(UPSTREAM).is_some());
    let member = domain.members.iter_mut().find(owner).expect("one node owns it");
    member.node.on_upstream_failing(now, UPSTREAM);
    let owner = member.node.owner(UPSTREAM).expect("it still owns it");
    expect_that!(owner.limit(now), eq(LIMITS.cold_slots));
    domain.apply(&Event::Run(300));
    expect_that!(domain.running(), le(6 + 42 * 6 / 10));
}

/// Without faults the nodes together reach the limit, and again after a split has healed.
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
fn a_busy_node_gets_the_slots_that_others_leave() {
    let mut domain = Domain::new(9, 2);
    domain.members.iter_mut().for_each(|it| it.demand = 48);
    domain.apply(&Event::Run(800));
    domain.members.iter_mut().skip(1).for_each(|it| it.demand = 0);
    domain.apply(&Event::Run(500));
    expect_that!(domain.members[0].running.len(), ge(44));
}

/// A longer list never raises a share, so that shares from different lists fit together.
#[gtest]
fn reserves_fit_into_the_total_for_every_mix_of_lists() {
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
        let whole: u32 = listed.iter().map(|it| reserve::share(total, &listed, UPSTREAM, it)).sum();
        expect_that!(whole, eq(total));
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
        let (_, holdings) = holder.report(Duration::ZERO).expect("the first one is due");
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
        expect_that!(slots.len(), eq(2), "the lease of case {number} has lapsed");
    }
}

/// In a split without any message, a new upstream is used within the reserves, by nodes that all
/// others know to be listed.
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

/// A reserve has no lease: it counts until the node says that it is lower, also when the node is
/// silent, hasn't acknowledged it, or turned to another owner.
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

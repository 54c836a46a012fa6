//! Benchmarks of the decisions on the request path.

#![allow(missing_docs, reason = "the macros of criterion create undocumented items")]

use std::{hint::black_box, sync::Arc, time::Duration};

use criterion::{Criterion, criterion_group, criterion_main};
use cuminward_core::{catalog, replica};
use cuminward_route::{
    admission::Holder,
    fair_queue::{Capacity, Entry, Options, Queue},
    prefix,
    route::{self, Exclusions, Query, Registry, Table, policy},
};

/// Replicas of a failure domain of the target size.
const REPLICAS: usize = 42;

/// Blocks of the prompt for which ids are computed.
const BLOCKS: usize = 40;

fn table() -> Table {
    let model = catalog::Model {
        name: "s".into(),
        model: "m".into(),
        versions: vec!["1".into()],
        hosts_per_replica: 4,
        replicas: [("d".to_owned(), REPLICAS as u32)].into(),
        teams: ["t".to_owned()].into(),
        slots: 128,
        cold_slots: 8,
        warm_up: Duration::from_secs(60),
    };
    let domain = catalog::Domain {
        name: "d".into(),
        region: "r".into(),
        service: catalog::Availability::InService,
    };
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
        group: format!("g{index}"),
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

fn choose(criterion: &mut Criterion) {
    let table = table();
    let prompt: Vec<u8> = (0..BLOCKS * prefix::BLOCK_BYTES).map(|it| it as u8).collect();
    let mut ids = Vec::new();
    prefix::compute_ids(&prompt, &mut ids);
    for (index, candidate) in table.candidates().enumerate() {
        candidate.gauge.prefixes().insert_all(&ids[..index % BLOCKS]);
    }
    let query = Query { model: "m", version: None, team: "t", prefixes: &ids, avoid: &[] };
    criterion.bench_function("prefix ids of 2.5 KB", |it| {
        it.iter(|| prefix::compute_ids(black_box(&prompt), &mut ids.clone()));
    });
    let round_robin = policy::RoundRobin::default();
    criterion.bench_function("choose, round robin", |it| {
        it.iter(|| route::choose_with(&round_robin, &table, black_box(&query), &policy::Gauges, 7));
    });
    criterion.bench_function("choose, least loaded", |it| {
        let policy = policy::LeastLoaded;
        it.iter(|| route::choose_with(&policy, &table, black_box(&query), &policy::Gauges, 7));
    });
    criterion.bench_function("choose, affinity", |it| {
        it.iter(|| route::choose(&table, black_box(&query), &policy::Gauges, 7));
    });
}

fn acquire(criterion: &mut Criterion) {
    let holder = Arc::new(Holder::new("u".into(), 8, Duration::from_secs(10), 1));
    criterion.bench_function("acquire and free a slot", |it| {
        it.iter(|| holder.acquire(black_box(Duration::from_secs(1))));
    });
}

fn queue(criterion: &mut Criterion) {
    let mut queue = Queue::new(Options::default());
    let capacity = Capacity { slots: 128, free: 64, weights: 10 };
    let entry = |team: usize| Entry {
        team: format!("team-{team}"),
        weight: 1,
        limit: 10_000,
        priority: 0,
        cost: 1,
        deadline: Duration::MAX,
        item: team,
    };
    for it in 0..500 {
        queue.push(Duration::ZERO, entry(it % 10)).expect("the queue has room");
    }
    criterion.bench_function("push and pop with 500 waiting", |it| {
        it.iter(|| {
            let popped = queue.pop(Duration::from_secs(1), &capacity).expect("a request waits");
            queue.finish(&popped.team);
            queue.push(Duration::from_secs(1), popped).is_ok()
        });
    });
}

criterion_group!(decisions, choose, acquire, queue);
criterion_main!(decisions);

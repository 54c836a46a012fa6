//! Benchmarks of applying changes and of snapshots at the target size.

use std::hint::black_box;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use cuminward_config::{fold::Fold, record, snapshot::Snapshot};
use cuminward_core::{
    catalog::{Availability, Domain, Fencing, Traits},
    change::{self, Action},
};
use serde_json::Value;

/// Number of hosts with declared traits.
const HOSTS: u64 = 1_500;
/// Changes per day.
const CHANGES: u64 = 2_200;

fn change(offset: u64, action: Action) -> Value {
    record::from_change(change::Record {
        change: format!("{offset:036}"),
        operator: "operations".to_owned(),
        expected: None,
        action,
    })
}

fn host(index: u64) -> Action {
    let host = format!("host-{index:04}.domain.region");
    Action::DeclareHost(Traits { host, fencing: Fencing::Enforced, fabric: None })
}

fn changes_of_a_day() -> Vec<Value> {
    let name = "domain-0".to_owned();
    let domain = Domain { name, region: "r".to_owned(), service: Availability::InService };
    let mut actions = vec![Action::DeclareDomain(domain)];
    actions.extend((0..HOSTS).map(host));
    actions.extend((0..CHANGES).map(|_| Action::TakeOut("domain-0".to_owned())));
    (0..).zip(actions).map(|(offset, action)| change(offset, action)).collect()
}

fn replay(records: &[Value]) -> Fold {
    let mut fold = Fold::default();
    for (offset, value) in (0..).zip(records) {
        fold.apply(offset, value);
    }
    fold
}

fn bench_fold(criterion: &mut Criterion) {
    let records = changes_of_a_day();
    let state = replay(&records);
    let next = state.revision();
    let record = change(next, Action::TakeOut("domain-0".to_owned()));
    let snapshot = record::Record::Snapshot(Box::new(Snapshot::new(&state, 0)));
    let value = record::to_value(&snapshot);
    criterion.bench_function("apply one change", |it| {
        it.iter_batched_ref(
            || state.clone(),
            |fold| black_box(fold.apply(next, &record)),
            BatchSize::LargeInput,
        );
    });
    criterion.bench_function("replay 3,701 changes", |it| it.iter(|| black_box(replay(&records))));
    criterion.bench_function("write a snapshot", |it| {
        it.iter(|| black_box(record::to_value(&snapshot).to_string()));
    });
    criterion.bench_function("read a snapshot", |it| {
        it.iter(|| black_box(record::parse_snapshot(&value)));
    });
    criterion.bench_function("clone the catalog", |it| {
        it.iter(|| black_box(state.catalog().clone()));
    });
}

criterion_group!(benches, bench_fold);
criterion_main!(benches);

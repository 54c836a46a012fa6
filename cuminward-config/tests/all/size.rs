//! Checks the sizes of the state and its snapshot against the log's record limit. `cargo test -p
//! cuminward-config size -- --nocapture` prints the sizes.

use cuminward_config::{
    fold::{Fold, Outcome},
    limit, record,
    snapshot::Snapshot,
};
use cuminward_core::{
    catalog::{Fencing, Model, Traits},
    change::{self, Action},
};
use googletest::prelude::*;

use crate::sample;

/// Size limit of a record in the log, in bytes.
const RECORD_BYTES: usize = 1024 * 1024;
/// Changes per day at the target size.
const CHANGES_PER_DAY: u64 = 2_200;

/// Applies generated changes to a state and records the size of the largest one.
struct Writer {
    fold: Fold,
    id_bytes: usize,
    largest_change: usize,
}

impl Writer {
    fn apply(&mut self, action: Action) -> Outcome {
        let offset = self.fold.revision();
        let id = format!("{offset:0>width$}", width = self.id_bytes);
        let operator = "o".repeat(if self.id_bytes > 36 { limit::NAME_BYTES } else { 12 });
        let change = change::Record { change: id, operator, expected: Some(offset / 2), action };
        let value = record::from_change(change);
        self.largest_change = self.largest_change.max(value.to_string().len());
        self.fold.apply(offset, &value)
    }

    fn snapshot_bytes(&self) -> usize {
        let snapshot = record::Record::Snapshot(Box::new(Snapshot::new(&self.fold, u64::MAX)));
        record::to_value(&snapshot).to_string().len()
    }
}

fn host(name: String) -> Action {
    let fabric = Some("whk-a-fabric-3".to_owned());
    Action::DeclareHost(Traits { host: name, fencing: Fencing::Enforced, fabric })
}

#[gtest]
#[expect(clippy::print_stdout, reason = "the sizes are printed for manual inspection")]
fn a_snapshot_at_the_target_size_fits_into_a_record() {
    let mut writer = Writer { fold: Fold::default(), id_bytes: 36, largest_change: 0 };
    let domains: Vec<String> = (0..9).map(|it| format!("domain-{it}")).collect();
    let teams: Vec<String> = (0..100).map(|it| format!("team-{it:03}")).collect();
    let copied = |names: &[String]| names.to_vec();
    domains.iter().for_each(|it| drop(writer.apply(sample::domain(it))));
    for (index, team) in teams.iter().enumerate() {
        let keys = [format!("{index:0>64}"), format!("{:0>64}", index + 1_000)];
        writer.apply(Action::DeclareTeam(sample::team(team, &keys)));
    }
    (0..1_500).for_each(|it| drop(writer.apply(host(format!("host-{it:04}.domain.region")))));
    for index in 0..20usize {
        let mut model: Model = sample::model(&format!("model-{index}"), &[], &[]);
        model.replicas = copied(&domains).into_iter().map(|it| (it, 2)).collect();
        model.teams = teams[index * 5..][..5].iter().cloned().collect();
        expect_that!(
            writer.apply(Action::DeclareModel(model)),
            matches_pattern!(Outcome::Accepted { .. })
        );
    }
    for index in 0..CHANGES_PER_DAY {
        writer.apply(Action::TakeOut(format!("domain-{}", index % 9)));
    }
    let bytes = writer.snapshot_bytes();
    println!("bytes of the largest record before the snapshot: {}", writer.largest_change);
    println!("snapshot at the target: {bytes} bytes");
    expect_that!(bytes, lt(RECORD_BYTES * 3 / 4));
}

#[gtest]
#[expect(clippy::print_stdout, reason = "the sizes are printed for manual inspection")]
fn the_bounds_keep_every_snapshot_within_a_record() {
    let mut writer =
        Writer { fold: Fold::default(), id_bytes: limit::NAME_BYTES, largest_change: 0 };
    let mut refused = 0;
    for index in 0..limit::HOSTS + 500 {
        let name = format!("{index:0>width$}", width = limit::NAME_BYTES);
        refused += usize::from(matches!(writer.apply(host(name)), Outcome::Invalid { .. }));
    }
    for index in 0..limit::WINDOW {
        writer.apply(Action::TakeOut(format!("{index}{}", "\"".repeat(1_000))));
    }
    let offset = writer.fold.revision();
    for index in 0..100 {
        let kept = serde_json::json!({"kind": "policy", "text": "x".repeat(3_000)});
        writer.fold.apply(offset + index, &kept);
    }
    let bytes = writer.snapshot_bytes();
    println!("snapshot at the bounds: {bytes} bytes, {refused} hosts refused");
    expect_that!(refused, gt(0));
    expect_that!(bytes, le(RECORD_BYTES));
}

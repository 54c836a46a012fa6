//! Property tests: nodes reach the same state, however the records are delivered to them.

use std::collections::BTreeMap;

use cuminward_config::{
    fold::{Fold, Outcome},
    follow::{Delta, Follower, Input, Page},
    record,
    snapshot::Snapshot,
    target,
};
use cuminward_core::change::{self, Action};
use proptest::prelude::*;
use serde_json::{Value, json};

use crate::sample;

/// A generated record of the log.
#[derive(Debug, Clone)]
enum Entry {
    Change { id: u8, operator: bool, expected: Option<u64>, action: Action },
    Unknown(u8),
    Malformed,
    Snapshot { lag: usize },
}

/// A generated delivery of records to a node.
#[derive(Debug, Clone)]
enum Delivery {
    Page { max: usize },
    Trim { part: u8 },
    Deltas { from: usize, count: usize, reversed: bool },
    State { at: usize },
}

/// A log, with the state after each of its prefixes and the outcome of each record.
struct Log {
    records: Vec<Value>,
    states: Vec<Fold>,
    outcomes: Vec<Outcome>,
}

fn action() -> impl Strategy<Value = Action> {
    let name = || (0..3u8).prop_map(|it| format!("x{it}"));
    prop_oneof![
        name().prop_map(|it| sample::domain(&it)),
        name().prop_map(|it| Action::DeclareTeam(sample::team(&it, &[]))),
        name().prop_map(Action::RemoveTeam),
        (name(), name(), name()).prop_map(|(name, domain, team)| {
            Action::DeclareModel(sample::model(&name, &[&domain], &[&team]))
        }),
        name().prop_map(Action::RemoveModel),
        (name(), name()).prop_map(|(it, team)| Action::DeclarePlain(sample::plain(&it, &[&team]))),
        name().prop_map(Action::RemovePlain),
        name().prop_map(Action::TakeOut),
        name().prop_map(Action::BringBack),
        name().prop_map(|it| sample::host(&it)),
        name().prop_map(Action::Drain),
        name().prop_map(Action::Undrain),
    ]
}

fn entry() -> impl Strategy<Value = Entry> {
    let expected = proptest::option::of(0..40u64);
    prop_oneof![
        12 => (0..40u8, any::<bool>(), expected, action()).prop_map(
            |(id, operator, expected, action)| Entry::Change { id, operator, expected, action }
        ),
        1 => any::<u8>().prop_map(Entry::Unknown),
        1 => Just(Entry::Malformed),
        2 => (0..4usize).prop_map(|lag| Entry::Snapshot { lag }),
    ]
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        4 => (1..8usize).prop_map(|max| Delivery::Page { max }),
        1 => any::<u8>().prop_map(|part| Delivery::Trim { part }),
        4 => (0..40usize, 1..9usize, any::<bool>())
            .prop_map(|(from, count, reversed)| Delivery::Deltas { from, count, reversed }),
        1 => (0..40usize).prop_map(|at| Delivery::State { at }),
    ]
}

fn log(entries: Vec<Entry>) -> Log {
    let mut log = Log { records: Vec::new(), states: vec![Fold::default()], outcomes: Vec::new() };
    for (offset, entry) in entries.into_iter().enumerate() {
        let value = match entry {
            Entry::Change { id, operator, expected, action } => {
                record::from_change(change::Record {
                    change: format!("c{id}"),
                    operator: if operator { "ana" } else { "luis" }.to_owned(),
                    expected,
                    action,
                })
            }
            Entry::Unknown(it) => json!({"kind": "policy", "value": it}),
            Entry::Malformed => json!({"kind": "change"}),
            Entry::Snapshot { lag } => {
                let state = &log.states[offset.saturating_sub(lag)];
                let snapshot = Snapshot::new(state, offset as u64);
                record::to_value(&record::Record::Snapshot(Box::new(snapshot)))
            }
        };
        let mut state = log.states[offset].clone();
        log.outcomes.push(state.apply(offset as u64, &value));
        log.states.push(state);
        log.records.push(value);
    }
    log
}

/// Returns at most `count` records from offset `from` on, with their offsets.
fn slice(log: &Log, from: usize, count: usize) -> Vec<Delta> {
    let records = log.records.iter().enumerate().skip(from).take(count);
    records.map(|(offset, value)| (offset as u64, value.clone())).collect()
}

fn page(log: &Log, follower: &Follower, oldest: u64, max: usize) -> Input {
    let from = follower.read_from();
    if from < oldest {
        return Input::Trimmed { oldest };
    }
    let next = log.records.len() as u64;
    Input::Page(Page { oldest, next, records: slice(log, from as usize, max) })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..Default::default() })]

    #[test]
    fn any_order_of_delivery_gives_the_same_state(
        entries in prop::collection::vec(entry(), 1..40),
        deliveries in prop::collection::vec(delivery(), 0..30),
    ) {
        let log = log(entries);
        let length = log.records.len();
        let mut follower = Follower::default();
        let mut oldest = 0;
        for delivery in deliveries {
            let input = match delivery {
                Delivery::Page { max } => page(&log, &follower, oldest, max),
                Delivery::Trim { part } => {
                    oldest = oldest.max(length as u64 * u64::from(part) / 256);
                    continue;
                }
                Delivery::Deltas { from, count, reversed } => {
                    let mut deltas = slice(&log, from, count);
                    if reversed { deltas.reverse() }
                    Input::Deltas(deltas)
                }
                Delivery::State { at } => {
                    let state = &log.states[at.min(length)];
                    Input::Snapshot(Box::new(Snapshot::new(state, 0)))
                }
            };
            let revision = follower.revision();
            let had_state = follower.fold().is_some();
            let outcome = follower.step(input);
            prop_assert!(follower.revision() >= revision, "the revision fell");
            prop_assert!(follower.fold().is_some() || !had_state, "the state was lost");
            prop_assert_eq!(outcome.changed, follower.revision() > revision || follower.fold().is_some() != had_state);
            for (offset, outcome) in outcome.folded {
                prop_assert_eq!(&outcome, &log.outcomes[offset as usize]);
            }
            if let Some(fold) = follower.fold() {
                prop_assert_eq!(fold, &log.states[fold.revision() as usize]);
            }
        }
        // A node that continues to read catches up; where the log trimmed records that the node
        // lacks, it catches up from a peer's state.
        for _ in 0..2 * length + 2 {
            follower.step(page(&log, &follower, oldest, 3));
        }
        if follower.needs_snapshot() {
            follower.step(Input::Snapshot(Box::new(Snapshot::new(&log.states[length], 0))));
        }
        prop_assert_eq!(follower.fold(), Some(&log.states[length]));
    }

    #[test]
    fn a_snapshot_in_the_log_restores_the_same_state(
        entries in prop::collection::vec(entry(), 1..40),
        at in 0..40usize,
    ) {
        let log = log(entries);
        let at = at.min(log.records.len());
        let snapshot = Snapshot::new(&log.states[at], 5);
        let value = record::to_value(&record::Record::Snapshot(Box::new(snapshot)));
        let text = value.to_string();
        let read = serde_json::from_str(&text).expect("it was written as JSON");
        let mut state = record::parse_snapshot(&read).expect("the format is known").state;
        prop_assert_eq!(&state, &log.states[at]);
        for (offset, value) in slice(&log, at, usize::MAX) {
            state.apply(offset, &value);
        }
        prop_assert_eq!(&state, &log.states[log.records.len()]);
    }

    #[test]
    fn no_accepted_change_overwrites_one_that_its_operator_had_not_seen(
        entries in prop::collection::vec(entry(), 1..60),
    ) {
        let log = log(entries);
        let mut last: BTreeMap<String, u64> = BTreeMap::new();
        let mut accepted_ids = BTreeMap::new();
        for (offset, (value, outcome)) in log.records.iter().zip(&log.outcomes).enumerate() {
            let Outcome::Accepted { revision } = outcome else { continue };
            let record::Parsed::Known(record::Record::Change(change)) = record::parse(value) else {
                return Err(TestCaseError::fail("only changes are accepted"));
            };
            prop_assert_eq!(*revision, offset as u64 + 1);
            prop_assert!(accepted_ids.insert(change.change.clone(), offset).is_none());
            let target = target::from_action(&change.action);
            let before = last.insert(target, *revision).unwrap_or(0);
            prop_assert!(change.expected.is_none_or(|it| it >= before));
        }
    }
}

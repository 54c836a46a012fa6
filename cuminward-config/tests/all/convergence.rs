//! Nodes that hear the same records in any way reach the same state.

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

/// What the next record of the log is.
#[derive(Debug, Clone)]
enum Next {
    Change { id: u8, operator: bool, expected: Option<u64>, action: Action },
    Unknown(u8),
    Broken,
    Snapshot { lag: usize },
}

/// How a node hears of records.
#[derive(Debug, Clone)]
enum Hearing {
    Page { max: usize },
    Trim { part: u8 },
    Deltas { from: usize, count: usize, reversed: bool },
    State { at: usize },
}

/// A log with the state after each prefix.
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

fn next() -> impl Strategy<Value = Next> {
    let expected = proptest::option::of(0..40u64);
    prop_oneof![
        12 => (0..40u8, any::<bool>(), expected, action()).prop_map(
            |(id, operator, expected, action)| Next::Change { id, operator, expected, action }
        ),
        1 => any::<u8>().prop_map(Next::Unknown),
        1 => Just(Next::Broken),
        2 => (0..4usize).prop_map(|lag| Next::Snapshot { lag }),
    ]
}

fn hearing() -> impl Strategy<Value = Hearing> {
    prop_oneof![
        4 => (1..8usize).prop_map(|max| Hearing::Page { max }),
        1 => any::<u8>().prop_map(|part| Hearing::Trim { part }),
        4 => (0..40usize, 1..9usize, any::<bool>())
            .prop_map(|(from, count, reversed)| Hearing::Deltas { from, count, reversed }),
        1 => (0..40usize).prop_map(|at| Hearing::State { at }),
    ]
}

fn log(nexts: Vec<Next>) -> Log {
    let mut log = Log { records: Vec::new(), states: vec![Fold::default()], outcomes: Vec::new() };
    for (offset, next) in nexts.into_iter().enumerate() {
        let value = match next {
            Next::Change { id, operator, expected, action } => {
                record::from_change(change::Record {
                    change: format!("c{id}"),
                    operator: if operator { "ana" } else { "luis" }.to_owned(),
                    expected,
                    action,
                })
            }
            Next::Unknown(it) => json!({"kind": "policy", "value": it}),
            Next::Broken => json!({"kind": "change"}),
            Next::Snapshot { lag } => {
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

/// Offsets from `from` on with their records.
fn slice(log: &Log, from: usize, count: usize) -> Vec<Delta> {
    let records = log.records.iter().enumerate().skip(from).take(count);
    records.map(|(offset, value)| (offset as u64, value.clone())).collect()
}

fn page(log: &Log, follow: &Follower, oldest: u64, max: usize) -> Input {
    let from = follow.read_from();
    if from < oldest {
        return Input::Trimmed { oldest };
    }
    let next = log.records.len() as u64;
    Input::Page(Page { oldest, next, records: slice(log, from as usize, max) })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..Default::default() })]

    #[test]
    fn any_way_of_hearing_gives_the_same_state(
        nexts in prop::collection::vec(next(), 1..40),
        hearings in prop::collection::vec(hearing(), 0..30),
    ) {
        let log = log(nexts);
        let length = log.records.len();
        let mut follow = Follower::default();
        let mut oldest = 0;
        for hearing in hearings {
            let input = match hearing {
                Hearing::Page { max } => page(&log, &follow, oldest, max),
                Hearing::Trim { part } => {
                    oldest = oldest.max(length as u64 * u64::from(part) / 256);
                    continue;
                }
                Hearing::Deltas { from, count, reversed } => {
                    let mut deltas = slice(&log, from, count);
                    if reversed { deltas.reverse() }
                    Input::Deltas(deltas)
                }
                Hearing::State { at } => {
                    let state = &log.states[at.min(length)];
                    Input::Snapshot(Box::new(Snapshot::new(state, 0)))
                }
            };
            let revision = follow.revision();
            let had_state = follow.fold().is_some();
            let outcome = follow.step(input);
            prop_assert!(follow.revision() >= revision, "the revision fell");
            prop_assert!(follow.fold().is_some() || !had_state, "the state was lost");
            prop_assert_eq!(outcome.changed, follow.revision() > revision || follow.fold().is_some() != had_state);
            for (offset, outcome) in outcome.folded {
                prop_assert_eq!(&outcome, &log.outcomes[offset as usize]);
            }
            if let Some(fold) = follow.fold() {
                prop_assert_eq!(fold, &log.states[fold.revision() as usize]);
            }
        }
        // A node that goes on reading catches up, by a peer's state where the log forgot too much.
        for _ in 0..2 * length + 2 {
            follow.step(page(&log, &follow, oldest, 3));
        }
        if follow.needs_snapshot() {
            follow.step(Input::Snapshot(Box::new(Snapshot::new(&log.states[length], 0))));
        }
        prop_assert_eq!(follow.fold(), Some(&log.states[length]));
    }

    #[test]
    fn a_snapshot_in_the_log_restores_the_same_state(
        nexts in prop::collection::vec(next(), 1..40),
        at in 0..40usize,
    ) {
        let log = log(nexts);
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
    fn no_accepted_change_overwrites_one_that_its_operator_did_not_know(
        nexts in prop::collection::vec(next(), 1..60),
    ) {
        let log = log(nexts);
        let mut last: BTreeMap<String, u64> = BTreeMap::new();
        let mut accepted_ids = BTreeMap::new();
        for (offset, (value, outcome)) in log.records.iter().zip(&log.outcomes).enumerate() {
            let Outcome::Accepted { revision } = outcome else { continue };
            let record::Parsed::Known(record::Record::Change(change)) = record::parse(value) else {
                return Err(TestCaseError::fail("only changes are accepted"));
            };
            prop_assert_eq!(*revision, offset as u64 + 1);
            prop_assert!(accepted_ids.insert(change.change.clone(), offset).is_none());
            let target = target::of(&change.action);
            let before = last.insert(target, *revision).unwrap_or(0);
            prop_assert!(change.expected.is_none_or(|it| it >= before));
        }
    }
}

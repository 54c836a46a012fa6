//! Tests of accepting, refusing and skipping records.

use cuminward_config::{
    fold::{Fold, Outcome, Skip},
    limit,
};
use cuminward_core::{
    catalog::{Model, Plain, Team},
    change::{Action, Record as Change},
};
use googletest::prelude::*;
use serde_json::json;

use crate::sample;

fn accepted(revision: u64) -> Outcome {
    Outcome::Accepted { revision }
}

#[gtest]
fn actions_are_checked_against_the_catalog() {
    struct Case {
        action: Action,
        wrong: Option<&'static str>,
    }
    let good = |action| Case { action, wrong: None };
    let bad = |action, wrong| Case { action, wrong: Some(wrong) };
    let model = || sample::model("n", &["d"], &["u"]);
    let declare = |change: fn(&mut Model)| {
        let mut model = model();
        change(&mut model);
        Action::DeclareModel(model)
    };
    let plain = |change: fn(&mut Plain)| {
        let mut plain = sample::plain("q", &["t"]);
        change(&mut plain);
        Action::DeclarePlain(plain)
    };
    let team = |change: fn(&mut Team)| {
        let mut team = sample::team("v", &[]);
        change(&mut team);
        Action::DeclareTeam(team)
    };
    let named = |it: &str| it.to_owned();
    let cases = [
        good(declare(|_| ())),
        good(declare(|it| it.name = "m".to_owned())),
        bad(declare(|it| it.name = "p".to_owned()), "plain service"),
        bad(declare(|it| it.name = "a/b".to_owned()), "letters"),
        bad(declare(|it| it.name = "x".repeat(65)), "bytes of service"),
        bad(declare(|it| it.model = String::new()), "bytes of model"),
        bad(declare(|it| it.versions.clear()), "versions"),
        bad(declare(|it| it.versions = vec!["v".to_owned(), "v".to_owned()]), "twice"),
        bad(declare(|it| it.versions = vec!["a\nb".to_owned()]), "control"),
        bad(declare(|it| it.hosts_per_replica = 0), "hosts_per_replica"),
        bad(declare(|it| it.hosts_per_replica = 65), "hosts_per_replica"),
        bad(declare(|it| it.replicas.clear()), "replicas"),
        bad(
            declare(|it| {
                it.replicas.insert("d".to_owned(), 0);
            }),
            "replicas",
        ),
        bad(
            declare(|it| {
                it.replicas.insert("e".to_owned(), 1);
            }),
            "domain `e`",
        ),
        bad(
            declare(|it| {
                it.teams.insert("w".to_owned());
            }),
            "team `w`",
        ),
        bad(declare(|it| it.cold_slots = 9), "cold_slots"),
        bad(declare(|it| it.cold_slots = 0), "cold_slots"),
        bad(declare(|it| it.slots = 0), "slots"),
        bad(declare(|it| it.warm_up = limit::WARM_UP * 2), "warm_up_ms"),
        bad(
            declare(|it| {
                it.model = "m-7b".to_owned();
                it.teams.insert("t".to_owned());
            }),
            "serves model",
        ),
        good(declare(|it| it.model = "m-7b".to_owned())),
        good(plain(|_| ())),
        bad(plain(|it| it.name = "m".to_owned()), "model service"),
        bad(plain(|it| it.timeout = Default::default()), "timeout_ms"),
        bad(plain(|it| it.timeout = limit::TIMEOUT * 2), "timeout_ms"),
        good(team(|_| ())),
        bad(team(|it| it.weight = 0), "weight"),
        bad(team(|it| it.in_flight = 0), "in_flight"),
        bad(
            team(|it| {
                it.keys.insert("0".repeat(64));
            }),
            "team `t`",
        ),
        bad(
            team(|it| {
                it.keys.insert("F".repeat(64));
            }),
            "BLAKE3",
        ),
        bad(Action::RemoveTeam(named("t")), "still serves"),
        good(Action::RemoveTeam(named("u"))),
        bad(Action::RemoveModel(named("p")), "isn't declared"),
        bad(Action::RemovePlain(named("m")), "isn't declared"),
        bad(Action::TakeOut(named("e")), "isn't declared"),
        good(Action::BringBack(named("d"))),
        good(Action::Drain(named("h"))),
        bad(Action::Undrain(named("h")), "neither"),
    ];
    let state = sample::state();
    for Case { action, wrong } in cases {
        let mut fold = state.clone();
        let label = format!("{action:?}");
        let outcome = fold.apply(5, &sample::change("c", None, action));
        match wrong {
            None => expect_that!(outcome, eq(&accepted(6)), "{label}"),
            Some(part) => {
                let reason = contains_substring(part);
                expect_that!(
                    outcome,
                    matches_pattern!(Outcome::Invalid { reason: reason }),
                    "{label}"
                );
                expect_that!(fold.catalog().models, eq(&state.catalog().models));
            }
        }
        expect_that!(fold.revision(), eq(6));
    }
}

#[gtest]
fn the_first_of_two_racing_changes_wins_and_the_other_gets_a_conflict() {
    let mut fold = sample::state();
    let take_out = Action::TakeOut("d".to_owned());
    let bring_back = Action::BringBack("d".to_owned());
    let winner = sample::change("w", Some(5), take_out);
    let loser = sample::change("l", Some(5), bring_back.clone());
    expect_that!(fold.apply(5, &winner), eq(&accepted(6)));
    let lost = fold.apply(6, &loser);
    let modification = fold.last("domain/d").cloned().expect("the target was modified");
    expect_that!(lost, eq(&Outcome::Conflict { with: modification.clone() }));
    expect_that!((modification.change.as_str(), modification.operator.as_str()), eq(("w", "ana")));
    // A record that is sent again has the outcome of the first one, whatever was applied in
    // between.
    let again = fold.apply(7, &loser);
    expect_that!(again, eq(&Outcome::Repeated { revision: 7, first: Box::new(lost) }));
    expect_that!(fold.apply(8, &loser), eq(&again));
    let aware = sample::change("a", Some(6), bring_back.clone());
    expect_that!(fold.apply(9, &aware), eq(&accepted(10)));
    let early = sample::change("e", Some(90), bring_back);
    expect_that!(fold.apply(10, &early), matches_pattern!(Outcome::Invalid { .. }));
}

#[gtest]
fn only_final_outcomes_are_returned_before_the_append() {
    struct Case {
        id: &'static str,
        expected: Option<u64>,
        action: Action,
        outcome: Option<Outcome>,
    }
    let mut fold = sample::state();
    let drain = Action::Drain("h".to_owned());
    fold.apply(5, &sample::change("done", None, drain.clone()));
    let with = fold.last("host/h").cloned().expect("the target was modified");
    let first = Box::new(accepted(6));
    let cases = [
        Case {
            id: "done",
            expected: None,
            action: drain.clone(),
            outcome: Some(Outcome::Repeated { revision: 6, first }),
        },
        Case {
            id: "late",
            expected: Some(5),
            action: drain.clone(),
            outcome: Some(Outcome::Conflict { with }),
        },
        Case {
            id: "a b",
            expected: None,
            action: drain.clone(),
            outcome: Some(Outcome::Invalid {
                reason: "change id `a b` may hold letters, digits, `-`, `_` and `.` only"
                    .to_owned(),
            }),
        },
        // Records that this node hasn't read yet may declare the domain or reach the expected
        // revision.
        Case { id: "x", expected: None, action: Action::TakeOut("e".to_owned()), outcome: None },
        Case { id: "y", expected: Some(99), action: drain, outcome: None },
    ];
    for Case { id, expected, action, outcome } in cases {
        let change = Change { change: id.to_owned(), operator: "ana".to_owned(), expected, action };
        expect_that!(fold.final_outcome(&change), eq(&outcome), "{id}");
    }
}

#[gtest]
fn a_change_id_identifies_one_change() {
    let mut fold = sample::state();
    let drain = |host: &str| sample::change("c", None, Action::Drain(host.to_owned()));
    expect_that!(fold.apply(5, &drain("h")), eq(&accepted(6)));
    let reason = contains_substring("another change");
    expect_that!(fold.apply(6, &drain("i")), matches_pattern!(Outcome::Invalid { reason: reason }));
    expect_that!(fold.catalog().drained.len(), eq(1));
    let resolved = |host: &str, id: &str| {
        fold.recorded_outcome(&Change {
            change: id.to_owned(),
            operator: "ana".to_owned(),
            expected: None,
            action: Action::Drain(host.to_owned()),
        })
    };
    expect_that!(resolved("h", "c"), some(eq(&accepted(6))));
    expect_that!(resolved("i", "c"), some(matches_pattern!(Outcome::Invalid { .. })));
    expect_that!(resolved("h", "d"), none());
}

#[gtest]
fn ids_are_kept_for_the_deduplication_window() {
    let mut fold = sample::state();
    let drain = |index: usize| {
        sample::change(&format!("c{index}"), None, Action::Drain(format!("h{}", index % 9)))
    };
    for index in 0..=limit::WINDOW {
        fold.apply(fold.revision(), &drain(index));
    }
    let repeated = fold.apply(fold.revision(), &drain(1));
    expect_that!(repeated, matches_pattern!(Outcome::Repeated { revision: eq(&7), .. }));
    expect_that!(
        fold.apply(fold.revision(), &drain(0)),
        matches_pattern!(Outcome::Accepted { .. })
    );
}

#[gtest]
fn other_records_are_skipped_and_unknown_ones_kept() {
    let mut fold = Fold::default();
    let foreign = json!({"kind": "policy", "weights": [1, 2]});
    let newer = json!({"kind": "change", "change": "c", "action": {"action": "paint", "value": 1}});
    let broken = json!({"kind": "change", "change": "c"});
    let snapshot = json!({"kind": "snapshot", "format": 9, "at": 0});
    let skipped = |reason| Outcome::Skipped { reason };
    expect_that!(fold.apply(1, &foreign), eq(&skipped(Skip::Gap)));
    expect_that!(fold.apply(0, &foreign), eq(&skipped(Skip::Unknown)));
    expect_that!(fold.apply(0, &foreign), eq(&skipped(Skip::Folded)));
    expect_that!(fold.apply(1, &newer), eq(&skipped(Skip::Unknown)));
    expect_that!(fold.apply(2, &broken), matches_pattern!(Outcome::Invalid { .. }));
    expect_that!(fold.apply(3, &snapshot), eq(&skipped(Skip::Snapshot)));
    expect_that!(fold.apply(4, &json!(null)), eq(&skipped(Skip::Unknown)));
    let kept: Vec<_> = fold.unknown().cloned().collect();
    expect_that!(kept, eq(&vec![(0, foreign), (1, newer), (4, json!(null))]));
    expect_that!(fold.revision(), eq(5));
}

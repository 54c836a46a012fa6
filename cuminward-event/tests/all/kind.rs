//! Tests of `kind`.

use std::collections::BTreeSet;

use cuminward_event::kind::{self, Kind};
use googletest::prelude::*;

#[gtest]
fn numbers_and_names_are_unique_and_ordered() {
    let numbers: Vec<_> = kind::ENTRIES.iter().map(|it| it.number).collect();
    expect_that!(numbers.is_sorted_by(|a, b| a < b), eq(true));
    let names: BTreeSet<_> = kind::ENTRIES.iter().map(|it| it.name).collect();
    expect_that!(names.len(), eq(kind::ENTRIES.len()));
}

#[gtest]
fn events_are_formatted_on_one_line() {
    struct Case {
        kind: Kind,
        line: &'static str,
    }
    let cases = [
        Case {
            kind: Kind::NodeDraining { in_flight: 3 },
            line: "[E1003] node-draining in_flight=3",
        },
        Case {
            kind: Kind::LogUnavailable {
                stream: String::from("keys"),
                message: String::from("a\nb \"c\""),
            },
            line: r#"[E1201] log-away stream=keys message="a\nb \"c\"""#,
        },
        Case {
            kind: Kind::SettingsLoaded { file: String::new() },
            line: r#"[E1005] settings-loaded file="""#,
        },
    ];
    for case in cases {
        expect_that!(case.kind.to_string(), eq(case.line));
    }
}

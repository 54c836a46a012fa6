//! The builds that log lines name.

use clap::Parser;
use cuminward_ctl::{cli::Cli, command};
use cuminward_event::{kind::Kind, record::Record};
use googletest::prelude::*;

/// Returns the log line of an event, `second` seconds after a fixed time.
fn line(second: u64, node: &str, kind: Kind) -> String {
    let stamp = (1_700_000_000_000 + second * 1000) << 16;
    let record = Record { seq: second, stamp, node: node.to_owned(), request: None, kind };
    format!("prefix {}\n", serde_json::to_string(&record).expect("records are serializable"))
}

fn started(second: u64, node: &str, version: &str) -> String {
    line(second, node, Kind::NodeStarted { version: version.to_owned(), incarnation: 7 })
}

fn heard(second: u64, node: &str, from: &str, build: &str) -> String {
    let (from, build) = (from.to_owned(), build.to_owned());
    line(second, node, Kind::BuildHeard { from, build, features: String::from("1,2") })
}

/// Guards against operators who can't see which builds run beside each other.
#[gtest]
#[tokio::test]
async fn the_newest_build_of_each_node_and_who_has_heard_of_it_are_shown() -> Result<()> {
    struct Case {
        name: &'static str,
        lines: Vec<String>,
        expected: serde_json::Value,
    }
    let row = |node, build, second: u64, heard_by: &[&str]| {
        let since_ms = 1_700_000_000_000 + second * 1000;
        serde_json::json!({ "node": node, "build": build, "since_ms": since_ms, "heard_by": heard_by })
    };
    let cases = [
        Case { name: "no line", lines: Vec::new(), expected: serde_json::json!([]) },
        Case {
            name: "one build",
            lines: vec![
                started(1, "a", "1"),
                heard(3, "c", "a", "1"),
                heard(2, "b", "a", "1"),
                String::from("no record\n"),
            ],
            expected: serde_json::json!([row("a", "1", 1, &["b", "c"])]),
        },
        Case {
            name: "roll-out, read in any order",
            lines: vec![
                heard(9, "b", "a", "2"),
                started(8, "a", "2"),
                started(1, "a", "1"),
                heard(2, "b", "a", "1"),
                heard(2, "c", "a", "1"),
            ],
            expected: serde_json::json!([row("a", "2", 8, &["b"])]),
        },
        Case {
            name: "without the lines of the node",
            lines: vec![heard(2, "b", "a", "1"), heard(3, "a", "b", "2")],
            expected: serde_json::json!([row("a", "1", 2, &["b"]), row("b", "2", 3, &["a"])]),
        },
    ];
    for Case { name, lines, expected } in cases {
        let cli = Cli::try_parse_from(["cuminctl", "builds", "--output", "json"]).or_fail()?;
        let mut out = Vec::new();
        command::run(cli, &mut lines.concat().as_bytes(), &mut out).await.or_fail()?;
        let rows: serde_json::Value = serde_json::from_slice(&out).or_fail()?;
        expect_that!(rows, eq(&expected), "{name}");
    }
    Ok(())
}

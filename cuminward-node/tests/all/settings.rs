//! Tests which settings files are accepted, and which errors are reported for the others.

use std::time::Duration;

use cuminward_node::settings::load;
use googletest::prelude::*;

/// A valid file; the cases replace one of its lines.
const VALID: &str = "\
node:
  name: mercado-1
  domain: mercado
listen:
  callers: 127.0.0.1:8180
  operators: 127.0.0.1:8181
  peers: 127.0.0.1:8182
platform:
  log: 127.0.0.1:7101
  hosts: 127.0.0.1:7102
  weights: 127.0.0.1:7103
secret:
  file: Cargo.toml
timing:
  probe_ms: 300
";

struct Case {
    name: &'static str,
    line: usize,
    replacement: &'static str,
    expected: &'static str,
}

const CASES: [Case; 14] = [
    Case { name: "empty name", line: 2, replacement: "  name: ''", expected: "letters" },
    Case { name: "bad name", line: 2, replacement: "  name: a b", expected: "letters" },
    Case { name: "unknown key", line: 3, replacement: "  domian: m", expected: "domian" },
    Case { name: "host name", line: 5, replacement: "  callers: localhost:1", expected: "IP" },
    Case { name: "no port", line: 5, replacement: "  callers: 127.0.0.1", expected: "IP" },
    Case { name: "wrong port", line: 6, replacement: "  operators: 1.2.3.4:99999", expected: "IP" },
    Case {
        name: "same address",
        line: 6,
        replacement: "  operators: 127.0.0.1:8180",
        expected: "other than `callers`",
    },
    Case {
        name: "peers' address twice",
        line: 7,
        replacement: "  peers: 127.0.0.1:8180",
        expected: "of its own",
    },
    Case { name: "wrong type", line: 9, replacement: "  log: [1, 2]", expected: "string" },
    Case {
        name: "no secret",
        line: 13,
        replacement: "  file: /no/such",
        expected: "readable file",
    },
    Case {
        name: "no variable",
        line: 13,
        replacement: "  env: CUMINWARD_TEST_NOT_SET",
        expected: "CUMINWARD_TEST_NOT_SET",
    },
    Case { name: "too small", line: 15, replacement: "  probe_ms: 1", expected: "10 to" },
    Case { name: "negative", line: 15, replacement: "  probe_ms: -5", expected: "-5" },
    Case {
        name: "freshness under twice the probe",
        line: 15,
        replacement: "  freshness_ms: 400",
        expected: "twice",
    },
];

#[gtest]
fn accepts_a_valid_file() -> Result<()> {
    let settings = load::parse(VALID, "node.yaml").or_fail()?;
    verify_that!(settings.node, eq("mercado-1"))?;
    verify_that!(settings.platform.log, eq("127.0.0.1:7101"))?;
    verify_that!(format!("{settings:?}"), not(contains_substring("[package]")))
}

#[gtest]
fn reports_line_and_expected_value_of_each_fault() -> Result<()> {
    for case in &CASES {
        let text = replace_line(case.line, case.replacement);
        let report = render(&text).unwrap_or_default();
        let place = format!("node.yaml:{}:", case.line);
        verify_that!(report, contains_substring(case.expected))
            .with_failure_message(|| format!("case {}", case.name))?;
        verify_that!(report, contains_substring(place))
            .with_failure_message(|| format!("case {}", case.name))?;
    }
    Ok(())
}

#[gtest]
fn checks_the_retention_of_the_log() -> Result<()> {
    let with = |it: &str| VALID.replace("secret:", &format!("  retention_ms: {it}\nsecret:"));
    let settings = load::parse(&with("7200000"), "node.yaml").or_fail()?;
    verify_that!(settings.platform.retention, eq(Duration::from_secs(7_200)))?;
    verify_that!(render(&with("60000")), some(contains_substring("3600000 to")))
}

#[gtest]
fn reports_all_faults_at_once() -> Result<()> {
    let text = replace_line(2, "  name: ''").replace("127.0.0.1:7101", "nowhere");
    let report = render(&text).unwrap_or_default();
    verify_that!(report, contains_substring("2 faults"))?;
    verify_that!(report, contains_substring("letters"))?;
    verify_that!(report, contains_substring("IP address"))
}

fn replace_line(number: usize, replacement: &str) -> String {
    let lines = VALID.lines().enumerate();
    let replaced = lines.map(|(index, line)| if index + 1 == number { replacement } else { line });
    replaced.collect::<Vec<_>>().join("\n") + "\n"
}

fn render(text: &str) -> Option<String> {
    let report = load::parse(text, "node.yaml").err()?;
    let theme = miette::GraphicalTheme::unicode_nocolor();
    let handler = miette::GraphicalReportHandler::new_themed(theme).with_width(200);
    let mut rendered = String::new();
    handler.render_report(&mut rendered, report.as_ref()).ok()?;
    Some(rendered)
}

//! Runs commands against a fake node and checks their output and exit codes.

use std::{
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use clap::Parser;
use cuminward_ctl::{cli::Cli, command, error};
use googletest::prelude::*;

use crate::fake::{self, Fault, Log, Node};

/// Number of commands run so far. Each command gets its own token file, because tests run in parallel.
static RUN_COUNT: AtomicU32 = AtomicU32::new(0);

/// Runs a command with the token in a file. Returns its output, or its exit code if it fails.
async fn run(nodes: &[&Node], line: &str, input: &str) -> std::result::Result<String, u8> {
    let run = RUN_COUNT.fetch_add(1, Ordering::Relaxed);
    let token = std::env::temp_dir().join(format!("cuminctl-token-{}-{run}", std::process::id()));
    let mut file = std::fs::File::create(&token).expect("the temporary directory is writable");
    writeln!(file, "w").expect("the file is writable");
    let mut arguments = vec!["cuminctl".to_owned()];
    arguments.extend(line.split_whitespace().map(str::to_owned));
    arguments.extend(["--token-file".to_owned(), token.display().to_string()]);
    for node in nodes {
        arguments.extend(["--endpoint".to_owned(), format!("http://{}", node.address)]);
    }
    let cli = Cli::try_parse_from(arguments).map_err(|it| it.exit_code() as u8)?;
    let mut out = Vec::new();
    let done = command::run(cli, &mut input.as_bytes(), &mut out).await;
    done.map_err(|it| it.exit_code())?;
    Ok(String::from_utf8(out).expect("the output is text"))
}

#[gtest]
#[tokio::test]
async fn commands_print_results_or_fail_with_their_exit_code() {
    struct Case {
        line: &'static str,
        input: &'static str,
        expected: std::result::Result<&'static str, u8>,
    }
    let case = |line, expected| Case { line, input: "", expected };
    let cases = [
        case("domain declare mercado --region s --output json", Ok("\"revision\": 1")),
        case("domain declare bodega --region s --taken-out", Ok("domain")),
        case("team declare committees --weight 2 --in-flight 9", Ok("team")),
        case("domain take-out mercado --expected-revision 1", Ok("domain")),
        case("domain bring-back mercado --expected-revision 1", Err(error::CONFLICT)),
        case("domain take-out nowhere", Err(error::INVALID)),
        case("domain take-out", Err(error::USAGE)),
        case("domain list", Ok("mercado   s        false")),
        case(
            "plain declare desk --teams committees --slots 4 --cold-slots 1 --warm-up-ms 10 \
             --timeout-ms 500",
            Ok("plain"),
        ),
        case(
            "model declare patterns --model m --versions v1 --hosts-per-replica 4 --replicas \
             mercado=2,bodega=1 --teams committees --slots 8 --cold-slots 2 --warm-up-ms 10",
            Ok("model"),
        ),
        case("catalog --output yaml", Ok("mercado: 2")),
        case("team remove committees", Err(error::INVALID)),
        case("host drain h1", Ok("host")),
        case("host list --output json", Ok("\"drained\": true")),
        case("status --output json", Ok("\"ready\": true")),
        case("history", Ok("verdict")),
        case("timeline --format trace", Ok("traceEvents")),
        case("groups", Ok("")),
        case("completion bash", Ok("cuminctl")),
        Case { line: "key hash", input: "w\n", expected: Ok("") },
        Case { line: "key hash", input: "\n", expected: Err(error::USAGE) },
        Case {
            line: "apply -f -",
            input: "kind: domain\nname: alcaldia\nregion: s",
            expected: Ok("domain/alcaldia"),
        },
        Case { line: "apply -f -", input: "kind: domain", expected: Err(error::INVALID) },
    ];
    let node = fake::start(&Arc::default(), &[]).await;
    for Case { line, input, expected } in cases {
        let got = run(&[&node], line, input).await;
        match expected {
            Ok(part) => expect_that!(got, ok(contains_substring(part)), "{line}"),
            Err(code) => expect_that!(got, err(eq(&code)), "{line}"),
        }
    }
    // The command that follows events ends when the node shuts down.
    let nodes = [&node];
    let follow = run(&nodes, "events --follow --request q9", "");
    let stop = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        node.shutdown.cancel();
    };
    let (followed, ()) = tokio::join!(follow, stop);
    expect_that!(followed, ok(contains_substring("request=q9")));
    expect_that!(node.task.await, ok(anything()));
}

#[gtest]
#[tokio::test]
async fn exit_codes_distinguish_unapplied_changes_from_unknown_outcomes() {
    struct Case {
        faults: &'static [Fault],
        code: u8,
    }
    let cases = [
        Case { faults: &[Fault::LogUnavailable; 3], code: error::UNAVAILABLE },
        Case {
            faults: &[Fault::LostResponse, Fault::LogUnavailable, Fault::LogUnavailable],
            code: error::UNKNOWN,
        },
    ];
    for Case { faults, code } in cases {
        let shared: Arc<Log> = Arc::default();
        let node = fake::start(&shared, faults).await;
        let line = "domain declare a --region r --change-id c1";
        expect_that!(run(&[&node], line, "").await, err(eq(&code)));
        let again = run(&[&node], line, "").await;
        expect_that!(again, ok(anything()));
        let fold = shared.fold.lock().expect("no test panics with the lock");
        expect_that!(fold.catalog().domains.len(), eq(1));
    }
}

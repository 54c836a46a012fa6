//! Detection of violated guarantees.

use bytes::Bytes;
use cuminward_adapter_fake::cluster::Run;
use cuminward_soak::checker::{Checker, Kind, Reply, Request, TEAM};
use googletest::prelude::*;
use tokio::time::Instant;

const EVENTS: u64 = 3;

struct Case {
    name: &'static str,
    kind: Kind,
    /// Status, body and whether the body is complete; `None` if there was no answer.
    reply: Option<(u16, &'static str, bool)>,
    /// Number of times that the request ran.
    ran: usize,
    /// Number of violations that the checker has to report.
    violations: usize,
}

fn run(sent: &Request) -> Run {
    Run {
        request: sent.id.clone(),
        host: String::from("h"),
        members: Vec::new(),
        request_line: sent.line.clone(),
        body: Bytes::from(sent.body.clone()),
        team: Some(TEAM.to_owned()),
        began: Instant::now(),
    }
}

#[gtest]
fn violations_of_guarantees_are_detected() {
    let two = "id: 1\ndata: r 1\n\nid: 2\ndata: r 2\n\n";
    let gap = "id: 1\ndata: r 1\n\nid: 3\ndata: r 3\n\n";
    let other = "id: 1\ndata: other 1\n\n";
    let whole = "id: 1\ndata: r 1\n\nid: 2\ndata: r 2\n\nid: 3\ndata: r 3\n\n";
    let case = |name, kind, reply, ran, violations| Case { name, kind, reply, ran, violations };
    let cases = [
        case("answered", Kind::Once, Some((200, "answer r", true)), 1, 0),
        case("no answer", Kind::Once, None, 1, 0),
        case("refused", Kind::Once, Some((503, "", true)), 0, 0),
        case("refused and ran", Kind::Once, Some((503, "", true)), 1, 1),
        case("refused, idempotent", Kind::Idempotent, Some((503, "", true)), 1, 0),
        case("ran twice", Kind::Once, Some((200, "answer r", true)), 2, 1),
        case("another answer", Kind::Once, Some((200, "answer q", true)), 1, 1),
        case("cut off", Kind::Once, Some((200, "answ", false)), 1, 0),
        case("cut off and complete", Kind::Once, Some((200, "answ", true)), 1, 1),
        case("denied", Kind::Idempotent, Some((404, "", true)), 0, 1),
        case("whole stream", Kind::Stream, Some((200, whole, true)), 1, 0),
        case("broken stream", Kind::Stream, Some((200, two, false)), 1, 0),
        case("early end", Kind::Stream, Some((200, two, true)), 1, 1),
        case("a gap", Kind::Stream, Some((200, gap, false)), 1, 1),
        case("another's event", Kind::Stream, Some((200, other, false)), 1, 1),
    ];
    for case in cases {
        let checker = Checker::default();
        let sent = Request::new(String::from("r"), case.kind);
        checker.record_request(sent.clone());
        let reply = case.reply.map(|(status, body, is_complete)| Reply {
            status,
            is_stamped: status == 200,
            body: body.to_owned(),
            is_complete,
        });
        checker.record_reply(&sent, reply.as_ref(), EVENTS);
        let runs = vec![run(&sent); case.ran];
        let violations = checker.violations(&runs);
        expect_that!(violations.len(), eq(case.violations), "{}: {violations:?}", case.name);
    }
}

#[gtest]
fn altered_and_unknown_requests_are_detected() {
    let checker = Checker::default();
    let sent = Request::new(String::from("r"), Kind::Once);
    checker.record_request(sent.clone());
    let runs = [
        Run { request_line: String::from("POST /book/other"), ..run(&sent) },
        Run { body: Bytes::from_static(b"other"), ..run(&sent) },
        Run { team: Some(String::from("other")), ..run(&sent) },
        Run { request: String::from("unknown"), ..run(&sent) },
    ];
    for run in runs {
        expect_that!(checker.violations(std::slice::from_ref(&run)), not(is_empty()), "{run:?}");
    }
}

struct RepeatCase {
    name: &'static str,
    /// Status of the response to the second sending; `None` if there was no response.
    status: Option<u16>,
    /// Number of runs that begin before the second sending and after its beginning.
    runs: (usize, usize),
    /// What the violations begin with.
    violations: Vec<&'static str>,
}

#[gtest]
fn refused_requests_that_are_sent_again_run_at_most_once() {
    let case = |name, status, runs, violations| RepeatCase { name, status, runs, violations };
    let cases = [
        case("answered", Some(200), (0, 1), vec![]),
        case("no answer", None, (0, 1), vec![]),
        case("refused again", Some(503), (0, 0), vec![]),
        case("ran for the second refusal", Some(503), (0, 1), vec!["REFUSED"]),
        case("ran before it was sent again", Some(200), (1, 0), vec!["REFUSED"]),
        case("ran for both", Some(200), (1, 1), vec!["TWICE", "REFUSED"]),
        case("ran twice for the second", Some(200), (0, 2), vec!["TWICE"]),
        case("ran twice without an answer", None, (0, 2), vec!["TWICE"]),
    ];
    let reply = |status, body| Reply { status, is_stamped: true, body, is_complete: true };
    for case in cases {
        let checker = Checker::default();
        let sent = Request::new(String::from("r"), Kind::Once);
        checker.record_request(sent.clone());
        checker.record_reply(&sent, Some(&reply(503, String::new())), EVENTS);
        let mut runs = vec![run(&sent); case.runs.0];
        checker.record_request(sent.clone());
        runs.extend(vec![run(&sent); case.runs.1]);
        let second = case.status.map(|it| reply(it, String::from("answer r")));
        checker.record_reply(&sent, second.as_ref(), EVENTS);
        let violations = checker.violations(&runs);
        let names: Vec<&str> = violations.iter().filter_map(|it| it.split(':').next()).collect();
        expect_that!(names, eq(&case.violations), "{}", case.name);
    }
}

use std::time::{Duration, Instant};

use cuminward_core::host;
use cuminward_standin::{
    engine::{self, control::Fault, token},
    environment::{Domain, Environment, Options},
    weights,
};
use googletest::prelude::*;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::http;

/// Starts all stand-ins with one fabric domain of engine hosts: `a-f0-h0`, `a-f0-h1` and so on.
pub(crate) async fn environment(hosts: u32, options: engine::Options) -> Environment {
    let options = Options {
        domains: vec![Domain::new("a", "r", hosts)],
        engine: options,
        weights: weights::Options { default_bytes: 1000, ..weights::Options::default() },
        ..Options::default()
    };
    Environment::start(options).await.expect("free ports can be bound")
}

/// Returns engine settings with short times and no warm-up.
pub(crate) fn fast_options() -> engine::Options {
    engine::Options {
        warm_up: Duration::ZERO,
        decode: Duration::from_millis(2),
        restart_delay: Duration::from_millis(50),
        ..engine::Options::default()
    }
}

fn host_name(index: usize) -> String {
    format!("a-f0-h{index}")
}

fn address(environment: &Environment, index: usize) -> String {
    environment.fleet().entries()[index].address.clone()
}

fn form_order(environment: &Environment, fence: u64, group: &str, members: &[usize]) -> Value {
    let member = |it: &usize| json!({"host": host_name(*it), "address": address(environment, *it)});
    let members: Vec<Value> = members.iter().map(member).collect();
    json!({"fence": fence, "order": "o", "action": "form", "group": group, "generation": 1,
        "service": "s", "model": "m", "version": "v1", "members": members})
}

fn release_order(fence: u64, group: &str) -> Value {
    json!({"fence": fence, "order": "o", "action": "release", "group": group, "generation": 1})
}

async fn order(environment: &Environment, index: usize, order: &Value) -> http::Answer {
    http::post(address(environment, index), "/v1/orders", order).await
}

/// Forms a group of hosts and waits until it is ready.
pub(crate) async fn form_group(environment: &Environment, group: &str, members: &[usize]) {
    for index in members {
        let answer = order(environment, *index, &form_order(environment, 1, group, members)).await;
        assert_eq!(answer.status, 200, "{}", answer.text);
    }
    wait_until(|| phase(environment, members[0]) == Some(host::Phase::Ready)).await;
}

fn phase(environment: &Environment, index: usize) -> Option<host::Phase> {
    environment.fleet().report(&host_name(index))?.membership.map(|it| it.phase)
}

async fn wait_until(condition: impl Fn() -> bool) {
    let deadline = Instant::now() + http::TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "the condition doesn't hold in time");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn generate_body(request: &str, prompt: &str, resume_at: u64) -> Value {
    json!({"request": request, "group": "g", "generation": 1, "version": "v1", "prompt": prompt,
        "max_tokens": 30, "priority": 0, "resume_at": resume_at})
}

fn joined_text(answer: &http::Answer) -> String {
    let chunks = answer.text.lines().filter_map(|it| serde_json::from_str::<Value>(it).ok());
    chunks.filter_map(|it| it["text"].as_str().map(str::to_owned)).collect()
}

/// Sends a request to the first host and waits for the end of the reply.
async fn send_request(environment: &Environment, request: &str, prompt: &str) -> http::Answer {
    http::post(address(environment, 0), "/v1/generate", &generate_body(request, prompt, 0)).await
}

fn is_finished(answer: &http::Answer) -> bool {
    answer.text.contains("\"finish\"")
}

#[gtest]
#[tokio::test]
async fn resumed_reply_has_the_same_tokens() -> Result<()> {
    let environment = environment(4, fast_options()).await;
    let starting = order(&environment, 0, &form_order(&environment, 1, "g", &[0, 1, 2, 3])).await;
    verify_that!(starting.json()["membership"]["phase"], eq(&json!("loading")))?;
    let early =
        http::post(address(&environment, 0), "/v1/generate", &generate_body("r0", "p", 0)).await;
    verify_that!((early.status, early.code()), eq(&(503, "starting".to_owned())))?;
    form_group(&environment, "g", &[0, 1, 2, 3]).await;
    let prompt = "x".repeat(200);
    let whole =
        http::post(address(&environment, 0), "/v1/generate", &generate_body("r1", &prompt, 0))
            .await;
    verify_that!(joined_text(&whole), eq(&token::reply_text("v1", &prompt, 30)))?;
    let rest =
        http::post(address(&environment, 0), "/v1/generate", &generate_body("r2", &prompt, 5))
            .await;
    let head: String = (0..5).map(|it| engine::token_text("v1", &prompt, it)).collect();
    verify_that!(head + &joined_text(&rest), eq(&joined_text(&whole)))?;
    verify_that!(rest.text, contains_substring("\"cached_tokens\":48"))?;
    let counters = environment.fleet().counters();
    verify_that!((counters.completed, counters.partial_answers), eq((2, 0)))
}

#[gtest]
#[tokio::test]
async fn loss_of_a_member_breaks_the_group() -> Result<()> {
    let environment = environment(3, fast_options()).await;
    form_group(&environment, "g", &[0, 1]).await;
    let before = environment.fleet().report(&host_name(1)).or_fail()?;
    let target = address(&environment, 0);
    let running = tokio::spawn(async move {
        http::post(target, "/v1/generate", &generate_body("r1", "prompt", 0)).await
    });
    wait_until(|| environment.fleet().counters().tokens > 0).await;
    environment.fleet().inject(&Fault::Kill { host: host_name(1) }).await;
    verify_that!(is_finished(&running.await.or_fail()?), eq(false))?;
    verify_that!(phase(&environment, 0), some(eq(host::Phase::Broken)))?;
    let refused =
        http::post(address(&environment, 0), "/v1/generate", &generate_body("r2", "p", 0)).await;
    verify_that!((refused.status, refused.code()), eq(&(409, "not-whole".to_owned())))?;
    environment.fleet().inject(&Fault::Restart { host: host_name(1) }).await;
    let after = environment.fleet().report(&host_name(1)).or_fail()?;
    verify_that!(after.incarnation, not(eq(before.incarnation)))?;
    verify_that!((after.fence, after.membership), eq(&(0, None)))?;
    let counters = environment.fleet().counters();
    verify_that!((counters.cut_off, counters.partial_answers), eq((1, 0)))
}

struct Case {
    name: &'static str,
    order: Value,
    status: u16,
    code: &'static str,
}

#[gtest]
#[tokio::test]
async fn orders_are_accepted_or_refused() -> Result<()> {
    let environment = environment(3, fast_options()).await;
    let case = |name, order, status, code| Case { name, order, status, code };
    let fence = json!({"fence": 5, "order": "o", "action": "fence"});
    let cases = [
        case("form", form_order(&environment, 2, "g", &[0, 1]), 200, ""),
        case("form again", form_order(&environment, 2, "g", &[0, 1]), 200, ""),
        case("form another", form_order(&environment, 2, "h", &[0, 1]), 409, "in-group"),
        case("release another", release_order(2, "h"), 409, "other-group"),
        case("fence", fence, 200, ""),
        case("old release", release_order(4, "g"), 409, "stale-fence"),
        case("release", release_order(5, "g"), 200, ""),
        case("release again", release_order(5, "g"), 200, ""),
        case("not a member", form_order(&environment, 5, "h", &[1, 2]), 400, "not-member"),
    ];
    for case in cases {
        let answer = order(&environment, 0, &case.order).await;
        verify_that!((answer.status, answer.code()), eq(&(case.status, case.code.to_owned())))
            .with_failure_message(|| case.name.to_owned())?;
    }
    environment.fleet().inject(&Fault::Fencing { host: host_name(0), enforced: false }).await;
    verify_that!(
        order(&environment, 0, &form_order(&environment, 1, "h", &[0, 1])).await.status,
        eq(200)
    )?;
    verify_that!(environment.fleet().counters().orders_stale_accepted, eq(1))?;
    environment.fleet().inject(&Fault::LoseOrderAnswers { host: host_name(0), count: 1 }).await;
    verify_that!(order(&environment, 0, &release_order(6, "h")).await.status, eq(0))?;
    verify_that!(phase(&environment, 0), none())
}

#[gtest]
#[tokio::test]
async fn overrun_fails_everything_in_flight() -> Result<()> {
    let options = engine::Options { warm_up: Duration::from_secs(600), ..fast_options() };
    let environment = environment(1, options).await;
    form_group(&environment, "g", &[0]).await;
    let calls = (0..3).map(|it| {
        let target = address(&environment, 0);
        async move {
            let body = generate_body(&format!("r{it}"), &format!("p{it}"), 0);
            http::post(target, "/v1/generate", &body).await
        }
    });
    let answers = futures::future::join_all(calls).await;
    verify_that!(answers.iter().filter(|it| is_finished(it)).count(), eq(0))?;
    let counters = environment.fleet().counters();
    verify_that!((counters.cold_most_in_flight, counters.cold_bound_then), eq((3, 2)))?;
    verify_that!(counters.cold_overruns, eq(1))
}

#[gtest]
#[tokio::test]
async fn a_marked_prompt_crashes_the_replica() -> Result<()> {
    let environment = environment(2, fast_options()).await;
    form_group(&environment, "g", &[0, 1]).await;
    let body = generate_body("r", "a !!crash!! b", 0);
    let answer = http::post(address(&environment, 0), "/v1/generate", &body).await;
    verify_that!(is_finished(&answer), eq(false))?;
    wait_until(|| environment.fleet().counters().crashes == 1 && phase(&environment, 0).is_none())
        .await;
    wait_until(|| (0..2).all(|it| environment.fleet().report(&host_name(it)).is_some())).await;
    form_group(&environment, "g", &[0, 1]).await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn paused_replica_produces_nothing_until_cancelled() -> Result<()> {
    let environment = environment(2, fast_options()).await;
    form_group(&environment, "g", &[0, 1]).await;
    environment.fleet().inject(&Fault::Pause { host: host_name(1) }).await;
    let target = address(&environment, 0);
    let stalled = tokio::spawn(async move {
        http::post(target, "/v1/generate", &generate_body("r1", "p", 0)).await
    });
    let paused = address(&environment, 1).parse().or_fail()?;
    let silent = http::get_within(Duration::from_millis(100), paused, "/v1/host").await;
    verify_that!(silent.status, eq(1))?;
    verify_that!(environment.fleet().counters().tokens, eq(0))?;
    let target = address(&environment, 0);
    let cancelled =
        http::call(::http::Method::DELETE, target, "/v1/generate/r1", &[], String::new()).await;
    verify_that!(cancelled.json(), eq(&json!({"cancelled": true})))?;
    verify_that!(is_finished(&stalled.await.or_fail()?), eq(false))?;
    environment.fleet().inject(&Fault::Resume { host: host_name(1) }).await;
    verify_that!(http::get(address(&environment, 1), "/v1/host").await.status, eq(200))
}

#[gtest]
#[tokio::test]
async fn cache_events_have_gaps_and_blocks_are_exported() -> Result<()> {
    let options = engine::Options {
        event_lag: Duration::from_millis(50),
        event_gap_every: 3,
        ..fast_options()
    };
    let environment = environment(1, options).await;
    form_group(&environment, "g", &[0]).await;
    let prompt = "y".repeat(64 * 4);
    http::post(address(&environment, 0), "/v1/generate", &generate_body("r", &prompt, 0)).await;
    tokio::time::sleep(Duration::from_millis(60)).await;
    let events = http::get(address(&environment, 0), "/v1/cache-events?from=0").await.json();
    verify_that!((&events["gap"], &events["next"]), eq((&json!(true), &json!(4))))?;
    let prefix = events["events"][1]["prefix"].as_str().or_fail()?.to_owned();
    let expected = format!("{:016x}", engine::cache::prefixes(&prompt)[1]);
    verify_that!(prefix, eq(&expected))?;
    let export = http::get(address(&environment, 0), &format!("/v1/kv/{prefix}")).await;
    verify_that!(export.status, eq(200))
}

#[gtest]
#[tokio::test]
async fn a_delayed_order_doesnt_reach_the_next_incarnation() -> Result<()> {
    let environment = environment(1, fast_options()).await;
    let delay = Fault::DelayOrders { host: host_name(0), delay_ms: Duration::from_millis(100) };
    environment.fleet().inject(&delay).await;
    let (target, body) = (address(&environment, 0), form_order(&environment, 3, "g", &[0]));
    let ordering = tokio::spawn(async move { http::post(target, "/v1/orders", &body).await });
    tokio::time::sleep(Duration::from_millis(30)).await;
    environment.fleet().inject(&Fault::Restart { host: host_name(0) }).await;
    verify_that!(ordering.await.or_fail()?.status, eq(0))?;
    tokio::time::sleep(Duration::from_millis(120)).await;
    let report = environment.fleet().report(&host_name(0)).or_fail()?;
    verify_that!((report.fence, report.membership), eq(&(0, None)))
}

#[gtest]
#[tokio::test]
async fn a_repeated_form_loads_once() -> Result<()> {
    let environment = environment(1, fast_options()).await;
    for _ in 0..3 {
        order(&environment, 0, &form_order(&environment, 1, "g", &[0])).await;
    }
    form_group(&environment, "g", &[0]).await;
    verify_that!(environment.weights().counters().fetches, eq(1))
}

#[gtest]
#[tokio::test]
async fn only_the_newest_formation_loads_its_weights() -> Result<()> {
    let environment = environment(1, fast_options()).await;
    let size = |version: &str, bytes| weights::Change::Size {
        model: "m".to_owned(),
        version: version.to_owned(),
        bytes,
    };
    environment.weights().handle().change(size("v0", 50_000_000));
    let mut slow = form_order(&environment, 1, "h", &[0]);
    slow["version"] = json!("v0");
    verify_that!(order(&environment, 0, &slow).await.status, eq(200))?;
    verify_that!(order(&environment, 0, &release_order(1, "h")).await.status, eq(200))?;
    form_group(&environment, "g", &[0]).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    verify_that!(phase(&environment, 0), some(eq(host::Phase::Ready)))?;
    verify_that!(environment.weights().counters().active, eq(0))
}

#[gtest]
#[tokio::test]
async fn counts_partial_answers_before_a_loss_is_detected() -> Result<()> {
    let options = engine::Options { loss_notice: Duration::from_secs(2), ..fast_options() };
    let environment = environment(2, options).await;
    form_group(&environment, "g", &[0, 1]).await;
    environment.fleet().inject(&Fault::Kill { host: host_name(1) }).await;
    verify_that!(is_finished(&send_request(&environment, "r1", "p").await), eq(true))?;
    let counters = environment.fleet().counters();
    verify_that!((counters.partial_begun, counters.partial_answers), eq((1, 1)))?;
    wait_until(|| phase(&environment, 0) == Some(host::Phase::Broken)).await;
    verify_that!(send_request(&environment, "r2", "p").await.code(), eq("not-whole"))
}

#[gtest]
#[tokio::test]
async fn larger_priority_is_served_first() -> Result<()> {
    let options =
        engine::Options { slots: 1, queue: 2, decode: Duration::from_millis(10), ..fast_options() };
    let environment = environment(1, options).await;
    form_group(&environment, "g", &[0]).await;
    let ask = |request: &'static str, priority: i64| {
        let (target, mut body) = (address(&environment, 0), generate_body(request, request, 0));
        body["priority"] = json!(priority);
        tokio::spawn(async move {
            let answer = http::post(target, "/v1/generate", &body).await;
            (answer.status, Instant::now())
        })
    };
    let running = ask("running", 0);
    wait_until(|| environment.fleet().counters().tokens > 0).await;
    let low = ask("low", 1);
    wait_until(|| environment.fleet().counters().begun_by_domain["a"] == 2).await;
    let high = ask("high", 2);
    wait_until(|| environment.fleet().counters().begun_by_domain["a"] == 3).await;
    verify_that!(ask("too much", 3).await.or_fail()?.0, eq(429))?;
    let (low, high) = (low.await.or_fail()?, high.await.or_fail()?);
    verify_that!((running.await.or_fail()?.0, low.0, high.0), eq((200, 200, 200)))?;
    verify_that!(high.1, lt(low.1))
}

#[gtest]
#[tokio::test]
async fn counts_seconds_outside_ready_groups_while_slowed() -> Result<()> {
    let environment = environment(3, fast_options()).await;
    let expect = json!({"kind": "expect", "domain": "a", "groups": 2});
    let control = environment.fleet().control_address();
    verify_that!(http::post(control, "/control", &expect).await.status, eq(200))?;
    form_group(&environment, "g", &[0, 1]).await;
    let begun = Instant::now();
    send_request(&environment, "r1", "prompt").await;
    let normal = begun.elapsed();
    let slow = json!({"kind": "slow", "host": host_name(1), "factor": 5.0});
    verify_that!(http::post(control, "/control", &slow).await.status, eq(200))?;
    let before = environment.fleet().counters();
    let begun = Instant::now();
    send_request(&environment, "r2", "prompt").await;
    let slowed = begun.elapsed();
    verify_that!(slowed, gt(normal * 2))?;
    let after = http::get(control, "/control/counters").await.json();
    let stranded = after["stranded_seconds"]["a"].as_f64().or_fail()?;
    let missing = after["group_down_seconds"]["a"].as_f64().or_fail()?;
    let passed = slowed.as_secs_f64();
    verify_that!(stranded - before.stranded_seconds["a"], near(passed, passed / 2.0))?;
    verify_that!(missing - before.group_down_seconds["a"], near(passed, passed / 2.0))?;
    verify_that!(environment.fleet().begun_in_domain_since("a", begun), eq(1))
}

#[gtest]
#[tokio::test]
async fn silences_open_connections_only() -> Result<()> {
    let environment = environment(1, fast_options()).await;
    let mut open = TcpStream::connect(address(&environment, 0)).await.or_fail()?;
    let request = b"GET /v1/host HTTP/1.1\r\nhost: h\r\n\r\n";
    let mut buffer = [0; 1024];
    open.write_all(request).await.or_fail()?;
    verify_that!(open.read(&mut buffer).await.or_fail()?, gt(0))?;
    environment.fleet().inject(&Fault::Silence { host: host_name(0) }).await;
    open.write_all(request).await.or_fail()?;
    let read = tokio::time::timeout(Duration::from_millis(100), open.read(&mut buffer)).await;
    verify_that!(read.is_err(), eq(true))?;
    verify_that!(http::get(address(&environment, 0), "/v1/host").await.status, eq(200))
}

#[gtest]
#[tokio::test]
async fn stop_closes_all_ports() -> Result<()> {
    let environment = environment(1, fast_options()).await;
    form_group(&environment, "g", &[0]).await;
    let (host, log) = (address(&environment, 0), environment.log_address());
    send_request(&environment, "r", "!!crash!!").await;
    wait_until(|| environment.fleet().counters().crashes == 1).await;
    environment.stop().await;
    // Without the stop, the crashed host would have restarted by now.
    tokio::time::sleep(fast_options().restart_delay * 3).await;
    let refused = |it: String| async move { TcpStream::connect(it).await.is_err() };
    let deadline = Instant::now() + http::TIMEOUT;
    while !(refused(host.clone()).await && refused(log.to_string()).await) {
        verify_that!(Instant::now(), lt(deadline))?;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_cancel_reaches_every_stream_of_a_request() -> Result<()> {
    let environment = environment(1, fast_options()).await;
    form_group(&environment, "g", &[0]).await;
    let long = |it: &String| token::token_count("v1", it, 1000) > 200;
    let prompt = (0..).map(|it| format!("p{it}")).find(long).or_fail()?;
    let ask = |max_tokens: u64| {
        let (target, mut body) = (address(&environment, 0), generate_body("same", &prompt, 0));
        body["max_tokens"] = json!(max_tokens);
        tokio::spawn(async move { http::post(target, "/v1/generate", &body).await })
    };
    let (short, long) = (ask(1), ask(10_000));
    verify_that!(is_finished(&short.await.or_fail()?), eq(true))?;
    let cancelled = http::call(
        ::http::Method::DELETE,
        address(&environment, 0),
        "/v1/generate/same",
        &[],
        String::new(),
    );
    verify_that!(cancelled.await.json(), eq(&json!({"cancelled": true})))?;
    verify_that!(is_finished(&long.await.or_fail()?), eq(false))?;
    verify_that!(environment.fleet().counters().cancelled, eq(1))
}

#[gtest]
#[tokio::test]
async fn restarts_at_the_same_time_start_one_server() -> Result<()> {
    let environment = environment(1, fast_options()).await;
    let restart = Fault::Restart { host: host_name(0) };
    let restarts = (0..5).map(|_| environment.fleet().inject(&restart));
    let all = tokio::time::timeout(http::TIMEOUT, futures::future::join_all(restarts)).await;
    verify_that!(all.is_ok(), eq(true))?;
    verify_that!(http::get(address(&environment, 0), "/v1/host").await.status, eq(200))
}

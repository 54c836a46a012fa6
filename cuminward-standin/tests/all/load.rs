use std::{net::SocketAddr, time::Duration};

use axum::{Json, Router, routing};
use cuminward_core::host;
use cuminward_standin::{engine::token, load, server};
use googletest::prelude::*;
use serde_json::{Value, json};

use crate::engine;

#[gtest]
#[tokio::test]
async fn checks_every_reply() -> Result<()> {
    let environment = engine::environment(2, engine::fast_options()).await;
    let formation = host::Membership {
        group: "g".to_owned(),
        generation: 1,
        service: "s".to_owned(),
        model: "m".to_owned(),
        version: "v1".to_owned(),
        members: environment.fleet().entries().into_iter().map(|it| it.host).collect(),
        phase: host::Phase::Loading,
    };
    verify_that!(environment.fleet().form(&formation).await, eq(true))?;
    let other = host::Membership { group: "h".to_owned(), ..formation };
    verify_that!(environment.fleet().form(&other).await, eq(false))?;
    let target = load::Target::Engine {
        address: environment.fleet().entries()[0].address.parse().or_fail()?,
        group: "g".to_owned(),
        generation: 1,
        version: "v1".to_owned(),
    };
    let options = load::OptionsBuilder::default()
        .rate(40.0)
        .duration(Duration::from_secs(1))
        .max_tokens(10_u64)
        .targets(vec![target])
        .build()
        .or_fail()?;
    let report = load::run(&options).await;
    verify_that!(report.all.sent, gt(20))?;
    verify_that!(report.all.complete, eq(report.all.sent))?;
    // Ten tokens, each of which takes two milliseconds.
    verify_that!(report.all.total.p50_ms, all![ge(20.0), lt(1000.0)])?;
    verify_that!(report.all.first_token.p50_ms, all![ge(2.0), lt(report.all.total.p50_ms)])?;
    verify_that!(report.all.between_tokens.count, eq(9 * report.all.sent))?;
    verify_that!(report.all.between_tokens.p95_ms, all![ge(1.0), lt(100.0)])?;
    let wrong = load::Options { versions: vec!["v2".to_owned()], ..options };
    let report = load::run(&wrong).await;
    verify_that!(report.all.wrong, eq(report.all.sent))?;
    verify_that!(load::plot::svg(&report).or_fail()?, contains_substring("<svg"))
}

/// Answers a chat request as a stream of events. For the model "cut" the last events are missing.
async fn chat(Json(request): Json<Value>) -> String {
    let prompt = format!("user: {}\n", request["messages"][0]["content"].as_str().unwrap_or(""));
    let limit = request["max_tokens"].as_u64().unwrap_or_default();
    let event = |content: String, finish: Value| {
        let choice = json!({"index": 0, "delta": {"content": content}, "finish_reason": finish});
        format!("data: {}\n\n", json!({"id": "c", "choices": [choice]}))
    };
    let texts = (0..token::token_count("v1", &prompt, limit))
        .map(|it| event(token::token_text("v1", &prompt, it), Value::Null));
    let end = match request["model"] == "cut" {
        true => String::new(),
        false => event(String::new(), json!("stop")) + "data: [DONE]\n\n",
    };
    texts.collect::<String>() + &end
}

struct Case {
    model: &'static str,
    path: &'static str,
    figures: fn(&load::Report) -> u64,
}

#[gtest]
#[tokio::test]
async fn classifies_chat_replies() -> Result<()> {
    let cases = [
        Case { model: "m", path: "/v1/chat/completions", figures: |it| it.all.complete },
        Case { model: "cut", path: "/v1/chat/completions", figures: |it| it.all.cut_off },
        Case { model: "m", path: "/elsewhere", figures: |it| it.all.refused },
    ];
    for case in cases {
        let router = Router::new().route(case.path, routing::post(chat));
        let server = server::Server::start(0, router).await.or_fail()?;
        let address: SocketAddr = server.address();
        let options = load::Options {
            rate: 100.0,
            duration: Duration::from_millis(200),
            targets: vec![load::Target::Chat { address }],
            model: case.model.to_owned(),
            ..load::Options::default()
        };
        let report = load::run(&options).await;
        verify_that!(report.all.sent, gt(5))?;
        verify_that!((case.figures)(&report), eq(report.all.sent))
            .with_failure_message(|| format!("{} {}", case.model, case.path))?;
    }
    Ok(())
}

//! Sends streamed requests and checks their replies.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{Method, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};
use tokio::time::Instant;

use super::{End, Options, Sample, Target, plan::Arrival};
use crate::engine::token;

/// Data of the last server-sent event of a reply.
const DONE: &str = "[DONE]";

/// HTTP client of a load run.
#[derive(Clone)]
pub(super) struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    options: Arc<Options>,
}

/// The parts of a reply received so far.
#[derive(Default)]
struct Reply {
    status: u16,
    request: String,
    detail: String,
    text: String,
    /// Arrival times of the tokens.
    times: Vec<Instant>,
    /// Whether a finish reason was received.
    finished: bool,
    /// Whether the last event of a chat reply was received.
    done: bool,
}

/// Life cycle
impl Client {
    pub(super) fn new(options: &Options) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = legacy::Client::builder(TokioExecutor::new()).build(connector);
        Client { http, options: Arc::new(options.clone()) }
    }
}

/// Access
impl Client {
    /// Sends a request whose intended start is `at`, checks its reply and returns the result.
    pub(super) async fn call(&self, target: Target, arrival: Arrival, at: Instant) -> Sample {
        let mut reply = Reply::default();
        let exchange = self.exchange(&target, &arrival, &mut reply);
        let end = tokio::time::timeout_at(at + self.options.timeout, exchange).await;
        let end = match end {
            Err(_) => End::TimedOut,
            Ok(Err(end)) => end,
            Ok(Ok(())) => self.check_reply(&target, &arrival, &reply),
        };
        build_sample(&arrival, at, &reply, end)
    }

    /// Sends a request and reads the reply to its end. Fails with how the request ended if there is
    /// no reply, an error response or a reply that is cut off.
    async fn exchange(
        &self,
        target: &Target,
        arrival: &Arrival,
        reply: &mut Reply,
    ) -> Result<(), End> {
        let request = self.request(target, arrival);
        let response = self.http.request(request).await.map_err(|_| End::Failed)?;
        reply.status = response.status().as_u16();
        let header = |name: &str| {
            let value = response.headers().get(name).and_then(|it| it.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        reply.request = header("cuminward-request");
        reply.detail = header("cuminward-outcome");
        if reply.status != 200 {
            reply.read_error(response).await;
            return Err(End::Refused);
        }
        let mut body = response.into_body();
        let mut buffer = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| End::CutOff)?.into_data() else { continue };
            buffer.extend_from_slice(&data);
            while let Some(end) = buffer.iter().position(|it| *it == b'\n') {
                let line = buffer.split_to(end + 1);
                reply.process_line(target, &String::from_utf8_lossy(&line));
            }
        }
        Ok(())
    }

    fn request(&self, target: &Target, arrival: &Arrival) -> Request<Full<Bytes>> {
        let (address, path, body) = match target {
            Target::Chat { address } => (address, "/v1/chat/completions", self.chat_body(arrival)),
            Target::Engine { address, group, generation, version } => {
                let body = json!({
                    "request": format!("load-{}-{}", self.options.seed, arrival.number),
                    "group": group,
                    "generation": generation,
                    "version": version,
                    "prompt": arrival.prompt,
                    "max_tokens": self.options.max_tokens,
                });
                (address, "/v1/generate", body)
            }
        };
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{path}"))
            .header(header::CONTENT_TYPE, "application/json");
        if !arrival.team.key.is_empty() {
            let bearer = format!("Bearer {}", arrival.team.key);
            request = request.header(header::AUTHORIZATION, bearer);
        }
        request
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("address, path and key are valid in a request")
    }

    fn chat_body(&self, arrival: &Arrival) -> Value {
        json!({
            "model": self.options.model,
            "stream": true,
            "max_tokens": self.options.max_tokens,
            "messages": [{"role": "user", "content": arrival.prompt}],
        })
    }

    /// Compares a reply that ended normally with the replies expected from the allowed versions.
    fn check_reply(&self, target: &Target, arrival: &Arrival, reply: &Reply) -> End {
        let (prompt, done) = match target {
            Target::Chat { .. } => (format!("user: {}\n", arrival.prompt), reply.done),
            Target::Engine { .. } => (arrival.prompt.clone(), true),
        };
        if !reply.finished || !done {
            return End::CutOff;
        }
        let limit = self.options.max_tokens;
        let is_expected =
            |version: &String| reply.text == token::reply_text(version, &prompt, limit);
        if self.options.versions.iter().any(is_expected) { End::Complete } else { End::Wrong }
    }
}

/// Mutation
impl Reply {
    /// Adds the error code in the body of an error response to the detail.
    async fn read_error(&mut self, response: Response<Incoming>) {
        let Ok(body) = response.into_body().collect().await else { return };
        let body: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
        let code = body["error"]["code"].as_str().unwrap_or_default();
        self.detail = format!("{} {code}", self.detail).trim().to_owned();
    }

    fn process_line(&mut self, target: &Target, line: &str) {
        match target {
            Target::Chat { .. } => self.process_event(line),
            Target::Engine { .. } => self.process_chunk(line),
        }
    }

    fn process_event(&mut self, line: &str) {
        let Some(data) = line.strip_prefix("data:").map(str::trim) else { return };
        if data == DONE {
            self.done = true;
            return;
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        let choice = &event["choices"][0];
        self.append_text(choice["delta"]["content"].as_str());
        self.finished |= choice["finish_reason"].is_string();
        if let Some(code) = event["error"]["code"].as_str() {
            self.detail = code.to_owned();
        }
    }

    fn process_chunk(&mut self, line: &str) {
        let chunk: Value = serde_json::from_str(line).unwrap_or_default();
        self.append_text(chunk["text"].as_str());
        self.finished |= chunk["finish"].is_string();
        if let Some(code) = chunk["error"]["code"].as_str() {
            self.detail = code.to_owned();
        }
    }

    fn append_text(&mut self, text: Option<&str>) {
        let Some(text) = text.filter(|it| !it.is_empty()) else { return };
        self.text.push_str(text);
        self.times.push(Instant::now());
    }
}

fn build_sample(arrival: &Arrival, at: Instant, reply: &Reply, end: End) -> Sample {
    let seconds = |time: Duration| time.as_secs_f64();
    Sample {
        request: reply.request.clone(),
        team: arrival.team.name.clone(),
        start_seconds: seconds(arrival.after),
        end,
        status: reply.status,
        detail: reply.detail.clone(),
        first_token_seconds: reply.times.first().map(|it| seconds(*it - at)),
        gaps_seconds: reply.times.windows(2).map(|it| seconds(it[1] - it[0])).collect(),
        total_seconds: seconds(at.elapsed()),
        tokens: reply.times.len() as u64,
    }
}

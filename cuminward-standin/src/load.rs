//! Open-loop load generator that sends streamed requests and checks every reply.
//!
//! The start times of requests are drawn from a Poisson process and don't depend on when earlier
//! requests end. All latencies are measured from the intended start, so that a stall of the system
//! is not hidden by requests that start late (coordinated omission).

mod client;
mod plan;
pub mod plot;
mod report;

use std::{net::SocketAddr, time::Duration};

use cuminward_core::id;
use cuminward_derive::{record, value};
use derive_builder::Builder;
use tokio::task::JoinSet;

pub use report::{Figures, Report};

/// Settings of a load run.
#[record]
#[derive(Builder)]
#[builder(default)]
pub struct Options {
    /// Seed of the random arrivals and prompts.
    pub seed: u64,
    /// Mean rate of all teams together, in requests a second.
    pub rate: f64,
    /// Time during which requests start.
    pub duration: Duration,
    /// Time limit of a request, counted from its intended start.
    pub timeout: Duration,
    /// Targets of the requests, used in turn.
    pub targets: Vec<Target>,
    /// Teams that send requests.
    pub teams: Vec<Team>,
    /// Model that chat requests ask for.
    pub model: id::Model,
    /// Versions whose replies count as correct.
    pub versions: Vec<id::Version>,
    /// Limit of each reply, in tokens.
    pub max_tokens: u64,
    /// Length of the common prefix of a team's prompts, in bytes.
    pub shared_bytes: usize,
    /// Length of the part of a prompt that is unique to the request, in bytes.
    pub unique_bytes: usize,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            seed: 1,
            rate: 20.0,
            duration: Duration::from_secs(5),
            timeout: Duration::from_secs(30),
            targets: Vec::new(),
            teams: vec![Team::default()],
            model: "m".to_owned(),
            versions: vec!["v1".to_owned()],
            max_tokens: 64,
            shared_bytes: 256,
            unique_bytes: 64,
        }
    }
}

/// A team that sends requests.
#[record]
pub struct Team {
    /// Name of the team; it is part of the team's prompts.
    pub name: id::Team,
    /// Bearer key; if empty, no key is sent.
    pub key: String,
    /// Share of the requests, relative to the weights of the other teams.
    pub weight: f64,
}

impl Default for Team {
    fn default() -> Team {
        Team { name: "team".to_owned(), key: String::new(), weight: 1.0 }
    }
}

/// Target of a request.
#[record]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Target {
    /// A chat interface at `/v1/chat/completions`.
    Chat {
        /// The address.
        address: SocketAddr,
    },
    /// The head of a replica, which receives requests at `/v1/generate`.
    Engine {
        /// The address.
        address: SocketAddr,
        /// Name of the group.
        group: id::Group,
        /// Generation of the group.
        generation: id::Generation,
        /// Version of the model.
        version: id::Version,
    },
}

/// Result of one request.
#[record]
pub struct Sample {
    /// Id that the node assigned to the request; may be empty.
    pub request: id::Request,
    /// Name of the team.
    pub team: id::Team,
    /// Intended start, in seconds since the start of the run.
    pub start_seconds: f64,
    /// How the request ended.
    pub end: End,
    /// HTTP status; 0 if there was no response.
    pub status: u16,
    /// Value of the header `cuminward-outcome`, or the `code` of the error; may be empty.
    pub detail: String,
    /// Time from the intended start to the first token, in seconds.
    pub first_token_seconds: Option<f64>,
    /// Times between tokens, in seconds.
    pub gaps_seconds: Vec<f64>,
    /// Time from the intended start to the end, in seconds.
    pub total_seconds: f64,
    /// Pieces of text received; each counts as one token.
    pub tokens: u64,
}

/// How a request ended.
#[value]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// The complete and correct reply was received.
    Complete,
    /// The reply ended early.
    CutOff,
    /// The request was refused with an HTTP error.
    Refused,
    /// The reply ended normally, but its text is not the expected one.
    Wrong,
    /// The time limit was exceeded.
    TimedOut,
    /// There was no response.
    Failed,
}

/// Runs the load with the targets in turn, and returns the figures once all requests have ended.
pub async fn run(options: &Options) -> Report {
    run_with_targets(options, |index| options.targets[index % options.targets.len()].clone()).await
}

/// Runs the load like [`run`], but calls `target` with the index of each request at the request's
/// start to choose its target.
pub async fn run_with_targets(
    options: &Options,
    mut target: impl FnMut(usize) -> Target,
) -> Report {
    let client = client::Client::new(options);
    let start = tokio::time::Instant::now();
    let mut requests = JoinSet::new();
    for (index, arrival) in plan::Plan::new(options).enumerate() {
        let at = start + arrival.after;
        tokio::time::sleep_until(at).await;
        let target = target(index);
        let client = client.clone();
        requests.spawn(async move { client.call(target, arrival, at).await });
    }
    report::Report::new(requests.join_all().await, start.elapsed())
}

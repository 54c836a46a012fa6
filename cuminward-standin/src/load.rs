//! Load generator: open-loop arrivals of streamed requests, with every reply checked.
//!
//! Requests start at times drawn from a Poisson process, whether or not earlier ones have ended.
//! All times are measured from the intended start, so that a stalled system can't hide its delays.

mod client;
mod plan;
pub mod plot;
mod tally;

use std::{net::SocketAddr, time::Duration};

use cuminward_core::id;
use cuminward_derive::{record, value};
use derive_builder::Builder;
use tokio::task::JoinSet;

pub use tally::{Figures, Report};

/// Settings of a run.
#[record]
#[derive(Builder)]
#[builder(default)]
pub struct Options {
    /// Seed of arrivals and prompts.
    pub seed: u64,
    /// Requests a second, all teams together.
    pub rate: f64,
    /// Time during which requests start.
    pub duration: Duration,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Where requests go; they are spread evenly in turn.
    pub targets: Vec<Target>,
    /// Teams that call.
    pub teams: Vec<Team>,
    /// Model that chat requests ask for.
    pub model: id::Model,
    /// Versions whose replies are right.
    pub versions: Vec<id::Version>,
    /// Limit of tokens of each reply.
    pub max_tokens: u64,
    /// Bytes at the start of a prompt that all requests of a team share.
    pub shared_bytes: usize,
    /// Bytes of a prompt that no other request has.
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

/// A team of callers.
#[record]
pub struct Team {
    /// Name of the team; it stands in its prompts.
    pub name: id::Team,
    /// Bearer key; empty sends none.
    pub key: String,
    /// Share of the requests, relative to other teams.
    pub weight: f64,
}

impl Default for Team {
    fn default() -> Team {
        Team { name: "team".to_owned(), key: String::new(), weight: 1.0 }
    }
}

/// Where requests go.
#[record]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Target {
    /// A chat interface at `/v1/chat/completions`.
    Chat {
        /// The address.
        address: SocketAddr,
    },
    /// The head of a replica, at `/v1/generate`.
    Engine {
        /// The address.
        address: SocketAddr,
        /// Name of the group.
        group: id::Group,
        /// Formation of the group.
        generation: id::Generation,
        /// Version of the model.
        version: id::Version,
    },
}

/// What became of one request.
#[record]
pub struct Sample {
    /// Id that the node gave to the request; may be empty.
    pub request: id::Request,
    /// Name of the team.
    pub team: id::Team,
    /// Intended start, in seconds since the start of the run.
    pub start_seconds: f64,
    /// How the request ended.
    pub end: End,
    /// HTTP status; 0 without an answer.
    pub status: u16,
    /// Value of the header `cuminward-outcome`, or the `code` of the error; may be empty.
    pub detail: String,
    /// Time from the intended start to the first token, in seconds.
    pub first_token_seconds: Option<f64>,
    /// Times between tokens, in seconds.
    pub gaps_seconds: Vec<f64>,
    /// Time from the intended start to the end, in seconds.
    pub total_seconds: f64,
    /// Pieces of text received.
    pub tokens: u64,
}

/// How a request ended.
#[value]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// The whole and right reply was received.
    Complete,
    /// The reply ended before its end.
    CutOff,
    /// The request was refused with an HTTP error.
    Refused,
    /// The reply was not the one to this request, or not whole although it ended regularly.
    Wrong,
    /// The time was over.
    TimedOut,
    /// There was no answer.
    Failed,
}

/// Runs the load and waits until every request has ended.
pub async fn run(options: &Options) -> Report {
    run_with_targets(options, |index| options.targets[index % options.targets.len()].clone()).await
}

/// Runs the load like [`run`], with the target of each request chosen when it starts.
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
    tally::Report::new(requests.join_all().await, start.elapsed())
}

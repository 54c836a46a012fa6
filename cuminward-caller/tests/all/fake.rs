//! Fixture: a backend that counts the requests passed to it.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use cuminward_caller::backend;
use cuminward_core::{id, outcome::Refusal};
use futures::{Stream, stream};
use http::{HeaderMap, StatusCode};

/// Bearer key of the only team.
pub(crate) const KEY: &str = "kites";

/// Responds to every generation with the same tokens and to every call with the body of the call.
#[derive(Clone, Default)]
pub(crate) struct Backend {
    /// Number of generations and calls.
    pub(crate) requests: Arc<AtomicU32>,
    /// Whether the stream of a generation ends without `Finish`.
    pub(crate) truncated: bool,
}

impl backend::Backend for Backend {
    type Tokens = Pin<Box<dyn Stream<Item = backend::Event> + Send>>;

    fn authenticate(&self, key: &str) -> Option<id::Team> {
        (key == KEY).then(|| "committee".to_owned())
    }

    fn models(&self, _team: &str) -> Vec<id::Model> {
        vec!["pattern".to_owned()]
    }

    async fn generate(&self, _request: backend::Generation) -> Result<Self::Tokens, Refusal> {
        self.requests.fetch_add(1, Ordering::Relaxed);
        let mut events = vec![token("red "), token("kite")];
        if !self.truncated {
            events.push(backend::Event::Finish(backend::Finish {
                reason: "stop".to_owned(),
                prompt_tokens: 3,
                cached_tokens: 1,
                tokens: 2,
            }));
        }
        Ok(Box::pin(stream::iter(events)))
    }

    async fn call(&self, call: backend::Call) -> Result<backend::Answer, Refusal> {
        self.requests.fetch_add(1, Ordering::Relaxed);
        let mut headers = HeaderMap::new();
        headers.insert("x-path", call.path.parse().expect("a path is a valid header"));
        let leaked =
            call.headers.contains_key("authorization") || call.headers.contains_key("x-hop");
        headers.insert("x-leaked", leaked.to_string().parse().expect("a bool is a valid header"));
        Ok(backend::Answer { status: StatusCode::CREATED, headers, body: call.body })
    }

    fn ready(&self) -> Result<(), String> {
        Ok(())
    }

    fn metrics(&self) -> String {
        String::new()
    }
}

fn token(text: &str) -> backend::Event {
    backend::Event::Token(text.to_owned())
}

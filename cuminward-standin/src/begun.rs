//! Times at which requests began, by failure domain or host.

use std::{collections::BTreeMap, time::Instant};

/// Times at which requests began, in order.
#[derive(Debug, Default)]
pub(crate) struct Times(BTreeMap<String, Vec<Instant>>);

/// Access
impl Times {
    /// Requests begun in a failure domain or host since a time.
    pub(crate) fn since(&self, name: &str, since: Instant) -> u64 {
        let times = self.0.get(name).map_or(&[][..], Vec::as_slice);
        (times.len() - times.partition_point(|it| *it < since)) as u64
    }
}

/// Mutation
impl Times {
    /// Notes a request that begins now.
    pub(crate) fn add(&mut self, name: &str) {
        self.0.entry(name.to_owned()).or_default().push(Instant::now());
    }
}

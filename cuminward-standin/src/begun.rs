//! Times at which requests began, by failure domain.

use std::{collections::BTreeMap, time::Instant};

use cuminward_core::id;

/// Times at which requests began, in order.
#[derive(Debug, Default)]
pub(crate) struct Times(BTreeMap<id::Domain, Vec<Instant>>);

/// Access
impl Times {
    /// Requests begun in a failure domain since a time.
    pub(crate) fn since(&self, domain: &str, since: Instant) -> u64 {
        let times = self.0.get(domain).map_or(&[][..], Vec::as_slice);
        (times.len() - times.partition_point(|it| *it < since)) as u64
    }
}

/// Mutation
impl Times {
    /// Notes a request that begins now.
    pub(crate) fn add(&mut self, domain: &str) {
        self.0.entry(domain.to_owned()).or_default().push(Instant::now());
    }
}

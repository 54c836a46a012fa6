//! Start times of requests by failure domain or host.

use std::{collections::BTreeMap, time::Instant};

/// Start times of requests by name of the failure domain or host, in ascending order.
#[derive(Debug, Default)]
pub(crate) struct Times(BTreeMap<String, Vec<Instant>>);

/// Access
impl Times {
    /// Returns the number of requests that started in a failure domain or at a host since a time.
    pub(crate) fn count_since(&self, name: &str, since: Instant) -> u64 {
        let times = self.0.get(name).map_or(&[][..], Vec::as_slice);
        (times.len() - times.partition_point(|it| *it < since)) as u64
    }
}

/// Mutation
impl Times {
    /// Records that a request starts now.
    pub(crate) fn record(&mut self, name: &str) {
        self.0.entry(name.to_owned()).or_default().push(Instant::now());
    }
}

//! Faults of the plain service.

use std::time::Duration;

use cuminward_core::id;
use cuminward_derive::record;
use serde_with::{DurationMilliSeconds, serde_as};

/// Fault to inject, or the end of one: the body of `POST /control` at the control address.
#[serde_as]
#[record]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// Stops a host: closes its port and its connections.
    Kill {
        /// Name of the host.
        host: id::Host,
    },
    /// Restarts a host, cold and with a new incarnation; stops a running host first.
    Restart {
        /// Name of the host.
        host: id::Host,
    },
    /// Pauses a host: accepts connections but sends no answer.
    Pause {
        /// Name of the host.
        host: id::Host,
    },
    /// Ends the pause of a host.
    Resume {
        /// Name of the host.
        host: id::Host,
    },
    /// Silences the open connections of a host: they stay open without data; new connections work.
    Silence {
        /// Name of the host.
        host: id::Host,
    },
    /// Adds a delay to the requests to a host.
    Slow {
        /// Name of the host.
        host: id::Host,
        /// Added time.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        delay_ms: Duration,
    },
    /// Runs the next requests to a host but closes the connection without an answer.
    LoseAnswers {
        /// Name of the host.
        host: id::Host,
        /// Number of requests.
        count: u32,
    },
    /// Refuses the next requests to a host with a 503 that says that nothing ran.
    NotRun {
        /// Name of the host.
        host: id::Host,
        /// Number of requests.
        count: u32,
    },
    /// Answers the next look-ups at a host with 200 and an empty body.
    EmptyAnswers {
        /// Name of the host.
        host: id::Host,
        /// Number of requests.
        count: u32,
    },
}

//! Faults of the order desk.

use std::time::Duration;

use cuminward_core::id;
use cuminward_derive::record;
use serde_with::{DurationMilliSeconds, serde_as};

/// A change of behaviour, as a body of `POST /control` at the desk's control address.
#[serde_as]
#[record]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// A host dies: its port closes and its connections break.
    Kill {
        /// Name of the host.
        host: id::Host,
    },
    /// A host starts again, cold and with a new incarnation; a live one dies first.
    Restart {
        /// Name of the host.
        host: id::Host,
    },
    /// A host accepts connections but answers nothing.
    Pause {
        /// Name of the host.
        host: id::Host,
    },
    /// Ends a pause.
    Resume {
        /// Name of the host.
        host: id::Host,
    },
    /// The connections open to a host never carry another byte; new ones work.
    Silence {
        /// Name of the host.
        host: id::Host,
    },
    /// Requests to a host take longer by a time.
    Slow {
        /// Name of the host.
        host: id::Host,
        /// Added time.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        delay_ms: Duration,
    },
    /// The next requests to a host run, but the connection closes without an answer.
    LoseAnswers {
        /// Name of the host.
        host: id::Host,
        /// Number of requests.
        count: u32,
    },
    /// The next requests to a host are refused with a 503 that says that nothing ran.
    NotRun {
        /// Name of the host.
        host: id::Host,
        /// Number of requests.
        count: u32,
    },
    /// The next look-ups at a host are answered 200 with an empty body.
    EmptyAnswers {
        /// Name of the host.
        host: id::Host,
        /// Number of requests.
        count: u32,
    },
}

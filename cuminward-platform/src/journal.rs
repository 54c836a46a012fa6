//! The platform's append-only log.

use std::time::Duration;

use cuminward_core::id;
use cuminward_derive::record;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::call;

/// Time that one append may take before its outcome counts as unknown.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that a read may take beyond the time that it waits for a record.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// One stream of the log.
#[derive(Debug, Clone)]
pub struct Stream {
    client: call::Client,
    path: String,
}

/// Part of a stream.
#[record]
#[serde(bound = "T: DeserializeOwned + Serialize")]
pub struct Page<T> {
    /// Oldest offset that the log still keeps.
    pub oldest: id::Offset,
    /// Offset that the next appended record will get.
    pub next: id::Offset,
    /// Records in order of their offsets, without gaps.
    pub records: Vec<Record<T>>,
}

/// A record of a stream.
#[record]
pub struct Record<T> {
    /// Place in the stream.
    pub offset: id::Offset,
    /// Wall time of the append by the log's clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What was appended.
    pub value: T,
}

/// Result of a read.
#[derive(Debug, Clone, PartialEq)]
pub enum Read<T> {
    /// Records from the wanted offset on; empty if there are none yet.
    Page(Page<T>),
    /// The wanted record is no longer kept.
    Trimmed {
        /// Oldest offset that the log still keeps.
        oldest: id::Offset,
    },
}

#[record]
struct Appended {
    offset: id::Offset,
}

/// Life cycle
impl Stream {
    /// Makes a client of one stream of the log at an IP address and port.
    pub fn new(authority: &str, name: &str) -> Stream {
        let path = format!("/v1/streams/{name}/records");
        Stream { client: call::Client::new(authority), path }
    }
}

/// Access
impl Stream {
    /// Reads up to `max` records from an offset on; waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Any [`call::Error`]; the read may be repeated.
    pub async fn read<T: DeserializeOwned + Serialize>(
        &self,
        from: id::Offset,
        max: usize,
        wait: Duration,
    ) -> Result<Read<T>, call::Error> {
        let path = format!("{}?from={from}&max={max}&wait_ms={}", self.path, wait.as_millis());
        match self.client.get(&path, wait + READ_TIMEOUT).await {
            Ok(page) => Ok(Read::Page(page)),
            Err(call::Error::Refused(refusal)) if refusal.status == 410 => {
                let oldest = refusal.body["oldest"].as_u64().unwrap_or(from);
                Ok(Read::Trimmed { oldest })
            }
            Err(error) => Err(error),
        }
    }
}

/// Mutation
impl Stream {
    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// [`call::Error::Unknown`] if the record may have been appended; it was not appended at any
    /// other error.
    pub async fn append(&self, value: &impl Serialize) -> Result<id::Offset, call::Error> {
        let answer: Appended = self.client.post(&self.path, value, APPEND_TIMEOUT).await?;
        Ok(answer.offset)
    }
}

//! Client of the platform's append-only log.

use std::time::Duration;

use cuminward_core::id;
use cuminward_derive::record;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::call;

/// Timeout of an append, after which its outcome is unknown.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a read, in addition to the time for which the read waits for a record.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of one stream of the log.
#[derive(Debug, Clone)]
pub struct Stream {
    client: call::Client,
    path: String,
}

/// Consecutive records of a stream.
#[record]
#[serde(bound = "T: DeserializeOwned + Serialize")]
pub struct Page<T> {
    /// Oldest offset that the log retains.
    pub oldest: id::Offset,
    /// Offset of the next record to be appended.
    pub next: id::Offset,
    /// Records in the order of their offsets, without gaps.
    pub records: Vec<Record<T>>,
}

/// A record of a stream.
#[record]
pub struct Record<T> {
    /// Offset in the stream.
    pub offset: id::Offset,
    /// Wall-clock time of the append by the log's clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Appended value.
    pub value: T,
}

/// Result of a read.
#[derive(Debug, Clone, PartialEq)]
pub enum Read<T> {
    /// Records from the requested offset on; empty if there are none yet.
    Page(Page<T>),
    /// The record at the requested offset has been trimmed from the log.
    Trimmed {
        /// Oldest offset that the log retains.
        oldest: id::Offset,
    },
}

#[record]
struct Appended {
    offset: id::Offset,
}

/// Life cycle
impl Stream {
    /// Creates a client of the stream `name` of the log at `authority`, an IP address and port.
    pub fn new(authority: &str, name: &str) -> Stream {
        let path = format!("/v1/streams/{name}/records");
        Stream { client: call::Client::new(authority), path }
    }
}

/// Access
impl Stream {
    /// Reads up to `max` records from an offset on. Waits up to `wait` for the first of them.
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
    /// [`call::Error::Unknown`] if the record may have been appended. After any other error the
    /// record was not appended.
    pub async fn append(&self, value: &impl Serialize) -> Result<id::Offset, call::Error> {
        let appended: Appended = self.client.post(&self.path, value, APPEND_TIMEOUT).await?;
        Ok(appended.offset)
    }
}

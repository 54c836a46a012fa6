//! Records of the stream of started keys.

use cuminward_core::id;
use cuminward_derive::record;
use serde_with::serde_as;

use crate::key;

/// Name of the stream of started keys.
pub const STREAM: &str = "keys";

/// Id of a batch: node, incarnation and sequence number.
pub type BatchId = String;

/// A record of the stream.
#[record]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Record {
    /// Claimed keys. A batch without keys is written to learn the log's time.
    Started(KeyBatch),
    /// A record of an unknown kind, written by another version of the program.
    #[serde(other)]
    Other,
}

/// A batch of claimed keys.
#[record]
pub struct KeyBatch {
    /// Node that wrote the record.
    pub node: id::Node,
    /// Id of the batch, by which its record is recognized if the response to the append is lost.
    pub batch: BatchId,
    /// The keys.
    pub keys: Vec<Key>,
}

/// A claimed key.
#[serde_as]
#[record]
pub struct Key {
    /// Hash of the key.
    #[serde_as(as = "serde_with::hex::Hex")]
    pub hash: key::Hash,
    /// Node that may run the request if its claim is the first.
    pub issuer: id::Node,
}

/// Access
impl Record {
    /// Decodes a value of the stream. A value that can't be decoded counts as [`Record::Other`].
    pub fn from_json(value: serde_json::Value) -> Record {
        serde_json::from_value(value).unwrap_or(Record::Other)
    }
}

/// A record with its position in the log.
#[record]
pub struct Entry {
    /// Offset of the record.
    pub offset: id::Offset,
    /// Wall time at which the log stored the record, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The record.
    pub record: Record,
}

/// Records read from the log.
#[record]
pub struct Page {
    /// Oldest offset that the log keeps.
    pub oldest: id::Offset,
    /// Offset after the last record of the stream.
    pub next: id::Offset,
    /// Records from the requested offset on, without gaps.
    pub entries: Vec<Entry>,
}

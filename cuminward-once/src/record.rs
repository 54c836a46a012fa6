//! Records of the stream of started keys.

use cuminward_core::id;
use cuminward_derive::record;
use serde_with::serde_as;

use crate::key;

/// Name of the stream.
pub const STREAM: &str = "keys";

/// Id of a batch: node, incarnation and number.
pub type BatchId = String;

/// A record of the stream.
#[record]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Record {
    /// Keys that were claimed. Without keys it serves to learn the log's time.
    Started(KeyBatch),
    /// A record of another version of the program.
    #[serde(other)]
    Other,
}

/// Keys that were claimed together.
#[record]
pub struct KeyBatch {
    /// Node that wrote the record.
    pub node: id::Node,
    /// Id of the batch, to find it again if the answer to the append is lost.
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
    /// Node that may run the request, if the claim is the first.
    pub issuer: id::Node,
}

/// Access
impl Record {
    /// Reads a value of the stream; what can't be read is taken as a record of another version.
    pub fn from_json(value: serde_json::Value) -> Record {
        serde_json::from_value(value).unwrap_or(Record::Other)
    }
}

/// A record with its place in the log.
#[record]
pub struct Entry {
    /// Offset.
    pub offset: id::Offset,
    /// Wall time at which the log took the record, in milliseconds since the Unix epoch.
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
    /// Records without gaps from the asked offset on.
    pub entries: Vec<Entry>,
}

//! Records of the configuration stream.

use cuminward_core::change;
use cuminward_derive::record;
use serde::Deserialize;
use serde_json::Value;

use crate::snapshot;

/// Name of the stream in the platform's log.
pub const STREAM: &str = "config";

/// A record of the configuration stream.
#[record]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Record {
    /// A change that an operator asks for.
    Change(Box<change::Record>),
    /// The folded state, so that older records can be forgotten.
    Snapshot(Box<snapshot::Snapshot>),
}

/// What became of reading a record.
#[derive(Debug, Clone, PartialEq)]
pub enum Parsed {
    /// A record of a known kind.
    Known(Record),
    /// A record whose kind, format or action this version doesn't know.
    Unknown,
    /// A record of a known kind that isn't well formed.
    Malformed(String),
}

/// Kind of a change's record.
const CHANGE: &str = "change";
/// Kind of a snapshot's record.
const SNAPSHOT: &str = "snapshot";

/// Actions that this version knows.
const ACTIONS: [&str; 12] = [
    "declare-model",
    "remove-model",
    "declare-plain",
    "remove-plain",
    "declare-team",
    "remove-team",
    "declare-domain",
    "take-out",
    "bring-back",
    "declare-host",
    "drain",
    "undrain",
];

/// Makes the log's value of a change.
pub fn from_change(change: change::Record) -> Value {
    to_value(&Record::Change(Box::new(change)))
}

/// Makes the log's value of a record.
pub fn to_value(record: &Record) -> Value {
    serde_json::to_value(record).expect("records have string keys only")
}

/// Reads a log's value.
pub fn parse(value: &Value) -> Parsed {
    if !is_known(value) {
        return Parsed::Unknown;
    }
    match Record::deserialize(value) {
        Ok(record) => Parsed::Known(record),
        Err(error) => Parsed::Malformed(error.to_string()),
    }
}

/// Reads a snapshot; `None` for other records and for formats that this version doesn't know.
pub fn parse_snapshot(value: &Value) -> Option<snapshot::Snapshot> {
    match parse(value) {
        Parsed::Known(Record::Snapshot(snapshot)) => Some(*snapshot),
        _ => None,
    }
}

/// Tells whether a value is a snapshot, of whichever format.
pub(crate) fn is_snapshot(value: &Value) -> bool {
    value["kind"] == SNAPSHOT
}

/// Where a snapshot's record ends and when it was taken; `None` for what [`parse_snapshot`] doesn't read.
pub(crate) fn mark(value: &Value) -> Option<snapshot::Mark> {
    if value["kind"] != SNAPSHOT || value["format"] != snapshot::FORMAT {
        return None;
    }
    snapshot::Mark::deserialize(value).ok()
}

/// Leaves out a snapshot's state. Nodes that fold a snapshot's record in its turn don't need it.
pub(crate) fn without_state(mut value: Value) -> Value {
    if is_snapshot(&value)
        && let Some(fields) = value.as_object_mut()
    {
        fields.remove("state");
    }
    value
}

fn is_known(value: &Value) -> bool {
    match value["kind"].as_str() {
        Some(CHANGE) => value["action"]["action"].as_str().is_none_or(|it| ACTIONS.contains(&it)),
        Some(SNAPSHOT) => value["format"] == snapshot::FORMAT,
        _ => false,
    }
}

//! Records of the configuration stream, and their JSON encoding.

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
    /// A change that an operator requests.
    Change(Box<change::Record>),
    /// The configuration state, which replaces the older records.
    Snapshot(Box<snapshot::Snapshot>),
}

/// Result of parsing a record.
#[derive(Debug, Clone, PartialEq)]
pub enum Parsed {
    /// A record of a known kind.
    Known(Record),
    /// A record whose kind, format or action this version doesn't know.
    Unknown,
    /// A record of a known kind that isn't well formed, with the reason.
    Malformed(String),
}

/// Value of the field `kind` in a change record.
const CHANGE: &str = "change";
/// Value of the field `kind` in a snapshot record.
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

/// Encodes a change for the log.
pub fn from_change(change: change::Record) -> Value {
    to_value(&Record::Change(Box::new(change)))
}

/// Encodes a record for the log.
pub fn to_value(record: &Record) -> Value {
    serde_json::to_value(record).expect("records have string keys only")
}

/// Parses a value from the log.
pub fn parse(value: &Value) -> Parsed {
    if !is_known(value) {
        return Parsed::Unknown;
    }
    match Record::deserialize(value) {
        Ok(record) => Parsed::Known(record),
        Err(error) => Parsed::Malformed(error.to_string()),
    }
}

/// Parses a snapshot. Returns `None` for other records and for formats that this version doesn't
/// know.
pub fn parse_snapshot(value: &Value) -> Option<snapshot::Snapshot> {
    match parse(value) {
        Parsed::Known(Record::Snapshot(snapshot)) => Some(*snapshot),
        _ => None,
    }
}

/// Returns whether a value is a snapshot of any format.
pub(crate) fn is_snapshot(value: &Value) -> bool {
    value["kind"] == SNAPSHOT
}

/// Parses the header of a snapshot. Returns `None` for other records and for unknown snapshot
/// formats.
pub(crate) fn snapshot_header(value: &Value) -> Option<snapshot::Header> {
    if value["kind"] != SNAPSHOT || value["format"] != snapshot::FORMAT {
        return None;
    }
    snapshot::Header::deserialize(value).ok()
}

/// Removes the state from a snapshot record; applying the record in sequence needs only the header.
pub(crate) fn without_state(mut value: Value) -> Value {
    if is_snapshot(&value)
        && let Some(fields) = value.as_object_mut()
    {
        fields.remove("state");
    }
    value
}

/// Returns whether this version knows a record's kind and its action or format.
fn is_known(value: &Value) -> bool {
    match value["kind"].as_str() {
        Some(CHANGE) => value["action"]["action"].as_str().is_none_or(|it| ACTIONS.contains(&it)),
        Some(SNAPSHOT) => value["format"] == snapshot::FORMAT,
        _ => false,
    }
}

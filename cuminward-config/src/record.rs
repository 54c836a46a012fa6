//! Records of the configuration stream.

use cuminward_core::change;
use cuminward_derive::record;
use serde_json::Value;

use crate::fold;

/// Name of the stream in the platform's log.
pub const STREAM: &str = "config";

/// A record of the configuration stream.
#[record]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Record {
    /// A change that an operator asks for.
    Change(Box<change::Record>),
    /// The folded state, so that older records can be forgotten.
    Snapshot(Box<fold::Snapshot>),
}

/// What became of reading a record.
#[derive(Debug, Clone, PartialEq)]
pub enum Parsed {
    /// A record of a known kind.
    Known(Record),
    /// A record whose kind or action this version doesn't know.
    Unknown,
    /// A record of a known kind that isn't well formed.
    Malformed(String),
}

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
    match serde_json::from_value(value.clone()) {
        Ok(record) => Parsed::Known(record),
        Err(error) => Parsed::Malformed(error.to_string()),
    }
}

fn is_known(value: &Value) -> bool {
    match value["kind"].as_str() {
        Some("change") => value["action"]["action"].as_str().is_none_or(|it| ACTIONS.contains(&it)),
        Some("snapshot") => value["format"] == fold::FORMAT,
        _ => false,
    }
}

//! Conversions of the outcomes of configuration changes into results for operators.

use cuminward_config::{fold::Outcome, history, target::Modification};

use crate::{proto, server::Receipt, status::Error};

/// Returns the result of a change for the operator.
///
/// # Errors
///
/// The change was not applied: another one came first, it is invalid, or its record was skipped.
pub fn to_result(outcome: Outcome) -> Result<Receipt, Error> {
    match outcome {
        Outcome::Accepted { revision } => Ok(Receipt { revision, repeated: false }),
        Outcome::Repeated { first, .. } => {
            to_result(*first).map(|it| Receipt { repeated: true, ..it })
        }
        Outcome::Conflict { with: Modification { revision, change, operator, .. } } => {
            Err(Error::Conflict { revision, change, operator })
        }
        Outcome::Invalid { reason } => Err(Error::Invalid(reason)),
        Outcome::Skipped { .. } => Err(Error::Other("the record isn't a change".to_owned())),
    }
}

/// Converts an entry of the history into its message.
pub fn to_history_entry(entry: &history::Entry) -> proto::HistoryEntry {
    let (verdict, reason) = match to_result(entry.outcome.clone()) {
        Ok(_) => (proto::Verdict::Accepted, String::new()),
        Err(error @ Error::Conflict { .. }) => (proto::Verdict::Conflict, error.to_string()),
        Err(Error::Invalid(reason)) => (proto::Verdict::Invalid, reason),
        Err(error) => (proto::Verdict::Unspecified, error.to_string()),
    };
    proto::HistoryEntry {
        revision: entry.offset + 1,
        change: entry.change.clone(),
        operator: entry.operator.clone(),
        action: entry.action.clone(),
        target: entry.target.clone(),
        verdict: verdict.into(),
        reason,
    }
}

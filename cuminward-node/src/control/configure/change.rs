//! Appends operators' changes to the log and returns their outcome.

use std::time::Duration;

use cuminward_config::{fold, record};
use cuminward_core::{change, id};
use cuminward_operator::{outcome, server, status};
use cuminward_platform::{call, journal};

use crate::state;

/// Maximum time that an operator's call waits until its record was read back from the log.
const READ_BACK: Duration = Duration::from_secs(5);

/// Appends a change to the log and waits until it is in force on this node or certainly rejected.
///
/// # Errors
///
/// [`status::Error::Conflict`], [`status::Error::Invalid`] or [`status::Error::Unavailable`] if the
/// change is certainly not in force; [`status::Error::OutcomeUnknown`] if it may be.
pub async fn run(
    state: &state::State,
    change: change::Record,
) -> Result<server::Receipt, status::Error> {
    if let Some(known) = final_outcome(state, &change)? {
        return outcome::to_result(known);
    }
    let stream = journal::Stream::new(&state.settings.platform.log, record::STREAM);
    let until = match stream.append(&record::from_change(change.clone())).await {
        Ok(offset) => Some(offset + 1),
        Err(call::Error::Unknown(_)) => None,
        Err(error) => return Err(status::Error::Unavailable(error.to_string())),
    };
    let folded = tokio::time::timeout(READ_BACK, wait_for_outcome(state, &change, until)).await;
    match folded.ok().flatten() {
        Some(folded) => outcome::to_result(folded),
        None => {
            Err(status::Error::OutcomeUnknown("the change was not read back in time".to_owned()))
        }
    }
}

/// Returns the outcome of a change if no record after this node's revision can alter it.
///
/// # Errors
///
/// [`status::Error::Unavailable`] if there is no configuration yet.
fn final_outcome(
    state: &state::State,
    change: &change::Record,
) -> Result<Option<fold::Outcome>, status::Error> {
    let follow = state.config.follow();
    match follow.fold().filter(|_| follow.is_ready()) {
        Some(fold) => Ok(fold.final_outcome(change)),
        None => Err(status::Error::Unavailable("there is no configuration yet".to_owned())),
    }
}

/// Waits until a change is folded and returns its outcome; `None` if the revision reached `until`
/// without it.
async fn wait_for_outcome(
    state: &state::State,
    change: &change::Record,
    until: Option<id::Revision>,
) -> Option<fold::Outcome> {
    let mut revision = state.revision.subscribe();
    loop {
        let reached = *revision.borrow_and_update();
        let folded = state.config.follow().fold().and_then(|it| it.recorded_outcome(change));
        if folded.is_some() || until.is_some_and(|it| it <= reached) {
            return folded;
        }
        if revision.changed().await.is_err() {
            return None;
        }
    }
}

//! Appends operators' changes to the log and answers with what became of them.

use std::time::Duration;

use cuminward_config::{fold, record};
use cuminward_core::{change, id};
use cuminward_operator::{outcome, server, status};
use cuminward_platform::{call, journal};

use crate::state;

/// Time that an operator's call waits until its record was read back.
const READ_BACK: Duration = Duration::from_secs(5);

/// Appends a change and waits until it is in force here, or provably never will be.
///
/// # Errors
///
/// [`status::Error::Conflict`], [`status::Error::Invalid`] or [`status::Error::Unavailable`] if the
/// change is provably not in force; [`status::Error::OutcomeUnknown`] if it may be.
pub async fn run(
    state: &state::State,
    change: change::Record,
) -> Result<server::Receipt, status::Error> {
    if let Some(known) = foresee(state, &change)? {
        return outcome::to_result(known);
    }
    let stream = journal::Stream::new(&state.settings.platform.log, record::STREAM);
    let until = match stream.append(&record::from_change(change.clone())).await {
        Ok(offset) => Some(offset + 1),
        Err(call::Error::Unknown(_)) => None,
        Err(error) => return Err(status::Error::Unavailable(error.to_string())),
    };
    let folded = tokio::time::timeout(READ_BACK, resolved(state, &change, until)).await;
    match folded.ok().flatten() {
        Some(folded) => outcome::to_result(folded),
        None => {
            Err(status::Error::OutcomeUnknown("the change was not read back in time".to_owned()))
        }
    }
}

/// What becomes of a change whatever the log holds after this node's revision, if that is known.
fn foresee(
    state: &state::State,
    change: &change::Record,
) -> Result<Option<fold::Outcome>, status::Error> {
    let follow = state.config.follow();
    match follow.fold().filter(|_| follow.is_ready()) {
        Some(fold) => Ok(fold.final_outcome(change)),
        None => Err(status::Error::Unavailable("there is no configuration yet".to_owned())),
    }
}

/// Waits until a change is folded; `None` if it was not although the revision reached `until`.
async fn resolved(
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

//! Events that calls and generations have in common.

use cuminward_core::outcome::{Outcome, Refusal};
use cuminward_event::kind::Kind;

/// Returns the event of a refused request: `RequestRefused` if it certainly didn't run, otherwise
/// `RequestUnknown`.
pub fn refusal_event(refusal: &Refusal) -> Kind {
    let (cause, message) = (refusal.cause.as_str().to_owned(), refusal.message.clone());
    match refusal.outcome {
        Outcome::NotRun => Kind::RequestRefused { cause, message },
        Outcome::Complete | Outcome::Unknown => Kind::RequestUnknown { cause, message },
    }
}

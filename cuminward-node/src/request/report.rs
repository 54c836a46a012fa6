//! Events that all requests have in common.

use cuminward_core::outcome::{Outcome, Refusal};
use cuminward_event::kind::Kind;

/// The event of a refused request, by what is known about its execution.
pub fn refused(refusal: &Refusal) -> Kind {
    let (cause, message) = (refusal.cause.as_str().to_owned(), refusal.message.clone());
    match refusal.outcome {
        Outcome::NotRun => Kind::RequestRefused { cause, message },
        Outcome::Complete | Outcome::Unknown => Kind::RequestUnknown { cause, message },
    }
}

//! Requests that a stale connection has lost: whether they are sent again to the same upstream.
//!
//! An upstream may drop idle connections without notice, and whatever is sent next on one of them is reset. The request
//! most probably didn't run, but nothing proves that: the upstream may have crashed on it. So only a request that may be
//! repeated is sent again. It runs at no further host, but it may be a second arrival, so that it needs all that allows
//! another request to the upstream, and a retry of the budget.

use super::{context::Context, slot, slot::Slot};
use crate::state::{State, routing::Upstream};

/// Returns whether a request may be sent once more to the upstream of a slot, and counts it there and as a retry.
pub(super) async fn is_allowed(state: &State, context: &Context, slot: &Slot) -> bool {
    let (upstream, service) = (&slot.upstream, &context.service);
    let may_run_again = context.route.retry.is_retryable()
        && !context.remaining().is_zero()
        && !state.quarantine.blocks(state.now(), &context.subjects);
    if !may_run_again || !is_routable(state, context, upstream) {
        return false;
    }
    if !slot::take_permits(upstream, state.now()) {
        return false;
    }
    let Some(grant) = state.try_retry(service).await else { return false };
    state.record_retry_sent(service, grant).await
}

/// Returns whether new requests may still be sent to an upstream.
fn is_routable(state: &State, context: &Context, upstream: &Upstream) -> bool {
    let snapshot = state.routing.load();
    let upstreams = snapshot.upstreams(&context.service, context.meta.model.as_deref());
    upstreams.iter().any(|it| it.key == upstream.key)
}

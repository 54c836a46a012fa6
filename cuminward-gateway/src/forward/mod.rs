//! Request path: admits a request, forwards it to an upstream and returns the response.

mod admit;
mod attempts;
mod backlog;
pub(crate) mod choice;
mod context;
mod crash;
mod exchange;
pub(crate) mod preview;
pub(crate) mod reply;
mod report;
mod resend;
mod resumable;
pub(crate) mod slot;
mod stall;
mod stream;
mod unary;
pub(crate) mod upload;

use std::sync::Arc;

use bytes::Bytes;
use cuminward_serving::request;
use http::{Request, Response, StatusCode};
use tokio::time;

use crate::state::State;
use context::Context;
use reply::Body;

/// Handles a request of a caller. Returns 504 or 503 at the deadline, depending on whether the request
/// may have been executed.
pub(crate) async fn handle<B>(
    state: Arc<State>,
    request: Request<B>,
    meta: request::Meta,
) -> Response<Body>
where
    B: http_body::Body<Data = Bytes, Error = upload::Error>,
{
    state.record_traffic();
    let id = meta.id.clone();
    let context = match admit::admit(&state, request, meta).await {
        Ok(it) => Arc::new(it),
        Err(rejection) => {
            report::record_denial(&state, id.as_deref(), &rejection);
            return reply::reject(&rejection, id.as_deref());
        }
    };
    let response = time::timeout_at(context.deadline, dispatch(&state, &context)).await;
    response.unwrap_or_else(|_| {
        let status = if context.may_have_run() {
            StatusCode::GATEWAY_TIMEOUT
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        report::record_rejection(&state, &context, status, "deadline exceeded", 0);
        reply::reject(&reply::Rejection::new(status), context.meta.id.as_deref())
    })
}

/// Handles the request as a stream or with a single response, as its route configures.
async fn dispatch(state: &Arc<State>, context: &Arc<Context>) -> Response<Body> {
    if context.route.retry.is_stream() {
        stream::run(state, context).await
    } else {
        unary::run(state, context).await
    }
}

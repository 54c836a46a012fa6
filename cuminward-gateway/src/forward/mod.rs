//! The path of a request: admitted, sent to an upstream, answered.

mod admit;
mod call;
mod exchange;
mod job;
pub(crate) mod reply;
mod report;
pub(crate) mod slot;
mod source;
mod stream;

use std::sync::Arc;

use cuminward_adapter::header;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::time;

use crate::state::State;
use job::Job;
use reply::Body;

/// Answers a request.
pub(crate) async fn handle(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    state.record_traffic();
    let meta = header::read_request(request.headers());
    let id = meta.id.clone();
    let job = match admit::admit(&state, request, meta).await {
        Ok(it) => Arc::new(it),
        Err(denial) => {
            report::denied(&state, id.as_deref(), &denial);
            return reply::refuse(&denial, id.as_deref());
        }
    };
    let answered = time::timeout_at(job.limit, answer(&state, &job)).await;
    answered.unwrap_or_else(|_| {
        let status = if job.may_have_run() {
            StatusCode::GATEWAY_TIMEOUT
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        report::rejected(&state, &job, status, "its time is up", 0);
        reply::refuse(&reply::Denial::of(status), job.meta.id.as_deref())
    })
}

async fn answer(state: &Arc<State>, job: &Arc<Job>) -> Response<Body> {
    if job.route.retry.is_stream() {
        stream::run(state, job).await
    } else {
        call::run(state, job).await
    }
}

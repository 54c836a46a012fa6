//! HTTP routes for callers.

use axum::{
    Router,
    extract::{Path, Request, State},
    response::{IntoResponse, Response},
    routing::{any, get, post},
};
use cuminward_core::{
    id,
    outcome::{Cause, Refusal},
};
use http::{HeaderMap, StatusCode};

use crate::{
    api::{self, Kind},
    auth, backend, body, failure, generate, plain, relay,
};

/// Options of the routes.
#[derive(Debug, Clone)]
pub struct Options {
    /// Limits of a request body.
    pub body: body::Options,
    /// Credentials of relayed requests.
    pub relay: auth::Relay,
}

/// Creates the routes on top of a backend.
pub fn build<B: backend::Backend>(backend: B, options: Options) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(chat::<B>))
        .route("/v1/completions", post(text::<B>))
        .route("/v1/models", get(models::<B>))
        .route("/v1/idempotency-keys", post(issue_key::<B>))
        .route("/services/{service}", any(service_root::<B>))
        .route("/services/{service}/", any(service_root::<B>))
        .route("/services/{service}/{*path}", any(service::<B>))
        .route(relay::PATH, post(relayed::<B>))
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(readiness::<B>))
        .route("/metrics", get(metrics::<B>))
        .fallback(unknown_route)
        .method_not_allowed_fallback(wrong_method)
        .with_state(Shared { backend, options })
}

/// State that the handlers of all routes share.
#[derive(Clone)]
struct Shared<B> {
    backend: B,
    options: Options,
}

impl<B: backend::Backend> Shared<B> {
    /// Authenticates a request and returns its context.
    fn context(&self, request: &str, headers: &HeaderMap) -> Result<backend::Context, Refusal> {
        auth::context(&self.backend, &self.options.relay, request.to_owned(), headers)
    }

    async fn generate(self, kind: Kind, request: Request) -> Response {
        let id = new_id();
        let (parts, body) = request.into_parts();
        let response = async {
            let context = self.context(&id, &parts.headers)?;
            let body = body::read(body, self.options.body).await?;
            generate::handle(&self.backend, kind, context, &body).await
        };
        response.await.unwrap_or_else(|refusal| refuse(id, refusal))
    }

    async fn relayed(self, request: Request) -> Response {
        let id = new_id();
        let (parts, body) = request.into_parts();
        let response = async {
            let context = self.context(&id, &parts.headers)?;
            let body = body::read(body, self.options.body).await?;
            relay::handle(&self.backend, context, &body).await
        };
        response.await.unwrap_or_else(|refusal| refuse(id, refusal))
    }

    async fn call(self, service: id::Service, request: Request) -> Response {
        let id = new_id();
        let (parts, body) = request.into_parts();
        let response = async {
            let context = self.context(&id, &parts.headers)?;
            let body = body::read(body, self.options.body).await?;
            let parts = plain::Parts {
                method: parts.method,
                uri: parts.uri,
                headers: parts.headers,
                service,
            };
            plain::handle(&self.backend, context, parts, body).await
        };
        response.await.unwrap_or_else(|refusal| refuse(id, refusal))
    }
}

async fn chat<B: backend::Backend>(State(it): State<Shared<B>>, request: Request) -> Response {
    it.generate(Kind::Chat, request).await
}

async fn relayed<B: backend::Backend>(State(it): State<Shared<B>>, request: Request) -> Response {
    it.relayed(request).await
}

async fn text<B: backend::Backend>(State(it): State<Shared<B>>, request: Request) -> Response {
    it.generate(Kind::Text, request).await
}

async fn service_root<B: backend::Backend>(
    State(it): State<Shared<B>>,
    Path(service): Path<id::Service>,
    request: Request,
) -> Response {
    it.call(service, request).await
}

async fn service<B: backend::Backend>(
    State(it): State<Shared<B>>,
    Path((service, _path)): Path<(id::Service, String)>,
    request: Request,
) -> Response {
    it.call(service, request).await
}

async fn models<B: backend::Backend>(State(it): State<Shared<B>>, headers: HeaderMap) -> Response {
    let id = new_id();
    let context = match it.context(&id, &headers) {
        Ok(context) => context,
        Err(refusal) => return refuse(id, refusal),
    };
    let data = it.backend.models(&context.team).into_iter().map(|id| api::Model {
        id,
        object: "model",
        owned_by: "cuminward",
    });
    let mut response =
        axum::Json(api::Models { object: "list", data: data.collect() }).into_response();
    failure::set_headers(&mut response, &id, cuminward_core::outcome::Outcome::Complete);
    response
}

async fn issue_key<B: backend::Backend>(
    State(it): State<Shared<B>>,
    headers: HeaderMap,
) -> Response {
    let id = new_id();
    let issued = it.context(&id, &headers).and_then(|context| it.backend.mint(&context.team));
    let key = match issued {
        Ok(key) => key,
        Err(refusal) => return refuse(id, refusal),
    };
    let body = axum::Json(api::Key { object: "idempotency_key", key });
    let mut response = (StatusCode::CREATED, body).into_response();
    failure::set_headers(&mut response, &id, cuminward_core::outcome::Outcome::Complete);
    response
}

async fn readiness<B: backend::Backend>(State(it): State<Shared<B>>) -> Response {
    match it.backend.ready() {
        Ok(()) => "ready\n".into_response(),
        Err(reason) => {
            (StatusCode::SERVICE_UNAVAILABLE, format!("not ready: {reason}\n")).into_response()
        }
    }
}

async fn metrics<B: backend::Backend>(State(it): State<Shared<B>>) -> String {
    it.backend.metrics()
}

async fn unknown_route() -> Response {
    refuse(new_id(), Refusal::not_run(Cause::NotFound, "there is no such route"))
}

async fn wrong_method() -> Response {
    let refusal = Refusal::not_run(Cause::InvalidRequest, "the route doesn't take this method");
    let mut response = refuse(new_id(), refusal);
    *response.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
    response
}

/// Returns the error response of a refused request.
fn refuse(request: id::Request, refusal: Refusal) -> Response {
    failure::Failure { request, refusal }.into_response()
}

/// Returns a new request id: a UUID of version 7 in hexadecimal.
fn new_id() -> id::Request {
    uuid::Uuid::now_v7().simple().to_string()
}

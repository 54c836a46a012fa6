//! Names of the HTTP headers that cuminward reads and sets.

use http::HeaderName;

/// Id of the request; set on every response.
pub const REQUEST: HeaderName = HeaderName::from_static("cuminward-request");
/// Outcome of the request: `complete`, `not-run` or `unknown`; set on every response. A streamed
/// response has the outcome as a trailer, and as `cuminward_outcome` in its last event.
pub const OUTCOME: HeaderName = HeaderName::from_static("cuminward-outcome");
/// Time within which the caller wants the first token, or the response of a plain service, in
/// milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("cuminward-deadline-ms");
/// Priority among the requests of the team, -100 to 100; requests with a higher priority are served first.
pub const PRIORITY: HeaderName = HeaderName::from_static("cuminward-priority");
/// Key under which a non-idempotent call runs at most once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Set to `true` on a response that was recorded for an earlier call with the same idempotency key.
pub const REPLAYED: HeaderName = HeaderName::from_static("cuminward-replayed");
/// Node that relays the request from another failure domain; trusted only with the nodes' secret.
pub const RELAY: HeaderName = HeaderName::from_static("cuminward-relay");
/// Team of a relayed request; trusted only with the nodes' secret.
pub const TEAM: HeaderName = HeaderName::from_static("cuminward-team");

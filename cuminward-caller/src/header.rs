//! Names of the headers that cuminward reads and sets.

use http::HeaderName;

/// Id of the request; set on every answer.
pub const REQUEST: HeaderName = HeaderName::from_static("cuminward-request");
/// What became of the request: `complete`, `not-run` or `unknown`; set on every answer. A streamed
/// answer has it as a trailer, and as `cuminward_outcome` in its last event.
pub const OUTCOME: HeaderName = HeaderName::from_static("cuminward-outcome");
/// Milliseconds within which the caller wants the first token or the answer.
pub const DEADLINE: HeaderName = HeaderName::from_static("cuminward-deadline-ms");
/// Priority among the requests of the team, -100 to 100; larger goes first.
pub const PRIORITY: HeaderName = HeaderName::from_static("cuminward-priority");
/// Key under which a non-idempotent call runs at most once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Set to `true` on an answer that an earlier call with the same idempotency key got.
pub const REPLAYED: HeaderName = HeaderName::from_static("cuminward-replayed");
/// Node that relays the request from another failure domain; only trusted between nodes.
pub const RELAY: HeaderName = HeaderName::from_static("cuminward-relay");
/// Team of a relayed request; only trusted between nodes.
pub const TEAM: HeaderName = HeaderName::from_static("cuminward-team");

//! Bounds on the configuration and its state.
//!
//! All nodes must use the same bounds: nodes with different ones would accept different changes,
//! and their states would diverge.

use std::time::Duration;

/// Number of changes whose ids are kept for deduplication: one day of changes at the target size.
pub const WINDOW: usize = 2_200;

/// Number of recent changes that are kept with their details.
pub const HISTORY: usize = 256;

/// Number of records of unknown kinds that are kept.
pub const UNKNOWN: usize = 64;

/// Largest size of the catalog and the last change of each target together, in bytes.
///
/// The bounds in bytes add up to less than the log's record limit (1 MiB), so that a snapshot of
/// the state always fits into one record.
pub const STATE_BYTES: usize = 544 * 1024;

/// Largest size of the deduplication window, which holds change ids and outcomes, in bytes.
pub const WINDOW_BYTES: usize = 288 * 1024;

/// Largest size of the recent changes with their details, in bytes.
pub const HISTORY_BYTES: usize = 96 * 1024;

/// Largest size of the records of unknown kinds, in bytes.
pub const UNKNOWN_BYTES: usize = 32 * 1024;

/// Length to which reasons and targets are truncated in the state, in bytes.
pub const TEXT_BYTES: usize = 200;

/// Number of removed targets whose last change is kept.
pub const TOMBSTONES: usize = 256;

/// Largest number of model services and plain services together.
pub const SERVICES: usize = 500;

/// Largest number of teams.
pub const TEAMS: usize = 500;

/// Largest number of failure domains.
pub const DOMAINS: usize = 64;

/// Largest number of hosts with declared traits; also the largest number of drained hosts.
pub const HOSTS: usize = 3_000;

/// Largest length of a name or id, in bytes.
pub const NAME_BYTES: usize = 64;

/// Largest number of versions of a model that are served at the same time.
pub const VERSIONS: usize = 8;

/// Largest number of keys of a team.
pub const KEYS: usize = 16;

/// Largest number of hosts of a replica.
pub const HOSTS_PER_REPLICA: u32 = 64;

/// Largest number of replicas of a version in a failure domain.
pub const REPLICAS: u32 = 1_000;

/// Largest number of requests that an upstream may run at the same time.
pub const SLOTS: u32 = 10_000;

/// Longest warm-up of an upstream.
pub const WARM_UP: Duration = Duration::from_secs(86_400);

/// Longest timeout of a call to a plain service.
pub const TIMEOUT: Duration = Duration::from_secs(3_600);

/// Truncates a text to at most [`TEXT_BYTES`], at a character boundary.
pub(crate) fn truncate(mut text: String) -> String {
    let end = text.floor_char_boundary(TEXT_BYTES);
    text.truncate(end);
    text
}

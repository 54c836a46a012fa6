//! Bounds of the folded state.
//!
//! The bounds are part of the fold: nodes with other bounds would accept other changes.

use std::time::Duration;

/// Changes whose ids are remembered to recognise repetitions; a day of changes at the target size.
pub const WINDOW: usize = 2_200;

/// Recent changes that are kept with their details.
pub const HISTORY: usize = 256;

/// Records of unknown kinds that are kept.
pub const UNKNOWN: usize = 64;

/// Largest size of the catalog and of the last changes of its targets, in bytes.
///
/// The bounds in bytes add up to less than the largest record of the log (1 MiB), so that a snapshot
/// of the state always fits.
pub const STATE_BYTES: usize = 544 * 1024;

/// Largest size of the remembered change ids with their outcomes, in bytes.
pub const WINDOW_BYTES: usize = 288 * 1024;

/// Largest size of the recent changes with their details, in bytes.
pub const HISTORY_BYTES: usize = 96 * 1024;

/// Largest size of the records of unknown kinds, in bytes.
pub const UNKNOWN_BYTES: usize = 32 * 1024;

/// Largest size of a reason or target in the state, in bytes.
pub const TEXT_BYTES: usize = 200;

/// Removed targets whose last change is remembered.
pub const TOMBSTONES: usize = 256;

/// Largest number of services, model and plain together.
pub const SERVICES: usize = 500;

/// Largest number of teams.
pub const TEAMS: usize = 500;

/// Largest number of failure domains.
pub const DOMAINS: usize = 64;

/// Largest number of hosts with declared traits, and of drained hosts.
pub const HOSTS: usize = 3_000;

/// Largest number of bytes of a name or id.
pub const NAME_BYTES: usize = 64;

/// Largest number of versions of a model in force at the same time.
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

/// Longest time that a call of a plain service may take.
pub const TIMEOUT: Duration = Duration::from_secs(3_600);

/// Cuts a text at [`TEXT_BYTES`].
pub(crate) fn text(mut text: String) -> String {
    let end = text.floor_char_boundary(TEXT_BYTES);
    text.truncate(end);
    text
}

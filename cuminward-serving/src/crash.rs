//! Quarantine of requests that crash the hosts that run them.
//!
//! Every node counts the crashes that it saw for a request fingerprint and sends the counts to the
//! other nodes. A request whose fingerprint has crashed too many hosts isn't forwarded until
//! its crashes have expired.

use std::{collections::HashMap, time::Duration};

use xxhash_rust::xxh3::Xxh3;

/// Hash of the parts of a request that stay the same when a caller sends it again.
pub type Fingerprint = u64;

/// Number of crashes from which a request is quarantined.
pub const QUARANTINE_THRESHOLD: u32 = 2;

/// Time after the last crash for which the crashes of a fingerprint count.
const RETENTION: Duration = Duration::from_secs(60);

/// Number of fingerprints from which expired ones are removed before another is added.
const MAX_ENTRIES: usize = 1024;

/// Crashes by request fingerprint.
#[derive(Debug, Clone, Default)]
pub struct Tracker {
    entries: HashMap<Fingerprint, Entry>,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    /// Crashes that this node saw.
    own: u32,
    /// Crashes that the other nodes saw.
    others: u32,
    /// When either of the counts last increased.
    updated_at: Duration,
}

/// Returns the hash of the path, the caller's key and the body of a request.
pub fn fingerprint(path: &str, key: &str, body: &[u8]) -> Fingerprint {
    let mut hash = Xxh3::new();
    for part in [path.as_bytes(), key.as_bytes(), body] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}

/// Access
impl Tracker {
    /// Returns whether a request has crashed too many hosts.
    pub fn is_quarantined(&self, now: Duration, fingerprint: Fingerprint) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|it| it.is_fresh(now) && it.own + it.others >= QUARANTINE_THRESHOLD)
    }

    /// Returns the crashes that this node saw, to be sent to other nodes.
    pub fn own_counts(&self, now: Duration) -> impl Iterator<Item = (Fingerprint, u32)> {
        let fresh = self.entries.iter().filter(move |(_, it)| it.own > 0 && it.is_fresh(now));
        fresh.map(|(fingerprint, it)| (*fingerprint, it.own))
    }
}

/// Mutation
impl Tracker {
    /// Counts a crash that this node saw.
    pub fn record_crash(&mut self, now: Duration, fingerprint: Fingerprint) {
        let entry = self.fresh_entry(now, fingerprint);
        entry.own += 1;
        entry.updated_at = now;
    }

    /// Sets the crashes that the other nodes saw, summed over all of them. A sum that is not higher
    /// than the known one is ignored.
    pub fn set_peer_count(&mut self, now: Duration, fingerprint: Fingerprint, count: u32) {
        let entry = self.fresh_entry(now, fingerprint);
        if count > entry.others {
            entry.others = count;
            entry.updated_at = now;
        }
    }

    /// Returns the entry of a fingerprint, emptied if its crashes no longer count.
    fn fresh_entry(&mut self, now: Duration, fingerprint: Fingerprint) -> &mut Entry {
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.retain(|_, it| it.is_fresh(now));
        }
        let fresh = Entry { own: 0, others: 0, updated_at: now };
        let entry = self.entries.entry(fingerprint).or_insert(fresh);
        if !entry.is_fresh(now) {
            *entry = fresh;
        }
        entry
    }
}

impl Entry {
    fn is_fresh(&self, now: Duration) -> bool {
        now.saturating_sub(self.updated_at) < RETENTION
    }
}

//! State that results from the records of crashes.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use cuminward_core::id;

use super::{Crash, DEFAULT_ENTRIES, DEFAULT_WINDOW, Fingerprint, Record, Verdict, parse};

/// Identifies a crash by the upstream and the incarnation that crashed.
type CrashId = (String, id::Incarnation);

/// Suspected and refused requests, computed from the records of all nodes.
#[derive(Debug, Clone)]
pub struct Ledger {
    /// Time for which a crash is kept.
    window: Duration,
    /// Limit of the fingerprints.
    entries: usize,
    suspects: HashMap<Fingerprint, Suspect>,
    isolated: HashMap<CrashId, Isolated>,
}

/// State of one fingerprint.
#[derive(Debug, Clone)]
struct Suspect {
    /// When the entry expires.
    until: Duration,
    /// Crashes that happened while the request was isolated there.
    isolated_crashes: HashSet<CrashId>,
    cleared: bool,
}

/// Suspects of all nodes that were isolated on an upstream when it crashed.
#[derive(Debug, Clone)]
struct Isolated {
    until: Duration,
    suspects: HashSet<Fingerprint>,
}

impl Default for Ledger {
    fn default() -> Ledger {
        Ledger::new(DEFAULT_WINDOW, DEFAULT_ENTRIES)
    }
}

/// Life cycle
impl Ledger {
    /// Creates an empty ledger that keeps at most `entries` fingerprints, each for `window`.
    pub fn new(window: Duration, entries: usize) -> Ledger {
        Ledger { window, entries, suspects: HashMap::new(), isolated: HashMap::new() }
    }
}

/// Access
impl Ledger {
    /// Returns the verdict on a request.
    pub fn verdict(&self, now: Duration, fingerprint: Fingerprint) -> Verdict {
        let Some(it) = self.suspects.get(&fingerprint) else { return Verdict::Clear };
        if it.until <= now {
            return Verdict::Clear;
        }
        if it.isolated_crashes.iter().any(|it| self.had_single_suspect(it)) {
            return Verdict::Refused;
        }
        if it.cleared { Verdict::Clear } else { Verdict::Suspect }
    }

    /// Returns the fingerprints that are refused now.
    pub fn refused(&self, now: Duration) -> impl Iterator<Item = Fingerprint> {
        let known = self.suspects.keys().copied();
        known.filter(move |&it| self.verdict(now, it) == Verdict::Refused)
    }

    /// Returns whether only one suspect was isolated on an upstream when it crashed.
    fn had_single_suspect(&self, crash: &CrashId) -> bool {
        self.isolated.get(crash).is_some_and(|it| it.suspects.len() == 1)
    }
}

/// Mutation
impl Ledger {
    /// Applies a record that was appended `age` ago.
    pub fn apply(&mut self, now: Duration, age: Duration, record: &Record) {
        let Some(remaining) = self.window.checked_sub(age) else { return };
        match record {
            Record::Crashed(it) => self.apply_crash(now + remaining, it),
            Record::Cleared { fingerprint } => self.clear(fingerprint),
        }
        self.expire(now);
    }

    /// Removes entries older than the window. If there are still too many, removes those without a
    /// crash in isolation first, and the oldest first among equals.
    pub fn expire(&mut self, now: Duration) {
        self.suspects.retain(|_, it| it.until > now);
        self.isolated.retain(|_, it| it.until > now);
        let excess = self.suspects.len().saturating_sub(self.entries);
        if excess == 0 {
            return;
        }
        let retention = |it: &Suspect| (!it.isolated_crashes.is_empty(), it.until);
        let mut ranked: Vec<_> =
            self.suspects.iter().map(|(id, it)| (retention(it), *id)).collect();
        ranked.sort_unstable();
        for (_, id) in &ranked[..excess] {
            self.suspects.remove(id);
        }
    }

    /// Makes the requests in flight at a crash suspects until `until`.
    fn apply_crash(&mut self, until: Duration, crash: &Crash) {
        for id in crash.suspects.iter().filter_map(|it| parse(it)) {
            let suspect = self.suspect_mut(id, until);
            suspect.cleared = false;
        }
        let Some(id) = crash.isolated.as_deref().and_then(parse) else { return };
        let crash_id = (crash.upstream.clone(), crash.incarnation);
        self.suspect_mut(id, until).isolated_crashes.insert(crash_id.clone());
        let new = Isolated { until, suspects: HashSet::new() };
        let isolated = self.isolated.entry(crash_id).or_insert(new);
        isolated.until = isolated.until.max(until);
        isolated.suspects.insert(id);
    }

    /// Clears a suspect; later crashes may make the request a suspect again.
    fn clear(&mut self, fingerprint: &str) {
        let known = parse(fingerprint).and_then(|it| self.suspects.get_mut(&it));
        if let Some(it) = known {
            it.cleared = true;
        }
    }

    /// Returns the entry of a fingerprint, created if missing and kept at least until `until`.
    fn suspect_mut(&mut self, id: Fingerprint, until: Duration) -> &mut Suspect {
        let new = || Suspect { until, isolated_crashes: HashSet::new(), cleared: false };
        let suspect = self.suspects.entry(id).or_insert_with(new);
        suspect.until = suspect.until.max(until);
        suspect
    }
}

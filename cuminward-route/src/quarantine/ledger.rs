//! The fold of the records about crashes.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use cuminward_core::id;

use super::{Crash, DEFAULT_ENTRIES, DEFAULT_WINDOW, Fingerprint, Record, Verdict, parse};

/// One start of an upstream that ended in a crash.
type Start = (String, id::Incarnation);

/// All that is known about requests that crash upstreams.
#[derive(Debug, Clone)]
pub struct Ledger {
    window: Duration,
    entries: usize,
    suspects: HashMap<Fingerprint, Suspicion>,
    isolated: HashMap<Start, Isolated>,
}

/// What is known about one fingerprint.
#[derive(Debug, Clone)]
struct Suspicion {
    until: Duration,
    /// Starts that crashed while the request was isolated there.
    alone: HashSet<Start>,
    cleared: bool,
}

/// Suspects that were isolated at one start of an upstream.
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
    /// Makes an empty ledger that remembers at most `entries` fingerprints, each for `window`.
    pub fn new(window: Duration, entries: usize) -> Ledger {
        Ledger { window, entries, suspects: HashMap::new(), isolated: HashMap::new() }
    }
}

/// Access
impl Ledger {
    /// What may be done with a request.
    pub fn verdict(&self, now: Duration, fingerprint: Fingerprint) -> Verdict {
        let Some(it) = self.suspects.get(&fingerprint) else { return Verdict::Clear };
        if it.until <= now {
            return Verdict::Clear;
        }
        if it.alone.iter().any(|it| self.only(it)) {
            return Verdict::Refused;
        }
        if it.cleared { Verdict::Clear } else { Verdict::Suspect }
    }

    /// Fingerprints that are refused now.
    pub fn refused(&self, now: Duration) -> impl Iterator<Item = Fingerprint> {
        let known = self.suspects.keys().copied();
        known.filter(move |&it| self.verdict(now, it) == Verdict::Refused)
    }

    /// Tells whether only one suspect was isolated at a start of an upstream.
    fn only(&self, start: &Start) -> bool {
        self.isolated.get(start).is_some_and(|it| it.suspects.len() == 1)
    }
}

/// Mutation
impl Ledger {
    /// Takes a record over that was appended `age` ago.
    pub fn apply(&mut self, now: Duration, age: Duration, record: &Record) {
        let Some(rest) = self.window.checked_sub(age) else { return };
        match record {
            Record::Crashed(it) => self.crash(now + rest, it),
            Record::Cleared { fingerprint } => self.clear(fingerprint),
        }
        self.expire(now);
    }

    /// Forgets what is older than the window, and the oldest beyond the bound.
    pub fn expire(&mut self, now: Duration) {
        self.suspects.retain(|_, it| it.until > now);
        self.isolated.retain(|_, it| it.until > now);
        let excess = self.suspects.len().saturating_sub(self.entries);
        if excess == 0 {
            return;
        }
        let rank = |it: &Suspicion| (!it.alone.is_empty(), it.until);
        let mut ranks: Vec<_> = self.suspects.iter().map(|(id, it)| (rank(it), *id)).collect();
        ranks.sort_unstable();
        for (_, id) in &ranks[..excess] {
            self.suspects.remove(id);
        }
    }

    fn crash(&mut self, until: Duration, crash: &Crash) {
        for id in crash.suspects.iter().filter_map(|it| parse(it)) {
            let it = self.suspicion(id, until);
            it.cleared = false;
        }
        let Some(id) = crash.isolated.as_deref().and_then(parse) else { return };
        let start = (crash.upstream.clone(), crash.incarnation);
        self.suspicion(id, until).alone.insert(start.clone());
        let new = Isolated { until, suspects: HashSet::new() };
        let isolated = self.isolated.entry(start).or_insert(new);
        isolated.until = isolated.until.max(until);
        isolated.suspects.insert(id);
    }

    fn clear(&mut self, fingerprint: &str) {
        let known = parse(fingerprint).and_then(|it| self.suspects.get_mut(&it));
        if let Some(it) = known {
            it.cleared = true;
        }
    }

    fn suspicion(&mut self, id: Fingerprint, until: Duration) -> &mut Suspicion {
        let new = || Suspicion { until, alone: HashSet::new(), cleared: false };
        let it = self.suspects.entry(id).or_insert_with(new);
        it.until = it.until.max(until);
        it
    }
}

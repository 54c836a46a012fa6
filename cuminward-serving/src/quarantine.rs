//! Quarantine of what crashing requests have in common.
//!
//! A request may crash each host that begins to respond to it, and other requests that contain the
//! same part of a prompt do so too. All requests in flight at a crash look alike to the nodes, so
//! that one crash tells little. A subject, such as a part of a prompt, is quarantined once it was in
//! flight at several crashes and nothing has shown it to be harmless: no request with it got a
//! response shortly before or at any time after these crashes.
//!
//! A request that a caller sends again is a subject too. If a part was in flight at all its crashes, the part
//! explains them, and not the other way round.
//!
//! Parts that come together in crashing requests can't be told apart at first. Only requests with all of
//! them are quarantined then: one with a single part of them either gets a response, which shows that this
//! part is harmless, or crashes a host without the other parts.
//!
//! Nodes exchange what they saw. A crash has the same id on all nodes, so that it counts once. From the second crash
//! for which a subject is blamed on, its crashes are also stored, so that they outlast all nodes.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fmt,
    time::Duration,
};

use cuminward_derive::{record, value};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{crash, id};

/// Property of a request that may be what crashes hosts.
#[value]
pub enum Subject {
    /// The request itself, when its caller sends it again.
    Request(crash::Fingerprint),
    /// Part of the prompt.
    Part(id::PromptPart),
}

/// Access
impl Subject {
    /// Returns whether the subject is a part of a prompt, which many requests may have.
    fn is_part(self) -> bool {
        matches!(self, Subject::Part(_))
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Subject::Request(fingerprint) => write!(f, "request:{fingerprint}"),
            Subject::Part(id) => write!(f, "part:{id:x}"),
        }
    }
}

/// A crash of a host while a request with a subject was in flight there, as nodes tell each other.
#[serde_as]
#[record]
pub struct Sighting {
    /// Subject of the request.
    pub subject: Subject,
    /// The crash.
    pub crash: id::Crash,
    /// Time since the crash.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// Other parts that all suspect requests with the subject have had.
    pub companions: BTreeSet<Subject>,
}

/// A request with a subject that got a response, as nodes tell each other.
#[serde_as]
#[record]
pub struct Proof {
    /// Subject of the request.
    pub subject: Subject,
    /// Time since the response.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}

/// Number of events of a response from which on its request is known not to crash hosts. A request
/// that does so crashes them as they begin to respond.
pub const HARMLESS_EVENTS: u64 = 4;

/// Number of crashes from which a subject is quarantined.
pub const THRESHOLD: usize = 3;

/// Number of crashes from which those of a subject are stored: most subjects are in flight at one crash only.
pub const STORED_FROM: usize = 2;

/// Time between two crashes below which they count as one: hosts that lose power together were not
/// crashed by requests.
const MIN_INTERVAL: Duration = Duration::from_millis(20);

/// Number of crashes since the last response from which they count although the response is valid. A
/// new version of a model may crash where the old one didn't.
const REFUTING_CRASHES: usize = 5;

/// Time for which a response shows that later crashes have another cause.
pub const PROOF_VALIDITY: Duration = Duration::from_secs(60);

/// Time after its last crash for which a subject counts as suspect.
const SUSPICION: Duration = Duration::from_secs(60);

/// Time after its last crash for which a subject is quarantined.
pub const QUARANTINE: Duration = Duration::from_secs(600);

/// What the tracker adds to times since the node's start, so that crashes of before have different times, too. Longer
/// than any crash counts.
const TIME_BEFORE_START: Duration = Duration::from_secs(3600);

/// Largest number of subjects and of crashes of one subject that are kept.
const MAX_SUBJECTS: usize = 256;
const MAX_CRASHES: usize = 8;

/// Largest number of sightings that are sent to other nodes.
const MAX_SENT: usize = 64;

/// Subjects that were in flight at crashes.
#[derive(Debug, Clone, Default)]
pub struct Tracker {
    suspects: HashMap<Subject, Suspect>,
}

#[derive(Debug, Clone, Default)]
struct Suspect {
    crashes: BTreeMap<id::Crash, Crash>,
    /// Other parts that all suspect requests with the subject have had; `None` before the first request.
    companions: Option<BTreeSet<Subject>>,
    /// When a request with the subject last got a response, if one did, with [`TIME_BEFORE_START`] added.
    proven_at: Option<Duration>,
}

#[derive(Debug, Clone, Copy)]
struct Crash {
    /// Time of the crash, with [`TIME_BEFORE_START`] added.
    at: Duration,
    /// Whether this node saw the crash itself.
    is_own: bool,
    /// Whether the crash is stored.
    is_stored: bool,
}

/// Quarantine of a subject.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Quarantine {
    /// When the quarantine ends.
    pub ends_at: Duration,
    /// Parts that a request must have as well to be quarantined.
    pub companions: Vec<Subject>,
}

/// Subjects of which no request may be sent to a host.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Quarantined {
    subjects: BTreeMap<Subject, Quarantine>,
}

/// Access
impl Quarantined {
    /// Returns whether a request with these subjects may not be sent to a host.
    pub fn contains(&self, now: Duration, request: &[Subject]) -> bool {
        let quarantines = request.iter().filter_map(|it| self.subjects.get(it));
        let mut current = quarantines.filter(|it| it.ends_at > now);
        current.any(|it| it.companions.iter().all(|it| request.contains(it)))
    }

    /// Returns whether no subject is quarantined.
    pub fn is_empty(&self) -> bool {
        self.subjects.is_empty()
    }

    /// Iterates over the quarantined subjects.
    pub fn iter(&self) -> impl Iterator<Item = (&Subject, &Quarantine)> {
        self.subjects.iter()
    }

    /// Returns the quarantine of a subject.
    pub fn get(&self, subject: &Subject) -> Option<&Quarantine> {
        self.subjects.get(subject)
    }
}

/// Returns the subjects of a request with these parts of the prompt. The last part belongs to the
/// request alone.
pub fn subjects(fingerprint: crash::Fingerprint, parts: &[id::PromptPart]) -> Vec<Subject> {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let parts = shared.iter().copied().map(Subject::Part);
    std::iter::once(Subject::Request(fingerprint)).chain(parts).collect()
}

/// Access
impl Suspect {
    /// Returns the times of the crashes for which the subject is blamed, and at which `other` wasn't in
    /// flight.
    fn crash_times(&self, other: Option<&Suspect>) -> Vec<Duration> {
        let Some(proven_at) = self.proven_at else { return self.crash_times_after(None, other) };
        let is_refuted = self.crash_times_after(Some(proven_at), None).len() >= REFUTING_CRASHES;
        let start = if is_refuted { proven_at } else { proven_at + PROOF_VALIDITY };
        self.crash_times_after(Some(start), other)
    }

    /// Returns the times of the crashes after `start` at which `other` wasn't in flight.
    fn crash_times_after(&self, start: Option<Duration>, other: Option<&Suspect>) -> Vec<Duration> {
        let is_later = |at: Duration| start.is_none_or(|start| start < at);
        let is_separate = |id| other.is_none_or(|it| !it.crashes.contains_key(id));
        let crashes = self.crashes.iter().filter(|(id, it)| is_later(it.at) && is_separate(*id));
        let mut times: Vec<Duration> = crashes.map(|(_, it)| it.at).collect();
        times.sort_unstable();
        times.dedup_by(|later, earlier| *later - *earlier < MIN_INTERVAL);
        times
    }

    /// Returns the crashes that this node saw and that are to be stored but aren't yet.
    fn unstored(&self) -> impl Iterator<Item = (id::Crash, &Crash)> {
        let crashes = self.crashes.iter().filter(|(_, it)| it.is_own && !it.is_stored);
        let mut crashes = crashes.map(|(id, it)| (*id, it)).peekable();
        let are_blamed = crashes.peek().is_some() && self.crash_times(None).len() >= STORED_FROM;
        crashes.filter(move |_| are_blamed)
    }

    /// Returns whether the subject is or was quarantined.
    fn is_confirmed(&self) -> bool {
        self.crash_times(None).len() >= THRESHOLD
    }

    /// Returns whether a part, rather than this subject, may be what crashes hosts: it was in flight at all
    /// crashes. If the reverse holds as well, a part without a response is blamed before one with a response,
    /// and two others explain each other only if they came together.
    fn is_explained_by(&self, subject: Subject, part: Subject, other: &Suspect) -> bool {
        if !self.was_always_beside(other) {
            return false;
        }
        let is_mutual = subject.is_part() && other.was_always_beside(self);
        match (self.proven_at, other.proven_at) {
            (None, Some(_)) => false,
            (Some(_), None) => true,
            _ => !is_mutual || self.always_has(part),
        }
    }

    /// Returns whether another subject was in flight at all crashes of this one.
    fn was_always_beside(&self, other: &Suspect) -> bool {
        self.crash_times(Some(other)).is_empty()
    }

    /// Returns whether all requests of this suspect have had a part.
    fn always_has(&self, part: Subject) -> bool {
        self.companions.as_ref().is_some_and(|it| it.contains(&part))
    }

    /// Returns a crash of this suspect, which has a subject, as it is told to other nodes.
    fn sighting(&self, now: Duration, subject: Subject, id: id::Crash, crash: &Crash) -> Sighting {
        Sighting {
            subject,
            crash: id,
            age: (now + TIME_BEFORE_START).saturating_sub(crash.at),
            companions: self.companions.clone().unwrap_or_default(),
        }
    }

    /// Returns when the crashes no longer count; zero if there are none since the last response.
    fn expires_at(&self) -> Duration {
        let times = self.crash_times_after(self.proven_at, None);
        let retention = if self.is_confirmed() { QUARANTINE } else { SUSPICION };
        times.last().map_or(Duration::ZERO, |it| *it + retention)
    }
}

/// Access
impl Tracker {
    /// Returns the subjects that are suspect.
    pub fn subjects(&self) -> impl Iterator<Item = Subject> {
        self.suspects.keys().copied()
    }

    /// Returns the quarantined subjects.
    pub fn quarantined(&self, now: Duration) -> Quarantined {
        let now = now + TIME_BEFORE_START;
        let is_current = |it: &Suspect| it.is_confirmed() && it.expires_at() > now;
        let mut current: Vec<(Subject, &Suspect)> = self
            .suspects
            .iter()
            .filter(|(_, it)| is_current(it))
            .map(|(subject, it)| (*subject, it))
            .collect();
        current.sort_unstable_by_key(|(subject, _)| *subject);
        let explains = |(part, it): &(Subject, &Suspect), subject: Subject, suspect: &Suspect| {
            part.is_part() && *part != subject && suspect.is_explained_by(subject, *part, it)
        };
        let quarantine = |subject: Subject, suspect: &Suspect| {
            let explaining = current.iter().filter(|it| explains(it, subject, suspect));
            let companions = explaining.map(|(part, _)| *part).collect();
            let ends_at = suspect.expires_at().saturating_sub(TIME_BEFORE_START);
            Quarantine { ends_at, companions }
        };
        let subjects =
            current.iter().map(|(subject, it)| (*subject, quarantine(*subject, it))).collect();
        Quarantined { subjects }
    }

    /// Returns the sightings to be sent to other nodes: those of this node, and for subjects that are
    /// quarantined those of all nodes, so that they outlast the nodes that saw the crashes.
    pub fn sightings(&self, now: Duration) -> Vec<Sighting> {
        let mut sightings = Vec::new();
        for (subject, suspect) in &self.suspects {
            let is_confirmed = suspect.is_confirmed();
            let sent = suspect.crashes.iter().filter(|(_, it)| it.is_own || is_confirmed);
            sightings.extend(sent.map(|(id, it)| suspect.sighting(now, *subject, *id, it)));
        }
        sightings.sort_by_key(|it| it.age);
        sightings.truncate(MAX_SENT);
        sightings
    }

    /// Returns the crashes that this node saw and that are to be stored but aren't yet.
    pub fn unstored(&self, now: Duration) -> Vec<Sighting> {
        let mut sightings = Vec::new();
        for (subject, suspect) in &self.suspects {
            let unstored = suspect.unstored();
            sightings.extend(unstored.map(|(id, it)| suspect.sighting(now, *subject, id, it)));
        }
        sightings
    }

    /// Returns whether there are any such crashes.
    pub fn has_unstored(&self) -> bool {
        self.suspects.values().any(|it| it.unstored().next().is_some())
    }

    /// Returns whether a subject is suspect, or quarantined, for a crash.
    pub fn is_blamed(&self, subject: Subject, crash: id::Crash) -> bool {
        let suspect = self.suspects.get(&subject);
        suspect
            .is_some_and(|it| it.crashes.contains_key(&crash) && !it.crash_times(None).is_empty())
    }

    /// Returns the number of crashes for which a subject is blamed.
    pub fn crash_count(&self, subject: Subject) -> usize {
        self.suspects.get(&subject).map_or(0, |it| it.crash_times(None).len())
    }
}

/// Mutation
impl Tracker {
    /// Records that a request with these subjects was in flight at a crash that this node saw. Returns
    /// whether a subject wasn't known to have been in flight at it.
    pub fn record_crash(&mut self, at: Duration, request: &[Subject], crash: id::Crash) -> bool {
        let mut is_new = false;
        for subject in request {
            let others = request.iter().filter(|it| it.is_part() && *it != subject);
            let companions = others.copied().collect();
            let at = at + TIME_BEFORE_START;
            let seen = Crash { at, is_own: true, is_stored: false };
            is_new |= self.insert(*subject, crash, seen, &companions);
        }
        is_new
    }

    /// Records a crash that another node saw.
    pub fn record_sighting(&mut self, now: Duration, sighting: &Sighting) {
        let at = (now + TIME_BEFORE_START).saturating_sub(sighting.age);
        let crash = Crash { at, is_own: false, is_stored: false };
        self.insert(sighting.subject, sighting.crash, crash, &sighting.companions);
    }

    /// Records that a crash of a subject is stored.
    pub fn record_stored(&mut self, subject: Subject, crash: id::Crash) {
        let suspect = self.suspects.get_mut(&subject);
        if let Some(crash) = suspect.and_then(|it| it.crashes.get_mut(&crash)) {
            crash.is_stored = true;
        }
    }

    /// Records that the store may have lost what was stored.
    pub fn clear_stored(&mut self) {
        let crashes = self.suspects.values_mut().flat_map(|it| it.crashes.values_mut());
        crashes.for_each(|it| it.is_stored = false);
    }

    /// Records that a request with a subject got a response. Ignored unless the subject is suspect.
    pub fn record_proof(&mut self, at: Duration, subject: Subject) {
        self.prove(at + TIME_BEFORE_START, subject);
    }

    /// Records a response that another node gave. Ignored unless the subject is suspect.
    pub fn record_reported_proof(&mut self, now: Duration, proof: &Proof) {
        self.prove((now + TIME_BEFORE_START).saturating_sub(proof.age), proof.subject);
    }

    fn prove(&mut self, at: Duration, subject: Subject) {
        if let Some(suspect) = self.suspects.get_mut(&subject) {
            suspect.proven_at = suspect.proven_at.max(Some(at));
        }
    }

    /// Removes the subjects that are no longer suspect.
    pub fn expire(&mut self, now: Duration) {
        let now = now + TIME_BEFORE_START;
        self.suspects.retain(|_, it| it.expires_at() > now);
    }

    fn insert(
        &mut self,
        subject: Subject,
        crash: id::Crash,
        new: Crash,
        companions: &BTreeSet<Subject>,
    ) -> bool {
        if self.suspects.len() >= MAX_SUBJECTS && !self.suspects.contains_key(&subject) {
            self.remove_oldest();
        }
        let suspect = self.suspects.entry(subject).or_default();
        let known = suspect.companions.get_or_insert_with(|| companions.clone());
        known.retain(|it| companions.contains(it));
        if let Some(known) = suspect.crashes.get_mut(&crash) {
            known.at = known.at.min(new.at);
            known.is_own |= new.is_own;
            return false;
        }
        suspect.crashes.insert(crash, new);
        if suspect.crashes.len() > MAX_CRASHES {
            let oldest = suspect.crashes.iter().min_by_key(|(_, it)| it.at).map(|it| *it.0);
            oldest.map(|it| suspect.crashes.remove(&it));
        }
        true
    }

    /// Removes the subject that is suspect for the shortest further time.
    fn remove_oldest(&mut self) {
        let oldest = self.suspects.iter().min_by_key(|(_, it)| it.expires_at()).map(|it| *it.0);
        oldest.map(|it| self.suspects.remove(&it));
    }
}

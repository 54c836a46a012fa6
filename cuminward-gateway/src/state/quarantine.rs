//! Quarantine of what crashing requests have in common, as requests and the exchange between nodes use it.

use std::{
    array,
    collections::HashMap,
    hash::{BuildHasher, RandomState},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwap;
use cuminward_derive::record;
use cuminward_serving::{
    id,
    quarantine::{PROOF_VALIDITY, Proof, Quarantined, Sighting, Subject, Tracker},
};
use tokio::sync::{Notify, watch};

/// Number of parts of the table of responses, each with its own lock.
const SHARDS: usize = 16;

/// Number of entries of a part from which expired ones are removed before another is added, and all if none
/// has expired.
const MAX_ENTRIES: usize = 4096;

/// When a request with a subject last got a response from this node.
type Responses = HashMap<Subject, Duration>;

/// What a node tells other nodes about crashing requests.
#[record]
#[derive(Default)]
pub(crate) struct Report {
    /// Subjects that were in flight at crashes.
    pub(crate) sightings: Vec<Sighting>,
    /// Responses that the node gave to requests with subjects that are suspect.
    pub(crate) proofs: Vec<Proof>,
}

/// A subject whose quarantine began or ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Change {
    Began {
        subject: Subject,
        /// Other subjects that a request must have as well to be quarantined.
        companions: Vec<Subject>,
        /// Number of crashes for which the subject is blamed.
        crashes: usize,
    },
    Ended {
        subject: Subject,
    },
}

/// State of the quarantine.
pub(crate) struct Quarantine {
    tracker: Mutex<Tracker>,
    quarantined: ArcSwap<Quarantined>,
    hasher: RandomState,
    responses: [Mutex<Responses>; SHARDS],
    /// Wakes the task that stores crashes.
    pub(crate) unstored: Notify,
    /// Whether the crashes that were stored before the node's start are known.
    is_restored: watch::Sender<bool>,
}

/// Life cycle
impl Quarantine {
    /// Creates an empty quarantine.
    pub(crate) fn new() -> Quarantine {
        Quarantine {
            tracker: Mutex::default(),
            quarantined: ArcSwap::default(),
            hasher: RandomState::new(),
            responses: array::from_fn(|_| Mutex::default()),
            unstored: Notify::new(),
            is_restored: watch::Sender::new(false),
        }
    }
}

/// Access
impl Report {
    /// Returns whether there is nothing to tell.
    pub(crate) fn is_empty(&self) -> bool {
        self.sightings.is_empty() && self.proofs.is_empty()
    }
}

/// Access
impl Quarantine {
    /// Returns whether a request with these subjects may not be sent to a host.
    pub(crate) fn blocks(&self, now: Duration, request: &[Subject]) -> bool {
        self.quarantined.load().contains(now, request)
    }

    /// Returns the crashes that are to be stored but aren't yet.
    pub(crate) fn unstored(&self, now: Duration) -> Vec<Sighting> {
        self.tracker().unstored(now)
    }

    /// Returns whether a subject is suspect, or quarantined, for a crash.
    pub(crate) fn is_blamed(&self, subject: Subject, crash: id::Crash) -> bool {
        self.tracker().is_blamed(subject, crash)
    }

    /// Waits until the crashes that were stored before the node's start are known.
    pub(crate) async fn wait_until_restored(&self) {
        // The sender lives as long as this quarantine.
        let _ = self.is_restored.subscribe().wait_for(|it| *it).await;
    }

    fn tracker(&self) -> MutexGuard<'_, Tracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn responses(&self, subject: Subject) -> MutexGuard<'_, Responses> {
        let index = self.hasher.hash_one(subject) as usize % SHARDS;
        self.responses[index].lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Mutation
impl Quarantine {
    /// Records a response that shows that a request with these subjects crashes no host.
    pub(crate) fn record_response(&self, now: Duration, request: &[Subject]) {
        for subject in request {
            let mut responses = self.responses(*subject);
            if responses.len() >= MAX_ENTRIES {
                responses.retain(|_, at| now.saturating_sub(*at) < PROOF_VALIDITY);
            }
            if responses.len() >= MAX_ENTRIES {
                responses.clear();
            }
            responses.insert(*subject, now);
        }
    }

    /// Records that a request with these subjects was in flight at a crash. Returns whether other nodes should
    /// hear of it soon.
    pub(crate) fn record_crash(&self, at: Duration, request: &[Subject], crash: id::Crash) -> bool {
        self.tracker().record_crash(at, request, crash)
    }

    /// Records what another node told.
    pub(crate) fn apply(&self, now: Duration, report: &Report) {
        let mut tracker = self.tracker();
        for sighting in &report.sightings {
            tracker.record_sighting(now, sighting);
        }
        for proof in &report.proofs {
            tracker.record_reported_proof(now, proof);
        }
    }

    /// Records the crashes that were stored before the node's start.
    pub(crate) fn restore(&self, now: Duration, stored: &[Sighting]) {
        let mut tracker = self.tracker();
        for sighting in stored {
            tracker.record_sighting(now, sighting);
            tracker.record_stored(sighting.subject, sighting.crash);
        }
        self.is_restored.send_replace(true);
    }

    /// Records that crashes are stored.
    pub(crate) fn record_stored(&self, stored: &[Sighting]) {
        let mut tracker = self.tracker();
        for sighting in stored {
            tracker.record_stored(sighting.subject, sighting.crash);
        }
    }

    /// Records that the store may have lost what was stored.
    pub(crate) fn clear_stored(&self) {
        self.tracker().clear_stored();
    }

    /// Returns what to tell other nodes.
    pub(crate) fn report(&self, now: Duration) -> Report {
        let mut tracker = self.tracker();
        let proofs = self.consider_responses(&mut tracker, now);
        let sightings = tracker.sightings(now);
        Report { sightings, proofs }
    }

    /// Decides anew which subjects are quarantined, and returns those whose quarantine began or ended.
    pub(crate) fn update(&self, now: Duration) -> Vec<Change> {
        let mut tracker = self.tracker();
        self.consider_responses(&mut tracker, now);
        tracker.expire(now);
        if tracker.has_unstored() {
            self.unstored.notify_one();
        }
        let after = tracker.quarantined(now);
        let before = self.quarantined.load();
        if **before == after {
            return Vec::new();
        }
        let began = after.iter().filter(|(subject, it)| {
            before.get(subject).is_none_or(|old| old.companions != it.companions)
        });
        let began = began.map(|(subject, it)| Change::Began {
            subject: *subject,
            companions: it.companions.clone(),
            crashes: tracker.crash_count(*subject),
        });
        let ended = before.iter().filter(|(subject, _)| after.get(subject).is_none());
        let ended = ended.map(|(subject, _)| Change::Ended { subject: *subject });
        let changes = began.chain(ended).collect();
        self.quarantined.store(after.into());
        changes
    }

    /// Records the responses of this node to requests with subjects that are suspect, and returns them.
    fn consider_responses(&self, tracker: &mut Tracker, now: Duration) -> Vec<Proof> {
        let suspects: Vec<Subject> = tracker.subjects().collect();
        let mut proofs = Vec::new();
        for subject in suspects {
            let Some(at) = self.responses(subject).get(&subject).copied() else { continue };
            tracker.record_proof(at, subject);
            proofs.push(Proof { subject, age: now.saturating_sub(at) });
        }
        proofs
    }
}

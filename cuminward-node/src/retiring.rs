//! Groups that receive no new requests because their steward is about to release them.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use cuminward_core::{id, replica};
use cuminward_peer::message;

/// Time for which a group stays retired after its release was due, in case the release is late.
const SLACK: Duration = Duration::from_secs(5);

/// A group and its generation.
type Formation = (id::Group, id::Generation);

/// Retired groups, with the time at which their release is due.
#[derive(Debug, Default)]
pub struct Retiring {
    groups: Mutex<BTreeMap<Formation, Duration>>,
}

/// Access
impl Retiring {
    /// Returns whether a replica must receive no new requests.
    pub fn contains(&self, replica: &replica::Replica) -> bool {
        self.lock().contains_key(&(replica.group.clone(), replica.generation))
    }

    /// Returns the groups whose release is not due yet, for hello messages.
    ///
    /// Groups whose release is past are left out: nodes that passed them on would renew each
    /// other's entries for ever.
    pub fn list(&self, now: Duration) -> Vec<message::Retirement> {
        let retiring = |(formation, until): (&Formation, &Duration)| message::Retirement {
            group: formation.0.clone(),
            generation: formation.1,
            left: until.saturating_sub(now),
        };
        self.lock().iter().filter(|(_, until)| now < **until).map(retiring).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Formation, Duration>> {
        self.groups.lock().expect("no code panics while it has the lock")
    }
}

/// Mutation
impl Retiring {
    /// Retires a group until shortly after its release is due at `until`.
    pub fn add(
        &self,
        now: Duration,
        group: id::Group,
        generation: id::Generation,
        until: Duration,
    ) {
        let mut groups = self.lock();
        groups.retain(|_, until| now <= *until + SLACK);
        groups.entry((group, generation)).or_insert(until);
    }
}

//! Groups that get no new work because their steward is about to release them.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use cuminward_core::{id, replica};
use cuminward_peer::message;

/// Time for which a group stays retired after its release was due.
const SLACK: Duration = Duration::from_secs(5);

/// A formation of a group.
type Formation = (id::Group, id::Generation);

/// Retired groups, with the time at which they are released.
#[derive(Debug, Default)]
pub struct Retiring {
    groups: Mutex<BTreeMap<Formation, Duration>>,
}

/// Access
impl Retiring {
    /// Tells whether a replica may get no new work.
    pub fn contains(&self, replica: &replica::Replica) -> bool {
        self.lock().contains_key(&(replica.group.clone(), replica.generation))
    }

    /// The groups whose release isn't due yet, as other nodes are told of them. Nodes that passed on
    /// later ones as well would remind each other of them for ever.
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
    /// Retires a group until some time after its release is due.
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

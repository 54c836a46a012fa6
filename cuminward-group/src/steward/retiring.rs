//! Groups that finish their work before they are released, and fabric domains that went dark.

use std::{collections::BTreeMap, time::Duration};

use cuminward_core::id;

use super::{Output, Steward, event};
use crate::{placement, probe::dark};

/// Groups whose release is decided, with the time of the release and its cause.
pub(super) type Retiring = BTreeMap<(id::Group, id::Generation), (Duration, placement::Cause)>;

/// Retiring groups
impl Steward {
    /// Releases a group, after a while if it serves requests.
    pub(super) fn retire(
        &mut self,
        now: Duration,
        fence: id::Fence,
        input: &placement::Input,
        release: placement::Release,
    ) {
        let key = (release.group.clone(), release.generation);
        let own = |it: &&placement::Group| it.group == key.0 && it.generation == key.1;
        let whole =
            input.groups.iter().find(own).is_some_and(|it| it.health == placement::Health::Whole);
        if !whole {
            return self.release(now, fence, release);
        }
        if self.retiring.contains_key(&key) {
            return;
        }
        let until = now + self.options.drain_for;
        self.retiring.insert(key, (until, release.cause));
        let (group, generation) = (release.group.clone(), release.generation);
        self.out.push(Output::Retire { group, generation, until });
        self.event(event::Event::GroupRetiring { release });
    }

    /// Releases the groups whose time is over, and forgets those that are gone.
    pub(super) fn release_retired(
        &mut self,
        now: Duration,
        fence: id::Fence,
        input: &placement::Input,
    ) {
        let exists = |key: &(id::Group, id::Generation)| {
            input.groups.iter().any(|it| it.group == key.0 && it.generation == key.1)
        };
        self.retiring.retain(|key, _| exists(key));
        let due: Vec<placement::Release> = self
            .retiring
            .iter()
            .filter(|it| now >= it.1.0)
            .map(|((group, generation), (_, cause))| placement::Release {
                group: group.clone(),
                generation: *generation,
                cause: *cause,
            })
            .collect();
        for release in due {
            self.release(now, fence, release);
        }
    }
}

/// Dark fabric domains
impl Steward {
    /// Notes which fabric domains have gone dark and come back.
    pub(super) fn watch_fabrics(&mut self, now: Duration) {
        let mut counts: BTreeMap<id::Fabric, dark::Count> = BTreeMap::new();
        for known in self.hosts.values() {
            let count = counts.entry(known.fabric.clone()).or_default();
            count.listed += 1;
            count.silent += usize::from(known.down_since.is_some());
        }
        let change = self.dark.step(now, &counts, &self.options.dark);
        for fabric in change.dark {
            self.event(event::Event::FabricDark { fabric });
        }
        for fabric in change.back {
            self.event(event::Event::FabricBack { fabric });
        }
    }
}

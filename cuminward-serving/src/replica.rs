//! Groups that hosts form, and checks whether they are complete and serve.

use std::collections::BTreeMap;

use crate::{
    engine, host,
    host::{Host, Phase},
    id,
};

/// A group as reported by its members.
#[derive(Debug, Clone)]
pub struct Group<'a> {
    /// Name.
    pub name: &'a str,
    /// Number of the formation.
    pub epoch: id::Epoch,
    /// Members by rank.
    pub members: BTreeMap<usize, &'a Host>,
}

/// Returns the groups that hosts report. Hosts that report the same name with another epoch are in
/// a separate group.
pub fn find_groups<'a>(hosts: impl IntoIterator<Item = &'a Host>) -> Vec<Group<'a>> {
    let mut groups: BTreeMap<(&str, id::Epoch), BTreeMap<usize, &Host>> = BTreeMap::new();
    for host in hosts {
        let Some(it) = &host.membership else { continue };
        groups.entry((it.group.as_str(), it.epoch)).or_default().insert(it.rank, host);
    }
    let group = |((name, epoch), members)| Group { name, epoch, members };
    groups.into_iter().map(group).collect()
}

/// Access
impl<'a> Group<'a> {
    /// Returns the member that takes the requests.
    pub fn head(&self) -> Option<&'a Host> {
        self.members.get(&0).copied()
    }

    /// Returns the phase of the head.
    pub fn phase(&self) -> Option<Phase> {
        self.head()?.membership.as_ref().map(|it| it.phase)
    }

    /// Returns the model that the members run.
    pub fn model(&self) -> Option<&'a str> {
        self.members.values().find_map(|it| it.model.as_deref())
    }

    /// Returns the declaration of the group's model.
    pub fn declared_model<'e>(&self, engine: &'e engine::Engine) -> Option<&'e engine::Model> {
        engine.model(self.model()?)
    }

    /// Returns whether the group has exactly the members with the ranks from 0 to `size - 1`.
    pub fn is_complete(&self, size: usize) -> bool {
        self.members.len() == size && (0..size).all(|it| self.members.contains_key(&it))
    }

    /// Returns whether the group serves requests: it is complete, its head is open, and every
    /// member has confirmed the formation.
    pub fn is_open(&self, size: usize) -> bool {
        let is_confirmed = |it: &&Host| {
            it.membership.as_ref().is_some_and(|it| matches!(it.phase, Phase::Ready | Phase::Open))
        };
        self.is_complete(size)
            && self.phase() == Some(Phase::Open)
            && self.members.values().all(is_confirmed)
    }

    /// Returns whether no member is draining.
    pub fn is_staying(&self) -> bool {
        self.members.values().all(|it| it.state == host::State::Ready)
    }
}

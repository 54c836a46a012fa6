//! Groups among the hosts, and which of them are whole.

use std::collections::BTreeMap;

use crate::{
    engine, host,
    host::{Host, Phase},
    id,
};

/// A group as its members report it.
#[derive(Debug, Clone)]
pub struct Group<'a> {
    /// Name.
    pub name: &'a str,
    /// Formation.
    pub epoch: id::Epoch,
    /// Members by rank.
    pub members: BTreeMap<usize, &'a Host>,
}

/// Finds the groups that hosts report. Hosts that report another formation of the same name are in
/// another group.
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
    /// The member that takes the requests.
    pub fn head(&self) -> Option<&'a Host> {
        self.members.get(&0).copied()
    }

    /// How far the head is.
    pub fn phase(&self) -> Option<Phase> {
        self.head()?.membership.as_ref().map(|it| it.phase)
    }

    /// The model that the members run.
    pub fn model(&self) -> Option<&'a str> {
        self.members.values().find_map(|it| it.model.as_deref())
    }

    /// The declaration of the group's model.
    pub fn declared_model<'e>(&self, engine: &'e engine::Engine) -> Option<&'e engine::Model> {
        engine.model(self.model()?)
    }

    /// Tells whether as many members as the model needs are there, without gaps.
    pub fn is_complete(&self, size: usize) -> bool {
        self.members.len() == size && (0..size).all(|it| self.members.contains_key(&it))
    }

    /// Tells whether the group serves requests: complete, opened, and every member confirmed the
    /// formation.
    pub fn is_open(&self, size: usize) -> bool {
        let confirmed = |it: &&Host| {
            it.membership.as_ref().is_some_and(|it| matches!(it.phase, Phase::Ready | Phase::Open))
        };
        self.is_complete(size)
            && self.phase() == Some(Phase::Open)
            && self.members.values().all(confirmed)
    }

    /// Tells whether no member is leaving.
    pub fn is_staying(&self) -> bool {
        self.members.values().all(|it| it.state == host::State::Ready)
    }
}

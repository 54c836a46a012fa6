//! What the steward makes of the state of formations and groups.

use std::time::Duration;

use super::{
    Forming, Snapshot, Steward, formation,
    order::{Action, Formation},
};
use crate::{
    host::{Host, Phase, State},
    id, replica, slowdown,
};

/// What a formation needs next.
pub(super) enum Step {
    /// These members have to be told to join.
    Join(Vec<id::Host>),
    /// All members are ready: the head can open.
    Open,
    /// Nothing; members are loading or the head is opening.
    Wait,
    /// The head is open.
    Done,
    /// A member is gone, or it took too long.
    Abandon,
}

/// What becomes of a group that isn't being formed.
pub(super) enum Verdict {
    /// It serves, or its members have to be left alone.
    Keep,
    /// Its members can be used for other groups.
    Free,
    /// Its head gets this order first.
    Dissolve(Action),
    /// Its head is missing or could still open: all members leave before they are used.
    Scatter,
}

/// Tells whether a host waits for its group to open.
pub(super) fn is_forming(host: &Host) -> bool {
    host.membership.as_ref().is_some_and(|it| matches!(it.phase, Phase::Joining | Phase::Ready))
}

/// Tells whether a member that hasn't joined yet is in another formation than when it was chosen: another
/// steward has told it to join that one, and its head may serve.
fn has_moved(host: &Host, forming: &Forming, rank: usize) -> bool {
    let now = formation(host);
    now.is_some() && forming.before.get(rank) != Some(&now)
}

/// Access
impl Steward {
    /// Tells whether a host can be part of a group.
    pub(super) fn is_fit(&self, now: Duration, snapshot: &Snapshot<'_>, host: &Host) -> bool {
        host.state == State::Ready
            && host.slowdown < slowdown::THRESHOLD
            && !snapshot.lost.contains(&host.id)
            && !snapshot.evacuated.contains(&host.domain)
            && self.unreachable.get(&host.id).is_none_or(|until| *until <= now)
    }

    /// What a formation needs next.
    pub(super) fn step(
        &self,
        now: Duration,
        snapshot: &Snapshot<'_>,
        group: &str,
        forming: &Forming,
    ) -> Step {
        if now > forming.deadline {
            return Step::Abandon;
        }
        let mut missing = Vec::new();
        let mut is_ready = true;
        for (rank, id) in forming.members.iter().enumerate() {
            let Some(host) = snapshot.hosts.get(id) else { return Step::Abandon };
            if !self.is_fit(now, snapshot, host) {
                return Step::Abandon;
            }
            let membership = host.membership.as_ref();
            let own = membership.filter(|it| it.group == group && it.epoch == forming.epoch);
            match own.map(|it| it.phase) {
                None if has_moved(host, forming, rank) => return Step::Abandon,
                None => missing.push(id.clone()),
                Some(Phase::Open) if rank == 0 => return Step::Done,
                Some(Phase::Ready) => {}
                Some(_) => is_ready = false,
            }
        }
        if !missing.is_empty() {
            return Step::Join(missing);
        }
        if is_ready { Step::Open } else { Step::Wait }
    }

    /// What becomes of a group that isn't being formed.
    pub(super) fn judge(&self, snapshot: &Snapshot<'_>, group: &replica::Group<'_>) -> Verdict {
        let head = group.head().filter(|it| !snapshot.lost.contains(&it.id));
        let Some(head) = head else {
            let has_left = self.has_head_left(snapshot, group);
            return if has_left { Verdict::Free } else { Verdict::Scatter };
        };
        let formation = Formation { group: group.name.to_owned(), epoch: group.epoch };
        let size = group.declared_model(snapshot.engine).map_or(usize::MAX, |it| it.size);
        let is_lost = |it: &&Host| snapshot.lost.contains(&it.id);
        let is_whole = group.is_complete(size) && !group.members.values().any(is_lost);
        let is_leaving = head.state == State::Draining || !group.is_staying();
        match group.phase() {
            Some(Phase::Open | Phase::Closing) if !is_whole => {
                Verdict::Dissolve(Action::Leave(formation))
            }
            Some(Phase::Open) if is_leaving => Verdict::Dissolve(Action::Close(formation)),
            Some(Phase::Open | Phase::Closing) => Verdict::Keep,
            Some(Phase::Broken) if !self.uncertain.contains(group.name) => Verdict::Free,
            _ => Verdict::Scatter,
        }
    }

    /// Tells whether the head of a group was told to leave it and reports that it has.
    fn has_head_left(&self, snapshot: &Snapshot<'_>, group: &replica::Group<'_>) -> bool {
        let head = self.dissolving.get(group.name).and_then(|it| snapshot.hosts.get(it));
        head.is_some_and(|it| {
            it.membership
                .as_ref()
                .is_none_or(|it| it.group != group.name || it.epoch != group.epoch)
        })
    }
}

//! Evaluation of the formations in progress and of the other groups.

use std::time::Duration;

use super::{
    FormingGroup, Snapshot, Steward, current_formation,
    order::{Action, Formation},
};
use crate::{
    host::{Host, Phase, State},
    id, replica, slowdown,
};

/// Next step of a formation.
pub(super) enum Step {
    /// These members have to be ordered to join.
    Join(Vec<id::Host>),
    /// All members are ready, so the head can be ordered to open.
    Open,
    /// Nothing is to be done: members are joining or the head is opening.
    Wait,
    /// The head is open.
    Done,
    /// A member is missing or can no longer be used, or the formation took too long.
    Abandon,
}

/// What is done with a group that isn't being formed.
pub(super) enum GroupAction {
    /// The group stays as it is, and its members are not used for other groups.
    Keep,
    /// The members can be used for other groups.
    Release,
    /// The group is dissolved; its head is sent this order first.
    Dissolve(Action),
    /// The head is missing or could still open: all members are ordered to leave before they are
    /// used again.
    Disband,
}

/// Returns whether a host is in a group that is not open yet.
pub(super) fn is_forming(host: &Host) -> bool {
    host.membership.as_ref().is_some_and(|it| matches!(it.phase, Phase::Joining | Phase::Ready))
}

/// Returns whether a member that hasn't joined yet is in another formation than when it was chosen.
/// In that case another steward has ordered it to join that formation, whose head may serve.
fn has_joined_other(host: &Host, forming: &FormingGroup, rank: usize) -> bool {
    let now = current_formation(host);
    now.is_some() && forming.previous.get(rank) != Some(&now)
}

/// Returns whether a member can stay in its group.
fn may_stay(snapshot: &Snapshot<'_>, host: &Host) -> bool {
    host.state == State::Ready
        && host.slowdown < slowdown::THRESHOLD
        && !snapshot.gone.contains(&host.id)
        && !snapshot.evacuated.contains(&host.domain)
}

/// Access
impl Steward {
    /// Returns whether a host can be a member of a group.
    pub(super) fn is_eligible(&self, now: Duration, snapshot: &Snapshot<'_>, host: &Host) -> bool {
        may_stay(snapshot, host) && !self.is_silent(now, snapshot, host)
    }

    /// Returns whether a host doesn't answer now. It may go on.
    fn is_silent(&self, now: Duration, snapshot: &Snapshot<'_>, host: &Host) -> bool {
        snapshot.lost.contains(&host.id)
            || self.unreachable_until.get(&host.id).is_some_and(|until| *until > now)
    }

    /// Returns the next step of a formation.
    pub(super) fn next_step(
        &self,
        now: Duration,
        snapshot: &Snapshot<'_>,
        group: &str,
        forming: &FormingGroup,
    ) -> Step {
        if now > forming.deadline {
            return Step::Abandon;
        }
        let mut missing = Vec::new();
        let (mut is_ready, mut is_silent) = (true, false);
        for (rank, id) in forming.members.iter().enumerate() {
            let Some(host) = snapshot.hosts.get(id) else { return Step::Abandon };
            if !may_stay(snapshot, host) {
                return Step::Abandon;
            }
            is_silent |= self.is_silent(now, snapshot, host);
            let membership = host.membership.as_ref();
            let current = membership.filter(|it| it.group == group && it.epoch == forming.epoch);
            match current.map(|it| it.phase) {
                None if has_joined_other(host, forming, rank) => return Step::Abandon,
                None => missing.push(id.clone()),
                Some(Phase::Open) if rank == 0 => return Step::Done,
                Some(Phase::Ready) => {}
                Some(_) => is_ready = false,
            }
        }
        if !missing.is_empty() {
            return Step::Join(missing);
        }
        if is_ready && !is_silent { Step::Open } else { Step::Wait }
    }

    /// Decides what is done with a group that isn't being formed.
    pub(super) fn evaluate_group(
        &self,
        snapshot: &Snapshot<'_>,
        group: &replica::Group<'_>,
    ) -> GroupAction {
        let head = group.head().filter(|it| !snapshot.gone.contains(&it.id));
        let Some(head) = head else {
            let has_left = self.has_head_left(snapshot, group);
            return if has_left { GroupAction::Release } else { GroupAction::Disband };
        };
        let formation = Formation { group: group.name.to_owned(), epoch: group.epoch };
        let size = group.declared_model(snapshot.engine).map_or(usize::MAX, |it| it.size);
        let is_gone = |it: &&Host| snapshot.gone.contains(&it.id);
        let is_intact = group.is_complete(size) && !group.members.values().any(is_gone);
        let is_draining = head.state == State::Draining || !group.is_staying();
        match group.phase() {
            Some(Phase::Open | Phase::Closing) if !is_intact => {
                GroupAction::Dissolve(Action::Leave(formation))
            }
            Some(Phase::Open) if is_draining || self.replaceable.contains(group.name) => {
                GroupAction::Dissolve(Action::Close(formation))
            }
            Some(Phase::Open | Phase::Closing) => GroupAction::Keep,
            Some(Phase::Broken) if !self.maybe_opening.contains(group.name) => GroupAction::Release,
            _ => GroupAction::Disband,
        }
    }

    /// Returns whether the head of a group was ordered to leave the group and reports that it has
    /// left.
    fn has_head_left(&self, snapshot: &Snapshot<'_>, group: &replica::Group<'_>) -> bool {
        let head = self.dissolving.get(group.name).and_then(|it| snapshot.hosts.get(it));
        head.is_some_and(|it| {
            it.membership
                .as_ref()
                .is_none_or(|it| it.group != group.name || it.epoch != group.epoch)
        })
    }
}

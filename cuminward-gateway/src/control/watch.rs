//! Watches the replicas that serve requests of this node: one that makes no progress has its members
//! asked whether they live.

use std::{collections::HashSet, sync::Arc, time::Duration};

use cuminward_event::kind::Kind;
use cuminward_serving::slowdown;
use futures::future;
use tokio::{
    sync::mpsc,
    time::{self, Instant},
};

use super::inspect;
use crate::state::{
    State,
    view::{Key, Member, Upstream},
};

/// Interval of the checks.
const INTERVAL: Duration = Duration::from_millis(40);

/// Silence of a busy replica after which requests that it hasn't begun go elsewhere.
const STALL: Duration = Duration::from_millis(450);

/// Silence of a busy replica after which its members are asked whether they live.
const INSPECT_AFTER: Duration = Duration::from_millis(220);

/// Silence after which a replica is given up although all its members answer.
const GIVE_UP_AFTER: Duration = Duration::from_millis(1500);

/// Longest time for the answer of a member, on a kept and again on a new connection.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(160);

/// Time after which a question should have ended, if this node isn't held up.
const MAX_QUESTION: Duration = Duration::from_millis(320);

/// Inspections whose ends wait to be noted.
const ENDED: usize = 64;

/// Watches replicas until the task is dropped.
pub(crate) async fn run(state: Arc<State>) {
    let (sender, mut ended) = mpsc::channel::<Key>(ENDED);
    let mut inspected: HashSet<Key> = HashSet::new();
    loop {
        time::sleep(INTERVAL).await;
        while let Ok(key) = ended.try_recv() {
            inspected.remove(&key);
        }
        ask_again(&state);
        let view = state.view.load_full();
        let now = state.now();
        for upstream in view.watched().filter(|it| it.is_replica()) {
            let is_suspect = upstream.gauge.take_suspicion();
            let silence = upstream.gauge.silence(now).unwrap_or_default();
            if silence > STALL {
                upstream.gauge.alarm.notify_waiters();
            }
            if (is_suspect || silence > INSPECT_AFTER) && inspected.insert(upstream.key) {
                let (state, upstream) = (Arc::clone(&state), Arc::clone(upstream));
                let sender = sender.clone();
                tokio::spawn(async move {
                    inspect_members(&state, &upstream).await;
                    // The receiver lives as long as the task that watches.
                    let _ = sender.send(upstream.key).await;
                });
            }
        }
    }
}

/// Asks the lost and slow hosts that are due again, and forgets losses that nothing confirmed.
fn ask_again(state: &Arc<State>) {
    let now = state.now();
    let (due, is_changed) = {
        let mut knowledge = state.knowledge();
        (knowledge.due_questions(now, state.ask_interval()), knowledge.expire_losses(now))
    };
    if is_changed {
        state.publish();
    }
    for member in due {
        ask(state, member);
    }
}

/// Asks a host whether it lives and how slow it is.
pub(crate) fn ask(state: &Arc<State>, member: Member) {
    let state = Arc::clone(state);
    tokio::spawn(async move {
        if let Answer::Lives(_) = question(&state, &member).await {
            state.find(&member.host);
        }
    });
}

/// What a question showed.
enum Answer {
    /// The host lives and goes at this pace.
    Lives(slowdown::Factor),
    /// It doesn't answer.
    Lost,
    /// This node was itself held up since it asked, so that silence says nothing.
    Unknown,
}

/// Asks a host whether it lives and how slow it is, and notes its answer.
async fn question(state: &State, member: &Member) -> Answer {
    let begun = Instant::now();
    let report = inspect::report(state, &member.host, &member.address, MEMBER_TIMEOUT).await;
    match report {
        Ok(status) => {
            state.note_pace(&member.host, status.slowdown);
            Answer::Lives(status.slowdown)
        }
        Err(_) if begun.elapsed() > MAX_QUESTION => Answer::Unknown,
        Err(error) => {
            state.lose(&member.host, &format!("{error:?}"));
            Answer::Lost
        }
    }
}

/// Asks the members of a replica whether they live.
async fn inspect_members(state: &State, upstream: &Upstream) {
    let asked = upstream.members.iter().map(|it| question(state, it));
    let answers = future::join_all(asked).await;
    let now = state.now();
    let is_lost = answers.iter().any(|it| matches!(it, Answer::Lost));
    let paces = answers.iter().map(|it| if let Answer::Lives(pace) = it { *pace } else { 0.0 });
    let pace = paces.fold(0.0, slowdown::Factor::max);
    let silence = upstream.gauge.silence(now).unwrap_or_default();
    let verdict = match () {
        () if is_lost => "lost",
        () if silence > GIVE_UP_AFTER => "given-up",
        () => "kept",
    };
    state.events.emit(Kind::ReplicaSilent {
        replica: upstream.name.clone(),
        silence_ms: silence.as_millis() as u64,
        pace: (pace * 100.0) as u64,
        verdict: verdict.to_owned(),
    });
    if is_lost {
        return;
    }
    if silence > GIVE_UP_AFTER {
        upstream.gauge.note_failure(now);
        upstream.gauge.note_loss(now);
    } else {
        time::sleep(INSPECT_AFTER).await;
    }
}

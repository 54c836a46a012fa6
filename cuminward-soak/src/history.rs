//! Record of the injected faults and of the times at which they acted, and what follows from it for nodes and
//! hosts.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

use crate::{
    fault::{self, Fault},
    testbed::{DOMAINS, HOSTS_PER_DOMAIN},
};

/// Time without disruption after which a node counts as in touch.
pub const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Longest time for which a sound host may be silent: the longest pause, and the lateness of its end.
const MAX_SILENCE: Duration = Duration::from_millis(1600);

/// Time after the end of a host's disruption for which requests may still fail of it, and that for connections
/// that carry no data any more.
const HOST_MARGIN: Duration = Duration::from_secs(1);
const SILENT_CONNECTION_MARGIN: Duration = Duration::from_secs(10);

/// A fault that was injected.
#[derive(Debug, Clone, Copy)]
pub struct Event {
    /// The fault.
    pub fault: Fault,
    /// When it began.
    pub from: Instant,
    /// When it ended; `None` while it acts.
    pub until: Option<Instant>,
}

/// The faults that were injected so far.
#[derive(Debug, Default)]
pub struct History {
    events: Mutex<Vec<Event>>,
}

/// A time from the first to the second instant.
pub type Span = (Instant, Instant);

/// Access
impl History {
    /// Returns the events in the order of their beginning.
    pub fn events(&self) -> Vec<Event> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Event>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Mutation
impl History {
    /// Records the beginning of a fault; returns its number.
    pub fn begin(&self, fault: Fault) -> usize {
        let mut events = self.lock();
        events.push(Event { fault, from: Instant::now(), until: None });
        events.len() - 1
    }

    /// Records the end of a fault.
    pub fn end(&self, number: usize) {
        self.lock()[number].until = Some(Instant::now());
    }
}

/// Access
impl Event {
    /// Returns whether the fault acted within a span, or less than `margin` before it.
    fn acted_in(&self, span: Span, margin: Duration) -> bool {
        self.from <= span.1 && self.until.is_none_or(|it| it + margin >= span.0)
    }

    /// Returns whether the fault stops or suspends the process of a node, or of any with `None`.
    fn stops(&self, node: Option<usize>) -> bool {
        match self.fault {
            Fault::KillAll => true,
            Fault::Kill(at) | Fault::Terminate(at) | Fault::Freeze(at) => {
                node.is_none_or(|it| it == at)
            }
            _ => false,
        }
    }

    /// Returns whether the fault disrupts the path between a node and the store, or the store.
    fn severs_store(&self, node: usize) -> bool {
        match self.fault {
            Fault::StoreDown | Fault::StoreDeaf => true,
            Fault::StoreCut(at) | Fault::StoreSilent(at) => at == node,
            _ => false,
        }
    }

    /// Returns whether a node, or any with `None`, has lost its paths to all hosts.
    fn strands(&self, node: Option<usize>, nodes: usize) -> bool {
        let Fault::Strand(scope, _) = self.fault else { return false };
        node.is_none_or(|it| scope.nodes(nodes).contains(&it))
    }

    /// Returns the time for which the fault may disrupt a host after its end, if it does so.
    fn host_margin(&self, host: usize) -> Option<Duration> {
        match self.fault {
            Fault::Crash(at)
            | Fault::CutHost(at)
            | Fault::CutAnswers(at)
            | Fault::ResetHost(at)
                if at == host =>
            {
                Some(HOST_MARGIN)
            }
            Fault::Pause(first, count) => {
                fault::hosts_from(first, count).any(|it| it == host).then_some(HOST_MARGIN)
            }
            Fault::SilenceHost(at) if at == host => Some(SILENT_CONNECTION_MARGIN),
            _ => None,
        }
    }

    /// Returns whether the fault is a silence of which a sound host wakes.
    fn is_silence(&self) -> bool {
        let length = self.until.map(|it| it.duration_since(self.from));
        matches!(self.fault, Fault::Pause(..) | Fault::CutHost(_))
            && length.is_some_and(|it| it <= MAX_SILENCE)
    }
}

/// Returns whether a node was in touch through a span: its process ran and it reached the store, for
/// [`STABLE_WINDOW`] before the span and in it.
pub fn is_in_touch(events: &[Event], node: usize, span: Span) -> bool {
    !events.iter().any(|it| {
        (it.stops(Some(node)) || it.severs_store(node)) && it.acted_in(span, STABLE_WINDOW)
    })
}

/// Returns whether a node, one of `nodes`, ran and reached a host through a span, by way of other nodes if the
/// host is in another failure domain.
pub fn could_reach(events: &[Event], node: usize, host: usize, nodes: usize, span: Span) -> bool {
    let is_near = node % DOMAINS.len() == host / HOSTS_PER_DOMAIN;
    let concerned = is_near.then_some(node);
    !events.iter().any(|it| {
        (it.stops(concerned) || it.strands(concerned, nodes)) && it.acted_in(span, STABLE_WINDOW)
    })
}

/// Returns whether the process of a node, one of `nodes`, was stopped, suspended or cut off from the store or the hosts
/// at any time of a span. A store that fails by itself cuts no node off.
pub fn was_disrupted(events: &[Event], node: usize, nodes: usize, span: Span) -> bool {
    let is_cut = |it: &Event| match it.fault {
        Fault::StoreCut(at) | Fault::StoreSilent(at) => at == node,
        _ => it.strands(Some(node), nodes),
    };
    events
        .iter()
        .any(|it| (it.stops(Some(node)) || is_cut(it)) && it.acted_in(span, Duration::ZERO))
}

/// Returns whether a host was crashed, closed or silent at any time of a span or shortly before.
pub fn was_host_disrupted(events: &[Event], host: usize, span: Span) -> bool {
    disruptions(events, host, span).next().is_some()
}

/// Returns the faults that may have disrupted a host in a span.
fn disruptions(events: &[Event], host: usize, span: Span) -> impl Iterator<Item = &Event> {
    let acted =
        move |it: &&Event| it.host_margin(host).is_some_and(|margin| it.acted_in(span, margin));
    events.iter().filter(acted)
}

/// Returns whether a host was sound through a span: neither crashed nor closed, and silent at most once and
/// briefly.
pub fn is_sound(events: &[Event], host: usize, span: Span) -> bool {
    let acted: Vec<&Event> = disruptions(events, host, span).collect();
    acted.len() <= 1 && acted.iter().all(|it| it.is_silence())
}

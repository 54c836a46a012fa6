//! Comparison of the nodes that lost their paths to all hosts with the others.

use std::fmt::{self, Display};

use crate::{
    caller::{End, Try},
    fault::Fault,
    history::{self, Event, STABLE_WINDOW},
};

/// Requests that may fail at stranded nodes: a number, and one in this many of all requests.
const MAX_FAILED: usize = 10;
const MAX_FAILED_RATIO: usize = 50;

/// Numbers of requests at some nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Share {
    /// Requests that were sent.
    pub sent: usize,
    /// Requests that were served.
    pub served: usize,
}

/// What callers saw while nodes were stranded, from [`STABLE_WINDOW`] after the beginning on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The fault that stranded the nodes.
    pub fault: Fault,
    /// Requests to stranded nodes.
    pub stranded: Share,
    /// Requests to other nodes.
    pub others: Share,
}

/// Access
impl Report {
    /// Returns whether the stranded nodes served less than two thirds as often as the others and too many
    /// requests failed at them.
    pub fn is_violation(&self) -> bool {
        let Report { stranded, others, .. } = self;
        let failed = stranded.sent - stranded.served;
        let is_rarer = 3 * stranded.served * others.sent < 2 * others.served * stranded.sent;
        let sent = stranded.sent + others.sent;
        is_rarer && MAX_FAILED_RATIO * failed > MAX_FAILED_RATIO * MAX_FAILED + sent
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report { fault, stranded, others } = self;
        write!(f, "{fault:?}: {} of {} served, ", stranded.served, stranded.sent)?;
        write!(f, "{} of {} at other nodes", others.served, others.sent)
    }
}

/// Returns a report for each time at which some of `nodes` nodes were stranded. Requests to nodes that weren't in
/// touch don't count.
pub fn report(tries: &[Try], events: &[Event], nodes: usize) -> Vec<Report> {
    let reports = events.iter().filter_map(|event| {
        let Fault::Strand(scope, _) = event.fault else { return None };
        let (from, until) = (event.from + STABLE_WINDOW, event.until?);
        let counted = tries.iter().filter(|it| {
            (from..until).contains(&it.sent)
                && history::is_in_touch(events, it.node, (it.sent, it.ended))
        });
        let stranded = scope.nodes(nodes);
        let mut report =
            Report { fault: event.fault, stranded: Share::default(), others: Share::default() };
        for it in counted {
            let is_stranded = stranded.contains(&it.node);
            let share = if is_stranded { &mut report.stranded } else { &mut report.others };
            share.sent += 1;
            share.served += usize::from(it.end == End::Served);
        }
        Some(report)
    });
    reports.collect()
}

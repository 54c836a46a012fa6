//! Detection of hosts that got more requests than the limit allows that they had named.

use std::{collections::HashMap, time::Duration};

use cuminward_adapter_fake::cluster::{Arrival, Limit};
use tokio::time::Instant;

use crate::{
    caller::{End, Try},
    history::{self, Event},
};

/// Time after a limit was first passed on from which on it binds.
const GRACE: Duration = Duration::from_secs(3);

/// Time after a node passed on a limit from which on its requests count.
const NODE_GRACE: Duration = Duration::from_millis(500);

/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// What a host may get in a window: a multiple of what its limit allows, and a number of requests.
const MAX_OVERRUN: f64 = 1.5;
const SLACK: f64 = 5.0;

/// What a run recorded.
#[derive(Debug, Clone)]
pub struct Records<'a> {
    /// Requests of callers.
    pub tries: &'a [Try],
    /// Requests that arrived at hosts.
    pub arrivals: &'a [Arrival],
    /// Limits that hosts named.
    pub limits: &'a [Limit],
    /// Injected faults.
    pub events: &'a [Event],
    /// Ids of all hosts.
    pub hosts: &'a [String],
    /// Number of nodes.
    pub nodes: usize,
}

/// A request that a node sent to a host that named a limit.
#[derive(Debug, Clone, Copy)]
struct Sent<'a> {
    it: &'a Try,
    /// When it arrived.
    at: Instant,
}

/// Returns a description of the worst window of each limit that wasn't kept. A node counts half a second after it
/// passed on a response with the limit, unless it was stopped, suspended or cut off since. Windows in which the host
/// was disrupted don't count.
pub fn find(records: &Records<'_>) -> Vec<String> {
    records.limits.iter().filter_map(|it| records.find_excess(it)).collect()
}

/// Access
impl Records<'_> {
    /// Returns a description of the worst window of a limit, if it holds more than the limit allows.
    fn find_excess(&self, limit: &Limit) -> Option<String> {
        let sent = self.sent(limit);
        let passed = self.passed(&sent);
        let bound_from = passed.iter().map(|it| it.1).min()? + GRACE;
        let counts = |it: &&Sent<'_>| bound_from <= it.at && self.is_bound(it, &passed);
        let counted: Vec<Instant> = sent.iter().filter(counts).map(|it| it.at).collect();
        let windows = counted.iter().map(|&from| {
            let count = counted.iter().filter(|at| (from..from + WINDOW).contains(at)).count();
            (count, from)
        });
        let is_sound = |it: &(usize, Instant)| self.is_undisrupted(&limit.host, it.1, limit);
        let (count, from) = windows.filter(is_sound).max()?;
        let allowed = MAX_OVERRUN * limit.rate * WINDOW.as_secs_f64() + SLACK;
        (count as f64 > allowed).then(|| {
            let after = from.duration_since(limit.from);
            let Limit { host, rate, .. } = limit;
            format!(
                "LIMIT: {host} named {rate} and got {count} requests, {after:?} later on, {allowed:.1} allowed"
            )
        })
    }

    /// Returns the requests that arrived at a host while it named a limit, in the order of their arrival.
    fn sent(&self, limit: &Limit) -> Vec<Sent<'_>> {
        let mut tries: HashMap<&str, Vec<&Try>> = HashMap::new();
        for it in self.tries {
            tries.entry(&it.request).or_default().push(it);
        }
        let named =
            |it: &&Arrival| it.host == limit.host && (limit.from..limit.until).contains(&it.at);
        let sent = self.arrivals.iter().filter(named).filter_map(|arrival| {
            let mut tries = tries.get(arrival.request.as_str())?.iter().rev();
            let it = tries.find(|it| it.sent <= arrival.at)?;
            Some(Sent { it, at: arrival.at })
        });
        sent.collect()
    }

    /// Returns which nodes passed on a response of the host of these requests, and when, in the order of time. Only
    /// successful responses to requests that arrived nowhere else count.
    fn passed(&self, sent: &[Sent<'_>]) -> Vec<(usize, Instant)> {
        let mut arrivals: HashMap<&str, usize> = HashMap::new();
        for it in self.arrivals {
            *arrivals.entry(&it.request).or_default() += 1;
        }
        let is_only = |it: &&Sent<'_>| arrivals.get(it.it.request.as_str()) == Some(&1);
        let served = sent.iter().filter(|it| it.it.end == End::Served).filter(is_only);
        let mut passed: Vec<(usize, Instant)> =
            served.map(|it| (it.it.node, it.it.ended)).collect();
        passed.sort_by_key(|it| it.1);
        passed
    }

    /// Returns whether the node of a request had passed on a response long enough before, and was not disrupted since.
    fn is_bound(&self, sent: &Sent<'_>, passed: &[(usize, Instant)]) -> bool {
        let node = sent.it.node;
        let is_earlier = |it: &&(usize, Instant)| it.0 == node && it.1 + NODE_GRACE <= sent.at;
        passed.iter().rev().find(is_earlier).is_some_and(|it| {
            !history::was_disrupted(self.events, node, self.nodes, (it.1, sent.at))
        })
    }

    /// Returns whether a host wasn't disrupted in the window from an instant on and before it, since it named a limit.
    fn is_undisrupted(&self, host: &str, from: Instant, limit: &Limit) -> bool {
        let number = self.hosts.iter().position(|it| it == host);
        let span = (limit.from, (from + WINDOW).min(limit.until));
        number.is_some_and(|it| !history::was_host_disrupted(self.events, it, span))
    }
}

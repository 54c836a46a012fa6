//! Detection of requests that were cut although their hosts were sound.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use cuminward_adapter_fake::cluster::Run;

use crate::{
    caller::{End, Try},
    history::{self, Event},
    testbed::REQUEST_TIMEOUT,
};

/// Time before a request's deadline from which on its end counts as due to the deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);

/// What a run recorded.
#[derive(Debug, Clone)]
pub struct Records<'a> {
    /// Requests of callers.
    pub tries: &'a [Try],
    /// Requests that hosts ran.
    pub runs: &'a [Run],
    /// Ids of the requests that hosts broke off.
    pub broken_off: &'a BTreeSet<String>,
    /// Injected faults.
    pub events: &'a [Event],
    /// Ids of all hosts.
    pub hosts: &'a [String],
    /// Number of nodes.
    pub nodes: usize,
}

/// Returns a description of each request that reached a host and whose connection a node then closed without a
/// complete response, although the node ran and all hosts of the request were sound.
pub fn find(records: &Records<'_>) -> Vec<String> {
    let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in records.runs {
        runs.entry(&run.request).or_default().push(run);
    }
    let lost = records.tries.iter().filter_map(|it| {
        let runs = runs.get(it.request.as_str())?;
        let is_lost = it.end == End::Cut
            && it.ended.duration_since(it.sent) + DEADLINE_MARGIN < REQUEST_TIMEOUT
            && !records.broken_off.contains(&it.request)
            && runs.iter().all(|run| records.was_sound(it, run));
        is_lost.then(|| describe(it, runs))
    });
    lost.collect()
}

/// Access
impl Records<'_> {
    /// Returns whether the path between a request's node and host, and the members of the host's group, were
    /// sound while the request ran.
    fn was_sound(&self, it: &Try, run: &Run) -> bool {
        let span = (it.sent, it.ended);
        let members = run.members.iter().chain([&run.host]);
        members.filter_map(|id| self.hosts.iter().position(|host| host == id)).all(|host| {
            history::is_sound(self.events, host, span)
                && history::could_reach(self.events, it.node, host, self.nodes, span)
        })
    }
}

fn describe(it: &Try, runs: &[&Run]) -> String {
    let hosts: Vec<&str> = runs.iter().map(|it| it.host.as_str()).collect();
    let age = it.ended.duration_since(it.sent);
    format!(
        "LOST: {} was cut at n{} after {age:?}, its hosts {hosts:?} were sound",
        it.request, it.node
    )
}

//! Availability of a failure domain's groups, summed up over time.

use std::{collections::BTreeSet, time::Duration};

use cuminward_core::{catalog, host, replica};

/// Longest step that is added, so that a paused process does not count the pause.
const MAX_STEP: Duration = Duration::from_secs(5);

/// Totals since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Totals {
    /// Time for which declared replicas were not routable, summed over replicas.
    pub down: Duration,
    /// Time for which live engines were outside any routable replica, summed over hosts.
    pub stranded: Duration,
    last: Option<Duration>,
}

/// Mutation
impl Totals {
    /// Adds the time since the last call, assuming that the current state held throughout.
    pub fn add(
        &mut self,
        now: Duration,
        domain: &str,
        catalog: &catalog::Catalog,
        hosts: &[host::Entry],
        replicas: &[replica::Replica],
    ) {
        let step = now.saturating_sub(self.last.unwrap_or(now)).min(MAX_STEP);
        self.last = Some(now);
        self.down += step * count_missing(domain, catalog, replicas);
        self.stranded += step * count_stranded(domain, hosts, replicas);
    }
}

/// Counts the declared replicas of a domain that are not routable; 0 while it is out of service.
fn count_missing(domain: &str, catalog: &catalog::Catalog, replicas: &[replica::Replica]) -> u32 {
    if !catalog.in_service(domain) {
        return 0;
    }
    let of_model = |model: &catalog::Model| {
        let declared = model.replicas.get(domain).copied().unwrap_or(0);
        let of_version = |version: &String| {
            let routable =
                |it: &&replica::Replica| it.service == model.name && it.version == *version;
            declared.saturating_sub(replicas.iter().filter(routable).count() as u32)
        };
        model.versions.iter().map(of_version).sum::<u32>()
    };
    catalog.models.values().map(of_model).sum()
}

/// Counts the live engines of a domain outside any routable replica.
fn count_stranded(domain: &str, hosts: &[host::Entry], replicas: &[replica::Replica]) -> u32 {
    let used: BTreeSet<&String> = replicas.iter().flat_map(|it| &it.members).collect();
    let idle = |it: &&host::Entry| {
        it.role == host::Role::Engine
            && it.domain == domain
            && it.state == host::State::Live
            && !used.contains(&it.host)
    };
    hosts.iter().filter(idle).count() as u32
}

//! What callers do without the system: round robin over heads, groups fixed to their hosts.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, PoisonError, RwLock},
};

use cuminward_core::{host, id};
use cuminward_standin::{environment, load};
use http::Method;
use miette::ensure;
use serde_json::json;

use crate::{
    caller::{Call, Caller},
    declare,
    experiment::{runner, stage},
};

/// Fencing number of the orders of a baseline; groups are formed and released past the stewards.
const FENCE: id::Fence = 1;

/// Heads as the callers of a baseline know them; a shared list that is never told of load.
#[derive(Debug, Clone, Default)]
pub struct Heads(Arc<RwLock<BTreeMap<id::Group, load::Target>>>);

/// Forms one group on the first hosts of each fabric domain.
///
/// # Errors
///
/// A report if a group can't be formed.
pub async fn form_all(environment: &environment::Environment) -> miette::Result<()> {
    for domain in runner::DOMAINS {
        for fabric in 0..runner::FABRICS {
            let formation = formation(domain, fabric, 1);
            let formed = environment.fleet().form(&formation).await;
            ensure!(formed, "{} was not formed", formation.group);
        }
    }
    Ok(())
}

/// Access
impl Heads {
    /// The target of a request, in turn.
    ///
    /// # Panics
    ///
    /// If no group was ever formed.
    pub fn target(&self, index: usize) -> load::Target {
        let heads = self.0.read().unwrap_or_else(PoisonError::into_inner);
        heads.values().nth(index % heads.len().max(1)).cloned().expect("groups were formed")
    }
}

/// Mutation
impl Heads {
    /// Forms each broken group again on its own hosts once all of them live.
    pub async fn repair(&self, stage: &stage::Stage) {
        let cluster = stage.cluster.read().await;
        let environment = &cluster.environment;
        for domain in runner::DOMAINS {
            for fabric in 0..runner::FABRICS {
                if let Some(target) = repaired(environment, domain, fabric).await {
                    let group = group(domain, fabric);
                    self.0.write().unwrap_or_else(PoisonError::into_inner).insert(group, target);
                }
            }
        }
    }
}

/// The head of a group that is ready, or was made ready; `None` while a member is dead.
async fn repaired(
    environment: &environment::Environment,
    domain: &str,
    fabric: u32,
) -> Option<load::Target> {
    let members = members(domain, fabric);
    let addresses: BTreeMap<id::Host, SocketAddr> = environment
        .fleet()
        .entries()
        .into_iter()
        .filter_map(|it| Some((it.host, it.address.parse().ok()?)))
        .collect();
    let reports: Option<Vec<host::Report>> =
        members.iter().map(|it| environment.fleet().report(it)).collect();
    let reports = reports?;
    let memberships: Vec<&host::Membership> =
        reports.iter().filter_map(|it| it.membership.as_ref()).collect();
    let newest = memberships.iter().map(|it| it.generation).max().unwrap_or(1);
    let whole = memberships.len() == members.len()
        && memberships.iter().all(|it| it.phase == host::Phase::Ready);
    let generation = if whole { newest } else { newest + 1 };
    if !whole {
        for (member, membership) in members.iter().zip(&reports) {
            if let Some(membership) = &membership.membership {
                release(addresses[member], membership).await;
            }
        }
        if !environment.fleet().form(&formation(domain, fabric, generation)).await {
            return None;
        }
    }
    Some(load::Target::Engine {
        address: addresses[&members[0]],
        group: group(domain, fabric),
        generation,
        version: declare::VERSION.to_owned(),
    })
}

async fn release(address: SocketAddr, membership: &host::Membership) {
    let order = json!({
        "fence": FENCE,
        "order": format!("release-{}-{}", membership.group, membership.generation),
        "action": "release",
        "group": membership.group,
        "generation": membership.generation,
    });
    let path = "/v1/orders".to_owned();
    let call = Call { method: Method::POST, path, body: order.to_string(), key: None };
    // A host that dies meanwhile is found dead at the next look.
    let _ = Caller::new(&declare::TEAMS[0]).send(address, &call).await;
}

fn group(domain: &str, fabric: u32) -> id::Group {
    format!("{domain}-fixed-{fabric}")
}

fn members(domain: &str, fabric: u32) -> Vec<id::Host> {
    (0..runner::HOSTS_PER_REPLICA).map(|it| format!("{domain}-f{fabric}-h{it}")).collect()
}

fn formation(domain: &str, fabric: u32, generation: id::Generation) -> host::Membership {
    host::Membership {
        group: group(domain, fabric),
        generation,
        service: declare::ASSISTANT.to_owned(),
        model: declare::MODEL.to_owned(),
        version: declare::VERSION.to_owned(),
        members: members(domain, fabric),
        phase: host::Phase::Loading,
    }
}

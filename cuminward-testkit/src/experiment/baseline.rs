//! Baseline without nodes: callers use the group heads round robin, and each group stays on its
//! hosts.

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
    experiment::{runner, testbed},
};

/// Fencing token of the orders of a baseline, where no steward forms and releases the groups.
const FENCING_TOKEN: id::Fence = 1;

/// Heads of the groups by group name, shared by the callers of a baseline; contains no load
/// information.
#[derive(Debug, Clone, Default)]
pub struct Heads(Arc<RwLock<BTreeMap<id::Group, load::Target>>>);

/// Forms a group on the first hosts of each fabric domain.
///
/// # Errors
///
/// A report if a group can't be formed.
pub async fn form_groups(environment: &environment::Environment) -> miette::Result<()> {
    for domain in runner::DOMAINS {
        for fabric in 0..runner::FABRICS {
            let membership = loading_membership(domain, fabric, 1);
            let formed = environment.fleet().form(&membership).await;
            ensure!(formed, "{} was not formed", membership.group);
        }
    }
    Ok(())
}

/// Access
impl Heads {
    /// Returns the target of a request, round robin by its index.
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
    /// Forms each broken group again on its own hosts once all of them run.
    pub async fn repair(&self, testbed: &testbed::Testbed) {
        let cluster = testbed.cluster.read().await;
        let environment = &cluster.environment;
        for domain in runner::DOMAINS {
            for fabric in 0..runner::FABRICS {
                if let Some(target) = repair_group(environment, domain, fabric).await {
                    let group = group_name(domain, fabric);
                    self.0.write().unwrap_or_else(PoisonError::into_inner).insert(group, target);
                }
            }
        }
    }
}

/// Returns the head of a group that is ready or could be formed again, `None` while a member is
/// down.
async fn repair_group(
    environment: &environment::Environment,
    domain: &str,
    fabric: u32,
) -> Option<load::Target> {
    let members = member_names(domain, fabric);
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
    let is_ready = memberships.len() == members.len()
        && memberships.iter().all(|it| it.phase == host::Phase::Ready);
    let generation = if is_ready { newest } else { newest + 1 };
    if !is_ready {
        for (member, membership) in members.iter().zip(&reports) {
            if let Some(membership) = &membership.membership {
                release(addresses[member], membership).await;
            }
        }
        if !environment.fleet().form(&loading_membership(domain, fabric, generation)).await {
            return None;
        }
    }
    Some(load::Target::Engine {
        address: addresses[&members[0]],
        group: group_name(domain, fabric),
        generation,
        version: declare::VERSION.to_owned(),
    })
}

async fn release(address: SocketAddr, membership: &host::Membership) {
    let order = json!({
        "fence": FENCING_TOKEN,
        "order": format!("release-{}-{}", membership.group, membership.generation),
        "action": "release",
        "group": membership.group,
        "generation": membership.generation,
    });
    let path = "/v1/orders".to_owned();
    let call = Call { method: Method::POST, path, body: order.to_string(), key: None };
    // A failure can be ignored: if the host has gone, the next `repair` finds it down.
    let _ = Caller::new(&declare::TEAMS[0]).send(address, &call).await;
}

fn group_name(domain: &str, fabric: u32) -> id::Group {
    format!("{domain}-fixed-{fabric}")
}

fn member_names(domain: &str, fabric: u32) -> Vec<id::Host> {
    (0..runner::HOSTS_PER_REPLICA).map(|it| format!("{domain}-f{fabric}-h{it}")).collect()
}

fn loading_membership(domain: &str, fabric: u32, generation: id::Generation) -> host::Membership {
    host::Membership {
        group: group_name(domain, fabric),
        generation,
        service: declare::ASSISTANT.to_owned(),
        model: declare::MODEL.to_owned(),
        version: declare::VERSION.to_owned(),
        members: member_names(domain, fabric),
        phase: host::Phase::Loading,
    }
}

//! Sample values shared by the tests.

use std::{collections::BTreeSet, time::Duration};

use cuminward_config::{fold::Fold, record};
use cuminward_core::{
    catalog::{Availability, Domain, Fencing, Model, Plain, Team, Traits},
    change::{self, Action},
};
use serde_json::Value;

pub(crate) fn change(id: &str, expected: Option<u64>, action: Action) -> Value {
    record::from_change(change::Record {
        change: id.to_owned(),
        operator: "ana".to_owned(),
        expected,
        action,
    })
}

pub(crate) fn domain(name: &str) -> Action {
    Action::DeclareDomain(Domain {
        name: name.to_owned(),
        region: "r".to_owned(),
        service: Availability::InService,
    })
}

pub(crate) fn team(name: &str, keys: &[String]) -> Team {
    let keys = keys.iter().cloned().collect();
    Team { name: name.to_owned(), keys, weight: 1, in_flight: 10 }
}

pub(crate) fn host(name: &str) -> Action {
    Action::DeclareHost(Traits { host: name.to_owned(), fencing: Fencing::Enforced, fabric: None })
}

pub(crate) fn model(name: &str, domains: &[&str], teams: &[&str]) -> Model {
    Model {
        name: name.to_owned(),
        model: format!("{name}-7b"),
        versions: vec!["v1".to_owned()],
        hosts_per_replica: 4,
        replicas: domains.iter().map(|it| ((*it).to_owned(), 1)).collect(),
        teams: teams.iter().map(|it| (*it).to_owned()).collect(),
        slots: 8,
        cold_slots: 2,
        warm_up: Duration::from_secs(30),
    }
}

pub(crate) fn plain(name: &str, teams: &[&str]) -> Plain {
    let teams: BTreeSet<String> = teams.iter().map(|it| (*it).to_owned()).collect();
    Plain {
        name: name.to_owned(),
        teams,
        slots: 8,
        cold_slots: 2,
        warm_up: Duration::from_secs(30),
        timeout: Duration::from_secs(2),
    }
}

/// Returns a state at revision 5 with a domain `d`, teams `t` and `u`, a model service `m` and a
/// plain service `p`, both for team `t`.
pub(crate) fn state() -> Fold {
    let mut fold = Fold::default();
    let key = "0".repeat(64);
    let actions = [
        domain("d"),
        Action::DeclareTeam(team("t", &[key])),
        Action::DeclareTeam(team("u", &[])),
        Action::DeclareModel(model("m", &["d"], &["t"])),
        Action::DeclarePlain(plain("p", &["t"])),
    ];
    for (offset, action) in (0..).zip(actions) {
        fold.apply(offset, &change(&format!("s{offset}"), None, action));
    }
    fold
}

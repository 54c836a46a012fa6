//! Rows that commands print.

use std::collections::BTreeMap;

use cuminward_core::{catalog, hlc, id};
use cuminward_operator::proto;
use serde::Serialize;
use tabled::Tabled;

/// An applied change.
#[derive(Debug, Serialize, Tabled)]
pub struct Applied {
    /// What changed.
    pub what: String,
    /// Id of the change.
    pub change: id::Change,
    /// Revision that the change made.
    pub revision: id::Revision,
    /// Whether the change had been applied before.
    pub repeated: bool,
}

/// State of a node.
#[derive(Debug, Serialize, Tabled)]
pub struct Status {
    /// Address that answered.
    pub endpoint: String,
    /// Name of the node.
    pub node: String,
    /// Failure domain of the node.
    pub domain: String,
    /// Revision in force at the node.
    pub revision: u64,
    /// Whether the node takes callers' requests.
    pub ready: bool,
    /// Whether the platform's log answers.
    pub log: bool,
    /// Seconds since the process started.
    pub uptime_s: u64,
    /// Measures by name.
    #[tabled(display = "pairs")]
    pub measures: BTreeMap<String, f64>,
    /// What the node can't do now.
    #[tabled(display = "list")]
    pub reasons: Vec<String>,
}

/// A group of hosts.
#[derive(Debug, Serialize, Tabled)]
pub struct Group {
    /// Address that answered.
    pub endpoint: String,
    /// Name of the group.
    pub group: String,
    /// Formation of the group.
    pub generation: u64,
    /// Service of the group.
    pub service: String,
    /// Version of the model.
    pub version: String,
    /// Failure domain of the group.
    pub domain: String,
    /// Whether the node routes to the group.
    pub routable: bool,
    /// Members with their phases, the head first.
    #[tabled(display = "list")]
    pub members: Vec<String>,
}

/// A node.
#[derive(Debug, Serialize, Tabled)]
pub struct Node {
    /// Name of the node.
    pub node: String,
    /// Failure domain of the node.
    pub domain: String,
    /// Address for calls between nodes.
    pub address: String,
    /// Whether the node answers.
    pub reachable: bool,
    /// Whether the node is leaving.
    pub leaving: bool,
    /// Last known revision at the node.
    pub revision: u64,
}

/// A recent change.
#[derive(Debug, Serialize, Tabled)]
pub struct Change {
    /// Revision after the change's record.
    pub revision: u64,
    /// Operator who asked.
    pub operator: String,
    /// Kind of the action.
    pub action: String,
    /// What the change is about.
    pub target: String,
    /// What became of it.
    pub verdict: String,
    /// Id of the change.
    pub change: String,
    /// Why the change was refused.
    pub reason: String,
}

/// A failure domain.
#[derive(Debug, Serialize, Tabled)]
pub struct Domain {
    /// Name of the failure domain.
    pub name: id::Domain,
    /// Region of the failure domain.
    pub region: id::Region,
    /// Whether the domain may receive new work.
    pub in_service: bool,
}

/// Declared traits of a host, and whether it is drained.
#[derive(Debug, Serialize, Tabled)]
pub struct Host {
    /// Name of the host.
    pub name: id::Host,
    /// What the host does with an old fencing number; `-` when it isn't declared.
    pub fencing: String,
    /// Declared fabric domain.
    pub fabric: String,
    /// Whether operators drain the host.
    pub drained: bool,
}

/// A numbered event.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Event {
    /// Hybrid logical time.
    pub hlc: hlc::Stamp,
    /// Node on which the event happened.
    pub node: String,
    /// Number of the event's kind.
    pub number: u32,
    /// Name of the event's kind.
    pub name: String,
    /// Request that the event belongs to.
    pub request: String,
    /// Further values.
    pub fields: BTreeMap<String, String>,
}

/// Makes a row of a node's state.
pub fn status(endpoint: String, it: proto::StatusResponse) -> Status {
    Status {
        endpoint,
        node: it.node,
        domain: it.domain,
        revision: it.revision,
        ready: it.ready,
        log: it.log_reachable,
        uptime_s: it.uptime_ms / 1_000,
        measures: it.measures,
        reasons: it.reasons,
    }
}

/// Makes a row of a group.
pub fn group(endpoint: String, it: proto::Group) -> Group {
    Group {
        endpoint,
        members: it.members.iter().map(member).collect(),
        group: it.group,
        generation: it.generation,
        service: it.service,
        version: it.version,
        domain: it.domain,
        routable: it.routable,
    }
}

/// Makes a row of a node.
pub fn node(it: proto::Node) -> Node {
    Node {
        node: it.node,
        domain: it.domain,
        address: it.address,
        reachable: it.reachable,
        leaving: it.leaving,
        revision: it.revision,
    }
}

/// Makes a row of a change.
pub fn change(it: proto::HistoryEntry) -> Change {
    let verdict = match it.verdict() {
        proto::Verdict::Unspecified => "unknown",
        proto::Verdict::Accepted => "accepted",
        proto::Verdict::Conflict => "conflict",
        proto::Verdict::Invalid => "invalid",
    };
    Change {
        verdict: verdict.to_owned(),
        revision: it.revision,
        operator: it.operator,
        action: it.action,
        target: it.target,
        change: it.change,
        reason: it.reason,
    }
}

/// Makes rows of the failure domains.
pub fn domains(catalog: &catalog::Catalog) -> Vec<Domain> {
    let row = |it: &catalog::Domain| Domain {
        name: it.name.clone(),
        region: it.region.clone(),
        in_service: it.service == catalog::Availability::InService,
    };
    catalog.domains.values().map(row).collect()
}

/// Makes rows of the declared and drained hosts.
pub fn hosts(catalog: &catalog::Catalog) -> Vec<Host> {
    let undeclared = catalog.drained.iter().filter(|it| !catalog.hosts.contains_key(*it));
    let undeclared = undeclared.map(|it| Host {
        name: it.clone(),
        fencing: "-".to_owned(),
        fabric: String::new(),
        drained: true,
    });
    let declared = catalog.hosts.values().map(|it| Host {
        name: it.host.clone(),
        fencing: match it.fencing {
            catalog::Fencing::Enforced => "enforced".to_owned(),
            catalog::Fencing::Ignored => "ignored".to_owned(),
        },
        fabric: it.fabric.clone().unwrap_or_default(),
        drained: catalog.drained.contains(&it.host),
    });
    declared.chain(undeclared).collect()
}

/// Reads an event.
pub fn event(it: proto::Event) -> Event {
    Event {
        hlc: it.hlc,
        node: it.node,
        number: it.number,
        name: it.name,
        request: it.request,
        fields: it.fields,
    }
}

fn member(it: &proto::Member) -> String {
    let phase = match it.phase() {
        proto::Phase::Unspecified => "silent",
        proto::Phase::Loading => "loading",
        proto::Phase::Ready => "ready",
        proto::Phase::Broken => "broken",
    };
    format!("{}:{phase}", it.host)
}

fn list(items: &[String]) -> String {
    items.join(", ")
}

fn pairs(measures: &BTreeMap<String, f64>) -> String {
    let pairs = measures.iter().map(|(name, value)| format!("{name}={value}"));
    pairs.collect::<Vec<_>>().join(" ")
}

//! Rows and events that commands print, and their conversion from messages and the catalog.
//!
//! The field names of the rows are the column names of tables and the keys of JSON and YAML.

use std::collections::BTreeMap;

use cuminward_core::{catalog, hlc, id};
use cuminward_operator::proto;
use serde::{Deserialize, Serialize};
use tabled::Tabled;

/// An applied change.
#[derive(Debug, Serialize, Tabled)]
pub struct Applied {
    /// Target of the change.
    pub what: String,
    /// Id of the change.
    pub change: id::Change,
    /// Revision after the change.
    pub revision: id::Revision,
    /// Whether the change had already been applied under the same id.
    pub repeated: bool,
}

/// An upstream that may get a request.
#[derive(Debug, Serialize, Deserialize, Tabled)]
pub struct Choice {
    /// Route of the request.
    pub route: String,
    /// Service.
    pub service: String,
    /// Probability that the request goes to the service.
    #[tabled(display = "format_part")]
    pub service_chance: f64,
    /// Upstream of the service.
    pub upstream: String,
    /// Failure domain of the upstream.
    pub domain: String,
    /// Requests in flight from all nodes, as the node knows.
    pub load: u32,
    /// Requests in flight from the node.
    pub own: u32,
    /// Requests that the upstream runs at once.
    pub slots: u32,
    /// Health as the node sees it.
    pub health: String,
    /// Factor by which the upstream is slower than usual.
    #[tabled(display = "format_part")]
    pub slowdown: f64,
    /// Probability that a request to the service goes to the upstream.
    #[tabled(display = "format_part")]
    pub chance: f64,
    /// Why the upstream can't take the request; empty if it can.
    pub obstacle: String,
}

/// State of a node.
#[derive(Debug, Serialize, Tabled)]
pub struct Status {
    /// Endpoint that reported the row.
    pub endpoint: String,
    /// Name of the node.
    pub node: String,
    /// Failure domain of the node.
    pub domain: String,
    /// Revision of the configuration that the node applies.
    pub revision: u64,
    /// Whether the node accepts callers' requests.
    pub ready: bool,
    /// Whether the node reaches the platform's log.
    pub log: bool,
    /// Seconds since the process started.
    pub uptime_s: u64,
    /// Measured values by name.
    #[tabled(display = "format_pairs")]
    pub measures: BTreeMap<String, f64>,
    /// Reasons why the node isn't ready or can't do all of its work.
    #[tabled(display = "format_list")]
    pub reasons: Vec<String>,
}

/// A group of hosts.
#[derive(Debug, Serialize, Tabled)]
pub struct Group {
    /// Endpoint that reported the row.
    pub endpoint: String,
    /// Name of the group.
    pub group: String,
    /// Generation of the group: a new number for each formation.
    pub generation: u64,
    /// Service of the group.
    pub service: String,
    /// Model version that the group runs.
    pub version: String,
    /// Failure domain of the group.
    pub domain: String,
    /// Whether the node routes to the group.
    pub routable: bool,
    /// Members as `HOST:PHASE`, the head first.
    #[tabled(display = "format_list")]
    pub members: Vec<String>,
}

/// The build that a gateway node runs.
#[derive(Debug, Serialize, Tabled)]
pub struct Build {
    /// Name of the node.
    pub node: String,
    /// Its build.
    pub build: String,
    /// When the build was first named, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// Other nodes that have heard of it.
    #[tabled(display = "format_list")]
    pub heard_by: Vec<String>,
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
    /// Whether the node answers calls of other nodes.
    pub reachable: bool,
    /// Whether the node is leaving.
    pub leaving: bool,
    /// Last known revision of the node's configuration.
    pub revision: u64,
}

/// A recent change.
#[derive(Debug, Serialize, Tabled)]
pub struct Change {
    /// Revision after the change was recorded.
    pub revision: u64,
    /// Operator who requested the change.
    pub operator: String,
    /// Kind of the action.
    pub action: String,
    /// Target of the change.
    pub target: String,
    /// Verdict on the change.
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
    /// Whether the host enforces or ignores fencing numbers; `-` if no trait is declared.
    pub fencing: String,
    /// Declared fabric domain.
    pub fabric: String,
    /// Whether operators have drained the host.
    pub drained: bool,
}

/// An event of a node.
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
    /// Further fields by name.
    pub fields: BTreeMap<String, String>,
}

/// Converts the state of a node, as reported at an endpoint.
pub fn status_row(endpoint: String, it: proto::StatusResponse) -> Status {
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

/// Converts a group, as reported at an endpoint.
pub fn group_row(endpoint: String, it: proto::Group) -> Group {
    Group {
        endpoint,
        members: it.members.iter().map(format_member).collect(),
        group: it.group,
        generation: it.generation,
        service: it.service,
        version: it.version,
        domain: it.domain,
        routable: it.routable,
    }
}

/// Converts a node.
pub fn node_row(it: proto::Node) -> Node {
    Node {
        node: it.node,
        domain: it.domain,
        address: it.address,
        reachable: it.reachable,
        leaving: it.leaving,
        revision: it.revision,
    }
}

/// Converts an entry of the history.
pub fn change_row(it: proto::HistoryEntry) -> Change {
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

/// Returns a row for each failure domain of the catalog.
pub fn domain_rows(catalog: &catalog::Catalog) -> Vec<Domain> {
    let row = |it: &catalog::Domain| Domain {
        name: it.name.clone(),
        region: it.region.clone(),
        in_service: it.service == catalog::Availability::InService,
    };
    catalog.domains.values().map(row).collect()
}

/// Returns a row for each host that has declared traits, then one for each other drained host.
pub fn host_rows(catalog: &catalog::Catalog) -> Vec<Host> {
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

/// Converts an event.
pub fn decode_event(it: proto::Event) -> Event {
    Event {
        hlc: it.hlc,
        node: it.node,
        number: it.number,
        name: it.name,
        request: it.request,
        fields: it.fields,
    }
}

fn format_member(it: &proto::Member) -> String {
    let phase = match it.phase() {
        proto::Phase::Unspecified => "silent",
        proto::Phase::Loading => "loading",
        proto::Phase::Ready => "ready",
        proto::Phase::Broken => "broken",
    };
    format!("{}:{phase}", it.host)
}

fn format_list(items: &[String]) -> String {
    items.join(", ")
}

fn format_pairs(measures: &BTreeMap<String, f64>) -> String {
    let pairs = measures.iter().map(|(name, value)| format!("{name}={value}"));
    pairs.collect::<Vec<_>>().join(" ")
}

/// Returns a part with two decimals.
fn format_part(part: &f64) -> String {
    format!("{part:.2}")
}

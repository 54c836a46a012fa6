//! Implements the operators' calls on the state of a node.

use std::{
    collections::{BTreeMap, HashMap},
    pin::Pin,
    sync::Arc,
    time::Duration,
};

use cuminward_core::{catalog, change, host, id, replica};
use cuminward_event::{kind, record};
use cuminward_operator::{convert, outcome, proto, server, status};
use futures::{Stream, StreamExt, stream};

use crate::{control::configure, request::dispatch, state};

/// Maximum number of events in one answer.
const MAX_EVENTS: usize = 10_000;

/// Interval at which a follower checks for new events.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Backend of the operators' calls.
pub struct Backend {
    state: Arc<state::State>,
}

/// Life cycle
impl Backend {
    /// Creates a backend that reads and changes the state of a node.
    pub fn new(state: Arc<state::State>) -> Backend {
        Backend { state }
    }
}

impl server::Backend for Backend {
    type Events = Pin<Box<dyn Stream<Item = proto::Event> + Send>>;

    async fn apply(&self, record: change::Record) -> Result<server::Receipt, status::Error> {
        configure::change::run(&self.state, record).await
    }

    async fn catalog(&self) -> Result<Arc<catalog::Catalog>, status::Error> {
        Ok(self.state.catalog.load_full())
    }

    async fn status(&self) -> proto::StatusResponse {
        let ready = self.state.check_ready();
        proto::StatusResponse {
            node: self.state.settings.node.clone(),
            domain: self.state.settings.domain.clone(),
            revision: *self.state.revision.borrow(),
            ready: ready.is_ok(),
            reasons: ready.err().into_iter().collect(),
            log_reachable: !self
                .state
                .is_log_unreachable
                .load(std::sync::atomic::Ordering::Acquire),
            uptime_ms: self.state.now().as_millis() as u64,
            measures: measures(&self.state),
            version: env!("CARGO_PKG_VERSION").to_owned(),
        }
    }

    async fn groups(&self, service: id::Service) -> Vec<proto::Group> {
        groups(&self.state, &service)
    }

    async fn nodes(&self) -> Vec<proto::Node> {
        nodes(&self.state)
    }

    async fn history(&self) -> Vec<proto::HistoryEntry> {
        let follow = self.state.config.follow();
        let entries = follow.fold().into_iter().flat_map(|it| it.history().iter());
        entries.map(outcome::to_history_entry).collect()
    }

    async fn follow(&self, request: proto::FollowEventsRequest) -> Self::Events {
        let follower = Follower {
            state: Arc::clone(&self.state),
            next: 0,
            from_hlc: request.from_hlc,
            request: Some(request.request).filter(|it| !it.is_empty()),
        };
        let batches = stream::unfold(follower, |mut it| async move {
            let events = it.next_batch().await;
            Some((stream::iter(events), it))
        });
        Box::pin(batches.flatten())
    }

    async fn timeline(&self, request: proto::TimelineRequest) -> proto::TimelineResponse {
        let wanted = Some(request.request.as_str()).filter(|it| !it.is_empty());
        let limit = match request.limit {
            0 => MAX_EVENTS,
            limit => limit as usize,
        };
        let to = if request.to_hlc == 0 { u64::MAX } else { request.to_hlc };
        let held = self.state.events.since(0, usize::MAX, wanted);
        let span = held.into_iter().filter(|it| request.from_hlc <= it.stamp && it.stamp <= to);
        let mut events: Vec<proto::Event> = span.map(|it| event(&it)).collect();
        let truncated = limit < events.len();
        events.truncate(limit);
        proto::TimelineResponse { events, truncated }
    }
}

/// Position of one operator's event stream.
struct Follower {
    state: Arc<state::State>,
    next: kind::Seq,
    from_hlc: u64,
    request: Option<id::Request>,
}

impl Follower {
    /// Waits for new events that match the request; returns at least one.
    async fn next_batch(&mut self) -> Vec<proto::Event> {
        loop {
            let request = self.request.as_deref();
            let records = self.state.events.since(self.next, MAX_EVENTS, request);
            if let Some(last) = records.last() {
                self.next = last.seq + 1;
            }
            let wanted = records.iter().filter(|it| self.from_hlc <= it.stamp);
            let events: Vec<proto::Event> = wanted.map(event).collect();
            if !events.is_empty() {
                return events;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Converts an event to its protobuf form; the fields become text.
fn event(record: &record::Record) -> proto::Event {
    let json = serde_json::to_value(&record.kind).unwrap_or_default();
    let fields = json.as_object().into_iter().flatten().filter(|(name, _)| *name != "event");
    let text = |value: &serde_json::Value| match value {
        serde_json::Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    proto::Event {
        number: u32::from(record.kind.number()),
        name: record.kind.name().to_owned(),
        node: record.node.clone(),
        hlc: record.stamp,
        fields: fields.map(|(name, value)| (name.clone(), text(value))).collect(),
        request: record.request.clone().unwrap_or_default(),
    }
}

/// Returns the groups of the failure domain as their members report them, sorted by group and
/// generation. An empty `service` matches all.
fn groups(state: &state::State, service: &str) -> Vec<proto::Group> {
    let table = state.observations();
    let observations = table.observations();
    let replicas = state.replicas.load();
    let memberships = observations.values().filter_map(|it| it.report.membership.as_ref());
    let mut groups: HashMap<(&str, id::Generation), &host::Membership> = HashMap::new();
    for membership in memberships.filter(|it| service.is_empty() || it.service == service) {
        groups.insert((&membership.group, membership.generation), membership);
    }
    let phase = |member: &id::Host, group: &host::Membership| {
        let found = observations.get(member).and_then(|it| it.report.membership.as_ref());
        let same = found.filter(|it| it.group == group.group && it.generation == group.generation);
        convert::from_phase(same.map(|it| it.phase))
    };
    let group = |it: &host::Membership| proto::Group {
        group: it.group.clone(),
        generation: it.generation,
        service: it.service.clone(),
        model: it.model.clone(),
        version: it.version.clone(),
        domain: state.settings.domain.clone(),
        members: it
            .members
            .iter()
            .map(|member| proto::Member { host: member.clone(), phase: phase(member, it).into() })
            .collect(),
        routable: is_routable(&replicas.routable, it),
    };
    let mut groups: Vec<proto::Group> = groups.into_values().map(group).collect();
    groups.sort_by(|a, b| (&a.group, a.generation).cmp(&(&b.group, b.generation)));
    groups
}

fn is_routable(replicas: &[replica::Replica], group: &host::Membership) -> bool {
    replicas.iter().any(|it| it.group == group.group && it.generation == group.generation)
}

/// Returns all nodes of the host list.
fn nodes(state: &state::State) -> Vec<proto::Node> {
    let now = state.now();
    let hosts = state.hosts.load();
    let peers = state.peers.all();
    let listed = hosts.hosts.iter().filter(|it| it.role == host::Role::Node);
    let node = |it: &host::Entry| {
        let own = it.host == state.settings.node;
        let peer = peers.get(&it.host);
        let status = peer.and_then(|it| it.status.as_ref());
        proto::Node {
            node: it.host.clone(),
            domain: it.domain.clone(),
            address: it.address.clone(),
            leaving: it.state == host::State::Leaving,
            reachable: own || peer.is_some_and(|it| it.is_live(now)),
            revision: if own {
                *state.revision.borrow()
            } else {
                status.map_or(0, |it| it.revision)
            },
        }
    };
    listed.map(node).collect()
}

/// Returns the availability totals and the queue length of this node, by name.
fn measures(state: &state::State) -> BTreeMap<String, f64> {
    let measures = state.availability();
    BTreeMap::from([
        ("group_down_seconds".to_owned(), measures.down.as_secs_f64()),
        ("accelerators_stranded_seconds".to_owned(), measures.stranded.as_secs_f64()),
        ("requests_waiting".to_owned(), f64::from(dispatch::count_waiting(state))),
    ])
}

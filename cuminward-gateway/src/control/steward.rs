//! Runs the stewards of the services that this node was elected for. The steward of a service plans its
//! replicas and sends orders to its hosts.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use cuminward_event::kind::Kind;
use cuminward_serving::{
    engine,
    host::Host,
    id,
    placement::{
        Snapshot, Steward, demand,
        order::{Order, Outcome},
    },
};
use tokio::{sync::mpsc, time};

use super::host_client;
use crate::state::{State, admission::Target};

/// Interval between two planning rounds.
const INTERVAL: Duration = Duration::from_millis(80);

/// Timeout of the report that is fetched before an order.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Capacity of the channel of settled orders.
const SETTLED_CAPACITY: usize = 256;

/// An order, and the state of its host on which the order is based.
struct Decision {
    order: Order,
    host: Host,
}

/// Outcome of an order.
struct Settled {
    service: id::Service,
    order: Order,
    outcome: Outcome,
}

/// Runs the stewards until the task is dropped.
pub(crate) async fn run(state: Arc<State>) {
    let (sender, mut outcomes) = mpsc::channel::<Settled>(SETTLED_CAPACITY);
    // A steward is kept after its election ends, as its formation numbers must not be used again.
    let mut stewards: HashMap<id::Service, Steward> = HashMap::new();
    // Services whose steward this node is, with the time of the election since the node's start.
    let mut elected: HashMap<id::Service, Duration> = HashMap::new();
    // Kept by nodes that aren't stewards as well, so that a successor goes on with what it has seen.
    let mut demands: HashMap<id::Service, demand::Tracker> = HashMap::new();
    loop {
        time::sleep(INTERVAL).await;
        while let Ok(settled) = outcomes.try_recv() {
            settle(&state, &mut stewards, &settled);
        }
        let mut has_pending_changes = false;
        let cluster = state.cluster();
        let is_unsettled = cluster.is_host_list_unsettled(state.now());
        let engines = cluster.engines();
        drop(cluster);
        for (index, (service, engine)) in engines.into_iter().enumerate() {
            let tracker = demands.entry(service.clone()).or_default();
            follow_demand(&state, &service, &engine, tracker);
            let partitions = state.settings.store.partitions;
            let Some(token) = state.election.token(state.now(), index, partitions) else {
                elected.remove(&service);
                continue;
            };
            let steward = stewards.entry(service.clone());
            let steward = steward.or_insert_with(|| Steward::new(service.clone(), token));
            let elected_at = *elected.entry(service.clone()).or_insert_with(|| {
                state.events.emit(Kind::StewardElected { service: service.clone(), token });
                *steward = steward.restart();
                state.election.won.notify_one();
                state.now()
            });
            if state.host_list_read_at() < elected_at || is_unsettled {
                // The known host list may lack the effects of the former steward's orders. A steward of a
                // former era of the store, which may still hold its lease, has none when the list is settled.
                continue;
            }
            steward.renew_token(token);
            let division = tracker.division(state.now());
            let decisions = plan(&state, &service, &engine, steward, division);
            has_pending_changes |= steward.is_active();
            for decision in decisions {
                let delivery = deliver(Arc::clone(&state), service.clone(), token, decision);
                let sender = sender.clone();
                tokio::spawn(async move {
                    let settled = delivery.await;
                    // Fails only if the task that runs the stewards was dropped.
                    let _ = sender.send(settled).await;
                });
            }
        }
        state.election.set_activity(!elected.is_empty(), has_pending_changes);
    }
}

fn plan(
    state: &State,
    service: &str,
    engine: &engine::Engine,
    steward: &mut Steward,
    division: demand::Division<'_>,
) -> Vec<Decision> {
    let now = state.now();
    let cluster = state.cluster();
    let hosts = cluster.hosts_of(service);
    let (lost, gone) = (cluster.lost_hosts(now), cluster.gone_hosts(now));
    let evacuated = cluster.declarations.evacuated.clone();
    drop(cluster);
    let has_traffic = state.has_traffic();
    let statuses_before = steward.model_statuses().to_vec();
    let (lost, gone, evacuated) = (&lost, &gone, &evacuated);
    let snapshot = Snapshot { hosts: &hosts, lost, gone, evacuated, engine, has_traffic, division };
    let orders = steward.tick(now, &snapshot);
    if statuses_before != steward.model_statuses() {
        let (service, levels) = (service.to_owned(), format_statuses(steward));
        state.events.emit(Kind::GroupsChanged { service, levels });
    }
    let decision = |order: Order| {
        let host = hosts.get(&order.host)?.clone();
        Some(Decision { order, host })
    };
    orders.into_iter().filter_map(decision).collect()
}

/// Records the loads of the models of a service, if hosts follow demand and this node may become a steward.
fn follow_demand(
    state: &State,
    service: &str,
    engine: &engine::Engine,
    tracker: &mut demand::Tracker,
) {
    if !state.current_settings().placement.follows_demand {
        *tracker = demand::Tracker::default();
        return;
    }
    if !state.has_traffic() || state.election.is_observer() {
        return;
    }
    let usages = usages(state, service, engine);
    if !tracker.record(state.now(), engine, &usages) || !state.election.is_steward() {
        return;
    }
    let shares = tracker.shares().into_iter().flatten();
    let shares = shares.map(|(model, it)| format!("{model}={}", (it * 100.0).round()));
    let loads = usages.iter().map(|(model, it)| format!("{model}={}/{}", it.requests, it.replicas));
    state.events.emit(Kind::SharesChanged {
        service: service.to_owned(),
        shares: shares.collect::<Vec<_>>().join(" "),
        loads: loads.collect::<Vec<_>>().join(" "),
    });
}

/// Returns the loads of the models of a service, as this node knows them.
fn usages(
    state: &State,
    service: &str,
    engine: &engine::Engine,
) -> BTreeMap<id::Model, demand::Usage> {
    let snapshot = state.routing.load();
    let usage = |model: &engine::Model| {
        let upstreams = snapshot.upstreams(service, Some(&model.name));
        let in_flight: u32 = upstreams.iter().map(|it| it.stats.load()).sum();
        let target = Target { service: service.to_owned(), model: Some(model.name.clone()) };
        let requests = in_flight as usize + state.admission.waiting(&target);
        (model.name.clone(), demand::Usage { requests, replicas: upstreams.len() })
    };
    engine.models.iter().map(usage).collect()
}

/// Formats the status of each model for an event.
fn format_statuses(steward: &Steward) -> String {
    let statuses = steward.model_statuses().iter().map(|it| {
        let free = &it.free_by_fabric;
        format!("{}={}+{}/{} free={free:?}", it.model, it.open, it.forming, it.target)
    });
    statuses.collect::<Vec<_>>().join(" ")
}

fn settle(state: &State, stewards: &mut HashMap<id::Service, Steward>, settled: &Settled) {
    let Settled { service, order, outcome } = settled;
    let Some(steward) = stewards.get_mut(service) else { return };
    state.events.emit(Kind::OrderCompleted {
        host: order.host.clone(),
        order: format!("{:?}", order.action),
        token: steward.token(),
        outcome: format!("{outcome:?}"),
    });
    if *outcome == Outcome::Fenced {
        state.election.release(steward.token());
    }
    steward.record_outcome(state.now(), order, *outcome);
}

/// Sends an order with the number of orders that the host has accepted according to its report, so that
/// the host refuses an order that arrives after a newer one. An order that is based on an outdated
/// state of the host isn't sent.
async fn deliver(
    state: Arc<State>,
    service: id::Service,
    token: id::Token,
    decision: Decision,
) -> Settled {
    let Decision { order, host } = decision;
    let report = host_client::fetch_report(&state, &host.id, &host.address, REPORT_TIMEOUT).await;
    let outcome = match report {
        Ok(status) if !host.is_consistent_with(status.started_ms, status.membership.as_ref()) => {
            Outcome::Outdated
        }
        Ok(status) => {
            state.record_slowdown(&host.id, status.slowdown);
            host_client::send_order(
                &state,
                &host.id,
                &host.address,
                &order.action,
                token,
                status.seq,
            )
            .await
        }
        Err(_) => Outcome::Unreachable,
    };
    Settled { service, order, outcome }
}

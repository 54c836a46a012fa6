//! Carries out the steward's duties that this node holds.

use std::{collections::HashMap, sync::Arc, time::Duration};

use cuminward_event::kind::Kind;
use cuminward_serving::{
    engine,
    host::Host,
    id,
    placement::{
        Snapshot, Steward,
        order::{Order, Outcome},
    },
};
use tokio::{sync::mpsc, time};

use super::inspect;
use crate::state::State;

/// Interval of the decisions.
const INTERVAL: Duration = Duration::from_millis(80);

/// Longest time for a report before an order.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Orders whose outcomes wait to be taken in.
const OUTCOMES: usize = 256;

/// An order, and the host as it was known when the order was decided.
struct Decision {
    order: Order,
    host: Host,
}

/// What came of an order of a service.
struct Settled {
    service: id::Service,
    order: Order,
    outcome: Outcome,
}

/// Carries out the duties until the task is dropped.
pub(crate) async fn run(state: Arc<State>) {
    let (sender, mut outcomes) = mpsc::channel::<Settled>(OUTCOMES);
    // A steward is kept when its duty ends, as its numbers must not be used again.
    let mut stewards: HashMap<id::Service, Steward> = HashMap::new();
    // Services whose steward this node is, and since when.
    let mut held: HashMap<id::Service, Duration> = HashMap::new();
    loop {
        time::sleep(INTERVAL).await;
        while let Ok(settled) = outcomes.try_recv() {
            settle(&state, &mut stewards, &settled);
        }
        let mut is_busy = false;
        let engines = state.knowledge().engines();
        for (index, (service, engine)) in engines.into_iter().enumerate() {
            let partitions = state.settings.store.partitions;
            let Some(token) = state.duty.token(state.now(), index, partitions) else {
                held.remove(&service);
                continue;
            };
            let steward = stewards.entry(service.clone());
            let steward = steward.or_insert_with(|| Steward::new(service.clone(), token));
            let began = *held.entry(service.clone()).or_insert_with(|| {
                state.events.emit(Kind::StewardBegan { service: service.clone(), token });
                *steward = steward.restart();
                state.duty.began.notify_one();
                state.now()
            });
            if state.listing_read() < began {
                // What the former steward did may not be in the list that is known.
                continue;
            }
            steward.renew_token(token);
            let decisions = decide(&state, &service, &engine, steward);
            is_busy |= steward.is_active();
            for decision in decisions {
                let deliver = deliver(Arc::clone(&state), service.clone(), token, decision);
                let sender = sender.clone();
                tokio::spawn(async move {
                    let settled = deliver.await;
                    // The receiver lives as long as the task that gives orders.
                    let _ = sender.send(settled).await;
                });
            }
        }
        state.duty.set_work(!held.is_empty(), is_busy);
    }
}

fn decide(
    state: &State,
    service: &str,
    engine: &engine::Engine,
    steward: &mut Steward,
) -> Vec<Decision> {
    let now = state.now();
    let knowledge = state.knowledge();
    let hosts = knowledge.hosts_of(service);
    let lost = knowledge.lost(now);
    let evacuated = knowledge.evacuated.clone();
    drop(knowledge);
    let has_traffic = state.has_traffic();
    let before = steward.model_statuses().to_vec();
    let snapshot =
        Snapshot { hosts: &hosts, lost: &lost, evacuated: &evacuated, engine, has_traffic };
    let orders = steward.tick(now, &snapshot);
    if before != steward.model_statuses() {
        let (service, levels) = (service.to_owned(), levels(steward));
        state.events.emit(Kind::GroupsChanged { service, levels });
    }
    let decision = |order: Order| {
        let host = hosts.get(&order.host)?.clone();
        Some(Decision { order, host })
    };
    orders.into_iter().filter_map(decision).collect()
}

/// Levels of the models, for the log.
fn levels(steward: &Steward) -> String {
    let levels = steward.model_statuses().iter().map(|it| {
        let free = &it.free_by_fabric;
        format!("{}={}+{}/{} free={free:?}", it.model, it.open, it.forming, it.target)
    });
    levels.collect::<Vec<_>>().join(" ")
}

fn settle(state: &State, stewards: &mut HashMap<id::Service, Steward>, settled: &Settled) {
    let Settled { service, order, outcome } = settled;
    let Some(steward) = stewards.get_mut(service) else { return };
    state.events.emit(Kind::OrderSettled {
        host: order.host.clone(),
        order: format!("{:?}", order.action),
        token: steward.token(),
        outcome: format!("{outcome:?}"),
    });
    if *outcome == Outcome::Fenced {
        state.duty.forfeit(steward.token());
    }
    steward.record_outcome(state.now(), order, *outcome);
}

/// Gives an order under the number of orders that the host reports, so that an order that is carried
/// out late can't follow a newer one. An order that was decided on an outdated entry isn't given.
async fn deliver(
    state: Arc<State>,
    service: id::Service,
    token: id::Token,
    decision: Decision,
) -> Settled {
    let Decision { order, host } = decision;
    let report = inspect::report(&state, &host.id, &host.address, REPORT_TIMEOUT).await;
    let outcome = match report {
        Ok(status) if !host.is_consistent_with(status.started_ms, status.membership.as_ref()) => {
            Outcome::Outdated
        }
        Ok(status) => {
            state.note_pace(&host.id, status.slowdown);
            inspect::order(&state, &host.id, &host.address, &order.action, token, status.seq).await
        }
        Err(_) => Outcome::Unreachable,
    };
    Settled { service, order, outcome }
}

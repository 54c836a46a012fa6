//! Carries out the steward's duties that this node holds.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use cuminward_event::kind::Kind;
use cuminward_serving::{
    engine, id,
    placement::{
        Steward, Survey,
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

/// What came of an order of a service.
type Settled = (id::Service, Order, Outcome);

/// Carries out the duties until the task is dropped.
pub(crate) async fn run(state: Arc<State>) {
    let (sender, mut outcomes) = mpsc::channel::<Settled>(OUTCOMES);
    // A steward is kept when its duty ends, as its numbers must not be used again.
    let mut stewards: HashMap<id::Service, Steward> = HashMap::new();
    let mut held: HashSet<id::Service> = HashSet::new();
    loop {
        time::sleep(INTERVAL).await;
        while let Ok((service, order, outcome)) = outcomes.try_recv() {
            settle(&state, &mut stewards, &service, &order, outcome);
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
            if held.insert(service.clone()) {
                let service = service.clone();
                state.events.emit(Kind::StewardBegan { service, token });
                *steward = steward.restart();
            }
            steward.renew(token);
            let orders = decide(&state, &service, &engine, steward);
            is_busy |= steward.is_active();
            for order in orders {
                let deliver = deliver(Arc::clone(&state), service.clone(), token, order);
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
) -> Vec<Order> {
    let now = state.now();
    let knowledge = state.knowledge();
    let hosts = knowledge.hosts_of(service);
    let lost = knowledge.lost(now);
    let evacuated = knowledge.evacuated.clone();
    drop(knowledge);
    let has_traffic = state.has_traffic();
    let before = steward.levels().to_vec();
    let survey = Survey { hosts: &hosts, lost: &lost, evacuated: &evacuated, engine, has_traffic };
    let orders = steward.tick(now, &survey);
    if before != steward.levels() {
        let (service, levels) = (service.to_owned(), levels(steward));
        state.events.emit(Kind::GroupsChanged { service, levels });
    }
    orders
}

/// Levels of the models, for the log.
fn levels(steward: &Steward) -> String {
    let levels = steward.levels().iter().map(|it| {
        let free = &it.free_by_fabric;
        format!("{}={}+{}/{} free={free:?}", it.model, it.open, it.forming, it.target)
    });
    levels.collect::<Vec<_>>().join(" ")
}

fn settle(
    state: &State,
    stewards: &mut HashMap<id::Service, Steward>,
    service: &str,
    order: &Order,
    outcome: Outcome,
) {
    let Some(steward) = stewards.get_mut(service) else { return };
    state.events.emit(Kind::OrderSettled {
        host: order.host.clone(),
        order: format!("{:?}", order.action),
        token: steward.token(),
        outcome: format!("{outcome:?}"),
    });
    if outcome == Outcome::Fenced {
        state.duty.forfeit(steward.token());
    }
    steward.settle(state.now(), order, outcome);
}

/// Gives an order under the number of orders that the host reports, so that an order that is carried
/// out late can't follow a newer one.
async fn deliver(
    state: Arc<State>,
    service: id::Service,
    token: id::Token,
    order: Order,
) -> Settled {
    let host = state.knowledge().hosts.get(&order.host).cloned();
    let Some(host) = host else { return (service, order, Outcome::Unreachable) };
    let report = inspect::report(&state, &host.id, &host.address, REPORT_TIMEOUT).await;
    let outcome = match report {
        Ok(status) => {
            state.note_pace(&host.id, status.pace);
            inspect::order(&state, &host.id, &host.address, &order.action, token, status.seq).await
        }
        Err(_) => Outcome::Unreachable,
    };
    (service, order, outcome)
}

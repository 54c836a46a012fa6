//! Orders to hosts: form, release and fence.

use std::sync::Arc;

use axum::{
    Extension, Json,
    extract::State,
    response::{IntoResponse, Response},
};
use cuminward_core::{host, id};
use cuminward_derive::record;

use super::{fleet, machine::Node, state};
use crate::{reply, server};

/// An order, as a body of `POST /v1/orders`.
#[record]
pub(super) struct Order {
    /// Fencing number.
    fence: id::Fence,
    /// Id of the order.
    order: String,
    /// What to do.
    #[serde(flatten)]
    action: Action,
}

#[record]
#[serde(tag = "action", rename_all = "lowercase")]
enum Action {
    Form(Form),
    Release { group: id::Group, generation: id::Generation },
    Fence,
}

#[record]
struct Form {
    group: id::Group,
    generation: id::Generation,
    service: id::Service,
    model: id::Model,
    version: id::Version,
    members: Vec<Member>,
}

#[record]
struct Member {
    host: id::Host,
    address: String,
}

/// Why an order was refused.
#[derive(Debug)]
enum Error {
    Stale { fence: id::Fence },
    InGroup,
    OtherGroup,
    NotMember,
}

impl IntoResponse for Error {
    fn into_response(self) -> Response {
        match self {
            Error::Stale { fence } => {
                let message = "a larger fencing number was seen";
                reply::error_with(409, "stale-fence", message, &[("fence", fence)])
            }
            Error::InGroup => reply::error(409, "in-group", "the host is in another group"),
            Error::OtherGroup => reply::error(409, "other-group", "the host is in another group"),
            Error::NotMember => reply::error(400, "not-member", "the members lack this host"),
        }
    }
}

/// Handles `POST /v1/orders`.
pub(super) async fn take(
    State(node): State<Node>,
    Extension(connection): Extension<server::Connection>,
    Json(order): Json<Order>,
) -> Response {
    // The order takes effect even if the connection breaks meanwhile.
    let effect = tokio::spawn(delayed(node.clone(), order));
    let (outcome, lost) = effect.await.expect("applying an order doesn't panic");
    if lost {
        return connection.abandon().await;
    }
    match outcome {
        Ok(report) => Json(report).into_response(),
        Err(error) => error.into_response(),
    }
}

async fn delayed(node: Node, order: Order) -> (Result<host::Report, Error>, bool) {
    let delay = node.traits().order_delay;
    tokio::time::sleep(delay).await;
    let mut state = node.fleet.lock();
    let outcome = apply(&mut state, &node.host, &order);
    let counters = &mut state.book.counters;
    match &outcome {
        Ok(_) => counters.orders_accepted += 1,
        Err(Error::Stale { .. }) => {
            counters.orders_stale += 1;
            counters.orders_refused += 1;
        }
        Err(_) => counters.orders_refused += 1,
    }
    let lost = lose_answer(&mut state, &node.host);
    drop(state);
    if outcome.is_ok() {
        load(&node);
    }
    (outcome, lost)
}

fn lose_answer(state: &mut state::State, host: &str) -> bool {
    let Some(machine) = state.machines.get_mut(host) else { return false };
    let lost = machine.traits.lose_order_answers > 0;
    machine.traits.lose_order_answers = machine.traits.lose_order_answers.saturating_sub(1);
    lost
}

fn apply(state: &mut state::State, host: &str, order: &Order) -> Result<host::Report, Error> {
    let machine = state.machines.get_mut(host).expect("hosts are never removed");
    if order.fence < machine.fence {
        if machine.traits.enforcing {
            return Err(Error::Stale { fence: machine.fence });
        }
        state.book.counters.orders_stale_accepted += 1;
    }
    machine.fence = machine.fence.max(order.fence);
    match &order.action {
        Action::Fence => {}
        Action::Release { group, generation } => release(state, host, group, *generation)?,
        Action::Form(formation) => form(state, host, formation)?,
    }
    Ok(state.machines[host].report())
}

fn release(
    state: &mut state::State,
    host: &str,
    group: &str,
    generation: id::Generation,
) -> Result<(), Error> {
    let machine = &state.machines[host];
    if machine.membership.is_none() {
        return Ok(());
    }
    if !machine.in_formation(group, generation) {
        return Err(Error::OtherGroup);
    }
    state.leave(host);
    Ok(())
}

fn form(state: &mut state::State, host: &str, form: &Form) -> Result<(), Error> {
    if !form.members.iter().any(|it| it.host == host) {
        return Err(Error::NotMember);
    }
    let machine = &state.machines[host];
    if machine.in_formation(&form.group, form.generation) {
        return Ok(());
    }
    if machine.membership.is_some() {
        return Err(Error::InGroup);
    }
    let twice = state.claims(host, &form.group, form.generation, false);
    state.book.counters.claimed_twice += u64::from(twice);
    let membership = host::Membership {
        group: form.group.clone(),
        generation: form.generation,
        service: form.service.clone(),
        model: form.model.clone(),
        version: form.version.clone(),
        members: form.members.iter().map(|it| it.host.clone()).collect(),
        phase: host::Phase::Loading,
    };
    let machine = state.machines.get_mut(host).expect("hosts are never removed");
    machine.membership = Some(membership);
    Ok(())
}

/// Loads the weights that the host's formation needs, then makes the formation ready if it can.
fn load(node: &Node) {
    let (formation, life, present) = {
        let state = node.fleet.lock();
        let machine = &state.machines[&node.host];
        let Some(formation) = machine.membership.clone() else { return };
        if formation.phase != host::Phase::Loading {
            return;
        }
        let wanted = (formation.model.clone(), formation.version.clone());
        (formation, machine.life.clone(), machine.weights.as_ref() == Some(&wanted))
    };
    if present {
        return node.fleet.lock().try_ready(&formation);
    }
    let (fleet, host) = (node.fleet.clone(), node.host.clone());
    tokio::spawn(async move {
        tokio::select! {
            () = life.cancelled() => {}
            () = fetch(fleet, host, formation) => {}
        }
    });
}

async fn fetch(fleet: Arc<fleet::Shared>, host: id::Host, formation: host::Membership) {
    fleet.weights.fetch(&formation.model, &formation.version).await;
    let mut state = fleet.lock();
    let machine = state.machines.get_mut(&host).expect("hosts are never removed");
    machine.weights = Some((formation.model.clone(), formation.version.clone()));
    state.try_ready(&formation);
}

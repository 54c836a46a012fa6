//! Orders to hosts: form, release and fence.

use axum::{
    Extension, Json,
    extract::State,
    response::{IntoResponse, Response},
};
use cuminward_core::{host, id};
use cuminward_derive::record;
use tokio_util::sync::CancellationToken;

use super::{counter, fleet, machine::Node, state};
use crate::{reply, server, weights};

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
    let effect = tokio::spawn(delayed(node, order));
    let outcome = effect.await.expect("applying an order doesn't panic");
    match outcome {
        None => connection.abandon().await,
        Some(Ok(report)) => Json(report).into_response(),
        Some(Err(error)) => error.into_response(),
    }
}

/// Applies an order after the host's delay; `None` when the answer is lost.
async fn delayed(node: Node, order: Order) -> Option<Result<host::Report, Error>> {
    let received = node.incarnation();
    let delay = node.traits().order_delay;
    tokio::time::sleep(delay).await;
    let mut state = node.fleet.lock();
    let machine = &state.machines[&node.host];
    let died = !machine.alive() || machine.incarnation != received;
    if died {
        return None;
    }
    let outcome = apply(&mut state, &node.host, &order);
    count(&mut state.book.counters, &outcome);
    let lost = lose_answer(&mut state, &node.host);
    drop(state);
    if outcome.is_ok() {
        load(&node);
    }
    Some(outcome).filter(|_| !lost)
}

/// Lets a host form a group under the largest fencing number that it has seen.
pub(super) fn form_now(node: &Node, formation: &host::Membership) -> bool {
    let member = |it: &id::Host| Member { host: it.clone(), address: String::new() };
    let form = Form {
        group: formation.group.clone(),
        generation: formation.generation,
        service: formation.service.clone(),
        model: formation.model.clone(),
        version: formation.version.clone(),
        members: formation.members.iter().map(member).collect(),
    };
    let mut state = node.fleet.lock();
    let Some(machine) = state.machines.get(&node.host) else { return false };
    let (alive, fence) = (machine.alive(), machine.fence);
    let order = Order { fence, order: String::new(), action: Action::Form(form) };
    let formed = alive && apply(&mut state, &node.host, &order).is_ok();
    drop(state);
    if formed {
        load(node);
    }
    formed
}

fn count(counters: &mut counter::Counters, outcome: &Result<host::Report, Error>) {
    let stale = matches!(outcome, Err(Error::Stale { .. }));
    counters.orders_accepted += u64::from(outcome.is_ok());
    counters.orders_refused += u64::from(outcome.is_err());
    counters.orders_stale += u64::from(stale);
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

/// Starts to load the weights that the host's formation needs, if that hasn't started yet.
fn load(node: &Node) {
    let mut state = node.fleet.lock();
    let machine = state.machines.get_mut(&node.host).expect("hosts are never removed");
    let Some(formation) = machine.membership.clone() else { return };
    if machine.loading.is_some() {
        return;
    }
    let left = CancellationToken::new();
    machine.loading = Some(left.clone());
    if machine.has_weights(&formation) {
        return state.try_ready(&formation);
    }
    let (fleet, host) = (node.fleet.clone(), node.host.clone());
    tokio::spawn(async move {
        tokio::select! {
            () = left.cancelled() => {}
            () = fetch(&fleet.weights, &formation) => fetched(&fleet, &host, &left),
        }
    });
}

async fn fetch(weights: &weights::Handle, formation: &host::Membership) {
    weights.fetch(&formation.model, &formation.version).await;
}

/// Notes that the weights of the host's formation are there, unless the host has left it.
fn fetched(fleet: &fleet::Shared, host: &str, left: &CancellationToken) {
    let mut state = fleet.lock();
    if left.is_cancelled() {
        return;
    }
    let machine = state.machines.get_mut(host).expect("hosts are never removed");
    let Some(formation) = machine.membership.clone() else { return };
    machine.weights = Some((formation.model.clone(), formation.version.clone()));
    state.try_ready(&formation);
}

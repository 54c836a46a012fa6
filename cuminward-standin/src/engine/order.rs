//! Applies orders to hosts: form, release and fence.

use axum::{
    Extension, Json,
    extract::State,
    response::{IntoResponse, Response},
};
use cuminward_core::{host, id};
use cuminward_derive::record;
use tokio_util::sync::CancellationToken;

use super::{counter, fleet, handler::Context, state};
use crate::{reply, server, weights};

/// Body of `POST /v1/orders`.
#[record]
pub(super) struct Order {
    /// Fencing number.
    fence: id::Fence,
    /// Id of the order.
    order: String,
    /// Action to take.
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

/// Reason for which an order is refused.
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
pub(super) async fn handle(
    State(context): State<Context>,
    Extension(connection): Extension<server::Connection>,
    Json(order): Json<Order>,
) -> Response {
    // A task of its own, so that the order takes effect even if the connection breaks meanwhile.
    let applied = tokio::spawn(apply_after_delay(context, order));
    let outcome = applied.await.expect("applying an order doesn't panic");
    match outcome {
        None => connection.abandon().await,
        Some(Ok(report)) => Json(report).into_response(),
        Some(Err(error)) => error.into_response(),
    }
}

/// Applies an order after the delay of the host. Returns `None` when no answer is to be sent: the
/// host stopped or restarted meanwhile, or a fault loses the answer.
async fn apply_after_delay(context: Context, order: Order) -> Option<Result<host::Report, Error>> {
    let received = context.incarnation();
    let delay = context.behaviour().order_delay;
    tokio::time::sleep(delay).await;
    let mut state = context.fleet.lock();
    let engine = &state.engines[&context.host];
    let interrupted = !engine.is_alive() || engine.incarnation != received;
    if interrupted {
        return None;
    }
    let outcome = apply(&mut state, &context.host, &order);
    count_outcome(&mut state.stats.counters, &outcome);
    let lost = take_lost_answer(&mut state, &context.host);
    drop(state);
    if outcome.is_ok() {
        start_loading(&context);
    }
    Some(outcome).filter(|_| !lost)
}

/// Forms a group at one host without an order, under the largest fencing number that the host has
/// seen. Returns whether the host accepted the group.
pub(super) fn form_directly(context: &Context, formation: &host::Membership) -> bool {
    let member = |it: &id::Host| Member { host: it.clone(), address: String::new() };
    let form = Form {
        group: formation.group.clone(),
        generation: formation.generation,
        service: formation.service.clone(),
        model: formation.model.clone(),
        version: formation.version.clone(),
        members: formation.members.iter().map(member).collect(),
    };
    let mut state = context.fleet.lock();
    let Some(engine) = state.engines.get(&context.host) else { return false };
    let (alive, fence) = (engine.is_alive(), engine.fence);
    let order = Order { fence, order: String::new(), action: Action::Form(form) };
    let formed = alive && apply(&mut state, &context.host, &order).is_ok();
    drop(state);
    if formed {
        start_loading(context);
    }
    formed
}

fn count_outcome(counters: &mut counter::Counters, outcome: &Result<host::Report, Error>) {
    let stale = matches!(outcome, Err(Error::Stale { .. }));
    counters.orders_accepted += u64::from(outcome.is_ok());
    counters.orders_refused += u64::from(outcome.is_err());
    counters.orders_stale += u64::from(stale);
}

/// Returns whether the answer to this order is to be lost, and uses up one of the lost answers.
fn take_lost_answer(state: &mut state::State, host: &str) -> bool {
    let Some(engine) = state.engines.get_mut(host) else { return false };
    let lost = engine.behaviour.lose_order_answers > 0;
    engine.behaviour.lose_order_answers = engine.behaviour.lose_order_answers.saturating_sub(1);
    lost
}

fn apply(state: &mut state::State, host: &str, order: &Order) -> Result<host::Report, Error> {
    let engine = state.engines.get_mut(host).expect("hosts are never removed");
    if order.fence < engine.fence {
        if engine.behaviour.fencing {
            return Err(Error::Stale { fence: engine.fence });
        }
        state.stats.counters.orders_stale_accepted += 1;
    }
    engine.fence = engine.fence.max(order.fence);
    match &order.action {
        Action::Fence => {}
        Action::Release { group, generation } => release(state, host, group, *generation)?,
        Action::Form(formation) => form(state, host, formation)?,
    }
    Ok(state.engines[host].report())
}

fn release(
    state: &mut state::State,
    host: &str,
    group: &str,
    generation: id::Generation,
) -> Result<(), Error> {
    let engine = &state.engines[host];
    if engine.membership.is_none() {
        return Ok(());
    }
    if !engine.in_formation(group, generation) {
        return Err(Error::OtherGroup);
    }
    state.leave_group(host);
    Ok(())
}

fn form(state: &mut state::State, host: &str, form: &Form) -> Result<(), Error> {
    if !form.members.iter().any(|it| it.host == host) {
        return Err(Error::NotMember);
    }
    let engine = &state.engines[host];
    if engine.in_formation(&form.group, form.generation) {
        return Ok(());
    }
    if engine.membership.is_some() {
        return Err(Error::InGroup);
    }
    let conflict = state.is_in_other_formation(host, &form.group, form.generation, false);
    state.stats.counters.claimed_twice += u64::from(conflict);
    let membership = host::Membership {
        group: form.group.clone(),
        generation: form.generation,
        service: form.service.clone(),
        model: form.model.clone(),
        version: form.version.clone(),
        members: form.members.iter().map(|it| it.host.clone()).collect(),
        phase: host::Phase::Loading,
    };
    let engine = state.engines.get_mut(host).expect("hosts are never removed");
    engine.membership = Some(membership);
    Ok(())
}

/// Starts to load the weights for the formation of a host unless loading has already started.
fn start_loading(context: &Context) {
    let mut state = context.fleet.lock();
    let engine = state.engines.get_mut(&context.host).expect("hosts are never removed");
    let Some(formation) = engine.membership.clone() else { return };
    if engine.loading.is_some() {
        return;
    }
    let cancel = CancellationToken::new();
    engine.loading = Some(cancel.clone());
    if engine.has_weights(&formation) {
        return state.mark_ready_if_loaded(&formation);
    }
    let (fleet, host) = (context.fleet.clone(), context.host.clone());
    tokio::spawn(async move {
        tokio::select! {
            () = cancel.cancelled() => {}
            () = fetch(&fleet.weights, &formation) => finish_loading(&fleet, &host, &cancel),
        }
    });
}

async fn fetch(weights: &weights::Handle, formation: &host::Membership) {
    weights.fetch(&formation.model, &formation.version).await;
}

/// Records that the weights for the formation of a host are loaded, unless the host has left the
/// formation.
fn finish_loading(fleet: &fleet::Shared, host: &str, cancel: &CancellationToken) {
    let mut state = fleet.lock();
    if cancel.is_cancelled() {
        return;
    }
    let engine = state.engines.get_mut(host).expect("hosts are never removed");
    let Some(formation) = engine.membership.clone() else { return };
    engine.weights = Some((formation.model.clone(), formation.version.clone()));
    state.mark_ready_if_loaded(&formation);
}

//! Dispatches requests to upstreams: at once if a slot is free, otherwise from a fair queue for
//! each model or service.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use cuminward_core::outcome::{Cause, Refusal};
use cuminward_route::fair_queue;
use tokio::sync::{mpsc, oneshot};

use crate::{
    request::{search, usage},
    state,
};

/// Maximum number of requests that may wait at one node for one model or service.
const MAX_WAITING: usize = 1_024;

/// Longest time between two attempts to dispatch the waiting requests.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which a request without a deadline from its caller is refused if no failure domain
/// has a known upstream for it.
const NO_UPSTREAM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after which a waiting request may also be sent to the upstreams that have failed it.
const AVOIDANCE_TIMEOUT: Duration = Duration::from_millis(300);

/// `Retry-After` of a request that was refused because no upstream was known, in seconds.
const RETRY_AFTER_SECONDS: u32 = 2;

/// Passes waiting requests to the task that dispatches them.
pub struct Dispatcher {
    nodes: AtomicUsize,
    sender: mpsc::UnboundedSender<Waiter>,
    receiver: Mutex<Option<mpsc::UnboundedReceiver<Waiter>>>,
}

/// Queues of requests that wait, by model or service.
type Queues = HashMap<String, fair_queue::Queue<Waiter>>;

/// Result of waiting for a slot.
type Answer = Result<search::Grant, Refusal>;

/// A request that waits for a slot.
struct Waiter {
    criteria: search::Criteria,
    enqueued: Duration,
    answer: oneshot::Sender<Answer>,
}

/// Life cycle
impl Default for Dispatcher {
    fn default() -> Dispatcher {
        let (sender, receiver) = mpsc::unbounded_channel();
        Dispatcher { nodes: AtomicUsize::new(1), sender, receiver: Mutex::new(Some(receiver)) }
    }
}

/// Access
impl Dispatcher {
    /// Returns the number of nodes of the failure domain that share the upstreams' slots.
    pub fn nodes(&self) -> usize {
        self.nodes.load(Ordering::Acquire)
    }
}

/// Mutation
impl Dispatcher {
    /// Sets the number of nodes of the failure domain that share the upstreams' slots.
    pub fn set_nodes(&self, nodes: usize) {
        self.nodes.store(nodes, Ordering::Release);
    }
}

/// Returns the number of requests that wait for a slot, over all models and services.
pub fn count_waiting(state: &state::State) -> u32 {
    state.view.load().usage.values().map(|it| it.waiting()).sum()
}

/// Takes a slot of an upstream that meets the criteria, and waits for one if necessary. A request
/// that finds a free slot while no other request waits takes no lock.
///
/// # Errors
///
/// Returns a refusal with the outcome "not run" if the model or service isn't declared, the request
/// can't be served, the queue is full, the deadline passes, or the node shuts down.
pub async fn acquire(state: &Arc<state::State>, criteria: search::Criteria) -> Answer {
    let declared = state.view.load().usage.get(criteria.target.name()).map(Arc::clone);
    let usage = declared.ok_or_else(|| not_declared(&criteria))?;
    if usage.waiting() == 0 {
        let capacity = usage.capacity(state.dispatcher.nodes());
        match search::run(state, &criteria, usage.admits(&criteria.team, &capacity)) {
            search::Outcome::Granted(granted) => return Ok(*granted),
            search::Outcome::Refused(refusal) => return Err(refusal),
            search::Outcome::Busy => {}
        }
    }
    let _waiting = usage.start_waiting();
    let (answer, receiver) = oneshot::channel();
    let waiter = Waiter { criteria, enqueued: state.now(), answer };
    state.dispatcher.sender.send(waiter).map_err(|_| shutting_down())?;
    receiver.await.unwrap_or_else(|_| Err(shutting_down()))
}

/// Dispatches the waiting requests until the node stops.
pub async fn run(state: Arc<state::State>) {
    let receiver =
        state.dispatcher.receiver.lock().expect("no code panics while it has the lock").take();
    let mut receiver = receiver.expect("the task is started once");
    let mut queues = Queues::new();
    loop {
        let has_waiters = queues.values().any(|it| !it.is_empty());
        tokio::select! {
            Some(waiter) = receiver.recv() => enqueue(&state, &mut queues, waiter),
            () = state.slot_freed.notified() => {}
            () = tokio::time::sleep(POLL_INTERVAL), if has_waiters => {}
            () = state.stop.cancelled() => return,
        }
        while let Ok(waiter) = receiver.try_recv() {
            enqueue(&state, &mut queues, waiter);
        }
        queues.retain(|name, it| serve_queue(&state, name, it));
    }
}

/// Adds a request to the queue of its model or service, or refuses it if the queue rejects it.
fn enqueue(state: &state::State, queues: &mut Queues, waiter: Waiter) {
    let new_queue = || {
        fair_queue::Queue::new(fair_queue::Options {
            max_waiting: MAX_WAITING,
            ..fair_queue::Options::default()
        })
    };
    let name = waiter.criteria.target.name();
    let queue = queues.entry(name.to_owned()).or_insert_with(new_queue);
    let view = state.view.load();
    let weight = view.usage.get(name).map_or(1, |it| it.weight(&waiter.criteria.team));
    let entry = fair_queue::Entry {
        team: waiter.criteria.team.clone(),
        weight,
        limit: u32::MAX,
        priority: waiter.criteria.priority,
        cost: 1,
        deadline: waiter.criteria.deadline,
        item: waiter,
    };
    if let Err(rejected) = queue.push(state.now(), entry) {
        let _ = rejected.item.answer.send(Err(rejected.refusal));
    }
}

/// Gives slots to the waiting requests of a model or service as long as slots are free, after
/// removing those that expired, were abandoned or can't be served. Returns whether the queue is to
/// be kept: `false` if the model or service is no longer declared.
fn serve_queue(
    state: &Arc<state::State>,
    name: &str,
    queue: &mut fair_queue::Queue<Waiter>,
) -> bool {
    let now = state.now();
    for rejected in queue.expire(now) {
        let _ = rejected.item.answer.send(Err(rejected.refusal));
    }
    queue.take_if(|it| it.item.answer.is_closed());
    refuse_unservable(state, now, queue);
    let view = state.view.load();
    let Some(usage) = view.usage.get(name) else {
        let waiters = queue.take_if(|_| true);
        waiters.into_iter().for_each(|it| send_answer(it.item, Err(unavailable())));
        return false;
    };
    while !queue.is_empty() && serve_next(state, now, usage, queue) {}
    usage.distribute_waiting(queue.len());
    true
}

/// Answers the next waiting request that can get a slot or a refusal now; returns whether there was
/// one.
fn serve_next(
    state: &Arc<state::State>,
    now: Duration,
    usage: &usage::Usage,
    queue: &mut fair_queue::Queue<Waiter>,
) -> bool {
    usage.teams().for_each(|(team, running)| queue.set_running(team, running));
    let capacity = usage.capacity(state.dispatcher.nodes());
    queue.set_headroom(capacity.headroom_permille());
    let accept = |entry: &fair_queue::Entry<Waiter>, admitted: bool| {
        let outcome = match now < entry.item.enqueued + AVOIDANCE_TIMEOUT
            || entry.item.criteria.avoid.is_empty()
        {
            true => search::run(state, &entry.item.criteria, admitted),
            false => search::run(state, &without_avoided(&entry.item.criteria), admitted),
        };
        match outcome {
            search::Outcome::Granted(granted) => Some(Ok(*granted)),
            search::Outcome::Refused(refusal) => Some(Err(refusal)),
            search::Outcome::Busy => None,
        }
    };
    let Some((entry, result)) = queue.offer(now, &capacity, accept) else { return false };
    send_answer(entry.item, result);
    true
}

/// Refuses the requests that have no known upstream after [`NO_UPSTREAM_TIMEOUT`], unless they wait
/// until their deadline.
fn refuse_unservable(state: &state::State, now: Duration, queue: &mut fair_queue::Queue<Waiter>) {
    let unservable = |it: &fair_queue::Entry<Waiter>| {
        let Waiter { criteria, enqueued, .. } = &it.item;
        !criteria.waits_until_deadline
            && *enqueued + NO_UPSTREAM_TIMEOUT < now
            && search::is_unservable(state, &without_avoided(criteria))
    };
    for entry in queue.take_if(unservable) {
        send_answer(entry.item, Err(unavailable()));
    }
}

/// Returns the criteria without the exclusion of upstreams that have failed the request.
fn without_avoided(criteria: &search::Criteria) -> search::Criteria {
    search::Criteria { avoid: Vec::new(), ..criteria.clone() }
}

/// Answers a waiting request. The answer is dropped if the caller has disconnected.
fn send_answer(waiter: Waiter, answer: Answer) {
    let _ = waiter.answer.send(answer);
}

fn unavailable() -> Refusal {
    let message = "no whole replica or host serves the request";
    Refusal::not_run(Cause::Unavailable, message).retry_after(RETRY_AFTER_SECONDS)
}

fn not_declared(criteria: &search::Criteria) -> Refusal {
    Refusal::not_run(Cause::NotFound, format!("`{}` is not declared", criteria.target.name()))
}

fn shutting_down() -> Refusal {
    Refusal::not_run(Cause::ShuttingDown, "the node is shutting down")
}

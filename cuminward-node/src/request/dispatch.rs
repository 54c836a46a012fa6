//! Gives requests a slot of an upstream: at once where one is free, else in fair order.

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

/// Requests that may wait at one node for one model or service.
const WAITING: usize = 1_024;

/// Longest time between two looks at the waiting requests.
const LOOK: Duration = Duration::from_millis(20);

/// Time that a request without a deadline of its caller waits while no upstream is known anywhere.
const PATIENCE: Duration = Duration::from_millis(1_500);

/// Time after which a request that waits is also given to the upstreams that failed it before.
const AVOIDANCE: Duration = Duration::from_millis(300);

/// Time after which a caller should repeat a request for which no upstream was known, in seconds.
const RETRY_SECONDS: u32 = 2;

/// Where requests ask for slots.
pub struct Dispatcher {
    nodes: AtomicUsize,
    sender: mpsc::UnboundedSender<Waiting>,
    receiver: Mutex<Option<mpsc::UnboundedReceiver<Waiting>>>,
}

/// Waiting requests by model or service.
type Queues = HashMap<String, fair_queue::Queue<Waiting>>;

/// What a waiting request gets.
type Answer = Result<search::Granted, Refusal>;

/// A waiting request.
struct Waiting {
    wish: search::Wish,
    since: Duration,
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
    /// Nodes of the failure domain that divide the upstreams' slots.
    pub fn nodes(&self) -> usize {
        self.nodes.load(Ordering::Acquire)
    }
}

/// Mutation
impl Dispatcher {
    /// Sets how many nodes of the failure domain divide the upstreams' slots.
    pub fn set_nodes(&self, nodes: usize) {
        self.nodes.store(nodes, Ordering::Release);
    }
}

/// Requests of all models and services that wait for a slot.
pub fn count_waiting(state: &state::State) -> u32 {
    state.view.load().usage.values().map(|it| it.waiting()).sum()
}

/// Gets a slot of an upstream that fits the wish. A request that finds a slot while no other one
/// waits takes no lock.
///
/// # Errors
///
/// A refusal that says "not run".
pub async fn acquire(state: &Arc<state::State>, wish: search::Wish) -> Answer {
    let known = state.view.load().usage.get(wish.target.name()).map(Arc::clone);
    let usage = known.ok_or_else(|| not_declared(&wish))?;
    if usage.waiting() == 0 {
        let capacity = usage.capacity(state.dispatcher.nodes());
        match search::run(state, &wish, usage.admits(&wish.team, &capacity)) {
            search::Outcome::Granted(granted) => return Ok(*granted),
            search::Outcome::Refused(refusal) => return Err(refusal),
            search::Outcome::Busy => {}
        }
    }
    let _waiting = usage.wait();
    let (answer, granted) = oneshot::channel();
    let waiting = Waiting { wish, since: state.now(), answer };
    state.dispatcher.sender.send(waiting).map_err(|_| shutting_down())?;
    granted.await.unwrap_or_else(|_| Err(shutting_down()))
}

/// Serves the waiting requests until the node stops.
pub async fn run(state: Arc<state::State>) {
    let receiver =
        state.dispatcher.receiver.lock().expect("no code panics while it has the lock").take();
    let mut receiver = receiver.expect("the task is started once");
    let mut queues = Queues::new();
    loop {
        let waits = queues.values().any(|it| !it.is_empty());
        tokio::select! {
            Some(waiting) = receiver.recv() => push(&state, &mut queues, waiting),
            () = state.slot_freed.notified() => {}
            () = tokio::time::sleep(LOOK), if waits => {}
            () = state.stop.cancelled() => return,
        }
        while let Ok(waiting) = receiver.try_recv() {
            push(&state, &mut queues, waiting);
        }
        queues.retain(|name, it| serve(&state, name, it));
    }
}

/// Lets a request wait in the queue of its model or service.
fn push(state: &state::State, queues: &mut Queues, waiting: Waiting) {
    let new = || {
        fair_queue::Queue::new(fair_queue::Options {
            max_waiting: WAITING,
            ..fair_queue::Options::default()
        })
    };
    let name = waiting.wish.target.name();
    let queue = queues.entry(name.to_owned()).or_insert_with(new);
    let view = state.view.load();
    let weight = view.usage.get(name).map_or(1, |it| it.weight(&waiting.wish.team));
    let entry = fair_queue::Entry {
        team: waiting.wish.team.clone(),
        weight,
        limit: u32::MAX,
        priority: waiting.wish.priority,
        cost: 1,
        deadline: waiting.wish.deadline,
        item: waiting,
    };
    if let Err(rejected) = queue.push(state.now(), entry) {
        let _ = rejected.item.answer.send(Err(rejected.refusal));
    }
}

/// Gives slots to the waiting requests of a model or service as long as there are any; tells whether
/// the queue is still of use.
fn serve(state: &Arc<state::State>, name: &str, queue: &mut fair_queue::Queue<Waiting>) -> bool {
    let now = state.now();
    for rejected in queue.expire(now) {
        let _ = rejected.item.answer.send(Err(rejected.refusal));
    }
    queue.take_if(|it| it.item.answer.is_closed());
    refuse_hopeless(state, now, queue);
    let view = state.view.load();
    let Some(usage) = view.usage.get(name) else {
        let gone = queue.take_if(|_| true);
        gone.into_iter().for_each(|it| answer(it.item, Err(unavailable())));
        return false;
    };
    while !queue.is_empty() && serve_next(state, now, usage, queue) {}
    usage.share_waiting(queue.len());
    true
}

/// Answers the waiting request that goes next and can be answered now.
fn serve_next(
    state: &Arc<state::State>,
    now: Duration,
    usage: &usage::Usage,
    queue: &mut fair_queue::Queue<Waiting>,
) -> bool {
    usage.teams().for_each(|(team, running)| queue.set_running(team, running));
    let capacity = usage.capacity(state.dispatcher.nodes());
    queue.set_headroom(capacity.headroom_permille());
    let accept = |entry: &fair_queue::Entry<Waiting>, admitted: bool| {
        let outcome = match now < entry.item.since + AVOIDANCE || entry.item.wish.avoid.is_empty() {
            true => search::run(state, &entry.item.wish, admitted),
            false => search::run(state, &anywhere(&entry.item.wish), admitted),
        };
        match outcome {
            search::Outcome::Granted(granted) => Some(Ok(*granted)),
            search::Outcome::Refused(refusal) => Some(Err(refusal)),
            search::Outcome::Busy => None,
        }
    };
    let Some((entry, granted)) = queue.offer(now, &capacity, accept) else { return false };
    answer(entry.item, granted);
    true
}

/// Refuses the requests that can't wait for an upstream while none is known.
fn refuse_hopeless(state: &state::State, now: Duration, queue: &mut fair_queue::Queue<Waiting>) {
    let hopeless = |it: &fair_queue::Entry<Waiting>| {
        let Waiting { wish, since, .. } = &it.item;
        !wish.patient && *since + PATIENCE < now && search::is_hopeless(state, &anywhere(wish))
    };
    for entry in queue.take_if(hopeless) {
        answer(entry.item, Err(unavailable()));
    }
}

/// The wish without the upstreams that failed it before.
fn anywhere(wish: &search::Wish) -> search::Wish {
    search::Wish { avoid: Vec::new(), ..wish.clone() }
}

/// Answers a request; its caller may have left.
fn answer(waiting: Waiting, answer: Answer) {
    let _ = waiting.answer.send(answer);
}

fn unavailable() -> Refusal {
    let message = "no whole replica or host serves the request";
    Refusal::not_run(Cause::Unavailable, message).retry_after(RETRY_SECONDS)
}

fn not_declared(wish: &search::Wish) -> Refusal {
    Refusal::not_run(Cause::NotFound, format!("`{}` is not declared", wish.target.name()))
}

fn shutting_down() -> Refusal {
    Refusal::not_run(Cause::ShuttingDown, "the node is shutting down")
}

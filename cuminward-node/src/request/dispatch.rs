//! Gives requests a slot of an upstream: at once where one is free, else in fair order.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use cuminward_core::outcome::{Cause, Refusal};
use cuminward_route::share;
use tokio::sync::{mpsc, oneshot};

use crate::{request::search, state};

/// Requests that may wait at one node for one model or service.
const WAITING: usize = 1_024;

/// Longest time between two looks at the waiting requests.
const LOOK: Duration = Duration::from_millis(20);

/// Where requests ask for slots.
pub struct Desk {
    waiting: AtomicU32,
    sender: mpsc::UnboundedSender<Waiting>,
    receiver: Mutex<Option<mpsc::UnboundedReceiver<Waiting>>>,
}

/// Waiting requests by model or service.
type Queues = HashMap<String, share::Queue<Waiting>>;

/// A waiting request.
struct Waiting {
    wish: search::Wish,
    answer: oneshot::Sender<Result<search::Granted, Refusal>>,
}

/// Counts a waiting request until it is dropped.
struct Counted<'a> {
    count: &'a AtomicU32,
}

/// Life cycle
impl Default for Desk {
    fn default() -> Desk {
        let (sender, receiver) = mpsc::unbounded_channel();
        Desk { waiting: AtomicU32::new(0), sender, receiver: Mutex::new(Some(receiver)) }
    }
}

/// Access
impl Desk {
    /// Requests that wait for a slot.
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Acquire)
    }
}

/// Gets a slot of an upstream that fits the wish.
///
/// # Errors
///
/// A refusal that says "not run".
pub async fn acquire(
    state: &Arc<state::State>,
    wish: search::Wish,
) -> Result<search::Granted, Refusal> {
    if state.desk.waiting() == 0 {
        match search::run(state, &wish) {
            search::Outcome::Granted(granted) => return Ok(granted),
            search::Outcome::Refused(refusal) => return Err(refusal),
            search::Outcome::Busy => {}
        }
    }
    let (answer, granted) = oneshot::channel();
    let _counted = Counted::new(&state.desk.waiting);
    state.desk.sender.send(Waiting { wish, answer }).map_err(|_| shutting_down())?;
    granted.await.unwrap_or_else(|_| Err(shutting_down()))
}

/// Serves the waiting requests until the node stops.
pub async fn run(state: Arc<state::State>) {
    let receiver = state.desk.receiver.lock().expect("no code panics while it has the lock").take();
    let mut receiver = receiver.expect("the task is started once");
    let mut queues = Queues::new();
    loop {
        tokio::select! {
            Some(waiting) = receiver.recv() => push(&state, &mut queues, waiting),
            () = state.freed.notified() => {}
            () = tokio::time::sleep(LOOK), if !queues.is_empty() => {}
            () = state.stop.cancelled() => return,
        }
        while let Ok(waiting) = receiver.try_recv() {
            push(&state, &mut queues, waiting);
        }
        for (target, queue) in &mut queues {
            serve(&state, queue);
            ask(&state, target, queue.len());
        }
        queues.retain(|_, it| !it.is_empty());
    }
}

/// Lets a request wait in the queue of its model or service.
fn push(state: &state::State, queues: &mut Queues, waiting: Waiting) {
    let new =
        || share::Queue::new(share::Options { waiting: WAITING, ..share::Options::default() });
    let queue = queues.entry(waiting.wish.target.name().to_owned()).or_insert_with(new);
    let view = state.view.load();
    let team = view.catalog.teams.get(&waiting.wish.team);
    let entry = share::Entry {
        team: waiting.wish.team.clone(),
        weight: team.map_or(1, |it| it.weight),
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

/// Gives slots to waiting requests as long as there are any.
fn serve(state: &Arc<state::State>, queue: &mut share::Queue<Waiting>) {
    let now = state.now();
    for rejected in queue.expire(now) {
        let _ = rejected.item.answer.send(Err(rejected.refusal));
    }
    queue.take(|it| it.item.answer.is_closed());
    let capacity = capacity(state);
    while let Some(entry) = queue.pop(now, &capacity) {
        queue.finish(&entry.team);
        match search::run(state, &entry.item.wish) {
            search::Outcome::Granted(granted) => {
                let _ = entry.item.answer.send(Ok(granted));
            }
            search::Outcome::Refused(refusal) => {
                let _ = entry.item.answer.send(Err(refusal));
            }
            search::Outcome::Busy => {
                let _ = queue.push(now, entry);
                break;
            }
        }
    }
}

/// Tells the holders of a model's or service's upstreams how many requests wait for them, so that
/// their owners grant slots.
fn ask(state: &state::State, target: &str, waiting: usize) {
    let view = state.view.load();
    let replicas = view.table.candidates().filter(|it| it.replica.model == target);
    let replicas = replicas.filter_map(|it| view.slots.get(&it.replica.group));
    let plains = view.plains.get(target).into_iter().flatten().map(|it| &it.slots);
    let holders: Vec<_> = replicas.chain(plains).collect();
    let each = waiting.div_ceil(holders.len().max(1));
    for holder in holders {
        holder.set_waiting(u32::try_from(each).unwrap_or(u32::MAX));
    }
}

/// Slots of this node.
fn capacity(state: &state::State) -> share::Capacity {
    let view = state.view.load();
    let slots = view.slots.values().map(|it| it.allowance()).sum();
    let weights = view.catalog.teams.values().map(|it| it.weight).sum();
    share::Capacity { slots, free: slots, weights }
}

fn shutting_down() -> Refusal {
    Refusal::not_run(Cause::ShuttingDown, "the node is shutting down")
}

/// Life cycle
impl<'a> Counted<'a> {
    fn new(count: &'a AtomicU32) -> Counted<'a> {
        count.fetch_add(1, Ordering::AcqRel);
        Counted { count }
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}

//! Outlier detection: ejects replicas that fail, or that are slow compared with the others, for a
//! time.

use std::{
    collections::{BTreeSet, HashMap},
    sync::{Arc, Mutex},
    time::Duration,
};

use arc_swap::ArcSwap;
use cuminward_core::id;
use cuminward_event::kind::Kind;
use cuminward_route::outlier::{Detector, Options, Sample};
use tokio::sync::mpsc;

use crate::state;

/// Interval at which the results are evaluated.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(500);

/// Collects the results of requests and holds the replicas that are ejected because of them.
pub struct Outliers {
    ejected: ArcSwap<BTreeSet<id::Group>>,
    sender: mpsc::UnboundedSender<Outcome>,
    receiver: Mutex<Option<mpsc::UnboundedReceiver<Outcome>>>,
}

/// Result of one request at a replica.
struct Outcome {
    model: id::Model,
    group: id::Group,
    sample: Sample,
}

/// Outlier detectors by model.
type Detectors = HashMap<id::Model, Detector>;

/// Life cycle
impl Default for Outliers {
    fn default() -> Outliers {
        let (sender, receiver) = mpsc::unbounded_channel();
        Outliers { ejected: ArcSwap::default(), sender, receiver: Mutex::new(Some(receiver)) }
    }
}

/// Access
impl Outliers {
    /// Returns the groups that receive no new requests.
    pub fn ejected(&self) -> Arc<BTreeSet<id::Group>> {
        self.ejected.load_full()
    }
}

/// Mutation
impl Outliers {
    /// Records the result of a request at a replica.
    pub fn record(&self, model: &str, group: &str, sample: Sample) {
        let outcome = Outcome { model: model.to_owned(), group: group.to_owned(), sample };
        // The receiver is gone only while the node stops.
        let _ = self.sender.send(outcome);
    }
}

/// Evaluates the replicas until the node stops.
pub async fn run(state: Arc<state::State>) {
    let receiver =
        state.outliers.receiver.lock().expect("no code panics while it has the lock").take();
    let mut receiver = receiver.expect("the task is started once");
    let mut detectors = Detectors::new();
    let mut interval = tokio::time::interval(EVALUATION_INTERVAL);
    loop {
        tokio::select! {
            _ = interval.tick() => evaluate(&state, &mut detectors),
            Some(it) = receiver.recv() => {
                let detector = detectors.get_mut(&it.model);
                detector.into_iter().for_each(|detector| detector.record(&it.group, it.sample));
            }
            () = state.stop.cancelled() => return,
        }
    }
}

/// Evaluates all detectors, then ejects and restores replicas.
fn evaluate(state: &state::State, detectors: &mut Detectors) {
    let now = state.now();
    let replicas = state.replicas.load();
    let models: BTreeSet<&id::Model> = replicas.routable.iter().map(|it| &it.model).collect();
    detectors.retain(|model, _| models.contains(model));
    let mut ejected = BTreeSet::new();
    for model in models {
        let new = || Detector::new(Options::default());
        let detector = detectors.entry(model.clone()).or_insert_with(new);
        let replicas = replicas.routable.iter().filter(|it| it.model == *model);
        detector.set_upstreams(replicas.map(|it| it.group.as_str()));
        detector.evaluate(now);
        ejected.extend(detector.ejected(now).map(ToOwned::to_owned));
    }
    let former = state.outliers.ejected();
    if *former != ejected {
        emit_changes(state, &former, &ejected);
        state.outliers.ejected.store(Arc::new(ejected));
    }
}

fn emit_changes(state: &state::State, former: &BTreeSet<id::Group>, present: &BTreeSet<id::Group>) {
    for upstream in present.difference(former).cloned() {
        let reason = "slower than the others, or failing".to_owned();
        state.events.emit(Kind::UpstreamEjected { upstream, reason });
    }
    for upstream in former.difference(present).cloned() {
        state.events.emit(Kind::UpstreamRestored { upstream });
    }
}

//! Drives the steward: reads the claims in the log, and executes the steward's outputs, such as
//! orders to hosts.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cuminward_core::{host, id};
use cuminward_event::kind::Kind;
use cuminward_group::{order, steward};
use cuminward_platform::{call, journal};
use cuminward_upstream::error;
use tokio::sync::mpsc;

use crate::{control::outage, state};

/// Capacity of the queue of inputs for the steward.
pub const INPUT_CAPACITY: usize = 1_024;

/// Interval between two ticks of the steward.
const TICK: Duration = Duration::from_millis(100);

/// Maximum number of claims in one read.
const PAGE: usize = 500;

/// Maximum time that a read waits for a new claim.
const WAIT: Duration = Duration::from_millis(500);

/// Delay after a failed read.
const RETRY: Duration = Duration::from_millis(200);

/// Number of renewals within the length of a lease.
const RENEWALS_PER_LEASE: u32 = 3;

/// The steward with its input queue and the stream of its claims.
struct Driver {
    state: Arc<state::State>,
    steward: steward::Steward,
    stream: journal::Stream,
    inputs: mpsc::Sender<steward::Input>,
}

/// Runs the steward until the node stops; resigns if the node shuts down gracefully.
pub async fn run(
    state: Arc<state::State>,
    inputs: mpsc::Sender<steward::Input>,
    mut received: mpsc::Receiver<steward::Input>,
) {
    let stream = claim_stream(&state);
    let steward = steward::Steward::new(options(&state));
    let mut driver = Driver { state: Arc::clone(&state), steward, stream, inputs };
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Some(input) = received.recv() => driver.step(input),
            _ = tick.tick() => driver.tick(),
            () = state.stop.cancelled() => break,
        }
    }
    if state.draining.load(Ordering::Acquire) {
        driver.resign().await;
    }
}

/// Reads the claims in the log and passes them to the steward until the node stops.
pub async fn follow_claims(state: Arc<state::State>, inputs: mpsc::Sender<steward::Input>) {
    let stream = claim_stream(&state);
    let mut next: id::Offset = 0;
    let mut outage = outage::Outage::default();
    while !state.stop.is_cancelled() {
        match stream.read::<steward::claim::Claim>(next, PAGE, WAIT).await {
            Ok(journal::Read::Page(page)) => {
                record_answer(&state, &mut outage);
                let read_all = page.next <= next + page.records.len() as id::Offset;
                for record in page.records {
                    next = record.offset + 1;
                    let input =
                        steward::Input::Record { offset: record.offset, claim: record.value };
                    if inputs.send(input).await.is_err() {
                        return;
                    }
                }
                if read_all && inputs.send(steward::Input::LogRead).await.is_err() {
                    return;
                }
            }
            Ok(journal::Read::Trimmed { oldest }) => next = oldest,
            Err(error) => {
                record_failure(&state, &mut outage, &error);
                tokio::time::sleep(RETRY).await;
            }
        }
    }
}

fn claim_stream(state: &state::State) -> journal::Stream {
    let name = steward::claim::stream_name(&state.settings.domain);
    journal::Stream::new(&state.settings.platform.log, &name)
}

fn record_answer(state: &state::State, outage: &mut outage::Outage) {
    if let Some(after_ms) = outage.record_answer(state.now()) {
        let stream = steward::claim::stream_name(&state.settings.domain);
        state.events.emit(Kind::LogRecovered { stream, after_ms });
    }
}

fn record_failure(state: &state::State, outage: &mut outage::Outage, error: &call::Error) {
    if outage.record_failure(state.now()) {
        let stream = steward::claim::stream_name(&state.settings.domain);
        state.events.emit(Kind::LogUnavailable { stream, message: error.to_string() });
    }
}

fn options(state: &state::State) -> steward::Options {
    let lease = state.settings.timing.lease;
    steward::OptionsBuilder::default()
        .node(state.settings.node.clone())
        .incarnation(state.incarnation)
        .domain(state.settings.domain.clone())
        .lease(lease)
        .renew_interval(lease / RENEWALS_PER_LEASE)
        .max_log_age(lease)
        .build()
        .expect("all settings without a default are given")
}

impl Driver {
    /// Passes the current catalog, hosts and nodes to the steward, then a tick.
    fn tick(&mut self) {
        let catalog = self.state.catalog.load_full();
        let hosts = self.state.hosts.load().hosts.clone();
        let nodes = self.state.peers.live_nodes(&self.state);
        self.step(steward::Input::Catalog(catalog));
        self.step(steward::Input::Hosts(hosts));
        self.step(steward::Input::Nodes(nodes));
        self.step(steward::Input::Tick);
    }

    /// Passes an input to the steward and executes its outputs.
    fn step(&mut self, input: steward::Input) {
        let now = self.state.now();
        for output in self.steward.step(now, input) {
            self.execute(output);
        }
    }

    fn execute(&self, output: steward::Output) {
        match output {
            steward::Output::Append(claim) => self.append(claim),
            steward::Output::Send(dispatch) => self.send(dispatch),
            steward::Output::Read { host, address } => self.read(host, address),
            steward::Output::Retire { group, generation, until } => {
                self.state.retiring.add(self.state.now(), group, generation, until);
            }
            steward::Output::Event(event) => emit_event(&self.state, event),
        }
    }

    /// Appends a claim in a task of its own, which sends the outcome back as an input.
    fn append(&self, claim: steward::claim::Claim) {
        let (stream, inputs) = (self.stream.clone(), self.inputs.clone());
        tokio::spawn(async move {
            let sequence = claim.sequence;
            let outcome = match stream.append(&claim).await {
                Ok(_) => steward::Append::Done,
                Err(call::Error::Unknown(_)) => steward::Append::Unknown,
                Err(_) => steward::Append::Failed,
            };
            let _ = inputs.send(steward::Input::Appended { sequence, outcome }).await;
        });
    }

    /// Sends an order in a task of its own, unless its start time has passed or the node stops.
    fn send(&self, dispatch: steward::Dispatch) {
        let (state, inputs) = (Arc::clone(&self.state), self.inputs.clone());
        tokio::spawn(async move {
            let input = if dispatch.start_before <= state.now() || state.stop.is_cancelled() {
                steward::expired_order(dispatch.host, dispatch.order.order)
            } else {
                let outcome = send_order(&state, &dispatch).await;
                let (host, order) = (dispatch.host, dispatch.order.order);
                steward::Input::OrderCompleted { host, order, outcome }
            };
            let _ = inputs.send(input).await;
        });
    }

    /// Reads the report of a host in a task of its own.
    fn read(&self, host: id::Host, address: String) {
        let (state, inputs) = (Arc::clone(&self.state), self.inputs.clone());
        tokio::spawn(async move {
            let asked = state.now();
            let input = match state.engines.fetch_report(&address).await {
                Ok(report) => {
                    let observation = host::Observation { report, at: state.now() };
                    steward::Input::Observed { observation, asked }
                }
                Err(_) => steward::Input::Unreachable(host),
            };
            let _ = inputs.send(input).await;
        });
    }

    /// Resigns from the term, if this node holds it.
    async fn resign(&mut self) {
        let now = self.state.now();
        for output in self.steward.step(now, steward::Input::Shutdown) {
            match output {
                steward::Output::Append(claim) => {
                    let _ = self.stream.append(&claim).await;
                }
                steward::Output::Event(event) => emit_event(&self.state, event),
                steward::Output::Send(_)
                | steward::Output::Read { .. }
                | steward::Output::Retire { .. } => {}
            }
        }
    }
}

/// Sends an order to a host, emits events about it and returns the outcome.
///
/// After the timeout the future is dropped, which closes the connection.
async fn send_order(state: &state::State, dispatch: &steward::Dispatch) -> steward::Answer {
    let (action, group, generation) = describe(&dispatch.order.action);
    let host = dispatch.host.clone();
    state.events.emit(Kind::OrderSent {
        host: host.clone(),
        action: action.clone(),
        group: group.clone(),
        generation,
        fence: dispatch.order.fence,
    });
    let sending = state.engines.send_order(&dispatch.address, &dispatch.order);
    match tokio::time::timeout(dispatch.timeout, sending).await {
        Ok(Ok(report)) => {
            state.events.emit(Kind::OrderAccepted { host, action, group, generation });
            steward::Answer::Accepted(report)
        }
        Ok(Err(error::Error::Refused(answer))) => {
            let reason = answer.code.clone();
            state.events.emit(Kind::OrderRefused { host, action, group, generation, reason });
            match answer.fence {
                Some(fence) if answer.code == "stale-fence" => steward::Answer::Stale { fence },
                _ => steward::Answer::Refused { code: answer.code },
            }
        }
        Ok(Err(error::Error::Connect { message, .. })) => {
            let reason = message;
            state.events.emit(Kind::OrderRefused { host, action, group, generation, reason });
            steward::Answer::Refused { code: "connect".to_owned() }
        }
        Ok(Err(error)) => emit_unknown(state, host, &dispatch.order.action, error.to_string()),
        Err(_) => emit_unknown(
            state,
            host,
            &dispatch.order.action,
            "the host did not answer within the timeout".to_owned(),
        ),
    }
}

/// Emits that the outcome of an order is unknown.
fn emit_unknown(
    state: &state::State,
    host: id::Host,
    action: &order::Action,
    message: String,
) -> steward::Answer {
    let (action, group, generation) = describe(action);
    state.events.emit(Kind::OrderUnknown { host, action, group, generation, message });
    steward::Answer::Unknown
}

/// Returns the name, group and generation of an order for events.
fn describe(action: &order::Action) -> (String, id::Group, id::Generation) {
    match action {
        order::Action::Form(it) => ("form".to_owned(), it.group.clone(), it.generation),
        order::Action::Release(it) => ("release".to_owned(), it.group.clone(), it.generation),
        order::Action::Fence => ("fence".to_owned(), id::Group::new(), 0),
    }
}

/// Emits an event of the steward, or logs it if the time line has no kind for it.
fn emit_event(state: &state::State, event: steward::event::Event) {
    use steward::event::{End, Event};
    let domain = state.settings.domain.clone();
    match event {
        Event::TermStarted { fence } => {
            state.events.emit(Kind::StewardClaimed { domain, fence });
        }
        Event::TermEnded { fence, cause: End::Superseded | End::Fenced } => {
            state.events.emit(Kind::StewardSuperseded {
                domain,
                fence,
                by: id::Node::new(),
                by_fence: 0,
            });
        }
        Event::TermEnded { fence, .. } => {
            state.events.emit(Kind::StewardResigned { domain, fence });
        }
        Event::HostRestarted { host, incarnation } => {
            state.events.emit(Kind::HostRestarted { host, incarnation });
        }
        other => log::debug!("steward: {other:?}"),
    }
}

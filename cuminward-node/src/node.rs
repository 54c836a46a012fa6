//! Life cycle of a node.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use cuminward_caller::{auth, body, router, server};
use cuminward_event::kind::Kind;
use cuminward_operator::auth as operator_auth;
use miette::{IntoDiagnostic, WrapErr};
use tokio::{net::TcpListener, sync::mpsc, task::JoinHandle};
use tokio_stream::wrappers::TcpListenerStream;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{control, operator, request, settings, state};

/// Time between reporting unready and closing the listeners, so that load balancers notice.
const DRAIN_DELAY: Duration = Duration::from_millis(500);

/// Maximum time that a shutdown waits for the slots of requests that upstreams may still run.
const SLOTS_GRACE: Duration = Duration::from_secs(2);

/// Interval at which a shutdown checks the slots.
const SLOTS_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running node.
pub struct Node {
    state: Arc<state::State>,
    addresses: Addresses,
    callers: JoinHandle<bool>,
    close: CancellationToken,
    tasks: TaskTracker,
}

/// Addresses that a node is bound to, with the ports that the system chose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// Callers' HTTP.
    pub callers: SocketAddr,
    /// Operators' remote procedure calls.
    pub operators: SocketAddr,
    /// Calls between nodes.
    pub peers: SocketAddr,
}

/// Bound listeners of a node.
struct Listeners {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
}

/// Life cycle
impl Node {
    /// Starts a node.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound, or if an operator's declaration is not valid.
    pub async fn start(settings: settings::Settings) -> miette::Result<Node> {
        let operators = operators(&settings)?;
        let listeners = Listeners::bind(&settings.listen).await?;
        let addresses = listeners.addresses()?;
        let state = Arc::new(state::State::new(settings, addresses));
        state.events.emit(Kind::NodeStarted {
            version: env!("CARGO_PKG_VERSION").to_owned(),
            incarnation: state.incarnation,
        });
        let close = CancellationToken::new();
        let tasks = TaskTracker::new();
        spawn_control(&state, &tasks, listeners.peers);
        tasks.spawn(serve_operators(Arc::clone(&state), operators, listeners.operators));
        let callers = tokio::spawn(server::serve(
            listeners.callers,
            router(&state),
            close.clone(),
            state.settings.limits.shutdown_grace,
        ));
        Ok(Node { state, addresses, callers, close, tasks })
    }

    /// Shuts the node down: reports unready, finishes the requests in flight, resigns as steward if
    /// it holds the lease, and ends all tasks.
    ///
    /// Returns whether every request was finished within the grace time.
    pub async fn stop(self) -> bool {
        self.state.draining.store(true, Ordering::Release);
        let started = self.state.now();
        self.state.events.emit(Kind::NodeDraining { in_flight: self.state.in_flight() });
        tokio::time::sleep(DRAIN_DELAY).await;
        self.close.cancel();
        let finished = self.callers.await.unwrap_or(false);
        announce_shutdown(&self.state).await;
        self.state.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
        let after_ms = self.state.now().saturating_sub(started).as_millis() as u64;
        self.state.events.emit(Kind::NodeStopped { in_flight: self.state.in_flight(), after_ms });
        finished
    }
}

/// Access
impl Node {
    /// Returns the addresses that the node is bound to.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the state of the node, for tests and experiments.
    pub fn state(&self) -> &Arc<state::State> {
        &self.state
    }
}

/// Announces to the other nodes that this one holds no slots any more. Sends nothing if an upstream
/// may still run one of its requests after [`SLOTS_GRACE`].
async fn announce_shutdown(state: &state::State) {
    let started = Instant::now();
    while state.holds_slots() {
        if SLOTS_GRACE < started.elapsed() {
            return;
        }
        tokio::time::sleep(SLOTS_POLL_INTERVAL).await;
    }
    control::peer::announce_shutdown(state).await;
}

impl Listeners {
    async fn bind(listen: &settings::Listen) -> miette::Result<Listeners> {
        Ok(Listeners {
            callers: bind(listen.callers).await?,
            operators: bind(listen.operators).await?,
            peers: bind(listen.peers).await?,
        })
    }

    fn addresses(&self) -> miette::Result<Addresses> {
        Ok(Addresses {
            callers: self.callers.local_addr().into_diagnostic()?,
            operators: self.operators.local_addr().into_diagnostic()?,
            peers: self.peers.local_addr().into_diagnostic()?,
        })
    }
}

async fn bind(address: SocketAddr) -> miette::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .into_diagnostic()
        .wrap_err_with(|| format!("failed to bind {address}"))
}

fn operators(settings: &settings::Settings) -> miette::Result<operator_auth::Operators> {
    let operator = |it: &settings::Operator| operator_auth::Operator {
        name: it.name.clone(),
        hash: it.token_hash.clone(),
        role: match it.role {
            settings::file::Role::Read => operator_auth::Role::Read,
            settings::file::Role::Write => operator_auth::Role::Write,
        },
    };
    let operators: Vec<_> = settings.operators.iter().map(operator).collect();
    operator_auth::Operators::new(&operators).into_diagnostic()
}

/// Spawns the control tasks.
fn spawn_control(state: &Arc<state::State>, tasks: &TaskTracker, peers: TcpListener) {
    let (inputs, received) = mpsc::channel(control::steward::INPUT_CAPACITY);
    tasks.spawn(control::host_list::run(Arc::clone(state)));
    tasks.spawn(control::configure::follow::run(Arc::clone(state)));
    tasks.spawn(control::configure::snapshot::run(Arc::clone(state)));
    tasks.spawn(control::probe::run(Arc::clone(state), inputs.clone()));
    tasks.spawn(control::gossip::run(Arc::clone(state), inputs.clone()));
    tasks.spawn(control::steward::follow_claims(Arc::clone(state), inputs.clone()));
    tasks.spawn(control::steward::run(Arc::clone(state), inputs, received));
    tasks.spawn(control::keys::run(Arc::clone(state)));
    tasks.spawn(control::admit::run(Arc::clone(state)));
    tasks.spawn(control::outlier::run(Arc::clone(state)));
    tasks.spawn(control::prefix::run(Arc::clone(state)));
    tasks.spawn(control::quarantine::run(Arc::clone(state)));
    tasks.spawn(control::peer::hello::run(Arc::clone(state)));
    tasks.spawn(control::peer::pull::run(Arc::clone(state)));
    tasks.spawn(control::peer::run(Arc::clone(state), peers));
    tasks.spawn(request::dispatch::run(Arc::clone(state)));
}

async fn serve_operators(
    state: Arc<state::State>,
    operators: operator_auth::Operators,
    listener: TcpListener,
) {
    let backend = Arc::new(operator::Backend::new(Arc::clone(&state)));
    let connections = TcpListenerStream::new(listener);
    let stop = state.stop.clone();
    let served = cuminward_operator::server::serve(backend, operators, connections, stop).await;
    if let Err(error) = served {
        log::error!("the operators' gRPC server failed: {error}");
    }
}

fn router(state: &Arc<state::State>) -> axum::Router {
    let limits = &state.settings.limits;
    let options = router::Options {
        body: body::Options { max_bytes: limits.body_bytes, timeout: limits.body_timeout },
        relay: auth::Relay { secret: state.settings.secret.expose().to_owned() },
    };
    router::build(request::backend::Backend::new(Arc::clone(state)), options)
}

//! A gateway node: start, tasks and graceful shutdown.

use std::{
    io,
    path::PathBuf,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cuminward_event::kind::Kind;

use tokio::{net::UdpSocket, task::JoinSet, time};

use crate::{
    build,
    control::{crashes, election, era, health_check, steward, topics},
    forward,
    ingress::{connection, listener, metrics, ready},
    peer::{discovery, gossip, pull},
    reload,
    settings::Settings,
    state::State,
    tunnel::watch,
};

/// Interval at which a node that shuts down checks whether requests are still in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest duration of a shutdown: callers may still send requests until the platform has noticed that
/// the node isn't ready.
const MIN_DRAIN: Duration = Duration::from_millis(3200);

/// Time before the end of the grace period at which the node stops even with requests in flight.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(400);

/// Time allowed for writing the last events.
const EVENT_FLUSH_TIME: Duration = Duration::from_millis(20);

/// A running node.
pub struct Gateway {
    state: Arc<State>,
    tasks: JoinSet<()>,
}

/// Life cycle
impl Gateway {
    /// Starts a node with the settings that were loaded from the file at `path`; the file is reloaded when
    /// it changes.
    ///
    /// # Errors
    ///
    /// Fails if a listener can't bind its address, the event writer can't be started or the signal
    /// handler can't be installed.
    pub async fn start(settings: Settings, path: PathBuf) -> io::Result<Gateway> {
        let state = Arc::new(State::new(settings)?);
        let version = build::VERSION.to_owned();
        let incarnation = rand::random::<u32>().into();
        state.events.emit(Kind::NodeStarted { version, incarnation });
        let mut gateway = Gateway { state, tasks: JoinSet::new() };
        gateway.start_listeners().await?;
        gateway.start_peer_exchange().await?;
        gateway.start_control();
        gateway.tasks.spawn(reload::run(Arc::clone(&gateway.state), path)?);
        Ok(gateway)
    }

    /// Stops the node gracefully: it reports that it isn't ready, finishes the requests in flight within
    /// the grace period, and aborts its tasks.
    pub async fn stop(mut self) {
        self.state.begin_stop();
        let started = self.state.now();
        self.state.events.emit(Kind::NodeDraining { in_flight: self.requests_in_flight() });
        let grace =
            self.state.current_settings().timing.shutdown_grace.saturating_sub(SHUTDOWN_MARGIN);
        loop {
            time::sleep(DRAIN_POLL_INTERVAL).await;
            let passed = self.state.now().saturating_sub(started);
            let in_flight = self.requests_in_flight();
            if passed >= grace || (passed >= MIN_DRAIN && in_flight == 0) {
                let after_ms = passed.as_millis() as u64;
                self.state.events.emit(Kind::NodeStopped { in_flight, after_ms });
                break;
            }
        }
        self.tasks.abort_all();
        time::sleep(EVENT_FLUSH_TIME).await;
    }

    /// Returns the number of requests in flight: those of callers, and those of other nodes in tunnels.
    fn requests_in_flight(&self) -> u64 {
        let own = self.state.requests_in_flight.load(Ordering::Relaxed);
        (own + self.state.tunnels.load(Ordering::Relaxed)) as u64
    }

    /// Starts the listeners for callers, readiness checks and metrics.
    async fn start_listeners(&mut self) -> io::Result<()> {
        let listen = self.state.settings.listen.clone();
        let callers = listener::open_bounded(listen.callers, self.state.callers.listener_bounds())?;
        let checks = listener::open(listen.ready).await?;
        let state = Arc::clone(&self.state);
        let serve = move |stream| connection::serve(Arc::clone(&state), stream);
        let state = Arc::clone(&self.state);
        let admit = move || {
            let state = Arc::clone(&state);
            async move { state.callers.admit(|| state.now()).await }
        };
        self.tasks.spawn(listener::accept_admitted(callers, admit, serve));
        let state = Arc::clone(&self.state);
        let serve = move |stream| ready::serve(Arc::clone(&state), stream);
        self.tasks.spawn(listener::accept(checks, serve));
        if let Some(address) = listen.metrics {
            let listener = listener::open(address).await?;
            let (state, page) = (Arc::clone(&self.state), metrics::Page::new());
            let serve = move |stream| metrics::serve(Arc::clone(&state), page.clone(), stream);
            self.tasks.spawn(listener::accept(listener, serve));
        }
        Ok(())
    }

    /// Starts the exchange of state with other nodes.
    async fn start_peer_exchange(&mut self) -> io::Result<()> {
        let peers = Arc::new(gossip::Peers::default());
        let socket = Arc::new(UdpSocket::bind(self.state.settings.listen.peers).await?);
        let server = pull::serve(Arc::clone(&self.state)).await?;
        self.tasks.spawn(server);
        let (state, receiver_socket, receiver_peers) =
            (Arc::clone(&self.state), Arc::clone(&socket), Arc::clone(&peers));
        self.tasks.spawn(gossip::receive(state, receiver_peers, receiver_socket));
        let start = rand::random();
        let state = Arc::clone(&self.state);
        self.tasks.spawn(gossip::send(state, Arc::clone(&peers), socket, start));
        self.tasks.spawn(pull::run(Arc::clone(&self.state), Arc::clone(&peers)));
        self.tasks.spawn(discovery::run(Arc::clone(&self.state), peers));
        Ok(())
    }

    /// Starts the control tasks.
    fn start_control(&mut self) {
        let state = Arc::clone(&self.state);
        self.tasks.spawn(async move { election::run(&state).await });
        self.tasks.spawn(era::run(Arc::clone(&self.state)));
        self.tasks.spawn(crashes::run(Arc::clone(&self.state)));
        self.tasks.spawn(topics::follow_declarations(Arc::clone(&self.state)));
        self.tasks.spawn(topics::follow_host_list(Arc::clone(&self.state)));
        self.tasks.spawn(steward::run(Arc::clone(&self.state)));
        self.tasks.spawn(health_check::run(Arc::clone(&self.state)));
        self.tasks.spawn(watch::run(Arc::clone(&self.state)));
        self.tasks.spawn(forward::slot::dispatch_waiting(Arc::clone(&self.state)));
    }
}

/// Access
impl Gateway {
    /// Returns whether the node has read the list of all nodes, so that it has its part of what they share: until then it
    /// serves callers, but retries no request beyond the ratio.
    pub fn is_sharing(&self) -> bool {
        self.state.is_sharing()
    }
}

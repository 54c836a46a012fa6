//! A node as a whole: its tasks, start and stop.

use std::{
    io,
    path::PathBuf,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cuminward_event::kind::Kind;

use tokio::{net::UdpSocket, task::JoinSet, time};

use crate::{
    control::{election, health_check, steward, topics},
    forward,
    ingress::{connection, listener, metrics, ready},
    peer::{discovery, gossip, pull},
    reload,
    settings::Settings,
    state::State,
};

/// Interval at which a stopping node looks whether requests are under way.
const STOP_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest time from the begin of a stop to its end: callers may still send requests until the
/// platform has noticed that the node isn't ready.
const MIN_STOP: Duration = Duration::from_millis(3200);

/// Time before the end of the grace period at which the node ends with requests under way.
const STOP_MARGIN: Duration = Duration::from_millis(400);

/// Time for the last events to be written.
const LAST_LINES: Duration = Duration::from_millis(20);

/// A running node.
pub struct Gateway {
    state: Arc<State>,
    tasks: JoinSet<()>,
}

/// Life cycle
impl Gateway {
    /// Starts a node with the settings that a file holds; the file is read again when it changes.
    ///
    /// # Errors
    ///
    /// An address can't be used.
    pub async fn start(settings: Settings, path: PathBuf) -> io::Result<Gateway> {
        let state = Arc::new(State::new(settings)?);
        let version = env!("CARGO_PKG_VERSION").to_owned();
        let incarnation = rand::random::<u32>().into();
        state.events.emit(Kind::NodeStarted { version, incarnation });
        let mut gateway = Gateway { state, tasks: JoinSet::new() };
        gateway.listen().await?;
        gateway.meet().await?;
        gateway.control();
        gateway.tasks.spawn(reload::run(Arc::clone(&gateway.state), path)?);
        Ok(gateway)
    }

    /// Stops the node: it stops being ready, finishes the requests under way and ends.
    pub async fn stop(mut self) {
        self.state.begin_stop();
        let begun = self.state.now();
        self.state.events.emit(Kind::NodeDraining { in_flight: self.requests() });
        let grace = self.state.current_settings().timing.shutdown_grace.saturating_sub(STOP_MARGIN);
        loop {
            time::sleep(STOP_INTERVAL).await;
            let passed = self.state.now().saturating_sub(begun);
            let in_flight = self.requests();
            if passed >= grace || (passed >= MIN_STOP && in_flight == 0) {
                let after_ms = passed.as_millis() as u64;
                self.state.events.emit(Kind::NodeStopped { in_flight, after_ms });
                break;
            }
        }
        self.tasks.abort_all();
        time::sleep(LAST_LINES).await;
    }

    /// Requests under way.
    fn requests(&self) -> u64 {
        self.state.requests_in_flight.load(Ordering::Relaxed) as u64
    }

    async fn listen(&mut self) -> io::Result<()> {
        let listen = self.state.settings.listen.clone();
        let callers = listener::open(listen.callers).await?;
        let checks = listener::open(listen.ready).await?;
        let state = Arc::clone(&self.state);
        let serve = move |stream| connection::serve(Arc::clone(&state), stream);
        self.tasks.spawn(listener::accept(callers, serve));
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

    /// Starts the exchange with other nodes.
    async fn meet(&mut self) -> io::Result<()> {
        let peers = Arc::new(gossip::Peers::default());
        let socket = Arc::new(UdpSocket::bind(self.state.settings.listen.peers).await?);
        let answering = pull::serve(Arc::clone(&self.state)).await?;
        self.tasks.spawn(answering);
        let (state, socket_, peers_) =
            (Arc::clone(&self.state), Arc::clone(&socket), Arc::clone(&peers));
        self.tasks.spawn(gossip::receive(state, peers_, socket_));
        let start = rand::random();
        let state = Arc::clone(&self.state);
        self.tasks.spawn(gossip::send(state, Arc::clone(&peers), socket, start));
        self.tasks.spawn(pull::run(Arc::clone(&self.state), Arc::clone(&peers)));
        self.tasks.spawn(discovery::run(Arc::clone(&self.state), peers));
        Ok(())
    }

    /// Starts the control tasks.
    fn control(&mut self) {
        let state = Arc::clone(&self.state);
        self.tasks.spawn(async move { election::run(&state).await });
        self.tasks.spawn(topics::follow_declarations(Arc::clone(&self.state)));
        self.tasks.spawn(topics::follow_host_list(Arc::clone(&self.state)));
        self.tasks.spawn(steward::run(Arc::clone(&self.state)));
        self.tasks.spawn(health_check::run(Arc::clone(&self.state)));
        self.tasks.spawn(forward::slot::serve_waiting(Arc::clone(&self.state)));
    }
}

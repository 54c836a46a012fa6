//! Calls between nodes: hello messages, configuration, observations, and admission messages.

mod handler;
pub mod hello;
pub mod pull;
mod target;

use std::sync::Arc;

use cuminward_core::id;
use cuminward_peer::{client, handshake, message, server, stream};
use cuminward_route::admission;
use tokio::net::TcpListener;

use crate::{control::admit, state};

/// Connection pool for calls to the other nodes.
pub type Pool = client::Pool<stream::Tcp>;

/// Creates a connection pool that authenticates with the shared secret.
pub fn pool(secret: &str) -> Pool {
    let secret = handshake::Secret::new(secret);
    let counter = Arc::default();
    client::Pool::new(stream::Tcp, secret, client::Options::default(), counter)
}

/// Serves the calls of other nodes until the node stops.
pub async fn run(state: Arc<state::State>, listener: TcpListener) {
    let server = server::Server {
        accept: stream::Tcp,
        handler: Arc::new(handler::Handler::new(Arc::clone(&state))),
        secret: handshake::Secret::new(state.settings.secret.expose()),
        options: server::Options::default(),
        sink: Arc::clone(&state.events),
        counter: Arc::clone(&state.counter),
    };
    tokio::select! {
        () = server.serve(listener) => {}
        () = state.stop.cancelled() => {}
    }
}

/// Announces to the other nodes of the failure domain that this one has no requests in flight any
/// more.
pub async fn announce_shutdown(state: &state::State) {
    let known = state.peers.all();
    let near = known.iter().filter(|(_, it)| it.domain == state.settings.domain);
    let incarnation = state.incarnation;
    let ended = message::Shutdown { node: state.settings.node.clone(), incarnation };
    let calls = near.map(|(node, _)| state.pool.farewell(node, ended.clone()));
    futures::future::join_all(calls).await;
}

/// Sends messages of the admission controller to a node and applies its answer. A failed call is
/// not repeated here.
pub fn send_batch(state: &Arc<state::State>, node: id::Node, batch: admission::message::Batch) {
    let message = wrap(state, batch);
    let state = Arc::clone(state);
    tokio::spawn(async move {
        if let Ok(answer) = state.pool.admission(&node, message).await {
            receive(&state, answer);
        }
    });
}

fn wrap(state: &state::State, batch: admission::message::Batch) -> message::Admission {
    message::Admission {
        from: state.settings.node.clone(),
        incarnation: state.incarnation,
        messages: vec![batch],
    }
}

/// Passes admission messages of another node to the admission controller.
fn receive(state: &Arc<state::State>, message: message::Admission) {
    let from = message.from;
    let batches = message.messages.into_iter().filter(|it| it.node == from);
    let work = {
        let mut admission = state.admission();
        batches.for_each(|it| admission.receive(state.now(), it));
        admission.take_work()
    };
    admit::execute(state, work);
    state.slot_freed.notify_one();
}

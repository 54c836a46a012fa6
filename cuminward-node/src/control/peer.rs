//! Calls between the nodes.

use std::sync::Arc;

use cuminward_core::id;
use cuminward_route::admission::message;
use tokio::net::TcpListener;

use crate::state;

/// Answers other nodes until the node stops.
pub async fn run(state: Arc<state::State>, _listener: TcpListener) {
    state.stop.cancelled().await;
}

/// Sends a message of the admission.
pub fn send_batch(_state: &Arc<state::State>, _node: id::Node, _batch: message::Batch) {}

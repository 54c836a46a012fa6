//! Connections for calls to other nodes.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tarpc::{client, client::RpcError, serde_transport::tcp, tokio_serde::formats::Bincode};
use tokio::time;

use super::pull::service::AntiEntropyClient;

/// Open connections by address.
#[derive(Default)]
pub(super) struct Clients {
    open: Mutex<HashMap<SocketAddr, AntiEntropyClient>>,
}

/// Mutation
impl Clients {
    /// Calls a node, over a new connection if there is none. A connection is given up after a failed call.
    ///
    /// # Errors
    ///
    /// Fails if the node can't be reached or doesn't answer within `limit`.
    pub(super) async fn call<T, F>(
        &self,
        address: SocketAddr,
        limit: Duration,
        call: impl FnOnce(AntiEntropyClient) -> F,
    ) -> io::Result<T>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let called = async {
            let client = self.client(address).await?;
            call(client).await.map_err(io::Error::other)
        };
        let timeout = |_| Err(io::Error::new(io::ErrorKind::TimedOut, "timeout"));
        let result = time::timeout(limit, called).await.unwrap_or_else(timeout);
        if result.is_err() {
            self.lock().remove(&address);
        }
        result
    }

    /// Gives up the connections to all other nodes.
    pub(super) fn retain(&self, nodes: &[SocketAddr]) {
        self.lock().retain(|it, _| nodes.contains(it));
    }

    async fn client(&self, address: SocketAddr) -> io::Result<AntiEntropyClient> {
        let open = self.lock().get(&address).cloned();
        if let Some(client) = open {
            return Ok(client);
        }
        let transport = tcp::connect(address, Bincode::default).await?;
        let client = AntiEntropyClient::new(client::Config::default(), transport).spawn();
        self.lock().insert(address, client.clone());
        Ok(client)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, AntiEntropyClient>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

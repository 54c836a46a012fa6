//! Client of the platform's list of live and leaving hosts.

use std::time::Duration;

use cuminward_core::host;
use cuminward_derive::record;

use crate::call;

/// Timeout of a read of the list.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the host list.
#[derive(Debug, Clone)]
pub struct Client {
    client: call::Client,
}

/// Snapshot of the host list.
#[record]
#[derive(Default)]
pub struct List {
    /// Wall-clock time of the snapshot, in milliseconds since the Unix epoch.
    pub as_of_ms: u64,
    /// Entries of the hosts.
    pub hosts: Vec<host::Entry>,
}

/// Life cycle
impl Client {
    /// Creates a client of the host list at `authority`, an IP address and port.
    pub fn new(authority: &str) -> Client {
        Client { client: call::Client::new(authority) }
    }
}

/// Access
impl Client {
    /// Reads the list, which may lag behind the actual state of the hosts.
    ///
    /// # Errors
    ///
    /// Any [`call::Error`]; the read may be repeated.
    pub async fn read(&self) -> Result<List, call::Error> {
        self.client.get("/v1/hosts", READ_TIMEOUT).await
    }
}

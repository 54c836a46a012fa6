//! The platform's list of live and leaving hosts.

use std::time::Duration;

use cuminward_core::host;
use cuminward_derive::record;

use crate::call;

/// Time that a read of the list may take.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the host list.
#[derive(Debug, Clone)]
pub struct Client {
    client: call::Client,
}

/// The host list at one time.
#[record]
#[derive(Default)]
pub struct List {
    /// Wall time of the list, in milliseconds since the Unix epoch.
    pub as_of_ms: u64,
    /// The hosts.
    pub hosts: Vec<host::Entry>,
}

/// Life cycle
impl Client {
    /// Makes a client of the host list at an IP address and port.
    pub fn new(authority: &str) -> Client {
        Client { client: call::Client::new(authority) }
    }
}

/// Access
impl Client {
    /// Reads the list, which lags behind the hosts.
    ///
    /// # Errors
    ///
    /// Any [`call::Error`]; the read may be repeated.
    pub async fn read(&self) -> Result<List, call::Error> {
        self.client.get("/v1/hosts", READ_TIMEOUT).await
    }
}

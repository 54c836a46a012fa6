//! Client of the rate-limited weight store, from which engines load models on their own.

use std::time::Duration;

use cuminward_derive::record;

use crate::call;

/// Timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the weight store.
#[derive(Debug, Clone)]
pub struct Client {
    client: call::Client,
}

/// Load of the weight store.
#[record]
pub struct Status {
    /// Number of transfers in progress.
    pub active: u32,
    /// Number of queued transfers.
    pub queued: u32,
    /// Total rate of all transfers, in bytes per second.
    pub bytes_per_second: u64,
}

#[record]
struct Weights {
    bytes: u64,
}

/// Life cycle
impl Client {
    /// Creates a client of the weight store at `authority`, an IP address and port.
    pub fn new(authority: &str) -> Client {
        Client { client: call::Client::new(authority) }
    }
}

/// Access
impl Client {
    /// Reads the load of the store.
    ///
    /// # Errors
    ///
    /// Any [`call::Error`]; the read may be repeated.
    pub async fn status(&self) -> Result<Status, call::Error> {
        self.client.get("/v1/status", READ_TIMEOUT).await
    }

    /// Reads the size of the weights that one host loads for a model version, in bytes.
    ///
    /// # Errors
    ///
    /// Any [`call::Error`]; the read may be repeated.
    pub async fn size(&self, model: &str, version: &str) -> Result<u64, call::Error> {
        let path = format!("/v1/weights/{model}/{version}");
        let weights: Weights = self.client.get(&path, READ_TIMEOUT).await?;
        Ok(weights.bytes)
    }
}

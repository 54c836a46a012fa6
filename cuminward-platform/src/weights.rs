//! The rate-limited weight store, from which engines load models by themselves.

use std::time::Duration;

use cuminward_derive::record;

use crate::call;

/// Time that a read of the status may take.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the weight store.
#[derive(Debug, Clone)]
pub struct Client {
    client: call::Client,
}

/// How busy the weight store is.
#[record]
pub struct Status {
    /// Transfers under way.
    pub active: u32,
    /// Transfers that wait.
    pub queued: u32,
    /// Rate that all transfers share.
    pub bytes_per_second: u64,
}

#[record]
struct Weights {
    bytes: u64,
}

/// Life cycle
impl Client {
    /// Makes a client of the weight store at an IP address and port.
    pub fn new(authority: &str) -> Client {
        Client { client: call::Client::new(authority) }
    }
}

/// Access
impl Client {
    /// Reads how busy the store is.
    ///
    /// # Errors
    ///
    /// Any [`call::Error`]; the read may be repeated.
    pub async fn status(&self) -> Result<Status, call::Error> {
        self.client.get("/v1/status", READ_TIMEOUT).await
    }

    /// Reads the size of one host's part of a model version, in bytes.
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

//! Datagrams between nodes: a digest by position, whose layout never changes, and after it an extension with named fields.
//!
//! Builds before the extension ignore what follows the digest. Each build ignores fields of the extension that it doesn't
//! know and takes the default of those that are missing, so that fields may be added and left out.

use std::{
    io::{self, Cursor},
    time::Duration,
};

use cuminward_derive::record;
use cuminward_serving::leaving::Start;

use super::{digest::Digest, feature};
use crate::{build, state::notices::Report};

/// Largest datagram, in bytes.
pub(crate) const MAX_BYTES: usize = 60_000;

/// Time after which the extension is sent again to a node that got it.
pub(crate) const EXTENSION_INTERVAL: Duration = Duration::from_secs(2);

/// What a node tells about itself beyond its digest.
#[record]
#[derive(Default)]
#[serde(default)]
pub(crate) struct Extension {
    /// Version of the node's build.
    pub(crate) build: String,
    /// Features of the node's build.
    pub(crate) features: Vec<feature::Id>,
    /// Limits of hosts that began or ended lately.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) limits: Vec<Report>,
    /// Hosts that were found to be leaving lately.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) leaving: Vec<Start>,
}

/// A datagram that was received.
pub(crate) struct Datagram {
    pub(crate) digest: Digest,
    /// The extension; `None` if the datagram has none, and the error if it can't be decoded.
    pub(crate) extension: io::Result<Option<Extension>>,
}

/// Life cycle
impl Extension {
    /// Creates the extension of this build.
    pub(crate) fn own(limits: Vec<Report>, leaving: Vec<Start>) -> Extension {
        Extension {
            build: String::from(build::VERSION),
            features: feature::OWN.to_vec(),
            limits,
            leaving,
        }
    }
}

/// Access
impl Extension {
    /// Returns the bytes that follow those of a digest.
    pub(crate) fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("text and numbers are valid JSON")
    }
}

/// Encodes a digest without an extension.
///
/// # Errors
///
/// Fails if it has no encoding.
pub(crate) fn encode(digest: &Digest) -> io::Result<Vec<u8>> {
    bincode::serialize(digest).map_err(invalid)
}

/// Decodes a datagram.
///
/// # Errors
///
/// Fails if the digest can't be decoded.
pub(crate) fn decode(bytes: &[u8]) -> io::Result<Datagram> {
    let mut rest = Cursor::new(bytes);
    let digest = bincode::deserialize_from(&mut rest).map_err(invalid)?;
    let rest = &bytes[rest.position() as usize..];
    let extension = if rest.is_empty() { Ok(None) } else { serde_json::from_slice(rest).map(Some) };
    Ok(Datagram { digest, extension: extension.map_err(io::Error::from) })
}

fn invalid(error: bincode::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

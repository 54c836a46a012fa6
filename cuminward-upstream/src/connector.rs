//! Opens the byte streams of connections to upstreams.

use std::io;

use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};

/// Opens byte streams to upstreams.
pub trait Connector: Clone + Send + Sync + 'static {
    /// Byte stream to an upstream.
    type Stream: AsyncRead + AsyncWrite + Send + Unpin + 'static;

    /// Opens a stream to an address.
    ///
    /// # Errors
    ///
    /// The error of the connection attempt; of the kind `ConnectionRefused` if nothing accepts connections at
    /// the address.
    fn connect(
        &self,
        address: &str,
    ) -> impl Future<Output = io::Result<Connected<Self::Stream>>> + Send;
}

/// An open stream.
#[derive(Debug)]
pub struct Connected<S> {
    /// The stream.
    pub stream: S,
    /// Whether a connection over the stream may carry further requests.
    pub is_reusable: bool,
}

/// Connects over TCP.
#[derive(Debug, Clone, Copy, Default)]
pub struct Direct;

impl Connector for Direct {
    type Stream = TcpStream;

    async fn connect(&self, address: &str) -> io::Result<Connected<TcpStream>> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Connected { stream, is_reusable: true })
    }
}

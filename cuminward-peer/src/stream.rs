//! Streams under the calls between nodes: plain TCP here, encrypted ones elsewhere.

use std::{future::Future, io};

use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};

/// A stream of bytes in both directions.
pub trait Duplex: AsyncRead + AsyncWrite + Unpin + Send + 'static {}

impl<T: AsyncRead + AsyncWrite + Unpin + Send + 'static> Duplex for T {}

/// Makes streams to other nodes.
pub trait Connect: Send + Sync + 'static {
    /// The streams.
    type Stream: Duplex;

    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// The cause why there is no stream.
    fn connect(&self, address: &str) -> impl Future<Output = io::Result<Self::Stream>> + Send;
}

/// Makes streams from accepted connections.
pub trait Accept: Send + Sync + 'static {
    /// The streams.
    type Stream: Duplex;

    /// Takes an accepted connection.
    ///
    /// # Errors
    ///
    /// The cause why the connection is refused.
    fn accept(&self, stream: TcpStream) -> impl Future<Output = io::Result<Self::Stream>> + Send;
}

/// Plain TCP.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tcp;

impl Connect for Tcp {
    type Stream = TcpStream;

    async fn connect(&self, address: &str) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

impl Accept for Tcp {
    type Stream = TcpStream;

    async fn accept(&self, stream: TcpStream) -> io::Result<TcpStream> {
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

//! Transport streams of the connections between nodes.
//!
//! This module implements plain TCP; other implementations of the traits may encrypt the connection.

use std::{future::Future, io};

use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};

/// Bidirectional byte stream.
pub trait Duplex: AsyncRead + AsyncWrite + Unpin + Send + 'static {}

impl<T: AsyncRead + AsyncWrite + Unpin + Send + 'static> Duplex for T {}

/// Opens streams to other nodes.
pub trait Connect: Send + Sync + 'static {
    /// The streams.
    type Stream: Duplex;

    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Fails if the stream can't be opened.
    fn connect(&self, address: &str) -> impl Future<Output = io::Result<Self::Stream>> + Send;
}

/// Turns accepted TCP connections into streams.
pub trait Accept: Send + Sync + 'static {
    /// The streams.
    type Stream: Duplex;

    /// Prepares an accepted connection for use.
    ///
    /// # Errors
    ///
    /// Fails if the connection has to be refused.
    fn accept(&self, stream: TcpStream) -> impl Future<Output = io::Result<Self::Stream>> + Send;
}

/// Plain TCP without encryption.
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

//! Protocol of a tunnel: a TCP connection from a node to another one that connects it to a host.
//!
//! The first byte is [`PROTOCOL`]. The id of the host follows as a frame, then the bytes for the host as they are.
//! The other direction consists of frames: the [`Reply`], then the bytes of the host. An empty frame marks the end
//! of these; without it the connection to the host, or the node between, has failed.

use std::{io, net::SocketAddr};

use bytes::{Bytes, BytesMut};
use cuminward_serving::id;
use futures::{SinkExt, StreamExt, stream::BoxStream};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, Join},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};
use tokio_util::{
    codec::{FramedRead, FramedWrite, LengthDelimitedCodec},
    io::StreamReader,
};

/// First byte of a tunnel. Connections for calls begin with the length of a frame, whose first byte is zero.
pub(crate) const PROTOCOL: u8 = 1;

/// Largest frame, in bytes.
const MAX_FRAME: usize = 64 << 10;

/// Answer to the request to connect to a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reply {
    /// The host is connected.
    Connected,
    /// Nothing accepts connections at the address of the host.
    Refused,
    /// The host is unknown or can't be reached, or the node takes no tunnels now.
    Unreachable,
}

/// Access
impl Reply {
    fn code(self) -> u8 {
        match self {
            Reply::Connected => 0,
            Reply::Refused => 1,
            Reply::Unreachable => 2,
        }
    }

    fn from_code(code: u8) -> Reply {
        match code {
            0 => Reply::Connected,
            1 => Reply::Refused,
            _ => Reply::Unreachable,
        }
    }
}

/// Byte stream to a host through another node.
pub(crate) type Stream =
    Join<StreamReader<BoxStream<'static, io::Result<Bytes>>, Bytes>, OwnedWriteHalf>;

/// Frames that go towards the node that opened the tunnel.
pub(super) type Frames = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME).new_codec()
}

/// Opens a tunnel through the node at `relay` to a host.
///
/// # Errors
///
/// `ConnectionRefused` if the other node found that the host accepts no connections; another error if it, or the
/// node, can't be reached.
pub(super) async fn open(relay: SocketAddr, host: &str) -> io::Result<Stream> {
    let mut stream = TcpStream::connect(relay).await?;
    stream.set_nodelay(true)?;
    let mut request = vec![PROTOCOL];
    request.extend((host.len() as u32).to_be_bytes());
    request.extend(host.as_bytes());
    stream.write_all(&request).await?;
    let (read, write) = stream.into_split();
    let mut frames = FramedRead::new(read, codec());
    let reply = frames.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    match Reply::from_code(reply.first().copied().unwrap_or(u8::MAX)) {
        Reply::Connected => Ok(tokio::io::join(StreamReader::new(read_until_end(frames)), write)),
        Reply::Refused => Err(io::ErrorKind::ConnectionRefused.into()),
        Reply::Unreachable => Err(io::ErrorKind::HostUnreachable.into()),
    }
}

/// Returns the bytes of the frames up to the empty one. An error follows if there is none.
fn read_until_end(
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
) -> BoxStream<'static, io::Result<Bytes>> {
    let cut_off = futures::stream::once(async { Err(io::ErrorKind::ConnectionReset.into()) });
    let bytes = frames.map(|it| it.map(BytesMut::freeze)).chain(cut_off);
    bytes.take_while(|it| std::future::ready(!matches!(it, Ok(bytes) if bytes.is_empty()))).boxed()
}

/// Reads the request of a tunnel, whose first byte hasn't been read yet: the id of the host.
///
/// # Errors
///
/// Fails if the connection ends, or if the request is malformed.
pub(super) async fn read_request(stream: &mut TcpStream) -> io::Result<id::Host> {
    /// Longest id of a host, in bytes.
    const MAX_ID: u32 = 1024;
    stream.read_u8().await?;
    let length = stream.read_u32().await?;
    if length > MAX_ID {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut id = vec![0; length as usize];
    stream.read_exact(&mut id).await?;
    String::from_utf8(id).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}

/// Returns the direction towards the node that opened a tunnel.
pub(super) fn frames(write: OwnedWriteHalf) -> Frames {
    FramedWrite::new(write, codec())
}

/// Sends the reply to a request.
///
/// # Errors
///
/// Fails if the connection has failed.
pub(super) async fn send_reply(frames: &mut Frames, reply: Reply) -> io::Result<()> {
    frames.send(Bytes::copy_from_slice(&[reply.code()])).await
}

/// Sends bytes of the host.
///
/// # Errors
///
/// Fails if the connection has failed.
pub(super) async fn send_bytes(frames: &mut Frames, bytes: Bytes) -> io::Result<()> {
    frames.send(bytes).await
}

/// Marks the end of the bytes of the host.
///
/// # Errors
///
/// Fails if the connection has failed.
pub(super) async fn send_end(frames: &mut Frames) -> io::Result<()> {
    frames.send(Bytes::new()).await
}

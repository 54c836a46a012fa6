//! Proof of a shared secret at the beginning of a connection.
//!
//! Both ends send a random challenge and answer the other's with a keyed BLAKE3 hash over both
//! challenges and their own side, so that an answer can't be used again or sent back. All messages
//! have fixed lengths. The handshake doesn't encrypt what follows.

use std::{fmt, io};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// First bytes of a connection: the protocol and its version.
const MAGIC: [u8; 8] = *b"cwpeer01";

/// Bytes of a challenge and of a proof.
const LEN: usize = 32;

/// Context from which the key is derived.
const CONTEXT: &str = "cuminward-peer handshake 1";

/// The shared secret.
#[derive(Clone)]
pub struct Secret([u8; LEN]);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

/// Why a handshake failed.
#[derive(Debug)]
pub enum Error {
    /// The connection failed.
    Io(io::Error),
    /// The other end speaks another protocol or version.
    Protocol,
    /// The other end doesn't know the secret.
    Proof,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io(error) => write!(f, "the connection failed: {error}"),
            Error::Protocol => f.write_str("the other end speaks another protocol"),
            Error::Proof => f.write_str("the other end doesn't know the secret"),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Error {
        Error::Io(error)
    }
}

/// Which end of a connection proves the secret.
#[derive(Clone, Copy)]
enum Side {
    Client,
    Server,
}

type Challenge = [u8; LEN];

/// Life cycle
impl Secret {
    /// Derives the secret from the text of the settings.
    pub fn new(text: &str) -> Secret {
        Secret(blake3::derive_key(CONTEXT, text.as_bytes()))
    }
}

/// Access
impl Secret {
    fn prove(&self, side: Side, client: &Challenge, server: &Challenge) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(match side {
            Side::Client => b"client",
            Side::Server => b"server",
        });
        hasher.update(client);
        hasher.update(server);
        hasher.finalize()
    }
}

/// Proves the secret as the connecting end.
///
/// # Errors
///
/// Any [`Error`]; the connection is then of no use.
pub async fn connect<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    secret: &Secret,
) -> Result<(), Error> {
    let client: Challenge = rand::random();
    stream.write_all(&MAGIC).await?;
    stream.write_all(&client).await?;
    stream.flush().await?;
    check_magic(stream).await?;
    let server: Challenge = read(stream).await?;
    check_proof(stream, secret.prove(Side::Server, &client, &server)).await?;
    stream.write_all(secret.prove(Side::Client, &client, &server).as_bytes()).await?;
    stream.flush().await?;
    check_magic(stream).await
}

/// Proves the secret as the accepting end.
///
/// # Errors
///
/// Any [`Error`]; the connection is then of no use.
pub async fn accept<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    secret: &Secret,
) -> Result<(), Error> {
    check_magic(stream).await?;
    let client: Challenge = read(stream).await?;
    let server: Challenge = rand::random();
    stream.write_all(&MAGIC).await?;
    stream.write_all(&server).await?;
    stream.write_all(secret.prove(Side::Server, &client, &server).as_bytes()).await?;
    stream.flush().await?;
    check_proof(stream, secret.prove(Side::Client, &client, &server)).await?;
    stream.write_all(&MAGIC).await?;
    stream.flush().await?;
    Ok(())
}

async fn check_magic<S: AsyncRead + Unpin>(stream: &mut S) -> Result<(), Error> {
    let magic: [u8; MAGIC.len()] = read(stream).await?;
    if magic == MAGIC { Ok(()) } else { Err(Error::Protocol) }
}

/// Compares in constant time.
async fn check_proof<S: AsyncRead + Unpin>(
    stream: &mut S,
    expected: blake3::Hash,
) -> Result<(), Error> {
    let proof: [u8; LEN] = read(stream).await?;
    if expected == proof { Ok(()) } else { Err(Error::Proof) }
}

async fn read<S: AsyncRead + Unpin, const N: usize>(stream: &mut S) -> io::Result<[u8; N]> {
    let mut bytes = [0; N];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}

//! Mutual authentication by a shared secret at the start of a connection.
//!
//! Each end sends a random challenge and proves that it knows the secret with a keyed BLAKE3 hash
//! over both challenges and its own role. The challenges prevent replay of a proof, and the role
//! prevents its reflection to the sender. All messages have fixed lengths. The handshake doesn't
//! encrypt the rest of the connection.

use std::{fmt, io};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// First bytes of a connection, which identify the protocol and its version.
const MAGIC: [u8; 8] = *b"cwpeer01";

/// Length of the key, of a challenge and of a proof, in bytes.
const LEN: usize = 32;

/// Context string of the key derivation.
const CONTEXT: &str = "cuminward-peer handshake 1";

/// Key that is derived from the shared secret.
#[derive(Clone)]
pub struct Secret([u8; LEN]);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

/// Error of a handshake.
#[derive(Debug)]
pub enum Error {
    /// The connection failed.
    Io(io::Error),
    /// The other end speaks another protocol or version.
    Protocol,
    /// The other end didn't prove that it knows the secret.
    Proof,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io(error) => write!(f, "the connection failed: {error}"),
            Error::Protocol => f.write_str("the other end speaks another protocol or version"),
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

/// End of a connection that proves the secret.
#[derive(Clone, Copy)]
enum Role {
    Client,
    Server,
}

type Challenge = [u8; LEN];

/// Life cycle
impl Secret {
    /// Derives the key from the secret in the settings.
    pub fn new(text: &str) -> Secret {
        Secret(blake3::derive_key(CONTEXT, text.as_bytes()))
    }
}

/// Access
impl Secret {
    /// Returns the proof that one end has to send.
    fn prove(&self, role: Role, client: &Challenge, server: &Challenge) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(match role {
            Role::Client => b"client",
            Role::Server => b"server",
        });
        hasher.update(client);
        hasher.update(server);
        hasher.finalize()
    }
}

/// Runs the handshake as the connecting end.
///
/// # Errors
///
/// Any [`Error`]; the connection must then be closed.
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
    check_proof(stream, secret.prove(Role::Server, &client, &server)).await?;
    stream.write_all(secret.prove(Role::Client, &client, &server).as_bytes()).await?;
    stream.flush().await?;
    check_magic(stream).await
}

/// Runs the handshake as the accepting end.
///
/// # Errors
///
/// Any [`Error`]; the connection must then be closed.
pub async fn accept<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    secret: &Secret,
) -> Result<(), Error> {
    check_magic(stream).await?;
    let client: Challenge = read(stream).await?;
    let server: Challenge = rand::random();
    stream.write_all(&MAGIC).await?;
    stream.write_all(&server).await?;
    stream.write_all(secret.prove(Role::Server, &client, &server).as_bytes()).await?;
    stream.flush().await?;
    check_proof(stream, secret.prove(Role::Client, &client, &server)).await?;
    stream.write_all(&MAGIC).await?;
    stream.flush().await?;
    Ok(())
}

async fn check_magic<S: AsyncRead + Unpin>(stream: &mut S) -> Result<(), Error> {
    let magic: [u8; MAGIC.len()] = read(stream).await?;
    if magic == MAGIC { Ok(()) } else { Err(Error::Protocol) }
}

/// Reads a proof and compares it with the expected one; `blake3::Hash` compares in constant time.
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

//! `where`: shows where a gateway node would send a request now, and why.

use std::io::{self, Write};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpStream;

use crate::{cli::Format, error::Error, output, view};

/// A request that isn't sent.
#[derive(Debug, Clone, Serialize)]
pub struct Question {
    /// Host name that the caller would use.
    pub host: String,
    /// Path.
    pub path: String,
    /// Model that the request would name.
    pub model: Option<String>,
}

/// Asks a node, and writes the upstreams of the request's route.
///
/// # Errors
///
/// Fails if the node can't be reached, has no route for the request, or the output can't be written.
pub async fn run(
    node: &str,
    question: &Question,
    format: Format,
    out: &mut impl Write,
) -> Result<(), Error> {
    let failed = |error: io::Error| Error::io(node)(error);
    let (status, text) = ask(node, question).await.map_err(failed)?;
    if status != StatusCode::OK {
        return Err(Error::Usage(format!("{node}: {}", String::from_utf8_lossy(&text))));
    }
    let rows: Vec<view::Choice> =
        serde_json::from_slice(&text).map_err(|error| failed(io::Error::other(error)))?;
    output::write_rows(out, format, &rows)
}

/// Sends a question and returns the status and body of the response.
async fn ask(node: &str, question: &Question) -> io::Result<(StatusCode, Bytes)> {
    let stream = TokioIo::new(TcpStream::connect(node).await?);
    let (mut sender, connection) = http1::handshake(stream).await.map_err(io::Error::other)?;
    tokio::spawn(connection);
    let body = serde_json::to_vec(question)?;
    let request =
        Request::post("/where").header(header::HOST, node).body(Full::new(Bytes::from(body)));
    let request = request.map_err(io::Error::other)?;
    let response = sender.send_request(request).await.map_err(io::Error::other)?;
    let status = response.status();
    let body = response.into_body().collect().await.map_err(io::Error::other)?;
    Ok((status, body.to_bytes()))
}

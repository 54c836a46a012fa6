//! Stand-in of a consumer.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::http;

/// A request of a consumer.
pub struct Request<'a> {
    pub path: &'a str,
    pub id: &'a str,
    /// Time for which the consumer waits.
    pub limit: Duration,
    /// Further header lines, with the key, each with its line end.
    pub headers: &'a str,
    pub body: &'a [u8],
}

/// A channel to a gateway that is kept for many requests.
pub struct Channel {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Channel {
    /// Opens a channel, within the second that consumers allow.
    pub fn open(address: SocketAddr) -> io::Result<Channel> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Channel { stream, reader })
    }

    /// Sends a request.
    pub fn send(&mut self, request: &Request<'_>) -> io::Result<()> {
        let Request { path, id, headers, body, .. } = request;
        let (limit_ms, length) = (request.limit.as_millis(), body.len());
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Cuminward-Request-Id: {id}\r\n\
             X-Cuminward-Deadline-Ms: {limit_ms}\r\n{headers}\
             Content-Length: {length}\r\n\r\n"
        );
        self.stream.write_all(&[head.as_bytes(), body].concat())
    }

    /// Waits for the head of the answer for up to `limit`.
    pub fn read_head(&mut self, limit: Duration) -> io::Result<http::Message> {
        self.stream.set_read_timeout(Some(limit))?;
        http::read_head(&mut self.reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// Reads the body that follows a head, of which no part may take longer than `limit`.
    pub fn read_body(&mut self, head: &http::Message, limit: Duration) -> io::Result<Vec<u8>> {
        self.stream.set_read_timeout(Some(limit))?;
        http::read_body(&mut self.reader, head)
    }
}

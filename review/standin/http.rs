//! Minimal HTTP/1.1 messages over blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::TcpStream,
    time::Duration,
};

/// Largest head that is read, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    /// Names in lower case, with values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived completely.
    pub is_complete: bool,
}

impl Message {
    /// Returns the value of a header; the name is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    /// Returns the path and query of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the path of a request without the query.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        query.split('&').filter_map(|it| it.split_once('=')).find(|it| it.0 == name).map(|it| it.1)
    }

    /// Returns whether the sender closes the connection after the message.
    pub fn is_last(&self) -> bool {
        self.header("connection").is_some_and(|it| it.to_ascii_lowercase().contains("close"))
    }
}

/// A connection on which messages are read.
pub struct Connection {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Wraps a stream.
    pub fn new(stream: TcpStream) -> io::Result<Connection> {
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Connection { stream, reader })
    }

    /// Opens a connection.
    pub fn open(address: &str, timeout: Duration) -> io::Result<Connection> {
        let address = address.parse().map_err(io::Error::other)?;
        Connection::new(TcpStream::connect_timeout(&address, timeout)?)
    }

    /// Reads a message; `None` if the connection ended before it. A body without a length is empty in a request
    /// and ends with the connection in a response.
    pub fn read(&mut self, is_response: bool) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        let is_chunked =
            message.header("transfer-encoding").is_some_and(|it| it.contains("chunked"));
        let length = message.header("content-length").and_then(|it| it.parse::<usize>().ok());
        let read = match (is_chunked, length) {
            (true, _) => self.read_chunks(&mut message.body),
            (false, Some(length)) => {
                let read = (&mut self.reader).take(length as u64).read_to_end(&mut message.body);
                read.and_then(|it| if it == length { Ok(()) } else { Err(ended()) })
            }
            (false, None) if is_response => self.reader.read_to_end(&mut message.body).map(|_| ()),
            (false, None) => Ok(()),
        };
        message.is_complete = read.is_ok();
        Ok(Some(message))
    }

    fn read_head(&mut self) -> io::Result<Option<Message>> {
        let mut message = Message::default();
        let mut bytes = 0;
        loop {
            let mut line = Vec::new();
            let read = self.reader.read_until(b'\n', &mut line)?;
            bytes += read;
            if read == 0 || bytes > MAX_HEAD_BYTES {
                return if bytes == 0 { Ok(None) } else { Err(ended()) };
            }
            let line = String::from_utf8_lossy(&line).trim_end().to_owned();
            if line.is_empty() {
                if message.line.is_empty() {
                    continue;
                }
                return Ok(Some(message));
            }
            if message.line.is_empty() {
                message.line = line;
            } else if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> io::Result<()> {
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line)? == 0 {
                return Err(ended());
            }
            let size = line.trim().split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
            let read = (&mut self.reader).take(size as u64).read_to_end(body)?;
            let mut end = String::new();
            if read < size || self.reader.read_line(&mut end)? == 0 {
                return Err(ended());
            }
            if size == 0 {
                return Ok(());
            }
        }
    }

    /// Sends a message with a length.
    pub fn send(
        &mut self,
        line: &str,
        headers: &[(String, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut bytes = format!("{line}\r\n").into_bytes();
        for (name, value) in headers {
            bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

fn ended() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

/// Builds a header.
pub fn header(name: &str, value: impl ToString) -> (String, String) {
    (name.to_owned(), value.to_string())
}

//! A little HTTP/1.1: reads and writes messages on blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// Access
impl Message {
    /// Returns the first value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns a value of the query of a request.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        query.split('&').find_map(|it| it.strip_prefix(name)?.strip_prefix('='))
    }
}

/// Returns a loopback address that was free a moment ago.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    listener.local_addr().expect("the listener is bound")
}

/// Reads one message; `None` at the end of the connection.
pub fn read(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut start = String::new();
    if stream.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    let mut message = Message { start: start.trim_end().to_owned(), ..Message::default() };
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    if let Some(length) = message.header("content-length").and_then(|it| it.parse::<usize>().ok()) {
        message.body.resize(length, 0);
        stream.read_exact(&mut message.body)?;
    } else if message.header("transfer-encoding").is_some_and(|it| it.contains("chunked")) {
        read_chunks(stream, &mut message.body)?;
    }
    Ok(Some(message))
}

fn read_chunks(stream: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; size + 2];
        stream.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Writes a message with the length of its body.
pub fn write(stream: &mut TcpStream, start: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
    let mut bytes = format!("{start}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").into_bytes());
    }
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Accepts connections in a thread of its own, and serves each in another one.
pub fn serve(listener: TcpListener, serve: impl Fn(TcpStream) + Clone + Send + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || serve(stream));
        }
    });
}

/// Sends a request on a new connection and reads the response.
pub fn call(
    address: SocketAddr,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    write(&mut stream, start, headers, body)?;
    read(&mut BufReader::new(stream))?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Returns the text of a field of a flat JSON object.
pub fn field<'a>(text: &'a str, name: &str) -> &'a str {
    let Some((_, rest)) = text.split_once(&format!("\"{name}\":")) else { return "" };
    rest.split([',', '}']).next().unwrap_or_default().trim()
}

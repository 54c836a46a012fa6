//! Stand-in of a server: it answers each request as a function says, and can crash and come back.

use std::{
    io::{self, BufReader, Read},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::http;

/// Interval at which a server looks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);

/// A connection to a server.
pub struct Connection {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

/// What a server does with a request whose head was read; an error ends the connection.
pub type Behaviour =
    dyn Fn(&Host, &mut Connection, http::Message) -> io::Result<()> + Send + Sync + 'static;

/// A server.
#[derive(Clone)]
pub struct Host {
    pub id: String,
    pub address: SocketAddr,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    is_down: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Host {
    /// Starts a server.
    pub fn start(id: &str, behaviour: Arc<Behaviour>) -> io::Result<Host> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let host = Host { id: id.to_owned(), address, state: Arc::default() };
        let shared = host.clone();
        thread::spawn(move || shared.accept(&listener, &behaviour));
        Ok(host)
    }

    /// Accepts connections until the server crashes, which closes the listener.
    fn accept(&self, listener: &TcpListener, behaviour: &Arc<Behaviour>) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        while !self.is_down() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            stream.set_nonblocking(false)?;
            self.state.streams.lock().unwrap().push(stream.try_clone()?);
            let (host, behaviour) = (self.clone(), Arc::clone(behaviour));
            thread::spawn(move || host.serve(stream, &*behaviour));
        }
        Ok(())
    }

    fn serve(&self, stream: TcpStream, behaviour: &Behaviour) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        let mut connection = Connection { stream, reader };
        while let Some(head) = http::read_head(&mut connection.reader)? {
            behaviour(self, &mut connection, head)?;
        }
        Ok(())
    }

    /// Returns whether the server has crashed.
    pub fn is_down(&self) -> bool {
        self.state.is_down.load(Ordering::SeqCst)
    }

    /// Crashes: accepts nothing more, and all connections end.
    pub fn crash(&self) {
        self.state.is_down.store(true, Ordering::SeqCst);
        thread::sleep(5 * ACCEPT_INTERVAL);
        for stream in self.state.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns the entry of the server in the host list.
    pub fn entry(&self, service: &str, zone: &str, slots: u32) -> String {
        let address = self.address;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":0,\
             \"born\":1765000000000}}"
        )
    }

    /// Returns the headers by which a response names its request and its server.
    pub fn proof(&self, request: &http::Message) -> String {
        let (id, server) = (request.id(), &self.id);
        format!("X-Cuminward-Request-Id: {id}\r\nX-Cuminward-Server-Stamp: {server}.{id}\r\n")
    }
}

impl Connection {
    /// Reads the body of a request.
    pub fn read_body(&mut self, head: &http::Message) -> io::Result<Vec<u8>> {
        let length = head.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body)?;
        Ok(body)
    }
}

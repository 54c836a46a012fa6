//! A node of cuminward as a process of its own.

use std::{
    fs::{self, File},
    io,
    net::{TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::http::Connection;

/// Program and subcommand of the deploy file.
const PROGRAM: &str = "target/release/cuminward";

/// A running node. It is killed when it is dropped.
pub struct Node {
    pub name: String,
    pub callers: String,
    ready: String,
    settings: PathBuf,
    process: Child,
}

impl Node {
    /// Starts a node with the command of the deploy file and settings like those of `deploy/gateway.yaml`.
    pub fn start(name: &str, zone: &str, store: &str, folder: &Path) -> io::Result<Node> {
        let callers = free_address()?;
        let ready = free_address()?;
        let peers = free_address()?;
        let metrics = free_address()?;
        let text = format!(
            "node:\n  name: \"{name}\"\n  domain: \"{zone}\"\n  is_first_start: true\n\
             listen:\n  callers: \"{callers}\"\n  ready: \"{ready}\"\n  peers: \"{peers}\"\n  metrics: \"{metrics}\"\n\
             store:\n  address: \"{store}\"\n  min_lease_ms: 1000\n  partitions: 8\n\
             timing:\n  shutdown_grace_s: 8\n\
             retry:\n  ratio: 0.2\n  reserve: 109\n  window_s: 10\n\
             cold:\n  overrun: 1.5\n  slack: 5\n"
        );
        let settings: PathBuf = folder.join(format!("{name}.yaml"));
        fs::write(&settings, text)?;
        let process = spawn(&settings)?;
        Ok(Node { name: name.to_owned(), callers, ready, settings, process })
    }

    /// Kills the process.
    pub fn kill(&mut self) -> io::Result<()> {
        self.process.kill()?;
        self.process.wait().map(|_| ())
    }

    /// Starts the process again after it was killed.
    pub fn restart(&mut self) -> io::Result<()> {
        let text = fs::read_to_string(&self.settings)?;
        fs::write(&self.settings, text.replace("is_first_start: true", "is_first_start: false"))?;
        self.process = spawn(&self.settings)?;
        Ok(())
    }

    /// Waits until the readiness check succeeds. Returns whether it did in time.
    pub fn wait_until_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let check = || -> io::Result<bool> {
            let mut connection = Connection::open(&self.ready, Duration::from_millis(500))?;
            connection.stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            connection.send(
                "GET /readyz HTTP/1.1",
                &[(String::from("Host"), self.ready.clone())],
                b"",
            )?;
            Ok(connection.read(true)?.is_some_and(|it| it.status() == 200))
        };
        check().unwrap_or(false)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn spawn(settings: &Path) -> io::Result<Child> {
    let output = File::options().create(true).append(true).open(settings.with_extension("log"))?;
    Command::new(PROGRAM)
        .arg("gateway")
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone()?)
        .stderr(output)
        .spawn()
}

/// Range of the ports of nodes, below those that the system gives to outgoing connections.
const FIRST_PORT: u32 = 10_000;
const PORTS: u32 = 20_000;

/// Number of ports by which the ranges of two processes are apart that run one after the other.
const PORTS_PER_PROCESS: u32 = 331;

/// Number of the next port that is tried.
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address whose port is free for TCP and UDP, and that wasn't returned before.
fn free_address() -> io::Result<String> {
    for _ in 0..PORTS {
        let number = NEXT_PORT.fetch_add(1, Ordering::SeqCst);
        let port = FIRST_PORT + (process::id() * PORTS_PER_PROCESS + number) % PORTS;
        let address = format!("127.0.0.1:{port}");
        if TcpListener::bind(&address).is_ok() && UdpSocket::bind(&address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

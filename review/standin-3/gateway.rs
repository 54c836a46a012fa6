//! Gateway processes, started with the command of the deploy file.

use std::{
    fs,
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// Settings of a node that differ between cases.
#[derive(Debug, Clone)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub memory_mb: u64,
    pub descriptors: u64,
}

/// A gateway process.
pub struct Gateway {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    pub machine: Machine,
    process: Child,
}

fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl Gateway {
    /// Starts a gateway whose settings and log lie in `directory`.
    pub fn start(directory: &Path, machine: Machine, store: SocketAddr) -> io::Result<Gateway> {
        let (front, ready) = (free_address()?, free_address()?);
        let (peers, metrics) = (free_address()?, free_address()?);
        let settings = directory.join(format!("{}.yaml", machine.name));
        let Machine { name, zone, memory_mb, descriptors } = &machine;
        let text = format!(
            "node:\n  name: \"{name}\"\n  domain: \"{zone}\"\n  is_first_start: true\n\
             listen:\n  callers: \"{front}\"\n  ready: \"{ready}\"\n  peers: \"{peers}\"\n  metrics: \"{metrics}\"\n\
             store:\n  address: \"{store}\"\n  min_lease_ms: 1000\n  partitions: 8\n\
             timing:\n  shutdown_grace_s: 8\n\
             retry:\n  ratio: 0.2\n  reserve: 109\n  window_s: 10\n\
             cold:\n  overrun: 1.5\n  slack: 5\n\
             routing:\n  levels_load: true\nadmission:\n  plans_returns: true\nplacement:\n  follows_demand: true\n\
             machine:\n  memory_mb: {memory_mb}\n  descriptors: {descriptors}\n"
        );
        fs::write(&settings, text)?;
        let process = spawn(&settings)?;
        // For the script, if the stand-in itself is ended.
        let mut ids = fs::File::options().create(true).append(true).open(directory.join("pids"))?;
        writeln!(ids, "{}", process.id())?;
        Ok(Gateway { front, ready, metrics, machine, process })
    }

    /// Waits until the gateway says that it is ready.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Asks the gateway whether it is ready.
    pub fn is_ready(&self) -> bool {
        get(self.ready, "/readyz").is_ok_and(|it| it.status() == 200)
    }

    /// Returns the resident memory of the process, in KiB.
    pub fn memory_kb(&self) -> io::Result<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process.id()))?;
        let line = status.lines().find(|it| it.starts_with("VmRSS"));
        let value = line.and_then(|it| it.split_whitespace().nth(1)?.parse().ok());
        value.ok_or_else(|| io::Error::other("the memory of the process can't be read"))
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(Some(_)))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &Path) -> io::Result<Child> {
    let log = fs::File::options().create(true).append(true).open(settings.with_extension("log"))?;
    Command::new("target/release/cuminward")
        .args(["gateway", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

/// Sends a request without a body on a new connection.
pub fn get(address: SocketAddr, path: &str) -> io::Result<http::Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    let text = format!("GET {path} HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
    (&stream).write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    http::read(&mut reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

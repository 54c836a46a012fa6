//! Nodes: processes of the daemon.

use std::{
    fs::{self, File},
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Stdio,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use cuminward_adapter_fake::address;
use cuminward_standin::link::Link;
use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};

use crate::process;

/// Time that a process may take to exit after SIGTERM.
pub const SHUTDOWN_GRACE: Duration = Duration::from_secs(6);

/// A node, whose process may be stopped and started again.
pub struct Node {
    /// Number of the node, from 0.
    number: usize,
    processes: process::Registry,
    name: String,
    domain: String,
    /// Executable of the next process.
    daemon: Mutex<PathBuf>,
    directory: PathBuf,
    addresses: Addresses,
    /// Proxy between the node and the store.
    pub store: Link,
    process: Mutex<Option<Child>>,
    start_count: Mutex<u32>,
}

/// Addresses at which a node listens.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// For HTTP requests of callers.
    pub callers: SocketAddr,
    /// For readiness checks.
    pub ready: SocketAddr,
    /// For calls of other nodes.
    pub peers: SocketAddr,
}

/// Life cycle
impl Node {
    /// Starts a node in a failure domain, named by its number; its settings and logs are written to
    /// `directory`, and its process to `processes`.
    ///
    /// # Errors
    ///
    /// Fails if no port is free, a file can't be written, or the process can't be started.
    pub async fn start(
        number: usize,
        processes: &process::Registry,
        domain: &str,
        daemon: &Path,
        directory: &Path,
        store: SocketAddr,
    ) -> io::Result<Node> {
        let addresses = Addresses {
            callers: address::allocate()?,
            ready: address::allocate()?,
            peers: address::allocate()?,
        };
        let node = Node {
            number,
            processes: processes.clone(),
            name: format!("n{number}"),
            domain: domain.to_owned(),
            daemon: Mutex::new(daemon.to_owned()),
            directory: directory.to_owned(),
            addresses,
            store: Link::start(store).await?,
            process: Mutex::new(None),
            start_count: Mutex::new(0),
        };
        node.restart()?;
        Ok(node)
    }
}

/// Access
impl Node {
    /// Returns the name of the node.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the addresses at which the node listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns how often a process was started.
    pub fn start_count(&self) -> u32 {
        *self.lock_start_count()
    }

    fn lock_start_count(&self) -> MutexGuard<'_, u32> {
        self.start_count.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the node's settings as YAML.
    fn settings(&self, is_first_start: bool) -> String {
        let Addresses { callers, ready, peers } = self.addresses;
        format!(
            "node: {{name: {}, domain: {}, is_first_start: {is_first_start}}}\n\
             listen: {{callers: \"{callers}\", ready: \"{ready}\", peers: \"{peers}\"}}\n\
             store: {{address: \"{}\", min_lease_ms: 1000, partitions: 8}}\n\
             timing: {{shutdown_grace_s: {}}}\n\
             retry: {{ratio: 0.2, reserve: 100}}\n",
            self.name,
            self.domain,
            self.store.address(),
            SHUTDOWN_GRACE.as_secs(),
        )
    }
}

/// Mutation
impl Node {
    /// Sets the executable of the processes that start from now on.
    pub fn set_daemon(&self, daemon: &Path) {
        daemon.clone_into(&mut self.daemon.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Starts a new process; kills the previous one if it still runs.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be written or the process can't be started.
    pub fn restart(&self) -> io::Result<()> {
        self.start_process(&mut self.lock_start_count())
    }

    /// Starts a new process once the previous one has exited, unless another was started since `start_count` was
    /// read. Returns whether a process that was started later runs or has run.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be written or the process can't be started.
    pub fn restart_after(&self, start_count: u32) -> io::Result<bool> {
        let mut current = self.lock_start_count();
        if *current != start_count {
            return Ok(true);
        }
        if self.is_running() {
            return Ok(false);
        }
        self.start_process(&mut current)?;
        Ok(true)
    }

    fn start_process(&self, start_count: &mut u32) -> io::Result<()> {
        *start_count += 1;
        let number = *start_count;
        let settings = self.directory.join(format!("{}.yaml", self.name));
        fs::write(&settings, self.settings(number == 1))?;
        let log = |stream: &str| {
            File::create(self.directory.join(format!("{}-{number}.{stream}", self.name)))
        };
        let daemon = self.daemon.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let child = Command::new(daemon)
            .args(["gateway", "--settings"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log("out")?)
            .stderr(log("err")?)
            .kill_on_drop(true)
            .spawn()?;
        self.processes.set(self.number, child.id());
        *self.process.lock().unwrap_or_else(PoisonError::into_inner) = Some(child);
        Ok(())
    }

    /// Sends a signal to the process, if it is running.
    pub fn signal(&self, signal: Signal) {
        let process = self.process.lock().unwrap_or_else(PoisonError::into_inner);
        let id = process.as_ref().and_then(Child::id).and_then(|it| i32::try_from(it).ok());
        let Some(pid) = id.and_then(Pid::from_raw) else { return };
        if let Err(error) = kill_process(pid, signal) {
            log::warn!("can't send {signal:?} to node {}: {error}", self.name);
        }
    }

    /// Returns whether the process is running. Reaps a process that has exited.
    pub fn is_running(&self) -> bool {
        let mut process = self.process.lock().unwrap_or_else(PoisonError::into_inner);
        process.as_mut().is_some_and(|it| matches!(it.try_wait(), Ok(None)))
    }
}

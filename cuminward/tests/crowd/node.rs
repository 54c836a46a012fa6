//! A process of the daemon in front of a fake platform, and what it takes of its machine.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Stdio,
    sync::Arc,
    time::Duration,
};

use cuminward_adapter_fake::{
    address,
    caller::{self, Call},
    catalog::{Catalog, Engine, Limits, Retry, Route},
    entry::Entry,
    host::Host,
    store::Store,
};
use tokio::{
    process::{Child, Command},
    time,
};

use crate::manner::{HOST, KEY};

/// Limits on callers.
pub(crate) const HEADER_BYTES: usize = 16 << 10;
pub(crate) const BODY_BYTES: usize = 4 << 20;

/// Attempts at an ordinary request, the time for each, and the pause between them.
const ATTEMPTS: usize = 100;
const ATTEMPT_TIME: Duration = Duration::from_secs(2);
const ATTEMPT_PAUSE: Duration = Duration::from_millis(200);

/// Time that requests may take, longer than all attempts at an ordinary one.
const TIMEOUT: Duration = Duration::from_secs(600);

/// Time without a change after which the process has handled what it was sent, and the largest number of checks.
const SETTLE_TIME: Duration = Duration::from_secs(2);
const SETTLE_CHECKS: usize = 15;

/// States of connections that are open, as the kernel lists them: established, and closed by the other side.
const OPEN_STATES: [&str; 2] = ["01", "08"];

/// Machine of a process, which bounds its memory and descriptors.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Machine {
    pub(crate) memory_mb: u64,
    pub(crate) descriptors: u64,
}

/// A process of the daemon in front of a fake platform.
pub(crate) struct Node {
    pub(crate) process: Child,
    pub(crate) callers: SocketAddr,
    pub(crate) host: Host,
    _store: Arc<Store>,
}

/// Life cycle
impl Node {
    pub(crate) async fn start(name: &str, machine: Machine) -> Node {
        let store = Arc::new(Store::start().await.expect("a loopback port is free"));
        let host = Host::start("p-0", 1).await.expect("a loopback port is free");
        let entry = Entry {
            service: String::from("desk"),
            address: host.address,
            domain: String::from("mercado"),
            is_draining: false,
            seq: 0,
            incarnation: 1,
            engine: None,
        };
        store.put_entry(&host.id, &entry);
        store.declare(&catalog());
        let free = || address::allocate().expect("a loopback port is free");
        let [callers, ready, peers] = [free(), free(), free()];
        let settings = write_settings(name, machine, [callers, ready, peers, store.address]);
        let process = Command::new(env!("CARGO_BIN_EXE_cuminward"))
            .args(["gateway", "--settings"])
            .arg(settings)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .expect("the daemon was built");
        Node { process, callers, host, _store: store }
    }
}

/// Requests
impl Node {
    /// Sends an ordinary request until it is answered. Returns whether it was.
    pub(crate) async fn answers(&self) -> bool {
        for _ in 0..ATTEMPTS {
            let status = time::timeout(ATTEMPT_TIME, self.send()).await;
            if status.ok().flatten() == Some(200) {
                return true;
            }
            time::sleep(ATTEMPT_PAUSE).await;
        }
        false
    }

    async fn send(&self) -> Option<u16> {
        let headers = caller::headers(HOST, KEY, "9c41", ATTEMPT_TIME);
        let (method, path) = (String::from("POST"), String::from("/desk/1"));
        let call = Call { method, path, headers, body: String::from("an ordinary request") };
        let mut connection = caller::connect(self.callers).await.ok()?;
        caller::send(&mut connection, &call).await.ok().map(|it| it.status.as_u16())
    }
}

/// Use of the machine
impl Node {
    /// Waits until the process has handled what it was sent: its memory and descriptors no longer change.
    pub(crate) async fn settle(&self) {
        let mut last = (0, 0);
        for _ in 0..SETTLE_CHECKS {
            let now = (self.peak_memory_mb(), self.descriptors());
            if now == last {
                return;
            }
            last = now;
            time::sleep(SETTLE_TIME).await;
        }
    }

    pub(crate) fn id(&self) -> u32 {
        self.process.id().expect("the process has not been waited for")
    }

    /// Returns the largest memory that the process had so far, in MiB.
    pub(crate) fn peak_memory_mb(&self) -> u64 {
        memory_bytes(self.id(), "VmHWM:") >> 20
    }

    pub(crate) fn descriptors(&self) -> u64 {
        let listed = fs::read_dir(format!("/proc/{}/fd", self.id()));
        listed.map_or(u64::MAX, |it| it.count() as u64)
    }
}

/// Returns the memory that a process has now, with the bytes that have arrived at `address` and weren't read, in MiB.
pub(crate) fn memory_with_unread_mb(process: u32, address: SocketAddr) -> u64 {
    (memory_bytes(process, "VmRSS:") + unread_bytes(address)) >> 20
}

/// Returns a size of a process's memory, in bytes.
fn memory_bytes(process: u32, name: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix(name));
    let kib = line.and_then(|it| it.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kib.map_or(u64::MAX, |it| it << 10)
}

/// Returns the bytes that wait in the kernel on all connections to an address, also on those that weren't accepted yet.
fn unread_bytes(address: SocketAddr) -> u64 {
    let listed = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let port = format!(":{:04X}", address.port());
    let waiting = listed.lines().filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let (local, state, queues) = (fields.next()?, fields.nth(1)?, fields.next()?);
        let received = queues.split_once(':')?.1;
        let is_open = local.ends_with(&port) && OPEN_STATES.contains(&state);
        u64::from_str_radix(received, 16).ok().filter(|_| is_open)
    });
    waiting.sum()
}

fn catalog() -> Catalog {
    let route = Route {
        host: HOST.to_owned(),
        prefix: String::from("/desk/"),
        retry: Retry::Idempotent,
        service: String::from("desk"),
        timeout: TIMEOUT,
        latency_objective: None,
        max_attempts: 2,
        is_anonymous: false,
    };
    let engine = Engine {
        service: String::from("chat"),
        slots: 4,
        model: String::from("m"),
        size: 1,
        load_time: Duration::from_secs(1),
        join_time: Duration::from_secs(1),
        open_time: Duration::from_secs(1),
    };
    let limits = Limits {
        header_bytes: HEADER_BYTES,
        body_bytes: BODY_BYTES,
        header_timeout: TIMEOUT,
        idle_timeout: TIMEOUT,
    };
    Catalog {
        version: 1,
        routes: vec![route],
        max_connections: 50,
        plain_service: String::from("desk"),
        engine,
        team: String::from("team-1"),
        key: KEY.to_owned(),
        limits: Some(limits),
    }
}

/// Writes the settings of a node with its addresses for callers, readiness checks and other nodes, and that of the store.
fn write_settings(name: &str, machine: Machine, addresses: [SocketAddr; 4]) -> PathBuf {
    let [callers, ready, peers, store] = addresses;
    let Machine { memory_mb, descriptors } = machine;
    let text = format!(
        "node: {{name: {name}, domain: mercado, is_first_start: true}}\n\
         listen: {{callers: \"{callers}\", ready: \"{ready}\", peers: \"{peers}\"}}\n\
         store: {{address: \"{store}\", min_lease_ms: 1000, partitions: 8}}\n\
         timing: {{shutdown_grace_s: 6}}\n\
         retry: {{ratio: 0.2, reserve: 100}}\n\
         machine: {{memory_mb: {memory_mb}, descriptors: {descriptors}}}\n"
    );
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("crowd-{name}.yaml"));
    fs::write(&path, text).expect("the directory of temporary files can be written");
    path
}

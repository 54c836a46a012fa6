//! A small deployment: a store, servers of one plain service, machines of cuminward and their consumers.

use std::{
    env, fs, io,
    path::{Path, PathBuf},
    process,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{
    consumer::{self, Call, Exchange},
    node::Node,
    record::Record,
    server::Server,
    store::{Door, Store},
};

/// Time from the start to the first request.
const TRAFFIC_AT: Duration = Duration::from_secs(4);

/// Time within which the machines have to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Services, each with servers of its own.
pub const DESK: &str = "desk";
pub const LEDGER: &str = "ledger";

/// A configuration with one route.
pub struct Config<'a> {
    pub version: u32,
    /// Service to which the route leads.
    pub service: &'a str,
    /// Keys of the only tenant.
    pub keys: &'a [&'a str],
}

/// Configuration at the start.
pub const FIRST: Config<'static> = Config { version: 7, service: DESK, keys: &["k1", "k2"] };

impl Config<'_> {
    fn encode(&self) -> String {
        let service = |name: &str| {
            format!(
                "{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"connLimit\":110,\"protocol\":\"h1\",\
                 \"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}}"
            )
        };
        let route = format!(
            "{{\"name\":\"r-book\",\"host\":\"a.example\",\"pathPrefix\":\"/book/\",\
             \"routeKind\":\"non_idempotent\",\"timeoutMs\":1500,\"targetLatencyMs\":300,\"priority\":1,\
             \"service\":\"{}\",\"maxAttempts\":1,\"anonymous\":false}}",
            self.service
        );
        let services = [DESK, LEDGER].map(service).join(",");
        let keys: Vec<String> = self.keys.iter().map(|it| format!("\"{it}\"")).collect();
        format!(
            "{{\"version\":{},\"routes\":[{route}],\"services\":[{services}],\"limits\":{{\
             \"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
             \"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"t1\",\"apiKeys\":[{}],\"priority\":1}}]}}",
            self.version,
            keys.join(",")
        )
    }
}

/// A running deployment. All its processes end when it is dropped.
pub struct Site {
    pub record: Arc<Record>,
    pub store: Store,
    pub nodes: Vec<Node>,
    /// Addresses of the store, one for each machine.
    doors: Vec<Door>,
    folder: PathBuf,
    work: Duration,
    stop: Arc<AtomicBool>,
    consumers: Vec<JoinHandle<Vec<Exchange>>>,
}

impl Site {
    /// Starts the store and the machines, each with its name and zone. Requests take `work` at a server.
    pub fn start(folder: &Path, machines: &[(&str, &str)], work: Duration) -> io::Result<Site> {
        let record = Arc::new(Record::create(&folder.join("record.txt"))?);
        let folder = env::temp_dir().join(format!("cuminward-review-{}", process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::default();
        store.put("keyed.op", "config", &FIRST.encode());
        let mut site = Site {
            record,
            store,
            nodes: Vec::new(),
            doors: Vec::new(),
            folder,
            work,
            stop: Arc::default(),
            consumers: Vec::new(),
        };
        for (name, zone) in machines {
            let door = site.store.open_door()?;
            site.nodes.push(Node::start(name, zone, &door.address, &site.folder)?);
            site.doors.push(door);
        }
        Ok(site)
    }

    /// Starts a server.
    pub fn server(&self, id: &str, service: &str, zone: &str) -> io::Result<Server> {
        Server::start(id, service, zone, self.work, &self.store, &self.record)
    }

    /// Changes the configuration. Returns when the store acknowledged the change.
    pub fn configure(&self, config: &Config<'_>) -> Duration {
        self.store.put("keyed.op", "config", &config.encode());
        self.record.write(&format!("the store acknowledged version {}", config.version));
        self.record.now()
    }

    /// Waits until the machines are ready, and starts `count` consumers at each of them, which hold the keys in
    /// turn.
    pub fn start_traffic(&mut self, count: usize, keys: &[&str]) -> io::Result<()> {
        self.wait_until_ready()?;
        self.wait_until(TRAFFIC_AT);
        for node in &self.nodes {
            for number in 0..count {
                let key = keys[number % keys.len()];
                let name = format!("{}/{key}/{number}", node.name);
                let (stop, record) = (Arc::clone(&self.stop), Arc::clone(&self.record));
                let started =
                    consumer::start(name, node.callers.clone(), call(BOOK_PATH, key), stop, record);
                self.consumers.push(started);
            }
        }
        Ok(())
    }

    /// Waits until all machines are ready.
    pub fn wait_until_ready(&self) -> io::Result<()> {
        match self.nodes.iter().find(|it| !it.wait_until_ready(READY_TIMEOUT)) {
            Some(it) => Err(io::Error::other(format!("machine {} didn't become ready", it.name))),
            None => Ok(()),
        }
    }

    /// Waits until a time after the start.
    pub fn wait_until(&self, at: Duration) {
        consumer::wait_until(&self.record, at);
    }

    /// Makes the store turn a machine away with 503, or serve it again.
    pub fn refuse(&self, machine: &str, is_refusing: bool) {
        let index = self.nodes.iter().position(|it| it.name == machine);
        let door = &self.doors[index.expect("the machine is part of the deployment")];
        let text = if is_refusing { "turns away" } else { "serves again" };
        self.record.write(&format!("the store {text} machine {machine}"));
        door.is_refusing.store(is_refusing, Ordering::SeqCst);
    }

    /// Kills all machines at the same moment, and starts them again after a time. Returns when all are ready.
    pub fn restart_all(&mut self, down_time: Duration) -> io::Result<()> {
        self.record.write("all machines are killed");
        for node in &mut self.nodes {
            node.kill()?;
        }
        thread::sleep(down_time);
        for node in &mut self.nodes {
            node.restart()?;
        }
        self.wait_until_ready()?;
        self.record.write("all machines are ready again");
        Ok(())
    }

    /// Writes how many calls of each machine the store has answered so far.
    pub fn record_store_calls(&self) {
        for (node, door) in self.nodes.iter().zip(&self.doors) {
            let answered = door.answered.load(Ordering::SeqCst);
            self.record.write(&format!("the store has answered {answered} calls of {}", node.name));
        }
    }

    /// Stops the consumers and returns their requests.
    pub fn stop_traffic(&mut self) -> Vec<Exchange> {
        self.stop.store(true, Ordering::SeqCst);
        self.consumers.drain(..).flat_map(|it| it.join().unwrap_or_default()).collect()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.nodes.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Path of the usual requests.
const BOOK_PATH: &str = "/book/1";

/// Builds the call of a request to a path with a key.
pub fn call(path: &str, key: &str) -> Call {
    Call {
        line: format!("POST {path} HTTP/1.1"),
        host: String::from("a.example"),
        key: key.to_owned(),
        body: b"one bolt".to_vec(),
    }
}

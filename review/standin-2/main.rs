//! Stand-ins of the review: the platform's store, servers of a plain service and consumers, in one process.
//!
//! Built by `review/build-2.sh` with the compiler alone. The first argument names the case, the second the folder with
//! the settings of the gateway nodes, the third the file of the record. The scenario is in `cases.rs`.

mod cases;
mod http;
mod model;
mod plain;
mod record;
mod store;

use std::{env, fs, io::Write, net::SocketAddr, path::PathBuf, process};

/// What a case is started with.
pub struct Arguments {
    /// Folder in which the settings of the nodes are written.
    pub folder: PathBuf,
    /// Program of the deploy file.
    pub program: PathBuf,
    /// File of the record.
    pub record: PathBuf,
    /// Whether the disruption is played.
    pub has_trouble: bool,
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder, program, record] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER PROGRAM RECORD");
        process::exit(2);
    };
    let arguments = Arguments {
        folder: PathBuf::from(folder),
        program: PathBuf::from(program),
        record: PathBuf::from(record),
        has_trouble: env::var("TROUBLE").map_or(true, |it| it != "0"),
    };
    process::exit(cases::run(case, &arguments));
}

/// Addresses of a gateway node.
#[derive(Clone, Copy, Debug)]
pub struct Node {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
}

/// Starts a gateway node with the command of the deploy file and the fields of its settings template.
pub fn start_node(arguments: &Arguments, name: &str, store: SocketAddr) -> (Node, process::Child) {
    let [callers, ready, peers, metrics] = std::array::from_fn(|_| http::free_address());
    let text = format!(
        "node: {{name: {name}, domain: mercado, is_first_start: false}}\n\
         listen: {{callers: \"{callers}\", ready: \"{ready}\", peers: \"{peers}\", metrics: \"{metrics}\"}}\n\
         store: {{address: \"{store}\", min_lease_ms: 1000, partitions: 8}}\n\
         timing: {{shutdown_grace_s: 8}}\n\
         retry: {{ratio: 0.2, reserve: 109, window_s: 10}}\n\
         cold: {{overrun: 1.5, slack: 5}}\n\
         routing: {{levels_load: true}}\n\
         admission: {{plans_returns: true}}\n\
         placement: {{follows_demand: true}}\n\
         machine: {{memory_mb: 260, descriptors: 4100}}\n"
    );
    let path = arguments.folder.join(format!("{name}.yaml"));
    fs::write(&path, text).expect("the temporary folder can be written");
    let log = fs::File::create(arguments.folder.join(format!("{name}.log"))).expect("the log can be created");
    let errors = log.try_clone().expect("the log can be shared");
    let child = process::Command::new(&arguments.program)
        .args(["gateway", "--settings"])
        .arg(&path)
        .stdin(process::Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("the program was built");
    // Lets the script end the process if this one is ended.
    let pids = fs::OpenOptions::new().append(true).create(true).open(arguments.folder.join("pids"));
    let _ = pids.and_then(|mut it| writeln!(it, "{}", child.id()));
    (Node { callers, ready }, child)
}

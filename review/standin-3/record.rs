//! What was sent, answered and run, as the stand-ins saw it.

use std::{
    fs, io,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// The record of a case, shared by all stand-ins.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    /// Starts an empty record.
    pub fn start() -> Record {
        Record { started: Instant::now(), lines: Arc::default() }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Adds a line.
    pub fn add(&self, line: String) {
        self.lines.lock().unwrap().push((self.now(), line));
    }

    /// Writes all lines in their order.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort();
        let lines = lines.iter().map(|(at, line)| format!("{:8.3} {line}\n", at.as_secs_f64()));
        fs::write(path, lines.collect::<String>())
    }
}

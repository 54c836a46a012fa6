//! Record of what was sent, answered and run.

use std::{
    fs::File,
    io::{self, BufWriter, Write},
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

/// Record of one run, written to a file line by line.
pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> io::Result<Record> {
        let file = Mutex::new(BufWriter::new(File::create(path)?));
        Ok(Record { started: Instant::now(), file })
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line with the current time in milliseconds.
    pub fn write(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>6} {text}", self.now().as_millis());
        let _ = file.flush();
    }
}

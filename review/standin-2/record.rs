//! The record of a case: one line for each thing that was sent, answered or run.

use std::{
    fmt, fs, io::Write as _,
    path::Path,
    sync::Mutex,
    time::Instant,
};

/// Writes lines with the seconds since the start of the case.
pub struct Record {
    started: Instant,
    file: Mutex<fs::File>,
}

/// Life cycle
impl Record {
    pub fn new(path: &Path) -> Record {
        let file = fs::File::create(path).expect("the record can be written");
        Record { started: Instant::now(), file: Mutex::new(file) }
    }
}

/// Access
impl Record {
    /// Returns the seconds since the start of the case.
    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn line(&self, text: impl fmt::Display) {
        let mut file = self.file.lock().expect("no writer panics");
        let _ = writeln!(file, "{:8.3} {text}", self.seconds());
    }
}

//! Events as lines of JSON on standard output, written by a thread of its own.
//!
//! Whoever emits an event never waits: lines that find the buffer full are dropped and counted, and the
//! count is written as soon as lines are taken again.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
};

use crate::{kind::Kind, record::Record};

/// Lines that wait to be written.
const BUFFERED_LINES: usize = 2048;

/// Bytes that are written at once.
const BATCH_BYTES: usize = 32 << 10;

/// Writes records as lines.
#[derive(Debug, Clone)]
pub struct Writer {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

/// Life cycle
impl Writer {
    /// Starts a writer to standard output.
    ///
    /// # Errors
    ///
    /// The thread can't be started.
    pub fn stdout() -> io::Result<Writer> {
        Writer::start(io::stdout())
    }

    /// Starts a writer to any output.
    ///
    /// # Errors
    ///
    /// The thread can't be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Writer> {
        let (sender, receiver) = sync_channel(BUFFERED_LINES);
        thread::Builder::new().name(String::from("log")).spawn(move || write(&receiver, output))?;
        Ok(Writer { lines: sender, dropped: Arc::default() })
    }
}

/// Access
impl Writer {
    /// Lines that were dropped and not yet reported.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// Mutation
impl Writer {
    /// Writes a record, or counts it as dropped if the buffer is full.
    pub fn write(&self, record: &Record) {
        self.report_dropped(record);
        if !self.send(record) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Reports dropped lines before the next one; they stay counted if this line is dropped too.
    fn report_dropped(&self, next: &Record) {
        let count = self.dropped.swap(0, Ordering::Relaxed);
        if count == 0 {
            return;
        }
        let kind = Kind::LinesDropped { count };
        if !self.send(&Record { request: None, kind, ..next.clone() }) {
            self.dropped.fetch_add(count, Ordering::Relaxed);
        }
    }

    fn send(&self, record: &Record) -> bool {
        let Ok(mut line) = serde_json::to_vec(record) else { return false };
        line.push(b'\n');
        self.lines.try_send(line).is_ok()
    }
}

/// Writes lines until all writers are gone. Output that can't be written is lost.
fn write(lines: &Receiver<Vec<u8>>, mut output: impl Write) {
    while let Ok(mut batch) = lines.recv() {
        while batch.len() < BATCH_BYTES
            && let Ok(line) = lines.try_recv()
        {
            batch.extend_from_slice(&line);
        }
        let written = output.write_all(&batch).and_then(|()| output.flush());
        if let Err(error) = written {
            log::debug!("log lines can't be written: {error}");
        }
    }
}

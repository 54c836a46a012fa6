//! Writes events as JSON lines to standard output from a separate thread.
//!
//! Emitting an event never blocks: the queue of lines is bounded, lines that don't fit are dropped and
//! counted, and an event with the count is written before the next line that fits.

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

/// Capacity of the queue, in lines.
const QUEUE_CAPACITY: usize = 2048;

/// Size from which a batch of lines is written without waiting for further lines, in bytes.
const BATCH_BYTES: usize = 32 << 10;

/// Handle that queues records for the writer thread.
#[derive(Debug, Clone)]
pub struct Writer {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

/// Life cycle
impl Writer {
    /// Starts a writer thread for standard output.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be started.
    pub fn stdout() -> io::Result<Writer> {
        Writer::start(io::stdout())
    }

    /// Starts a writer thread for any output.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Writer> {
        let (sender, receiver) = sync_channel(QUEUE_CAPACITY);
        thread::Builder::new()
            .name(String::from("log"))
            .spawn(move || write_batches(&receiver, output))?;
        Ok(Writer { lines: sender, dropped: Arc::default() })
    }
}

/// Access
impl Writer {
    /// Returns the number of dropped lines that were not reported yet.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// Mutation
impl Writer {
    /// Queues a record, or counts it as dropped if the queue is full.
    pub fn write(&self, record: &Record) {
        self.report_dropped(record);
        if !self.send(record) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Queues a report of the dropped lines before the next record. They stay counted if the queue is
    /// still full.
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

    /// Queues a record; returns whether the queue accepted it.
    fn send(&self, record: &Record) -> bool {
        let Ok(mut line) = serde_json::to_vec(record) else { return false };
        line.push(b'\n');
        self.lines.try_send(line).is_ok()
    }
}

/// Writes queued lines in batches until all handles are dropped. Lines that can't be written are lost.
fn write_batches(lines: &Receiver<Vec<u8>>, mut output: impl Write) {
    while let Ok(mut batch) = lines.recv() {
        while batch.len() < BATCH_BYTES
            && let Ok(line) = lines.try_recv()
        {
            batch.extend_from_slice(&line);
        }
        let result = output.write_all(&batch).and_then(|()| output.flush());
        if let Err(error) = result {
            log::debug!("failed to write a batch of log lines: {error}");
        }
    }
}

//! Processor time of threads, from Linux's `/proc`.

use std::{fs, time::Duration};

/// Clock ticks a second in `/proc/*/stat`; Linux reports 100 to user space.
const TICKS_PER_SECOND: u64 = 100;

/// Fields of a thread's `stat` after its name: user time is the 12th, system time the 13th.
const USER_FIELD: usize = 11;

/// Longest name of a thread that Linux keeps, in bytes.
const MAX_NAME_BYTES: usize = 15;

/// Processor time of this process's threads with a name, those that have ended not included.
pub fn thread_time(name: &str) -> Duration {
    let name = &name[..name.len().min(MAX_NAME_BYTES)];
    let tasks = fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let stats = tasks.filter_map(|it| fs::read_to_string(it.path().join("stat")).ok());
    let ticks: u64 = stats.filter_map(|it| ticks(&it, name)).sum();
    Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
}

/// Ticks of a thread, if it has the name.
fn ticks(stat: &str, name: &str) -> Option<u64> {
    let (head, tail) = stat.rsplit_once(')')?;
    let (_, found) = head.split_once('(')?;
    if found != name {
        return None;
    }
    let mut fields = tail.split_whitespace().skip(USER_FIELD);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}

//! CPU time of threads, read from `/proc` on Linux.

use std::{fs, time::Duration};

/// Clock ticks per second in `/proc/*/stat`; Linux always reports 100 to user space.
const TICKS_PER_SECOND: u64 = 100;

/// Number of fields in a thread's `stat` between its name and the user time. The user time is the
/// 12th field after the name, the system time the 13th.
const USER_FIELD: usize = 11;

/// Length in bytes to which Linux truncates thread names.
const MAX_NAME_BYTES: usize = 15;

/// Returns the user and system time of the running threads of this process that have a name;
/// threads that have ended are not included.
pub fn thread_time(name: &str) -> Duration {
    let name = &name[..name.len().min(MAX_NAME_BYTES)];
    let tasks = fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let stats = tasks.filter_map(|it| fs::read_to_string(it.path().join("stat")).ok());
    let ticks: u64 = stats.filter_map(|it| ticks(&it, name)).sum();
    Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
}

/// Returns the clock ticks that a thread has used, or `None` if it has another name.
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

//! CPU time of the threads of this process, read from Linux's procfs.

use std::path::Path;
use std::time::Duration;
use std::{fs, io};

/// Returns the total CPU time of the live threads whose names start with `prefix`; an empty prefix
/// matches every thread. The kernel truncates thread names to 15 bytes.
pub fn thread_cpu_time(prefix: &str) -> io::Result<Duration> {
    let mut nanos = 0;
    for entry in fs::read_dir("/proc/self/task")? {
        // A thread may exit between the listing and the read.
        nanos += cpu_nanos(&entry?.path(), prefix).unwrap_or(0);
    }
    Ok(Duration::from_nanos(nanos))
}

fn cpu_nanos(thread: &Path, prefix: &str) -> Option<u64> {
    let name = fs::read_to_string(thread.join("comm")).ok()?;
    if !name.starts_with(prefix) {
        return None;
    }
    let stat = fs::read_to_string(thread.join("schedstat")).ok()?;
    stat.split_whitespace().next()?.parse().ok()
}

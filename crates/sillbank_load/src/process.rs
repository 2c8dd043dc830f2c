//! Processor time and memory of a process, from `/proc`.

use std::time::Duration;

/// Returns the processor time of all threads of a process, or `None` if it has ended.
pub fn cpu_time(pid: u32) -> Option<Duration> {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).ok()?;
    let mut sum_ns = 0;
    for task in tasks.flatten() {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        sum_ns += text.split_whitespace().next()?.parse::<u64>().ok()?;
    }
    Some(Duration::from_nanos(sum_ns))
}

/// Returns the resident memory of a process in bytes, or `None` if it has ended.
pub fn resident_bytes(pid: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib * 1024)
}

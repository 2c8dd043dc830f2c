//! Memory of the process: what is read, and when it is logged.
#![allow(clippy::unwrap_used)]

use sillbank_gateway::vm_limits::MemoryAlarm;
use sillbank_net::process_memory::{parse_resident_bytes, resident_bytes};

/// Limit of the process, in MB.
const LIMIT_MB: f64 = 200.0;
/// Bytes per megabyte.
const MB: u64 = 1_000_000;

/// Guards against a process that is killed at its memory limit without a line that tells of it, or one that logs at each
/// reading.
#[test]
fn memory_near_the_limit_is_reported_once() {
    let mut alarm = MemoryAlarm::default();
    let readings_mb = [20, 119, 121, 180, 119, 81, 79, 20, 130];

    let changes = readings_mb.map(|mb| alarm.on_reading(mb * MB, LIMIT_MB));

    let expected = [None, None, Some(true), None, None, None, Some(false), None, Some(true)];
    assert_eq!(changes, expected);
}

#[test]
fn resident_memory_is_read_from_the_status_of_the_process() {
    let status = "Name:\tgateway\nVmHWM:\t   30000 kB\nVmRSS:\t   12345 kB\nThreads:\t2\n";

    assert_eq!(parse_resident_bytes(status), Some(12_345 * 1_024));
    assert_eq!(parse_resident_bytes("VmRSS:\t12345\n"), None);
    assert_eq!(parse_resident_bytes(""), None);
    assert!(resident_bytes().unwrap() > 0);
}

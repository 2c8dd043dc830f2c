//! Memory of this process, as the operating system counts it.

/// File in which the operating system describes this process.
const STATUS_FILE: &str = "/proc/self/status";
/// Field of the resident memory, in KiB.
const RESIDENT_FIELD: &str = "VmRSS:";
/// Bytes per KiB.
const BYTES_PER_KIB: u64 = 1_024;

/// Resident memory of this process, in bytes; `None` if the operating system does not tell.
pub fn resident_bytes() -> Option<u64> {
    parse_resident_bytes(&std::fs::read_to_string(STATUS_FILE).ok()?)
}

/// Parses the resident memory from the text of the status file.
pub fn parse_resident_bytes(status: &str) -> Option<u64> {
    let value = status.lines().find_map(|line| line.strip_prefix(RESIDENT_FIELD))?;
    let kib: u64 = value.trim().strip_suffix("kB")?.trim().parse().ok()?;
    kib.checked_mul(BYTES_PER_KIB)
}

//! Settings of one process, from its TOML file.

use crate::objects::key_hashes;
use crate::reader::{FieldReader, Problem, Problems};
use sillbank_core::prelude::*;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Shape of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogShape {
    /// For people.
    Text,
    /// For machines.
    Json,
}

/// What every process is told of its logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// Shape of lines.
    pub shape: LogShape,
    /// Filter, such as `info` or `sillbank_entry=debug`.
    pub filter: String,
}

impl LogSettings {
    /// Whether lines are JSON.
    pub fn is_json(&self) -> bool {
        self.shape == LogShape::Json
    }
}

/// Settings of `sillbank-entry`.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// VM it runs on.
    pub vm: VmId,
    /// Data hall of the VM.
    pub hall: HallId,
    /// Where callers come.
    pub listen: SocketAddr,
    /// Where health, metrics and readiness are read.
    pub admin_listen: SocketAddr,
    /// Control process of the same VM.
    pub control: SocketAddr,
    /// Longest body of a request.
    pub max_body_bytes: usize,
    /// Longest head of a request.
    pub max_head_bytes: usize,
    /// Time a caller has for the head of a request.
    pub head_timeout: Duration,
    /// Time a caller has for the body of a request.
    pub body_timeout: Duration,
    /// Bytes of an answer kept for a caller that reads slowly.
    pub stream_buffer_bytes: usize,
    /// Time a caller may leave the buffer full.
    pub caller_stall: Duration,
    /// Time that requests in flight have when the VM is stopped.
    pub stop_limit: Duration,
    /// How a chain is chosen.
    pub chain_policy: String,
    /// Logs.
    pub log: LogSettings,
}

/// Settings of `sillbank-control`.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// VM it runs on.
    pub vm: VmId,
    /// Data hall of the VM.
    pub hall: HallId,
    /// Where entry and other control processes come (TCP).
    pub listen: SocketAddr,
    /// Where gossip comes (UDP).
    pub gossip_listen: SocketAddr,
    /// Where operators, health and metrics come (HTTP).
    pub admin_listen: SocketAddr,
    /// The platform's object API.
    pub platform: SocketAddr,
    /// Gossip addresses of some VMs to begin with.
    pub seeds: Vec<SocketAddr>,
    /// Keys of the fleet; the first signs, all are accepted.
    pub peer_keys: Vec<String>,
    /// Hashes of the keys of operators that may write everything.
    pub root_key_hashes: Vec<String>,
    /// Interval of gossip.
    pub gossip_interval: Duration,
    /// Term of the lease of a slot of keys.
    pub once_term: Duration,
    /// How long the key of a call not to be repeated is remembered.
    pub once_retention: Duration,
    /// Term of the lease under which a hall's engines are ordered.
    pub orders_term: Duration,
    /// Least time between two orders for a pipeline.
    pub orders_pause: Duration,
    /// How many VMs of a hall watch the platform.
    pub watchers: usize,
    /// Logs.
    pub log: LogSettings,
}

/// Settings of any process, told apart by the field `role`.
#[derive(Debug, Clone)]
pub enum ProcessSettings {
    /// `role = "entry"`
    Entry(Box<EntrySettings>),
    /// `role = "control"`
    Control(Box<ControlSettings>),
}

impl ProcessSettings {
    /// The settings of an entry, if they are.
    pub fn entry(self) -> Option<EntrySettings> {
        match self {
            Self::Entry(settings) => Some(*settings),
            Self::Control(_) => None,
        }
    }

    /// The settings of a control process, if they are.
    pub fn control(self) -> Option<ControlSettings> {
        match self {
            Self::Control(settings) => Some(*settings),
            Self::Entry(_) => None,
        }
    }
}

/// Reads and checks a settings file.
///
/// # Errors
/// Every fault found, with file, path, reason and remedy.
pub fn read_file(path: &Path) -> Result<ProcessSettings, Problems> {
    let source = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| {
        Problems(vec![Problem {
            source: source.clone(),
            path: "(file)".to_owned(),
            reason: e.to_string(),
            remedy: "check the path and its rights".to_owned(),
        }])
    })?;
    read_text(&source, &text)
}

/// Reads and checks the settings file of a program with a stated role.
///
/// # Errors
/// Every fault found, or one that says that the file is another program's.
pub fn read_role<T>(
    path: &Path,
    role: &str,
    pick: impl FnOnce(ProcessSettings) -> Option<T>,
) -> Result<T, Problems> {
    pick(read_file(path)?).ok_or_else(|| {
        Problems(vec![Problem {
            source: path.display().to_string(),
            path: "role".to_owned(),
            reason: format!("it is not '{role}'"),
            remedy: "name the file of this program".to_owned(),
        }])
    })
}

/// Reads and checks settings that are text already.
///
/// # Errors
/// Every fault found.
pub fn read_text(source: &str, text: &str) -> Result<ProcessSettings, Problems> {
    let mut reader = FieldReader::from_toml(source, text)?;
    let settings = match reader.choice("role", &["entry", "control"], "").as_str() {
        "entry" => ProcessSettings::Entry(Box::new(read_entry(&mut reader))),
        "control" => ProcessSettings::Control(Box::new(read_control(&mut reader))),
        _ => return Err(reader.finish().err().unwrap_or_default()),
    };
    reader.finish().map(|()| settings)
}

/// Reads the logging table.
pub fn read_log(reader: &mut FieldReader) -> LogSettings {
    reader.table("log", |log| LogSettings {
        shape: match log.choice("shape", &["text", "json"], "text").as_str() {
            "json" => LogShape::Json,
            _ => LogShape::Text,
        },
        filter: log.text_or_none("filter").unwrap_or_else(|| "info".to_owned()),
    })
}

fn read_entry(reader: &mut FieldReader) -> EntrySettings {
    EntrySettings {
        vm: reader.name("vm"),
        hall: reader.name("hall"),
        listen: reader.address("listen"),
        admin_listen: reader.address("admin_listen"),
        control: reader.address("control"),
        max_body_bytes: reader.number("max_body_bytes", 1 << 20, 1024..=64 << 20) as usize,
        max_head_bytes: reader.number("max_head_bytes", 16 << 10, 8192..=1 << 20) as usize,
        head_timeout: reader.millis("head_timeout_ms", 5_000, 10..=600_000),
        body_timeout: reader.millis("body_timeout_ms", 10_000, 10..=600_000),
        stream_buffer_bytes: reader.number("stream_buffer_bytes", 64 << 10, 1024..=16 << 20)
            as usize,
        caller_stall: reader.millis("caller_stall_ms", 10_000, 10..=600_000),
        stop_limit: reader.millis("stop_limit_ms", 30_000, 0..=3_600_000),
        chain_policy: reader.choice("chain_policy", &CHAIN_POLICIES, CHAIN_POLICIES[0]),
        log: read_log(reader),
    }
}

/// Names of the ways to choose a chain; the first is the usual one.
pub const CHAIN_POLICIES: [&str; 4] = ["least_finish", "least_in_flight", "round_robin", "random"];

fn read_control(reader: &mut FieldReader) -> ControlSettings {
    let settings = ControlSettings {
        vm: reader.name("vm"),
        hall: reader.name("hall"),
        listen: reader.address("listen"),
        gossip_listen: reader.address("gossip_listen"),
        admin_listen: reader.address("admin_listen"),
        platform: reader.address("platform"),
        seeds: reader.addresses("seeds"),
        peer_keys: reader.texts("peer_keys"),
        root_key_hashes: key_hashes(reader, "root_key_hashes"),
        gossip_interval: reader.millis("gossip_interval_ms", 1_000, 20..=60_000),
        once_term: reader.millis("once_term_ms", 60_000, 500..=3_600_000),
        once_retention: reader.millis("once_retention_ms", 600_000, 1_000..=86_400_000),
        orders_term: reader.millis("orders_term_ms", 15_000, 500..=3_600_000),
        orders_pause: reader.millis("orders_pause_ms", 5_000, 0..=3_600_000),
        watchers: reader.number("watchers", 2, 1..=16) as usize,
        log: read_log(reader),
    };
    if settings.peer_keys.is_empty() {
        reader.note(
            "peer_keys",
            "it names no key",
            "add 'peer_keys = [\"...\"]', the same on all VMs",
        );
    }
    if settings.peer_keys.iter().any(|key| key.len() < 16) {
        reader.note("peer_keys", "a key is too short", "use 16 characters or more");
    }
    settings
}

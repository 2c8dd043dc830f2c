//! Settings of a process, read from its TOML file.

use crate::objects::key_hashes;
use crate::reader::{FieldReader, Problem, Problems};
use sillbank_core::prelude::*;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Logging settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// Format of log lines.
    pub format: LogFormat,
    /// Filter directives, such as `info` or `sillbank_entry=debug`.
    pub filter: String,
}

impl LogSettings {
    /// Whether log lines are JSON.
    pub fn is_json(&self) -> bool {
        self.format == LogFormat::Json
    }
}

/// Settings of `sillbank-entry`.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// VM it runs on.
    pub vm: VmId,
    /// Data hall of the VM.
    pub hall: HallId,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address for health, readiness and metrics.
    pub admin_listen: SocketAddr,
    /// Address of the control process of the same VM.
    pub control: SocketAddr,
    /// Maximum length of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum length of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Time limit for receiving the head of a request.
    pub head_timeout: Duration,
    /// Time limit for receiving the body of a request.
    pub body_timeout: Duration,
    /// Size of the buffer for an answer that its caller reads slowly, in bytes.
    pub stream_buffer_bytes: usize,
    /// Time for which the buffer may stay full before the caller counts as stalled.
    pub caller_stall: Duration,
    /// Time limit for requests in flight when the VM is stopped.
    pub stop_limit: Duration,
    /// Name of the policy by which chains are chosen.
    pub chain_policy: String,
    /// Logging.
    pub log: LogSettings,
}

/// Settings of `sillbank-control`.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// VM it runs on.
    pub vm: VmId,
    /// Data hall of the VM.
    pub hall: HallId,
    /// Listen address for entry and other control processes (TCP).
    pub listen: SocketAddr,
    /// Listen address for gossip (UDP).
    pub gossip_listen: SocketAddr,
    /// Listen address for operators, health and metrics (HTTP).
    pub admin_listen: SocketAddr,
    /// Address of the object API of the platform.
    pub platform: SocketAddr,
    /// Gossip addresses of the VMs to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Keys of the fleet. The first one seals messages; all are accepted.
    pub peer_keys: Vec<String>,
    /// Hashes of the keys of operators that may write all objects.
    pub root_key_hashes: Vec<String>,
    /// Interval between gossip rounds.
    pub gossip_interval: Duration,
    /// Term of the lease on a slot of keys of at-most-once calls.
    pub once_term: Duration,
    /// Retention time of the keys of at-most-once calls.
    pub once_retention: Duration,
    /// Term of the lease under which orders are given to the engines of a hall.
    pub orders_term: Duration,
    /// Minimum time between two orders for a pipeline.
    pub orders_pause: Duration,
    /// Number of VMs per hall that watch the platform.
    pub watchers: usize,
    /// Logging.
    pub log: LogSettings,
}

/// Settings of any process, distinguished by the field `role`.
#[derive(Debug, Clone)]
pub enum ProcessSettings {
    /// `role = "entry"`
    Entry(Box<EntrySettings>),
    /// `role = "control"`
    Control(Box<ControlSettings>),
}

impl ProcessSettings {
    /// Returns the settings of an entry process, if these are.
    pub fn entry(self) -> Option<EntrySettings> {
        match self {
            Self::Entry(settings) => Some(*settings),
            Self::Control(_) => None,
        }
    }

    /// Returns the settings of a control process, if these are.
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
/// Returns all problems found, with file, path, reason and remedy.
pub fn read_file(path: &Path) -> Result<ProcessSettings, Problems> {
    let source = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| {
        Problems(vec![Problem {
            source: source.clone(),
            path: "(file)".to_owned(),
            reason: e.to_string(),
            remedy: "check the path and its permissions".to_owned(),
        }])
    })?;
    read_text(&source, &text)
}

/// Reads and checks the settings file of a program with the given role.
///
/// # Errors
/// Returns all problems found, or one that reports a file of another role.
pub fn read_role<T>(
    path: &Path,
    role: &str,
    select: impl FnOnce(ProcessSettings) -> Option<T>,
) -> Result<T, Problems> {
    select(read_file(path)?).ok_or_else(|| {
        Problems(vec![Problem {
            source: path.display().to_string(),
            path: "role".to_owned(),
            reason: format!("it is not '{role}'"),
            remedy: "name the file of this program".to_owned(),
        }])
    })
}

/// Reads and checks settings from TOML text.
///
/// # Errors
/// Returns all problems found.
pub fn read_text(source: &str, text: &str) -> Result<ProcessSettings, Problems> {
    let mut reader = FieldReader::from_toml(source, text)?;
    let settings = match reader.choice("role", &["entry", "control"], "").as_str() {
        "entry" => ProcessSettings::Entry(Box::new(read_entry(&mut reader))),
        "control" => ProcessSettings::Control(Box::new(read_control(&mut reader))),
        _ => return Err(reader.finish().err().unwrap_or_default()),
    };
    reader.finish().map(|()| settings)
}

/// Reads the table `log`.
pub fn read_log_settings(reader: &mut FieldReader) -> LogSettings {
    reader.table("log", |log| LogSettings {
        format: match log.choice("shape", &["text", "json"], "text").as_str() {
            "json" => LogFormat::Json,
            _ => LogFormat::Text,
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
        log: read_log_settings(reader),
    }
}

/// Names of the chain policies; the first one is the default.
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
        log: read_log_settings(reader),
    };
    if settings.peer_keys.is_empty() {
        reader.add_problem(
            "peer_keys",
            "it names no key",
            "add 'peer_keys = [\"...\"]', the same on all VMs",
        );
    }
    if settings.peer_keys.iter().any(|key| key.len() < 16) {
        reader.add_problem("peer_keys", "a key is too short", "use 16 characters or more");
    }
    settings
}

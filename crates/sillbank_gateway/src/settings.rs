//! Settings of a gateway.

use crate::mechanisms::Mechanisms;
use sillbank_core::prelude::*;
use sillbank_settings::process::{LogSettings, read_log_settings};
pub use sillbank_settings::reader::Problems;
use sillbank_settings::reader::{FieldReader, Problem};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// File descriptors reserved for files, timers and the store.
const RESERVED_DESCRIPTORS: usize = 256;
/// File descriptors that one caller's connection may need: its own and one to an endpoint.
const DESCRIPTORS_PER_CALLER: usize = 2;
/// One of this many connections may be one that the VM passes on for another one. Each holds two descriptors, as a caller's
/// does. A hall may have but one VM whose links work.
const RELAYED_SHARE: usize = 4;
/// One of this many file descriptors may be a connection on which another VM asks for updates.
const PEER_SHARE: usize = 8;
/// Fewest such connections that are allowed.
const MIN_PEER_CONNECTIONS: usize = 32;
/// Time within which a settings file that is being written is complete.
pub const WRITE_WAIT: Duration = Duration::from_secs(2);
/// Pause before a faulty settings file is read again.
const READ_PAUSE: Duration = Duration::from_millis(50);
/// Bytes per megabyte.
const BYTES_PER_MB: f64 = 1e6;
/// Maximum share of the process's memory buffered for callers and endpoints. Buffers may take twice
/// their bytes while they grow, connections take about 25 KB each before anything is buffered
/// (1,300 of them are a third of the smallest VM's 112 MB), and the rest is for the program and its
/// state.
const BUFFER_SHARE: f64 = 0.25;

/// Settings of one gateway process.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// VM it runs on.
    pub vm: VmId,
    /// Data hall of the VM.
    pub hall: HallId,
    /// Address on which callers are served.
    pub callers_listen: SocketAddr,
    /// Address on which the balancer checks readiness.
    pub ready_listen: SocketAddr,
    /// Address on which metrics are served.
    pub metrics_listen: SocketAddr,
    /// Address on which other VMs are served.
    pub peer_listen: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Maximum time for which a revoked key may still be accepted.
    pub key_revocation: Duration,
    /// Time within which a configuration written to the store must be in force.
    pub config_in_force: Duration,
    /// Time from the stop signal until the process is killed.
    pub stop_grace: Duration,
    /// Maximum open files; each request needs two at most.
    pub max_open_files: usize,
    /// Processors that this VM may use; may be a fraction.
    pub processors: f64,
    /// Rate of this VM's link, in Mbit/s.
    pub link_mbps: f64,
    /// Memory of this process, in MB.
    pub memory_mb: f64,
    /// Retries allowed per first send of a service's requests.
    pub retry_ratio: f64,
    /// Additional retries allowed for all VMs together.
    pub retry_slack: f64,
    /// Window in which retries are counted.
    pub retry_window: Duration,
    /// Enabled mechanisms.
    pub mechanisms: Mechanisms,
    /// Logging.
    pub log: LogSettings,
}

impl GatewaySettings {
    /// Maximum connections of callers.
    pub fn max_caller_connections(&self) -> usize {
        self.max_connections() - self.max_relayed_connections()
    }

    /// Maximum connections to endpoints that this VM passes on for other VMs.
    pub fn max_relayed_connections(&self) -> usize {
        self.max_connections() / RELAYED_SHARE
    }

    /// Maximum connections on which other VMs ask for updates: those of a hall, and the leaders of others.
    pub fn max_peer_connections(&self) -> usize {
        (self.max_open_files / PEER_SHARE).max(MIN_PEER_CONNECTIONS)
    }

    /// Maximum connections with a second descriptor each.
    fn max_connections(&self) -> usize {
        self.max_open_files.saturating_sub(RESERVED_DESCRIPTORS) / DESCRIPTORS_PER_CALLER
    }

    /// Maximum bytes that this process buffers for callers and endpoints.
    pub fn buffer_limit_bytes(&self) -> usize {
        (self.memory_mb * BYTES_PER_MB * BUFFER_SHARE) as usize
    }
}

/// Reads and checks a settings file.
///
/// # Errors
/// Every problem found, with file, path, reason and remedy.
pub fn read_file(path: &Path) -> Result<GatewaySettings, Problems> {
    let source = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| {
        Problems(vec![Problem {
            source: source.clone(),
            path: "(file)".to_owned(),
            reason: error.to_string(),
            remedy: "check the path and its rights".to_owned(),
        }])
    })?;
    read_text(&source, &text)
}

/// Reads and checks a settings file that may still be being written: while it is faulty, it is read again for up to
/// [`WRITE_WAIT`]. The first problems are passed to `on_faulty`.
///
/// # Errors
/// Every problem found last.
pub async fn read_written_file(
    path: &Path,
    on_faulty: impl FnOnce(&Problems),
) -> Result<GatewaySettings, Problems> {
    let until = Instant::now() + WRITE_WAIT;
    let mut on_faulty = Some(on_faulty);
    loop {
        let problems = match read_file(path) {
            Ok(settings) => return Ok(settings),
            Err(problems) if Instant::now() >= until => return Err(problems),
            Err(problems) => problems,
        };
        if let Some(on_faulty) = on_faulty.take() {
            on_faulty(&problems);
        }
        smol::Timer::after(READ_PAUSE).await;
    }
}

/// Reads and checks the text of a settings file.
///
/// # Errors
/// Every problem found.
pub fn read_text(source: &str, text: &str) -> Result<GatewaySettings, Problems> {
    let mut reader = FieldReader::from_toml(source, text)?;
    let settings = GatewaySettings {
        vm: reader.name("vm"),
        hall: reader.name("hall"),
        callers_listen: reader.address("callers_listen"),
        ready_listen: reader.address("ready_listen"),
        metrics_listen: reader.address("metrics_listen"),
        peer_listen: reader.address("peer_listen"),
        store: reader.address("store"),
        key_revocation: seconds(reader.fraction("key_revocation_ms", 5e3, 500.0..=6e5) / 1e3),
        config_in_force: seconds(reader.fraction("config_in_force_ms", 2e3, 500.0..=6e5) / 1e3),
        stop_grace: seconds(reader.fraction("stop_grace_s", 8.0, 0.5..=600.0)),
        max_open_files: reader.number("max_open_files", 4_096, 64..=1 << 20) as usize,
        processors: reader.fraction("processors", 1.0, 1e-3..=1e3),
        link_mbps: reader.fraction("link_mbps", 1e3, 1e-3..=1e6),
        memory_mb: reader.fraction("memory_mb", 512.0, 16.0..=1e7),
        retry_ratio: reader.fraction("retry_ratio", 0.2, 0.0..=10.0),
        retry_slack: reader.fraction("retry_slack", 100.0, 0.0..=1e6),
        retry_window: seconds(reader.fraction("retry_window_s", 10.0, 0.1..=600.0)),
        mechanisms: reader.table("mechanisms", Mechanisms::read),
        log: read_log_settings(&mut reader),
    };
    reader.finish().map(|()| settings)
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

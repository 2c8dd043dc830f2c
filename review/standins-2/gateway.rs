//! Starts the project's program as the deploy file does: `run` with the filled-in settings template.

use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Programs of the deploy file and this one are found from the root of the repository.
pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("REPOSITORY").unwrap_or_else(|_| ".".to_owned()))
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .expect("a free port")
}

/// Records a process that was started, so that it can be ended if this program is ended first.
pub fn record_process(folder: &Path, child: &Child) {
    let list = OpenOptions::new().create(true).append(true).open(folder.join("pids.txt"));
    list.and_then(|mut list| writeln!(list, "{}", child.id())).expect("a list of processes");
}

/// A running gateway; killed when dropped.
pub struct Gateway {
    pub child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
}

impl Gateway {
    /// Starts a gateway with the settings of a small deployment, its own folder for the settings and its log.
    pub fn start(folder: &Path, vm: &str, hall: &str, store: SocketAddr) -> Self {
        let (callers, ready) = (free_address(), free_address());
        let settings = folder.join(format!("{vm}.toml"));
        let text = format!(
            "vm = \"{vm}\"\nhall = \"{hall}\"\ncallers_listen = \"{callers}\"\nready_listen = \"{ready}\"\n\
             metrics_listen = \"{}\"\npeer_listen = \"{}\"\nstore = \"{store}\"\nkey_revocation_ms = 5000\n\
             config_in_force_ms = 2000\nstop_grace_s = 8\nmax_open_files = 4100\nprocessors = 0.25\n\
             memory_mb = 260\nlink_mbps = 1000.0\nretry_ratio = 0.2\nretry_slack = 202\nretry_window_s = 10\n\
             [log]\nshape = \"text\"\nfilter = \"info\"\n",
            free_address(),
            free_address(),
        );
        std::fs::write(&settings, text).expect("settings");
        let log = File::create(folder.join(format!("{vm}.log"))).expect("a log");
        let child = Command::new(root().join("target/release/sillbank-platform"))
            .env("SILLBANK_CONFIG", &settings)
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .stdin(Stdio::null())
            .spawn()
            .expect("the deploy file's program starts");
        record_process(folder, &child);
        Self { child, callers, ready }
    }

    /// Waits until the gateway calls itself ready.
    pub fn await_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if is_ready(self.ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    if stream
        .write_all(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
        .is_err()
    {
        return false;
    }
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text.starts_with("HTTP/1.1 200")
}

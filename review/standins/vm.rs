//! Starts the project's program as one process for each VM, with the command and the settings template of the deploy
//! file.

use crate::Setting;
use crate::record::Record;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

/// Bounds and limits of the settings, as on the small deployments.
const FIELDS: [(&str, &str); 10] = [
    ("bounds.revoke_ms", "5000"),
    ("bounds.config_ms", "2000"),
    ("bounds.grace_s", "8"),
    ("limits.max_fds", "4100"),
    ("limits.cpu_share", "0.25"),
    ("limits.memory_mb", "260"),
    ("limits.link_mbps", "1000.0"),
    ("bounds.retry_budget_ratio", "0.2"),
    ("bounds.retry_slack", "202"),
    ("bounds.budget_window_s", "10"),
];

/// Addresses of the machines of one run: each has an address of its own in 127.0.0.0/8, as the program takes the same
/// ports on every machine.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    second: u8,
    third: u8,
}

impl Network {
    /// Draws a network from the id of this process.
    pub fn draw() -> Self {
        let id = std::process::id();
        Self { second: 64 + (id >> 8 & 63) as u8, third: (id & 255) as u8 }
    }

    /// Address of a machine.
    pub fn machine(self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, self.third, number)
    }
}

/// A VM; its process is killed when this is dropped.
pub struct Vm {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
    record: Record,
}

/// What a VM's settings hold beside bounds and limits.
pub struct VmPlan<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub ip: Ipv4Addr,
    pub store: SocketAddr,
}

fn fill(template: &str, values: &[(String, String)]) -> String {
    let mut text = template.to_owned();
    for (name, value) in values {
        text = text.replace(&format!("{{{{#{name}}}}}"), "");
        text = text.replace(&format!("{{{{/{name}}}}}"), "");
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "the template has a gap that is not filled:\n{text}");
    text
}

impl Vm {
    /// Starts a VM. The working folder is the root of the repository.
    pub fn start(plan: &VmPlan<'_>, setting: &Setting) -> Self {
        let (folder, record) = (&setting.folder, &setting.record);
        let ip = plan.ip.to_string();
        let mut values: Vec<(String, String)> =
            FIELDS.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect();
        let mut set = |name: &str, value: String| values.push((name.to_owned(), value));
        set("node_id", plan.name.to_owned());
        set("zone", plan.zone.to_owned());
        set("listen.front", format!("{ip}:8227"));
        set("listen.ready", format!("{ip}:8220"));
        set("ip", ip.clone());
        set("port_range.0", "7340".to_owned());
        set("provider.address", plan.store.to_string());
        let template = std::fs::read_to_string("platform/settings.toml.in").expect("the template");
        let settings = folder.join(format!("{}.toml", plan.name));
        std::fs::write(&settings, fill(&template, &values)).expect("the folder can be written to");
        let child = spawn(&settings, &folder.join(format!("{}.log", plan.name)));
        setting.keep_pid(child.id());
        record.line(&format!("vm {}: started", plan.name));
        Self {
            name: plan.name.to_owned(),
            front: SocketAddr::new(plan.ip.into(), 8227),
            ready: SocketAddr::new(plan.ip.into(), 8220),
            child,
            record: record.clone(),
        }
    }

    /// Asks as the balancer does whether the VM is ready.
    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n")?;
            let mut reply = String::new();
            stream.read_to_string(&mut reply)?;
            Ok(reply.starts_with("HTTP/1.1 200"))
        };
        ask().unwrap_or(false)
    }

    /// Waits until the VM is ready; false if it is not in time.
    pub fn await_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                self.record.line(&format!("vm {}: ready", self.name));
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let log = File::create(log).expect("the folder can be written to");
    let errors = log.try_clone().expect("a file");
    let mut command = Command::new("target/release/sillbank-platform");
    command.env_clear().env("SILLBANK_CONFIG", settings).stdout(log).stderr(errors);
    command.spawn().expect("the program of the deploy file is built")
}

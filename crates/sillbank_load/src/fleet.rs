//! Lays out a local fleet on loopback: settings of every process, objects of the tree, and the
//! commands that start it. It starts nothing itself.

use crate::Verdict;
use crate::mix::{BOTH, ORGANISATIONS, Top, organisation_key, organisation_name};
use argh::FromArgs;
use serde::{Deserialize, Serialize};
use sillbank_settings::objects::hash_key;
use std::fmt::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

/// Layers of the stand-in model.
pub const MODEL_LAYERS: u16 = 24;
/// Layers of one stage.
pub const STAGE_LAYERS: u16 = 8;
/// Key of the operator of a local fleet.
pub const OPERATOR_KEY: &str = "local-operator-key";
/// Key that local VMs share.
const PEER_KEY: &str = "local-peer-key-0001";

/// Write the settings of a local fleet.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
pub struct FleetArguments {
    /// folder to write to
    #[argh(option)]
    pub out: PathBuf,
    /// folder of the built programs
    #[argh(option)]
    pub programs: PathBuf,
    /// data halls
    #[argh(option, default = "3")]
    pub halls: usize,
    /// entry VMs
    #[argh(option, default = "9")]
    pub vms: usize,
    /// model engines
    #[argh(option, default = "40")]
    pub engines: usize,
    /// factor on the engines' costs
    #[argh(option, default = "1.0")]
    pub cost_factor: f64,
    /// policy for the choice of chains
    #[argh(option, default = "String::from(\"least_finish\")")]
    pub chain_policy: String,
    /// term of the lease of a slot of keys, in milliseconds
    #[argh(option, default = "60000")]
    pub once_term_ms: u64,
    /// how long a key is remembered, in milliseconds
    #[argh(option, default = "600000")]
    pub once_retention_ms: u64,
    /// lines added to the tree, such as a pipeline's settings
    #[argh(option, default = "String::new()")]
    pub tree: String,
    /// put a link before every engine
    #[argh(switch)]
    pub links: bool,
    /// leave the entries out
    #[argh(switch)]
    pub no_entries: bool,
    /// organisations of each user
    #[argh(option, default = "ORGANISATIONS")]
    pub organisations: usize,
    /// writes a second that the platform takes
    #[argh(option, default = "300.0")]
    pub platform_writes_per_s: f64,
    /// time that requests in flight have when an entry is stopped, in milliseconds
    #[argh(option, default = "30000")]
    pub stop_limit_ms: u64,
    /// first port to look at for free ones
    #[argh(option, default = "12000")]
    pub first_port: u16,
}

/// Where the processes of a fleet listen.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Addresses {
    /// The platform.
    pub platform: Option<SocketAddr>,
    /// Where callers come, by VM.
    pub entries: Vec<SocketAddr>,
    /// Health and metrics of entries, by VM.
    pub entry_admins: Vec<SocketAddr>,
    /// Administration interfaces, by VM.
    pub control_admins: Vec<SocketAddr>,
    /// Slots of keys that are held once all VMs are up.
    pub slots: usize,
    /// Where entries and peers come to control, by VM.
    pub controls: Vec<SocketAddr>,
    /// Model engines.
    pub engines: Vec<SocketAddr>,
    /// Commands of the links before the engines, if there are any.
    pub links: Vec<SocketAddr>,
    /// What each engine is, in the same order.
    pub engine_specs: Vec<EngineSpec>,
    /// Factor on the engines' costs.
    pub cost_factor: f64,
    /// Plain services.
    pub services: Vec<SocketAddr>,
}

/// What an engine of the fleet is.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineSpec {
    /// User whose pipeline it serves.
    pub top: String,
    /// Stage it holds, from 0.
    pub stage: usize,
    /// Accelerator kind.
    pub kind: String,
}

impl Addresses {
    /// Reads what `write` wrote.
    pub fn read(folder: &Path) -> Result<Self, Box<dyn std::error::Error>> {
        let text = std::fs::read_to_string(folder.join("addresses.json"))?;
        Ok(serde_json::from_str(&text)?)
    }
}

impl FleetArguments {
    /// A fleet of the usual size, as the command line gives it.
    pub fn new(out: PathBuf, programs: PathBuf) -> Self {
        Self {
            out,
            programs,
            halls: 3,
            vms: 9,
            engines: 40,
            cost_factor: 1.0,
            chain_policy: "least_finish".to_owned(),
            once_term_ms: 60_000,
            once_retention_ms: 600_000,
            tree: String::new(),
            links: false,
            no_entries: false,
            organisations: ORGANISATIONS,
            platform_writes_per_s: 300.0,
            stop_limit_ms: 30_000,
            first_port: 12000,
        }
    }
}

/// Finds free ports, each once.
struct Ports {
    next: u16,
}

impl Ports {
    fn take(&mut self) -> SocketAddr {
        loop {
            let address = SocketAddr::from(([127, 0, 0, 1], self.next));
            self.next += 1;
            let free =
                TcpListener::bind(address).is_ok() && std::net::UdpSocket::bind(address).is_ok();
            if free {
                return address;
            }
        }
    }
}

struct Layout<'a> {
    arguments: &'a FleetArguments,
    ports: Ports,
    addresses: Addresses,
    commands: Vec<String>,
}

/// Writes everything.
pub fn write(arguments: &FleetArguments) -> Verdict {
    std::fs::create_dir_all(arguments.out.join("objects"))?;
    let mut layout = Layout {
        arguments,
        ports: Ports { next: arguments.first_port },
        addresses: Addresses {
            slots: slot_count(arguments),
            cost_factor: arguments.cost_factor,
            ..Addresses::default()
        },
        commands: Vec::new(),
    };
    let platform = layout.platform();
    let mut objects = tree_objects(arguments.organisations);
    objects.push_str(&arguments.tree.replace("\\n", "\n"));
    objects.push_str(&layout.engines());
    objects.push_str(&layout.services());
    layout.vms(platform)?;
    let out = &arguments.out;
    std::fs::write(out.join("objects/fleet.toml"), objects)?;
    std::fs::write(out.join("addresses.json"), serde_json::to_string(&layout.addresses)?)?;
    std::fs::write(out.join("commands.txt"), layout.commands.join("\n") + "\n")?;
    Ok(true)
}

impl Layout<'_> {
    /// Adds a process: its name, then its command.
    fn command(&mut self, name: &str, program: &str, rest: &str) {
        let program = self.arguments.programs.join(program);
        self.commands.push(format!("{name} {} {rest}", program.display()));
    }

    fn platform(&mut self) -> SocketAddr {
        let address = self.ports.take();
        self.addresses.platform = Some(address);
        let writes = self.arguments.platform_writes_per_s;
        let rest = format!("platform --listen {address} --writes-per-s {writes}");
        self.command("platform", "sillbank-standin", &rest);
        address
    }

    fn engines(&mut self) -> String {
        let mut objects = String::new();
        let stages = usize::from(MODEL_LAYERS / STAGE_LAYERS);
        for number in 0..self.arguments.engines {
            let top = BOTH[number % BOTH.len()];
            let stage = (number / BOTH.len()) % stages;
            let kind = format!("k{}", (number / BOTH.len()) % 5 + 1);
            // Every hall gets whole chains.
            let group = number / (BOTH.len() * stages);
            let hall = format!("hall{}", group % self.arguments.halls + 1);
            let first = stage as u16 * STAGE_LAYERS;
            let end = first + STAGE_LAYERS;
            let address = self.ports.take();
            self.addresses.engines.push(address);
            let spec = EngineSpec { top: top.name.to_owned(), stage, kind: kind.clone() };
            self.addresses.engine_specs.push(spec);
            let cost = self.arguments.cost_factor;
            let rest = format!(
                "engine --listen {address} --kind {kind} --first-layer {first} --end-layer {end} \
                 --model-layers {MODEL_LAYERS} --cost-factor {cost}"
            );
            self.command(&format!("engine{number}"), "sillbank-standin", &rest);
            let address = self.link(number, address);
            writeln!(
                objects,
                "[endpoint.engine{number}]\nparent = \"/{}/{hall}\"\nhall = \"{hall}\"\n\
                 kind = \"{kind}\"\npipeline = \"{}\"\nfirst_layer = {first}\n\
                 end_layer = {end}\naddress = \"{address}\"\n",
                top.name, top.pipeline,
            )
            .ok();
        }
        objects
    }

    /// Puts a link before an engine, if asked to; answers where the engine is reached.
    fn link(&mut self, number: usize, engine: SocketAddr) -> SocketAddr {
        if !self.arguments.links {
            return engine;
        }
        let (listen, admin) = (self.ports.take(), self.ports.take());
        self.addresses.links.push(admin);
        let rest = format!("link --listen {listen} --to {engine} --admin-listen {admin}");
        self.command(&format!("link{number}"), "sillbank-standin", &rest);
        listen
    }

    fn services(&mut self) -> String {
        let mut runners = Vec::new();
        for number in 0..3 {
            let address = self.ports.take();
            self.addresses.services.push(address);
            runners.push(format!("\"{address}\""));
            let rest = format!("service --listen {address}");
            self.command(&format!("service{number}"), "sillbank-standin", &rest);
        }
        let mut objects = String::new();
        for top in BOTH {
            for (service, repeatable) in
                [(top.repeatable_service, true), (top.keyed_service, false)]
            {
                writeln!(
                    objects,
                    "[service.{service}]\nparent = \"/{}\"\naddresses = [{}]\n\
                     repeatable = {repeatable}\n",
                    top.name,
                    runners.join(", "),
                )
                .ok();
            }
        }
        objects
    }

    fn vms(&mut self, platform: SocketAddr) -> std::io::Result<()> {
        let mut gossip = Vec::new();
        for _ in 0..self.arguments.vms {
            gossip.push(self.ports.take());
        }
        let seeds: Vec<String> = gossip.iter().take(3).map(|a| format!("\"{a}\"")).collect();
        for (number, gossip_listen) in gossip.iter().enumerate() {
            let hall = format!("hall{}", number % self.arguments.halls + 1);
            let vm = format!("vm{number}");
            let control = self.ports.take();
            let control_admin = self.ports.take();
            let listen = self.ports.take();
            let admin = self.ports.take();
            let text = format!(
                "role = \"control\"\nvm = \"{vm}\"\nhall = \"{hall}\"\nlisten = \"{control}\"\n\
                 gossip_listen = \"{gossip_listen}\"\nadmin_listen = \"{control_admin}\"\n\
                 platform = \"{platform}\"\nseeds = [{}]\npeer_keys = [\"{PEER_KEY}\"]\n\
                 root_key_hashes = [\"{}\"]\n\
                 once_term_ms = {}\nonce_retention_ms = {}\n\
                 orders_term_ms = 4000\norders_pause_ms = 500\n",
                seeds.join(", "),
                hash_key(OPERATOR_KEY),
                self.arguments.once_term_ms,
                self.arguments.once_retention_ms,
            );
            self.process("sillbank-control", &format!("control{number}"), &text)?;
            self.addresses.controls.push(control);
            self.addresses.control_admins.push(control_admin);
            if self.arguments.no_entries {
                continue;
            }
            let text = format!(
                "role = \"entry\"\nvm = \"{vm}\"\nhall = \"{hall}\"\nlisten = \"{listen}\"\n\
                 admin_listen = \"{admin}\"\ncontrol = \"{control}\"\nchain_policy = \"{}\"\n\
                 stop_limit_ms = {}\n",
                self.arguments.chain_policy, self.arguments.stop_limit_ms,
            );
            self.process("sillbank-entry", &format!("entry{number}"), &text)?;
            self.addresses.entries.push(listen);
            self.addresses.entry_admins.push(admin);
        }
        Ok(())
    }

    fn process(&mut self, program: &str, name: &str, settings: &str) -> std::io::Result<()> {
        let path = self.arguments.out.join(format!("{name}.toml"));
        std::fs::write(&path, settings)?;
        self.command(name, program, &format!("--settings {}", path.display()));
        Ok(())
    }
}

/// Slots of keys that some VM holds in the end.
fn slot_count(arguments: &FleetArguments) -> usize {
    let halls = arguments.halls.min(arguments.vms);
    (sillbank_once::key::FLEET_SLOTS + halls as u64 * sillbank_once::key::HALL_SLOTS) as usize
}

/// Nodes, pipelines and organisations.
fn tree_objects(organisations: usize) -> String {
    let mut text = String::from("[node.\"/\".settings]\ndeadline_ms = 60000\n\n");
    for top in BOTH {
        write_top(&mut text, top, organisations);
    }
    text
}

fn write_top(text: &mut String, top: &Top, organisations: usize) {
    writeln!(text, "[node.\"/{}\".settings]\npriority = 4\n", top.name).ok();
    writeln!(
        text,
        "[pipeline.{}]\nparent = \"/{}\"\nlayers = {MODEL_LAYERS}\n",
        top.pipeline, top.name
    )
    .ok();
    for number in 0..organisations {
        let name = organisation_name(top.name, number);
        writeln!(
            text,
            "[organisation.{name}]\nparent = \"/{}\"\nkey_hashes = [\"{}\"]\n",
            top.name,
            hash_key(&organisation_key(&name)),
        )
        .ok();
    }
}

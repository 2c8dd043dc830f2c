//! Writes the files of a local fleet on loopback: settings of every process, objects of the
//! tree, and the commands that start the processes. It does not start them.

use crate::Verdict;
use crate::mix::{ORGANISATIONS, WORKLOADS, Workload, organisation_key, organisation_name};
use argh::FromArgs;
use serde::{Deserialize, Serialize};
use sillbank_settings::objects::hash_key;
use std::fmt::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

/// Layers of the stand-in model.
pub const MODEL_LAYERS: u16 = 24;
/// Layers of one stage.
pub const LAYERS_PER_STAGE: u16 = 8;
/// Key of a local fleet's operator.
pub const OPERATOR_KEY: &str = "local-operator-key";
/// Peer key shared by the VMs of a local fleet.
const PEER_KEY: &str = "local-peer-key-0001";

/// Write the settings of a local fleet.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
pub struct FleetArguments {
    /// folder to write to
    #[argh(option)]
    pub out: PathBuf,
    /// folder with the built programs
    #[argh(option)]
    pub programs: PathBuf,
    /// number of data halls
    #[argh(option, default = "3")]
    pub halls: usize,
    /// number of entry VMs
    #[argh(option, default = "9")]
    pub vms: usize,
    /// number of model engines
    #[argh(option, default = "40")]
    pub engines: usize,
    /// factor on the costs of the engines
    #[argh(option, default = "1.0")]
    pub cost_factor: f64,
    /// policy that chooses chains
    #[argh(option, default = "String::from(\"least_finish\")")]
    pub chain_policy: String,
    /// term of the lease on a slot of idempotency keys, in milliseconds
    #[argh(option, default = "60000")]
    pub once_term_ms: u64,
    /// retention of an idempotency key, in milliseconds
    #[argh(option, default = "600000")]
    pub once_retention_ms: u64,
    /// TOML lines added to the objects of the tree, such as a pipeline's settings
    #[argh(option, default = "String::new()")]
    pub tree: String,
    /// put a link stand-in in front of every engine
    #[argh(switch)]
    pub links: bool,
    /// write no entry processes
    #[argh(switch)]
    pub no_entries: bool,
    /// number of organisations of each user
    #[argh(option, default = "ORGANISATIONS")]
    pub organisations: usize,
    /// writes a second that the platform accepts
    #[argh(option, default = "300.0")]
    pub platform_writes_per_s: f64,
    /// time limit for requests in flight when an entry is stopped, in milliseconds
    #[argh(option, default = "30000")]
    pub stop_limit_ms: u64,
    /// first port of the search for free ports
    #[argh(option, default = "12000")]
    pub first_port: u16,
}

/// Listen addresses of a fleet's processes, as `addresses.json` holds them.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Addresses {
    /// Platform stand-in.
    pub platform: Option<SocketAddr>,
    /// Addresses for callers, by VM.
    pub entries: Vec<SocketAddr>,
    /// Health and metrics addresses of entries, by VM.
    pub entry_admins: Vec<SocketAddr>,
    /// Administration addresses of control processes, by VM.
    pub control_admins: Vec<SocketAddr>,
    /// Number of slots of idempotency keys that are held once all VMs are up.
    pub slots: usize,
    /// Addresses of control processes for entries and peers, by VM.
    pub controls: Vec<SocketAddr>,
    /// Model engines.
    pub engines: Vec<SocketAddr>,
    /// Administration addresses of the links in front of the engines, if there are any.
    pub links: Vec<SocketAddr>,
    /// Specification of each engine, in the order of `engines`.
    pub engine_specs: Vec<EngineSpec>,
    /// Factor on the costs of the engines.
    pub cost_factor: f64,
    /// Plain services.
    pub services: Vec<SocketAddr>,
}

/// Specification of an engine of the fleet.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineSpec {
    /// User whose pipeline the engine serves.
    pub top: String,
    /// Number of its stage, from 0.
    pub stage: usize,
    /// Accelerator kind.
    pub kind: String,
}

impl Addresses {
    /// Reads `addresses.json` from the folder that [`write()`] wrote to.
    ///
    /// # Errors
    /// If the file cannot be read or parsed.
    pub fn read(folder: &Path) -> Result<Self, Box<dyn std::error::Error>> {
        let text = std::fs::read_to_string(folder.join("addresses.json"))?;
        Ok(serde_json::from_str(&text)?)
    }
}

impl FleetArguments {
    /// Creates arguments with the defaults of the command line.
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

/// Returns free loopback ports, each once, by trying to bind them in ascending order.
struct PortAllocator {
    next: u16,
}

impl PortAllocator {
    fn next_free(&mut self) -> SocketAddr {
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

/// Collects the addresses and commands of a fleet while its files are written.
struct FleetBuilder<'a> {
    arguments: &'a FleetArguments,
    ports: PortAllocator,
    addresses: Addresses,
    commands: Vec<String>,
}

/// Writes the settings, objects, addresses and commands of a fleet.
///
/// # Errors
/// If a file cannot be written.
pub fn write(arguments: &FleetArguments) -> Verdict {
    std::fs::create_dir_all(arguments.out.join("objects"))?;
    let mut builder = FleetBuilder {
        arguments,
        ports: PortAllocator { next: arguments.first_port },
        addresses: Addresses {
            slots: slot_count(arguments),
            cost_factor: arguments.cost_factor,
            ..Addresses::default()
        },
        commands: Vec::new(),
    };
    let platform = builder.add_platform();
    let mut objects = tree_objects(arguments.organisations);
    objects.push_str(&arguments.tree.replace("\\n", "\n"));
    objects.push_str(&builder.add_engines());
    objects.push_str(&builder.add_services());
    builder.add_vms(platform)?;
    let out = &arguments.out;
    std::fs::write(out.join("objects/fleet.toml"), objects)?;
    std::fs::write(out.join("addresses.json"), serde_json::to_string(&builder.addresses)?)?;
    std::fs::write(out.join("commands.txt"), builder.commands.join("\n") + "\n")?;
    Ok(true)
}

impl FleetBuilder<'_> {
    /// Adds a line `NAME COMMAND` for a process.
    fn add_process(&mut self, name: &str, program: &str, flags: &str) {
        let program = self.arguments.programs.join(program);
        self.commands.push(format!("{name} {} {flags}", program.display()));
    }

    fn add_platform(&mut self) -> SocketAddr {
        let address = self.ports.next_free();
        self.addresses.platform = Some(address);
        let writes = self.arguments.platform_writes_per_s;
        let flags = format!("platform --listen {address} --writes-per-s {writes}");
        self.add_process("platform", "sillbank-standin", &flags);
        address
    }

    fn add_engines(&mut self) -> String {
        let mut objects = String::new();
        let stages = usize::from(MODEL_LAYERS / LAYERS_PER_STAGE);
        for number in 0..self.arguments.engines {
            let workload = WORKLOADS[number % WORKLOADS.len()];
            let stage = (number / WORKLOADS.len()) % stages;
            let kind = format!("k{}", (number / WORKLOADS.len()) % 5 + 1);
            // Each group of engines is one complete chain of every pipeline, in one hall.
            let group = number / (WORKLOADS.len() * stages);
            let hall = format!("hall{}", group % self.arguments.halls + 1);
            let first = stage as u16 * LAYERS_PER_STAGE;
            let end = first + LAYERS_PER_STAGE;
            let address = self.ports.next_free();
            self.addresses.engines.push(address);
            let spec = EngineSpec { top: workload.name.to_owned(), stage, kind: kind.clone() };
            self.addresses.engine_specs.push(spec);
            let cost = self.arguments.cost_factor;
            let flags = format!(
                "engine --listen {address} --kind {kind} --first-layer {first} --end-layer {end} \
                 --model-layers {MODEL_LAYERS} --cost-factor {cost}"
            );
            self.add_process(&format!("engine{number}"), "sillbank-standin", &flags);
            let address = self.add_link(number, address);
            writeln!(
                objects,
                "[endpoint.engine{number}]\nparent = \"/{}/{hall}\"\nhall = \"{hall}\"\n\
                 kind = \"{kind}\"\npipeline = \"{}\"\nfirst_layer = {first}\n\
                 end_layer = {end}\naddress = \"{address}\"\n",
                workload.name, workload.pipeline,
            )
            .ok();
        }
        objects
    }

    /// Adds a link in front of an engine if links are enabled; returns the address for callers.
    fn add_link(&mut self, number: usize, engine: SocketAddr) -> SocketAddr {
        if !self.arguments.links {
            return engine;
        }
        let (listen, admin) = (self.ports.next_free(), self.ports.next_free());
        self.addresses.links.push(admin);
        let flags = format!("link --listen {listen} --to {engine} --admin-listen {admin}");
        self.add_process(&format!("link{number}"), "sillbank-standin", &flags);
        listen
    }

    fn add_services(&mut self) -> String {
        let mut service_addresses = Vec::new();
        for number in 0..3 {
            let address = self.ports.next_free();
            self.addresses.services.push(address);
            service_addresses.push(format!("\"{address}\""));
            let flags = format!("service --listen {address}");
            self.add_process(&format!("service{number}"), "sillbank-standin", &flags);
        }
        let mut objects = String::new();
        for workload in WORKLOADS {
            for (service, repeatable) in
                [(workload.idempotent_service, true), (workload.keyed_service, false)]
            {
                writeln!(
                    objects,
                    "[service.{service}]\nparent = \"/{}\"\naddresses = [{}]\n\
                     repeatable = {repeatable}\n",
                    workload.name,
                    service_addresses.join(", "),
                )
                .ok();
            }
        }
        objects
    }

    fn add_vms(&mut self, platform: SocketAddr) -> std::io::Result<()> {
        let mut gossip = Vec::new();
        for _ in 0..self.arguments.vms {
            gossip.push(self.ports.next_free());
        }
        let seeds: Vec<String> = gossip.iter().take(3).map(|a| format!("\"{a}\"")).collect();
        for (number, gossip_listen) in gossip.iter().enumerate() {
            let hall = format!("hall{}", number % self.arguments.halls + 1);
            let vm = format!("vm{number}");
            let control = self.ports.next_free();
            let control_admin = self.ports.next_free();
            let listen = self.ports.next_free();
            let admin = self.ports.next_free();
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
            self.add_process_with_settings("sillbank-control", &format!("control{number}"), &text)?;
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
            self.add_process_with_settings("sillbank-entry", &format!("entry{number}"), &text)?;
            self.addresses.entries.push(listen);
            self.addresses.entry_admins.push(admin);
        }
        Ok(())
    }

    /// Adds a process that is started with a settings file.
    fn add_process_with_settings(
        &mut self,
        program: &str,
        name: &str,
        settings: &str,
    ) -> std::io::Result<()> {
        let path = self.arguments.out.join(format!("{name}.toml"));
        std::fs::write(&path, settings)?;
        self.add_process(name, program, &format!("--settings {}", path.display()));
        Ok(())
    }
}

/// Returns the number of slots of idempotency keys of the fleet.
fn slot_count(arguments: &FleetArguments) -> usize {
    let halls = arguments.halls.min(arguments.vms);
    (sillbank_once::key::FLEET_SLOTS + halls as u64 * sillbank_once::key::HALL_SLOTS) as usize
}

/// Returns the nodes, pipelines and organisations of the tree, as TOML.
fn tree_objects(organisations: usize) -> String {
    let mut text = String::from("[node.\"/\".settings]\ndeadline_ms = 60000\n\n");
    for workload in WORKLOADS {
        write_workload(&mut text, workload, organisations);
    }
    text
}

fn write_workload(text: &mut String, workload: &Workload, organisations: usize) {
    writeln!(text, "[node.\"/{}\".settings]\npriority = 4\n", workload.name).ok();
    writeln!(
        text,
        "[pipeline.{}]\nparent = \"/{}\"\nlayers = {MODEL_LAYERS}\n",
        workload.pipeline, workload.name
    )
    .ok();
    for number in 0..organisations {
        let name = organisation_name(workload.name, number);
        writeln!(
            text,
            "[organisation.{name}]\nparent = \"/{}\"\nkey_hashes = [\"{}\"]\n",
            workload.name,
            hash_key(&organisation_key(&name)),
        )
        .ok();
    }
}

//! `sillbank get` and `status`: what is in force.

use crate::CommandError;
use crate::remote::Remote;
use argh::FromArgs;
use serde::Deserialize;
use serde_json::{Map, Value};
use sillbank_protocol::platform::Object;
use smol::{LocalExecutor, Timer};
use std::rc::Rc;
use std::time::Duration;

/// Time between looks of `status --watch`.
const WATCH: Duration = Duration::from_secs(1);

/// Show objects, or the settings in force for one and where each came from.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub(crate) struct GetArguments {
    /// key, or the beginning of several; all without it
    #[argh(positional, default = "String::new()")]
    key: String,
    /// show each setting in force and the object it came from
    #[argh(switch)]
    effective: bool,
    /// control process, IP:PORT
    #[argh(option)]
    control: Option<String>,
}

/// Show which VMs there are, what is in force in each, and what is unwell.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusArguments {
    /// control process, IP:PORT
    #[argh(option)]
    control: Option<String>,
    /// show it again each second
    #[argh(switch)]
    watch: bool,
    /// show all that the control process itself knows, as JSON
    #[argh(switch)]
    json: bool,
}

/// The fleet as a control process tells it.
#[derive(Debug, Deserialize)]
struct Fleet {
    newest_version: u64,
    halls: Vec<Hall>,
}

#[derive(Debug, Deserialize)]
struct Hall {
    hall: String,
    written_by: String,
    vms: Vec<Vm>,
    invalid: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct Vm {
    vm: String,
    state: String,
    in_force: Option<u64>,
}

pub(crate) async fn get(
    executor: Rc<LocalExecutor<'static>>,
    arguments: GetArguments,
) -> Result<(), CommandError> {
    let remote = Remote::new(executor, arguments.control)?;
    if arguments.effective {
        let settings: Map<String, Value> =
            remote.get(&format!("/v1/effective/{}", arguments.key)).await?;
        for (name, entry) in settings {
            let from = entry["from"].as_str().unwrap_or_default();
            println!("{name:20} {:>10}  from {from}", entry["value"].to_string());
        }
        return Ok(());
    }
    let objects: Vec<Object> = remote.get(&format!("/v1/objects?prefix={}", arguments.key)).await?;
    for object in &objects {
        println!("{} version {}\n  {}", object.key, object.version, object.value);
    }
    match objects.is_empty() {
        true => Err(CommandError::Other(format!("There is no object {}.", arguments.key))),
        false => Ok(()),
    }
}

pub(crate) async fn status(
    executor: Rc<LocalExecutor<'static>>,
    arguments: StatusArguments,
) -> Result<(), CommandError> {
    let remote = Remote::new(executor, arguments.control)?;
    loop {
        match arguments.json {
            true => println!("{:#}", remote.get::<Value>("/v1/status").await?),
            false => print_fleet(&remote.get("/v1/fleet").await?),
        }
        if !arguments.watch {
            return Ok(());
        }
        Timer::after(WATCH).await;
    }
}

fn print_fleet(fleet: &Fleet) {
    let newest = fleet.newest_version;
    let mut behind = 0;
    let mut unwell = 0;
    for hall in &fleet.halls {
        println!("{} (told by {})", hall.hall, hall.written_by);
        for vm in &hall.vms {
            let version = vm.in_force.map_or("not heard".to_owned(), |v| v.to_string());
            println!("  {:16} {:8} in force {version}", vm.vm, vm.state);
            let alive = vm.state == "Alive";
            unwell += u32::from(!alive && vm.state != "Left");
            behind += u32::from(alive && vm.in_force < Some(newest));
        }
        for line in &hall.invalid {
            println!("  invalid: {line}");
        }
    }
    match behind {
        0 => println!("Version {newest} is in force in every VM that is alive."),
        _ => println!("Version {newest} is not yet in force in {behind} VMs; look again."),
    }
    if unwell > 0 {
        println!("{unwell} VMs do not answer: look whether the platform is replacing them.");
    }
}
